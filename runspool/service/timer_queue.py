"""All timers of a front on one heap, rung by one task."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import anyio
import structlog

from runspool.service.clock import now

LATE = 300  # tenths of a millisecond: past this a front is short of CPU, and its answers may come late


class TimerQueue:
    """Timers cannot be taken back; whoever set one passes over a ring that has become moot."""

    def __init__(self, ring: Callable[[str], None]) -> None:
        self.ring = ring
        self.heap: list[tuple[int, int, str]] = []
        self.set = 0
        self.sooner = anyio.Event()
        self.log = structlog.get_logger()

    def schedule(self, when: int, token: str) -> None:
        """`when` in tenths of a millisecond on the front's clock."""
        first = not self.heap or when < self.heap[0][0]
        self.set += 1
        heapq.heappush(self.heap, (when, self.set, token))
        if first:
            self.sooner.set()

    async def run(self) -> None:
        """Rings until cancelled; a cancel loses nothing but the rings to come."""
        while True:
            if self.heap and now() - self.heap[0][0] > LATE:
                late = now() - self.heap[0][0]
                self.log.warning("timers_late", late_ms=late / 10, waiting=len(self.heap))
            while self.heap and self.heap[0][0] <= now():
                self._ring_one(heapq.heappop(self.heap)[2])
            self.sooner = anyio.Event()
            if not self.heap:
                await self.sooner.wait()
                continue
            with anyio.move_on_after(max(0.0, (self.heap[0][0] - now()) / 10_000)):
                await self.sooner.wait()

    def _ring_one(self, token: str) -> None:
        """Against a fault in what one rings for making the others late."""
        try:
            self.ring(token)
        except Exception as fault:
            self.log.exception("timer_failed", token=token, fault=repr(fault))
