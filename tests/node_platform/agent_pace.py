"""The pace at which an agent of the endpoint list answers, and its outages."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

MakeBody = Callable[[], Awaitable[bytes | None]]


@dataclass
class AgentPace:
    """How an agent process answers; one may be shared by the agents of many nodes.

    Attributes:
        delay: seconds from when the contents of an answer are settled to its first byte.
        cost: seconds of the process that each call takes, one call at a time, abandoned ones too.
        pieces: in how many pieces an answer comes.
        piece_interval: seconds between two pieces.
        most_connections: connections past this number are reset; 0 sets no limit.
        drops: calls that meet an outage are never answered, rather than at its end.
    """

    delay: float = 0.0
    cost: float = 0.0
    pieces: int = 1
    piece_interval: float = 0.0
    most_connections: int = 0
    drops: bool = False
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    reachable: asyncio.Event = field(default_factory=asyncio.Event)
    outages: int = 0
    readers: set[asyncio.StreamReader] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.reachable.set()

    def begin_outage(self) -> None:
        """Answer nothing until the outage ends."""
        self.outages += 1
        self.reachable.clear()

    def end_outage(self) -> None:
        """Answer again."""
        self.reachable.set()

    @property
    def connections(self) -> int:
        """How many connections the nodes have open."""
        return sum(not reader.at_eof() and reader.exception() is None for reader in self.readers)

    @contextmanager
    def connection(self, reader: asyncio.StreamReader) -> Iterator[bool]:
        """Count a connection; yields whether it may stay."""
        self.readers.add(reader)
        try:
            yield not self.most_connections or self.connections <= self.most_connections
        finally:
            self.readers.discard(reader)

    async def answer(self, writer: asyncio.StreamWriter, make_body: MakeBody) -> bool:
        """Answer one call at this pace; returns False where it never gets an answer."""
        outages = self.outages - (not self.reachable.is_set())
        await self.reachable.wait()
        await self._take_turn()
        body = await make_body()
        await self.reachable.wait()
        if body is None or (self.drops and outages != self.outages):
            return False
        await self._write(writer, body)
        return True

    async def _take_turn(self) -> None:
        if self.cost:
            async with self.turn:
                await asyncio.sleep(self.cost)

    async def _write(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        await asyncio.sleep(self.delay)
        size = -(-len(body) // self.pieces)
        for first in range(0, len(body), size):
            await self.reachable.wait()
            writer.write(body[first : first + size])
            if first + size < len(body):
                await asyncio.sleep(self.piece_interval)
