"""One TCP connection: what comes is kept until asked for, what goes is handed to the kernel at once.

anyio's streams give way to every other task once for each thing sent and received. A front passes thousands
of tokens a second: 37% of its time went into passing them on, half of that into giving way. Here a send that
the kernel takes whole costs no task switch. Cancelling works as with anyio's streams, since what is awaited
are plain futures of the loop.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import cast

import anyio

KEPT = 65_536  # bytes kept for a reader that does not ask; past them the peer is made to wait
SHED = 8 << 20  # bytes thrown away of a peer that is watched, after which it counts as gone


class ConnectionClosedError(ConnectionError):
    """The peer has closed, reset or been lost; nothing more comes, or nothing more can be sent."""


class TcpConnection(asyncio.Protocol):
    """One connection. One task at a time may receive, and one may send."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.lost: Callable[[], None] | None = None  # called once, when the peer has gone; see watch()
        self.shed = 0  # bytes thrown away: what comes after those kept can no longer be read
        self._come: list[bytes] = []
        self._size = 0
        self._fault: BaseException | None = None
        self._over = False  # the peer has said that it sends no more, or the connection is lost
        self._closed = False
        self._paused = False
        self._held = False  # reading is held up
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._poll: select.poll | None = None

    # What users do.

    @property
    def closed(self) -> bool:
        """True once the peer has closed or been lost, whether or not all that it sent was received."""
        return self._over

    def on_lost(self, lost: Callable[[], None]) -> None:
        """Has `lost` called once the peer has gone, until it is set to None again.

        Against a peer that sends much ahead and goes: were it made to wait, the end behind that would never
        be seen. So what it sends past the bytes that are kept is read all the same, and thrown away.
        """
        self.lost = lost
        if self._held and not self._closed:
            self._held = False
            self.transport.resume_reading()

    @property
    def waiting(self) -> bool:
        """True where something has come that was not received yet."""
        return bool(self._come)

    async def receive(self) -> bytes:
        """What has come since, at least a byte. Raises Gone at the end, after all that came before it."""
        while not self._come:
            if self._over or self.shed:
                raise ConnectionClosedError(
                    str(self._fault or ("sent too much ahead" if self.shed else "closed"))
                )
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        come = self._come[0] if len(self._come) == 1 else b"".join(self._come)
        self._come.clear()
        self._size = 0
        if self._held and not self._closed:
            self._held = False
            self.transport.resume_reading()
        return come

    def write(self, data: bytes) -> bool:
        """Hands bytes on; False where the kernel has not taken all, and drained() is to be awaited.

        Raises Gone where the connection is lost.
        """
        if self._closed or self.transport.is_closing():
            raise ConnectionClosedError(str(self._fault or "closed"))
        self.transport.write(data)
        return not self._paused

    async def drained(self) -> None:
        """Waits until the kernel has taken all that was written. Raises Gone where it never will."""
        while self._paused and not self._closed:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self._closed:
            raise ConnectionClosedError(str(self._fault or "closed"))

    async def send(self, data: bytes) -> None:
        """Writes, and waits until all of it has gone."""
        if not self.write(data):
            await self.drained()

    def has_unsolicited_data(self) -> bool:
        """True where the peer has closed, reset or sent something not yet received."""
        if self._come or self._over or self._closed:
            return True
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(self._poll.poll(0))

    async def stays_silent(self, seconds: float) -> bool:
        """False as soon as the peer speaks, closes or resets, True where it does not in that time."""
        if not self.has_unsolicited_data():
            with anyio.move_on_after(seconds):
                self._reader = asyncio.get_running_loop().create_future()
                try:
                    await self._reader
                finally:
                    self._reader = None
        return not self.has_unsolicited_data()

    def send_eof(self) -> None:
        """Tells the peer that nothing more is sent."""
        if not self._closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Closes at once."""
        self.lost = None
        self.transport.abort()

    # What the loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Nothing is held back here: what the kernel does not take is the writer's to wait for.
        self.transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        if self.shed or (self.lost is not None and self._size > KEPT):
            self.shed += len(data)
            if self.shed > SHED:
                self._end()
            return
        self._come.append(data)
        self._size += len(data)
        if self._size > KEPT and not self._held and self.lost is None:
            self._held = True
            self.transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        self._end()
        return True  # what is still to be sent may be

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        _wake(self._writer)

    def connection_lost(self, fault: Exception | None) -> None:
        self._fault = fault
        self._closed = True
        self._end()
        _wake(self._writer)

    def _end(self) -> None:
        self._over = True
        _wake(self._reader)
        if self.lost is not None:
            tell, self.lost = self.lost, None
            tell()


def _wake(waiting: asyncio.Future[None] | None) -> None:
    if waiting is not None and not waiting.done():
        waiting.set_result(None)


async def connect(address: tuple[str, int], source: str | None) -> TcpConnection:
    """A new connection, from a local address where one is given. Raises OSError."""
    loop = asyncio.get_running_loop()
    _, line = await loop.create_connection(
        TcpConnection, *address, local_addr=(source, 0) if source else None
    )
    return line


async def next_connection(listening: socket) -> socket:
    """The next connection's socket, non-blocking. Raises OSError; cancelled, takes none."""
    # Not the loop's sock_accept(): cancelled just as a connection comes, it takes it, fails in the loop and
    # leaves it open.
    while True:
        await anyio.wait_readable(listening)
        with suppress(BlockingIOError, InterruptedError):
            taken, _ = listening.accept()
            taken.setblocking(False)
            return taken


async def accept(listening: socket) -> TcpConnection:
    """The next connection of a listening, non-blocking socket. Raises OSError."""
    taken = await next_connection(listening)
    try:
        _, line = await asyncio.get_running_loop().connect_accepted_socket(TcpConnection, taken)
    except BaseException:
        taken.close()
        raise
    return line
