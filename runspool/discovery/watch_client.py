"""HTTP client for the watch on the list service. It reconnects after an interruption."""

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

RECEIVE_BYTES = 65_536  # maximum size of one read from the socket
WATCH_PATH = "/v1/engines/watch"
MS_PER_SECOND = 1_000
HTTP_OK = 200
MAX_OPENING_ATTEMPTS = 6  # maximum number of concurrent attempts to open a watch


class WatchInterruptedError(RunspoolError):
    """The watch has ended or cannot be continued on its connection.

    Attributes:
        reason: Description of the cause.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


# Exceptions that end a connection of the watch.
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
    """A watch whose first data has been received."""

    stream: SocketStream
    connection: h11.Connection
    first_data: bytes


class _OpeningAttempts:
    """Concurrent attempts to open a watch. The first one that receives data is used.

    Attributes:
        winner: The watch that received data first; None if there is none yet.
        last_error: The last failure; None before the first one.
        pending: Cancel scope and start time of each pending attempt, the oldest first.
        settled: Set once there is a winner or no attempt is pending.
    """

    def __init__(self) -> None:
        self.winner: _OpenWatch | None = None
        self.last_error: Exception | None = None
        self.pending: list[tuple[anyio.CancelScope, int]] = []
        self.settled = anyio.Event()

    def begin(self, now: int) -> anyio.CancelScope:
        """Register a new attempt and return its cancel scope; cancel another one if too many are pending."""
        if len(self.pending) >= MAX_OPENING_ATTEMPTS:
            made_at = [*(started_at for _, started_at in self.pending), now]
            inner = range(1, len(self.pending))
            self.pending.pop(min(inner, key=lambda position: age_ratio(made_at, position, now)))[0].cancel()
        scope = anyio.CancelScope()
        self.pending.append((scope, now))
        return scope

    def opened(self, watch: _OpenWatch) -> bool:
        """Store the first open watch; return False for a later one, which the caller must close."""
        if self.winner is not None:
            return False
        self.winner = watch
        self.settled.set()
        return True

    def failed(self, scope: anyio.CancelScope, error: Exception) -> None:
        """Record the failure of an attempt."""
        self.last_error = error
        self.pending = [(other, started_at) for other, started_at in self.pending if other is not scope]
        if not self.pending:
            self.settled.set()


class WatchClient:
    """Receives the changes of the endpoint list from the list service.

    It calls `on_changed` with the changed entries of each message, and `on_lost` once for each interruption.
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
        # Whether the next connection requests the whole list instead of the changes.
        self.needs_whole_list = True

    async def follow(self) -> None:
        """Watch the list until cancelled. The known list is kept while the service is unreachable."""
        while True:
            try:
                await self._watch_once()
            except WATCH_ERRORS as error:
                self.listener.connection_lost(error)
            self.listener.on_lost()
            await anyio.sleep(self.settings.retry_ms / MS_PER_SECOND)

    async def _watch_once(self) -> None:
        """Open a watch and read from it until it is interrupted, which raises one of WATCH_ERRORS."""
        opened = await self._open()
        data, partial_line = opened.first_data, b""
        async with opened.stream:
            message_due = anyio.current_time() + self.settings.quiet_ms / MS_PER_SECOND
            while True:
                *lines, partial_line = (partial_line + data).split(b"\n")
                if len(partial_line) > self.settings.line_bytes:
                    raise WatchInterruptedError(f"line exceeds {self.settings.line_bytes} bytes")
                for line in lines:
                    self._receive_line(line)
                if any(line.strip() for line in lines):
                    message_due = anyio.current_time() + self.settings.quiet_ms / MS_PER_SECOND
                # Bytes that complete no message do not extend the wait for the next one.
                with anyio.fail_after(message_due - anyio.current_time()):
                    data = await self._receive_data(opened.stream, opened.connection)

    async def _open(self) -> _OpenWatch:
        """Open a watch and return it once it has received data.

        A further attempt starts every `quiet_ms` until one receives data. A slow attempt is not cancelled
        when the next one starts, because then a service that takes longer than `quiet_ms` could never be
        reached.

        Raises:
            Exception: One of WATCH_ERRORS, if an attempt has failed and no other is pending.
        """
        attempts = _OpeningAttempts()

        async def attempt(scope: anyio.CancelScope) -> None:
            with scope:
                try:
                    watch = await self._connect()
                    if not attempts.opened(watch):
                        await anyio.aclose_forcefully(watch.stream)
                except WATCH_ERRORS as error:
                    attempts.failed(scope, error)

        try:
            async with anyio.create_task_group() as tasks:
                while attempts.winner is None and (attempts.pending or attempts.last_error is None):
                    tasks.start_soon(attempt, attempts.begin(self.now()))
                    with anyio.move_on_after(self.settings.quiet_ms / MS_PER_SECOND):
                        await attempts.settled.wait()
                tasks.cancel_scope.cancel()
        except BaseException:
            if attempts.winner is not None:  # this call is being cancelled, so nobody else closes the watch
                await anyio.aclose_forcefully(attempts.winner.stream)
            raise
        if attempts.winner is not None:
            return attempts.winner
        raise attempts.last_error or WatchInterruptedError("the watch could not be opened")

    async def _connect(self) -> _OpenWatch:
        """Open a connection, request the watch and wait for its first data."""
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
        """Return the next part of the response body."""
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
                raise WatchInterruptedError("the service ended the watch")

    def _receive_line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = decode_message(line)
        except MalformedListLineError:
            self.needs_whole_list = True  # the changes in that line are unknown
            raise
        if message.is_snapshot:
            self.needs_whole_list = False
        self.listener.receive(message)
        if self.tracker.needs_snapshot(self.now()):
            self.needs_whole_list = True
            raise WatchInterruptedError(f"messages are missing after version {self.tracker.version}")
