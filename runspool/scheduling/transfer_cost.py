"""Transfer cost (mechanism 6 of docs/design.md).

Leaving a rack or zone counts as additional wait for prefills, and as additional load for decodes.
"""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import FULL_LOAD_WAIT, refresh_fleet_statistics
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import current_estimate
from runspool.scheduling.types import Role

# Wait, in first-token objectives, that costs as much as one unit of the prices in the settings.
WAIT_OBJECTIVES_PER_PRICE = 4.0
# Load, in fully loaded engines, that costs as much as one unit of the prices in the settings.
LOAD_PER_PRICE = 12.0
# Cost of a transfer to another zone, relative to one to another rack of the same zone.
CROSS_ZONE_LINK_FACTOR = 2.5


def placement_cost(front: FrontState, engine: Engine) -> float:
    """Return what an engine's location adds to a prefill's wait: another zone, and the expected transfer."""
    settings = front.settings
    # Requests with the shortest objective wait behind this one.
    objective = front.shortest_objective()
    refresh_fleet_statistics(front)
    # The less decode capacity the rack has to spare, the more likely the state has to leave it.
    transfer_probability = 0.0
    if engine.role is Role.PREFILL:
        transfer_probability = max(0.0, 1 - front.rack_weights.get(engine.rack, 1.0))
    is_other_zone = engine.zone != settings.zone
    return (
        WAIT_OBJECTIVES_PER_PRICE * objective * settings.cross_zone_price * is_other_zone
        + transfer_probability
        * (
            WAIT_OBJECTIVES_PER_PRICE * objective * settings.cross_rack_price
            + transfer_delay(front, engine.rack)
        )
    )


def transfer_delay(front: FrontState, rack: int) -> float:
    """Return the estimated time that a state transfer out of a rack adds to the wait for a first token."""
    return current_estimate(front, front.rack_transfer_delays[rack], front.fleet_transfer_delay)


def transfer_cost(front: FrontState, engine: Engine, prefill_engine: Engine) -> float:
    """Return what a state transfer to a decode engine adds to its load."""
    settings = front.settings
    price = settings.cross_zone_price * (engine.zone != settings.zone)
    if engine.rack == prefill_engine.rack:
        return LOAD_PER_PRICE * price
    # A transfer to another zone occupies the link for longer by this factor.
    factor = 1.0 if engine.zone == prefill_engine.zone else CROSS_ZONE_LINK_FACTOR
    location_load = LOAD_PER_PRICE * (price + settings.cross_rack_price * factor)
    return location_load + transfer_delay(front, prefill_engine.rack) / FULL_LOAD_WAIT
