"""Prediction of which prefill engines have a prompt cached, and how many of its tokens.

One of many fronts has hardly ever sent a given text itself. The fronts of a zone therefore assume a text to
be cached at the same engines, which they derive from hashes: a session at one engine, a shared prefix at more
engines the more requests use it. They differ in this only as far as they have learned different rack weights
and frequencies of prefixes.
"""

from __future__ import annotations

from math import log
from typing import cast

from runspool.scheduling.engine_index import HASH_MASK
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.types import AttemptOutcome, Request, Role

# Texts that an engine is assumed to keep cached; an older text counts as evicted.
MAX_CACHED_TEXTS = 500
# A prefix gets one candidate plus a fraction of the prefill engines that is this many times its share of the
# recent requests.
CANDIDATES_PER_FAIR_SHARE = 3.0
# Share of all requests that a prefix is assumed to have before it has been seen.
PRIOR_PREFIX_SHARE = 0.015
# Prefill time of a prefix, as a fraction of the first-token objective, up to which it gets several candidates
# even before it is popular.
CHEAP_PREFIX_FRACTION = 0.17
# Latest requests whose prefixes are counted; the assumed share weighs as much as this many requests.
RECENT_PREFIX_COUNT = 64


def affinity_candidates(front: FrontState, request: Request) -> list[int]:
    """Return the ids of the prefill engines that are assumed to have a prompt cached; count its prefix.

    The first one is the engine of the request's session.
    """
    if front.engine_index.is_large(Role.PREFILL):
        return _candidates_in_large_fleet(front, request)
    engines = list(front.ready_engines(Role.PREFILL))
    if request.prefix is not None:
        # `PRIOR_PREFIX_SHARE` keeps a front with little traffic from choosing the number of candidates by a
        # single request: one candidate, or half of all engines, and another number at every front. All texts
        # of a prefix would then go to one engine, and no session would find its cached text again.
        engines.sort(key=lambda e: affinity_rank(front, e, request.prefix_hash))
        engines = engines[: _candidate_count(front, request, len(engines))]
    return _in_session_order(front, engines, request)


def _candidates_in_large_fleet(front: FrontState, request: Request) -> list[int]:
    """Return the affinity candidates of a request from the hash ring, without sorting all prefill engines."""
    engine_count = len(front.ready_engines(Role.PREFILL))
    if request.prefix is None:
        span, text_hash = engine_count, request.session_hash
    else:
        span, text_hash = _candidate_count(front, request, engine_count), request.prefix_hash
    ring = front.engine_index.ring_successors(Role.PREFILL, text_hash, span, request.session_hash)
    return _in_session_order(front, ring, request)


def _candidate_count(front: FrontState, request: Request, engine_count: int) -> int:
    """Return how many candidates a request's prefix has, given how often it is used, and count its use."""
    seen = sum(prefix == request.prefix for prefix in front.recent_prefixes)
    prefill_time = request.prefix_tokens / front.prefill_rates[Role.PREFILL]
    objective = front.class_state(request).settings.first_token_objective
    prior = 0.0 if prefill_time > CHEAP_PREFIX_FRACTION * objective else PRIOR_PREFIX_SHARE
    share = (seen + RECENT_PREFIX_COUNT * prior) / (len(front.recent_prefixes) + RECENT_PREFIX_COUNT)
    latest = front.recent_prefixes[1 - RECENT_PREFIX_COUNT :]
    front.recent_prefixes = [*latest, cast(int, request.prefix)]
    return 1 + int(CANDIDATES_PER_FAIR_SHARE * share * engine_count)


def _in_session_order(front: FrontState, engines: list[Engine], request: Request) -> list[int]:
    """Return the ids of the candidates, the one assumed for the session first.

    The engines of this front's zone precede the others. `engines` is sorted in place.
    """
    zone = front.settings.zone
    engines.sort(key=lambda e: (e.zone != zone, affinity_rank(front, e, request.session_hash)))
    return [e.id for e in engines]


def affinity_rank(front: FrontState, engine: Engine, text_hash: int) -> float:
    """Return an engine's rank for a text; the engine with the lowest rank is the first candidate.

    This is rendezvous hashing, weighted by the engine's rack: fronts with the same rack weights compute the
    same ranks.
    """
    mixed_hash = (engine.stable_hash * (2 * text_hash + 1) & HASH_MASK) + 1
    return -log(mixed_hash / (HASH_MASK + 2)) / front.rack_weights.get(engine.rack, 1.0)


def tokens_to_prefill(front: FrontState, engine: Engine, request: Request) -> int:
    """Return how many prompt tokens an engine probably does not have cached; at least 1."""
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
    """Return an attempt's cached tokens, limited to the prompt: an impossible count would skew estimates."""
    return min(max(0, outcome.cached_tokens), request.prompt_tokens)


def record_cached_texts(engine: Engine, request: Request) -> None:
    """Record that an engine has computed a request's prompt.

    The key of a session's text is twice the session, that of a prefix twice the prefix plus 1.
    """
    cached = engine.cached_tokens
    texts = ((request.session, 0, request.prompt_tokens), (request.prefix, 1, request.prefix_tokens))
    for key, parity, length in texts:
        if key is not None:
            cached.pop(2 * key + parity, None)
            cached[2 * key + parity] = length
    while len(cached) > MAX_CACHED_TEXTS:
        del cached[next(iter(cached))]
