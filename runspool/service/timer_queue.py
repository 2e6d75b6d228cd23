"""All timers of a front, kept in one heap and fired by one task."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio
import structlog

from runspool.service.clock import now
from runspool.units import UNITS_PER_SECOND

LATE_WARNING_THRESHOLD = (
    300  # tenths of a millisecond: past this a front is short of CPU and answers may be late
)

Timer = TypeVar("Timer")


@dataclass(frozen=True, slots=True)
class DeadlineGuardTimer:
    """The request with this index must be answered now, whatever its scheduler does."""

    request: int

    def __str__(self) -> str:
        """The name in logs."""
        return f"guard.{self.request}"


@dataclass(frozen=True, slots=True)
class ReleaseCheckTimer:
    """The prefill state that waits for the request with this index may have to be released."""

    request: int

    def __str__(self) -> str:
        """The name in logs."""
        return f"held.{self.request}"


@dataclass(frozen=True, slots=True)
class SchedulerTimer:
    """A timer that the scheduler driver of a cell has set; `token` is the driver's own name for it."""

    cell: str
    token: str

    @property
    def request(self) -> int:
        """The index of the request, or of the driver's own task, that waits for it."""
        return int(self.token.partition(".")[0])

    def __str__(self) -> str:
        """The name in logs."""
        return f"{self.token}@{self.cell}"


ExecutorTimer = DeadlineGuardTimer | ReleaseCheckTimer | SchedulerTimer


class TimerQueue(Generic[Timer]):
    """Calls back for each timer once its time has come, in the order of their times.

    Timers for the same time fire in the order in which they were scheduled. A timer cannot be cancelled:
    whoever scheduled one ignores it when it no longer applies.
    """

    def __init__(self, on_timer: Callable[[Timer], None]) -> None:
        self.on_timer = on_timer
        self.heap: list[tuple[int, int, Timer]] = []
        self.scheduled_count = 0
        self.earlier_scheduled = anyio.Event()
        self.log = structlog.get_logger()

    def schedule(self, when: int, timer: Timer) -> None:
        """Has `timer` fire at `when`, in tenths of a millisecond on the front's clock."""
        is_earliest = not self.heap or when < self.heap[0][0]
        self.scheduled_count += 1
        # The count is unique, so that the timers themselves are never compared.
        heapq.heappush(self.heap, (when, self.scheduled_count, timer))
        if is_earliest:
            self.earlier_scheduled.set()

    async def run(self) -> None:
        """Fires timers until cancelled; cancelling loses only the timers that have not fired yet."""
        while True:
            if self.heap and now() - self.heap[0][0] > LATE_WARNING_THRESHOLD:
                late = now() - self.heap[0][0]
                self.log.warning("timers_late", late_ms=late / 10, waiting=len(self.heap))
            while self.heap and self.heap[0][0] <= now():
                self._fire(heapq.heappop(self.heap)[2])
            self.earlier_scheduled = anyio.Event()
            if not self.heap:
                await self.earlier_scheduled.wait()
                continue
            with anyio.move_on_after(max(0.0, (self.heap[0][0] - now()) / UNITS_PER_SECOND)):
                await self.earlier_scheduled.wait()

    def _fire(self, timer: Timer) -> None:
        try:
            self.on_timer(timer)
        except Exception as fault:
            self.log.exception("timer_failed", token=str(timer), fault=repr(fault))
