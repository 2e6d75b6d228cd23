"""Stand-in endpoint list service: streams numbered updates to every front, delayed or corrupted on demand."""

from __future__ import annotations

from collections import deque
from random import Random
from urllib.parse import parse_qs, urlsplit

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskStatus

from runspool.lab.http_server import PeerClosedError, ReceivedRequest, serve_connections, serve_requests
from runspool.lab.plan import SECOND
from runspool.lab.recording import Recorder
from runspool.service.clock import now
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, encode_message

WATCH_PATH = "/v1/engines/watch"
HEARTBEAT_INTERVAL = 1.0  # seconds without an update after which a front is sent a heartbeat
HISTORY_MESSAGES = 64  # updates kept for fronts that subscribe again; one that missed more gets a snapshot
MAX_QUEUED_MESSAGES = 1024  # messages that may wait for a slow front before its subscription is ended
IDLE_WAIT = 3600.0  # seconds to wait for an update while none is pending
MIN_WAIT = 0.001  # seconds; lower bound on the wait for a pending update
# How a message is corrupted: not at all, sent twice, sent before the previous one, or truncated. All are
# equally probable.
CORRUPTIONS = ["", "repeat", "reorder", "tear"]


class EndpointListService:
    """Publishes the state of the engines to all fronts that watch the list, after a delay.

    Attributes:
        recorder: records every message that was sent to a front intact.
        delay: tenths of a millisecond between an update and its publication.
        corrupts_messages: whether some messages are truncated, repeated or reordered.
        rng: draws which messages are, and how.
        epoch: the epoch of the list, within which version numbers are comparable.
        version: the version of the published list.
        entries: the published entries by the engine's name.
        subscriptions: the open watches, one per front.
        port: the port that the service listens on; 0 until it does.
    """

    def __init__(self, recorder: Recorder, delay: int, seed: int = 0) -> None:
        self.recorder = recorder
        self.delay = delay
        self.corrupts_messages = False
        self.rng = Random(seed)
        self.epoch = f"{now():x}"
        self.version = 0
        self.entries: dict[str, EndpointEntry] = {}
        self.subscriptions: list[_Subscription] = []
        self.port = 0
        self._history: deque[EndpointListMessage] = deque(maxlen=HISTORY_MESSAGES)
        self._pending: deque[tuple[int, EndpointEntry]] = deque()  # (time of publication, entry), by time
        self._changed = anyio.Event()

    def update(self, entry: EndpointEntry, at_once: bool = False) -> None:
        """Update an engine's entry, which is published after the present delay, or now with `at_once`.

        An update is never published before an earlier one, even with `at_once`.
        """
        publish_at = now() + (0 if at_once else self.delay)
        # The delay simulates a service that is late as a whole, so a shorter delay must not change the order.
        publish_at = max(publish_at, self._pending[-1][0] if self._pending else 0)
        self._pending.append((publish_at, entry))
        self._changed.set()

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port to `task_status` once the service listens."""
        async with anyio.create_task_group() as tasks:
            listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
            async with listeners:
                listener = listeners.listeners[0]
                assert isinstance(listener, SocketListener)
                self.port = int(listener.extra(SocketAttribute.local_port))
                tasks.start_soon(self._publish_pending)
                task_status.started(self.port)
                await serve_connections(listener, self._serve_connection, tasks)

    async def _publish_pending(self) -> None:
        """Publish each pending update when it is due, until cancelled."""
        while True:
            self._changed = anyio.Event()
            while self._pending and self._pending[0][0] <= now():
                self._publish(self._pending.popleft()[1])
            wait = (self._pending[0][0] - now()) / SECOND if self._pending else IDLE_WAIT
            with anyio.move_on_after(max(MIN_WAIT, wait)):
                await self._changed.wait()

    def _publish(self, entry: EndpointEntry) -> None:
        """Update the published list and queue the update for every front."""
        self.version += 1
        if entry.state == "gone":
            self.entries.pop(entry.engine, None)
        else:
            self.entries[entry.engine] = entry
        message = EndpointListMessage(self.version, self.epoch, engines=[entry])
        self._history.append(message)
        for subscription in list(self.subscriptions):
            subscription.enqueue(message)

    async def _serve_connection(self, stream: SocketStream) -> None:
        await serve_requests(stream, self._handle)

    async def _handle(self, received: ReceivedRequest) -> None:
        """Serve a watch: send what the front has missed, then every update until the front disconnects."""
        await received.read_body()
        target = urlsplit(received.target)
        if target.path != WATCH_PATH:
            await received.respond(404, {})
            return
        parameters = parse_qs(target.query)
        front, after = parameters.get("front", ["?"])[0], int(parameters.get("after", ["-1"])[0])
        await received.open_stream({"Content-Type": "application/x-ndjson"})
        subscription = _Subscription(self, received, front)
        for message in self._messages_since(after):
            subscription.enqueue(message, intact=True)
        self.subscriptions.append(subscription)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, received, tasks.cancel_scope)
                await subscription.run()
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            if group.split(PeerClosedError)[1] is not None:
                raise
        finally:
            self.subscriptions.remove(subscription)

    def _messages_since(self, version: int) -> list[EndpointListMessage]:
        """Return the updates since `version` if the history has all of them, otherwise a snapshot."""
        missed = [message for message in self._history if message.version > version]
        if 0 <= version <= self.version and len(missed) == self.version - version:
            return missed
        entries = list(self.entries.values())
        return [EndpointListMessage(self.version, self.epoch, is_snapshot=True, engines=entries)]


async def _cancel_on_disconnect(received: ReceivedRequest, scope: anyio.CancelScope) -> None:
    await received.wait_for_disconnect()
    scope.cancel()


class _Subscription:
    """The messages that wait to be sent to one front, each with its encoded form, which may be truncated."""

    def __init__(self, service: EndpointListService, received: ReceivedRequest, front: str) -> None:
        self._service = service
        self._received = received
        self._front = front
        self._queue: deque[tuple[EndpointListMessage, bytes]] = deque()
        self._queued = anyio.Event()
        self._too_slow = False

    def enqueue(self, message: EndpointListMessage, intact: bool = False) -> None:
        """Queue a message; corrupt it at random while the service does so, unless it must be `intact`."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._too_slow = True  # the front subscribes again and gets a snapshot
        may_corrupt = self._service.corrupts_messages and not intact
        corruption = self._service.rng.choice(CORRUPTIONS) if may_corrupt else ""
        line = encode_message(message)
        if corruption == "tear":
            line = line[: len(line) // 2] + b"\n"
        if corruption == "reorder" and self._queue:
            self._queue.insert(len(self._queue) - 1, (message, line))
        else:
            self._queue.append((message, line))
        if corruption == "repeat":
            self._queue.append((message, line))
        self._queued.set()

    async def run(self) -> None:
        """Send messages, and heartbeats while there are none, until too many messages wait for the front."""
        while not self._too_slow:
            self._queued = anyio.Event()
            while self._queue:
                message, line = self._queue.popleft()
                await self._received.send_chunk(line)
                if line == encode_message(message):  # the front cannot decode a truncated line
                    self._record_message(message)
            with anyio.move_on_after(HEARTBEAT_INTERVAL):
                await self._queued.wait()
                continue
            heartbeat = EndpointListMessage(self._service.version, self._service.epoch, is_heartbeat=True)
            await self._received.send_chunk(encode_message(heartbeat))

    def _record_message(self, message: EndpointListMessage) -> None:
        """Record that a message was sent to the front intact."""
        engines = [[entry.engine, entry.state, entry.started_unix_ms] for entry in message.engines]
        self._service.recorder.record_event(
            "told",
            front=self._front,
            version=message.version,
            whole=message.is_snapshot,
            engines=engines,
        )
