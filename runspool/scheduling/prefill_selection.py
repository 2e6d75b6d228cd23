"""Which engine prefills a request.

Mechanism 4, spill: where the queue of every engine without streams is full, a mixed one that carries streams
may prefill.
"""

from __future__ import annotations

from runspool.scheduling.engine_eligibility import eligible_engines, engines_in_view
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import (
    PACKING_THRESHOLD,
    carries_streams,
    has_active_streams,
    has_no_fleet_signal,
    load,
)
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import (
    predicted_first_token_time,
    prefill_rate,
    queue_time,
    queueing_delay,
)
from runspool.scheduling.prefix_affinity import tokens_to_prefill
from runspool.scheduling.transfer_cost import placement_cost
from runspool.scheduling.types import Request, Role

ANSWER_TIME_WITH_ROOM = 0.4  # of the time allowed for their tokens: streams that take less can wait
SPILL_PREFILL = 0.25  # part of an answer's time that a prefill beside streams may take
PREFILL_WEIGHT = 3  # times a prefill's own time that its tokens count for


def select_prefill(
    front: FrontState, request: Request, failed: list[int], first_executed: Engine | None, queue_limit: int
) -> Engine | None:
    """The engine to prefill a request, which may be a mixed one that answers it too; None if none can."""
    mixed, class_state = engines_in_view(front, request, Role.MIXED), front.class_state(request)
    # A state that no engine can take would only be computed to be released.
    can_decode = mixed or front.ready_engines(Role.DECODE)
    engines = engines_in_view(front, request, Role.PREFILL) if can_decode else []
    # A prefill stops streams that this front may not see: only where answers leave room for it.
    if _answers_leave_room(front, request) or not has_no_fleet_signal(front):
        engines += [e for e in mixed if not has_active_streams(front, e)]
    best = _soonest(front, request, eligible_engines(front, request, engines, failed, first_executed))
    if best and queue_time(front, best) + queueing_delay(front, best) <= 2 * queue_limit:
        return best
    # A prefill stops the streams beside it: only one short against an answer may join them.
    time_per_token = class_state.settings.time_per_output_token
    engines += [
        e
        for e in mixed
        if carries_streams(front, e)
        and load(front, e, request) < PACKING_THRESHOLD
        and tokens_to_prefill(front, e, request) / prefill_rate(front, e)
        < SPILL_PREFILL * class_state.mean_output_tokens * time_per_token
    ]
    if not engines:
        engines = mixed
    if not engines and front.settings.decode_engines_prefill:
        engines = engines_in_view(front, request, Role.DECODE)
    return _soonest(front, request, eligible_engines(front, request, engines, failed, first_executed))


def _answers_leave_room(front: FrontState, request: Request) -> bool:
    """Whether answers at mixed engines are well within the time allowed for their tokens."""
    allowed = ANSWER_TIME_WITH_ROOM * front.mixed_answer_time_allowed
    return request.expected_output_tokens > 0 and front.mixed_answer_time <= allowed


def _soonest(front: FrontState, request: Request, engines: list[Engine]) -> Engine | None:
    """The engine with the soonest first token; its own prefill weighs more, as it delays all that follow."""
    reserved, random = front.reserved_prefill_engine, front.random
    return min(
        engines,
        key=lambda e: (
            predicted_first_token_time(front, e, request)
            + placement_cost(front, e)
            + (PREFILL_WEIGHT - 1) * tokens_to_prefill(front, e, request) / prefill_rate(front, e),
            e is not reserved,
            random(),
        ),
        default=None,
    )
