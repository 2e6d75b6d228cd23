"""TCP connections: received data is buffered until it is read, sent data goes to the kernel at once.

anyio's streams yield to every other task once for each receive and send. A front forwards thousands of tokens
a second: 37% of its time went into forwarding them, half of that into yielding. Here a send that the kernel
takes whole needs no task switch. Cancellation works as with anyio's streams, because what is awaited are
plain futures of the event loop.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import cast

import anyio

from runspool.errors import RunspoolError

# Bytes buffered for a reader that does not read; past them reading from the socket is paused.
MAX_BUFFERED_BYTES = 65_536
# Bytes discarded from a peer that is watched by on_lost(); past them it counts as gone.
MAX_DISCARDED_BYTES = 8 << 20


class ConnectionClosedError(RunspoolError, ConnectionError):
    """The peer has closed or reset, or was lost; nothing more can be received, or nothing more sent."""


class TcpConnection(asyncio.Protocol):
    """One connection. At most one task at a time may receive, and one may send.

    Attributes:
        transport: Set by the event loop once the connection is established.
        lost_callback: Called once, when the peer has gone; see on_lost().
        discarded_bytes: How many bytes were discarded; if any were, nothing past the buffer can be read.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.lost_callback: Callable[[], None] | None = None
        self.discarded_bytes = 0
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._error: BaseException | None = None
        self._peer_closed = False  # the peer has closed its sending side, or the connection is lost
        self._closed = False
        self._writing_paused = False
        self._reading_paused = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._poll: select.poll | None = None

    # Operations for users.

    @property
    def closed(self) -> bool:
        """True once the peer has closed or was lost, even if not all that it sent has been received."""
        return self._peer_closed

    def on_lost(self, callback: Callable[[], None]) -> None:
        """Have `callback` called once the peer has gone, until `lost_callback` is set to None again.

        While it is set, reading is not paused: behind the unread data of a peer that sends much ahead and
        goes, its end would never be seen. What it sends past the buffer's size is read and discarded.
        """
        self.lost_callback = callback
        self._resume_reading()

    @property
    def local_port(self) -> int:
        """The port of this end; 0 where the system does not say."""
        name = self.transport.get_extra_info("sockname")
        return int(name[1]) if name else 0

    @property
    def has_buffered_data(self) -> bool:
        """True where something has come that was not received yet."""
        return bool(self._buffer)

    async def receive(self) -> bytes:
        """Return all that has come since the last call, at least one byte; cancelled, it loses nothing.

        Raises:
            ConnectionClosedError: The peer has closed, and all that it sent before was received.
        """
        while not self._buffer:
            if self._peer_closed or self.discarded_bytes:
                raise ConnectionClosedError(
                    str(self._error or ("sent too much ahead" if self.discarded_bytes else "closed"))
                )
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = self._buffer[0] if len(self._buffer) == 1 else b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        if self._reading_paused:
            self._resume_reading()
        return data

    def write(self, data: bytes) -> bool:
        """Send `data`; False where the kernel has not taken all of it, and drained() must be awaited.

        Raises:
            ConnectionClosedError: The connection is lost or was closed.
        """
        if self._closed or self.transport.is_closing():
            raise ConnectionClosedError(str(self._error or "closed"))
        self.transport.write(data)
        return not self._writing_paused

    async def drained(self) -> None:
        """Wait until the kernel has taken all that was written.

        Raises:
            ConnectionClosedError: It never will, because the connection is lost.
        """
        while self._writing_paused and not self._closed:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self._closed:
            raise ConnectionClosedError(str(self._error or "closed"))

    async def send(self, data: bytes) -> None:
        """Send `data` and wait until the kernel has all of it; raises as write() and drained() do.

        Cancelled, some or all of `data` may still be sent.
        """
        if not self.write(data):
            await self.drained()

    def has_unsolicited_data(self) -> bool:
        """Return whether the peer has closed, reset or sent something that was not received yet."""
        if self._buffer or self._peer_closed or self._closed:
            return True
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(self._poll.poll(0))

    async def stays_silent(self, seconds: float) -> bool:
        """Return False as soon as the peer sends, closes or resets; True if it does not in that time."""
        if not self.has_unsolicited_data():
            with anyio.move_on_after(seconds):
                self._reader = asyncio.get_running_loop().create_future()
                try:
                    await self._reader
                finally:
                    self._reader = None
        return not self.has_unsolicited_data()

    def send_eof(self) -> None:
        """Close the sending side."""
        if not self._closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Close at once; what was not sent yet is dropped."""
        self.lost_callback = None
        self.transport.abort()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self.transport.resume_reading()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have every write that the kernel does not take pause the writer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Buffer `data`; where the buffer is full, pause reading or discard `data`."""
        if self.discarded_bytes or (
            self.lost_callback is not None and self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self._peer_gone()
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes > MAX_BUFFERED_BYTES
            and not self._reading_paused
            and self.lost_callback is None
        ):
            self._reading_paused = True
            self.transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Note the peer's end; returns True, which keeps the sending side open."""
        self._peer_gone()
        return True

    def pause_writing(self) -> None:
        """Note that the kernel has not taken all that was written."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken all that was written."""
        self._writing_paused = False
        _wake(self._writer)

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed, and wake both the reader and the writer."""
        self._error = error
        self._closed = True
        self._peer_gone()
        _wake(self._writer)

    def _peer_gone(self) -> None:
        self._peer_closed = True
        _wake(self._reader)
        if self.lost_callback is not None:
            callback = self.lost_callback
            self.lost_callback = None  # called once only
            callback()


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


async def connect(address: tuple[str, int], source: str | None) -> TcpConnection:
    """Open a connection, from the local address `source` where one is given. Raises OSError."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        TcpConnection, *address, local_addr=(source, 0) if source else None
    )
    return connection


async def next_connection(listener: socket) -> socket:
    """Accept the next connection as a non-blocking socket; cancelled, it accepts none. Raises OSError."""
    # Not the event loop's sock_accept(): cancelled just as a connection comes, that one accepts it, fails in
    # the loop and leaves it open.
    while True:
        await anyio.wait_readable(listener)
        with suppress(BlockingIOError, InterruptedError):
            accepted, _ = listener.accept()
            accepted.setblocking(False)
            return accepted


async def accept(listener: socket) -> TcpConnection:
    """Accept the next connection of a listening, non-blocking socket. Raises OSError."""
    accepted = await next_connection(listener)
    try:
        _, connection = await asyncio.get_running_loop().connect_accepted_socket(TcpConnection, accepted)
    except BaseException:
        accepted.close()
        raise
    return connection
