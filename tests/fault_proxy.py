"""A proxy on loopback in front of an engine that injects network faults.

It can hold back, delay and split the bytes of a connection, and reset connections. The kernel still
acknowledges bytes that the proxy holds back, as it does for a hung process, so that the sender sees no error
and cannot tell that its bytes did not arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from typing import Any

HOST = "127.0.0.1"
DEFAULT_CHUNK_SIZE = 65_536  # bytes
CONNECTION_NUMBERS = count()  # numbers the connections of all proxies


@dataclass
class Direction:
    """The faults that apply to the bytes of one direction; while the gate is closed, they are held back."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)
    delay: float = 0.0  # seconds by which each chunk is delayed
    chunk_size: int = DEFAULT_CHUNK_SIZE  # maximum number of bytes forwarded at a time
    active_silences: int = 0  # number of overlapping faults that hold back bytes
    silent_after: int | None = None  # after this many bytes, a connection forwards nothing more

    def __post_init__(self) -> None:
        self.gate.set()


class NotifyingReader(asyncio.StreamReader):
    """A reader that reports received data and the end of the connection immediately, before they are read."""

    number = 0  # the connection's number
    on_data: Callable[[bytes], None] = staticmethod(lambda data: None)
    on_end: Callable[[], None] = staticmethod(lambda: None)

    def feed_data(self, data: Any) -> None:
        """Report bytes as they are received; they may be read later."""
        self.on_data(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Handle the end of the stream, then report it."""
        super().feed_eof()
        self.on_end()

    def set_exception(self, exc: Exception) -> None:
        """Handle the loss of the connection, then report it."""
        super().set_exception(exc)
        self.on_end()


class FaultProxy:
    """A proxy that forwards connections to the local port that `target_port` returns.

    A subclass may observe the traffic.
    """

    def __init__(self, target_port: Callable[[], int]) -> None:
        self.target_port = target_port
        self.to_engine, self.from_engine = Direction(), Direction()
        self.server: asyncio.Server
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    # Hooks for subclasses; `number` identifies the connection.

    def on_request_bytes(self, number: int, data: bytes) -> None:
        """Handle bytes received from the node, which may not have been forwarded yet."""

    def on_response_bytes(self, number: int, data: bytes) -> None:
        """Handle bytes of a response that were written to the node's connection."""

    def on_end(self, number: int) -> None:
        """Handle the end of the node's connection, whether it was closed, reset or lost."""

    async def start(self) -> None:
        """Listen; after `close`, listen on the same port as before."""
        loop = asyncio.get_running_loop()

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = NotifyingReader(loop=loop)
            number = reader.number = next(CONNECTION_NUMBERS)
            reader.on_data = lambda data: self.on_request_bytes(number, data)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self.server = await loop.create_server(protocol, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def silence(self) -> None:
        """Hold back all bytes in both directions, on open and on new connections."""
        self.to_engine.gate.clear()
        self.from_engine.gate.clear()

    def end_silence(self) -> None:
        """Forward the bytes that were held back, and all later ones."""
        self.to_engine.gate.set()
        self.from_engine.gate.set()

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
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
                engine_reader, engine_writer = await asyncio.open_connection(HOST, self.target_port())
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
        """Forward until one side ends; discard what the other side still sends."""

        def response_bytes_forwarded(data: bytes) -> None:
            self.on_response_bytes(number, data)

        directions = [
            asyncio.ensure_future(self._forward(reader, engine_writer, self.to_engine, _ignore)),
            asyncio.ensure_future(
                self._forward(engine_reader, writer, self.from_engine, response_bytes_forwarded)
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
        on_forwarded: Callable[[bytes], None],
    ) -> None:
        forwarded = 0
        while data := await reader.read(direction.chunk_size):
            if direction.silent_after is not None and forwarded + len(data) > direction.silent_after:
                writer.write(data[: max(0, direction.silent_after - forwarded)])
                await asyncio.Event().wait()
            if direction.delay:
                await asyncio.sleep(direction.delay)
            await direction.gate.wait()
            writer.write(data)
            on_forwarded(data)
            forwarded += len(data)
            await writer.drain()


def _ignore(data: bytes) -> None:
    """Do nothing with the forwarded bytes."""
