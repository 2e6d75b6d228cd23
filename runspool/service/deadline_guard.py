"""The last resort against a client waiting past its deadline, should the scheduler not answer in time."""

from __future__ import annotations

from structlog.typing import FilteringBoundLogger

from runspool.service.clock import now
from runspool.service.pending_request import PendingRequest
from runspool.service.timer_queue import DeadlineGuardTimer, ExecutorTimer, TimerQueue

# All times are in tenths of a millisecond.
GUARD_DEFERRAL = 10  # by which a guard that fires late lets the scheduler's own timers go first
GUARD_MARGIN = 50  # between the end of a request's last attempt and what is kept for its response


class DeadlineGuard:
    """Knows when each request must be answered at the latest, and has a timer fire then.

    The guard fires half of the response slack before the request's deadline. The scheduler is expected to
    have answered by then.
    """

    def __init__(self, timers: TimerQueue[ExecutorTimer], response_slack: int) -> None:
        """`response_slack` is the time, before a deadline, that is kept for the response to be sent."""
        self.timers = timers
        self.response_slack = response_slack

    def schedule(self, pending: PendingRequest) -> None:
        """Sets the request's timer."""
        self.timers.schedule(self.due_at(pending), DeadlineGuardTimer(pending.index))

    def due_at(self, pending: PendingRequest) -> int:
        """When the guard answers the request, on the front's clock."""
        return pending.deadline - self.response_slack // 2

    def attempts_end_at(self, pending: PendingRequest) -> int:
        """When the request's attempts must have ended, on the front's clock."""
        return pending.deadline - self.response_slack - GUARD_MARGIN

    def defer(self, pending: PendingRequest) -> bool:
        """Sets the timer again, once a request, if it has fired late; whether it did so.

        After a pause of the process all timers are due at once; the scheduler's own answer goes first.
        """
        if pending.guard_deferred or self._lateness(pending) < GUARD_DEFERRAL:
            return False
        pending.guard_deferred = True
        self.timers.schedule(now() + GUARD_DEFERRAL, DeadlineGuardTimer(pending.index))
        return True

    def log_answer(self, pending: PendingRequest, log: FilteringBoundLogger) -> None:
        """Logs that the guard has answered: an error, unless the process itself got no turn in time.

        A process that is late is short of CPU, or was stopped for a moment.
        """
        lateness = self._lateness(pending)
        if lateness >= GUARD_MARGIN:
            log.warning("deadline_guard_late", request=pending.id, late_ms=lateness / 10)
        else:
            log.error("answered_by_deadline_guard", request=pending.id)

    def _lateness(self, pending: PendingRequest) -> int:
        return now() - self.due_at(pending)
