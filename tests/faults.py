"""A proxy on loopback that stands before an engine and does what networks do: silence, delay, pieces, resets.

The proxy's own kernel goes on to acknowledge what is sent to it, as that of a hung process does: a sender
sees no error and no sign that its bytes have gone nowhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

HOST = "127.0.0.1"
PIECE = 65_536
NUMBERS = count()


@dataclass
class Direction:
    """What happens to bytes on their way; silence holds them until it ends."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)
    delay: float = 0.0  # seconds that each piece is held back
    piece: int = PIECE  # bytes passed on at a time
    shut: int = 0  # faults that keep it shut, where several overlap
    silent_after: int | None = None  # bytes of a connection after which nothing more is passed on

    def __post_init__(self) -> None:
        self.gate.set()


class EndingReader(asyncio.StreamReader):
    """Tells at once when the peer has ended or been lost, read or not."""

    ended: Callable[[], None] = staticmethod(lambda: None)

    def feed_eof(self) -> None:
        super().feed_eof()
        self.ended()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self.ended()


class FaultProxy:
    """Passes connections on to a port of this machine; what it sees can be heard by a subclass."""

    def __init__(self, target: Callable[[], int]) -> None:
        self.target = target
        self.to_engine, self.from_engine = Direction(), Direction()
        self.server: asyncio.Server
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    # What a subclass may hear, by the connection's number.

    def came(self, number: int, data: bytes) -> None:
        """Bytes have come from the node; they may be held back."""

    def went(self, number: int, data: bytes) -> None:
        """Bytes of an answer have been handed to the node's connection."""

    def ended(self, number: int) -> None:
        """The node has closed or reset the connection, or has been lost."""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = EndingReader(loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self.server = await loop.create_server(protocol, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def silence(self) -> None:
        """From now on nothing passes either way, on open connections and new ones."""
        self.to_engine.gate.clear()
        self.from_engine.gate.clear()

    def heal(self) -> None:
        """What was held goes on."""
        self.to_engine.gate.set()
        self.from_engine.gate.set()

    def reset(self) -> None:
        """Resets all open connections on both sides."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Takes no more connections and resets those that are open."""
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task, number = asyncio.current_task(), next(NUMBERS)
        assert task is not None and isinstance(reader, EndingReader)
        reader.ended = lambda: self.ended(number)
        self.tasks.add(task)
        self.writers.add(writer)
        beyond: asyncio.StreamWriter | None = None
        try:
            with suppress(OSError, asyncio.CancelledError):
                answers, beyond = await asyncio.open_connection(HOST, self.target())
                self.writers.add(beyond)
                await self._both(number, reader, writer, answers, beyond)
        finally:
            self.tasks.discard(task)
            self.ended(number)
            for one in (writer, beyond):
                if one is not None:
                    self.writers.discard(one)
                    one.transport.abort()

    async def _both(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: asyncio.StreamReader,
        beyond: asyncio.StreamWriter,
    ) -> None:
        ways = [
            asyncio.ensure_future(
                self._pass(
                    reader, beyond, self.to_engine, lambda data: self.came(number, data), lambda data: None
                )
            ),
            asyncio.ensure_future(
                self._pass(
                    answers, writer, self.from_engine, lambda data: None, lambda data: self.went(number, data)
                )
            ),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        how: Direction,
        came: Callable[[bytes], None],
        went: Callable[[bytes], None],
    ) -> None:
        passed = 0
        while data := await reader.read(how.piece):
            came(data)
            if how.silent_after is not None and passed + len(data) > how.silent_after:
                writer.write(data[: max(0, how.silent_after - passed)])
                await asyncio.Event().wait()
            if how.delay:
                await asyncio.sleep(how.delay)
            await how.gate.wait()
            writer.write(data)
            went(data)
            passed += len(data)
            await writer.drain()
