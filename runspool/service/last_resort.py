"""The last resort of a shutdown: ends every request that may not stay open, whatever decisions did."""

from __future__ import annotations

from typing import Generic

from runspool.scheduling.request_lifecycle import DenialReason, InvariantViolation
from runspool.service import final_responses
from runspool.service.clock import now
from runspool.service.pending_request import RequestT
from runspool.service.request_ledger import RequestLedger
from runspool.service.request_log import ShutdownDecision, log_shutdown_decision


class LastResort(Generic[RequestT]):
    """Asks the lifecycle of each open request whether it may stay open, and ends it where it may not."""

    def __init__(self, executor: RequestLedger[RequestT]) -> None:
        self.executor = executor

    def end_open_requests(self, process_ends: bool = False, streams: bool = True) -> None:
        """Ends every request that may not stay open now.

        Without `streams`, those whose streams have begun are left to decisions for now. `process_ends` is as
        in RequestLifecycle.deny_staying_open().
        """
        for pending in list(self.executor.requests.values()):
            if pending.final_response is not None or (pending.stream_started and not streams):
                continue
            denial = pending.lifecycle.deny_staying_open(process_ends)
            if denial is None:
                self._leave_open(pending)
            else:
                self._end(pending, denial)

    def log_decision(self, pending: RequestT, decision: ShutdownDecision, reason: str) -> None:
        """Logs what is done with an open request in a shutdown."""
        left = self.executor.shutdown_deadline - now()
        log_shutdown_decision(self.executor.log, pending, decision, reason, left)

    def _leave_open(self, pending: RequestT) -> None:
        if not pending.left_open:
            pending.left_open = True
            self.log_decision(pending, ShutdownDecision.LEFT_OPEN, "its stream cannot be resumed elsewhere")

    def _end(self, pending: RequestT, denial: DenialReason) -> None:
        self.log_decision(pending, ShutdownDecision.ENDED, denial.value)
        if denial is DenialReason.RESUMABLE_AT_KILL:
            # Decisions move such streams in time; ended here, the stream is not lost, but they have failed.
            self.executor.invariants.record(
                InvariantViolation.STREAM_LEFT_OPEN, request=pending.id, reason=denial.value
            )
        if self.executor.finish(pending, final_responses.front_stopped()):
            self.executor.disconnect(pending)
