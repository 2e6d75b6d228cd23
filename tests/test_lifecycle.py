"""A request's life under all events in all orders, against a model that is told what really happened."""

from __future__ import annotations

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
import pytest

from runspool.decisions.interface import NEVER_RAN, Effect, Ending, Group, Role
from runspool.decisions.lifecycle import (
    DEADLINE_KEPT,
    HOLD_MARGIN,
    Allowance,
    Breach,
    Breaches,
    Lifecycle,
    Refusal,
    Target,
    hold_time,
)

WITHIN = 3_000
READER, WRITER = Target(1, Role.READER, 0, 0), Target(2, Role.WRITER, 0, 0)
FAR = Target(3, Role.WRITER, 1, 1)
READ_ENDINGS = [
    Ending.READ,
    Ending.OVERDUE,
    Ending.SEVERED,
    Ending.ERRORED,
    Ending.FULL,
    Ending.UNREACHABLE,
    Ending.RECALLED,
    Ending.VOID,
]
WRITE_ENDINGS = [
    Ending.SUCCEEDED,
    Ending.OVERDUE,
    Ending.SEVERED,
    Ending.ERRORED,
    Ending.FULL,
    Ending.STATELESS,
    Ending.UNREACHABLE,
    Ending.RECALLED,
    Ending.VOID,
]
HEARD = {Ending.READ, Ending.FULL, Ending.STATELESS, Ending.SUCCEEDED, Ending.ERRORED}  # an engine's own word


class Life(RuleBasedStateMachine):
    """The caller does only what is permitted; the model knows what the engines hold at worst."""

    @initialize(effect=st.sampled_from(Effect), group=st.sampled_from(Group))
    def begin(self, effect: Effect, group: Group) -> None:
        self.now = 10_000
        self.life = Lifecycle(Allowance(effect, group, 20_000, 5, WITHIN), limit=60_000)
        self.ran: list[Target] = []  # attempts with an effect that may have run
        self.held_since: int | None = None  # at worst, by the rules' own words
        self.calls: list[int | None] = []  # to let go, under way

    @rule(time=st.integers(1, 4_000))
    def time_passes(self, time: int) -> None:
        due = self.life.let_go_at()
        if due is not None and self.life.lets_go_now(max(due, self.now)):
            time = min(time, max(0, due - self.now))  # the caller has set a timer
        self.now += time
        self.timer_rings()

    def timer_rings(self) -> None:
        if self.life.lets_go_now(self.now):
            self.calls.append(self.life.release_begins())

    @rule(engine=st.sampled_from([READER, WRITER, FAR]))
    def attempt(self, engine: Target) -> None:
        if self.life.refuses_attempt(self.now, engine) is None:
            self.life.begins(self.now, engine)

    def out(self) -> bool:
        return self.life.attempt is not None and self.life.attempt.out

    @precondition(out)
    @rule(worded=st.integers(0, 2 * DEADLINE_KEPT))
    def last_byte(self, worded: int) -> None:
        refusal = self.life.refuses_last_byte(self.now, self.now - worded)
        if worded > DEADLINE_KEPT or self.now >= self.life.limit or self.life.answered:
            assert refusal is not None
        if refusal is None:
            self.life.written()

    @precondition(out)
    @rule()
    def engine_speaks(self) -> None:
        self.life.arrived()

    @precondition(out)
    @rule(draw=st.data())
    def attempt_ends(self, draw: st.DataObject) -> None:
        attempt = self.life.attempt
        assert attempt is not None
        ending = draw.draw(st.sampled_from(READ_ENDINGS if attempt.reads else WRITE_ENDINGS))
        if ending in HEARD:
            self.life.arrived()
        arrived = attempt.stage.name == "ARRIVED"
        if not attempt.reads and ending not in NEVER_RAN:
            self.ran.append(attempt.target)
        if ending is Ending.READ:
            self.held_since = self.now
        elif attempt.reads and ending in (Ending.OVERDUE, Ending.SEVERED, Ending.RECALLED, Ending.ERRORED):
            self.held_since = self.now if arrived or self.held_since is None else self.held_since
        elif ending is Ending.STATELESS:
            self.held_since = None
        elif arrived and self.held_since is not None and not attempt.reads:
            self.held_since = self.now
        self.life.ends(self.now, ending)
        self.timer_rings()
        if ending is Ending.SUCCEEDED:
            self.life.final()

    @rule()
    def call_confirmed(self) -> None:
        if self.calls:
            since = self.calls.pop()
            assert self.life.release_confirmed(self.now, since) or self.now > (since or 0) + 2 * WITHIN
            if self.held_since is not None and (since is None or self.held_since <= since):
                self.held_since = None

    @precondition(lambda self: not self.life.answered)
    @rule(really=st.integers(0, 9))
    def refuse(self, really: int) -> None:
        if not really and self.life.refuses_refusal() is None:
            self.life.final()
            effect, group = self.life.allowance.effect, self.life.allowance.group
            assert (
                not self.ran
                or effect is Effect.RERUNNABLE
                or (effect is Effect.TICKETED and group is Group.ALL)
            )

    @rule(really=st.integers(0, 9))
    def client_leaves(self, really: int) -> None:
        if really:
            return  # it ends the request: seldom enough for long lives to be seen
        self.life.client_leaves()
        assert self.life.refuses_attempt(self.now, READER) is not None

    @invariant()
    def no_effect_is_had_twice(self) -> None:
        effect, group = self.life.allowance.effect, self.life.allowance.group
        if effect is Effect.EXCLUSIVE:
            assert len(self.ran) <= 1
        if effect is Effect.TICKETED and group is not Group.ALL:
            assert len({target.zone for target in self.ran}) <= 1

    @invariant()
    def what_is_held_is_never_forgotten(self) -> None:
        """Its call is due in time, under way, or an attempt waits for it that has arrived."""
        if self.held_since is None:
            return
        life = self.life
        waits = life.attempt is not None and life.attempt.stage.name == "ARRIVED"
        due = life.let_go_at()
        in_time = due is not None and self.now < due <= self.held_since + WITHIN - HOLD_MARGIN
        assert waits or self.calls or in_time

    @invariant()
    def nothing_is_sent_after_the_answer(self) -> None:
        if self.life.answered:
            assert self.life.refuses_attempt(self.now, WRITER) is not None
            assert not self.life.final()


TestLife = Life.TestCase
TestLife.settings = settings(
    max_examples=1_000,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_write_that_has_not_arrived_does_not_stop_the_time() -> None:
    life = Lifecycle(Allowance(release_within=WITHIN))
    life.begins(0, READER)
    life.arrived()
    life.ends(100, Ending.READ)
    life.begins(101, WRITER)
    life.written()
    due = life.let_go_at()
    assert due == 100 + hold_time(WITHIN, 0) and life.lets_go_now(due) and not life.lets_go_now(due - 1)
    life.arrived()
    assert not life.lets_go_now(due)


def test_a_call_confirmed_too_late_is_told() -> None:
    life = Lifecycle(Allowance(release_within=WITHIN))
    life.begins(0, READER)
    life.ends(100, Ending.READ)
    since = life.release_begins()
    assert not life.release_confirmed(100 + 2 * WITHIN + 1, since)


def test_breaches_are_counted_and_told() -> None:
    told: list[tuple[Breach, dict[str, object]]] = []
    breaches = Breaches(lambda breach, seen: told.append((breach, seen)))
    breaches.count(Breach.SENT, query="q1", reason=Refusal.MAY_HAVE_RUN.value)
    assert breaches.counts == {"sent": 1} and told[0][1]["query"] == "q1"


@pytest.mark.parametrize("within, otherwise, expected", [(3_000, 0, 2_850), (0, 10_000, 9_850), (100, 0, 50)])
def test_the_time_to_hold_leaves_time_for_the_call(within: int, otherwise: int, expected: int) -> None:
    assert hold_time(within, otherwise) == expected
