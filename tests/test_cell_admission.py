"""Admission to cells: request budgets, overflow to the reserve cell, panic mode, poisonous requests."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from runspool.cells.admission_policy import (
    FINGERPRINT_TTL,
    MAX_FINGERPRINTS,
    Budget,
    BudgetDecision,
    OverflowPolicy,
    PoisonDetector,
    is_panicking,
)
from runspool.cells.cell_map import Overflow
from tests.cell_maps import cell_map_with


def test_overloaded_cell_does_not_use_up_the_guaranteed_budget_of_others() -> None:
    budget = Budget(100, {"a": 1, "b": 1, "c": 2})
    while budget.check("a") is BudgetDecision.ADMITTED:
        budget.acquire("a")
    assert budget.used["a"] == 100 - budget.guarantee("b") - budget.guarantee("c")
    assert budget.check("a") is BudgetDecision.CELL_FULL
    for cell in ("b", "c"):
        for _ in range(budget.guarantee(cell)):
            assert budget.check(cell) is BudgetDecision.ADMITTED
            budget.acquire(cell)
    assert budget.check("c") is BudgetDecision.FRONT_FULL
    budget.release("a", 40)
    assert budget.check("c") is BudgetDecision.ADMITTED


def overflow_policy(**fields: Any) -> OverflowPolicy:
    """Return the policy of two cells with a reserve cell; `fields` are set in the map's overflow section."""
    return OverflowPolicy(cell_map_with("a", "b", "r", reserve="r", overflow=Overflow(**fields)))


def test_overflow_of_a_rejecting_cell_grows_by_steps_and_stops_below_a_lower_threshold() -> None:
    policy, now = overflow_policy(), 0
    at_reserve = []
    for number in range(800):
        now += 100
        at_reserve.append(policy.use_reserve(now, "a", number % 20 / 20))
        policy.record_outcome(now, "a", not at_reserve[-1], at_reserve[-1])
    assert not any(at_reserve[:4])
    assert 0.4 < sum(at_reserve[-100:]) / 100 <= 0.5
    assert policy.state("a").overflow_share == 0.5  # the maximum share
    assert policy.state("b").overflow_share == 0.0
    for _ in range(1200):
        now += 100
        policy.record_outcome(now, "a", False, False)
    assert not policy.use_reserve(now, "a", 0.0)
    assert not policy.state("a").overflowing


def test_overflow_is_capped_and_halved_when_the_reserve_rejects_too() -> None:
    policy, now = overflow_policy(most_queries=3), 0
    for _ in range(100):
        now += 200
        policy.record_outcome(now, "a", True, False)
    share_before = policy.state("a").overflow_share
    assert [policy.use_reserve(now, "a", 0.0) for _ in range(5)] == [True, True, True, False, False]
    policy.record_outcome(now, "a", True, True)
    assert policy.state("a").overflow_share == share_before / 2
    assert policy.state("a").requests_at_reserve == 2
    assert not policy.use_reserve(now, "r", 0.0)


def test_few_rejections_or_few_requests_cause_no_overflow() -> None:
    policy = overflow_policy()
    for now in range(4):
        policy.record_outcome(now, "a", True, False)
    assert not policy.use_reserve(5, "a", 0.0)
    for number in range(200):
        policy.record_outcome(10 + number * 10, "b", number % 5 == 4, False)
    assert not policy.use_reserve(3_000, "b", 0.0)


def test_cell_is_in_panic_mode_when_most_of_its_engines_are_gone() -> None:
    cell_map = cell_map_with("a")
    assert not is_panicking(cell_map, 4, 4)
    assert not is_panicking(cell_map, 2, 4)
    assert is_panicking(cell_map, 1, 4)
    assert not is_panicking(cell_map, 0, 0)  # a cell without any engines is not in panic mode


def test_request_that_crashes_two_engines_is_poisonous() -> None:
    detector = PoisonDetector(2)
    assert not detector.record_loss(0, "q", 1)
    assert not detector.record_loss(1, "q", 1)  # losses of the same engine count once
    assert detector.record_loss(2, "q", 2)
    assert detector.is_poisonous(3, "q")
    assert not detector.is_poisonous(3, "other")
    detector.record_loss(4, "other", 1)
    detector.record_success("other")
    assert not detector.record_loss(5, "other", 2)
    assert not detector.is_poisonous(3 + FINGERPRINT_TTL, "q")
    for number in range(MAX_FINGERPRINTS + 5):
        detector.record_loss(number, f"f{number}", 1)
    assert len(detector.losses) == MAX_FINGERPRINTS


class AdmissionMachine(RuleBasedStateMachine):
    """Compare budgets and overflow with a simple model: no order of events exceeds a limit."""

    @initialize()
    def start(self) -> None:
        self.budget = Budget(30, {"a": 1, "b": 2, "r": 1})
        self.policy = overflow_policy(most_queries=4)
        self.now = 0
        self.admitted: list[tuple[str, str, bool]] = []  # home cell, cell, whether at the reserve

    @rule(cell=st.sampled_from("ab"), draw=st.floats(0, 0.999))
    def request_arrives(self, cell: str, draw: float) -> None:
        at_reserve = self.policy.use_reserve(self.now, cell, draw)
        admitting_cell = "r" if at_reserve else cell
        if self.budget.check(admitting_cell) is BudgetDecision.ADMITTED:
            self.budget.acquire(admitting_cell)
            self.admitted.append((cell, admitting_cell, at_reserve))
            return
        in_cell = sum(other == admitting_cell for _, other, _ in self.admitted)
        assert in_cell >= self.budget.guarantee(admitting_cell) or len(self.admitted) == 30
        self.policy.record_outcome(self.now, cell, True, at_reserve)

    @precondition(lambda self: self.admitted)
    @rule(number=st.integers(0, 1_000), is_rejected=st.booleans())
    def request_ends(self, number: int, is_rejected: bool) -> None:
        cell, admitting_cell, at_reserve = self.admitted.pop(number % len(self.admitted))
        self.budget.release(admitting_cell)
        self.policy.record_outcome(self.now, cell, is_rejected, at_reserve)

    @rule(duration=st.integers(1, 20_000))
    def time_passes(self, duration: int) -> None:
        self.now += duration

    @invariant()
    def bounds_hold(self) -> None:
        for cell in "ab":
            at_reserve_count = sum(home == cell and at_reserve for home, _, at_reserve in self.admitted)
            state = self.policy.state(cell)
            assert state.requests_at_reserve == at_reserve_count <= 4
            assert 0 <= state.overflow_share <= 0.5
            assert state.overflowing or state.overflow_share == 0.0
        assert sum(self.budget.used.values()) == len(self.admitted) <= 30


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(max_examples=80, stateful_step_count=60, deadline=None)
