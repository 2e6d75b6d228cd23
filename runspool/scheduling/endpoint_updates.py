"""Application of endpoint list changes to a front's engine records."""

from __future__ import annotations

from runspool.scheduling.engine_index import EngineIndex
from runspool.scheduling.engine_state import Engine, move_attempt
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.settings import EngineTypeSettings
from runspool.scheduling.types import EndpointUpdate, EngineRecord, EngineState, Role

# Engines that have left the list whose learned estimates are kept, in case they return.
MAX_DEPARTED_ENGINES = 50


def apply_endpoint_update(front: FrontState, update: EndpointUpdate) -> None:
    """Add, change and remove engines, and create a new index of them."""
    listed = {record.engine for record in update.engines}
    for record in update.engines:
        _apply_record(front, record)
    if update.is_snapshot:
        for engine in front.engines.values():
            engine.ready = engine.ready and engine.id in listed
    _remove_departed_engines(front)
    front.engine_index = EngineIndex(front.engines.values(), front.seed)
    _reserve_engines(front)


def _apply_record(front: FrontState, record: EngineRecord) -> None:
    """Apply one engine's record; an engine that restarted or changed its role gets a new `Engine`."""
    engine = front.engines.get(record.engine)
    known_types = front.settings.engine_types[record.engine_type : record.engine_type + 1]
    engine_type = known_types[0] if known_types else EngineTypeSettings(Role.MIXED, 0)
    # A record older than the known one is not taken as a restart: it must not make a busy engine look idle,
    # or a cold one warm.
    if engine is None or engine.started_at < record.started_at or engine.role is not engine_type.role:
        replaced = engine
        engine = Engine(
            id=record.engine,
            stable_hash=record.stable_hash,
            role=engine_type.role,
            zone=record.zone,
            rack=record.rack,
            memory_tokens=engine_type.memory_tokens,
            started_at=record.started_at,
        )
        front.engines[record.engine] = engine
        front.active_engines.pop(record.engine, None)
        if replaced is not None:
            _carry_over_attempts(front, replaced, engine)
    engine.ready = record.state == EngineState.READY


def _carry_over_attempts(front: FrontState, replaced: Engine, engine: Engine) -> None:
    """Move attempts that were sent after the engine's new start to its new record, since they run there.

    The endpoint list reports a start with a delay of seconds. Attempts sent before the start ran in a process
    that no longer exists.
    """
    at_engine = replaced.prefills.keys() | replaced.streams.keys()
    for index in sorted(at_engine, key=lambda index: front.open_attempts[index].sent_at):
        attempt = front.open_attempts[index]
        if attempt.sent_at < engine.started_at:
            continue
        attempt.engine = engine
        front.active_engines[engine.id] = engine
        move_attempt(index, replaced, engine)


def _remove_departed_engines(front: FrontState) -> None:
    """Remove all but the latest departed engines, whose records would otherwise accumulate over weeks."""
    departed = [e.id for e in front.engines.values() if not (e.ready or e.prefills or e.streams)]
    for engine_id in departed[: max(0, len(departed) - MAX_DEPARTED_ENGINES)]:
        del front.engines[engine_id]
    for rack in front.rack_transfer_delays.keys() - {e.rack for e in front.engines.values()}:
        del front.rack_transfer_delays[rack]


def _reserve_engines(front: FrontState) -> None:
    """Reserve one engine for prefills and one for streams, and keep both as long as they are ready."""
    prefill = front.ready_engines(Role.PREFILL) or front.ready_engines(Role.MIXED)
    if front.reserved_prefill_engine not in prefill:
        front.reserved_prefill_engine = _least_loaded(front, prefill, None)
    decode = front.ready_engines(Role.MIXED) or front.ready_engines(Role.DECODE)
    if front.reserved_decode_engine not in decode:
        front.reserved_decode_engine = _least_loaded(front, decode, front.reserved_prefill_engine)


def _least_loaded(front: FrontState, engines: list[Engine], other: Engine | None) -> Engine | None:
    """Return the engine with the fewest tokens of this front, other than `other` if there is another."""
    candidates = [e for e in engines if e is not other] or engines
    return min(candidates, key=lambda e: (e.prefill_tokens + e.stream_tokens, front.random()), default=None)
