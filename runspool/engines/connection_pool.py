"""Connections to engines: made when needed, kept for a while, capped for each engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio

from runspool.engines.response_parser import ResponseParser
from runspool.transport.tcp import TcpConnection, connect
from runspool.units import TENTHS, tenths

HEAD_BYTES = 65536  # of an answer

Address = tuple[str, int]


class ClientSettings(Protocol):
    """How engines are spoken to; times in milliseconds."""

    @property
    def connect_ms(self) -> float: ...
    @property
    def idle_ms(self) -> float: ...
    @property
    def connections_each(self) -> int: ...
    @property
    def idle_each(self) -> int: ...
    @property
    def read_answer_bytes(self) -> int: ...
    @property
    def line_bytes(self) -> int: ...
    @property
    def source_address(self) -> str | None: ...


class ConnectionLimitError(Exception):
    """This front holds as many connections to the engine as it may."""


class PooledConnection:
    """One connection, and the answer that is being read off it."""

    __slots__ = ("address", "idle_since", "response", "round_trip", "tcp")

    def __init__(self, address: Address, line: TcpConnection, round_trip: int) -> None:
        """`round_trip`: tenths of a millisecond that connecting took, one round trip at least."""
        self.address = address
        self.tcp = line
        self.response = ResponseParser(HEAD_BYTES)
        self.round_trip = round_trip
        self.idle_since = 0  # 0 until it has carried an exchange

    def has_unsolicited_data(self) -> bool:
        """True where the peer has closed, reset or said something unasked: not to be sent anything more."""
        return self.tcp.has_unsolicited_data()


class ConnectionPool:
    """Links by address. Nothing here waits for another's link: past the cap Full is raised at once."""

    def __init__(self, terms: ClientSettings, now: Callable[[], int], most: int = 0, rest: int = 0) -> None:
        """`most` bounds the links to all engines together, 0 sets no bound. For `rest` tenths of a
        millisecond after an exchange a link is passed over where another can be had."""
        self.settings = terms
        self.max_connections = most
        self.quiet_time = rest
        self.now = now
        self.idle: dict[Address, deque[PooledConnection]] = {}
        self.open_counts: dict[Address, int] = {}

    async def acquire(self, address: Address) -> PooledConnection:
        """An idle link that still stands, or a new one.

        Raises Full past the cap, OSError or TimeoutError where none can be made; cancelled, leaves none open.
        """
        waiting = self.idle.get(address, deque())
        rested_since = self.now() - self.quiet_time
        for link in reversed([link for link in waiting if link.idle_since <= rested_since]):
            if self._stands(link):
                return link
        if self._full(address):
            while waiting:  # only younger ones by now, the longest idle first
                if self._stands(link := waiting[0]):
                    return link
        if self.open_counts.get(address, 0) >= self.settings.connections_each:
            raise ConnectionLimitError(f"{address[0]}:{address[1]}")
        if self._full(address) and not self._spare():
            raise ConnectionLimitError(f"all {self.max_connections} connections to engines are in use")
        self.open_counts[address] = self.open_counts.get(address, 0) + 1
        began = self.now()
        try:
            with anyio.fail_after(self.settings.connect_ms / 1000):
                line = await connect(address, self.settings.source_address)
        except BaseException:
            self._closed(address)
            raise
        return PooledConnection(address, line, self.now() - began + 1)

    def release(self, link: PooledConnection) -> None:
        """For a link whose exchange has ended; kept where it can serve again, else closed."""
        if link.response.complete and link.response.keep_alive:
            link.response.reset()
            waiting = self.idle.setdefault(link.address, deque())
            if len(waiting) < self.settings.idle_each:
                link.idle_since = self.now()
                waiting.append(link)
                return
        self.discard(link)

    def discard(self, link: PooledConnection) -> None:
        """Closes a link at once."""
        self._closed(link.address)
        link.tcp.close()
        link.response.detach_parser()

    def close_idle(self) -> None:
        """Closes links idle for too long; the longest idle stand first."""
        oldest = self.now() - tenths(self.settings.idle_ms)
        for address, waiting in list(self.idle.items()):
            while waiting and waiting[0].idle_since < oldest:
                self.discard(waiting.popleft())
            if not waiting:
                self.idle.pop(address, None)

    def close(self) -> None:
        for waiting in self.idle.values():
            while waiting:
                self.discard(waiting.popleft())

    def _stands(self, link: PooledConnection) -> bool:
        """Takes an idle link; where it can serve no more it is closed, and False."""
        self.idle[link.address].remove(link)
        if not link.has_unsolicited_data() and self.now() - link.idle_since < self.settings.idle_ms * TENTHS:
            return True
        self.discard(link)
        return False

    def _full(self, address: Address) -> bool:
        """True where a new link would pass the engine's cap or that of all together."""
        return self.open_counts.get(
            address, 0
        ) >= self.settings.connections_each or 0 < self.max_connections <= sum(self.open_counts.values())

    def _spare(self) -> bool:
        """Closes the link idle for longest, for one to another engine; False where none is idle."""
        idle = [waiting[0] for waiting in self.idle.values() if waiting]
        if idle:
            link = min(idle, key=lambda link: link.idle_since)
            self.idle[link.address].popleft()
            self.discard(link)
        return bool(idle)

    def _closed(self, address: Address) -> None:
        left = self.open_counts.get(address, 1) - 1
        if left:
            self.open_counts[address] = left
        else:
            self.open_counts.pop(address, None)
