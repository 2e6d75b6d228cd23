"""When an engine would give a first token, as far as this front can foresee.

Mechanism 1, overdue age: the age of the oldest unanswered attempt is a floor under an engine's predicted
wait.
"""

from __future__ import annotations

from math import exp2

from runspool.scheduling.engine_state import DecayingEstimate, Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.prefix_affinity import tokens_to_prefill
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import LoadReport, Request

LOAD_REPORT_VALIDITY = 2 * SECOND  # an older report says nothing of now
ESTIMATE_HALF_LIFE = 12 * SECOND  # of what was learned from an engine that is not heard of
SAMPLE_HALF_LIFE = 3 * SECOND  # of a queue: older samples weigh little beside a new one
OUTLIER_ALLOWANCE = 600 * MILLISECOND  # over three times what is usual, up to which a sample counts for peers
SMALLEST_PEER_WEIGHT = 1 / 8  # of a sample in the estimate over its engine's peers
LARGEST_PEER_WEIGHT = 1 / 4
SMALLEST_OWN_WEIGHT = 1 / 4  # of a sample in its engine's own estimate
PREFILL_RATE_SAMPLES = 16  # that a rate falls over to slower ones
PREFILL_RATE_FLOOR = 0.01  # tokens a tenth of a millisecond


def decay(front: FrontState, since: int, half_life: int = ESTIMATE_HALF_LIFE) -> float:
    """The fraction left of what was learned at a time."""
    return exp2((since - front.now) / half_life)


def value_at(front: FrontState, own: DecayingEstimate, peers: DecayingEstimate) -> float:
    """An engine's estimate now: its own decays to its peers', and that to 0."""
    usual = peers.time * decay(front, peers.updated_at)
    return usual + (own.time - usual) * decay(front, own.updated_at)


def update(front: FrontState, own: DecayingEstimate, peers: DecayingEstimate, time: float) -> None:
    """Take a measured time into an engine's estimate and into its peers'."""
    usual, before = peers.time * decay(front, peers.updated_at), value_at(front, own, peers)
    # A sample weighs the more the older what it meets: a front that measures one prefill in some seconds
    # must not go on in a jam by what was so before it.
    part = 1 - decay(front, peers.updated_at, SAMPLE_HALF_LIFE)
    own_part = 1 - decay(front, own.updated_at, SAMPLE_HALF_LIFE)
    # One sample counts so far only: a few engines that hang must not make all look slow.
    sample = min(time, 3 * usual + OUTLIER_ALLOWANCE)
    peers.time = usual + (sample - usual) * max(SMALLEST_PEER_WEIGHT, min(LARGEST_PEER_WEIGHT, part))
    own.time = before + (time - before) * max(SMALLEST_OWN_WEIGHT, own_part)
    peers.updated_at = own.updated_at = front.now


def queueing_delay(front: FrontState, engine: Engine) -> float:
    """What other fronts' prefills, or slowness, add there; an engine not heard of counts as its peers."""
    # A starting engine's queue began with its start: jammed peers must not make it look jammed too.
    is_warm = warmup_fraction(front, engine) == 1.0
    peers = front.usual_queueing_delays[engine.role] if is_warm else DecayingEstimate()
    return value_at(front, engine.queueing_delay, peers)


def decode_wait(front: FrontState, engine: Engine) -> int:
    """From the send of a decode to its first token there, as foreseen."""
    waiting = engine.waiting_decodes
    oldest = next(iter(waiting.values())) if waiting else front.now
    expected = value_at(front, engine.decode_wait, front.usual_decode_waits[engine.role])
    return max(int(expected), front.now - oldest)


def prefill_rate(front: FrontState, engine: Engine) -> float:
    """Tokens a tenth of a millisecond that an engine reads now."""
    return front.prefill_rates[engine.role] * warmup_fraction(front, engine)


def record_prefill_rate(front: FrontState, engine: Engine, tokens: int, duration: int) -> None:
    """Take a timed prefill into its role's rate.

    The rate is the best seen of late, as unseen waits only slow a prefill; the rest is queueing delay.
    """
    rate, seen = front.prefill_rates[engine.role], max(1, tokens) / max(1, duration)
    front.prefill_rates[engine.role] = max(
        seen, rate + (seen - rate) / PREFILL_RATE_SAMPLES, PREFILL_RATE_FLOOR
    )


def predicted_first_token_time(front: FrontState, engine: Engine, request: Request) -> int:
    """How long a prefill sent now would take there."""
    own_time = tokens_to_prefill(front, engine, request) / prefill_rate(front, engine)
    return queue_time(front, engine) + int(own_time + queueing_delay(front, engine))


def queue_time(front: FrontState, engine: Engine) -> int:
    """How long the prefills known to be ahead there take."""
    report = current_load_report(front, engine)
    reported = 0.0
    if report:
        # What a report saw queued is read meanwhile: an old one must not make an engine look full.
        read_since = prefill_rate(front, engine) * (front.now - engine.load_reported_at)
        reported = (report.queued_prompt_tokens or 0) - read_since
    ahead = engine.prefill_tokens + max(0.0, reported)
    oldest = next(iter(engine.prefills.values())).sent_at if engine.prefills else front.now
    return max(int(ahead / prefill_rate(front, engine)), front.now - oldest)


def current_load_report(front: FrontState, engine: Engine) -> LoadReport | None:
    """An engine's last load report, if it is not too old."""
    is_current = engine.load_report and front.now - engine.load_reported_at < LOAD_REPORT_VALIDITY
    return engine.load_report if is_current else None
