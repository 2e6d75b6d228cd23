"""TCP connections that buffer received data and pass sent data to the kernel without a task switch.

anyio's socket streams yield to the event loop on each receive and each send. A front forwards thousands of
tokens per second; with these streams, forwarding took 37% of its time, and half of that was spent on
yielding. Here a send that the kernel accepts completely does not yield. Cancellation works as with anyio's
streams, because the methods await plain futures of the event loop.
"""

from __future__ import annotations

import asyncio
import os
import select
import struct
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from socket import IPPROTO_TCP, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, TCP_INFO, socket
from typing import cast

import anyio

from runspool.errors import RunspoolError
from runspool.limits.memory_account import READ_BYTES, MemoryAccount, MemoryKind

# Number of buffered bytes from which reading from the socket is paused, if memory is not short.
MAX_BUFFERED_BYTES = 16_384
# Number of buffered bytes above which further data is discarded while on_disconnect() is in effect.
MAX_UNREAD_BYTES = 262_144
# Number of bytes that are read and discarded on a connection. A peer that sends more is treated as gone.
MAX_DISCARDED_BYTES = 8 << 20
# Seconds between two reads of data that is discarded, and the number of connections up to which it holds.
# With more of them it grows in proportion: peers may send at full speed, and reading would take all the time.
DISCARD_INTERVAL = 0.002
MAX_FAST_DISCARDS = 20
# Memory of one buffered read beside its data: the header of the object and its place in the queue.
READ_OVERHEAD_BYTES = 64
# Buffered memory of up to this size, in bytes, is part of what a connection takes in any case. Most events
# are smaller, and would change the account twice each.
MAX_UNCHARGED_BYTES = 1_024
# Size of the kernel's buffers of a connection, in each direction; the kernel doubles it for its own needs.
# They bound what a peer can have on this host that this process has not read or that the peer has not taken.
KERNEL_BUFFER_BYTES = 65_536

# All connections are read into the same memory, because each read is copied at once. A process runs one event
# loop, in one thread. Data that is discarded is read in larger pieces and not copied.
_read_buffer = memoryview(bytearray(READ_BYTES))
_discard_buffer = memoryview(bytearray(4 * READ_BYTES))
_unlimited = MemoryAccount(time.monotonic)
# Where struct tcp_info of Linux holds the time since data last arrived, in milliseconds.
TCP_INFO_BYTES = 64
LAST_ARRIVAL_OFFSET = 52
# Longest time for which data may wait in the kernel. A longer one is no time: a connection may be of a kind
# for which the system does not count it.
MAX_INPUT_AGE_MS = 5_000
# The event by which the kernel tells that a peer has closed its sending side; 0 on systems without it.
HANG_UP_EVENTS = getattr(select, "POLLRDHUP", 0)
_hang_up_poll = select.poll()


class ConnectionClosedError(RunspoolError, ConnectionError):
    """The connection was closed, reset or lost, so that no more data can be received or sent."""


class DiscardPace:
    """The pace at which all connections together discard data.

    Attributes:
        connection_count: The number of connections that discard data.
    """

    def __init__(self) -> None:
        self.connection_count = 0

    def interval(self) -> float:
        """Return the time between two reads of a connection, in seconds."""
        return DISCARD_INTERVAL * max(1.0, self.connection_count / MAX_FAST_DISCARDS)


_discard_pace = DiscardPace()


class TcpConnection(asyncio.BufferedProtocol):
    """A TCP connection. At most one task may receive at a time, and at most one may send.

    Attributes:
        transport: Set by the event loop once the connection is established.
        disconnect_callback: Called once when the peer has gone; see on_disconnect().
        discarded_bytes: Number of received bytes that were discarded. If it is not 0, receive() raises an
            error after the buffered data.
    """

    def __init__(self, memory: MemoryAccount = _unlimited) -> None:
        """Create a connection that is not established yet; `memory` is charged for its buffered data."""
        self.transport: asyncio.Transport
        self.disconnect_callback: Callable[[], None] | None = None
        self.discarded_bytes = 0
        self._memory = memory
        self._charge = memory.charge(MemoryKind.RECEIVED)
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._taken_bytes = 0  # number of bytes of the first buffered read that have been taken already
        self._arrival_times: deque[float] = deque()  # of the buffered reads, on the event loop's clock
        self._last_taken_arrived_at = 0.0  # of the read from which data was taken last
        self._discards_input = False
        self._error: BaseException | None = None
        # Whether the peer has closed its sending side or is treated as gone, or the connection is lost.
        self._peer_closed = False
        self._closed = False
        self._writing_paused = False
        self._reading_paused = False
        self._receive_waiter: asyncio.Future[None] | None = None
        self._send_waiter: asyncio.Future[None] | None = None
        self._poll: select.poll | None = None

    # Public methods.

    @property
    def closed(self) -> bool:
        """True once the peer has closed or was lost, even if received data is still buffered."""
        return self._peer_closed

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback` once when the peer has gone. Set `disconnect_callback` to None to cancel this.

        While a callback is set, reading is not paused; otherwise the end of the connection could not be
        detected behind unread data. Data beyond MAX_UNREAD_BYTES is read and discarded, and all of it after
        discard_input().
        """
        self.disconnect_callback = callback
        self._resume_reading()

    def charge_to(self, memory: MemoryAccount) -> None:
        """Charge another account for the buffered data."""
        self._charge.release()
        self._memory = memory
        self._charge = memory.charge(MemoryKind.RECEIVED)
        self._update_charge()

    @property
    def local_port(self) -> int:
        """The local port; 0 if it is unknown."""
        name = self.transport.get_extra_info("sockname")
        return int(name[1]) if name else 0

    @property
    def has_buffered_data(self) -> bool:
        """True if data has arrived that receive() has not returned yet."""
        return bool(self._buffer)

    async def receive(self) -> bytes:
        """Wait for data and return everything that is buffered. A cancelled call loses no data.

        Raises:
            ConnectionClosedError: The peer has closed or data was discarded, and the buffer is empty.
        """
        await self.wait_for_data()
        return self.take_data()

    async def wait_for_data(self) -> None:
        """Wait until data is buffered; raise the same error as receive()."""
        while not self._buffer:
            if self._peer_closed or self.discarded_bytes:
                raise ConnectionClosedError(
                    str(
                        self._error
                        or ("peer sent too much unread data" if self.discarded_bytes else "closed")
                    )
                )
            self._receive_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._receive_waiter
            finally:
                self._receive_waiter = None

    def take_data(self, max_bytes: int = 0) -> bytes:
        """Return buffered data, which may be empty: at most `max_bytes` of it, or all if that is 0."""
        if max_bytes and self._buffered_bytes > max_bytes:
            data = self._take_from_first_read(max_bytes)
        else:
            if self._arrival_times:
                self._last_taken_arrived_at = self._arrival_times[-1]
                self._arrival_times.clear()
            if self._taken_bytes:
                self._buffer[0] = self._buffer[0][self._taken_bytes :]
                self._taken_bytes = 0
            data = self._buffer[0] if len(self._buffer) == 1 else b"".join(self._buffer)
            self._buffer.clear()
        self._buffered_bytes -= len(data)
        self._update_charge()
        if self._reading_paused and not self._buffer:
            self._resume_reading()
        return data

    def _take_from_first_read(self, max_bytes: int) -> bytes:
        first = self._buffer[0]
        self._last_taken_arrived_at = self._arrival_times[0]
        data = first[self._taken_bytes : self._taken_bytes + max_bytes]
        self._taken_bytes += len(data)
        if self._taken_bytes == len(first):
            self._buffer.popleft()
            self._arrival_times.popleft()
            self._taken_bytes = 0
        return data

    def input_age(self) -> float:
        """Return how long ago the data that was taken last has arrived at this host, in seconds.

        Where the system does not tell it, the time is counted from when this process read the data.
        """
        age = asyncio.get_running_loop().time() - self._last_taken_arrived_at
        with suppress(OSError, AttributeError, struct.error):
            information = self.transport.get_extra_info("socket").getsockopt(
                IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES
            )
            (last_arrival_ms,) = struct.unpack_from("=I", information, LAST_ARRIVAL_OFFSET)
            # Data that came later may be counted, but data of this age at most was among what came last.
            if last_arrival_ms <= MAX_INPUT_AGE_MS:
                age = max(age, last_arrival_ms / 1000)
        return age

    def _update_charge(self) -> None:
        """Charge what is buffered, with the part of the first read that has been taken already."""
        size = self._buffered_bytes + self._taken_bytes + READ_OVERHEAD_BYTES * len(self._buffer)
        if size > MAX_UNCHARGED_BYTES:
            self._charge.set(size)
        elif self._charge.size:
            self._charge.release()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that have arrived and that receive() has not returned yet."""
        return self._buffered_bytes

    @property
    def buffered_memory(self) -> int:
        """The memory in bytes that is charged for buffered data."""
        return self._charge.size

    def discard_input(self) -> None:
        """Discard the buffered data, and all data that is still to come."""
        if not self._discards_input and not self._closed:
            _discard_pace.connection_count += 1
        self._discards_input = True
        self.discarded_bytes += self._buffered_bytes
        self._drop_buffer()
        self._resume_reading()

    def discard_arrived(self) -> None:
        """Discard what has arrived, so that close() does not reset the connection unless it is much."""
        self._drop_buffer()
        if self._closed or self.transport.is_closing():
            return  # the descriptor may belong to another connection already
        descriptor = self.transport.get_extra_info("socket").fileno()
        with suppress(OSError):  # nothing is left to read
            os.readv(descriptor, [_read_buffer])

    async def discard_until_closed(self) -> None:
        """Discard data until the peer has closed or has sent more than MAX_DISCARDED_BYTES."""
        self.discard_input()
        while not self._peer_closed:
            self._receive_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._receive_waiter
            finally:
                self._receive_waiter = None

    def _drop_buffer(self) -> None:
        self._buffer.clear()
        self._arrival_times.clear()
        self._buffered_bytes = self._taken_bytes = 0
        self._update_charge()

    def has_peer_left(self) -> bool:
        """Return whether the peer has closed, also where unread data precedes the end of the connection.

        Where the system does not tell this, the end is detected only once the data before it has been read.
        """
        if self._peer_closed or self._closed:
            return True
        if not HANG_UP_EVENTS:
            return False
        descriptor = self.transport.get_extra_info("socket").fileno()
        _hang_up_poll.register(descriptor, HANG_UP_EVENTS)
        try:
            return any(events & HANG_UP_EVENTS for _, events in _hang_up_poll.poll(0))
        finally:
            _hang_up_poll.unregister(descriptor)

    def write(self, data: bytes | memoryview) -> bool:
        """Send `data`.

        Returns:
            False if the kernel has not taken all of it; the caller must then await drained().

        Raises:
            ConnectionClosedError: The connection was closed or lost.
        """
        if self._closed or self.transport.is_closing():
            raise ConnectionClosedError(str(self._error or "closed"))
        self.transport.write(data)
        return not self._writing_paused

    async def drained(self) -> None:
        """Wait until the kernel has taken all data that was written.

        Raises:
            ConnectionClosedError: The connection was closed or lost before that.
        """
        while self._writing_paused and not self._closed:
            self._send_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._send_waiter
            finally:
                self._send_waiter = None
        if self._closed:
            raise ConnectionClosedError(str(self._error or "closed"))

    async def send(self, data: bytes | memoryview) -> None:
        """Send `data` and wait until the kernel has taken all of it.

        If the call is cancelled, all or part of `data` may still be sent.

        Raises:
            ConnectionClosedError: The connection was closed or lost.
        """
        if not self.write(data):
            await self.drained()

    def has_unread_input(self) -> bool:
        """Return whether the peer has closed, reset or sent data that receive() has not returned yet."""
        if self._buffer or self._peer_closed or self._closed:
            return True
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(self._poll.poll(0))

    async def stays_silent(self, seconds: float) -> bool:
        """Wait for `seconds`; return False as soon as the peer sends, closes or resets, otherwise True."""
        if not self.has_unread_input():
            with anyio.move_on_after(seconds):
                self._receive_waiter = asyncio.get_running_loop().create_future()
                try:
                    await self._receive_waiter
                finally:
                    self._receive_waiter = None
        return not self.has_unread_input()

    def send_eof(self) -> None:
        """Close the sending side, where the transport supports it."""
        if not self._closed and self.transport.can_write_eof():
            with suppress(OSError):  # the peer has reset the connection, which is not known here yet
                self.transport.write_eof()

    def close(self) -> None:
        """Close immediately; data that the kernel has not taken is discarded."""
        self.disconnect_callback = None
        self._drop_buffer()
        self.transport.abort()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self.transport.resume_reading()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and set it to pause writing whenever the kernel does not take all data."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        if self._discards_input:
            return _discard_buffer
        size = self._memory.read_size
        return _read_buffer if size == READ_BYTES else _read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the data of a read."""
        if self._discards_input:
            self._discard(nbytes)
        else:
            self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer `data`; if the buffer is full, pause reading or, while a callback is set, discard data."""
        self._buffer.append(data)
        self._arrival_times.append(asyncio.get_running_loop().time())
        self._buffered_bytes += len(data)
        self._update_charge()
        if self.disconnect_callback is not None:
            if self._charge.size > MAX_UNREAD_BYTES:
                self.discard_input()
        elif self._buffered_bytes >= min(MAX_BUFFERED_BYTES, self._memory.read_size):
            self._pause_reading()
        _wake(self._receive_waiter)

    def _discard(self, size: int) -> None:
        """Count discarded data, and read the rest after a pause."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self._handle_peer_gone()
        else:
            self._pause_reading()
            asyncio.get_running_loop().call_later(_discard_pace.interval(), self._resume_reading)

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self._closed:
            self._reading_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer has closed its sending side; return True, which keeps this side open."""
        self._handle_peer_gone()
        return True

    def pause_writing(self) -> None:
        """Record that the kernel has not taken all data that was written."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Record that the kernel has taken all data that was written, and wake the sending task."""
        self._writing_paused = False
        _wake(self._send_waiter)

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection is closed, and wake the receiving and the sending task."""
        self._error = error
        self._closed = True
        if self._discards_input:
            _discard_pace.connection_count -= 1
            self._drop_buffer()
        self._handle_peer_gone()
        _wake(self._send_waiter)

    def _handle_peer_gone(self) -> None:
        self._peer_closed = True
        _wake(self._receive_waiter)
        if self.disconnect_callback is not None:
            callback = self.disconnect_callback
            self.disconnect_callback = None  # cleared so that it is called only once
            callback()


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def limit_kernel_buffers(connection: socket) -> None:
    """Limit what the kernel holds for a socket, and for those that are accepted from it."""
    for option in (SO_RCVBUF, SO_SNDBUF):
        with suppress(OSError):  # a system without this option only holds more
            connection.setsockopt(SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


async def connect(address: tuple[str, int], source: str | None) -> TcpConnection:
    """Open a connection.

    Args:
        address: Host and port.
        source: Local address to connect from; None if the operating system is to choose it.

    Raises:
        OSError: The connection cannot be established.
    """
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        TcpConnection, *address, local_addr=(source, 0) if source else None
    )
    limit_kernel_buffers(connection.transport.get_extra_info("socket"))
    return connection


async def accept_socket(listener: socket) -> socket:
    """Accept the next connection of a listening, non-blocking socket, without a wait if there is one.

    A cancelled call accepts no connection.

    Raises:
        OSError: The connection cannot be accepted.
    """
    # The event loop's sock_accept() is not used: if it is cancelled at the moment a connection arrives, it
    # accepts the connection, raises an error in the event loop and never closes the connection.
    while True:
        with suppress(BlockingIOError, InterruptedError):
            accepted, _ = listener.accept()
            accepted.setblocking(False)
            return accepted
        await anyio.wait_readable(listener)


async def establish(accepted: socket, memory: MemoryAccount) -> TcpConnection:
    """Return the connection of an accepted socket; charge `memory` for its buffered data.

    Raises:
        OSError: The connection has failed; the socket is closed.
    """
    try:
        _, connection = await asyncio.get_running_loop().connect_accepted_socket(
            lambda: TcpConnection(memory), accepted
        )
    except BaseException:
        accepted.close()
        raise
    return connection
