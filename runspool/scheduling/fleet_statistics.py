"""Load of the engines that can decode, and fleet-wide estimates from this front's own traffic."""

from __future__ import annotations

from collections import Counter

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import RACK_BALANCE_INTERVAL, FrontState
from runspool.scheduling.latency_estimator import current_load_report, decay_factor, predicted_decode_wait
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Request, Role

# Load of a mixed engine, as a fraction of its capacity, up to which streams are packed onto it.
PACKING_THRESHOLD = 0.8
# Weight of the fleet's mean, in streams, against this front's own streams on an engine where the streams of
# other fronts on that engine are estimated.
PRIOR_STREAMS = 4
# Wait for a first token, or for a rack's link, that costs as much as a fully loaded engine.
FULL_LOAD_WAIT = SECOND
# Upper bound on a rack's spare decode capacity per prefill engine, relative to the fleet's mean.
MAX_RACK_BALANCE = 1.6
# Lower bound on a rack's spare decode capacity per prefill engine, relative to the fleet's mean.
MIN_RACK_BALANCE = 0.2
# Exponent of the rack balance in the limit where transfers between racks are the only delay.
MAX_RACK_BALANCE_EXPONENT = 1.5
# Added to the transfer and queueing delays in the denominator of the rack balance's exponent: a transfer
# delay much shorter than this has little influence.
RACK_BALANCE_REFERENCE_DELAY = 300 * MILLISECOND


def expected_memory_tokens(front: FrontState, request: Request) -> int:
    """Return the tokens that a request is expected to occupy in a decode engine's memory."""
    return request.prompt_tokens + int(front.class_state(request).mean_output_tokens)


def load(front: FrontState, engine: Engine, request: Request | None = None) -> float:
    """Return an engine's load, where 1 is full capacity.

    The load counts this front's streams, the estimated streams of other fronts and, if given, a further
    request. If the engine itself reports a higher utilization, that is used.
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

    The estimate uses this front's streams on this engine as far as they are sufficient evidence, and its mean
    over the fleet otherwise. From the streams on the engine alone, a single stream at one of a hundred fronts
    would be extrapolated to a full engine.
    """
    refresh_fleet_statistics(front)
    mean_tokens = front.mean_memory_share * (engine.memory_tokens or 1)
    evidence = PRIOR_STREAMS + len(engine.streams)
    estimated = (
        (front.settings.front_count - 1) * mean_tokens * evidence / (PRIOR_STREAMS + front.mean_streams)
    )
    if front.mean_streams >= 1 or not engine.memory_tokens:
        return estimated
    # A front with several times the mean traffic must not consider all engines full. With so few streams it
    # knows nothing about the other fronts, and only an engine's own report can say that it is above the
    # threshold.
    return min(estimated, PACKING_THRESHOLD * (engine.observed_capacity or engine.memory_tokens))


def decode_cost(front: FrontState, engine: Engine, request: Request) -> float:
    """Return the load plus the cost of the wait for a first token, so that a hung engine looks expensive."""
    return load(front, engine, request) + predicted_decode_wait(front, engine) / FULL_LOAD_WAIT


def may_have_streams(front: FrontState, engine: Engine) -> bool:
    """Return whether an engine has streams, or may have some that this front cannot know of."""
    return has_active_streams(front, engine) or lacks_stream_evidence(front)


def has_active_streams(front: FrontState, engine: Engine) -> bool:
    """Return whether an engine is known to have streams."""
    report = current_load_report(front, engine)
    return bool(engine.streams or (report and report.requests_in_flight))


def lacks_stream_evidence(front: FrontState) -> bool:
    """Return whether this front has less than one stream per engine that can decode.

    The absence of own streams on an engine then does not show that other fronts have none there.
    """
    refresh_fleet_statistics(front)
    return front.settings.front_count > 1 > front.mean_streams


def refresh_fleet_statistics(front: FrontState) -> None:
    """Update the statistics over all engines unless they are up to date.

    They are computed once per clock value, since a burst of requests would cost too much CPU time otherwise.
    """
    if front.fleet_statistics_at == front.now:
        return
    front.fleet_statistics_at = front.now
    index = front.engine_index
    own = [e for e in front.active_engines.values() if e.ready and e.role is not Role.PREFILL]
    front.mean_streams = sum(len(e.streams) for e in own) / max(1, index.peer_count(Role.DECODE))
    front.mean_memory_share = sum(e.stream_tokens for e in own) / max(1, index.decode_memory_tokens)
    if index.is_large(Role.PREFILL) and front.now < front.rack_balance_at + RACK_BALANCE_INTERVAL:
        return
    front.rack_balance_at = front.now
    front.rack_balance = _rack_balance(front)


def _rack_balance(front: FrontState) -> dict[int, float]:
    """Return, by rack, the decode engines with spare capacity per prefill engine, 1 being the fleet's mean.

    The more transfers between racks are the bottleneck, the further the values deviate from 1.
    """
    with_room = Counter(
        e.rack for e in front.engine_index.decode_capable() if load(front, e) < PACKING_THRESHOLD
    )
    prefill = Counter(e.rack for e in front.ready_engines(Role.PREFILL))
    fleet_ratio = max(1, with_room.total()) / max(1, prefill.total())
    transfer_delay, queueing_delay = front.fleet_transfer_delay, front.role_queueing_delays[Role.PREFILL]
    transfer = transfer_delay.duration * decay_factor(front, transfer_delay.updated_at)
    queueing = queueing_delay.duration * decay_factor(front, queueing_delay.updated_at)
    exponent = MAX_RACK_BALANCE_EXPONENT * transfer / (transfer + queueing + RACK_BALANCE_REFERENCE_DELAY)
    return {
        rack: min(max(with_room[rack] / count / fleet_ratio, MIN_RACK_BALANCE), MAX_RACK_BALANCE) ** exponent
        for rack, count in prefill.items()
    }
