"""A response that is sent to a client piece by piece, as its engine produces it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from runspool.engines.idle_watchdog import IdleWatchdog, WatchedWait
from runspool.service.clock import now
from runspool.transport.tcp import TcpConnection
from runspool.units import tenths


class StreamingLimits(Protocol):
    """The limits that concern a response."""

    @property
    def answer_write_ms(self) -> float:
        """That a client may leave a response unread."""


class StreamingConnection(Protocol):
    """What a response needs of its client's connection."""

    tcp: TcpConnection
    response_started: bool

    @property
    def limits(self) -> StreamingLimits:
        """The connection's limits."""

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection ends with the response."""


class StreamingResponse:
    """A response sent on as it is produced, to a client that must keep reading.

    `opened` is set once its head has been handed over for sending. While `write_interrupted` is set, a write
    has not been finished, and it is not known what the client has received.
    """

    def __init__(self, connection: StreamingConnection, watchdog: IdleWatchdog) -> None:
        self.connection = connection
        self.watchdog = watchdog
        self.opened = False
        self.write_interrupted = False
        self.watched_wait: WatchedWait | None = None

    def watch(self, on_timeout: Callable[[], None]) -> None:
        """Has `on_timeout` called once a write waits for the client longer than the limit."""
        timeout = tenths(self.connection.limits.answer_write_ms)
        self.watched_wait = self.watchdog.watch(timeout, on_timeout)

    def unwatch(self) -> None:
        """Ends watch().

        It also drops the reference to the request, which refers to this: a reference cycle would be left to
        the garbage collector, which stops the process while it runs.
        """
        if self.watched_wait is not None:
            self.watchdog.unwatch(self.watched_wait)
            self.watched_wait = None

    async def forward(self, data: bytes) -> None:
        """Writes a part of the response, and waits for the client to read enough of it.

        Raises ConnectionClosedError. Raising or cancelled, it leaves `write_interrupted` set.
        """
        self.connection.response_started = True
        if self.connection.tcp.write(data):
            return
        self.write_interrupted = True
        if self.watched_wait is not None:
            self.watched_wait.waiting_since = now()
        await self.connection.tcp.drained()
        self.write_interrupted = False
        if self.watched_wait is not None:
            self.watched_wait.waiting_since = 0
