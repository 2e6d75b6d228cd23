"""Outlier ejection (mechanism 2 of docs/design.md): failures eject an engine for a time that doubles.

After an ejection the engine gets one attempt at a time until one succeeds.
"""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.time_units import MILLISECOND, SECOND

MIN_EJECTION = 200 * MILLISECOND  # duration of the first ejection
MAX_EJECTION = 6 * SECOND  # upper bound on the duration of an ejection
# Bound on the number of doublings; `MAX_EJECTION` is reached earlier.
MAX_DOUBLINGS = 10


def eject_engine(front: FrontState, engine: Engine) -> None:
    """Exclude an engine from selection for a time that doubles with every consecutive failure."""
    doublings = min(engine.consecutive_failures, MAX_DOUBLINGS)
    engine.ejected_until = front.now + min(MAX_EJECTION, MIN_EJECTION << doublings)
    engine.consecutive_failures += 1


def exclude_ejected(front: FrontState, engines: list[Engine]) -> list[Engine]:
    """Return the engines that are not ejected.

    Engines that have an attempt in progress after an ejection are left out as well, unless no others remain.
    """
    now = front.now
    trusted = [
        e
        for e in engines
        if e.ejected_until <= now and not (e.consecutive_failures and (e.prefills or e.waiting_decodes))
    ]
    return trusted or [e for e in engines if e.ejected_until <= now]
