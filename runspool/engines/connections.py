"""Connections to engines: made when needed, kept for a while, capped for each engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio

from runspool.engines.replies import Reply
from runspool.sockets.lines import Line, dial
from runspool.units import TENTHS, tenths

HEAD_BYTES = 65536  # of an answer

Address = tuple[str, int]


class Speaking(Protocol):
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


class Full(Exception):
    """This front holds as many connections to the engine as it may."""


class Link:
    """One connection, and the answer that is being read off it."""

    __slots__ = ("address", "idle_since", "line", "reply", "round_trip")

    def __init__(self, address: Address, line: Line, round_trip: int) -> None:
        """`round_trip`: tenths of a millisecond that connecting took, one round trip at least."""
        self.address = address
        self.line = line
        self.reply = Reply(HEAD_BYTES)
        self.round_trip = round_trip
        self.idle_since = 0  # 0 until it has carried an exchange

    def spoke(self) -> bool:
        """True where the peer has closed, reset or said something unasked: not to be sent anything more."""
        return self.line.spoke()


class Pool:
    """Links by address. Nothing here waits for another's link: past the cap Full is raised at once."""

    def __init__(self, terms: Speaking, now: Callable[[], int], most: int = 0, rest: int = 0) -> None:
        """`most` bounds the links to all engines together, 0 sets no bound. For `rest` tenths of a
        millisecond after an exchange a link is passed over where another can be had."""
        self.terms = terms
        self.most = most
        self.rest = rest
        self.now = now
        self.idle: dict[Address, deque[Link]] = {}
        self.open: dict[Address, int] = {}

    async def take(self, address: Address) -> Link:
        """An idle link that still stands, or a new one.

        Raises Full past the cap, OSError or TimeoutError where none can be made; cancelled, leaves none open.
        """
        waiting = self.idle.get(address, deque())
        rested_since = self.now() - self.rest
        for link in reversed([link for link in waiting if link.idle_since <= rested_since]):
            if self._stands(link):
                return link
        if self._full(address):
            while waiting:  # only younger ones by now, the longest idle first
                if self._stands(link := waiting[0]):
                    return link
        if self.open.get(address, 0) >= self.terms.connections_each:
            raise Full(f"{address[0]}:{address[1]}")
        if self._full(address) and not self._spare():
            raise Full(f"all {self.most} connections to engines are in use")
        self.open[address] = self.open.get(address, 0) + 1
        began = self.now()
        try:
            with anyio.fail_after(self.terms.connect_ms / 1000):
                line = await dial(address, self.terms.source_address)
        except BaseException:
            self._closed(address)
            raise
        return Link(address, line, self.now() - began + 1)

    def give_back(self, link: Link) -> None:
        """For a link whose exchange has ended; kept where it can serve again, else closed."""
        if link.reply.complete and link.reply.keeps_alive:
            link.reply.renew()
            waiting = self.idle.setdefault(link.address, deque())
            if len(waiting) < self.terms.idle_each:
                link.idle_since = self.now()
                waiting.append(link)
                return
        self.drop(link)

    def drop(self, link: Link) -> None:
        """Closes a link at once."""
        self._closed(link.address)
        link.line.drop()
        link.reply.free()

    def sweep(self) -> None:
        """Closes links idle for too long; the longest idle stand first."""
        oldest = self.now() - tenths(self.terms.idle_ms)
        for address, waiting in list(self.idle.items()):
            while waiting and waiting[0].idle_since < oldest:
                self.drop(waiting.popleft())
            if not waiting:
                self.idle.pop(address, None)

    def close(self) -> None:
        for waiting in self.idle.values():
            while waiting:
                self.drop(waiting.popleft())

    def _stands(self, link: Link) -> bool:
        """Takes an idle link; where it can serve no more it is closed, and False."""
        self.idle[link.address].remove(link)
        if not link.spoke() and self.now() - link.idle_since < self.terms.idle_ms * TENTHS:
            return True
        self.drop(link)
        return False

    def _full(self, address: Address) -> bool:
        """True where a new link would pass the engine's cap or that of all together."""
        return self.open.get(address, 0) >= self.terms.connections_each or 0 < self.most <= sum(
            self.open.values()
        )

    def _spare(self) -> bool:
        """Closes the link idle for longest, for one to another engine; False where none is idle."""
        idle = [waiting[0] for waiting in self.idle.values() if waiting]
        if idle:
            link = min(idle, key=lambda link: link.idle_since)
            self.idle[link.address].popleft()
            self.drop(link)
        return bool(idle)

    def _closed(self, address: Address) -> None:
        left = self.open.get(address, 1) - 1
        if left:
            self.open[address] = left
        else:
            self.open.pop(address, None)
