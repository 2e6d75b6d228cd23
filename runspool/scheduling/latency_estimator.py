"""Prediction of first-token times on an engine.

Overdue age (mechanism 1 of docs/design.md): the predicted wait on an engine is at least the age of its oldest
attempt that has not been answered.
"""

from __future__ import annotations

from math import exp2

from runspool.scheduling.engine_state import DecayingEstimate, Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.prefix_affinity import tokens_to_prefill
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import LoadReport, Request

# Age at which a load report no longer describes the engine's present load.
LOAD_REPORT_VALIDITY = 2 * SECOND
# Half-life of a learned estimate without new samples from its engine.
ESTIMATE_HALF_LIFE = 12 * SECOND
# Half-life of an estimate's weight against a new sample, which measures the present queue.
SAMPLE_HALF_LIFE = 3 * SECOND
# A sample updates its engine's peers' estimate with at most three times that estimate plus this time.
OUTLIER_ALLOWANCE = 600 * MILLISECOND
# Lower bound on the weight of a sample in the estimate over its engine's peers.
MIN_PEER_WEIGHT = 1 / 8
# Upper bound on the weight of a sample in the estimate over its engine's peers.
MAX_PEER_WEIGHT = 1 / 4
# Lower bound on the weight of a sample in its own engine's estimate.
MIN_OWN_WEIGHT = 1 / 4
# A slower sample changes the prefill rate by its difference divided by this number; a faster one replaces it.
PREFILL_RATE_SAMPLES = 16
# Lower bound on the prefill rate, in tokens per tenth of a millisecond.
MIN_PREFILL_RATE = 0.01


def decay_factor(front: FrontState, since: int, half_life: int = ESTIMATE_HALF_LIFE) -> float:
    """Return the remaining weight, from 1 to 0, of what was learned at the time `since`."""
    return exp2((since - front.now) / half_life)


def current_estimate(front: FrontState, own: DecayingEstimate, peers: DecayingEstimate) -> float:
    """Return an engine's estimate now: it decays to its peers' estimate, and that decays to 0."""
    peer_estimate = peers.duration * decay_factor(front, peers.updated_at)
    return peer_estimate + (own.duration - peer_estimate) * decay_factor(front, own.updated_at)


def update_estimate(
    front: FrontState, own: DecayingEstimate, peers: DecayingEstimate, duration: float
) -> None:
    """Update an engine's estimate and its peers' estimate with a measured time."""
    peer_estimate, own_estimate = (
        peers.duration * decay_factor(front, peers.updated_at),
        current_estimate(front, own, peers),
    )
    # The older the estimates, the more the new sample weighs. A front that measures only one prefill every
    # few seconds must not rely during congestion on what it learned before.
    sample_weight = 1 - decay_factor(front, peers.updated_at, SAMPLE_HALF_LIFE)
    own_sample_weight = 1 - decay_factor(front, own.updated_at, SAMPLE_HALF_LIFE)
    # The sample is capped in the peers' estimate: a few engines that hang must not make all look slow.
    sample = min(duration, 3 * peer_estimate + OUTLIER_ALLOWANCE)
    peers.duration = peer_estimate + (sample - peer_estimate) * max(
        MIN_PEER_WEIGHT, min(MAX_PEER_WEIGHT, sample_weight)
    )
    own.duration = own_estimate + (duration - own_estimate) * max(MIN_OWN_WEIGHT, own_sample_weight)
    peers.updated_at = own.updated_at = front.now


def predicted_queueing_delay(front: FrontState, engine: Engine) -> float:
    """Return the predicted delay of a prefill due to other fronts' prefills or a slow engine.

    An engine without recent samples is assumed to behave like its peers.
    """
    # The queue of a starting engine is as young as the engine, so congested peers must not make it look
    # congested.
    is_warm = warmup_fraction(front, engine) == 1.0
    peers = front.role_queueing_delays[engine.role] if is_warm else DecayingEstimate()
    return current_estimate(front, engine.queueing_delay, peers)


def predicted_decode_wait(front: FrontState, engine: Engine) -> int:
    """Return the predicted time from sending a decode to an engine until its first token."""
    waiting = engine.waiting_decodes
    oldest = next(iter(waiting.values())) if waiting else front.now
    expected = current_estimate(front, engine.decode_wait, front.role_decode_waits[engine.role])
    return max(int(expected), front.now - oldest)


def prefill_rate(front: FrontState, engine: Engine) -> float:
    """Return an engine's current prefill rate, in tokens per tenth of a millisecond."""
    return front.prefill_rates[engine.role] * warmup_fraction(front, engine)


def record_prefill_rate(front: FrontState, engine: Engine, tokens: int, duration: int) -> None:
    """Update the prefill rate of an engine's role with a measured prefill.

    The rate is the highest measured recently, since waits that this front cannot see only make a prefill
    slower. They are accounted for as queueing delay.
    """
    rate, measured_rate = front.prefill_rates[engine.role], max(1, tokens) / max(1, duration)
    front.prefill_rates[engine.role] = max(
        measured_rate, rate + (measured_rate - rate) / PREFILL_RATE_SAMPLES, MIN_PREFILL_RATE
    )


def predicted_first_token_time(front: FrontState, engine: Engine, request: Request) -> int:
    """Return how long a prefill that is sent to an engine now would take."""
    own_time = tokens_to_prefill(front, engine, request) / prefill_rate(front, engine)
    return predicted_queue_time(front, engine) + int(own_time + predicted_queueing_delay(front, engine))


def predicted_queue_time(front: FrontState, engine: Engine) -> int:
    """Return how long an engine needs for the prefills that are known to be in its queue."""
    report = current_load_report(front, engine)
    reported = 0.0
    if report:
        # The engine has worked on the reported queue since then: an old report must not make it look full.
        computed_since = prefill_rate(front, engine) * (front.now - engine.load_reported_at)
        reported = (report.queued_prompt_tokens or 0) - computed_since
    ahead = engine.prefill_tokens + max(0.0, reported)
    oldest = next(iter(engine.prefills.values())).sent_at if engine.prefills else front.now
    return max(int(ahead / prefill_rate(front, engine)), front.now - oldest)


def current_load_report(front: FrontState, engine: Engine) -> LoadReport | None:
    """Return an engine's last load report, or None if there is none or it is too old."""
    is_current = engine.load_report and front.now - engine.load_reported_at < LOAD_REPORT_VALIDITY
    return engine.load_report if is_current else None
