"""A queue of timers, kept in a heap and fired by a single task."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio
import structlog

from runspool.service.clock import now
from runspool.units import TENTHS_PER_SECOND

# Delay of a timer, in tenths of a millisecond, above which a warning is logged: the process lacks CPU time,
# and responses may be late.
LATE_WARNING_THRESHOLD = 300

Timer = TypeVar("Timer")


@dataclass(frozen=True, slots=True)
class DeadlineGuardTimer:
    """Fires when the request with this index must be answered even without a decision of its scheduler."""

    request: int

    def __str__(self) -> str:
        """Return the timer's name for logs."""
        return f"guard.{self.request}"


@dataclass(frozen=True, slots=True)
class ReleaseCheckTimer:
    """Fires when the prefill state of the request with this index may have to be released."""

    request: int

    def __str__(self) -> str:
        """Return the timer's name for logs."""
        return f"held.{self.request}"


@dataclass(frozen=True, slots=True)
class SchedulerTimer:
    """A timer that the scheduler driver of a cell has set; `token` identifies it in the driver."""

    cell: str
    token: str

    @property
    def request(self) -> int:
        """The index of the request, or of the driver's internal task, that the timer belongs to."""
        return int(self.token.partition(".")[0])

    def __str__(self) -> str:
        """Return the timer's name for logs."""
        return f"{self.token}@{self.cell}"


@dataclass(frozen=True, slots=True)
class SubmissionTimer:
    """Fires when it is too late to submit the request with this index to its scheduler."""

    request: int

    def __str__(self) -> str:
        """Return the timer's name for logs."""
        return f"submission.{self.request}"


ExecutorTimer = DeadlineGuardTimer | ReleaseCheckTimer | SubmissionTimer | SchedulerTimer


class TimerQueue(Generic[Timer]):
    """Calls `on_timer` for each timer when it expires, in order of expiry.

    Timers with the same time fire in the order in which they were scheduled. A timer cannot be cancelled; the
    callback has to ignore timers that no longer apply.
    """

    def __init__(self, on_timer: Callable[[Timer], None]) -> None:
        self.on_timer = on_timer
        self.heap: list[tuple[int, int, Timer]] = []
        self.scheduled_count = 0
        self.earlier_scheduled = anyio.Event()
        self.log = structlog.get_logger()

    def schedule(self, when: int, timer: Timer) -> None:
        """Schedule `timer` to fire at `when`, in tenths of a millisecond on the front's clock."""
        is_earliest = not self.heap or when < self.heap[0][0]
        self.scheduled_count += 1
        # The unique count prevents comparisons between timers that have the same time.
        heapq.heappush(self.heap, (when, self.scheduled_count, timer))
        if is_earliest:
            self.earlier_scheduled.set()

    async def run(self) -> None:
        """Fire timers until cancelled; cancellation loses only timers that have not fired yet."""
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
            with anyio.move_on_after(max(0.0, (self.heap[0][0] - now()) / TENTHS_PER_SECOND)):
                await self.earlier_scheduled.wait()

    def _fire(self, timer: Timer) -> None:
        try:
            self.on_timer(timer)
        except Exception as error:
            self.log.exception("timer_failed", token=str(timer), fault=repr(error))
