"""Shares the event loop between client connections, so that none of them holds it for long.

A connection whose client has sent much at once could otherwise parse and serve all of it without returning to
the event loop, and every other connection would wait meanwhile. Connections therefore ask for a turn before
each small unit of work: parsing a piece of input, serving a request or discarding input.
"""

from __future__ import annotations

import asyncio
import time
from heapq import heappop, heappush

from runspool.limits.peer_limits import PeerLimit, PeerLimitMonitor

# Seconds from the first unit of work in an iteration of the event loop after which further units wait for a
# later one. A request passes through about ten iterations, so this bounds its delay by the work of others.
MAX_WORK_SECONDS = 0.002
MAX_GRANTS = 8  # maximum number of waiting units that are started in one iteration


class Worker:
    """A connection that asks for turns.

    Attributes:
        units: The number of units of work since its client last had nothing left to read. Among waiting
            connections, those with the fewest units have their turn first.
    """

    __slots__ = ("units",)

    def __init__(self) -> None:
        self.units = 0


class WorkTurns:
    """Grants turns for units of work within each iteration of the event loop.

    Attributes:
        deferred_count: The number of units that had to wait for a later iteration.
    """

    def __init__(self, limit_monitor: PeerLimitMonitor) -> None:
        self.limit_monitor = limit_monitor
        self.deferred_count = 0
        self._work_started: float | None = None  # of the current iteration; None before its first unit
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def take(self, worker: Worker) -> None:
        """Wait until the connection may do one unit of work. A cancelled call grants nothing."""
        worker.units += 1
        if self._has_time_left():
            return
        self.deferred_count += 1
        self.limit_monitor.reached(PeerLimit.WORK_TIME, units=worker.units, waiting=len(self._waiting))
        turn = asyncio.get_running_loop().create_future()
        heappush(self._waiting, (worker.units, self.deferred_count, turn))
        await turn

    def _has_time_left(self) -> bool:
        if self._waiting:
            return False
        now = time.monotonic()
        if self._work_started is None:
            self._begin_iteration(now)
            return True
        return now - self._work_started < MAX_WORK_SECONDS

    def _begin_iteration(self, now: float) -> None:
        self._work_started = now
        asyncio.get_running_loop().call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        """Start waiting units; the event loop calls this once in the iteration after one with work."""
        self._work_started = None
        grants = 0
        while self._waiting and grants < MAX_GRANTS:
            _, _, turn = heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                grants += 1
        if grants:
            self._begin_iteration(time.monotonic())
