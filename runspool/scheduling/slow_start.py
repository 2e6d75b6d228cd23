"""Mechanism 5, slow start: a starting engine is offered a part of this front's traffic.

One draw a request decides, so that waiting is not trying again.
"""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState

SLOW_START_SAFETY = 0.4  # fraction of the overload limit that all fronts together offer
GOLDEN_RATIO_FRACTION = 0.618034  # spreads one draw over many engines


def warmup_fraction(front: FrontState, engine: Engine) -> float:
    """The part of its full capacity that an engine has by now."""
    settings = front.settings
    if not engine.started_at or front.now >= engine.started_at + settings.slow_start_duration:
        return 1.0
    elapsed = (front.now - engine.started_at) / settings.slow_start_duration
    initial = settings.slow_start_initial_fraction
    return initial + (1 - initial) * max(0.0, elapsed)


def admits_during_slow_start(front: FrontState, engine: Engine, request_draw: float) -> bool:
    """Whether an engine may be offered a request with this draw.

    All fronts together could overload a cold engine, so each offers a part of what it has.
    """
    warmup = warmup_fraction(front, engine)
    if warmup == 1.0:
        return True  # counting peers for warm engines too would cost the square of the fleet's size
    peers = front.engine_index.peer_count(engine.role)
    part = SLOW_START_SAFETY * front.settings.slow_start_overload_multiple * warmup / max(1, peers)
    return (request_draw + engine.id * GOLDEN_RATIO_FRACTION) % 1 < part
