"""Trials of whole fleets with fixed seeds, and for each rule a node that violates it.

By hand: `python -m tests.fleet.sweep --first 1 --count 10`.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.fleet.draw import draw_plan
from tests.fleet.judge import Verdict, harness_fault, judge
from tests.fleet.plan import Backlog, Plan
from tests.fleet.trial import play

SEEDS = (1, 2)
SMALL_FLEET = 6
OUTAGE = (0.5, 4.0)


def play_sabotaged(sabotage: str) -> Verdict:
    """Plays one outage, a lost watch and a change 1 s after the return, with nodes that break a rule."""
    plan = Plan(
        nodes=SMALL_FLEET,
        backlog=Backlog.PRESENT,
        outages=(OUTAGE,),
        changes=(OUTAGE[1] + 1.0,),
        lost_watches=1,
        duration=OUTAGE[1] + 3.0,
    )
    return judge(asyncio.run(play(plan, sabotage)))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_keeps_the_rules_over_outages_in_series(seed: int) -> None:
    outcome = asyncio.run(play(draw_plan(seed)))
    assert not harness_fault(outcome)
    verdict = judge(outcome)
    assert not verdict.broken, verdict


@pytest.mark.parametrize("rule", ["told", "debt", "calls"])
def test_a_fleet_that_breaks_a_rule_is_noticed(rule: str) -> None:
    assert play_sabotaged(rule).broken.get(rule, 0) > 0
