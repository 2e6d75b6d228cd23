"""A pool of connections to engines, opened on demand and limited in number per engine and in total."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio

from runspool.engines.response_parser import ResponseParser
from runspool.errors import RunspoolError
from runspool.limits.memory_account import ENGINE_CONNECTION_BYTES, MemoryAccount, MemoryKind
from runspool.transport.tcp import TcpConnection, connect
from runspool.units import TENTHS_PER_MS, TENTHS_PER_SECOND, ms_to_tenths

MAX_HEAD_BYTES = 65536  # maximum size of a response head

Address = tuple[str, int]  # host and port


class ClientSettings(Protocol):
    """Limits and timeouts of the connections to engines; times are in milliseconds."""

    @property
    def connect_ms(self) -> float:
        """The time limit for opening a connection."""

    @property
    def idle_ms(self) -> float:
        """The time after which an idle connection is closed."""

    @property
    def connections_each(self) -> int:
        """The maximum number of connections to one engine."""

    @property
    def idle_each(self) -> int:
        """The maximum number of idle connections to one engine."""

    @property
    def read_answer_bytes(self) -> int:
        """The maximum size of a response body that is not streamed, in bytes."""

    @property
    def line_bytes(self) -> int:
        """The maximum size of one event of a stream, in bytes."""

    @property
    def source_address(self) -> str | None:
        """The local address to connect from; None if the operating system is to choose it."""


class ConnectionLimitError(RunspoolError):
    """The limit for connections to one engine, or to all engines together, is reached."""


class PooledConnection:
    """A connection of the pool, with the parser of the response that is read from it."""

    __slots__ = ("address", "exchange_count", "idle_since", "response", "round_trip", "tcp")

    def __init__(self, address: Address, tcp: TcpConnection, round_trip: int) -> None:
        """Wrap an open connection.

        Args:
            address: Host and port of the peer.
            tcp: The open connection.
            round_trip: Time taken to connect, in tenths of a millisecond; an upper bound of the round-trip
                time.
        """
        self.address = address
        self.tcp = tcp
        self.response = ResponseParser(MAX_HEAD_BYTES)
        self.round_trip = round_trip
        self.idle_since = 0  # tenths of a millisecond; 0 until the first exchange has ended
        self.exchange_count = 0

    def has_unread_input(self) -> bool:
        """Return whether the peer has sent data, or has closed or reset the connection.

        In each of these cases no request may be sent on the connection.
        """
        return self.tcp.has_unread_input()


class ConnectionPool:
    """A pool of connections by address. Where a limit is reached, acquire() fails instead of waiting."""

    def __init__(
        self,
        settings: ClientSettings,
        now: Callable[[], int],
        max_connections: int = 0,
        quiet_time: int = 0,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            settings: Limits and timeouts.
            now: Returns the current time in tenths of a millisecond.
            max_connections: Maximum number of connections to all engines together; 0 for no limit.
            quiet_time: Time after an exchange, in tenths of a millisecond, during which its connection is
                reused only if no other connection is available and none may be opened. The peer may still
                send surplus bytes in this time, which would be taken for the next response.
            memory: Charged for what connections have received; None for no charge.
        """
        self.settings = settings
        self.max_connections = max_connections
        self.quiet_time = quiet_time
        self.memory = memory or MemoryAccount(time.monotonic)
        self._charge = self.memory.charge(MemoryKind.ENGINE_CONNECTION)
        self.memory.add_holder(self)
        self.now = now
        self.idle: dict[Address, deque[PooledConnection]] = {}  # ordered by `idle_since`
        # Number of connections per address that are in use, idle or being opened.
        self.open_counts: dict[Address, int] = {}

    async def acquire(self, address: Address, connect_ms: float | None = None) -> PooledConnection:
        """Return an idle connection that is still usable, or a new one.

        If the call is cancelled, a connection that it has opened is closed.

        Args:
            address: Host and port of the engine.
            connect_ms: Time limit for opening a connection, in milliseconds; None for that of the settings.

        Raises:
            ConnectionLimitError: A limit is reached.
            OSError: The connection cannot be established.
            TimeoutError: The connection was not established within the time limit.
        """
        connection = self._take_idle(address)
        if connection is not None:
            return connection
        if self.open_counts.get(address, 0) >= self.settings.connections_each:
            raise ConnectionLimitError(f"{address[0]}:{address[1]}")
        if self._limit_reached(address) and not self.close_longest_idle():
            raise ConnectionLimitError(f"all {self.max_connections} connections to engines are in use")
        return await self._open(address, self.settings.connect_ms if connect_ms is None else connect_ms)

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool after its exchange; close it if it cannot be reused."""
        if connection.response.complete and connection.response.keep_alive:
            connection.response.reset()
            idle = self.idle.setdefault(connection.address, deque())
            if len(idle) < self.settings.idle_each:
                connection.idle_since = self.now()
                idle.append(connection)
                return
        self.discard(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection immediately. It must not be in `idle`."""
        self._count_closed(connection.address)
        connection.tcp.close()
        connection.response.detach_parser()

    def close_expired(self) -> None:
        """Close all connections that have been idle for longer than `idle_ms` or hold unexpected data."""
        oldest = self.now() - ms_to_tenths(self.settings.idle_ms)
        for address, idle in list(self.idle.items()):
            for connection in list(idle):
                if connection.idle_since < oldest or connection.tcp.has_buffered_data:
                    idle.remove(connection)
                    self.discard(connection)
            if not idle:
                self.idle.pop(address, None)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest, so that another engine can have one.

        Returns:
            False if no connection is idle.
        """
        candidates = [idle[0] for idle in self.idle.values() if idle]
        if candidates:
            connection = min(candidates, key=lambda candidate: candidate.idle_since)
            self.idle[connection.address].popleft()
            self.discard(connection)
        return bool(candidates)

    def close(self) -> None:
        """Close all idle connections, even recently used ones. Connections in use stay open."""
        for idle in self.idle.values():
            while idle:
                self.discard(idle.popleft())

    # As a holder of memory, the pool can give up idle connections.

    @property
    def reclaimable_bytes(self) -> int:
        """The memory, in bytes, of the connections that give_up_memory() closes."""
        return sum(map(len, self.idle.values())) * ENGINE_CONNECTION_BYTES

    @property
    def held_since(self) -> float:
        """The time since which the first of them has been idle, in seconds."""
        idle_since = min((idle[0].idle_since for idle in self.idle.values() if idle), default=self.now())
        return self.memory.clock() - (self.now() - idle_since) / TENTHS_PER_SECOND

    def give_up_memory(self) -> None:
        """Close all idle connections."""
        self.close()

    def _take_idle(self, address: Address) -> PooledConnection | None:
        """Remove a usable idle connection from the pool and return it; return None if there is none.

        The most recently used connection past its quiet time is preferred. A connection within its quiet time
        is taken only if no new connection may be opened, the one idle for longest first.
        """
        idle = self.idle.get(address, deque())
        quiet_since = self.now() - self.quiet_time
        for connection in reversed([candidate for candidate in idle if candidate.idle_since <= quiet_since]):
            if self._take_if_usable(connection):
                return connection
        if self._limit_reached(address):
            while idle:
                connection = idle[0]
                if self._take_if_usable(connection):
                    return connection
        return None

    def _take_if_usable(self, connection: PooledConnection) -> bool:
        """Remove a connection from `idle`; if it is not usable, close it and return False."""
        self.idle[connection.address].remove(connection)
        if (
            not connection.has_unread_input()
            and self.now() - connection.idle_since < self.settings.idle_ms * TENTHS_PER_MS
        ):
            return True
        self.discard(connection)
        return False

    async def _open(self, address: Address, connect_ms: float) -> PooledConnection:
        # The connection is counted before it is open, so that concurrent calls cannot exceed the limit.
        self.open_counts[address] = self.open_counts.get(address, 0) + 1
        self._charge.set(self._charge.size + ENGINE_CONNECTION_BYTES)
        started = self.now()
        try:
            with anyio.fail_after(connect_ms / 1000):
                tcp = await connect(address, self.settings.source_address)
        except BaseException:
            self._count_closed(address)
            raise
        tcp.charge_to(self.memory)
        return PooledConnection(address, tcp, self.now() - started + 1)

    def _limit_reached(self, address: Address) -> bool:
        """Return whether a new connection would exceed the limit per engine or the total limit."""
        if self.open_counts.get(address, 0) >= self.settings.connections_each:
            return True
        return 0 < self.max_connections <= sum(self.open_counts.values())

    def _count_closed(self, address: Address) -> None:
        self._charge.set(self._charge.size - ENGINE_CONNECTION_BYTES)
        remaining = self.open_counts.get(address, 1) - 1
        if remaining:
            self.open_counts[address] = remaining
        else:
            self.open_counts.pop(address, None)
