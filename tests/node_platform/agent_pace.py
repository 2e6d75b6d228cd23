"""Response times, connection limits and outages of a scripted discovery agent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

MakeBody = Callable[[], Awaitable[bytes | None]]


@dataclass
class AgentPace:
    """The timing and the faults of an agent's answers.

    Attributes:
        delay: seconds from the moment at which the body of an answer is fixed to its first byte.
        cost: processing time of each call in seconds; calls are processed one at a time, abandoned ones too.
        pieces: number of pieces in which an answer is sent.
        piece_interval: seconds between two pieces.
        max_connections: connections beyond this number are reset; 0 sets no limit.
        drops: whether calls that are open during an outage are never answered, instead of at its end.
        skips_abandoned: whether calls whose connection closed during an outage are not processed after it.
        processing_lock: lock held by the call that is being processed; agents that share a process share it.
        reachable: set while no outage is in progress.
        outages_begun: number of outages so far, including those in progress.
        outages: number of outages in progress.
        readers: readers of the connections being served.
    """

    delay: float = 0.0
    cost: float = 0.0
    pieces: int = 1
    piece_interval: float = 0.0
    max_connections: int = 0
    drops: bool = False
    skips_abandoned: bool = False
    processing_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    reachable: asyncio.Event = field(default_factory=asyncio.Event)
    outages_begun: int = 0
    outages: int = 0
    readers: set[asyncio.StreamReader] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.reachable.set()

    def begin_outage(self) -> None:
        """Answer nothing until this outage, and any other, has ended."""
        self.outages_begun += 1
        self.outages += 1
        self.reachable.clear()

    def end_outage(self) -> None:
        """Answer again, unless another outage is in progress."""
        self.outages -= 1
        if not self.outages:
            self.reachable.set()

    @property
    def connections(self) -> int:
        """The number of connections that nodes have open."""
        return sum(not reader.at_eof() and reader.exception() is None for reader in self.readers)

    @contextmanager
    def connection(self, reader: asyncio.StreamReader) -> Iterator[bool]:
        """Count a connection while it is served; yield whether it is within the limit."""
        self.readers.add(reader)
        try:
            yield not self.max_connections or self.connections <= self.max_connections
        finally:
            self.readers.discard(reader)

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_body: MakeBody
    ) -> float | None:
        """Answer one call; return how many seconds that took, or None if the call gets no answer.

        The wait for the processing of other calls counts, time spent in outages does not.
        """
        outages = self.outages_begun - self.outages
        await self.reachable.wait()
        if self.skips_abandoned and reader.at_eof():
            return None
        took = await self._process_call()
        body = await make_body()
        await self.reachable.wait()
        if body is None or (self.drops and outages != self.outages_begun):
            return None
        return took + await self._write(writer, body)

    async def _process_call(self) -> float:
        if not self.cost:
            return 0.0
        began = asyncio.get_running_loop().time()
        async with self.processing_lock:
            await asyncio.sleep(self.cost)
        return asyncio.get_running_loop().time() - began

    async def _write(self, writer: asyncio.StreamWriter, body: bytes) -> float:
        """Send the answer; return the seconds that this took, without outages."""
        took = self.delay
        await asyncio.sleep(self.delay)
        size = -(-len(body) // self.pieces)
        for first in range(0, len(body), size):
            await self.reachable.wait()
            writer.write(body[first : first + size])
            if first + size < len(body):
                took += self.piece_interval
                await asyncio.sleep(self.piece_interval)
        return took
