"""Mechanism 2, outlier ejection: failures eject an engine for a doubling time.

Then it is tried with one attempt at a time, until one succeeds.
"""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.time_units import MILLISECOND, SECOND

SHORTEST_EJECTION = 200 * MILLISECOND
LONGEST_EJECTION = 6 * SECOND
MOST_DOUBLINGS = 10


def record_failure(front: FrontState, engine: Engine) -> None:
    """Eject an engine, for the longer the more failures came in a row."""
    doublings = min(engine.consecutive_failures, MOST_DOUBLINGS)
    engine.ejected_until = front.now + min(LONGEST_EJECTION, SHORTEST_EJECTION << doublings)
    engine.consecutive_failures += 1


def without_outliers(front: FrontState, engines: list[Engine]) -> list[Engine]:
    """The engines that are not ejected, without those being tried again, unless no other is left."""
    now = front.now
    trusted = [
        e
        for e in engines
        if e.ejected_until <= now and not (e.consecutive_failures and (e.prefills or e.waiting_decodes))
    ]
    return trusted or [e for e in engines if e.ejected_until <= now]
