"""Load of the engines that can decode, and fleet-wide estimates from this front's own traffic."""

from __future__ import annotations

from collections import Counter

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import RACK_WEIGHTS_INTERVAL, FrontState
from runspool.scheduling.latency_estimator import current_load_report, decay_factor, predicted_decode_wait
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Request, Role

# Load, as a fraction of capacity, below which an engine has capacity to spare. Mixed engines are filled with
# streams up to this load, one after the other.
PACKING_THRESHOLD = 0.8
# Added to this front's streams on an engine and to its mean per engine before their ratio scales the estimate
# of other fronts' streams. The more are added, the less the estimate depends on a few own streams.
SMOOTHING_STREAMS = 4
# Wait for a first token, or for a rack's link, that costs as much as a fully loaded engine.
FULL_LOAD_WAIT = SECOND
# Upper bound on a rack's spare decode capacity per prefill engine, relative to the fleet's mean.
MAX_RACK_RATIO = 1.6
# Lower bound on a rack's spare decode capacity per prefill engine, relative to the fleet's mean.
MIN_RACK_RATIO = 0.2
# Exponent of a rack's weight in the limit where transfers between racks are the only delay.
MAX_RACK_EXPONENT = 1.5
# Added to the transfer and queueing delays in the denominator of the exponent of the rack weights: a transfer
# delay much shorter than this has little influence.
RACK_EXPONENT_DELAY = 300 * MILLISECOND


def expected_memory_tokens(front: FrontState, request: Request) -> int:
    """Return the tokens that a request is expected to occupy in a decode engine's memory."""
    return request.prompt_tokens + int(front.class_state(request).mean_output_tokens)


def load(front: FrontState, engine: Engine, request: Request | None = None) -> float:
    """Return an engine's load relative to its current capacity, which slow start reduces; 1 is full.

    The load counts this front's streams, the estimated streams of other fronts and, if given, a further
    request. If the engine itself reports a higher utilization, that is used. If its capacity is unknown, the
    number of this front's streams is used.
    """
    own = engine.stream_tokens + (expected_memory_tokens(front, request) if request else 0)
    capacity = engine.observed_capacity or engine.memory_tokens
    report = current_load_report(front, engine)
    reported = max(report.memory_utilization or 0.0, report.slot_utilization or 0.0) if report else 0.0
    if capacity:
        estimated = (own + estimated_tokens_of_other_fronts(front, engine)) / capacity
    else:
        estimated = float(len(engine.streams))
    return max(reported, estimated) / warmup_fraction(front, engine)


def estimated_tokens_of_other_fronts(front: FrontState, engine: Engine) -> float:
    """Estimate the stream tokens that other fronts have on an engine from this front's own streams.

    The other fronts are assumed to have as many streams as this one. The estimate is this front's mean over
    all engines, scaled by its streams on this engine relative to that mean. Both are smoothed by
    `SMOOTHING_STREAMS`: otherwise a single stream at one of a hundred fronts would be extrapolated to a full
    engine.
    """
    refresh_fleet_statistics(front)
    mean_tokens = front.own_memory_share * (engine.memory_tokens or 1)
    smoothed_streams = SMOOTHING_STREAMS + len(engine.streams)
    estimated = (
        (front.settings.front_count - 1)
        * mean_tokens
        * smoothed_streams
        / (SMOOTHING_STREAMS + front.own_streams_per_engine)
    )
    if front.own_streams_per_engine >= 1 or not engine.memory_tokens:
        return estimated
    # A front that has several times the traffic of the others would estimate that all engines are full. With
    # less than one stream per engine it knows too little of the others, so the estimate is capped: only an
    # engine's own report can show a load above the threshold.
    return min(estimated, PACKING_THRESHOLD * (engine.observed_capacity or engine.memory_tokens))


def decode_cost(front: FrontState, engine: Engine, request: Request) -> float:
    """Return the load plus the cost of the wait for a first token, so that a hung engine looks expensive."""
    return load(front, engine, request) + predicted_decode_wait(front, engine) / FULL_LOAD_WAIT


def may_have_streams(front: FrontState, engine: Engine) -> bool:
    """Return whether an engine has streams, or may have some that this front cannot know of."""
    return has_active_streams(front, engine) or has_few_own_streams(front)


def has_active_streams(front: FrontState, engine: Engine) -> bool:
    """Return whether an engine is known to have streams."""
    report = current_load_report(front, engine)
    return bool(engine.streams or (report and report.requests_in_flight))


def has_few_own_streams(front: FrontState) -> bool:
    """Return whether this front, as one of several, has less than one stream per engine that can decode.

    The absence of own streams on an engine then does not show that other fronts have none there.
    """
    refresh_fleet_statistics(front)
    return front.settings.front_count > 1 > front.own_streams_per_engine


def refresh_fleet_statistics(front: FrontState) -> None:
    """Update the statistics over all engines unless they are up to date.

    They are computed once per clock value, since a burst of requests would cost too much CPU time otherwise.
    """
    if front.fleet_statistics_at == front.now:
        return
    front.fleet_statistics_at = front.now
    index = front.engine_index
    own = [e for e in front.active_engines.values() if e.ready and e.role is not Role.PREFILL]
    front.own_streams_per_engine = sum(len(e.streams) for e in own) / max(1, index.peer_count(Role.DECODE))
    front.own_memory_share = sum(e.stream_tokens for e in own) / max(1, index.decode_memory_tokens)
    if index.is_large(Role.PREFILL) and front.now < front.rack_weights_at + RACK_WEIGHTS_INTERVAL:
        return
    front.rack_weights_at = front.now
    front.rack_weights = _rack_weights(front)


def _rack_weights(front: FrontState) -> dict[int, float]:
    """Return the weight of each rack in the selection of prefill engines, where 1 is neutral.

    The weight is the number of decode engines with spare capacity per prefill engine, relative to the fleet's
    mean, within bounds and raised to an exponent. The exponent grows with the part of the delays that is due
    to transfers between racks.
    """
    with_room = Counter(
        e.rack for e in front.engine_index.decode_capable() if load(front, e) < PACKING_THRESHOLD
    )
    prefill = Counter(e.rack for e in front.ready_engines(Role.PREFILL))
    fleet_ratio = max(1, with_room.total()) / max(1, prefill.total())
    transfer_delay, queueing_delay = front.fleet_transfer_delay, front.role_queueing_delays[Role.PREFILL]
    transfer = transfer_delay.duration * decay_factor(front, transfer_delay.updated_at)
    queueing = queueing_delay.duration * decay_factor(front, queueing_delay.updated_at)
    exponent = MAX_RACK_EXPONENT * transfer / (transfer + queueing + RACK_EXPONENT_DELAY)
    return {
        rack: min(max(with_room[rack] / count / fleet_ratio, MIN_RACK_RATIO), MAX_RACK_RATIO) ** exponent
        for rack, count in prefill.items()
    }
