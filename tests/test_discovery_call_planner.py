"""The plan of calls for the endpoint list, against agents of any pace on a simulated clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from runspool.node.discovery_call import DiscoveryCall
from runspool.node.discovery_call_planner import (
    MAX_OPEN_CALLS,
    MIN_OVERDUE_MARGIN,
    DiscoveryCallPlanner,
    DiscoveryState,
)
from runspool.units import TENTHS_PER_SECOND

AGENT, SECOND_AGENT = ("127.0.0.1", 1), ("127.0.0.1", 2)
MOST_CALLS_PER_SECOND = 25
RETURN_SEEN_WITHIN = 1_000  # tenths of a millisecond, of an agent that answers what it was asked in an outage
KNOWN_WITHIN = 6 * TENTHS_PER_SECOND  # after the agent could be reached, whatever it does
CALLS_AT_ANY_OUTAGE = 3  # that it may owe: the watches, and one more
STEP = 50  # tenths of a millisecond


@dataclass
class SimulatedAgent:
    """Answers each call `latency` after it came, or after the end of the watch's wait.

    In an outage, from `down_from` to `down_until`, it answers nothing; then at once, as the list has changed,
    what it was asked meanwhile, or, if it `drops`, only what it is asked from then on.
    """

    latency: int
    down_from: int = 0
    down_until: int = 0
    drops: bool = False
    answers_at: dict[int, int] = field(default_factory=dict)
    met: int = 0  # calls that were out in the outage

    def receive(self, call: DiscoveryCall) -> None:
        """Settle when the call is answered."""
        at = call.made_at + call.wait + self.latency
        if call.made_at < self.down_until and at > self.down_from:
            self.met += 1
            if self.drops:
                return
            at = self.down_until + self.latency
        self.answers_at[call.number] = at


def simulate(agent: SimulatedAgent, duration: int) -> tuple[list[int], list[int]]:
    """Return when calls were made and when they were answered, by a planner that follows the agent."""
    planner = DiscoveryCallPlanner(AGENT, Random(1).random)
    made: list[int] = []
    answered: list[int] = []
    for now in range(0, duration, STEP):
        for call in list(planner.open_calls):
            if call in planner.open_calls and agent.answers_at.get(call.number, duration) <= now:
                planner.record_response(call, 1, now)
                answered.append(now)
        while planner.next_call_at(now) <= now:
            agent.receive(planner.make_call(now).call)
            made.append(now)
            assert len(planner.open_calls) <= MAX_OPEN_CALLS
    return made, answered


def most_in_a_second(times: list[int]) -> int:
    return max(sum(at <= other < at + TENTHS_PER_SECOND for other in times) for at in times)


@settings(max_examples=60, deadline=None)
@given(latency=st.integers(0, 60 * TENTHS_PER_SECOND))
def test_agent_of_any_latency_is_heard_and_not_flooded(latency: int) -> None:
    # A call that is given up before its answer comes is never answered, however often it is repeated.
    made, answered = simulate(SimulatedAgent(latency), 3 * latency + 10 * TENTHS_PER_SECOND)
    assert answered
    assert answered[0] <= latency + STEP
    assert most_in_a_second(made) <= MOST_CALLS_PER_SECOND
    gaps = [later - earlier for earlier, later in pairwise(answered)]
    assert all(gap <= latency + 2 * TENTHS_PER_SECOND for gap in gaps)


@settings(max_examples=60, deadline=None)
@given(
    drops=st.booleans(),
    down_from=st.integers(0, 3 * TENTHS_PER_SECOND),
    lasts=st.integers(0, 60 * TENTHS_PER_SECOND),
)
def test_return_from_an_outage_of_any_length_is_seen(drops: bool, down_from: int, lasts: int) -> None:
    agent = SimulatedAgent(0, down_from, down_from + lasts, drops)
    made, answered = simulate(agent, agent.down_until + 6 * TENTHS_PER_SECOND)
    first = min(at for at in answered if at >= agent.down_until)
    if not drops:
        assert first <= agent.down_until + RETURN_SEEN_WITHIN + STEP
        return
    # A watch that an outage of less than a second has met is found out after its wait.
    noticed = max(agent.down_until, down_from + 15_000)
    assert first <= noticed + max(TENTHS_PER_SECOND, lasts // 10 + STEP) + STEP
    assert first <= noticed + KNOWN_WITHIN
    assert most_in_a_second(made) <= MOST_CALLS_PER_SECOND


@settings(max_examples=60, deadline=None)
@given(
    drops=st.booleans(),
    down_from=st.integers(0, 3 * TENTHS_PER_SECOND),
    lasts=st.integers(0, 600 * TENTHS_PER_SECOND),
)
def test_calls_made_in_an_outage_of_any_length_are_bounded(drops: bool, down_from: int, lasts: int) -> None:
    # Ten calls a second were made as long as an outage lasted; after it the agent had to work them off.
    agent = SimulatedAgent(0, down_from, down_from + lasts, drops)
    simulate(agent, agent.down_until)
    seconds = lasts / TENTHS_PER_SECOND
    assert agent.met <= CALLS_AT_ANY_OUTAGE + min(seconds, 10) + max(0, min(seconds, 40) - 10) + seconds / 3.5


def answer_watch(planner: DiscoveryCallPlanner, made_at: int, took: int) -> int:
    """Has a watch made and answered, its answer `took` after its wait; returns when that was."""
    watch = planner.make_call(made_at).call
    answered_at = made_at + watch.wait + took
    planner.record_response(watch, 1, answered_at)
    return answered_at


@pytest.mark.parametrize(
    ("took", "overdue_margin"),
    [
        ((0, 50_000), MIN_OVERDUE_MARGIN),  # the second one was held through an outage
        ((50_000, 0), MIN_OVERDUE_MARGIN),
        ((8_000, 8_000), 12_000),
        ((8_000, 16_000, 8_000), 12_000),
    ],
)
def test_an_outage_is_not_taken_for_the_slowness_of_the_agent(
    took: tuple[int, ...], overdue_margin: int
) -> None:
    # One call that an outage had met doubled the overdue margin of the watches after it.
    planner = DiscoveryCallPlanner(AGENT, Random(1).random)
    now = 0
    for each in took:
        now = answer_watch(planner, now, each)
    watch = planner.make_call(now).call
    overdue_at = watch.made_at + watch.wait + overdue_margin
    assert planner.state(overdue_at - 1) is DiscoveryState.WATCHING
    assert planner.state(overdue_at) is DiscoveryState.SUSPECT


def test_a_backup_watch_that_is_given_up_in_an_outage_is_not_made_again() -> None:
    # It was made again in the same moment, so that the agent had one more call to work off.
    planner = DiscoveryCallPlanner(AGENT, Random(1).random)
    planner.record_response(planner.make_call(0).call, 1, 0)
    made: list[DiscoveryCall] = []
    for now in range(0, 20 * TENTHS_PER_SECOND, STEP):
        while planner.next_call_at(now) <= now:
            made.append(planner.make_call(now).call)
    assert sum(call.after_version is not None for call in made) == 2


class OutOfOrderAnswers(RuleBasedStateMachine):
    """Answers in any order, each with the list as it was when its call was made; versions begin anew."""

    def __init__(self) -> None:
        super().__init__()
        self.planner = DiscoveryCallPlanner(AGENT, Random(1).random)
        self.now = 0
        self.version = 100
        self.contents: dict[int, tuple[int, int]] = {}  # version and when it was settled, by call
        self.applied_at = -1
        self.made: list[int] = []

    @rule(by=st.integers(0, 30_000))
    def time_passes(self, by: int) -> None:
        self.now += by

    @rule(anew=st.booleans())
    def list_changes(self, anew: bool) -> None:
        self.now += 1
        self.version = 1 if anew and self.version > 50 else self.version + 1

    @precondition(lambda self: self.planner.next_call_at(self.now) <= self.now)
    @rule()
    def call(self) -> None:
        call = self.planner.make_call(self.now).call
        self.contents[call.number] = self.version, self.now
        self.made.append(self.now)

    @precondition(lambda self: self.planner.open_calls)
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        call = data.draw(st.sampled_from(self.planner.open_calls))
        version, settled_at = self.contents[call.number]
        if call.after_version is not None and version < call.after_version:
            self.planner.record_failure(call, self.now)  # changes that begin before what was asked for
            return
        if (
            self.planner.record_response(call, version, self.now).is_usable
            and call.address == self.planner.address
        ):
            assert settled_at >= self.applied_at, "an older list has undone a newer one"
            self.applied_at = settled_at

    @precondition(lambda self: self.planner.open_calls)
    @rule(data=st.data())
    def fail(self, data: st.DataObject) -> None:
        self.planner.record_failure(data.draw(st.sampled_from(self.planner.open_calls)), self.now)

    @rule()
    def change_address(self) -> None:
        other = SECOND_AGENT if self.planner.address == AGENT else AGENT
        self.planner.change_address(other)
        self.now += 1
        self.applied_at = -1

    @invariant()
    def open_calls_are_bounded(self) -> None:
        assert len(self.planner.open_calls) <= MAX_OPEN_CALLS

    @invariant()
    def another_call_is_due_in_bounded_time(self) -> None:
        assert self.planner.next_call_at(self.now) <= self.now + 40_000


TestOutOfOrderAnswers = OutOfOrderAnswers.TestCase
