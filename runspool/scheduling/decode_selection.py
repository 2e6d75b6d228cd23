"""Selection of the engine that decodes a request whose prefill is complete."""

from __future__ import annotations

from runspool.scheduling.engine_eligibility import candidate_engines, eligible_engines
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import PACKING_THRESHOLD, decode_cost, load, may_have_streams
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import predicted_first_token_time
from runspool.scheduling.transfer_cost import transfer_cost
from runspool.scheduling.types import Request, Role


def select_decode(
    front: FrontState,
    request: Request,
    prefill_engine: Engine,
    failed_engine_ids: list[int],
    first_execution_engine: Engine | None,
) -> Engine | None:
    """Return the engine to decode a request, or None if no engine can.

    Mixed engines below the packing threshold are filled one after the other, which keeps the others free for
    prefills. A decode engine is preferred where it costs less.

    Args:
        front: The front's state.
        request: The request to decode.
        prefill_engine: The engine that holds the prefill's state.
        failed_engine_ids: Ids of engines to avoid while others are available.
        first_execution_engine: The engine of the first attempt that may have been executed, if any.
    """
    mixed, decode = (
        eligible_engines(
            front,
            request,
            candidate_engines(front, request, role, prefill_engine),
            failed_engine_ids,
            first_execution_engine,
        )
        for role in (Role.MIXED, Role.DECODE)
    )
    cost = {
        e.id: decode_cost(front, e, request) + transfer_cost(front, e, prefill_engine) for e in mixed + decode
    }
    with_room = [e for e in mixed if decode_cost(front, e, request) < PACKING_THRESHOLD]
    best = _most_loaded(front, request, prefill_engine, with_room)
    cheapest = min(
        (e for e in decode if decode_cost(front, e, request) < PACKING_THRESHOLD),
        default=None,
        key=lambda e: (cost[e.id], front.random()),
    )
    if cheapest and (not best or cost[cheapest.id] < cost[best.id]):
        return cheapest
    return (
        best
        or _soonest_without_streams(front, request, with_room)
        or min(mixed + decode, default=None, key=lambda e: (cost[e.id], front.random()))
    )


def _most_loaded(
    front: FrontState, request: Request, prefill_engine: Engine, with_room: list[Engine]
) -> Engine | None:
    """Return the most loaded mixed engine in use; the reserved one is preferred if in the prefill's rack."""
    reserved = front.reserved_decode_engine
    return max(
        (e for e in with_room if may_have_streams(front, e) or e is reserved),
        default=None,
        key=lambda e: (
            e is reserved and e.rack == prefill_engine.rack,
            load(front, e, request) - transfer_cost(front, e, prefill_engine),
            front.random(),
        ),
    )


def _soonest_without_streams(front: FrontState, request: Request, with_room: list[Engine]) -> Engine | None:
    """Return the mixed engine without streams that can start a prefill soonest, or None."""
    reserved = front.reserved_prefill_engine
    free = [e for e in with_room if not may_have_streams(front, e) and e is not reserved]
    return min(
        free,
        default=None,
        key=lambda e: (predicted_first_token_time(front, e, request), front.random()),
    )
