"""The watch on the list service: connects, reads messages by lines, reconnects after an interruption."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

import anyio
import h11
from anyio.abc import SocketStream

from runspool.config import EndpointListConfig
from runspool.discovery.endpoint_tracker import NO_VERSION, EndpointTracker
from runspool.discovery.watch_listener import WatchListener
from runspool.errors import RunspoolError
from runspool.wire.endpoint_list import EndpointEntry, MalformedListLineError, decode_message

RECEIVE_BYTES = 65_536  # read from the socket at once
WATCH_PATH = "/v1/engines/watch"
MS_PER_SECOND = 1_000
HTTP_OK = 200


class WatchInterruptedError(RunspoolError):
    """The watch cannot go on over its connection.

    Attributes:
        reason: why not.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


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
            except (
                WatchInterruptedError,
                MalformedListLineError,
                OSError,
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                h11.RemoteProtocolError,
            ) as fault:
                self.listener.connection_lost(fault)
            self.listener.on_lost()
            await anyio.sleep(self.settings.retry_ms / MS_PER_SECOND)

    async def _watch_once(self) -> None:
        """Opens one connection and reads from it until it fails; always ends by an exception."""
        quiet_seconds = self.settings.quiet_ms / MS_PER_SECOND
        with anyio.fail_after(quiet_seconds):
            stream = await anyio.connect_tcp(
                self.settings.host, self.settings.port, local_host=self.source_address
            )
        async with stream:
            after_version = NO_VERSION if self.needs_whole_list else self.tracker.version
            connection = await self._send_request(stream, after_version)
            partial_line = b""
            while True:
                with anyio.fail_after(quiet_seconds):
                    data = await self._receive_data(stream, connection)
                *lines, partial_line = (partial_line + data).split(b"\n")
                if len(partial_line) > self.settings.line_bytes:
                    raise WatchInterruptedError(f"a line of over {self.settings.line_bytes} bytes")
                for line in lines:
                    self._receive_line(line)

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
