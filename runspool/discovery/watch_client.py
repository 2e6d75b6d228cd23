"""The watch on the list service: connects, reads messages by lines, reconnects after an interruption."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import anyio
import h11
from anyio.abc import SocketStream

from runspool.config import EndpointListConfig
from runspool.discovery.concurrent_calls import age_ratio
from runspool.discovery.endpoint_tracker import NO_VERSION, EndpointTracker
from runspool.discovery.watch_listener import WatchListener
from runspool.errors import RunspoolError
from runspool.wire.endpoint_list import EndpointEntry, MalformedListLineError, decode_message

RECEIVE_BYTES = 65_536  # read from the socket at once
WATCH_PATH = "/v1/engines/watch"
MS_PER_SECOND = 1_000
HTTP_OK = 200
MAX_OPENING_ATTEMPTS = 6  # out at once


class WatchInterruptedError(RunspoolError):
    """The watch cannot go on over its connection.

    Attributes:
        reason: why not.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


WATCH_ERRORS = (
    WatchInterruptedError,
    MalformedListLineError,
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)


@dataclass(slots=True)
class _OpenWatch:
    """A watch that has brought its first data."""

    stream: SocketStream
    connection: h11.Connection
    first_data: bytes


class _OpeningAttempts:
    """The attempts to open a watch that are out, their ages growing.

    Attributes:
        winner: the first watch that has brought data.
        fault: the last failure, None before any.
        out: the attempts that are out and when they were begun, the oldest first.
        settled: set once there is a winner, or no attempt is out any more.
    """

    def __init__(self) -> None:
        self.winner: _OpenWatch | None = None
        self.fault: Exception | None = None
        self.out: list[tuple[anyio.CancelScope, int]] = []
        self.settled = anyio.Event()

    def begin(self, now: int) -> anyio.CancelScope:
        """Returns the scope of a new attempt; where too many are out, one is cancelled."""
        if len(self.out) >= MAX_OPENING_ATTEMPTS:
            made_at = [*(begun_at for _, begun_at in self.out), now]
            inner = range(1, len(self.out))
            self.out.pop(min(inner, key=lambda position: age_ratio(made_at, position, now)))[0].cancel()
        scope = anyio.CancelScope()
        self.out.append((scope, now))
        return scope

    def opened(self, watch: _OpenWatch) -> bool:
        """Takes the first watch that has brought data; False for a later one, which its caller closes."""
        if self.winner is not None:
            return False
        self.winner = watch
        self.settled.set()
        return True

    def failed(self, scope: anyio.CancelScope, fault: Exception) -> None:
        """Notes that an attempt has failed."""
        self.fault = fault
        self.out = [(other, begun_at) for other, begun_at in self.out if other is not scope]
        if not self.out:
            self.settled.set()


class WatchClient:
    """Follows the list service.

    Calls `on_changed` with the entries that changed as they become known, and `on_lost` once for each
    interruption.
    """

    def __init__(
        self,
        settings: EndpointListConfig,
        front_name: str,
        tracker: EndpointTracker,
        now: Callable[[], int],
        on_changed: Callable[[list[EndpointEntry]], None],
        on_lost: Callable[[], None],
        source_address: str | None,
    ) -> None:
        self.settings = settings
        self.front_name = front_name
        self.tracker = tracker
        self.now = now
        self.listener = WatchListener(tracker, now, on_changed, on_lost)
        self.source_address = source_address
        self.needs_whole_list = True  # the next connection requests the whole list, not what changed

    async def follow(self) -> None:
        """Runs until cancelled; whatever the service does, what is known of the list stays."""
        while True:
            try:
                await self._watch_once()
            except WATCH_ERRORS as fault:
                self.listener.connection_lost(fault)
            self.listener.on_lost()
            await anyio.sleep(self.settings.retry_ms / MS_PER_SECOND)

    async def _watch_once(self) -> None:
        """Opens a watch and reads from it until it fails; always ends by an exception."""
        opened = await self._open()
        data, partial_line = opened.first_data, b""
        async with opened.stream:
            while True:
                *lines, partial_line = (partial_line + data).split(b"\n")
                if len(partial_line) > self.settings.line_bytes:
                    raise WatchInterruptedError(f"a line of over {self.settings.line_bytes} bytes")
                for line in lines:
                    self._receive_line(line)
                with anyio.fail_after(self.settings.quiet_ms / MS_PER_SECOND):
                    data = await self._receive_data(opened.stream, opened.connection)

    async def _open(self) -> _OpenWatch:
        """Opens a watch: the first that brings data, of one begun each `quiet_ms` as long as none does.

        None is given up for being slow, as a service that is slower than that would never be heard.

        Raises:
            Exception: one of WATCH_ERRORS, where an attempt has failed and no other is out.
        """
        attempts = _OpeningAttempts()

        async def attempt(scope: anyio.CancelScope) -> None:
            with scope:
                try:
                    watch = await self._connect()
                    if not attempts.opened(watch):
                        await anyio.aclose_forcefully(watch.stream)
                except WATCH_ERRORS as fault:
                    attempts.failed(scope, fault)

        async with anyio.create_task_group() as tasks:
            while attempts.winner is None and (attempts.out or attempts.fault is None):
                tasks.start_soon(attempt, attempts.begin(self.now()))
                with anyio.move_on_after(self.settings.quiet_ms / MS_PER_SECOND):
                    await attempts.settled.wait()
            tasks.cancel_scope.cancel()
        if attempts.winner is not None:
            return attempts.winner
        raise attempts.fault or WatchInterruptedError("no watch could be opened")

    async def _connect(self) -> _OpenWatch:
        """Opens one connection, requests the watch and waits for its first data."""
        stream = await anyio.connect_tcp(
            self.settings.host, self.settings.port, local_host=self.source_address
        )
        try:
            after_version = NO_VERSION if self.needs_whole_list else self.tracker.version
            connection = await self._send_request(stream, after_version)
            return _OpenWatch(stream, connection, await self._receive_data(stream, connection))
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise

    async def _send_request(self, stream: SocketStream, after_version: int) -> h11.Connection:
        connection = h11.Connection(h11.CLIENT)
        target = f"{WATCH_PATH}?front={quote(self.front_name)}&after={after_version}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.settings.host)])
        head = connection.send(request)
        assert head is not None
        connection.send(h11.EndOfMessage())
        await stream.send(head)
        return connection

    async def _receive_data(self, stream: SocketStream, connection: h11.Connection) -> bytes:
        """Returns the next piece of the response's body."""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    connection.receive_data(await stream.receive(RECEIVE_BYTES))
                except anyio.EndOfStream:
                    connection.receive_data(b"")
            elif isinstance(event, h11.Data):
                return bytes(event.data)
            elif isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    raise WatchInterruptedError(f"status {event.status_code}")
            elif not isinstance(event, h11.InformationalResponse):
                raise WatchInterruptedError("the watch ended")

    def _receive_line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = decode_message(line)
        except MalformedListLineError:
            self.needs_whole_list = True  # what the line announced is not known
            raise
        if message.is_snapshot:
            self.needs_whole_list = False
        self.listener.receive(message)
        if self.tracker.needs_snapshot(self.now()):
            self.needs_whole_list = True
            raise WatchInterruptedError(f"news is missing after version {self.tracker.version}")
