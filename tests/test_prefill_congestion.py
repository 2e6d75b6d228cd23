"""Prefill congestion ends with the burst that causes it: the reactions of many fronts must not prolong it."""

from __future__ import annotations

from collections import defaultdict
from functools import cache

import pytest

from runspool.scheduling.types import Request
from tests.congestion_simulation import CongestionSimulation

ZONE_WEIGHTS = (0.5, 0.25, 0.25)

# New sessions per second in each window of five seconds.
QUIET = (60,) * 6
BURST = (85, 85, 119, 85, 60, 42)


def test_congestion_ends_after_the_burst_that_caused_it() -> None:
    simulation = CongestionSimulation(front_count=60, prefill_engine_count=12, seed=2)
    in_time_shares = simulation.run(BURST, ZONE_WEIGHTS)
    assert min(in_time_shares) > 0.6, in_time_shares
    assert in_time_shares[-1] > 0.9, in_time_shares
    assert simulation.timed_out < 0.04 * simulation.prefills


def answered_share(requests: list[tuple[Request, bool]]) -> float:
    """Return the fraction of requests that were answered."""
    return sum(answered for _, answered in requests) / len(requests)


def never_answered_shares(requests: list[tuple[Request, bool]]) -> tuple[float, float]:
    """Return the fraction of sessions without any answered turn, and its value if turns were independent."""
    sessions: defaultdict[int, list[bool]] = defaultdict(list)
    for request, answered in requests:
        sessions[request.session or 0].append(answered)
    unanswered_share = 1 - answered_share(requests)
    return (
        sum(not any(turns) for turns in sessions.values()) / len(sessions),
        sum(unanswered_share ** len(turns) for turns in sessions.values()) / len(sessions),
    )


@cache
def simulated_requests(session_rates: tuple[int, ...], seed: int) -> list[tuple[Request, bool]]:
    """Return the requests of thirty fronts in order of prompt length, each with whether it was answered."""
    simulation = CongestionSimulation(front_count=30, prefill_engine_count=12, seed=seed)
    simulation.run(session_rates, ZONE_WEIGHTS)
    return sorted(simulation.requests(), key=lambda request_and_answer: request_and_answer[0].prompt_tokens)


@pytest.mark.parametrize(
    ("session_rates", "seed", "part"), [(QUIET, 1, 2 / 3), (QUIET, 2, 2 / 3), (BURST, 1, 1 / 2)]
)
def test_longest_prompts_are_answered_about_as_often_as_the_others(
    session_rates: tuple[int, ...], seed: int, part: float
) -> None:
    requests = simulated_requests(session_rates, seed)
    longest = requests[-len(requests) // 10 :]
    assert answered_share(longest) >= part * answered_share(requests), (
        answered_share(longest),
        answered_share(requests),
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_without_congestion_few_sessions_have_no_answered_turn(seed: int) -> None:
    never_answered, if_independent = never_answered_shares(simulated_requests(QUIET, seed))
    assert never_answered <= if_independent + 0.12, (never_answered, if_independent)
