"""Starts the release of prefill states when the time limit on their reservation requires it."""

from __future__ import annotations

from typing import Generic

from runspool.service.clock import now
from runspool.service.executor_base import RequestExecutorBase
from runspool.service.pending_request import RequestT
from runspool.service.timer_queue import ReleaseCheckTimer


class ReleaseCheck(Generic[RequestT]):
    """Schedules a timer for each reserved prefill state, and starts the release when the timer fires.

    The timer fires at the latest time at which the release may start.
    """

    def __init__(self, executor: RequestExecutorBase[RequestT]) -> None:
        self.executor = executor

    def schedule(self, pending: RequestT) -> None:
        """Schedule a check of the request's state at the time its release is due.

        The timer is scheduled whether or not an attempt is in progress.
        """
        at = pending.lifecycle.release_due_at()
        if at is not None and pending.index in self.executor.requests:
            self.executor.timers.schedule(at, ReleaseCheckTimer(pending.index))

    def timer_fired(self, request: int) -> None:
        """Start the release of the request's state if it is due and the protocol has a release for this case.

        An attempt in progress prevents the release only if its engine has responded. Otherwise the attempt
        does not extend the time for which the state may be reserved. If such an attempt has reached its
        engine, which is only slow to respond, the release does no harm: engines keep a state that an attempt
        is waiting for.
        """
        executor = self.executor
        pending = executor.requests.get(request)
        if pending is None:
            return
        at = now()
        due_at = pending.lifecycle.release_due_at()
        if due_at is not None and due_at > at:
            self.schedule(pending)
        elif pending.lifecycle.release_is_due(at) and executor.release_even_if_in_use(pending):
            self._report_release(pending)

    def _report_release(self, pending: RequestT) -> None:
        self.executor.counts["released_during_attempt"] += 1
        self.executor.rate_limited_log.info(
            "state_released",
            request=pending.id,
            attempt=pending.attempt_count,
            reason="the engine of the attempt in progress has not sent anything",
        )
