"""Discovery calls left open by an outage of the endpoint list, and how soon nodes learn of changes after it.

The agents of all nodes share one process, as in a trial of a whole fleet on one machine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.fleet.plan import Backlog, Plan
from tests.fleet.rules import Verdict, check_rules
from tests.fleet.trial import play

LARGE_FLEET = 230  # nodes
SMALL_FLEET = 4  # nodes
MAX_CONCURRENT_TRIALS = 4
OUTAGE = (0.5, 6.5)  # start and end, in seconds
# Seconds from the end of the outage to the change of the list.
CHANGES_AFTER_LOST_WATCH = (0.1, 0.5, 0.9, 1.3, 1.6)

Trials = dict[Backlog | float, Future[Verdict]]


def run_outage_trial(nodes: int, backlog: Backlog, *after_return: float, lost_watches: int = 0) -> Verdict:
    """Run a trial of one outage, with a change of the list at each of these times in seconds after it."""
    changes = tuple(OUTAGE[1] + after for after in after_return)
    plan = Plan(
        nodes=nodes,
        backlog=backlog,
        outages=(OUTAGE,),
        changes=changes,
        lost_watches=lost_watches,
        duration=changes[-1] + 2.0,
    )
    return check_rules(asyncio.run(play(plan)))


@pytest.fixture(scope="module")
def trials() -> Iterator[Trials]:
    """Yield the trials of small fleets, by the backlog of their agents or by the time of the change."""
    with ThreadPoolExecutor(MAX_CONCURRENT_TRIALS) as pool:
        running_trials: Trials = {
            backlog: pool.submit(run_outage_trial, SMALL_FLEET, backlog, 0.1, 1.6) for backlog in Backlog
        }
        running_trials |= {
            after: pool.submit(run_outage_trial, SMALL_FLEET, Backlog.PRESENT, after, lost_watches=1)
            for after in CHANGES_AFTER_LOST_WATCH
        }
        yield running_trials


def test_calls_abandoned_in_an_outage_do_not_delay_changes_after_it() -> None:
    # Agents once answered the calls that the fleet had abandoned in the outage ahead of its new watches.
    verdict = run_outage_trial(LARGE_FLEET, Backlog.ALL, 0.1, 1.6)
    assert not verdict.violation_counts, verdict


@pytest.mark.parametrize("after_return", CHANGES_AFTER_LOST_WATCH)
def test_a_lost_watch_after_an_outage_does_not_delay_a_change(after_return: float, trials: Trials) -> None:
    # A node once made no call beside its first watch for 1.4 s, even if that watch was lost.
    assert not trials[after_return].result().told


@pytest.mark.parametrize("backlog", Backlog)
def test_calls_left_to_answer_after_an_outage_are_bounded(backlog: Backlog, trials: Trials) -> None:
    # A node once made ten calls a second throughout an outage, each on a new connection.
    verdict = trials[backlog].result()
    assert not verdict.violation_counts, verdict
