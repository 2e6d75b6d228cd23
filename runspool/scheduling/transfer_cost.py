"""Mechanism 6, distance: leaving a rack or zone counts as wait for prefills, as load for decodes."""

from __future__ import annotations

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import FULL_LOAD_WAIT, refresh_fleet_statistics
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.latency_estimator import value_at
from runspool.scheduling.types import Role

PRICE_WAIT = 4.0  # first token objectives of waiting that a price of one request's weight counts for
PRICE_LOAD = 12.0  # full loads that it counts for
CROSS_ZONE_LINK_FACTOR = 2.5  # times a move to another zone weighs beside one to another rack


def placement_cost(front: FrontState, engine: Engine) -> float:
    """What an engine's place adds to a prefill's wait: another zone, and the transfer to come."""
    settings = front.settings
    objective = front.shortest_objective()  # requests in the most hurry wait behind this one
    refresh_fleet_statistics(front)
    leaves = 0.0
    if engine.role is Role.PREFILL:
        leaves = max(0.0, 1 - front.rack_balance.get(engine.rack, 1.0))
    leaves_zone = engine.zone != settings.zone
    return PRICE_WAIT * objective * settings.cross_zone_price * leaves_zone + leaves * (
        PRICE_WAIT * objective * settings.cross_rack_price + transfer_delay(front, engine.rack)
    )


def transfer_delay(front: FrontState, rack: int) -> float:
    """What a transfer of state out of a rack adds to the wait, as timed of late."""
    return value_at(front, front.rack_transfer_delays[rack], front.usual_transfer_delay)


def transfer_cost(front: FrontState, engine: Engine, prefill_engine: Engine) -> float:
    """What a transfer of state to a decode engine adds to its load."""
    settings = front.settings
    price = settings.cross_zone_price * (engine.zone != settings.zone)
    if engine.rack == prefill_engine.rack:
        return PRICE_LOAD * price
    # A transfer to another zone holds the link for so much longer.
    factor = 1.0 if engine.zone == prefill_engine.zone else CROSS_ZONE_LINK_FACTOR
    price_load = PRICE_LOAD * (price + settings.cross_rack_price * factor)
    return price_load + transfer_delay(front, prefill_engine.rack) / FULL_LOAD_WAIT
