"""The jam as a whole: a burst fills the readers, and what each of sixty fronts does about it must not keep
them full when it is over."""

from __future__ import annotations

from collections import defaultdict
from functools import cache

import pytest

from runspool.scheduling.types import Request
from tests.fleet import Fleet

BURST = [85, 85, 119, 85, 60, 42]  # new sessions a second in each five seconds


def test_a_jam_of_reads_ends_after_the_burst_that_began_it() -> None:
    fleet = Fleet(60, 12, 2)
    parts = fleet.play(BURST, zones=(0.5, 0.25, 0.25))
    assert min(parts) > 0.6, parts
    assert parts[-1] > 0.9, parts
    assert fleet.overdue < 0.04 * fleet.reads


def share(asked: list[tuple[Request, bool]]) -> float:
    return sum(answered for _, answered in asked) / len(asked)


def refused_throughout(asked: list[tuple[Request, bool]]) -> tuple[float, float]:
    """The part of sessions of which no turn was answered, and what it would be were each turn drawn alone."""
    sessions: defaultdict[int, list[bool]] = defaultdict(list)
    for q, answered in asked:
        sessions[q.session or 0].append(answered)
    refused = 1 - share(asked)
    return (
        sum(not any(turns) for turns in sessions.values()) / len(sessions),
        sum(refused ** len(turns) for turns in sessions.values()) / len(sessions),
    )


@cache
def day(rates: tuple[int, ...], seed: int) -> list[tuple[Request, bool]]:
    """Thirty fronts' queries of one day, the shortest prompts first."""
    fleet = Fleet(30, 12, seed)
    fleet.play(rates, zones=(0.5, 0.25, 0.25))
    return sorted(fleet.asked(), key=lambda one: one[0].prompt_tokens)


QUIET, JAM = (60,) * 6, tuple(BURST)


@pytest.mark.parametrize(("rates", "seed", "part"), [(QUIET, 1, 2 / 3), (QUIET, 2, 2 / 3), (JAM, 1, 1 / 2)])
def test_the_longest_prompts_are_answered_about_as_often_as_the_others(
    rates: tuple[int, ...], seed: int, part: float
) -> None:
    asked = day(rates, seed)
    longest = asked[-len(asked) // 10 :]
    assert share(longest) >= part * share(asked), (share(longest), share(asked))


@pytest.mark.parametrize("seed", [1, 2])
def test_on_a_quiet_day_no_sessions_are_refused_throughout(seed: int) -> None:
    seen, chance = refused_throughout(day(QUIET, seed))
    assert seen <= chance + 0.12, (seen, chance)
