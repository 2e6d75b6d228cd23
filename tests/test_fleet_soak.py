"""A trial of a whole fleet with a fixed seed, and for each rule a fleet whose nodes violate it.

To run trials with other seeds: `python -m tests.fleet.sweep --first 1 --count 10`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.fleet.draw import draw_plan
from tests.fleet.plan import Backlog, Plan
from tests.fleet.rules import Verdict, check_rules, harness_fault
from tests.fleet.trial import play

SEED = 3  # draws three consecutive outages and 119 nodes that also send requests
VIOLATED_RULES = ("told", "debt", "calls")
SMALL_FLEET = 6  # nodes
OUTAGE = (0.5, 4.0)  # start and end, in seconds


def run_violating_trial(violated_rule: str) -> Verdict:
    """Run a trial of nodes that break a rule: one outage, a lost watch, and a change 1 s after the outage."""
    plan = Plan(
        nodes=SMALL_FLEET,
        backlog=Backlog.PRESENT,
        outages=(OUTAGE,),
        changes=(OUTAGE[1] + 1.0,),
        lost_watches=1,
        duration=OUTAGE[1] + 3.0,
    )
    return check_rules(asyncio.run(play(plan, violated_rule)))


@pytest.fixture(scope="module")
def violating_trials() -> Iterator[dict[str, Future[Verdict]]]:
    """Yield the trials of nodes that break a rule, which run in parallel."""
    with ThreadPoolExecutor(len(VIOLATED_RULES)) as pool:
        yield {rule: pool.submit(run_violating_trial, rule) for rule in VIOLATED_RULES}


@pytest.mark.parametrize("rule", VIOLATED_RULES)
def test_a_fleet_that_violates_a_rule_is_detected(
    rule: str, violating_trials: dict[str, Future[Verdict]]
) -> None:
    assert violating_trials[rule].result().violation_counts.get(rule, 0) > 0


def test_a_fleet_violates_no_rule_over_consecutive_outages() -> None:
    outcome = asyncio.run(play(draw_plan(SEED)))
    assert not harness_fault(outcome)
    verdict = check_rules(outcome)
    assert not verdict.violation_counts, verdict
