"""Rules for repeating and abandoning attempts, and the final response of a request that was not completed.

The age of an attempt counts as well (mechanism 1 of docs/design.md): if it may be repeated, it is abandoned
after a timeout that is at least a multiple of its predicted time.

An engine reserves the state of a completed prefill for a limited time. The time limit is suspended while a
decode attempt that uses the state is on its engine, and starts again when that attempt ends.
"""

from __future__ import annotations

from runspool.scheduling.actions import Action, FailIndeterminate, Reject
from runspool.scheduling.admission import retry_after
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import predicted_decode_wait, predicted_first_token_time
from runspool.scheduling.request_progress import RequestProgress
from runspool.scheduling.time_units import MILLISECOND
from runspool.scheduling.transfer_cost import transfer_delay
from runspool.scheduling.types import (
    NOT_EXECUTED,
    AttemptOutcome,
    AttemptStatus,
    DeduplicationScope,
    Idempotency,
    Role,
)

# Statuses of attempts that were not sent in full or that the engine refused as invalid or unsupported. Such a
# decode attempt does not suspend the time limit on the prefill's reserved state.
UNSENT_STATUSES = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})
# Timeout of a decode attempt that may be repeated, as a fraction of the time left.
DECODE_TIMEOUT_FRACTION = 0.8
# Shortest timeout of an attempt.
MIN_TIMEOUT = 300 * MILLISECOND
# Multiple of the predicted wait up to which an attempt does not count as hung.
TIMEOUT_FACTOR = 4
# Repeated prefills that each successful prefill adds to the retry budget. The budget keeps repeats from
# sustaining an overload.
RETRY_BUDGET_PER_PREFILL = 0.3
# Upper bound on the retry budget, in prefills.
MAX_RETRY_BUDGET = 10.0


def may_attempt(front: FrontState, progress: RequestProgress) -> bool:
    """Return whether another attempt of a request is still needed and allowed."""
    if (
        progress.request.finished
        or progress.attempts >= front.settings.max_attempts
        or front.now >= progress.deadline
    ):
        return False
    if not progress.first_execution_engine:
        return True
    settings = progress.class_state.settings
    if settings.idempotency is Idempotency.KEYED:
        return front.now < progress.first_execution_at + settings.deduplication_window
    return settings.idempotency is not Idempotency.AT_MOST_ONCE


def must_release_before_connect(front: FrontState, progress: RequestProgress) -> bool:
    """Return whether a prefill's state has to be released before another connection is tried."""
    # The next connection may take as long to fail as the last one. If connections to one decode engine after
    # another failed, the state would stay reserved beyond its time limit. `reservation_duration` leaves time
    # for the release itself.
    return progress.prefill_engine is not None and (
        front.now + progress.unsent_attempt_duration
        >= progress.reservation_start + progress.reservation_duration
    )


def spend_retry_budget(front: FrontState, progress: RequestProgress) -> bool:
    """Charge the next attempt to the retry budget if it has to be; return False if the budget is used up."""
    if progress.needs_retry_budget:
        if front.retry_budget < 1:
            return False
        front.retry_budget -= 1
        progress.needs_retry_budget = False
    return True


def attempt_timeout(front: FrontState, progress: RequestProgress, engine: Engine) -> int:
    """Return the time after which an attempt is abandoned, or 0 if no other attempt may follow it."""
    request, prefill_engine = progress.request, progress.prefill_engine
    # Without a repeat, abandoning an attempt only wastes its work.
    may_repeat = front.retry_budget >= 1 or prefill_engine or request.is_continuation
    if not may_repeat or progress.attempts >= front.settings.max_attempts:
        return 0
    decodes = engine.role is not Role.PREFILL
    if decodes and progress.class_state.settings.idempotency is not Idempotency.IDEMPOTENT:
        return 0
    # The engine may continue an abandoned attempt. An attempt is therefore kept for most of the time left,
    # and for a multiple of its predicted time. A prefill is kept until its first token is due: during
    # congestion a repeat doubles the work and finishes no sooner.
    due = progress.first_token_due
    left = (due if front.now < due - 2 * MIN_TIMEOUT else progress.deadline) - front.now
    wait = _predicted_wait(front, progress, engine)
    fraction = DECODE_TIMEOUT_FRACTION if decodes else 1
    return max(MIN_TIMEOUT, int(left * fraction), TIMEOUT_FACTOR * wait)


def _predicted_wait(front: FrontState, progress: RequestProgress, engine: Engine) -> int:
    """Return the predicted time until an attempt's prefill ends or its first token arrives."""
    prefill_engine = progress.prefill_engine
    if prefill_engine is None:
        return predicted_first_token_time(front, engine, progress.request)
    wait = predicted_decode_wait(front, engine)
    if prefill_engine.rack != engine.rack:
        wait += int(transfer_delay(front, prefill_engine.rack))
    return wait


def apply_attempt_outcome(
    front: FrontState, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome, sent_at: int
) -> bool:
    """Update a request with the end of an attempt; return whether the prefill's state has to be released."""
    must_release = False
    if not (outcome.reached_engine or outcome.status is AttemptStatus.NOT_SENT):
        progress.unresponsive_engine_ids.append(engine.id)
    if outcome.status is AttemptStatus.PREFILL_COMPLETE:
        progress.prefill_engine, progress.reservation_start = engine, front.now
        progress.failed_engine_ids, progress.unsent_attempt_duration = (
            list(progress.unresponsive_engine_ids),
            0,
        )
        front.retry_budget = min(MAX_RETRY_BUDGET, front.retry_budget + RETRY_BUDGET_PER_PREFILL)
    elif outcome.status is AttemptStatus.STATE_MISSING:
        progress.prefill_engine = None
    elif outcome.status is not AttemptStatus.SUCCEEDED:
        must_release = _record_failed_attempt(front, progress, engine, outcome)
    may_have_executed = engine.role is not Role.PREFILL and outcome.status not in NOT_EXECUTED
    if may_have_executed and not progress.first_execution_engine:
        progress.first_execution_engine, progress.first_execution_at = engine, sent_at
    return must_release


def _record_failed_attempt(
    front: FrontState, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome
) -> bool:
    """Update a request with a failed attempt; return whether the prefill's state has to be released."""
    # The time limit on the prefill's state continues after an attempt that was not sent, and starts again
    # after one that reached its engine.
    progress.unsent_attempt_duration = outcome.duration if outcome.status in UNSENT_STATUSES else 0
    if outcome.reached_engine:
        progress.reservation_start = front.now
    progress.failed_engine_ids.append(engine.id)
    progress.needs_retry_budget = (
        not progress.prefill_engine
        and not progress.request.is_continuation
        and outcome.status in (AttemptStatus.TIMED_OUT, AttemptStatus.OVERLOADED)
    )
    # State that was released during the attempt no longer exists, or is dropped by its engine together with
    # the attempt that waited for it. The request needs a new prefill, and a second release covers anything
    # that an engine still reserves for it.
    return progress.prefill_engine is not None and outcome.state_released


def final_response(front: FrontState, progress: RequestProgress) -> Action:
    """Return the response to a request that was not completed, depending on whether a retry is safe."""
    settings = progress.class_state.settings
    is_retry_harmful = progress.first_execution_engine is not None and (
        settings.idempotency is Idempotency.AT_MOST_ONCE
        or (
            settings.idempotency is Idempotency.KEYED
            and settings.deduplication_scope is not DeduplicationScope.ALL
        )
    )
    if is_retry_harmful:
        return FailIndeterminate()
    return Reject(retry_after(front, progress.request))
