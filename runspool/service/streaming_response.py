"""A response that is streamed to a client while its engine generates it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from runspool.engines.idle_watchdog import IdleWatchdog, WatchedWait
from runspool.limits.memory_account import MemoryAccount, MemoryKind
from runspool.service.clock import now
from runspool.transport.tcp import TcpConnection
from runspool.units import ms_to_tenths


class StreamingLimits(Protocol):
    """The limits on a response."""

    @property
    def answer_write_ms(self) -> float:
        """The maximum time that a write may wait for the client to read, in milliseconds."""


class StreamingConnection(Protocol):
    """The client connection as used by a streaming response."""

    tcp: TcpConnection
    memory: MemoryAccount
    response_started: bool

    @property
    def limits(self) -> StreamingLimits:
        """The connection's limits."""

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the response."""


class StreamingResponse:
    """A response that is forwarded while it is generated, to a client that must read it in time.

    `head_sent` is set once the response's head has been passed on for sending. `write_interrupted` is set
    while a write is incomplete, and stays set if the write fails or is cancelled; it is then unknown how much
    of the response the client has received.
    """

    def __init__(self, connection: StreamingConnection, watchdog: IdleWatchdog) -> None:
        self.connection = connection
        self.watchdog = watchdog
        self.head_sent = False
        self.write_interrupted = False
        self.watched_wait: WatchedWait | None = None
        self._charge = connection.memory.charge(MemoryKind.RESPONSE)

    @property
    def blocked_bytes(self) -> int:
        """The number of bytes that the client has not taken."""
        return self._charge.size

    @property
    def blocked_since(self) -> int:
        """The time since which the client has not taken them; 0 if there are none.

        The time is in tenths of a millisecond on the front's clock.
        """
        return self.watched_wait.waiting_since if self.watched_wait is not None else 0

    def watch(self, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` if a write waits for the client longer than the write limit."""
        timeout = ms_to_tenths(self.connection.limits.answer_write_ms)
        self.watched_wait = self.watchdog.watch(timeout, on_timeout)

    def unwatch(self) -> None:
        """Stop the supervision that watch() started.

        This also drops the reference to the request, which refers to this object. The reference cycle would
        otherwise be left to the garbage collector, which pauses the process while it runs.
        """
        if self.watched_wait is not None:
            self.watchdog.unwatch(self.watched_wait)
            self.watched_wait = None

    async def forward(self, data: bytes) -> None:
        """Write a part of the response and wait until the kernel has accepted it.

        Raise ConnectionClosedError if the connection is lost. `write_interrupted` stays set if the wait is
        cancelled or fails.
        """
        self.connection.response_started = True
        if self.connection.tcp.write(data):
            return
        self.write_interrupted = True
        if self.watched_wait is not None:
            self.watched_wait.waiting_since = now()
        # The events exist twice until the client has taken them: as received, and encoded for the client.
        self._charge.set(2 * len(data))
        try:
            await self.connection.tcp.drained()
        finally:
            self._charge.release()
        self.write_interrupted = False
        if self.watched_wait is not None:
            self.watched_wait.waiting_since = 0
