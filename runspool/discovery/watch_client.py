"""The watch on the list service: connects, reads news lines, comes again after a break."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote

import anyio
import h11
from anyio.abc import SocketStream

from runspool.config import EndpointListConfig
from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.discovery.watch_listener import WatchListener
from runspool.wire.endpoint_list import EndpointEntry, MalformedListLineError, read_news

RECEIVED = 65536
WATCH_PATH = "/v1/engines/watch"


class WatchInterruptedError(Exception):
    """The watch cannot go on as it is."""


class WatchClient:
    """Feeds `changed` with entries as they become known, and `lost` once for each break."""

    def __init__(
        self,
        terms: EndpointListConfig,
        front: str,
        following: EndpointTracker,
        now: Callable[[], int],
        changed: Callable[[list[EndpointEntry]], None],
        lost: Callable[[], None],
        source_address: str | None,
    ) -> None:
        self.terms = terms
        self.front = front
        self.following = following
        self.now = now
        self.hearer = WatchListener(following, now, changed, lost)
        self.source_address = source_address
        self.whole_next = True

    async def follow(self) -> None:
        """Runs until cancelled; whatever the service does, the last list stays."""
        while True:
            try:
                await self._once()
            except (
                WatchInterruptedError,
                MalformedListLineError,
                OSError,
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                h11.RemoteProtocolError,
            ) as fault:
                self.hearer.connection_lost(fault)
            self.hearer.lost()
            await anyio.sleep(self.terms.retry_ms / 1000)

    async def _once(self) -> None:
        quiet = self.terms.quiet_ms / 1000
        with anyio.fail_after(quiet):
            stream = await anyio.connect_tcp(self.terms.host, self.terms.port, local_host=self.source_address)
        async with stream:
            after = -1 if self.whole_next else self.following.version
            await self._ask(stream, after)
            state = self.state
            rest = bytearray()
            while True:
                with anyio.fail_after(quiet):
                    event = await self._event(stream, state)
                rest += event
                *lines, tail = bytes(rest).split(b"\n")
                rest = bytearray(tail)
                if len(rest) > self.terms.line_bytes:
                    raise WatchInterruptedError(f"a line of over {self.terms.line_bytes} bytes")
                for line in lines:
                    self._line(line)

    async def _ask(self, stream: SocketStream, after: int) -> None:
        self.state = h11.Connection(h11.CLIENT)
        target = f"{WATCH_PATH}?front={quote(self.front)}&after={after}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.terms.host)])
        head = self.state.send(request)
        assert head is not None
        self.state.send(h11.EndOfMessage())
        await stream.send(head)

    async def _event(self, stream: SocketStream, state: h11.Connection) -> bytes:
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                try:
                    state.receive_data(await stream.receive(RECEIVED))
                except anyio.EndOfStream:
                    state.receive_data(b"")
            elif isinstance(event, h11.Data):
                return bytes(event.data)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise WatchInterruptedError(f"status {event.status_code}")
            elif not isinstance(event, h11.InformationalResponse):
                raise WatchInterruptedError("the watch ended")

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            news = read_news(line)
        except MalformedListLineError:
            self.whole_next = True  # what it said is not known
            raise
        if news.whole:
            self.whole_next = False
        self.hearer.receive(news)
        if self.following.needs_snapshot(self.now()):
            self.whole_next = True
            raise WatchInterruptedError(f"news is missing after version {self.following.version}")
