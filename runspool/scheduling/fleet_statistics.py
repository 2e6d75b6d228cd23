"""How loaded the engines that answer are, and what this front's own traffic tells of the whole fleet."""

from __future__ import annotations

from collections import Counter

from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import RACK_BALANCE_INTERVAL, FrontState
from runspool.scheduling.latency_estimator import current_load_report, decay, decode_wait
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Request, Role

PACKING_THRESHOLD = 0.8  # fraction of a mixed engine's capacity up to which streams are packed on it
EVIDENCE_STREAMS = 4  # own streams that weigh as much, of what others have there, as the fleet's mean
FULL_LOAD_WAIT = SECOND  # wait for a first token, or for a rack's link, that counts as a full load
LARGEST_RACK_BALANCE = 1.6  # times its usual part that a prefill engine takes in a rack with spare decode
SMALLEST_RACK_BALANCE = 0.2  # the same where its rack has no spare decode capacity
LARGEST_BALANCE_EXPONENT = 1.5  # where transfers between racks are the only delay
TRANSFER_JAM = 300 * MILLISECOND  # delay beside which, and queueing, transfer delay weighs in the balance


def memory_weight(front: FrontState, request: Request) -> int:
    """Tokens that a request will hold in a decode engine's memory, as foreseen."""
    return request.prompt_tokens + int(front.class_state(request).mean_output_tokens)


def load(front: FrontState, engine: Engine, request: Request | None = None) -> float:
    """An engine's load, 1 for full: this front's streams, those of the others, and a request to come.

    An engine's own report counts where it says more.
    """
    own = engine.stream_tokens + (memory_weight(front, request) if request else 0)
    capacity = engine.observed_capacity or engine.memory_tokens
    report = current_load_report(front, engine)
    reported = max(report.memory_utilization or 0.0, report.slot_utilization or 0.0) if report else 0.0
    if capacity:
        estimated = (own + tokens_of_other_fronts(front, engine)) / capacity
    else:
        estimated = float(len(engine.streams))
    return max(reported, estimated) / warmup_fraction(front, engine)


def tokens_of_other_fronts(front: FrontState, engine: Engine) -> float:
    """Stream tokens of the other fronts there, taken to be like this front's own.

    By this engine's streams as far as they are evidence, else by the fleet's: otherwise one stream of a
    hundred fronts' would look like a full engine.
    """
    refresh_fleet_statistics(front)
    usual = front.mean_memory_use * (engine.memory_tokens or 1)
    evidence = EVIDENCE_STREAMS + len(engine.streams)
    estimated = (front.settings.front_count - 1) * usual * evidence / (EVIDENCE_STREAMS + front.mean_streams)
    if front.mean_streams >= 1 or not engine.memory_tokens:
        return estimated
    # A front of several times the mean traffic must not take all engines for full: with so few streams it
    # knows nothing of the rest, and only an engine's own report says that it is over.
    return min(estimated, PACKING_THRESHOLD * (engine.observed_capacity or engine.memory_tokens))


def decode_cost(front: FrontState, engine: Engine, request: Request) -> float:
    """Load, and the wait for a first token there: a hung or jammed engine must not look roomy."""
    return load(front, engine, request) + decode_wait(front, engine) / FULL_LOAD_WAIT


def carries_streams(front: FrontState, engine: Engine) -> bool:
    """Whether streams run on an engine, or may without this front's knowing."""
    return has_active_streams(front, engine) or has_no_fleet_signal(front)


def has_active_streams(front: FrontState, engine: Engine) -> bool:
    """Whether streams are known to run on an engine."""
    report = current_load_report(front, engine)
    return bool(engine.streams or (report and report.requests_in_flight))


def has_no_fleet_signal(front: FrontState) -> bool:
    """Whether this front has under one stream a decode engine: none at one says nothing of the others'."""
    refresh_fleet_statistics(front)
    return front.settings.front_count > 1 > front.mean_streams


def refresh_fleet_statistics(front: FrontState) -> None:
    """Bring the figures over all engines up to date, once a moment: a burst would cost too much CPU time."""
    if front.fleet_statistics_at == front.now:
        return
    front.fleet_statistics_at = front.now
    index = front.engine_index
    own = [e for e in front.active_engines.values() if e.ready and e.role is not Role.PREFILL]
    front.mean_streams = sum(len(e.streams) for e in own) / max(1, index.peer_count(Role.DECODE))
    front.mean_memory_use = sum(e.stream_tokens for e in own) / max(1, index.decode_memory_tokens)
    if index.is_large(Role.PREFILL) and front.now < front.rack_balance_at + RACK_BALANCE_INTERVAL:
        return
    front.rack_balance_at = front.now
    front.rack_balance = _rack_balance(front)


def _rack_balance(front: FrontState) -> dict[int, float]:
    """Rack: its decode engines with room for each prefill engine, the fleet's mean being 1.

    The more transfers between racks are the bottleneck, the more the balance differs from 1.
    """
    roomy = Counter(e.rack for e in front.engine_index.decode_capable() if load(front, e) < PACKING_THRESHOLD)
    prefill = Counter(e.rack for e in front.ready_engines(Role.PREFILL))
    usual = max(1, roomy.total()) / max(1, prefill.total())
    usual_transfer, usual_queueing = front.usual_transfer_delay, front.usual_queueing_delays[Role.PREFILL]
    transfer = usual_transfer.time * decay(front, usual_transfer.updated_at)
    queueing = usual_queueing.time * decay(front, usual_queueing.updated_at)
    exponent = LARGEST_BALANCE_EXPONENT * transfer / (transfer + queueing + TRANSFER_JAM)
    return {
        rack: min(max(roomy[rack] / count / usual, SMALLEST_RACK_BALANCE), LARGEST_RACK_BALANCE) ** exponent
        for rack, count in prefill.items()
    }
