"""Admission of prefills: which requests a front queues, sends to an engine or rejects.

A front keeps a request in its own prefill queue while the best engine's queue is too long, or while all
engines that can decode are full. If the request's tenant exceeds its share, a shorter engine queue already
counts as too long. A request that cannot start in time is rejected. docs/design.md describes this as
mechanism 3.
"""

from __future__ import annotations

from bisect import insort

from runspool.scheduling.engine_eligibility import candidate_engines
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import SMOOTHING_STREAMS, decode_cost, refresh_fleet_statistics
from runspool.scheduling.front_state import FrontState, QueuePosition, TenantArrivals
from runspool.scheduling.latency_estimator import (
    decay_factor,
    predicted_decode_wait,
    predicted_first_token_time,
    predicted_queue_time,
    prefill_rate,
)
from runspool.scheduling.prefix_affinity import affinity_candidates, tokens_to_prefill
from runspool.scheduling.request_lifecycle import max_reservation_time
from runspool.scheduling.request_progress import RequestProgress
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Request, Role

# Time after which an engine is selected again for a request that found none available.
SELECTION_INTERVAL = 25 * MILLISECOND
# Time before the client's time limit at which the scheduler stops starting anything for a request.
DEADLINE_MARGIN = 15 * MILLISECOND
# A request whose predicted wait, multiplied by a random factor, is at most this long is not rejected, however
# soon its first token is due (see admit_prefill()).
MIN_ACCEPTED_WAIT = 150 * MILLISECOND
# Longest queue of an engine to which a prefill is sent, as a fraction of the shortest first-token objective.
# Behind a longer queue, requests with that objective miss it: their own prefill and delays unknown to this
# front are added to the queue.
QUEUE_LIMIT_FRACTION = 0.2
# Longest queue to which the prefill of a request beyond its tenant's share is sent, as a fraction of the
# shortest first-token objective.
OVER_SHARE_QUEUE_LIMIT_FRACTION = 0.1
# Predicted wait above which a request may be rejected, as a fraction of the time that is left until its first
# token is due, less the time of its own prefill. It applies to a front that has many streams of its own.
MAX_WAIT_FRACTION = 0.6
# The same fraction for a front without streams of its own, which has no evidence of the engines' load.
# Between no streams and many, the fraction is interpolated.
MAX_WAIT_FRACTION_WITHOUT_STREAMS = 0.45
# Factor on either fraction for a request that its client repeats, because part of the client's time has
# already passed.
CLIENT_RETRY_WAIT_FACTOR = 0.3
# Lower bound on a class's priority weight where queue positions are computed.
MIN_PRIORITY_WEIGHT = 0.1
# Shortest time after which a rejected client is asked to retry.
MIN_RETRY_AFTER = 200 * MILLISECOND
# Time after which a rejected client is asked to retry, as a multiple of the soonest predicted first token.
RETRY_AFTER_FACTOR = 4
# Half-life of a tenant's decayed count of arrivals.
ARRIVAL_HALF_LIFE_SECONDS = 2
LN_2 = 0.693  # natural logarithm of 2, which relates a half-life to a decay rate
# Factor by which a tenant may exceed this front's share of its quota.
SHARE_TOLERANCE = 1.3
# Requests that a tenant may send in a burst beyond its tolerated share.
SHARE_BURST_REQUESTS = 2


def begin_request(front: FrontState, request: Request) -> RequestProgress:
    """Draw a request's random number, find where its prompt may be cached, and determine its limits."""
    request.request_draw = front.random()
    request.affinity_candidates = affinity_candidates(front, request)
    class_state = front.class_state(request)
    deadline = front.now + request.time_budget - DEADLINE_MARGIN
    due = _first_token_due(front, request, deadline)
    max_wait_fraction = _max_wait_fraction(front, request)
    is_over_share = _count_arrival(front, request)
    queue_limit = OVER_SHARE_QUEUE_LIMIT_FRACTION if is_over_share else QUEUE_LIMIT_FRACTION
    # Requests are ordered by a priority time: the arrival time plus a delay, which is the time until the
    # first token is due divided by the priority weight. Since later arrivals get later priority times, no
    # class starves. All requests of tenants beyond their share come after the others.
    weight = max(class_state.settings.priority_weight, MIN_PRIORITY_WEIGHT)
    priority_time = front.now + int((due - front.now) * (not request.is_continuation) / weight)
    return RequestProgress(
        request=request,
        class_state=class_state,
        deadline=deadline,
        first_token_due=due,
        max_wait_fraction=max_wait_fraction,
        selection_skipped_until=front.now + int((due - front.now) * max_wait_fraction),
        queue_limit=int(front.shortest_objective() * queue_limit),
        queue_position=QueuePosition(is_over_share, priority_time, request.index),
        # The platform's settings may limit how long an engine's state stays reserved for a request. Without
        # such a limit, the request's time budget is used.
        reservation_duration=max_reservation_time(front.settings.state_release_timeout, request.time_budget),
    )


def _first_token_due(front: FrontState, request: Request, deadline: int) -> int:
    """Return the time after which a request's first token is too late to be useful.

    This is the end of the class's first-token objective or the deadline, whichever is earlier, and the
    deadline for continuations.
    """
    # A continuation is not given up before its deadline, because the part already streamed would be lost too.
    if request.is_continuation:
        return deadline
    settings = front.class_state(request).settings
    for_prompt = settings.first_token_objective_per_1000_tokens * request.prompt_tokens // 1000
    return min(deadline, front.now + settings.first_token_objective + for_prompt)


def _max_wait_fraction(front: FrontState, request: Request) -> float:
    """Return the fraction of the time left for a request's first token that a predicted wait may take."""
    refresh_fleet_statistics(front)
    # A front that has few streams, and so knows little about the queues, relies less on its predictions.
    evidence_weight = front.own_streams_per_engine / (SMOOTHING_STREAMS + front.own_streams_per_engine)
    max_wait_fraction = (
        MAX_WAIT_FRACTION_WITHOUT_STREAMS
        + (MAX_WAIT_FRACTION - MAX_WAIT_FRACTION_WITHOUT_STREAMS) * evidence_weight
    )
    return max_wait_fraction * (CLIENT_RETRY_WAIT_FACTOR if request.is_client_retry else 1)


def _count_arrival(front: FrontState, request: Request) -> bool:
    """Count a request of a tenant, and return whether the tenant exceeds its share at this front."""
    if request.tenant is None:
        return False
    count, updated_at = front.tenant_arrivals[request.tenant]
    count = count * decay_factor(front, updated_at, ARRIVAL_HALF_LIFE_SECONDS * SECOND) + 1
    front.tenant_arrivals[request.tenant] = TenantArrivals(count, front.now)
    rate = front.settings.tenants[request.tenant].requests_per_second
    # The decayed count to which arrivals at this front's share of the tenant's quota converge.
    expected_count = rate / front.settings.front_count * ARRIVAL_HALF_LIFE_SECONDS / LN_2
    return 0 < SHARE_TOLERANCE * expected_count + SHARE_BURST_REQUESTS < count


def enqueue_if_not_first(front: FrontState, progress: RequestProgress) -> bool:
    """Queue a request if others are ahead of it in the prefill queue; return whether it has to wait there."""
    queue = front.prefill_queue
    if progress.prefill_engine or not queue or front.now >= progress.selection_skipped_until:
        return False
    if queue[0] >= progress.queue_position:
        return False
    # Until its `selection_skipped_until`, no engine is selected for a request that is not the first in the
    # queue. This saves CPU time. After that time the request stays in the queue, but an engine is selected
    # for it too.
    _enter_queue(front, progress)
    return True


def _enter_queue(front: FrontState, progress: RequestProgress) -> None:
    """Add a request to the prefill queue unless it is queued already."""
    if progress.queue_position not in front.prefill_queue:
        insort(front.prefill_queue, progress.queue_position)


def leave_queue(front: FrontState, progress: RequestProgress) -> None:
    """Remove a request from the prefill queue."""
    front.prefill_queue = [other for other in front.prefill_queue if other != progress.queue_position]


def admit_prefill(front: FrontState, progress: RequestProgress, engine: Engine) -> Engine | None:
    """Return the engine if the request may be sent to it now, else None.

    It may not be sent if the engine's queue is too long for it or if all engines that can decode are full. If
    the request has had no attempt and the predicted wait leaves too little time for its first token, it is
    marked to be rejected.
    """
    request = progress.request
    decode_capable = candidate_engines(front, request, Role.MIXED)
    decode_capable += candidate_engines(front, request, Role.DECODE)
    prefill_time = tokens_to_prefill(front, engine, request) / prefill_rate(front, engine)
    shortest_decode_wait = min((predicted_decode_wait(front, e) for e in decode_capable), default=0)
    wait = predicted_first_token_time(front, engine, request) - prefill_time + shortest_decode_wait
    wait_allowance = (progress.first_token_due - front.now - prefill_time) * progress.max_wait_fraction
    accepted_wait = max(MIN_ACCEPTED_WAIT, wait_allowance)
    # The random `request_draw` makes requests differ in the wait that they accept. Otherwise all fronts would
    # reject, or admit, everything at the same time.
    if not progress.attempts and wait * (0.5 + request.request_draw) > accepted_wait:
        progress.cannot_start_in_time = True
        return None
    if predicted_queue_time(front, engine) > progress.queue_limit:
        return None
    # While all decode engines are full, a completed prefill would only wait, or be given up and computed
    # again.
    if min((decode_cost(front, e, request) for e in decode_capable), default=0.0) > 1:
        return None
    return engine


def queue_until_next_selection(front: FrontState, progress: RequestProgress) -> int | None:
    """Return when to select an engine for a request again, or None if its first token is due already.

    A request that needs a prefill is also put into the queue; one that only needs a decode is not.
    """
    is_prefill = not progress.prefill_engine
    if is_prefill:
        _enter_queue(front, progress)
    # Engines are also selected for requests past `selection_skipped_until` that are not first in the queue.
    # In a long queue this happens less often for each of them, which saves CPU time.
    intervals = 1
    if is_prefill and front.prefill_queue[0] != progress.queue_position:
        intervals = max(1, len(front.prefill_queue) // 4)
    if front.now >= progress.first_token_due:
        return None
    end = progress.first_token_due if is_prefill else progress.deadline
    return min(front.now + SELECTION_INTERVAL * intervals, end)


def next_selection_time(front: FrontState, end: int) -> int:
    """Return the time one selection interval from now, but no later than `end`."""
    return min(front.now + SELECTION_INTERVAL, end)


def retry_after(front: FrontState, request: Request) -> int:
    """Return how long a rejected client is asked to wait before it retries.

    Return 0 if the settings do not allow that clients are told a time.
    """
    engines = candidate_engines(front, request, Role.PREFILL)
    soonest = min((predicted_first_token_time(front, e, request) for e in engines), default=0)
    # Clients that retry during the congestion that caused their rejection would only add to it.
    wait = max(MIN_RETRY_AFTER, RETRY_AFTER_FACTOR * soonest)
    return min(front.settings.max_retry_after, wait) if front.settings.may_send_retry_after else 0
