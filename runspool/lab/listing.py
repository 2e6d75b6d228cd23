"""A stand-in endpoint list service: numbered updates streamed to every front, late or garbled on request."""

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
HEARTBEAT_INTERVAL = 1.0  # seconds
HISTORY_MESSAGES = 64  # to which a front that subscribes again can go back
MAX_QUEUED_MESSAGES = 1024  # for a slow front before its subscription is ended
IDLE_WAIT = 3600.0  # seconds
MIN_WAIT = 0.001  # seconds
NOISES = ["", "repeat", "reorder", "tear"]


class EndpointListService:
    """Knows the true state of the engines and publishes it `delay` later.

    Attributes:
        record: where every message that a front has received intact is recorded.
        delay: tenths of a millisecond between an update and its publication.
        noisy: whether some lines are torn, repeated or reordered.
        rng: draws which.
        epoch: of the list's versions.
        version: of the list as published.
        known: the published entries by engine.
        watchers: the fronts' subscriptions.
        port: 0 until it serves.
    """

    def __init__(self, record: Recorder, delay: int, seed: int = 0) -> None:
        self.record = record
        self.delay = delay
        self.noisy = False
        self.rng = Random(seed)
        self.epoch = f"{now():x}"
        self.version = 0
        self.known: dict[str, EndpointEntry] = {}
        self.watchers: list[_Subscription] = []
        self.port = 0
        self._history: deque[EndpointListMessage] = deque(maxlen=HISTORY_MESSAGES)
        self._pending: deque[tuple[int, EndpointEntry]] = deque()  # when it is published, in that order
        self._changed = anyio.Event()

    def set(self, entry: EndpointEntry, at_once: bool = False) -> None:
        """Update an engine's entry; it is published after the delay that holds now."""
        publish_at = now() + (0 if at_once else self.delay)
        # A late update is never overtaken by the next: the service is late as a whole.
        publish_at = max(publish_at, self._pending[-1][0] if self._pending else 0)
        self._pending.append((publish_at, entry))
        self._changed.set()

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port as started."""
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
        while True:
            self._changed = anyio.Event()
            while self._pending and self._pending[0][0] <= now():
                self._publish(self._pending.popleft()[1])
            wait = (self._pending[0][0] - now()) / SECOND if self._pending else IDLE_WAIT
            with anyio.move_on_after(max(MIN_WAIT, wait)):
                await self._changed.wait()

    def _publish(self, entry: EndpointEntry) -> None:
        self.version += 1
        if entry.state == "gone":
            self.known.pop(entry.engine, None)
        else:
            self.known[entry.engine] = entry
        message = EndpointListMessage(self.version, self.epoch, engines=[entry])
        self._history.append(message)
        for watcher in list(self.watchers):
            watcher.put(message)

    async def _serve_connection(self, stream: SocketStream) -> None:
        await serve_requests(stream, self._handle)

    async def _handle(self, received: ReceivedRequest) -> None:
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
            subscription.put(message, intact=True)
        self.watchers.append(subscription)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_when_gone, received, tasks.cancel_scope)
                await subscription.run()
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            if group.split(PeerClosedError)[1] is not None:
                raise
        finally:
            self.watchers.remove(subscription)

    def _messages_since(self, version: int) -> list[EndpointListMessage]:
        """Return what is new after a version: the updates if all are still there, else a snapshot."""
        missed = [message for message in self._history if message.version > version]
        if 0 <= version <= self.version and len(missed) == self.version - version:
            return missed
        entries = list(self.known.values())
        return [EndpointListMessage(self.version, self.epoch, is_snapshot=True, engines=entries)]


async def _cancel_when_gone(received: ReceivedRequest, scope: anyio.CancelScope) -> None:
    await received.watch()
    scope.cancel()


class _Subscription:
    """A front's stream of messages. Each waits with its line, which noise may have torn."""

    def __init__(self, service: EndpointListService, received: ReceivedRequest, front: str) -> None:
        self._service = service
        self._received = received
        self._front = front
        self._queue: deque[tuple[EndpointListMessage, bytes]] = deque()
        self._queued = anyio.Event()
        self._too_slow = False

    def put(self, message: EndpointListMessage, intact: bool = False) -> None:
        """Queue a message, with noise unless it must be `intact`."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._too_slow = True  # the front subscribes again and gets a snapshot
        noisy = self._service.noisy and not intact
        noise = self._service.rng.choice(NOISES) if noisy else ""
        line = encode_message(message)
        if noise == "tear":
            line = line[: len(line) // 2] + b"\n"
        if noise == "reorder" and self._queue:
            self._queue.insert(len(self._queue) - 1, (message, line))
        else:
            self._queue.append((message, line))
        if noise == "repeat":
            self._queue.append((message, line))
        self._queued.set()

    async def run(self) -> None:
        """Send messages, and heartbeats between them, until the front is too slow."""
        while not self._too_slow:
            self._queued = anyio.Event()
            while self._queue:
                message, line = self._queue.popleft()
                await self._received.send_chunk(line)
                if line == encode_message(message):  # a torn line means nothing to the front
                    self._record_message(message)
            with anyio.move_on_after(HEARTBEAT_INTERVAL):
                await self._queued.wait()
                continue
            heartbeat = EndpointListMessage(self._service.version, self._service.epoch, is_heartbeat=True)
            await self._received.send_chunk(encode_message(heartbeat))

    def _record_message(self, message: EndpointListMessage) -> None:
        engines = [[entry.engine, entry.state, entry.started_unix_ms] for entry in message.engines]
        self._service.record.line(
            "told",
            front=self._front,
            version=message.version,
            whole=message.is_snapshot,
            engines=engines,
        )
