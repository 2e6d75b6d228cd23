"""A request's life under all events in all orders, against a model that is told what really happened."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from runspool.scheduling.request_lifecycle import (
    MAX_DEADLINE_AGE,
    RELEASE_MARGIN,
    AttemptPolicy,
    AttemptTarget,
    DenialReason,
    InvariantMonitor,
    InvariantViolation,
    RequestLifecycle,
    reservation_time,
)
from runspool.scheduling.types import (
    NOT_EXECUTED,
    AttemptStatus,
    DeduplicationScope,
    Idempotency,
    Role,
)

WITHIN = 3_000
READER, WRITER = AttemptTarget(1, Role.PREFILL, 0, 0), AttemptTarget(2, Role.DECODE, 0, 0)
FAR = AttemptTarget(3, Role.DECODE, 1, 1)
READ_ENDINGS = [
    AttemptStatus.PREFILL_COMPLETE,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.OVERLOADED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_SENT,
]
WRITE_ENDINGS = [
    AttemptStatus.SUCCEEDED,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.OVERLOADED,
    AttemptStatus.STATE_MISSING,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_SENT,
]
HEARD = {
    AttemptStatus.PREFILL_COMPLETE,
    AttemptStatus.OVERLOADED,
    AttemptStatus.STATE_MISSING,
    AttemptStatus.SUCCEEDED,
    AttemptStatus.SERVER_ERROR,
}  # an engine's own word


class Life(RuleBasedStateMachine):
    """The caller does only what is permitted; the model knows what the engines hold at worst."""

    @initialize(effect=st.sampled_from(Idempotency), group=st.sampled_from(DeduplicationScope))
    def begin(self, effect: Idempotency, group: DeduplicationScope) -> None:
        self.now = 10_000
        self.life = RequestLifecycle(AttemptPolicy(effect, group, 20_000, 5, WITHIN), deadline=60_000)
        self.ran: list[AttemptTarget] = []  # attempts with an effect that may have run
        self.held_since: int | None = None  # at worst, by the rules' own words
        self.calls: list[int | None] = []  # to let go, under way

    @rule(time=st.integers(1, 4_000))
    def time_passes(self, time: int) -> None:
        due = self.life.release_due_at()
        if due is not None and self.life.release_is_due(max(due, self.now)):
            time = min(time, max(0, due - self.now))  # the caller has set a timer
        self.now += time
        self.timer_rings()

    def timer_rings(self) -> None:
        if self.life.release_is_due(self.now):
            self.calls.append(self.life.release_started())

    @rule(engine=st.sampled_from([READER, WRITER, FAR]))
    def attempt(self, engine: AttemptTarget) -> None:
        if self.life.deny_attempt(self.now, engine) is None:
            self.life.attempt_started(self.now, engine)

    def out(self) -> bool:
        return self.life.last_attempt is not None and self.life.last_attempt.in_progress

    @precondition(out)
    @rule(worded=st.integers(0, 2 * MAX_DEADLINE_AGE))
    def last_byte(self, worded: int) -> None:
        refusal = self.life.deny_last_byte(self.now, self.now - worded)
        if worded > MAX_DEADLINE_AGE or self.now >= self.life.deadline or self.life.answered:
            assert refusal is not None
        if refusal is None:
            self.life.attempt_written()

    @precondition(out)
    @rule()
    def engine_speaks(self) -> None:
        self.life.attempt_received()

    @precondition(out)
    @rule(draw=st.data())
    def attempt_ends(self, draw: st.DataObject) -> None:
        attempt = self.life.last_attempt
        assert attempt is not None
        ending = draw.draw(st.sampled_from(READ_ENDINGS if attempt.is_prefill else WRITE_ENDINGS))
        if ending in HEARD:
            self.life.attempt_received()
        arrived = attempt.stage.name == "RECEIVED"
        if not attempt.is_prefill and ending not in NOT_EXECUTED:
            self.ran.append(attempt.target)
        if ending is AttemptStatus.PREFILL_COMPLETE:
            self.held_since = self.now
        elif attempt.is_prefill and ending in (
            AttemptStatus.TIMED_OUT,
            AttemptStatus.CONNECTION_LOST,
            AttemptStatus.CANCELLED,
            AttemptStatus.SERVER_ERROR,
        ):
            self.held_since = self.now if arrived or self.held_since is None else self.held_since
        elif ending is AttemptStatus.STATE_MISSING:
            self.held_since = None
        elif arrived and self.held_since is not None and not attempt.is_prefill:
            self.held_since = self.now
        self.life.attempt_ended(self.now, ending)
        self.timer_rings()
        if ending is AttemptStatus.SUCCEEDED:
            self.life.mark_answered()

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
        if not really and self.life.deny_rejection() is None:
            self.life.mark_answered()
            effect, group = self.life.policy.idempotency, self.life.policy.deduplication_scope
            assert (
                not self.ran
                or effect is Idempotency.IDEMPOTENT
                or (effect is Idempotency.KEYED and group is DeduplicationScope.ALL)
            )

    @rule(really=st.integers(0, 9))
    def client_leaves(self, really: int) -> None:
        if really:
            return  # it ends the request: seldom enough for long lives to be seen
        self.life.mark_client_disconnected()
        assert self.life.deny_attempt(self.now, READER) is not None

    @invariant()
    def no_effect_is_had_twice(self) -> None:
        effect, group = self.life.policy.idempotency, self.life.policy.deduplication_scope
        if effect is Idempotency.AT_MOST_ONCE:
            assert len(self.ran) <= 1
        if effect is Idempotency.KEYED and group is not DeduplicationScope.ALL:
            assert len({target.zone for target in self.ran}) <= 1

    @invariant()
    def what_is_held_is_never_forgotten(self) -> None:
        """Its call is due in time, under way, or an attempt waits for it that has arrived."""
        if self.held_since is None:
            return
        life = self.life
        waits = life.last_attempt is not None and life.last_attempt.stage.name == "RECEIVED"
        due = life.release_due_at()
        in_time = due is not None and self.now < due <= self.held_since + WITHIN - RELEASE_MARGIN
        assert waits or self.calls or in_time

    @invariant()
    def nothing_is_sent_after_the_answer(self) -> None:
        if self.life.answered:
            assert self.life.deny_attempt(self.now, WRITER) is not None
            assert not self.life.mark_answered()


TestLife = Life.TestCase
TestLife.settings = settings(
    max_examples=1_000,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_write_that_has_not_arrived_does_not_stop_the_time() -> None:
    life = RequestLifecycle(AttemptPolicy(state_release_timeout=WITHIN))
    life.attempt_started(0, READER)
    life.attempt_received()
    life.attempt_ended(100, AttemptStatus.PREFILL_COMPLETE)
    life.attempt_started(101, WRITER)
    life.attempt_written()
    due = life.release_due_at()
    assert (
        due == 100 + reservation_time(WITHIN, 0)
        and life.release_is_due(due)
        and not life.release_is_due(due - 1)
    )
    life.attempt_received()
    assert not life.release_is_due(due)


def test_a_call_confirmed_too_late_is_told() -> None:
    life = RequestLifecycle(AttemptPolicy(state_release_timeout=WITHIN))
    life.attempt_started(0, READER)
    life.attempt_ended(100, AttemptStatus.PREFILL_COMPLETE)
    since = life.release_started()
    assert not life.release_confirmed(100 + 2 * WITHIN + 1, since)


def test_breaches_are_counted_and_told() -> None:
    told: list[tuple[InvariantViolation, dict[str, object]]] = []
    breaches = InvariantMonitor(lambda breach, seen: told.append((breach, seen)))
    breaches.record(
        InvariantViolation.ATTEMPT_NOT_ALLOWED, query="q1", reason=DenialReason.MAY_HAVE_EXECUTED.value
    )
    assert breaches.counts == {"attempt_not_allowed": 1} and told[0][1]["query"] == "q1"


@pytest.mark.parametrize("within, otherwise, expected", [(3_000, 0, 2_850), (0, 10_000, 9_850), (100, 0, 50)])
def test_the_time_to_hold_leaves_time_for_the_call(within: int, otherwise: int, expected: int) -> None:
    assert reservation_time(within, otherwise) == expected
