"""What may be done for a request now: attempted, repeated, rejected, released. Free of I/O.

This module alone answers that, for every path through the program, and counts violations. It guards
against one class of fault: taking what was done locally for what has happened at the engine. What was written
has not been received, a connection closed here has not ended work there, a sent release is not
confirmed. So an attempt's stage advances only by what its engine has said, and state that it may reserve
is owed a release until some engine has confirmed one.

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

RELEASE_MARGIN = 150  # before the time by which reserved state must have been released
RELEASE_TOLERANCE = 3_000  # that the platform allows beyond the settings' release timeout
MAX_DEADLINE_AGE = 1_000  # of the deadline in an attempt's header when its last byte is sent
ENDED_LOCALLY = frozenset(
    {AttemptStatus.TIMED_OUT, AttemptStatus.CANCELLED, AttemptStatus.CONNECTION_LOST}
)  # by this front: the engine may go on
PREFILL_MAY_HAVE_RUN = ENDED_LOCALLY | {AttemptStatus.SERVER_ERROR}


class AttemptStage(Enum):
    """How far an attempt has come, by what is known of its engine."""

    STARTED = auto()  # connecting, or handing bytes to the kernel
    WRITTEN = auto()  # the kernel has all of it; the engine may never get it
    RECEIVED = auto()  # the engine has responded with at least one byte
    ENDED = auto()


class DenialReason(Enum):
    """Why something may not be done now; the value is the reason for logs."""

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
    """An invariant that this process violated, or that this module kept it from violating."""

    ATTEMPT_NOT_ALLOWED = "attempt_not_allowed"  # the scheduler asked for an attempt that may not start
    UNSAFE_REJECTION = "unsafe_rejection"  # a rejection would have promised that nothing was executed
    ANSWERED_TWICE = "answered_twice"
    STATE_RELEASED_LATE = "state_released_late"  # reserved state was not released in time
    STREAM_LEFT_OPEN = "stream_left_open"  # decisions did not move a stream before the process may be killed
    CLOSED_UNANSWERED = (
        "closed_unanswered"  # a request was read, and its connection closed without a response
    )


@dataclass(frozen=True, slots=True)
class AttemptPolicy:
    """What the settings allow a request: how it may be repeated, and when its state must be released."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    max_attempts: int = 1_000
    state_release_timeout: int = 0  # 0: no timeout is set
    stream_can_resume: bool = (
        False  # its client asks for the rest of a stream that ends without its last chunk
    )

    @classmethod
    def for_class(cls, settings: RoutingSettings, request_class: int) -> AttemptPolicy:
        """The policy of a class of requests, by its index in the settings."""
        row = settings.request_classes[request_class]
        return cls(
            row.idempotency,
            row.deduplication_scope,
            row.deduplication_window,
            settings.max_attempts,
            settings.state_release_timeout,
            settings.streams_can_resume,
        )


def reservation_time(release_timeout: int, otherwise: int) -> int:
    """How long state may stay reserved before its release starts; `otherwise` where no timeout is set."""
    allowed = release_timeout or otherwise
    return allowed - min(RELEASE_MARGIN, allowed // 2)


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """An engine as an attempt sees it."""

    engine: int
    role: Role
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class Attempt:
    """One attempt at one engine."""

    number: int
    target: AttemptTarget
    started_at: int
    stage: AttemptStage = AttemptStage.STARTED

    @property
    def is_prefill(self) -> bool:
        """Whether it only reads the prompt, which has no effect."""
        return self.target.role is Role.PREFILL

    @property
    def in_progress(self) -> bool:
        """Whether it has not ended here yet."""
        return self.stage is not AttemptStage.ENDED


@dataclass(slots=True)
class RequestLifecycle:
    """One request, from its acceptance to the release of the last state that is reserved for it."""

    policy: AttemptPolicy = AttemptPolicy()
    deadline: int = 1 << 62  # when its client stops waiting
    attempt_count: int = 0
    last_attempt: Attempt | None = None
    answered: bool = False
    client_disconnected: bool = False
    streaming: bool = False
    possibly_executed: Attempt | None = None  # the first decode attempt that may have had its effect
    reserved_since: int | None = None  # since when an engine may reserve state that no attempt uses
    release_in_progress: bool = False
    released_during_attempt: bool = False  # a release was started while the last attempt was in progress
    remote_end_unknown: bool = False  # an attempt that ended here may go on, and reserve state, at its engine

    # What may be done.

    def deny_attempt(self, now: int, target: AttemptTarget) -> DenialReason | None:
        """Returns why an attempt may not start at an engine now; None where it may."""
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
        """Returns why the attempt's last byte may not be sent now; None where it may.

        `encoded_at` is when the deadline in its header was computed.
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
        """Returns why the client may not be told that a retry is harmless; None where it may."""
        policy = self.policy
        if self.possibly_executed is None or policy.idempotency is Idempotency.IDEMPOTENT:
            return None
        if policy.idempotency is Idempotency.KEYED and policy.deduplication_scope is DeduplicationScope.ALL:
            return None
        return DenialReason.MAY_HAVE_EXECUTED

    def deny_staying_open(self, process_ends: bool) -> DenialReason | None:
        """Returns why the request may not stay open, now that the process may be killed; None where it may.

        With `process_ends` the process is about to end by itself. A stream that cannot be resumed may stay
        until then: to end it would lose what its engine still sends.
        """
        if self.answered:
            return None
        if process_ends:
            return DenialReason.PROCESS_ENDS
        if not self.streaming:
            return DenialReason.UNANSWERED_AT_KILL
        return DenialReason.RESUMABLE_AT_KILL if self.policy.stream_can_resume else None

    def release_due_at(self) -> int | None:
        """Returns when the release has to start, unless an engine receives an attempt first.

        None where nothing is reserved, a release is in progress, or no timeout is set.
        """
        if self.reserved_since is None or self.release_in_progress or not self.policy.state_release_timeout:
            return None
        return self.reserved_since + reservation_time(self.policy.state_release_timeout, 0)

    def release_is_due(self, now: int) -> bool:
        """Whether the release has to start now, though an attempt may be in progress."""
        due_at = self.release_due_at()
        return due_at is not None and due_at <= now and not self._attempt_received()

    # What has happened.

    def attempt_started(self, now: int, target: AttemptTarget) -> Attempt:
        """An attempt starts; allowed only where `deny_attempt` returns None."""
        self.attempt_count += 1
        self.released_during_attempt = False
        self.last_attempt = Attempt(self.attempt_count, target, now)
        return self.last_attempt

    def attempt_written(self) -> None:
        """The kernel has taken the last byte."""
        if self.last_attempt is not None and self.last_attempt.stage is AttemptStage.STARTED:
            self.last_attempt.stage = AttemptStage.WRITTEN

    def attempt_received(self) -> None:
        """The engine has responded to the attempt that is in progress."""
        if self.last_attempt is not None and self.last_attempt.in_progress:
            self.last_attempt.stage = AttemptStage.RECEIVED

    def stream_started(self) -> None:
        """The first event has come: the reserved state has been taken up."""
        self.streaming = True
        self.reserved_since = None

    def attempt_ended(self, now: int, status: AttemptStatus) -> None:
        """The attempt that was in progress has ended here."""
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
        """A release of all that is reserved has started.

        Returns since when it has been reserved, to be passed to `release_confirmed`.
        """
        self.release_in_progress = True
        if self.last_attempt is not None and self.last_attempt.in_progress:
            self.released_during_attempt = True
        return self.reserved_since

    def release_confirmed(self, now: int, since: int | None) -> bool:
        """An engine has confirmed the release of what was reserved `since`; returns False if too late."""
        in_time = since is None or self._released_in_time(now, since)
        if self.reserved_since == since:
            self.reserved_since, self.release_in_progress = None, False
        return in_time

    def mark_answered(self) -> bool:
        """The final response is given; returns False where there already was one."""
        if self.answered:
            return False
        self.answered = True
        return True

    def mark_client_disconnected(self) -> None:
        """The client has closed its connection."""
        self.client_disconnected = True

    # Helpers.

    def _decode_ended(self, now: int, status: AttemptStatus, received: bool, attempt: Attempt) -> None:
        if status not in NOT_EXECUTED and self.possibly_executed is None:
            self.possibly_executed = attempt
        # A release that reaches the engine before the close of this attempt's connection finds the attempt
        # waiting there.
        used_state = self.released_during_attempt or self.reserved_since is not None
        if used_state and status in ENDED_LOCALLY:
            self.remote_end_unknown = True
        if status is AttemptStatus.STATE_MISSING:
            self.reserved_since = None
        elif self.released_during_attempt or (received and self.reserved_since is not None):
            # While the attempt was at its engine the time did not run. A release that found it there left the
            # state that it waited for: reserved from now on, and to be released again.
            self._reserve(now)

    def _prefill_ended(self, now: int, status: AttemptStatus, received: bool) -> None:
        if status is AttemptStatus.PREFILL_COMPLETE:
            self._reserve(now)
        elif status in PREFILL_MAY_HAVE_RUN:
            if received or self.reserved_since is None:
                self._reserve(now)
            # The engine may complete the prefill after the connection was closed here.
            if not received:
                self.remote_end_unknown = True

    def _reserve(self, now: int) -> None:
        """State may be reserved from now on; a release in progress may have come before it."""
        self.reserved_since = now
        self.release_in_progress = False

    def _attempt_received(self) -> bool:
        return self.last_attempt is not None and self.last_attempt.stage is AttemptStage.RECEIVED

    def _released_in_time(self, now: int, since: int) -> bool:
        timeout = self.policy.state_release_timeout
        return not timeout or self._attempt_received() or now <= since + timeout + RELEASE_TOLERANCE

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
    """Counts violations; `report` is called with each and its details, and must not raise."""

    report: Callable[[InvariantViolation, dict[str, object]], None]
    counts: Counter[str] = field(default_factory=Counter)

    def record(self, violation: InvariantViolation, **details: object) -> None:
        """Counts one, with details such as the request's id, the engine and the reason."""
        self.counts[violation.value] += 1
        self.report(violation, details)
