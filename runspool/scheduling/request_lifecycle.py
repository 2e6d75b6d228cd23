"""Rules for when to attempt, repeat or reject a request, and when to release its reserved state.

All code that acts on a request asks this module, which also counts violations of the rules. It prevents one
class of faults: mistaking a local action for its effect on the engine. Bytes that were written have not
necessarily been received; closing a connection does not end the work on the engine; a release that was sent
is not confirmed. Therefore an attempt that was written counts as received only when its engine has responded,
and state that an engine may hold counts as reserved until an engine has confirmed its release.

Reserved state is the result of a prefill that an engine keeps for the decode, or may be keeping. It must be
released within `AttemptPolicy.state_release_timeout`. The module does no I/O.

Times are tenths of a millisecond on the process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import (
    NOT_EXECUTED,
    AttemptStatus,
    DeduplicationScope,
    Idempotency,
    Role,
)

# A release of reserved state is started this long before `AttemptPolicy.state_release_timeout` has passed, in
# tenths of a millisecond.
RELEASE_MARGIN = 150
# A release counts as in time if it is confirmed at most this long after `AttemptPolicy.state_release_timeout`
# has passed, in tenths of a millisecond; the platform tolerates it.
RELEASE_TOLERANCE = 3_000
# Maximum age, in tenths of a millisecond, of the deadline in an attempt's header when the attempt's last byte
# is sent.
MAX_DEADLINE_AGE = 1_000
# Time, in tenths of a millisecond, for which an attempt that may have executed may still have an effect. An
# engine that was given up may go on for as long as its longest answers take.
EFFECT_RETENTION = 6_000_000
# Statuses of attempts that have ended on this side, without any report from the engine that they have ended
# there; the engine may still run them.
ENDED_LOCALLY = frozenset({AttemptStatus.TIMED_OUT, AttemptStatus.CANCELLED, AttemptStatus.CONNECTION_LOST})
# Statuses after which a prefill may still have been computed.
PREFILL_MAY_HAVE_RUN = ENDED_LOCALLY | {AttemptStatus.SERVER_ERROR}


class AttemptStage(Enum):
    """The progress of an attempt, as far as it is known on this side."""

    STARTED = auto()  # connecting, or writing to the socket
    # The kernel has accepted all of the request; the engine may never receive it.
    WRITTEN = auto()
    RECEIVED = auto()  # the engine has responded with at least one byte
    ENDED = auto()  # ended on this side; the engine may still run it


class DenialReason(Enum):
    """Why an action is not allowed now; the value is the text for logs."""

    # Also returned while the response is being streamed.
    ALREADY_ANSWERED = "the request has its final response"
    CLIENT_DISCONNECTED = "its client has disconnected"
    DEADLINE_EXCEEDED = "its deadline has passed"
    ATTEMPT_IN_PROGRESS = "another attempt of it is in progress"
    MAX_ATTEMPTS_REACHED = "it has had all its attempts"
    MAY_HAVE_EXECUTED = "an earlier attempt may have executed, and must not be repeated"
    OUTSIDE_DEDUPLICATION_SCOPE = "an earlier attempt may have executed outside this deduplication scope"
    DEDUPLICATION_WINDOW_OVER = "the deduplication window is over"
    STALE_DEADLINE = "the deadline in its header is too old"
    UNANSWERED_AT_KILL = "it is unanswered, and the process may be killed"
    RESUMABLE_AT_KILL = "its stream can be resumed elsewhere, and the process may be killed"
    PROCESS_ENDS = "the process ends"


class InvariantViolation(Enum):
    """An invariant that this process violated, or that this module prevented it from violating."""

    # The scheduler requested an attempt that is not allowed.
    ATTEMPT_NOT_ALLOWED = "attempt_not_allowed"
    # A rejection would have claimed that the request was not executed, though it may have been.
    UNSAFE_REJECTION = "unsafe_rejection"
    ANSWERED_TWICE = "answered_twice"
    # Reserved state was not released in time.
    STATE_RELEASED_LATE = "state_released_late"
    # The scheduler did not migrate a stream before the time at which the process may be killed.
    STREAM_LEFT_OPEN = "stream_left_open"
    # A connection had to be closed before its response was complete, or the scheduler finished a request
    # without a final response.
    CLOSED_UNANSWERED = "closed_unanswered"


@dataclass(frozen=True, slots=True)
class AttemptPolicy:
    """The rules for a request that the settings define: its repeats, and the time limit on reserved state."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    max_attempts: int = 1_000
    # Time for which an engine may keep state for the request, in tenths of a millisecond; 0 if it is not
    # limited.
    state_release_timeout: int = 0
    # Whether the client requests the rest of a stream that ends without its last chunk.
    stream_can_resume: bool = False

    @classmethod
    def for_class(cls, settings: RoutingSettings, request_class: int) -> AttemptPolicy:
        """Return the policy of a request class, given by its index in the settings."""
        class_settings = settings.request_classes[request_class]
        return cls(
            class_settings.idempotency,
            class_settings.deduplication_scope,
            class_settings.deduplication_window,
            settings.max_attempts,
            settings.state_release_timeout,
            settings.streams_can_resume,
        )


def max_reservation_time(release_timeout: int, default_timeout: int) -> int:
    """Return how long state may stay reserved before its release has to start, in tenths of a millisecond.

    `default_timeout` is the time limit where `release_timeout` is 0. A margin is subtracted from either, so
    that the release can be confirmed in time.
    """
    allowed = release_timeout or default_timeout
    return allowed - min(RELEASE_MARGIN, allowed // 2)


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """The engine of an attempt, with what the rules need to know about it."""

    engine: int
    role: Role
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class Attempt:
    """One attempt of a request on one engine."""

    number: int
    target: AttemptTarget
    started_at: int
    stage: AttemptStage = AttemptStage.STARTED

    @property
    def is_prefill(self) -> bool:
        """Whether the attempt only computes the prompt's state, which has no effect beyond the engine."""
        return self.target.role is Role.PREFILL

    @property
    def in_progress(self) -> bool:
        """Whether the attempt has not yet ended on this side."""
        return self.stage is not AttemptStage.ENDED


@dataclass(slots=True)
class RequestLifecycle:
    """One request, from its acceptance until the last state reserved for it has been released."""

    policy: AttemptPolicy = AttemptPolicy()
    deadline: int = 1 << 62  # the time at which its client stops waiting
    attempt_count: int = 0
    last_attempt: Attempt | None = None
    answered: bool = False
    client_disconnected: bool = False
    streaming: bool = False
    # The first decode attempt that may have been executed.
    possibly_executed: Attempt | None = None
    # Time from which the limit on reserved state is counted; None if no engine is known to reserve any. While
    # a decode attempt is on its engine, the limit does not apply; it is counted anew from the attempt's end.
    reserved_since: int | None = None
    release_in_progress: bool = False
    # Whether a release was started while the last attempt was in progress.
    released_during_attempt: bool = False
    # Whether an attempt that ended on this side may still run, and reserve state, on its engine.
    may_still_run_on_engine: bool = False

    # Decisions

    def deny_attempt(self, now: int, target: AttemptTarget) -> DenialReason | None:
        """Return why an attempt may not be started on an engine now, or None if it may."""
        if self.answered or self.streaming:
            return DenialReason.ALREADY_ANSWERED
        if self.client_disconnected:
            return DenialReason.CLIENT_DISCONNECTED
        if self.last_attempt is not None and self.last_attempt.in_progress:
            return DenialReason.ATTEMPT_IN_PROGRESS
        if self.attempt_count >= self.policy.max_attempts:
            return DenialReason.MAX_ATTEMPTS_REACHED
        return self._deny_repeat(now, target)

    def deny_last_byte(self, now: int, encoded_at: int) -> DenialReason | None:
        """Return why an attempt's last byte may not be sent now, or None if it may.

        `encoded_at` is when the deadline in the attempt's header was computed.
        """
        if self.client_disconnected:
            return DenialReason.CLIENT_DISCONNECTED
        if self.answered:
            return DenialReason.ALREADY_ANSWERED
        if now >= self.deadline:
            return DenialReason.DEADLINE_EXCEEDED
        if now - encoded_at > MAX_DEADLINE_AGE:
            return DenialReason.STALE_DEADLINE
        return None

    def deny_rejection(self) -> DenialReason | None:
        """Return why the client may not be told that a retry is safe, or None if it may."""
        policy = self.policy
        if self.possibly_executed is None or policy.idempotency is Idempotency.IDEMPOTENT:
            return None
        if policy.idempotency is Idempotency.KEYED and policy.deduplication_scope is DeduplicationScope.ALL:
            return None
        return DenialReason.MAY_HAVE_EXECUTED

    def deny_staying_open(self, process_ends: bool) -> DenialReason | None:
        """Return why a request must end now that the process may be killed, or None if it may stay open.

        `process_ends` says that the process is about to exit by itself. Until then a stream that cannot be
        resumed may stay open, because its client would lose what the engine still sends.
        """
        if self.answered:
            return None
        if process_ends:
            return DenialReason.PROCESS_ENDS
        if not self.streaming:
            return DenialReason.UNANSWERED_AT_KILL
        return DenialReason.RESUMABLE_AT_KILL if self.policy.stream_can_resume else None

    def effect_known_until(self, now: int) -> int | None:
        """Return the time until which the request's id must not be executed again, if it ends now.

        None means that the id may come again: nothing was executed, or a repeat does no harm.
        """
        if self.policy.idempotency is Idempotency.IDEMPOTENT:
            return None
        attempt = self.last_attempt
        may_execute = attempt is not None and attempt.in_progress and not attempt.is_prefill
        if self.possibly_executed is None and not may_execute:
            return None
        return now + max(EFFECT_RETENTION, self.policy.deduplication_window)

    def release_due_at(self) -> int | None:
        """Return the latest time at which the release of the reserved state has to start.

        None means that nothing is reserved, that a release is in progress, or that there is no time limit.
        The time does not account for an attempt in progress, which may suspend the limit (see
        release_is_due()).
        """
        if self.reserved_since is None or self.release_in_progress or not self.policy.state_release_timeout:
            return None
        return self.reserved_since + max_reservation_time(self.policy.state_release_timeout, 0)

    def release_is_due(self, now: int) -> bool:
        """Return whether the release of the reserved state has to start now.

        This may be so while an attempt is in progress, except if its engine has responded: the engine then
        keeps the state for the attempt, which suspends the time limit.
        """
        due_at = self.release_due_at()
        return due_at is not None and due_at <= now and not self._has_engine_responded()

    # Events

    def attempt_started(self, now: int, target: AttemptTarget) -> Attempt:
        """Record the start of an attempt, which is allowed only if `deny_attempt` returns None."""
        self.attempt_count += 1
        self.released_during_attempt = False
        self.last_attempt = Attempt(self.attempt_count, target, now)
        return self.last_attempt

    def attempt_written(self) -> None:
        """Record that the kernel has accepted the attempt's last byte."""
        if self.last_attempt is not None and self.last_attempt.stage is AttemptStage.STARTED:
            self.last_attempt.stage = AttemptStage.WRITTEN

    def engine_responded(self) -> None:
        """Record that the engine has responded to the attempt in progress."""
        if self.last_attempt is not None and self.last_attempt.in_progress:
            self.last_attempt.stage = AttemptStage.RECEIVED

    def stream_started(self) -> None:
        """Record the first event of a stream: the engine has taken over the reserved state."""
        self.streaming = True
        self.reserved_since = None

    def attempt_ended(self, now: int, status: AttemptStatus) -> None:
        """Record that the attempt in progress has ended on this side."""
        attempt = self.last_attempt
        if attempt is None or not attempt.in_progress:
            return
        received = attempt.stage is AttemptStage.RECEIVED
        attempt.stage = AttemptStage.ENDED
        if attempt.is_prefill:
            self._prefill_ended(now, status, received)
        else:
            self._decode_ended(now, status, received, attempt)

    def release_started(self) -> int | None:
        """Record that a release of all reserved state has started.

        Return the time since which it has been reserved, to be passed to `release_confirmed`.
        """
        self.release_in_progress = True
        if self.last_attempt is not None and self.last_attempt.in_progress:
            self.released_during_attempt = True
        return self.reserved_since

    def release_confirmed(self, now: int, since: int | None) -> bool:
        """Record an engine's confirmation that it released the state reserved since `since`.

        Return False if the release was too late.
        """
        in_time = since is None or self._released_in_time(now, since)
        if self.reserved_since == since:
            self.reserved_since, self.release_in_progress = None, False
        return in_time

    def mark_answered(self) -> bool:
        """Record the final response; return False if the request already had one."""
        if self.answered:
            return False
        self.answered = True
        return True

    def mark_client_disconnected(self) -> None:
        """Record that the client has closed its connection."""
        self.client_disconnected = True

    # Helpers

    def _decode_ended(self, now: int, status: AttemptStatus, received: bool, attempt: Attempt) -> None:
        if status not in NOT_EXECUTED and self.possibly_executed is None:
            self.possibly_executed = attempt
        # A release that was started during the attempt may have reached the engine while the attempt was
        # still waiting there. The engine then keeps the state for the attempt, so even after a release the
        # attempt counts as having used state.
        used_state = self.released_during_attempt or self.reserved_since is not None
        if used_state and status in ENDED_LOCALLY:
            self.may_still_run_on_engine = True
        if status is AttemptStatus.STATE_MISSING:
            self.reserved_since = None
        elif self.released_during_attempt or (received and self.reserved_since is not None):
            # While the attempt was on its engine, the time limit did not run. A release that found the
            # attempt there did not free the state that the attempt waited for. That state is reserved from
            # now on and has to be released again.
            self._reserve(now)

    def _prefill_ended(self, now: int, status: AttemptStatus, received: bool) -> None:
        if status is AttemptStatus.PREFILL_COMPLETE:
            self._reserve(now)
        elif status in PREFILL_MAY_HAVE_RUN:
            if received or self.reserved_since is None:
                self._reserve(now)
            # The engine may complete the prefill after this side closed the connection.
            if not received:
                self.may_still_run_on_engine = True

    def _reserve(self, now: int) -> None:
        """Record that an engine may reserve state from now on.

        A release in progress no longer counts, because the engine may have executed it before.
        """
        self.reserved_since = now
        self.release_in_progress = False

    def _has_engine_responded(self) -> bool:
        return self.last_attempt is not None and self.last_attempt.stage is AttemptStage.RECEIVED

    def _released_in_time(self, now: int, since: int) -> bool:
        timeout = self.policy.state_release_timeout
        return not timeout or self._has_engine_responded() or now <= since + timeout + RELEASE_TOLERANCE

    def _deny_repeat(self, now: int, target: AttemptTarget) -> DenialReason | None:
        first, policy = self.possibly_executed, self.policy
        if first is None or target.role is Role.PREFILL or policy.idempotency is Idempotency.IDEMPOTENT:
            return None
        if policy.idempotency is Idempotency.AT_MOST_ONCE:
            return DenialReason.MAY_HAVE_EXECUTED
        if now >= first.started_at + policy.deduplication_window:
            return DenialReason.DEDUPLICATION_WINDOW_OVER
        scope = policy.deduplication_scope
        other_zone = scope is not DeduplicationScope.ALL and target.zone != first.target.zone
        other_rack = scope is DeduplicationScope.RACK and target.rack != first.target.rack
        return DenialReason.OUTSIDE_DEDUPLICATION_SCOPE if other_zone or other_rack else None


@dataclass(slots=True)
class InvariantMonitor:
    """Counter of violations; it passes each violation and its details to `report`, which must not raise."""

    report: Callable[[InvariantViolation, dict[str, object]], None]
    counts: Counter[str] = field(default_factory=Counter)

    def record(self, violation: InvariantViolation, **details: object) -> None:
        """Count a violation and report it with details such as the request's id, the engine or the reason."""
        self.counts[violation.value] += 1
        self.report(violation, details)
