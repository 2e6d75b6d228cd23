"""Which engine answers a request whose prefill's state is ready."""

from __future__ import annotations

from runspool.scheduling.engine_eligibility import eligible_engines, engines_in_view
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import PACKING_THRESHOLD, carries_streams, decode_cost, load
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import predicted_first_token_time
from runspool.scheduling.transfer_cost import transfer_cost
from runspool.scheduling.types import Request, Role


def select_decode(
    front: FrontState,
    request: Request,
    prefill_engine: Engine,
    failed: list[int],
    first_executed: Engine | None,
) -> Engine | None:
    """The engine to answer a request, None if none can.

    Mixed engines below the packing threshold are filled one after the other, which leaves the others free for
    prefills; a decode engine goes first where it costs less.
    """
    mixed, decode = (
        eligible_engines(
            front, request, engines_in_view(front, request, role, prefill_engine), failed, first_executed
        )
        for role in (Role.MIXED, Role.DECODE)
    )
    cost = {
        e.id: decode_cost(front, e, request) + transfer_cost(front, e, prefill_engine) for e in mixed + decode
    }
    roomy = [e for e in mixed if decode_cost(front, e, request) < PACKING_THRESHOLD]
    best = _fullest(front, request, prefill_engine, roomy)
    cheapest = min(
        (e for e in decode if decode_cost(front, e, request) < PACKING_THRESHOLD),
        default=None,
        key=lambda e: (cost[e.id], front.random()),
    )
    if cheapest and (not best or cost[cheapest.id] < cost[best.id]):
        return cheapest
    return (
        best
        or _soonest_without_streams(front, request, roomy)
        or min(mixed + decode, default=None, key=lambda e: (cost[e.id], front.random()))
    )


def _fullest(
    front: FrontState, request: Request, prefill_engine: Engine, roomy: list[Engine]
) -> Engine | None:
    """The most loaded of the mixed engines in use, the one reserved for streams first in its rack."""
    reserved = front.reserved_decode_engine
    return max(
        (e for e in roomy if carries_streams(front, e) or e is reserved),
        default=None,
        key=lambda e: (
            e is reserved and e.rack == prefill_engine.rack,
            load(front, e, request) - transfer_cost(front, e, prefill_engine),
            front.random(),
        ),
    )


def _soonest_without_streams(front: FrontState, request: Request, roomy: list[Engine]) -> Engine | None:
    """The mixed engine without streams that has the least to prefill."""
    reserved = front.reserved_prefill_engine
    free = [e for e in roomy if not carries_streams(front, e) and e is not reserved]
    return min(
        free,
        default=None,
        key=lambda e: (predicted_first_token_time(front, e, request), front.random()),
    )
