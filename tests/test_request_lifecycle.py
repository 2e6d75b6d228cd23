"""A request's lifecycle under random sequences of events, checked against a model of what really happened."""

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
    max_reservation_time,
)
from runspool.scheduling.types import (
    NOT_EXECUTED,
    AttemptStatus,
    DeduplicationScope,
    Idempotency,
    Role,
)

# Times are in tenths of a millisecond.
STATE_RELEASE_TIMEOUT = 3_000
START = 10_000
DEADLINE = 60_000
DEDUPLICATION_WINDOW = 20_000
MAX_ATTEMPTS = 5

PREFILL_ENGINE = AttemptTarget(1, Role.PREFILL, 0, 0)
DECODE_ENGINE = AttemptTarget(2, Role.DECODE, 0, 0)
DECODE_ENGINE_IN_OTHER_ZONE = AttemptTarget(3, Role.DECODE, 1, 1)

PREFILL_STATUSES = [
    AttemptStatus.PREFILL_COMPLETE,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.OVERLOADED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_SENT,
]
DECODE_STATUSES = [
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
SENT_BY_THE_ENGINE = {
    AttemptStatus.PREFILL_COMPLETE,
    AttemptStatus.OVERLOADED,
    AttemptStatus.STATE_MISSING,
    AttemptStatus.SUCCEEDED,
    AttemptStatus.SERVER_ERROR,
}
MAY_HAVE_COMPLETED_A_PREFILL = (
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.CANCELLED,
    AttemptStatus.SERVER_ERROR,
)


class LifecycleMachine(RuleBasedStateMachine):
    """A caller that does only what the lifecycle permits, and a model of what the engines may hold at worst.

    `executed_at` lists the engines at which an attempt with an effect may have been executed.
    `reserved_since` is the latest time at which a state may have been reserved, or None if no state can be.
    `release_calls` holds the return value of `release_started` for each release call in progress.
    """

    @initialize(
        idempotency=st.sampled_from(Idempotency), deduplication_scope=st.sampled_from(DeduplicationScope)
    )
    def start(self, idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> None:
        self.now = START
        policy = AttemptPolicy(
            idempotency, deduplication_scope, DEDUPLICATION_WINDOW, MAX_ATTEMPTS, STATE_RELEASE_TIMEOUT
        )
        self.lifecycle = RequestLifecycle(policy, deadline=DEADLINE)
        self.executed_at: list[AttemptTarget] = []
        self.reserved_since: int | None = None
        self.release_calls: list[int | None] = []

    @rule(duration=st.integers(1, 4_000))
    def time_passes(self, duration: int) -> None:
        due = self.lifecycle.release_due_at()
        if due is not None and self.lifecycle.release_is_due(max(due, self.now)):
            duration = min(duration, max(0, due - self.now))  # the caller's timer fires no later than this
        self.now += duration
        self.timer_fires()

    def timer_fires(self) -> None:
        if self.lifecycle.release_is_due(self.now):
            self.release_calls.append(self.lifecycle.release_started())

    @rule(engine=st.sampled_from([PREFILL_ENGINE, DECODE_ENGINE, DECODE_ENGINE_IN_OTHER_ZONE]))
    def attempt_starts(self, engine: AttemptTarget) -> None:
        if self.lifecycle.deny_attempt(self.now, engine) is None:
            self.lifecycle.attempt_started(self.now, engine)

    def attempt_in_progress(self) -> bool:
        return self.lifecycle.last_attempt is not None and self.lifecycle.last_attempt.in_progress

    @precondition(attempt_in_progress)
    @rule(deadline_age=st.integers(0, 2 * MAX_DEADLINE_AGE))
    def last_byte_is_sent(self, deadline_age: int) -> None:
        denial = self.lifecycle.deny_last_byte(self.now, self.now - deadline_age)
        is_too_late = self.now >= self.lifecycle.deadline
        if deadline_age > MAX_DEADLINE_AGE or is_too_late or self.lifecycle.answered:
            assert denial is not None
        if denial is None:
            self.lifecycle.attempt_written()

    @precondition(attempt_in_progress)
    @rule()
    def engine_sends_a_byte(self) -> None:
        self.lifecycle.engine_responded()

    @precondition(attempt_in_progress)
    @rule(draw=st.data())
    def attempt_ends(self, draw: st.DataObject) -> None:
        attempt = self.lifecycle.last_attempt
        assert attempt is not None
        status = draw.draw(st.sampled_from(PREFILL_STATUSES if attempt.is_prefill else DECODE_STATUSES))
        if status in SENT_BY_THE_ENGINE:
            self.lifecycle.engine_responded()
        if not attempt.is_prefill and status not in NOT_EXECUTED:
            self.executed_at.append(attempt.target)
        self._update_reservation(status, attempt.is_prefill, reached_engine=attempt.stage.name == "RECEIVED")
        self.lifecycle.attempt_ended(self.now, status)
        self.timer_fires()
        if status is AttemptStatus.SUCCEEDED:
            self.lifecycle.mark_answered()

    def _update_reservation(self, status: AttemptStatus, is_prefill: bool, reached_engine: bool) -> None:
        """Update what the engines may hold after an attempt has ended."""
        if status is AttemptStatus.PREFILL_COMPLETE:
            self.reserved_since = self.now
        elif is_prefill and status in MAY_HAVE_COMPLETED_A_PREFILL:
            if reached_engine or self.reserved_since is None:
                self.reserved_since = self.now
        elif status is AttemptStatus.STATE_MISSING:
            self.reserved_since = None
        elif reached_engine and self.reserved_since is not None and not is_prefill:
            self.reserved_since = self.now

    @rule()
    def release_call_is_confirmed(self) -> None:
        if self.release_calls:
            since = self.release_calls.pop()
            in_time = self.lifecycle.release_confirmed(self.now, since)
            assert in_time or self.now > (since or 0) + 2 * STATE_RELEASE_TIMEOUT
            if self.reserved_since is not None and (since is None or self.reserved_since <= since):
                self.reserved_since = None

    @precondition(lambda self: not self.lifecycle.answered)
    @rule(skip=st.integers(0, 9))
    def request_is_rejected(self, skip: int) -> None:
        """Run in one case of ten: it ends the request, and long lifecycles are to be tested."""
        if not skip and self.lifecycle.deny_rejection() is None:
            self.lifecycle.mark_answered()
            policy = self.lifecycle.policy
            is_keyed_everywhere = (
                policy.idempotency is Idempotency.KEYED
                and policy.deduplication_scope is DeduplicationScope.ALL
            )
            assert not self.executed_at or policy.idempotency is Idempotency.IDEMPOTENT or is_keyed_everywhere

    @rule(skip=st.integers(0, 9))
    def client_disconnects(self, skip: int) -> None:
        """Run in one case of ten, as it ends the request."""
        if skip:
            return
        self.lifecycle.mark_client_disconnected()
        assert self.lifecycle.deny_attempt(self.now, PREFILL_ENGINE) is not None

    @invariant()
    def no_effect_happens_twice(self) -> None:
        policy = self.lifecycle.policy
        if policy.idempotency is Idempotency.AT_MOST_ONCE:
            assert len(self.executed_at) <= 1
        is_keyed = policy.idempotency is Idempotency.KEYED
        if is_keyed and policy.deduplication_scope is not DeduplicationScope.ALL:
            assert len({target.zone for target in self.executed_at}) <= 1

    @invariant()
    def no_reserved_state_is_forgotten(self) -> None:
        """Check that the release is due in time or in progress, or that a received attempt uses the state."""
        if self.reserved_since is None:
            return
        attempt = self.lifecycle.last_attempt
        is_awaited = attempt is not None and attempt.stage.name == "RECEIVED"
        due = self.lifecycle.release_due_at()
        latest = self.reserved_since + STATE_RELEASE_TIMEOUT - RELEASE_MARGIN
        in_time = due is not None and self.now < due <= latest
        assert is_awaited or self.release_calls or in_time

    @invariant()
    def nothing_is_sent_after_the_final_response(self) -> None:
        if self.lifecycle.answered:
            assert self.lifecycle.deny_attempt(self.now, DECODE_ENGINE) is not None
            assert not self.lifecycle.mark_answered()


TestRequestLifecycle = LifecycleMachine.TestCase
TestRequestLifecycle.settings = settings(
    max_examples=1_000,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_decode_that_has_not_reached_its_engine_does_not_stop_the_release_timeout() -> None:
    lifecycle = RequestLifecycle(AttemptPolicy(state_release_timeout=STATE_RELEASE_TIMEOUT))
    lifecycle.attempt_started(0, PREFILL_ENGINE)
    lifecycle.engine_responded()
    lifecycle.attempt_ended(100, AttemptStatus.PREFILL_COMPLETE)
    lifecycle.attempt_started(101, DECODE_ENGINE)
    lifecycle.attempt_written()
    due = lifecycle.release_due_at()
    assert due == 100 + max_reservation_time(STATE_RELEASE_TIMEOUT, 0)
    assert lifecycle.release_is_due(due)
    assert not lifecycle.release_is_due(due - 1)
    lifecycle.engine_responded()
    assert not lifecycle.release_is_due(due)


def test_release_confirmed_too_late_is_reported() -> None:
    lifecycle = RequestLifecycle(AttemptPolicy(state_release_timeout=STATE_RELEASE_TIMEOUT))
    lifecycle.attempt_started(0, PREFILL_ENGINE)
    lifecycle.attempt_ended(100, AttemptStatus.PREFILL_COMPLETE)
    since = lifecycle.release_started()
    assert not lifecycle.release_confirmed(100 + 2 * STATE_RELEASE_TIMEOUT + 1, since)


def test_invariant_violations_are_counted_and_reported() -> None:
    reported: list[tuple[InvariantViolation, dict[str, object]]] = []
    monitor = InvariantMonitor(lambda violation, fields: reported.append((violation, fields)))
    monitor.record(
        InvariantViolation.ATTEMPT_NOT_ALLOWED, query="q1", reason=DenialReason.MAY_HAVE_EXECUTED.value
    )
    assert monitor.counts == {"attempt_not_allowed": 1} and reported[0][1]["query"] == "q1"


@pytest.mark.parametrize(
    "release_timeout, default, expected", [(3_000, 0, 2_850), (0, 10_000, 9_850), (100, 0, 50)]
)
def test_reservation_time_leaves_time_for_the_release_call(
    release_timeout: int, default: int, expected: int
) -> None:
    assert max_reservation_time(release_timeout, default) == expected


@pytest.mark.parametrize(
    ("stage", "can_resume", "process_ends", "denial"),
    [
        ("unanswered", True, False, DenialReason.UNANSWERED_AT_KILL),
        ("unanswered", False, False, DenialReason.UNANSWERED_AT_KILL),
        ("streaming", True, False, DenialReason.RESUMABLE_AT_KILL),
        ("streaming", False, False, None),
        ("streaming", False, True, DenialReason.PROCESS_ENDS),
        ("answered", True, False, None),
        ("answered", False, True, None),
    ],
)
def test_only_certain_requests_may_stay_open_when_the_process_may_be_killed(
    stage: str, can_resume: bool, process_ends: bool, denial: DenialReason | None
) -> None:
    lifecycle = RequestLifecycle(AttemptPolicy(stream_can_resume=can_resume))
    if stage == "streaming":
        lifecycle.stream_started()
    if stage == "answered":
        lifecycle.mark_answered()
    assert lifecycle.deny_staying_open(process_ends) is denial
