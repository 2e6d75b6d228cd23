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
from typing import Any

HOST = "127.0.0.1"
PIECE = 65_536
CONNECTION_NUMBERS = count()


@dataclass
class Direction:
    """What happens to bytes on their way; silence holds them until it ends."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)
    delay: float = 0.0  # seconds that each piece is held back
    piece: int = PIECE  # bytes passed on at a time
    silences: int = 0  # faults that keep it silent, where several overlap
    silent_after: int | None = None  # bytes of a connection after which nothing more is passed on

    def __post_init__(self) -> None:
        self.gate.set()


class NotifyingReader(asyncio.StreamReader):
    """Reports at once what comes, and when the peer has ended or been lost, read or not."""

    number = 0  # of the connection
    on_data: Callable[[bytes], None] = staticmethod(lambda data: None)
    on_end: Callable[[], None] = staticmethod(lambda: None)

    def feed_data(self, data: Any) -> None:
        """Report bytes as they come: reading them may be held back."""
        self.on_data(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Report the end after it has been taken in."""
        super().feed_eof()
        self.on_end()

    def set_exception(self, exc: Exception) -> None:
        """Report the loss after it has been taken in."""
        super().set_exception(exc)
        self.on_end()


class FaultProxy:
    """Passes connections on to a port of this machine; a subclass may observe what crosses it."""

    def __init__(self, target: Callable[[], int]) -> None:
        self.target = target
        self.to_engine, self.from_engine = Direction(), Direction()
        self.server: asyncio.Server
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    # What a subclass may observe, by the connection's number.

    def on_request_bytes(self, number: int, data: bytes) -> None:
        """Bytes have come from the node; they may be held back."""

    def on_response_bytes(self, number: int, data: bytes) -> None:
        """Bytes of a response have been handed to the node's connection."""

    def on_end(self, number: int) -> None:
        """The node has closed or reset the connection, or has been lost."""

    async def start(self) -> None:
        """Listen, on the same port as before if it has been closed."""
        loop = asyncio.get_running_loop()

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = NotifyingReader(loop=loop)
            number = reader.number = next(CONNECTION_NUMBERS)
            reader.on_data = lambda data: self.on_request_bytes(number, data)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self.server = await loop.create_server(protocol, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def silence(self) -> None:
        """Pass nothing either way from now on, on open connections and new ones."""
        self.to_engine.gate.clear()
        self.from_engine.gate.clear()

    def heal(self) -> None:
        """Pass on what was held back and what comes."""
        self.to_engine.gate.set()
        self.from_engine.gate.set()

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Accept no more connections and reset those that are open."""
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, NotifyingReader)
        number = reader.number
        reader.on_end = lambda: self.on_end(number)
        self.tasks.add(task)
        self.writers.add(writer)
        engine_writer: asyncio.StreamWriter | None = None
        try:
            with suppress(OSError, asyncio.CancelledError):
                engine_reader, engine_writer = await asyncio.open_connection(HOST, self.target())
                self.writers.add(engine_writer)
                await self._forward_both_ways(number, reader, writer, engine_reader, engine_writer)
        finally:
            self.tasks.discard(task)
            self.on_end(number)
            for open_writer in (writer, engine_writer):
                if open_writer is not None:
                    self.writers.discard(open_writer)
                    open_writer.transport.abort()

    async def _forward_both_ways(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        engine_reader: asyncio.StreamReader,
        engine_writer: asyncio.StreamWriter,
    ) -> None:
        """Forward until one side ends; what the other still sends is dropped."""

        def response_bytes_passed(data: bytes) -> None:
            self.on_response_bytes(number, data)

        directions = [
            asyncio.ensure_future(self._forward(reader, engine_writer, self.to_engine, _ignore)),
            asyncio.ensure_future(
                self._forward(engine_reader, writer, self.from_engine, response_bytes_passed)
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarding in directions:
                forwarding.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        on_passed: Callable[[bytes], None],
    ) -> None:
        passed = 0
        while data := await reader.read(direction.piece):
            if direction.silent_after is not None and passed + len(data) > direction.silent_after:
                writer.write(data[: max(0, direction.silent_after - passed)])
                await asyncio.Event().wait()
            if direction.delay:
                await asyncio.sleep(direction.delay)
            await direction.gate.wait()
            writer.write(data)
            on_passed(data)
            passed += len(data)
            await writer.drain()


def _ignore(data: bytes) -> None:
    """Observe nothing."""
