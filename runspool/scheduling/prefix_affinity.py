"""Which prefill engines probably have a prompt cached, and how much of it.

One of many fronts has hardly ever sent a text itself, so all fronts suppose a text at the same engines: a
session at one, a shared prefix at the more the more requests ask for it.
"""

from __future__ import annotations

from math import log
from typing import cast

from runspool.scheduling.engine_index import HASH_MASK
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.types import AttemptOutcome, Request, Role

CACHED_TEXTS = 500  # an engine; what it read that many texts ago it is taken to have evicted
CANDIDATE_SHARES = 3.0  # fair shares of prefill engines that a popular prefix is spread over
USUAL_PREFIX_SHARE = 0.015  # of all requests: what a prefix counts for before it has been seen
CHEAP_PREFIX = 0.17  # of the first token objective: a quicker one gets more candidates before it is popular
RECENT_PREFIXES = 64  # last requests of which prefixes are counted; the usual share weighs as many


def affinity_candidates(front: FrontState, request: Request) -> list[int]:
    """Ids of the prefill engines at which every front supposes a prompt cached, the session's own first.

    Counts the request's prefix.
    """
    if front.engine_index.is_large(Role.PREFILL):
        return _candidates_in_large_fleet(front, request)
    engines = list(front.ready_engines(Role.PREFILL))
    if request.prefix is not None:
        # A front that sees little must not infer one candidate, or half of all engines, from a single
        # request, each front another: all of a prefix's texts would go to one engine, and no session would
        # find its own again.
        engines.sort(key=lambda e: affinity_rank(front, e, request.prefix_hash))
        engines = engines[: _candidate_count(front, request, len(engines))]
    return _in_session_order(front, engines, request)


def _candidates_in_large_fleet(front: FrontState, request: Request) -> list[int]:
    """The same where not all prefill engines are put in order: those that follow the text's hash."""
    engine_count = len(front.ready_engines(Role.PREFILL))
    if request.prefix is None:
        span, text_hash = engine_count, request.session_hash
    else:
        span, text_hash = _candidate_count(front, request, engine_count), request.prefix_hash
    ring = front.engine_index.ring(Role.PREFILL, text_hash, span, request.session_hash)
    return _in_session_order(front, ring, request)


def _candidate_count(front: FrontState, request: Request, engine_count: int) -> int:
    """How many candidates a request's prefix has, by how often it is asked for; counts the request."""
    seen = sum(prefix == request.prefix for prefix in front.recent_prefixes)
    prefill_time = request.prefix_tokens / front.prefill_rates[Role.PREFILL]
    objective = front.class_state(request).settings.first_token_objective
    usual = 0.0 if prefill_time > CHEAP_PREFIX * objective else USUAL_PREFIX_SHARE
    share = (seen + RECENT_PREFIXES * usual) / (len(front.recent_prefixes) + RECENT_PREFIXES)
    kept = front.recent_prefixes[1 - RECENT_PREFIXES :]
    front.recent_prefixes = [*kept, cast(int, request.prefix)]
    return 1 + int(CANDIDATE_SHARES * share * engine_count)


def _in_session_order(front: FrontState, engines: list[Engine], request: Request) -> list[int]:
    """The ids of candidates, the session's own first; sorts `engines`."""
    zone = front.settings.zone
    engines.sort(key=lambda e: (e.zone != zone, affinity_rank(front, e, request.session_hash)))
    return [e.id for e in engines]


def affinity_rank(front: FrontState, engine: Engine, text_hash: int) -> float:
    """An engine's rank for a text, the least first: alike at all fronts, weighted by its rack's balance."""
    drawn = (engine.stable_hash * (2 * text_hash + 1) & HASH_MASK) + 1
    return -log(drawn / (HASH_MASK + 2)) / front.rack_balance.get(engine.rack, 1.0)


def tokens_to_prefill(front: FrontState, engine: Engine, request: Request) -> int:
    """Prompt tokens that an engine probably has not cached; at least 1."""
    cached = engine.cached_tokens
    session = cached.get(2 * request.session, 0) if request.session is not None else 0
    shared = cached.get(2 * request.prefix + 1, 0) if request.prefix is not None else 0
    if engine.id in request.affinity_candidates:
        shared = request.prefix_tokens
        if engine.id == request.affinity_candidates[0]:
            fraction = front.class_state(request).cached_fraction
            session = max(session, int(request.prompt_tokens * fraction))
    found = max(min(session, request.prompt_tokens), min(shared, request.prefix_tokens))
    return max(1, request.prompt_tokens - found)


def reported_cached_tokens(request: Request, outcome: AttemptOutcome) -> int:
    """An attempt's cached tokens, within the prompt: an impossible count would spoil what is learned."""
    return min(max(0, outcome.cached_tokens), request.prompt_tokens)


def record_cached_texts(engine: Engine, request: Request) -> None:
    """Note that an engine has read a request's prompt: even keys are sessions, odd ones prefixes."""
    cached = engine.cached_tokens
    texts = ((request.session, 0, request.prompt_tokens), (request.prefix, 1, request.prefix_tokens))
    for key, parity, length in texts:
        if key is not None:
            cached.pop(2 * key + parity, None)
            cached[2 * key + parity] = length
    while len(cached) > CACHED_TEXTS:
        del cached[next(iter(cached))]
