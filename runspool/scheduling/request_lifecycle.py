"""What may be done for a request now: sent, repeated, refused, let go of. Free of I/O.

One place answers for every path, and counts what went against it. The class of fault it stands against:
something done on this side being taken for done on the other. Written is not arrived, closed here is not
ended there, asked is not confirmed. So the stage of an attempt moves on by what its engine has said alone,
and what an engine holds is this side's to let go of until some engine has confirmed that call.

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

RELEASE_MARGIN = 150  # before what is held must have been let go of
RELEASE_TOLERANCE = 3_000  # that the platform allows beyond the settings' time for letting go
MAX_DEADLINE_AGE = 1_000  # a deadline told to an engine must not be older than this when the last byte goes
ENDED_LOCALLY = frozenset(
    {AttemptStatus.TIMED_OUT, AttemptStatus.CANCELLED, AttemptStatus.CONNECTION_LOST}
)  # as far as this side knows
PREFILL_MAY_HAVE_RUN = ENDED_LOCALLY | {AttemptStatus.SERVER_ERROR}


class AttemptStage(Enum):
    """How far an attempt has come, by what is known of its engine."""

    STARTED = auto()  # picked; a connection is being made, or bytes are on their way to the kernel
    WRITTEN = auto()  # the kernel has all of it: it may have arrived, and may never
    RECEIVED = auto()  # the engine has said something of it
    ENDED = auto()


class DenialReason(Enum):
    """Why something may not be done now."""

    ALREADY_ANSWERED = "the request has its final answer"
    CLIENT_DISCONNECTED = "its client has gone"
    DEADLINE_EXCEEDED = "its client's time is up"
    ATTEMPT_IN_PROGRESS = "another attempt of it is out"
    MAX_ATTEMPTS_REACHED = "it has had all its attempts"
    MAY_HAVE_EXECUTED = "an earlier attempt may have run, and must not be repeated"
    OUTSIDE_DEDUPLICATION_SCOPE = "an earlier attempt may have run at engines of another group"
    DEDUPLICATION_WINDOW_OVER = "the window for repeats is over"
    STALE_DEADLINE = "the deadline that it would tell is too old"


class InvariantViolation(Enum):
    """A rule that this process itself went against, or was kept from going against by this module."""

    ATTEMPT_NOT_ALLOWED = "attempt_not_allowed"  # an attempt was asked for that may not begin
    UNSAFE_REJECTION = "unsafe_rejection"  # a refusal was asked for that would promise too much
    ANSWERED_TWICE = "answered_twice"
    STATE_RELEASED_LATE = "state_released_late"  # a state was not let go of in time
    CLOSED_UNANSWERED = "closed_unanswered"  # a request was read, and its connection closed with no answer


@dataclass(frozen=True, slots=True)
class AttemptPolicy:
    """What the settings allow a request."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    max_attempts: int = 1_000
    state_release_timeout: int = 0  # 0: no time is told

    @classmethod
    def for_class(cls, terms: RoutingSettings, tariff: int) -> AttemptPolicy:
        """That of a class of requests, by its index."""
        row = terms.request_classes[tariff]
        return cls(
            row.idempotency,
            row.deduplication_scope,
            row.deduplication_window,
            terms.max_attempts,
            terms.state_release_timeout,
        )


def reservation_time(release_within: int, otherwise: int) -> int:
    """How long a state may be held until the call that lets it go begins; `otherwise` where none is told."""
    allowed = release_within or otherwise
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
        return self.target.role is Role.PREFILL

    @property
    def in_progress(self) -> bool:
        return self.stage is not AttemptStage.ENDED


@dataclass(slots=True)
class RequestLifecycle:
    """One request, from its intake to the last thing that is held for it."""

    policy: AttemptPolicy = AttemptPolicy()
    deadline: int = 1 << 62  # when its client's time is up
    attempt_count: int = 0
    last_attempt: Attempt | None = None  # the last one
    answered: bool = False
    client_disconnected: bool = False
    streaming: bool = False
    possibly_executed: Attempt | None = None  # the first attempt with an effect that may have run
    reserved_since: int | None = (
        None  # since when an engine holds, or may hold, something that nobody waits for
    )
    release_in_progress: bool = False  # the call that lets it go is under way
    released_during_attempt: bool = False  # such a call has begun while the last attempt was out
    remote_end_unknown: bool = (
        False  # an attempt has ended here that may go on, and hold something, at its engine
    )

    # Questions.

    def deny_attempt(self, now: int, target: AttemptTarget) -> DenialReason | None:
        """Why an attempt may not begin at an engine now; None where it may."""
        if self.answered or self.streaming:
            return DenialReason.ALREADY_ANSWERED
        if self.client_disconnected:
            return DenialReason.CLIENT_DISCONNECTED
        if self.last_attempt is not None and self.last_attempt.in_progress:
            return DenialReason.ATTEMPT_IN_PROGRESS
        if self.attempt_count >= self.policy.max_attempts:
            return DenialReason.MAX_ATTEMPTS_REACHED
        return self._deny_repeat(now, target)

    def deny_last_byte(self, now: int, worded: int) -> DenialReason | None:
        """Why the last byte of the attempt may not go now; `worded`: when its deadline was told."""
        if self.client_disconnected:
            return DenialReason.CLIENT_DISCONNECTED
        if self.answered:
            return DenialReason.ALREADY_ANSWERED
        if now >= self.deadline:
            return DenialReason.DEADLINE_EXCEEDED
        if now - worded > MAX_DEADLINE_AGE:
            return DenialReason.STALE_DEADLINE
        return None

    def deny_rejection(self) -> DenialReason | None:
        """Why the client may not be told that trying again is harmless; None where it may."""
        ran, allowed = self.possibly_executed, self.policy
        if ran is None or allowed.idempotency is Idempotency.IDEMPOTENT:
            return None
        if allowed.idempotency is Idempotency.KEYED and allowed.deduplication_scope is DeduplicationScope.ALL:
            return None
        return DenialReason.MAY_HAVE_EXECUTED

    def release_due_at(self) -> int | None:
        """When the call that lets go has to begin, unless an attempt arrives first. None where nothing is
        held, the call is under way, or the settings tell no time."""
        if self.reserved_since is None or self.release_in_progress or not self.policy.state_release_timeout:
            return None
        return self.reserved_since + reservation_time(self.policy.state_release_timeout, 0)

    def release_is_due(self, now: int) -> bool:
        """Whether the call that lets go has to begin now, though an attempt may be out."""
        at = self.release_due_at()
        return at is not None and at <= now and not self._attempt_received()

    # What has happened.

    def attempt_started(self, now: int, target: AttemptTarget) -> Attempt:
        """An attempt begins."""
        self.attempt_count += 1
        self.released_during_attempt = False
        self.last_attempt = Attempt(self.attempt_count, target, now)
        return self.last_attempt

    def attempt_written(self) -> None:
        """The kernel has taken the last byte."""
        if self.last_attempt is not None and self.last_attempt.stage is AttemptStage.STARTED:
            self.last_attempt.stage = AttemptStage.WRITTEN

    def attempt_received(self) -> None:
        """The engine has said something of the attempt that is out."""
        if self.last_attempt is not None and self.last_attempt.in_progress:
            self.last_attempt.stage = AttemptStage.RECEIVED

    def stream_started(self) -> None:
        """The first event has come: whatever was held has been taken."""
        self.streaming = True
        self.reserved_since = None

    def attempt_ended(self, now: int, ending: AttemptStatus) -> None:
        """The attempt that was out has ended here."""
        attempt = self.last_attempt
        if attempt is None or not attempt.in_progress:
            return
        arrived, attempt.stage = attempt.stage is AttemptStage.RECEIVED, AttemptStage.ENDED
        if attempt.is_prefill:
            self._prefill_ended(now, ending, arrived)
            return
        if ending not in NOT_EXECUTED and self.possibly_executed is None:
            self.possibly_executed = attempt
        # Closed here is not ended there: a call to let go that overtakes the close finds an attempt waiting.
        waited = self.released_during_attempt or self.reserved_since is not None
        self.remote_end_unknown = self.remote_end_unknown or (waited and ending in ENDED_LOCALLY)
        if ending is AttemptStatus.STATE_MISSING:
            self.reserved_since = None
        elif self.released_during_attempt or (arrived and self.reserved_since is not None):
            # It was out, so that the time did not run. Where the call to let go found it there, that left
            # what it waited for: held from now on, and to be let go of again.
            self.reserved_since, self.release_in_progress = now, False

    def _prefill_ended(self, now: int, ending: AttemptStatus, arrived: bool) -> None:
        if ending is AttemptStatus.PREFILL_COMPLETE:
            self.reserved_since, self.release_in_progress = now, False
        elif ending in PREFILL_MAY_HAVE_RUN:
            if arrived or self.reserved_since is None:
                self.reserved_since, self.release_in_progress = (
                    now,
                    False,
                )  # a call under way may have come before it
            # Closed here is not ended there: the engine may end its read after.
            self.remote_end_unknown = self.remote_end_unknown or not arrived

    def release_started(self) -> int | None:
        """The call that lets go of all that is held has begun; since when it is, to be confirmed with."""
        self.release_in_progress = True
        self.released_during_attempt = self.released_during_attempt or (
            self.last_attempt is not None and self.last_attempt.in_progress
        )
        return self.reserved_since

    def release_confirmed(self, now: int, since: int | None) -> bool:
        """An engine has confirmed the call for what was held since then; False where it came too late."""
        in_time = since is None or self._released_in_time(now, since)
        if self.reserved_since == since:
            self.reserved_since, self.release_in_progress = None, False
        return in_time

    def mark_answered(self) -> bool:
        """The final answer is given; False where there already was one."""
        if self.answered:
            return False
        self.answered = True
        return True

    def mark_client_disconnected(self) -> None:
        """The client has closed its connection."""
        self.client_disconnected = True

    # Parts of the answers.

    def _attempt_received(self) -> bool:
        return self.last_attempt is not None and self.last_attempt.stage is AttemptStage.RECEIVED

    def _released_in_time(self, now: int, since: int) -> bool:
        within = self.policy.state_release_timeout
        return not within or self._attempt_received() or now <= since + within + RELEASE_TOLERANCE

    def _deny_repeat(self, now: int, target: AttemptTarget) -> DenialReason | None:
        ran, allowed = self.possibly_executed, self.policy
        if ran is None or target.role is Role.PREFILL or allowed.idempotency is Idempotency.IDEMPOTENT:
            return None
        if allowed.idempotency is Idempotency.AT_MOST_ONCE:
            return DenialReason.MAY_HAVE_EXECUTED
        if now >= ran.started_at + allowed.deduplication_window:
            return DenialReason.DEDUPLICATION_WINDOW_OVER
        zone = allowed.deduplication_scope is not DeduplicationScope.ALL and target.zone != ran.target.zone
        rack = allowed.deduplication_scope is DeduplicationScope.RACK and target.rack != ran.target.rack
        return DenialReason.OUTSIDE_DEDUPLICATION_SCOPE if zone or rack else None


@dataclass(slots=True)
class InvariantMonitor:
    """Counts what went against a rule; `tell` gets the rule and where it was seen, and must not raise."""

    report: Callable[[InvariantViolation, dict[str, object]], None]
    counts: Counter[str] = field(default_factory=Counter)

    def record(self, breach: InvariantViolation, **seen: object) -> None:
        """One more, with the request's id, the engine, the stage and the reason."""
        self.counts[breach.value] += 1
        self.report(breach, seen)
