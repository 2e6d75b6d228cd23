"""Mechanism 3, the prefill queue: which requests wait at the front, in what order, and which are rejected.

Prefills wait while the best engine's queue is long, or all decode engines are full; beyond a tenant's share
they wait sooner. They are rejected once they cannot begin in time.
"""

from __future__ import annotations

from bisect import insort

from runspool.scheduling.engine_eligibility import engines_in_view
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.fleet_statistics import EVIDENCE_STREAMS, decode_cost, refresh_fleet_statistics
from runspool.scheduling.front_state import FrontState, QueuePosition, TenantArrivals
from runspool.scheduling.latency_estimator import (
    decay,
    decode_wait,
    predicted_first_token_time,
    prefill_rate,
    queue_time,
)
from runspool.scheduling.prefix_affinity import affinity_candidates, tokens_to_prefill
from runspool.scheduling.request_lifecycle import reservation_time
from runspool.scheduling.request_progress import RequestProgress
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Request, Role

RETRY_INTERVAL = 25 * MILLISECOND  # between looks for an engine while none can be had
DEADLINE_MARGIN = 15 * MILLISECOND  # kept before the client's limit
SHORTEST_SPARE_TIME = 150 * MILLISECOND  # a shorter wait rejects nothing
QUEUE_LIMIT = 0.2  # of the shortest objective: behind a longer queue requests in a hurry are late
OVER_SHARE_QUEUE_LIMIT = 0.1  # the same for requests beyond their tenant's share
PATIENCE = 0.6  # of the time to the due time: a first token foreseen later is not waited for
BLIND_PATIENCE = 0.45  # the same where no own streams tell anything of the engines
CLIENT_RETRY_PATIENCE = 0.3  # of it, for a client's later try: part of its time has gone before it came
SMALLEST_WEIGHT = 0.1  # that a class's priority counts with
SHORTEST_RETRY_AFTER = 200 * MILLISECOND
RETRY_AFTER_FACTOR = 4  # times the soonest first token that a rejected client is told to stay away for
SHARE_HALF_LIFE_SECONDS = 2  # of a tenant's counted arrivals
LN_2 = 0.693
SHARE_TOLERANCE = 1.3  # times its share that a tenant may come to
SHARE_BURST = 2  # requests that it may have over that


def begin_request(front: FrontState, request: Request) -> RequestProgress:
    """Draw for a request, find where its prompt may be cached, and fix its limits."""
    request.request_draw = front.random()
    request.affinity_candidates = affinity_candidates(front, request)
    class_state = front.class_state(request)
    deadline = front.now + request.time_budget - DEADLINE_MARGIN
    due = _first_token_due(front, request, deadline)
    patience = _patience(front, request)
    is_over_share = _is_over_share(front, request)
    queue_limit = OVER_SHARE_QUEUE_LIMIT if is_over_share else QUEUE_LIMIT
    # Priority brings a request forward; time spent waiting does too, so that no class starves.
    weight = max(class_state.settings.priority_weight, SMALLEST_WEIGHT)
    priority_time = front.now + int((due - front.now) * (not request.is_continuation) / weight)
    return RequestProgress(
        request=request,
        class_state=class_state,
        deadline=deadline,
        first_token_due=due,
        patience=patience,
        latest_queueing=front.now + int((due - front.now) * patience),
        queue_limit=int(front.shortest_objective() * queue_limit),
        queue_position=QueuePosition(is_over_share, priority_time, request.index),
        # Where the platform grants no time of its own, as long as the request has.
        reservation_duration=reservation_time(front.settings.state_release_timeout, request.time_budget),
    )


def _first_token_due(front: FrontState, request: Request, deadline: int) -> int:
    """The time by which a request's first token is worth having."""
    # The rest of a stream is not given up before the deadline: its beginning would be lost too.
    if request.is_continuation:
        return deadline
    settings = front.class_state(request).settings
    for_prompt = settings.first_token_objective_per_1000_tokens * request.prompt_tokens // 1000
    return min(deadline, front.now + settings.first_token_objective + for_prompt)


def _patience(front: FrontState, request: Request) -> float:
    """The part of the time to a request's due time that a foreseen wait may take."""
    refresh_fleet_statistics(front)
    # A front that sees little of the queues relies less on its estimates.
    evidence = front.mean_streams / (EVIDENCE_STREAMS + front.mean_streams)
    patience = BLIND_PATIENCE + (PATIENCE - BLIND_PATIENCE) * evidence
    return patience * (CLIENT_RETRY_PATIENCE if request.is_client_retry else 1)


def _is_over_share(front: FrontState, request: Request) -> bool:
    """Whether a request's tenant sends more than its share to this front; counts the request."""
    if request.tenant is None:
        return False
    count, updated_at = front.tenant_arrivals[request.tenant]
    count = count * decay(front, updated_at, SHARE_HALF_LIFE_SECONDS * SECOND) + 1
    front.tenant_arrivals[request.tenant] = TenantArrivals(count, front.now)
    rate = front.settings.tenants[request.tenant].requests_per_second
    # What a decayed count of arrivals at that rate comes to in the long run.
    usual = rate / front.settings.front_count * SHARE_HALF_LIFE_SECONDS / LN_2
    return 0 < SHARE_TOLERANCE * usual + SHARE_BURST < count


def must_wait_in_queue(front: FrontState, progress: RequestProgress) -> bool:
    """Whether more pressing requests are queued here; queues this one if so."""
    queue = front.prefill_queue
    if progress.prefill_engine or not queue or front.now >= progress.latest_queueing:
        return False
    if queue[0] >= progress.queue_position:
        return False
    # Only the foremost looks at the engines, which saves CPU time.
    _enter_queue(front, progress)
    return True


def _enter_queue(front: FrontState, progress: RequestProgress) -> None:
    """Queue a request for prefill, once."""
    if progress.queue_position not in front.prefill_queue:
        insort(front.prefill_queue, progress.queue_position)


def leave_queue(front: FrontState, progress: RequestProgress) -> None:
    """Take a request out of the queue for prefill."""
    front.prefill_queue = [other for other in front.prefill_queue if other != progress.queue_position]


def admit_prefill(front: FrontState, progress: RequestProgress, engine: Engine) -> Engine | None:
    """The engine if its queue is short enough for this request, else None; may give the request up."""
    request = progress.request
    decode_capable = engines_in_view(front, request, Role.MIXED)
    decode_capable += engines_in_view(front, request, Role.DECODE)
    own_time = tokens_to_prefill(front, engine, request) / prefill_rate(front, engine)
    shortest_decode_wait = min((decode_wait(front, e) for e in decode_capable), default=0)
    wait = predicted_first_token_time(front, engine, request) - own_time + shortest_decode_wait
    # Patience differs by chance, or all fronts would reject, and admit, everything at one time.
    left = (progress.first_token_due - front.now - own_time) * progress.patience
    spare = max(SHORTEST_SPARE_TIME, left)
    if not progress.attempts and wait * (0.5 + request.request_draw) > spare:
        progress.is_given_up = True
        return None
    if queue_time(front, engine) > progress.queue_limit:
        return None
    # States computed ahead of full decode engines only wait, or are given up and computed again.
    if min((decode_cost(front, e, request) for e in decode_capable), default=0.0) > 1:
        return None
    return engine


def next_look(front: FrontState, progress: RequestProgress) -> int | None:
    """When to look for an engine again; None once the first token is due."""
    is_prefill = not progress.prefill_engine
    if is_prefill:
        _enter_queue(front, progress)
    # In a long queue each request past its latest time looks by itself: rarer looks save CPU time.
    intervals = 1
    if is_prefill and front.prefill_queue[0] != progress.queue_position:
        intervals = max(1, len(front.prefill_queue) // 4)
    if front.now >= progress.first_token_due:
        return None
    end = progress.first_token_due if is_prefill else progress.deadline
    return min(front.now + RETRY_INTERVAL * intervals, end)


def retry_time(front: FrontState, end: int) -> int:
    """One retry interval from now, but no later than `end`."""
    return min(front.now + RETRY_INTERVAL, end)


def retry_after(front: FrontState, request: Request) -> int:
    """How long a rejected client is told to wait; 0 where nothing is said."""
    engines = engines_in_view(front, request, Role.PREFILL)
    soonest = min((predicted_first_token_time(front, e, request) for e in engines), default=0)
    # Clients that come back within the jam that turned them away only add to it.
    wait = max(SHORTEST_RETRY_AFTER, RETRY_AFTER_FACTOR * soonest)
    return min(front.settings.max_retry_after, wait) if front.settings.may_send_retry_after else 0
