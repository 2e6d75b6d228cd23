"""Accounting of this front's attempts on each engine, and the learning from how they end."""

from __future__ import annotations

from runspool.scheduling.engine_state import NO_PREFILL, Engine, QueuedPrefill
from runspool.scheduling.fleet_statistics import estimated_tokens_of_other_fronts, expected_memory_tokens
from runspool.scheduling.front_state import FrontState, OpenAttempt
from runspool.scheduling.latency_estimator import current_estimate, record_prefill_rate, update_estimate
from runspool.scheduling.outlier_detection import eject_engine
from runspool.scheduling.prefix_affinity import (
    record_cached_texts,
    reported_cached_tokens,
    tokens_to_prefill,
)
from runspool.scheduling.types import AttemptOutcome, AttemptStatus, Request, Role

# Statuses after which the engine counts as healthy again.
SUCCESS_STATUSES = (AttemptStatus.PREFILL_COMPLETE, AttemptStatus.STREAM_STARTED, AttemptStatus.SUCCEEDED)
# Statuses that say nothing about the engine's health or speed.
NEUTRAL_STATUSES = (AttemptStatus.STATE_MISSING, AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED)
# Number of samples over which a running mean is taken.
RUNNING_MEAN_SAMPLES = 16
# Number of responses over which the decayed sums of response times are taken.
RESPONSE_TIME_SAMPLES = 32


def record_attempt_start(
    front: FrontState, request: Request, engine: Engine, prefill_engine: Engine | None
) -> None:
    """Count an attempt on its engine; `prefill_engine` holds the prefill state that a decode attempt uses."""
    front.open_attempts[request.index] = OpenAttempt(engine, front.now)
    front.active_engines[engine.id] = engine
    if prefill_engine is None:
        tokens = tokens_to_prefill(front, engine, request)
        engine.prefill_tokens += tokens
        engine.prefills[request.index] = QueuedPrefill(front.now, tokens, engine.prefill_tokens)
    if engine.role is not Role.PREFILL:
        engine.waiting_decodes[request.index] = front.now
        engine.streams[request.index] = expected_memory_tokens(front, request)
        engine.stream_tokens += engine.streams[request.index]


def record_attempt_outcome(
    front: FrontState,
    request: Request,
    outcome: AttemptOutcome,
    prefill_engine: Engine | None,
) -> None:
    """Record how an attempt ended, or that its stream has started, and learn from it.

    The attempt is removed from its engine unless its stream has started.
    """
    status = outcome.status
    attempt = front.open_attempts[request.index]
    engine = attempt.engine
    _record_load_report(front, engine, outcome)
    if prefill_engine and prefill_engine.rack != engine.rack:
        _learn_transfer_delay(front, engine, outcome, prefill_engine)
    engine.waiting_decodes.pop(request.index, None)
    prefill = engine.prefills.pop(request.index, NO_PREFILL)
    prefill_tokens = prefill.tokens
    engine.prefill_tokens -= prefill_tokens
    is_same_rack_decode = prefill_engine is not None and prefill_engine.rack == engine.rack
    if status in SUCCESS_STATUSES:
        engine.consecutive_failures = engine.ejected_until = 0
        if prefill_tokens:
            _learn_from_prefill(front, request, engine, outcome, prefill)
        elif is_same_rack_decode:
            _learn_decode_wait(front, engine, outcome)
    elif status is AttemptStatus.OVERLOADED:
        _learn_from_overload(front, request, engine, outcome, prefill_tokens)
    elif status not in NEUTRAL_STATUSES:
        _learn_from_failure(front, engine, outcome, prefill_tokens, is_same_rack_decode)
    attempt.is_streaming = status is AttemptStatus.STREAM_STARTED
    if not attempt.is_streaming:
        _remove_attempt(front, request)
    _deactivate_if_idle(front, engine)


def _record_load_report(front: FrontState, engine: Engine, outcome: AttemptOutcome) -> None:
    if outcome.load_report:
        engine.load_report, engine.load_reported_at = outcome.load_report, front.now


def _learn_transfer_delay(
    front: FrontState, engine: Engine, outcome: AttemptOutcome, prefill_engine: Engine
) -> None:
    """Learn how much longer a decode waited than one that needs no transfer between racks."""
    if outcome.status in (AttemptStatus.STREAM_STARTED, AttemptStatus.TIMED_OUT):
        role_wait = front.role_decode_waits[engine.role]
        extra = outcome.duration - current_estimate(front, engine.decode_wait, role_wait)
        rack_delay = front.rack_transfer_delays[prefill_engine.rack]
        update_estimate(front, rack_delay, front.fleet_transfer_delay, max(0.0, extra))


def _learn_decode_wait(front: FrontState, engine: Engine, outcome: AttemptOutcome) -> None:
    update_estimate(front, engine.decode_wait, front.role_decode_waits[engine.role], outcome.duration)


def _learn_from_prefill(
    front: FrontState,
    request: Request,
    engine: Engine,
    outcome: AttemptOutcome,
    prefill: QueuedPrefill,
) -> None:
    """Learn from a completed prefill; `prefill` is its former entry in the engine's queue."""
    queued_tokens = prefill.cumulative_tokens
    if outcome.status is AttemptStatus.PREFILL_COMPLETE:
        cached = reported_cached_tokens(request, outcome)
        if request.affinity_candidates and engine.id == request.affinity_candidates[0]:
            class_state = front.class_state(request)
            fraction = cached / max(1, request.prompt_tokens)
            class_state.cached_fraction += (fraction - class_state.cached_fraction) / RUNNING_MEAN_SAMPLES
        queued_tokens += max(1, request.prompt_tokens - cached) - prefill.tokens
    if outcome.status is not AttemptStatus.STREAM_STARTED:
        record_prefill_rate(front, engine, queued_tokens, outcome.duration)
    delay = max(0.0, outcome.duration - queued_tokens / front.prefill_rates[engine.role])
    update_estimate(front, engine.queueing_delay, front.role_queueing_delays[engine.role], delay)
    record_cached_texts(engine, request)


def _learn_from_overload(
    front: FrontState, request: Request, engine: Engine, outcome: AttemptOutcome, prefill_tokens: int
) -> None:
    """Learn from an engine's report that it is overloaded; `prefill_tokens` is 0 for a decode."""
    if prefill_tokens:
        # The engine cannot compute its queue within the objective. A recorded delay of at least the objective
        # keeps hundreds of fronts from sending to it again at once.
        delay = max(outcome.duration, front.class_state(request).settings.first_token_objective)
        update_estimate(front, engine.queueing_delay, front.role_queueing_delays[engine.role], delay)
    if engine.role is not Role.PREFILL and not engine.observed_capacity:
        present = engine.stream_tokens + int(estimated_tokens_of_other_fronts(front, engine))
        engine.observed_capacity = max(present, engine.memory_tokens // 2)


def _learn_from_failure(
    front: FrontState, engine: Engine, outcome: AttemptOutcome, prefill_tokens: int, is_same_rack_decode: bool
) -> None:
    """Learn from an attempt that failed or timed out on the engine; `prefill_tokens` is 0 for a decode."""
    timed_out = outcome.status is AttemptStatus.TIMED_OUT
    if timed_out and prefill_tokens:
        # Without this sample only attempts that finished in time would determine the estimate.
        update_estimate(
            front, engine.queueing_delay, front.role_queueing_delays[engine.role], outcome.duration
        )
    elif timed_out and is_same_rack_decode:
        _learn_decode_wait(front, engine, outcome)
    # A first timeout is only counted: it may be due to congestion, which would only move to other engines if
    # this one were ejected.
    if not timed_out or engine.consecutive_failures:
        eject_engine(front, engine)
    engine.consecutive_failures = max(engine.consecutive_failures, 1)


def record_stream_end(
    front: FrontState, request: Request, outcome: AttemptOutcome, prefill_duration: int
) -> None:
    """Remove a stream from its engine and learn from its outcome.

    `prefill_duration` is the time to the first token if the same engine prefilled the request, else 0.
    """
    engine = front.open_attempts[request.index].engine
    _record_load_report(front, engine, outcome)
    _remove_attempt(front, request)
    if outcome.status is AttemptStatus.SUCCEEDED:
        _learn_from_response(front, request, engine, outcome, prefill_duration)
    elif outcome.status is AttemptStatus.CONNECTION_LOST:
        eject_engine(front, engine)


def _learn_from_response(
    front: FrontState, request: Request, engine: Engine, outcome: AttemptOutcome, prefill_duration: int
) -> None:
    """Learn from a complete response.

    It updates the prefill rate of the engine's role, the response times of mixed engines, and the mean output
    length of the request class.
    """
    if prefill_duration:
        # Cached tokens must not count as tokens that were computed fast. Only the end of a response reports
        # how many were cached.
        computed_tokens = request.prompt_tokens - reported_cached_tokens(request, outcome)
        record_prefill_rate(front, engine, computed_tokens, prefill_duration)
    class_state = front.class_state(request)
    allowed_time_per_token = class_state.settings.time_per_output_token
    if request.expected_output_tokens and engine.role is Role.MIXED:
        # The client's estimate of the output length is rough. The sum of allowed times starts at twice its
        # first value, so that `prefill_selection` does not conclude from a single response that responses
        # have no time to spare.
        allowed = request.expected_output_tokens * allowed_time_per_token
        total = front.mixed_allowed_time_sum
        front.mixed_allowed_time_sum += allowed - total / RESPONSE_TIME_SAMPLES if total else 2 * allowed
        front.mixed_response_time_sum += (
            outcome.duration - front.mixed_response_time_sum / RESPONSE_TIME_SAMPLES
        )
    tokens = request.expected_output_tokens or outcome.duration / max(1, allowed_time_per_token)
    mean = class_state.mean_output_tokens
    class_state.mean_output_tokens = tokens if not mean else mean + (tokens - mean) / RUNNING_MEAN_SAMPLES


def remove_request(front: FrontState, request: Request) -> None:
    """Remove all entries of a request from its engine.

    The age of an engine's oldest entry is a lower bound on the wait predicted for the engine, so an entry
    that is never removed would make the engine look slower and slower.
    """
    if request.index in front.open_attempts:
        _remove_attempt(front, request)


def _remove_attempt(front: FrontState, request: Request) -> None:
    engine = front.open_attempts.pop(request.index).engine
    engine.waiting_decodes.pop(request.index, None)
    engine.prefill_tokens -= engine.prefills.pop(request.index, NO_PREFILL).tokens
    engine.stream_tokens -= engine.streams.pop(request.index, 0)
    _deactivate_if_idle(front, engine)


def _deactivate_if_idle(front: FrontState, engine: Engine) -> None:
    """Remove an engine from the active ones once it has no requests of this front."""
    is_idle = not (engine.prefills or engine.waiting_decodes or engine.streams)
    if is_idle and front.active_engines.get(engine.id) is engine:
        del front.active_engines[engine.id]
