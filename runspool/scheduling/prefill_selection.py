"""Selection of the engine that prefills a request.

Spill (mechanism 4 of docs/design.md): where the queue of every engine without streams is full, a mixed engine
that has streams may prefill as well.
"""

from __future__ import annotations

from runspool.scheduling.engine_eligibility import candidate_engines, eligible_engines
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import (
    PACKING_THRESHOLD,
    has_active_streams,
    has_few_own_streams,
    load,
    may_have_streams,
)
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import (
    predicted_first_token_time,
    predicted_queue_time,
    predicted_queueing_delay,
    prefill_rate,
)
from runspool.scheduling.prefix_affinity import tokens_to_prefill
from runspool.scheduling.transfer_cost import placement_cost
from runspool.scheduling.types import Request, Role

# Responses of mixed engines that take less than this fraction of the time allowed for their tokens can bear
# an interruption by a prefill.
SPARE_RESPONSE_TIME_FRACTION = 0.4
# Longest prefill on a mixed engine that has streams, as a fraction of the time that the objectives allow for
# a response of mean length.
MAX_SPILL_FRACTION = 0.25
# Factor by which a prefill's own time counts when engines are compared, since it delays all later prefills.
OWN_PREFILL_WEIGHT = 3


def select_prefill(
    front: FrontState,
    request: Request,
    failed_engine_ids: list[int],
    first_execution_engine: Engine | None,
    queue_limit: int,
) -> Engine | None:
    """Return the engine to prefill a request, or None if no engine can.

    A mixed engine that is selected also decodes the request.

    Args:
        front: The front's state.
        request: The request to prefill.
        failed_engine_ids: Ids of engines to avoid while others are available.
        first_execution_engine: The engine of the first attempt that may have been executed, if any. A repeat
            has to reach an engine in its deduplication scope.
        queue_limit: Queue up to which `admission` accepts an engine, in tenths of a millisecond. An engine
            that has streams may be selected only if the wait on the best other engine exceeds twice this.
    """
    mixed, class_state = candidate_engines(front, request, Role.MIXED), front.class_state(request)
    # Without an engine that can decode, the prefill's state would be computed only to be released.
    decode_engines = mixed or front.ready_engines(Role.DECODE)
    engines = candidate_engines(front, request, Role.PREFILL) if decode_engines else []
    # A prefill interrupts the streams of its engine. A front that has few streams of its own cannot tell
    # which engines have streams of other fronts. Such a front selects mixed engines only if responses have
    # time to spare.
    if _responses_have_spare_time(front, request) or not has_few_own_streams(front):
        engines += [e for e in mixed if not has_active_streams(front, e)]
    best = _soonest(
        front, request, eligible_engines(front, request, engines, failed_engine_ids, first_execution_engine)
    )
    if best and predicted_queue_time(front, best) + predicted_queueing_delay(front, best) <= 2 * queue_limit:
        return best
    # A prefill interrupts the engine's streams, so only one that is short compared with a response may spill.
    allowed_time_per_token = class_state.settings.time_per_output_token
    engines += [
        e
        for e in mixed
        if may_have_streams(front, e)
        and load(front, e, request) < PACKING_THRESHOLD
        and tokens_to_prefill(front, e, request) / prefill_rate(front, e)
        < MAX_SPILL_FRACTION * class_state.mean_output_tokens * allowed_time_per_token
    ]
    if not engines:
        engines = mixed
    if not engines and front.settings.decode_engines_prefill:
        engines = candidate_engines(front, request, Role.DECODE)
    return _soonest(
        front, request, eligible_engines(front, request, engines, failed_engine_ids, first_execution_engine)
    )


def _responses_have_spare_time(front: FrontState, request: Request) -> bool:
    """Return whether responses from mixed engines take well under the time allowed for their tokens."""
    allowed = SPARE_RESPONSE_TIME_FRACTION * front.mixed_allowed_time_sum
    return request.expected_output_tokens > 0 and front.mixed_response_time_sum <= allowed


def _soonest(front: FrontState, request: Request, engines: list[Engine]) -> Engine | None:
    """Return the engine with the soonest first token; the reserved engine is preferred among equals.

    The request's own prefill time counts more than the queue, since it delays all later prefills.
    """
    reserved, random = front.reserved_prefill_engine, front.random
    return min(
        engines,
        key=lambda e: (
            predicted_first_token_time(front, e, request)
            + placement_cost(front, e)
            + (OWN_PREFILL_WEIGHT - 1) * tokens_to_prefill(front, e, request) / prefill_rate(front, e),
            e is not reserved,
            random(),
        ),
        default=None,
    )
