"""Connections to engines: opened on demand, kept idle for a while, limited for each engine and in total."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio

from runspool.engines.response_parser import ResponseParser
from runspool.errors import RunspoolError
from runspool.transport.tcp import TcpConnection, connect
from runspool.units import TENTHS, tenths

MAX_HEAD_BYTES = 65536  # of a response's head

Address = tuple[str, int]  # host and port


class ClientSettings(Protocol):
    """How the client speaks to engines; times in milliseconds."""

    @property
    def connect_ms(self) -> float:
        """The time limit for opening a connection."""

    @property
    def idle_ms(self) -> float:
        """How long an idle connection is kept."""

    @property
    def connections_each(self) -> int:
        """The greatest number of connections to one engine."""

    @property
    def idle_each(self) -> int:
        """The greatest number of idle connections to one engine."""

    @property
    def read_answer_bytes(self) -> int:
        """The greatest size of a response body that is read whole."""

    @property
    def line_bytes(self) -> int:
        """The greatest size of one event of a stream."""

    @property
    def source_address(self) -> str | None:
        """The local address to connect from; None lets the system choose."""


class ConnectionLimitError(RunspoolError):
    """This process holds as many connections to the engine, or to all engines, as it may."""


class PooledConnection:
    """One connection, and the response that is being read from it."""

    __slots__ = ("address", "exchanges_begun", "idle_since", "response", "round_trip", "tcp")

    def __init__(self, address: Address, tcp: TcpConnection, round_trip: int) -> None:
        """`round_trip`: tenths of a millisecond that connecting took, at least one round trip."""
        self.address = address
        self.tcp = tcp
        self.response = ResponseParser(MAX_HEAD_BYTES)
        self.round_trip = round_trip
        self.idle_since = 0  # 0 until the first exchange on it has ended
        self.exchanges_begun = 0

    def has_unsolicited_data(self) -> bool:
        """Return whether the peer has closed, reset or sent something; then no request may be sent."""
        return self.tcp.has_unsolicited_data()


class ConnectionPool:
    """Connections by address. Never waits for a connection in use: past a limit it fails at once."""

    def __init__(
        self,
        settings: ClientSettings,
        now: Callable[[], int],
        max_connections: int = 0,
        quiet_time: int = 0,
    ) -> None:
        """Create an empty pool.

        Args:
            settings: Limits and timeouts.
            now: The time in tenths of a millisecond.
            max_connections: The limit for all engines together; 0 sets none.
            quiet_time: Tenths of a millisecond after an exchange during which its connection is used only
                where no other can be had.
        """
        self.settings = settings
        self.max_connections = max_connections
        self.quiet_time = quiet_time
        self.now = now
        self.idle: dict[Address, deque[PooledConnection]] = {}  # the longest idle first
        self.open_counts: dict[Address, int] = {}  # idle and in use

    async def acquire(self, address: Address, connect_ms: float | None = None) -> PooledConnection:
        """Return an idle connection that is still usable, or a new one.

        Cancelled, it leaves no connection open that it opened. `connect_ms` is the time limit for opening it
        where that is not the one of the settings.

        Raises:
            ConnectionLimitError: A limit is reached.
            OSError: The connection cannot be established.
            TimeoutError: It is not established in that time.
        """
        connection = self._take_idle(address)
        if connection is not None:
            return connection
        if self.open_counts.get(address, 0) >= self.settings.connections_each:
            raise ConnectionLimitError(f"{address[0]}:{address[1]}")
        if self._limit_reached(address) and not self._close_longest_idle():
            raise ConnectionLimitError(f"all {self.max_connections} connections to engines are in use")
        return await self._open(address, self.settings.connect_ms if connect_ms is None else connect_ms)

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection whose exchange has ended where it can be used again, else close it."""
        if connection.response.complete and connection.response.keep_alive:
            connection.response.reset()
            idle = self.idle.setdefault(connection.address, deque())
            if len(idle) < self.settings.idle_each:
                connection.idle_since = self.now()
                idle.append(connection)
                return
        self.discard(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection, which must not be among the idle ones, at once."""
        self._count_closed(connection.address)
        connection.tcp.close()
        connection.response.detach_parser()

    def close_idle(self) -> None:
        """Close the connections that have been idle for longer than `idle_ms`."""
        oldest = self.now() - tenths(self.settings.idle_ms)
        for address, idle in list(self.idle.items()):
            while idle and idle[0].idle_since < oldest:
                self.discard(idle.popleft())
            if not idle:
                self.idle.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            while idle:
                self.discard(idle.popleft())

    def _take_idle(self, address: Address) -> PooledConnection | None:
        """Take a usable idle connection: the last used one that is past its quiet time.

        One in its quiet time is taken only where no new connection may be opened, the longest idle first.
        """
        idle = self.idle.get(address, deque())
        quiet_since = self.now() - self.quiet_time
        for connection in reversed([one for one in idle if one.idle_since <= quiet_since]):
            if self._take_if_usable(connection):
                return connection
        if self._limit_reached(address):
            while idle:
                connection = idle[0]
                if self._take_if_usable(connection):
                    return connection
        return None

    def _take_if_usable(self, connection: PooledConnection) -> bool:
        """Take a connection out of the idle ones; close it and return False where it is not usable."""
        self.idle[connection.address].remove(connection)
        if (
            not connection.has_unsolicited_data()
            and self.now() - connection.idle_since < self.settings.idle_ms * TENTHS
        ):
            return True
        self.discard(connection)
        return False

    async def _open(self, address: Address, connect_ms: float) -> PooledConnection:
        # Counted before it is open, so that concurrent callers cannot pass the limit together.
        self.open_counts[address] = self.open_counts.get(address, 0) + 1
        started = self.now()
        try:
            with anyio.fail_after(connect_ms / 1000):
                tcp = await connect(address, self.settings.source_address)
        except BaseException:
            self._count_closed(address)
            raise
        return PooledConnection(address, tcp, self.now() - started + 1)

    def _limit_reached(self, address: Address) -> bool:
        """Return whether a new connection would pass the engine's limit or that of all together."""
        if self.open_counts.get(address, 0) >= self.settings.connections_each:
            return True
        return 0 < self.max_connections <= sum(self.open_counts.values())

    def _close_longest_idle(self) -> bool:
        """Close the connection idle for longest, to make room for one to another engine.

        Returns False where none is idle.
        """
        candidates = [idle[0] for idle in self.idle.values() if idle]
        if candidates:
            connection = min(candidates, key=lambda candidate: candidate.idle_since)
            self.idle[connection.address].popleft()
            self.discard(connection)
        return bool(candidates)

    def _count_closed(self, address: Address) -> None:
        remaining = self.open_counts.get(address, 1) - 1
        if remaining:
            self.open_counts[address] = remaining
        else:
            self.open_counts.pop(address, None)
