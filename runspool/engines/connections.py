"""Connections to engines: made when needed, kept for a while, capped for each engine."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from runspool.engines.replies import Reply
from runspool.terms import EnginesTerms
from runspool.terms.checked import TENTHS, tenths

RECEIVED = 65536
HEAD_BYTES = 65536  # of an answer


class Full(Exception):
    """This front holds as many connections to the engine as it may."""


class Link:
    """One connection, and the answer that is being read off it."""

    __slots__ = ("address", "idle_since", "poll", "reply", "stream")

    def __init__(self, address: tuple[str, int], stream: SocketStream) -> None:
        self.address = address
        self.stream = stream
        self.reply = Reply(HEAD_BYTES)
        self.idle_since = 0
        self.poll = select.poll()
        self.poll.register(stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)

    def spoke(self) -> bool:
        """True where the peer has closed, reset or said something unasked: not to be sent anything more."""
        return bool(self.poll.poll(0))


class Pool:
    """Links by address. Nothing here waits for another's link: past the cap Full is raised at once."""

    def __init__(self, terms: EnginesTerms, now: Callable[[], int]) -> None:
        self.terms = terms
        self.now = now
        self.idle: dict[tuple[str, int], deque[Link]] = {}
        self.open: dict[tuple[str, int], int] = {}

    async def take(self, address: tuple[str, int]) -> Link:
        """An idle link that still stands, or a new one.

        Raises Full past the cap, OSError or TimeoutError where none can be made; cancelled, leaves none open.
        """
        waiting = self.idle.get(address)
        while waiting:
            link = waiting.pop()
            if not link.spoke() and self.now() - link.idle_since < self.terms.idle_ms * TENTHS:
                return link
            await self.drop(link)
        if self.open.get(address, 0) >= self.terms.connections_each:
            raise Full(f"{address[0]}:{address[1]}")
        self.open[address] = self.open.get(address, 0) + 1
        try:
            with anyio.fail_after(self.terms.connect_ms / 1000):
                stream = await anyio.connect_tcp(*address, local_host=self.terms.source_address)
        except BaseException:
            self._closed(address)
            raise
        return Link(address, stream)

    async def give_back(self, link: Link) -> None:
        """For a link whose exchange has ended; kept where it can serve again, else closed."""
        if link.reply.complete and link.reply.keeps_alive:
            link.reply = Reply(HEAD_BYTES)
            waiting = self.idle.setdefault(link.address, deque())
            if len(waiting) < self.terms.idle_each:
                link.idle_since = self.now()
                waiting.append(link)
                return
        await self.drop(link)

    async def drop(self, link: Link) -> None:
        """Closes a link at once, also where the caller has been cancelled."""
        self._closed(link.address)
        await anyio.aclose_forcefully(link.stream)

    async def sweep(self) -> None:
        """Closes links idle for too long; the longest idle stand first."""
        oldest = self.now() - tenths(self.terms.idle_ms)
        for address, waiting in list(self.idle.items()):
            while waiting and waiting[0].idle_since < oldest:
                await self.drop(waiting.popleft())
            if not waiting:
                self.idle.pop(address, None)

    async def close(self) -> None:
        for waiting in self.idle.values():
            while waiting:
                await self.drop(waiting.popleft())

    def _closed(self, address: tuple[str, int]) -> None:
        left = self.open.get(address, 1) - 1
        if left:
            self.open[address] = left
        else:
            self.open.pop(address, None)
