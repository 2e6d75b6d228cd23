"""Runs single attempts of requests at engines and reports their outcomes to the scheduler."""

from __future__ import annotations

from dataclasses import asdict
from typing import Generic

import anyio

from runspool.discovery.endpoint_tracker import ListRevision
from runspool.engines.attempt_result import AttemptResult
from runspool.engines.exchange_timer import effective_timeout
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.scheduling.request_lifecycle import AttemptTarget, DenialReason, InvariantViolation
from runspool.scheduling.types import AttemptOutcome, AttemptStatus
from runspool.service import final_responses
from runspool.service.attempt_permit import AttemptPermit
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now
from runspool.service.executor_base import RequestExecutorBase
from runspool.service.pending_request import Endpoint, FinalResponse, RequestT, ResponseKind
from runspool.service.release_check import ReleaseCheck


class AttemptRunner(Generic[RequestT]):
    """Runs attempts for a request executor, whose run_exchange() implements the engines' protocol."""

    def __init__(
        self, executor: RequestExecutorBase[RequestT], release_check: ReleaseCheck[RequestT]
    ) -> None:
        self.executor = executor
        self.release_check = release_check

    async def run(self, pending: RequestT, endpoint: Endpoint, first_token_limit: int) -> None:
        """Run one attempt and report its outcome to the scheduler.

        `first_token_limit` is the time until the first token that the scheduler allows, in tenths of a
        millisecond; 0 means that only the request's deadline applies. An exception in the exchange fails only
        this attempt, an exception in the scheduler only this request.
        """
        executor = self.executor
        list_revision = executor.endpoint_tracker.revision()
        await executor.before_attempt(pending, endpoint)
        sent_at, attempt = now(), pending.attempt_count
        limit = effective_timeout(
            first_token_limit, executor.deadline_guard.attempt_deadline(pending) - sent_at
        )
        target = AttemptTarget(endpoint.index, endpoint.role, endpoint.zone, endpoint.rack)
        if pending.has_client_left():
            executor.client_disconnected(pending)
        denial = pending.lifecycle.deny_attempt(sent_at, target)
        if pending.final_response is not None:
            result = _failed_result(FailureCause.CANCELLED)
        elif denial is not None:
            result = self._record_denied_attempt(pending, endpoint, attempt, denial)
        else:
            pending.lifecycle.attempt_started(sent_at, target)
            result = await self._run_exchange(pending, endpoint, attempt, sent_at, limit)
        try:
            self._report_end(pending, endpoint, attempt, sent_at, result)
            self._log_result(pending, endpoint, attempt, sent_at, result, list_revision)
            executor.after_attempt(pending, endpoint, attempt, result)
        except Exception as error:  # noqa: BLE001 - an error in one request must not affect the others
            executor.handle_scheduler_failure(executor.scheduler_for(pending), pending.index, error)

    def _record_denied_attempt(
        self, pending: RequestT, endpoint: Endpoint, attempt: int, denial: DenialReason
    ) -> AttemptResult:
        """Record that the scheduler started an attempt that the lifecycle does not permit."""
        self.executor.invariants.record(
            InvariantViolation.ATTEMPT_NOT_ALLOWED,
            request=pending.id,
            attempt=attempt,
            engine=endpoint.name,
            reason=denial.value,
        )
        return _failed_result(FailureCause.NOT_PERMITTED, denial.value)

    async def _run_exchange(
        self, pending: RequestT, endpoint: Endpoint, attempt: int, sent_at: int, limit: int
    ) -> AttemptResult:
        """Run the exchange in a cancel scope that `PendingRequest.cancel_attempt` can cancel."""
        executor = self.executor
        result = _failed_result(FailureCause.CANCELLED)
        with anyio.CancelScope() as scope:
            pending.attempt_scope = scope
            pending.attempt_endpoint = endpoint
            permit = AttemptPermit(executor.endpoint_registry, pending, endpoint)
            try:
                result = await executor.run_exchange(pending, endpoint, attempt, sent_at, limit, permit)
            except Exception as error:
                executor.log.exception("attempt_failed", request=pending.id, fault=repr(error))
                result = _failed_result(FailureCause.MALFORMED_RESPONSE, repr(error))
        result.first_byte_at = permit.first_byte_at
        pending.attempt_scope = pending.attempt_endpoint = None
        return result

    def _report_end(
        self, pending: RequestT, endpoint: Endpoint, attempt: int, sent_at: int, result: AttemptResult
    ) -> None:
        """Update the request with the result of its attempt, and report the outcome to the scheduler."""
        executor = self.executor
        ended_at = now()
        state_released = pending.lifecycle.released_during_attempt
        pending.lifecycle.attempt_ended(ended_at, result.status)
        if result.status is AttemptStatus.PREFILL_COMPLETE:
            executor.set_prefill_endpoint(pending, endpoint, result.state)
        elif result.status is AttemptStatus.STATE_MISSING:
            executor.set_prefill_endpoint(pending, None, None)
        is_final = self._finish_if_final(pending, result)
        outcome = AttemptOutcome(
            result.status,
            ended_at - sent_at,
            result.cached_tokens,
            result.load_report,
            result.reached_engine,
            state_released,
        )
        self.release_check.schedule(pending)
        if pending.index in executor.requests:
            executor.notify_scheduler(
                executor.scheduler_for(pending),
                pending.index,
                CellScheduler.attempt_ended,
                pending.index,
                attempt,
                outcome,
                is_final,
            )
        elif pending.prefill_endpoint is not None:
            # The scheduler failed on this request during the attempt and will not ask for the release.
            executor.release_prefill_state(pending)

    def _finish_if_final(self, pending: RequestT, result: AttemptResult) -> bool:
        """Finish the request if this attempt determines its final response.

        Return True if the request has its final response, from this attempt or from elsewhere.
        """
        if result.status is AttemptStatus.SUCCEEDED:
            self.executor.finish(pending, FinalResponse(ResponseKind.SUCCEEDED, result=result))
            return True
        if pending.stream_started:
            self.executor.finish(pending, final_responses.stream_interrupted())
            return True
        return pending.final_response is not None

    def _log_result(
        self,
        pending: RequestT,
        endpoint: Endpoint,
        attempt: int,
        sent_at: int,
        result: AttemptResult,
        list_revision: ListRevision,
    ) -> None:
        executor = self.executor
        executor.counts[f"attempt_{result.status.name.lower()}"] += 1
        details = {
            "request": pending.id,
            "attempt": attempt,
            "engine": endpoint.name,
            "role": endpoint.role.name,
            "status": result.status.name,
            "failure_cause": result.failure_cause and result.failure_cause.name,
            "detail": result.detail,
            "duration": now() - sent_at,
            "first_byte_after": None if result.first_byte_at is None else result.first_byte_at - sent_at,
            "reached_engine": result.reached_engine,
            "cached_tokens": result.cached_tokens,
            "output_tokens": result.output_tokens,
            "events": result.event_count,
            "idle_time": result.idle_time,
            "awaited": result.awaited and result.awaited.value,
            "framing": result.framing and asdict(result.framing),
            "list_version": list_revision.version,
            "list_age": None
            if list_revision.last_message_at is None
            else sent_at - list_revision.last_message_at,
        }
        if result.awaited is not None and result.failure_cause is not None:
            executor.counts[f"stream_ended_awaiting_{result.awaited.value}"] += 1
        executor.log.debug("attempt_finished", **details)
        if result.failure_cause is not None:
            executor.rate_limited_log.info("attempt_ended", **details)


def _failed_result(cause: FailureCause, detail: str = "") -> AttemptResult:
    return AttemptResult(STATUS_BY_CAUSE[cause], cause, detail)
