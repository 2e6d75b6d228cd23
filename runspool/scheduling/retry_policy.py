"""Which attempts may follow another, when one is given up, and what a request without a response is told.

Mechanism 1, overdue age, its other half: an attempt that another may follow is given up past a multiple of
what was foreseen.
"""

from __future__ import annotations

from runspool.scheduling.actions import Action, FailIndeterminate, Reject
from runspool.scheduling.admission import retry_after
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import decode_wait, predicted_first_token_time
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

NEVER_SENT = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})  # as if it had not been made
DECODE_TIMEOUT_PART = 0.8  # of the time left, for a decode attempt after which another may follow
SHORTEST_TIMEOUT = 300 * MILLISECOND
TIMEOUT_FACTOR = 4  # times the predicted wait before an attempt counts as hung
RETRY_TOKENS_PER_PREFILL = 0.3  # repeats for each prefill that ends well, against an overload kept up by them
LARGEST_RETRY_BUDGET = 10.0


def may_continue(front: FrontState, progress: RequestProgress) -> bool:
    """Whether another attempt of a request is still wanted and allowed."""
    if (
        progress.request.finished
        or progress.attempts >= front.settings.max_attempts
        or front.now >= progress.deadline
    ):
        return False
    if not progress.first_executed:
        return True
    settings = progress.class_state.settings
    if settings.idempotency is Idempotency.KEYED:
        return front.now < progress.first_executed_at + settings.deduplication_window
    return settings.idempotency is not Idempotency.AT_MOST_ONCE


def reservation_ends_before_connect(front: FrontState, progress: RequestProgress) -> bool:
    """Whether a prefill's state may expire while another connection is tried."""
    # Decode engines to which no connection comes up would pin the state one after the other: the next attempt
    # may take as long as the last, and the release takes its time too.
    return progress.prefill_engine is not None and (
        front.now + progress.connect_time_lost >= progress.reserved_since + progress.reservation_duration
    )


def take_retry_token(front: FrontState, progress: RequestProgress) -> bool:
    """Charge a repeated prefill to the retry budget; False where that is used up."""
    if progress.needs_retry_token:
        if front.retry_budget < 1:
            return False
        front.retry_budget -= 1
        progress.needs_retry_token = False
    return True


def attempt_timeout(front: FrontState, progress: RequestProgress, engine: Engine) -> int:
    """After what time an attempt is given up; 0 for one that no other may follow."""
    request, prefill_engine = progress.request, progress.prefill_engine
    # Without a repeat what is given up is only wasted.
    may_repeat = front.retry_budget >= 1 or prefill_engine or request.is_continuation
    if not may_repeat or progress.attempts >= front.settings.max_attempts:
        return 0
    decodes = engine.role is not Role.PREFILL
    if decodes and progress.class_state.settings.idempotency is not Idempotency.IDEMPOTENT:
        return 0
    # Work given up may go on there: what is merely slow, as far as foreseen, is left alone; a prefill until
    # it is due, for in a jam one repeated prefill makes two of one that comes as late.
    due = progress.first_token_due
    left = (due if front.now < due - 2 * SHORTEST_TIMEOUT else progress.deadline) - front.now
    wait = _predicted_wait(front, progress, engine)
    part = DECODE_TIMEOUT_PART if decodes else 1
    return max(SHORTEST_TIMEOUT, int(left * part), TIMEOUT_FACTOR * wait)


def _predicted_wait(front: FrontState, progress: RequestProgress, engine: Engine) -> int:
    """How long an attempt takes to the end of its prefill or to its first token, as foreseen."""
    prefill_engine = progress.prefill_engine
    if prefill_engine is None:
        return predicted_first_token_time(front, engine, progress.request)
    wait = decode_wait(front, engine)
    if prefill_engine.rack != engine.rack:
        wait += int(transfer_delay(front, prefill_engine.rack))
    return wait


def record_attempt(
    front: FrontState, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome, sent_at: int
) -> bool:
    """Take the end of an attempt into its request; True where the prefill's state has to be released."""
    must_release = False
    if not (outcome.reached_engine or outcome.status is AttemptStatus.NOT_SENT):
        progress.unreached.append(engine.id)
    if outcome.status is AttemptStatus.PREFILL_COMPLETE:
        progress.prefill_engine, progress.reserved_since = engine, front.now
        progress.failed, progress.connect_time_lost = list(progress.unreached), 0
        front.retry_budget = min(LARGEST_RETRY_BUDGET, front.retry_budget + RETRY_TOKENS_PER_PREFILL)
    elif outcome.status is AttemptStatus.STATE_MISSING:
        progress.prefill_engine = None
    elif outcome.status is not AttemptStatus.SUCCEEDED:
        must_release = _record_failed_attempt(front, progress, engine, outcome)
    may_have_executed = engine.role is not Role.PREFILL and outcome.status not in NOT_EXECUTED
    if may_have_executed and not progress.first_executed:
        progress.first_executed, progress.first_executed_at = engine, sent_at
    return must_release


def _record_failed_attempt(
    front: FrontState, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome
) -> bool:
    """Take in a failed attempt; True where the prefill's state has to be released."""
    # A decode attempt without a response has not stopped the state's time limit.
    progress.connect_time_lost = outcome.duration if outcome.status in NEVER_SENT else 0
    if outcome.reached_engine:
        progress.reserved_since = front.now
    progress.failed.append(engine.id)
    progress.needs_retry_token = (
        not progress.prefill_engine
        and not progress.request.is_continuation
        and outcome.status in (AttemptStatus.TIMED_OUT, AttemptStatus.OVERLOADED)
    )
    # A released state is gone, or goes with the attempt that it waited for: the rest is released too.
    return progress.prefill_engine is not None and outcome.state_released


def final_response(front: FrontState, progress: RequestProgress) -> Action:
    """The response to a request that was not completed: a retry is harmless, or may not be."""
    settings = progress.class_state.settings
    is_retry_harmful = progress.first_executed is not None and (
        settings.idempotency is Idempotency.AT_MOST_ONCE
        or (
            settings.idempotency is Idempotency.KEYED
            and settings.deduplication_scope is not DeduplicationScope.ALL
        )
    )
    if is_retry_harmful:
        return FailIndeterminate()
    return Reject(retry_after(front, progress.request))
