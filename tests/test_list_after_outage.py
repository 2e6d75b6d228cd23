"""What nodes owe their agents after an outage of the endpoint list, and when they know of changes then.

The agents of all nodes are one process, as the platform's are in a trial of a whole fleet on one machine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.fleet.plan import Backlog, Plan
from tests.fleet.rules import Verdict, check_rules
from tests.fleet.trial import play

FLEET = 230
SMALL_FLEET = 4
TRIALS_AT_ONCE = 4
OUTAGE = (0.5, 6.5)
CHANGES_AFTER_LOST_WATCH = (0.1, 0.5, 0.9, 1.3, 1.6)

Trials = dict[Backlog | float, Future[Verdict]]


def play_outage(nodes: int, backlog: Backlog, *after_return: float, lost_watches: int = 0) -> Verdict:
    """Plays an outage and changes so many seconds after the return."""
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
    """All trials of small fleets, by what their agents owe or by when the list changes."""
    with ThreadPoolExecutor(TRIALS_AT_ONCE) as pool:
        played: Trials = {
            backlog: pool.submit(play_outage, SMALL_FLEET, backlog, 0.1, 1.6) for backlog in Backlog
        }
        played |= {
            after: pool.submit(play_outage, SMALL_FLEET, Backlog.PRESENT, after, lost_watches=1)
            for after in CHANGES_AFTER_LOST_WATCH
        }
        yield played


def test_calls_given_up_in_an_outage_do_not_delay_changes_after_it() -> None:
    # The agents answered what the whole fleet had asked and given up in the outage ahead of its new watches.
    verdict = play_outage(FLEET, Backlog.ALL, 0.1, 1.6)
    assert not verdict.violation_counts, verdict


@pytest.mark.parametrize("after_return", CHANGES_AFTER_LOST_WATCH)
def test_a_lost_watch_after_an_outage_does_not_delay_a_change(after_return: float, trials: Trials) -> None:
    # A node asked nothing beside its first watch for 1.4 s, whatever had become of that.
    assert not trials[after_return].result().told


@pytest.mark.parametrize("backlog", Backlog)
def test_calls_owed_after_an_outage_are_bounded(backlog: Backlog, trials: Trials) -> None:
    # A node asked ten times a second as long as the outage lasted, on a connection of its own each time.
    verdict = trials[backlog].result()
    assert not verdict.violation_counts, verdict
