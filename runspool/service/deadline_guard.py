"""A fallback timer that answers a request before its deadline if the scheduler has not done so."""

from __future__ import annotations

from structlog.typing import FilteringBoundLogger

from runspool.service.clock import now
from runspool.service.pending_request import PendingRequest
from runspool.service.timer_queue import DeadlineGuardTimer, ExecutorTimer, TimerQueue

# A guard that fires late by at least this time, in tenths of a millisecond, is scheduled again after the same
# time, so that the timers of the scheduler are handled first.
GUARD_DEFERRAL = 10
# The time, in tenths of a millisecond, between the end of a request's attempts and the start of the response
# slack. If a guard fires late by this time or more, the cause is a delay of the process, not a failure of the
# scheduler.
GUARD_MARGIN = 50


class DeadlineGuard:
    """Schedules a timer for each request at the latest time at which it must be answered.

    The timer fires half of the response slack before the request's deadline. The scheduler is expected to
    have answered the request by then.
    """

    def __init__(self, timers: TimerQueue[ExecutorTimer], response_slack: int) -> None:
        """Initialize the guard.

        `response_slack` is the time before a deadline that is reserved for sending the response, in tenths of
        a millisecond.
        """
        self.timers = timers
        self.response_slack = response_slack

    def schedule(self, pending: PendingRequest) -> None:
        """Schedule the request's guard timer."""
        self.timers.schedule(self.due_at(pending), DeadlineGuardTimer(pending.index))

    def due_at(self, pending: PendingRequest) -> int:
        """Return when the guard answers the request, on the front's clock."""
        return pending.deadline - self.response_slack // 2

    def attempt_deadline(self, pending: PendingRequest) -> int:
        """Return the time by which the request's attempts must have ended, on the front's clock."""
        return pending.deadline - self.response_slack - GUARD_MARGIN

    def defer(self, pending: PendingRequest) -> bool:
        """Schedule the timer again if it has fired late or during an attempt, at most once per request.

        After the process was paused, many timers are due at once. The deferral lets the scheduler's timers
        run first, so that the scheduler can still answer the request itself. An attempt in progress has been
        told to end by now; the deferral lets its end be reported first. Return whether the timer was
        scheduled again.
        """
        is_on_time = self._lateness(pending) < GUARD_DEFERRAL
        if pending.guard_deferred or (is_on_time and pending.attempt_scope is None):
            return False
        pending.guard_deferred = True
        self.timers.schedule(now() + GUARD_DEFERRAL, DeadlineGuardTimer(pending.index))
        return True

    def log_answer(self, pending: PendingRequest, log: FilteringBoundLogger) -> None:
        """Log that the guard has answered the request.

        This is an error of the scheduler unless the guard itself fired late by at least GUARD_MARGIN, or an
        attempt is still in progress whose time limit has passed. In these cases the process lacked CPU time
        or was paused, and only a warning is logged.
        """
        lateness = self._lateness(pending)
        if lateness >= GUARD_MARGIN or pending.attempt_scope is not None:
            log.warning("deadline_guard_late", request=pending.id, late_ms=lateness / 10)
        else:
            log.error("answered_by_deadline_guard", request=pending.id)

    def _lateness(self, pending: PendingRequest) -> int:
        return now() - self.due_at(pending)
