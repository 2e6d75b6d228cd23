"""The planner of discovery calls against simulated agents of any latency, on a simulated clock."""

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
MAX_CALLS_PER_SECOND = 25  # in any one second
# Upper bound, in tenths of a millisecond, of the time from the end of an outage to the first answer, for an
# agent that then answers the calls that it received during the outage.
MAX_DETECTION_TIME = 1_000
# Upper bound, in tenths of a millisecond, of the time from the end of an outage to the first answer, for an
# agent that never answers the calls that it received during the outage.
MAX_DETECTION_TIME_IF_DROPPED = 6 * TENTHS_PER_SECOND
CALLS_AT_ANY_OUTAGE = 3  # calls open in an outage of any length: the watches and one more
STEP = 50  # of the simulated clock, in tenths of a millisecond


@dataclass
class SimulatedAgent:
    """An agent that answers each call `latency` after it arrives, a watch `latency` after its wait has ended.

    From `down_from` to `down_until` it is in an outage and answers nothing. As the list changes during the
    outage, calls that are open at its end are then answered at once, or never if the agent `drops` them.
    Times are in tenths of a millisecond.
    """

    latency: int
    down_from: int = 0
    down_until: int = 0
    drops: bool = False
    answers_at: dict[int, int] = field(default_factory=dict)
    calls_in_outage: int = 0  # calls that were open during the outage

    def receive(self, call: DiscoveryCall) -> None:
        """Determine when the call is answered, if at all."""
        at = call.made_at + call.wait + self.latency
        if call.made_at < self.down_until and at > self.down_from:
            self.calls_in_outage += 1
            if self.drops:
                return
            at = self.down_until + self.latency
        self.answers_at[call.number] = at


def simulate(agent: SimulatedAgent, duration: int) -> tuple[list[int], list[int]]:
    """Run a planner against the agent; return the times of its calls and of their answers."""
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


def max_in_a_second(times: list[int]) -> int:
    return max(sum(at <= other < at + TENTHS_PER_SECOND for other in times) for at in times)


@settings(max_examples=60, deadline=None)
@given(latency=st.integers(0, 60 * TENTHS_PER_SECOND))
def test_agent_of_any_latency_is_followed_without_too_many_calls(latency: int) -> None:
    # A planner that abandons calls sooner than the agent answers them would never receive an answer.
    made, answered = simulate(SimulatedAgent(latency), 3 * latency + 10 * TENTHS_PER_SECOND)
    assert answered
    assert answered[0] <= latency + STEP
    assert max_in_a_second(made) <= MAX_CALLS_PER_SECOND
    gaps = [later - earlier for earlier, later in pairwise(answered)]
    assert all(gap <= latency + 2 * TENTHS_PER_SECOND for gap in gaps)


@settings(max_examples=60, deadline=None)
@given(
    drops=st.booleans(),
    down_from=st.integers(0, 3 * TENTHS_PER_SECOND),
    length=st.integers(0, 60 * TENTHS_PER_SECOND),
)
def test_end_of_an_outage_of_any_length_is_detected(drops: bool, down_from: int, length: int) -> None:
    agent = SimulatedAgent(0, down_from, down_from + length, drops)
    made, answered = simulate(agent, agent.down_until + 6 * TENTHS_PER_SECOND)
    first = min(at for at in answered if at >= agent.down_until)
    if not drops:
        assert first <= agent.down_until + MAX_DETECTION_TIME + STEP
        return
    # The loss of a watch in an outage of less than a second is detected only after the wait of the watch.
    suspected_at = max(agent.down_until, down_from + 15_000)
    assert first <= suspected_at + max(TENTHS_PER_SECOND, length // 10 + STEP) + STEP
    assert first <= suspected_at + MAX_DETECTION_TIME_IF_DROPPED
    assert max_in_a_second(made) <= MAX_CALLS_PER_SECOND


@settings(max_examples=60, deadline=None)
@given(
    drops=st.booleans(),
    down_from=st.integers(0, 3 * TENTHS_PER_SECOND),
    length=st.integers(0, 600 * TENTHS_PER_SECOND),
)
def test_calls_made_in_an_outage_of_any_length_are_bounded(drops: bool, down_from: int, length: int) -> None:
    # The planner once made ten calls a second throughout an outage, which the agent had to process after it.
    agent = SimulatedAgent(0, down_from, down_from + length, drops)
    simulate(agent, agent.down_until)
    seconds = length / TENTHS_PER_SECOND
    assert (
        agent.calls_in_outage
        <= CALLS_AT_ANY_OUTAGE + min(seconds, 10) + max(0, min(seconds, 40) - 10) + seconds / 3.5
    )


def answer_watch(planner: DiscoveryCallPlanner, made_at: int, took: int) -> int:
    """Make a watch that is answered `took` after its wait; return the time of the answer."""
    watch = planner.make_call(made_at).call
    answered_at = made_at + watch.wait + took
    planner.record_response(watch, 1, answered_at)
    return answered_at


@pytest.mark.parametrize(
    ("took", "overdue_margin"),
    [
        ((0, 50_000), MIN_OVERDUE_MARGIN),  # the second watch was delayed by an outage
        ((50_000, 0), MIN_OVERDUE_MARGIN),
        ((8_000, 8_000), 12_000),
        ((8_000, 16_000, 8_000), 12_000),
    ],
)
def test_an_outage_does_not_raise_the_overdue_margin(took: tuple[int, ...], overdue_margin: int) -> None:
    # One call delayed by an outage once doubled the overdue margin of the watches after it.
    planner = DiscoveryCallPlanner(AGENT, Random(1).random)
    now = 0
    for each in took:
        now = answer_watch(planner, now, each)
    watch = planner.make_call(now).call
    overdue_at = watch.made_at + watch.wait + overdue_margin
    assert planner.state(overdue_at - 1) is DiscoveryState.WATCHING
    assert planner.state(overdue_at) is DiscoveryState.SUSPECT


def test_a_backup_watch_abandoned_in_an_outage_is_not_made_again() -> None:
    # It was once made again immediately, which left the agent one more call to process.
    planner = DiscoveryCallPlanner(AGENT, Random(1).random)
    planner.record_response(planner.make_call(0).call, 1, 0)
    made: list[DiscoveryCall] = []
    for now in range(0, 20 * TENTHS_PER_SECOND, STEP):
        while planner.next_call_at(now) <= now:
            made.append(planner.make_call(now).call)
    assert sum(call.after_version is not None for call in made) == 2


class OutOfOrderAnswers(RuleBasedStateMachine):
    """Answers in any order never undo a newer list with an older one.

    Each answer holds the list as it was when its call was made; versions may restart at 1.
    """

    def __init__(self) -> None:
        super().__init__()
        self.planner = DiscoveryCallPlanner(AGENT, Random(1).random)
        self.now = 0
        self.version = 100
        self.contents: dict[int, tuple[int, int]] = {}  # version and time of the list, by call number
        self.applied_at = -1
        self.made: list[int] = []

    @rule(by=st.integers(0, 30_000))
    def time_passes(self, by: int) -> None:
        self.now += by

    @rule(restarts=st.booleans())
    def list_changes(self, restarts: bool) -> None:
        self.now += 1
        self.version = 1 if restarts and self.version > 50 else self.version + 1

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
        version, listed_at = self.contents[call.number]
        if call.after_version is not None and version < call.after_version:
            # The versions have restarted, and the answer holds changes older than the version asked for.
            self.planner.record_failure(call, self.now)
            return
        if (
            self.planner.record_response(call, version, self.now).is_usable
            and call.address == self.planner.address
        ):
            assert listed_at >= self.applied_at, "an older list replaced a newer one"
            self.applied_at = listed_at

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
