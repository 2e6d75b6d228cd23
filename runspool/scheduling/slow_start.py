"""Slow start (mechanism 5 of docs/design.md): an engine that is starting gets a part of this front's traffic.

One random draw per request decides whether the engine may get it. With a new draw for each decision, a
request that waits would be admitted sooner or later.
"""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState

# Fraction of the overload limit that all fronts together send to a starting engine.
SLOW_START_LOAD_FRACTION = 0.4
# Multiple of an engine's id that is added to the random draw, which spreads one draw evenly over many
# engines.
GOLDEN_RATIO_FRACTION = 0.618034


def warmup_fraction(front: FrontState, engine: Engine) -> float:
    """Return the fraction of its full capacity that an engine has reached."""
    settings = front.settings
    if not engine.started_at or front.now >= engine.started_at + settings.slow_start_duration:
        return 1.0
    elapsed = (front.now - engine.started_at) / settings.slow_start_duration
    initial = settings.slow_start_initial_fraction
    return initial + (1 - initial) * max(0.0, elapsed)


def admits_during_slow_start(front: FrontState, engine: Engine, request_draw: float) -> bool:
    """Return whether a request with this random draw may be sent to an engine.

    All fronts together could overload a starting engine, so each of them sends a fraction of its requests
    there.
    """
    warmup = warmup_fraction(front, engine)
    if warmup == 1.0:
        # Counting the peers of warm engines too would take quadratic time in the size of the fleet.
        return True
    peers = front.engine_index.peer_count(engine.role)
    fraction = SLOW_START_LOAD_FRACTION * front.settings.slow_start_overload_multiple * warmup / max(1, peers)
    return (request_draw + engine.id * GOLDEN_RATIO_FRACTION) % 1 < fraction
