"""The engines that a scheduling decision for a request examines, and those the request may be sent to."""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.outlier_detection import exclude_ejected
from runspool.scheduling.slow_start import admits_during_slow_start
from runspool.scheduling.types import DeduplicationScope, Idempotency, Request, Role

# Affinity candidates of a prompt that one decision examines in a large fleet.
MAX_AFFINITY_CANDIDATES = 8


def candidate_engines(
    front: FrontState, request: Request, role: Role, prefill_engine: Engine | None = None
) -> list[Engine]:
    """Return the ready engines of a role that one decision examines: all, or a sample of a large fleet.

    In a large fleet the sample is extended by affinity candidates for a prefill, by engines in the rack of
    `prefill_engine` for a decode, and by engines that have requests of this front.
    """
    index = front.engine_index
    if not index.is_large(role):
        return list(index.ready[role])
    front.sample_count += 1
    found = {e.id: e for e in index.sample(role, front.sample_count)}
    if role is Role.PREFILL:
        candidates = request.affinity_candidates[:MAX_AFFINITY_CANDIDATES]
        found |= {i: front.engines[i] for i in candidates if i in front.engines}
    elif prefill_engine is not None:
        found |= {e.id: e for e in index.in_rack(role, prefill_engine.rack)}
    found |= {e.id: e for e in front.active_engines.values() if e.ready and e.role is role}
    return [e for e in found.values() if e.ready and e.role is role]


def eligible_engines(
    front: FrontState,
    request: Request,
    engines: list[Engine],
    failed_engine_ids: list[int],
    first_execution_engine: Engine | None,
) -> list[Engine]:
    """Return those of the engines that a request may be sent to now.

    Args:
        front: The front's state.
        request: The request to send.
        engines: The engines to choose from.
        failed_engine_ids: Ids of engines to avoid while others are available.
        first_execution_engine: The engine of the first attempt that may have been executed, if any. A repeat
            has to reach an engine that shares its deduplication scope.
    """
    if first_execution_engine:
        engines = _in_deduplication_scope(front, request, engines, first_execution_engine)
    prompt_tokens, draw = request.prompt_tokens, request.request_draw
    engines = [
        e
        for e in engines
        if (not e.memory_tokens or e.memory_tokens > prompt_tokens)
        and admits_during_slow_start(front, e, draw)
    ]
    engines = [e for e in engines if e.id not in failed_engine_ids] or engines
    return exclude_ejected(front, engines)


def _in_deduplication_scope(
    front: FrontState, request: Request, engines: list[Engine], first_execution_engine: Engine
) -> list[Engine]:
    """Return the engines that recognize a repeat of an attempt that may have been executed already."""
    settings = front.class_state(request).settings
    scope = settings.deduplication_scope
    if settings.idempotency is not Idempotency.KEYED or scope is DeduplicationScope.ALL:
        return engines
    return [
        e
        for e in engines
        if e.zone == first_execution_engine.zone
        and (scope is DeduplicationScope.ZONE or e.rack == first_execution_engine.rack)
    ]
