"""Ends the open requests at the end of a shutdown, independently of the schedulers' decisions."""

from __future__ import annotations

from typing import Generic

from runspool.scheduling.request_lifecycle import DenialReason, InvariantViolation
from runspool.service import final_responses
from runspool.service.clock import now
from runspool.service.executor_base import RequestExecutorBase
from runspool.service.pending_request import RequestT
from runspool.service.request_log import ShutdownDecision, log_shutdown_decision


class RequestTerminator(Generic[RequestT]):
    """Ends every open request whose lifecycle does not permit it to stay open."""

    def __init__(self, executor: RequestExecutorBase[RequestT]) -> None:
        self.executor = executor

    def end_open_requests(self, process_ends: bool = False, include_streams: bool = True) -> None:
        """End every request that may not stay open now.

        Args:
            process_ends: Whether the process is about to exit by itself; see
                RequestLifecycle.deny_staying_open().
            include_streams: Whether to end requests with a started stream as well. If not, the schedulers may
                still migrate these streams.
        """
        for pending in list(self.executor.requests.values()):
            if pending.final_response is not None or (pending.stream_started and not include_streams):
                continue
            denial = pending.lifecycle.deny_staying_open(process_ends)
            if denial is None:
                self._leave_open(pending)
            else:
                self._end(pending, denial)

    def log_decision(self, pending: RequestT, decision: ShutdownDecision, reason: str) -> None:
        """Log how the shutdown handles an open request."""
        time_left = self.executor.shutdown_deadline - now()
        log_shutdown_decision(self.executor.log, pending, decision, reason, time_left)

    def _leave_open(self, pending: RequestT) -> None:
        if not pending.left_open:
            pending.left_open = True
            self.log_decision(pending, ShutdownDecision.LEFT_OPEN, "its stream cannot be resumed elsewhere")

    def _end(self, pending: RequestT, denial: DenialReason) -> None:
        """End a request as indeterminate; its stream, if one has started, is cut off."""
        self.log_decision(pending, ShutdownDecision.ENDED, denial.value)
        if denial is DenialReason.RESUMABLE_AT_KILL:
            # The scheduler should have migrated this stream in time. The client can still resume it
            # elsewhere, but an invariant is violated.
            self.executor.invariants.record(
                InvariantViolation.STREAM_LEFT_OPEN, request=pending.id, reason=denial.value
            )
        if self.executor.finish(pending, final_responses.front_stopped()):
            self.executor.cancel_remaining_work(pending)
