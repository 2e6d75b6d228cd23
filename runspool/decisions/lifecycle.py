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

from runspool.decisions.interface import NEVER_RAN, Effect, Ending, Group, HouseTerms, Role

HOLD_MARGIN = 150  # before what is held must have been let go of
SOCKET_SLACK = 3_000  # that the platform allows beyond the settings' time for letting go
DEADLINE_KEPT = 1_000  # a deadline told to an engine must not be older than this when the last byte goes
ENDED_HERE = frozenset({Ending.OVERDUE, Ending.RECALLED, Ending.SEVERED})  # as far as this side knows
MAY_HAVE_READ = ENDED_HERE | {Ending.ERRORED}


class Stage(Enum):
    """How far an attempt has come, by what is known of its engine."""

    BEGUN = auto()  # picked; a connection is being made, or bytes are on their way to the kernel
    WRITTEN = auto()  # the kernel has all of it: it may have arrived, and may never
    ARRIVED = auto()  # the engine has said something of it
    ENDED = auto()


class Refusal(Enum):
    """Why something may not be done now."""

    ANSWERED = "the request has its final answer"
    CLIENT_LEFT = "its client has gone"
    OUT_OF_TIME = "its client's time is up"
    BESIDE_ANOTHER = "another attempt of it is out"
    TOO_MANY = "it has had all its attempts"
    MAY_HAVE_RUN = "an earlier attempt may have run, and must not be repeated"
    OUTSIDE_GROUP = "an earlier attempt may have run at engines of another group"
    WINDOW_OVER = "the window for repeats is over"
    STALE_DEADLINE = "the deadline that it would tell is too old"


class Breach(Enum):
    """A rule that this process itself went against, or was kept from going against by this module."""

    SENT = "sent"  # an attempt was asked for that may not begin
    REFUSED = "refused"  # a refusal was asked for that would promise too much
    ANSWERED_TWICE = "answered_twice"
    HELD = "held"  # a state was not let go of in time
    CLOSED_UNANSWERED = "closed_unanswered"  # a request was read, and its connection closed with no answer


@dataclass(frozen=True, slots=True)
class Allowance:
    """What the settings allow a request."""

    effect: Effect = Effect.RERUNNABLE
    group: Group = Group.ALL
    window: int = 0
    most_attempts: int = 1_000
    release_within: int = 0  # 0: no time is told

    @classmethod
    def of(cls, terms: HouseTerms, tariff: int) -> Allowance:
        """That of a class of requests, by its index."""
        row = terms.tariffs[tariff]
        return cls(row.effect, row.group, row.window, terms.max_shots, terms.release_within)


def hold_time(release_within: int, otherwise: int) -> int:
    """How long a state may be held until the call that lets it go begins; `otherwise` where none is told."""
    allowed = release_within or otherwise
    return allowed - min(HOLD_MARGIN, allowed // 2)


@dataclass(frozen=True, slots=True)
class Target:
    """An engine as an attempt sees it."""

    engine: int
    role: Role
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class Attempt:
    """One attempt at one engine."""

    number: int
    target: Target
    began: int
    stage: Stage = Stage.BEGUN

    @property
    def reads(self) -> bool:
        return self.target.role is Role.READER

    @property
    def out(self) -> bool:
        return self.stage is not Stage.ENDED


@dataclass(slots=True)
class Lifecycle:
    """One request, from its intake to the last thing that is held for it."""

    allowance: Allowance = Allowance()
    limit: int = 1 << 62  # when its client's time is up
    attempts: int = 0
    attempt: Attempt | None = None  # the last one
    answered: bool = False
    client_left: bool = False
    streaming: bool = False
    may_have_run: Attempt | None = None  # the first attempt with an effect that may have run
    held_since: int | None = None  # since when an engine holds, or may hold, something that nobody waits for
    letting_go: bool = False  # the call that lets it go is under way
    released: bool = False  # such a call has begun while the last attempt was out
    unsure: bool = False  # an attempt has ended here that may go on, and hold something, at its engine

    # Questions.

    def refuses_attempt(self, now: int, target: Target) -> Refusal | None:
        """Why an attempt may not begin at an engine now; None where it may."""
        if self.answered or self.streaming:
            return Refusal.ANSWERED
        if self.client_left:
            return Refusal.CLIENT_LEFT
        if self.attempt is not None and self.attempt.out:
            return Refusal.BESIDE_ANOTHER
        if self.attempts >= self.allowance.most_attempts:
            return Refusal.TOO_MANY
        return self._refuses_repeat(now, target)

    def refuses_last_byte(self, now: int, worded: int) -> Refusal | None:
        """Why the last byte of the attempt may not go now; `worded`: when its deadline was told."""
        if self.client_left:
            return Refusal.CLIENT_LEFT
        if self.answered:
            return Refusal.ANSWERED
        if now >= self.limit:
            return Refusal.OUT_OF_TIME
        if now - worded > DEADLINE_KEPT:
            return Refusal.STALE_DEADLINE
        return None

    def refuses_refusal(self) -> Refusal | None:
        """Why the client may not be told that trying again is harmless; None where it may."""
        ran, allowed = self.may_have_run, self.allowance
        if ran is None or allowed.effect is Effect.RERUNNABLE:
            return None
        if allowed.effect is Effect.TICKETED and allowed.group is Group.ALL:
            return None
        return Refusal.MAY_HAVE_RUN

    def let_go_at(self) -> int | None:
        """When the call that lets go has to begin, unless an attempt arrives first. None where nothing is
        held, the call is under way, or the settings tell no time."""
        if self.held_since is None or self.letting_go or not self.allowance.release_within:
            return None
        return self.held_since + hold_time(self.allowance.release_within, 0)

    def lets_go_now(self, now: int) -> bool:
        """Whether the call that lets go has to begin now, though an attempt may be out."""
        at = self.let_go_at()
        return at is not None and at <= now and not self._arrived()

    # What has happened.

    def begins(self, now: int, target: Target) -> Attempt:
        """An attempt begins."""
        self.attempts += 1
        self.released = False
        self.attempt = Attempt(self.attempts, target, now)
        return self.attempt

    def written(self) -> None:
        """The kernel has taken the last byte."""
        if self.attempt is not None and self.attempt.stage is Stage.BEGUN:
            self.attempt.stage = Stage.WRITTEN

    def arrived(self) -> None:
        """The engine has said something of the attempt that is out."""
        if self.attempt is not None and self.attempt.out:
            self.attempt.stage = Stage.ARRIVED

    def stream_begins(self) -> None:
        """The first event has come: whatever was held has been taken."""
        self.streaming = True
        self.held_since = None

    def ends(self, now: int, ending: Ending) -> None:
        """The attempt that was out has ended here."""
        attempt = self.attempt
        if attempt is None or not attempt.out:
            return
        arrived, attempt.stage = attempt.stage is Stage.ARRIVED, Stage.ENDED
        if attempt.reads:
            self._read_ends(now, ending, arrived)
            return
        if ending not in NEVER_RAN and self.may_have_run is None:
            self.may_have_run = attempt
        # Closed here is not ended there: a call to let go that overtakes the close finds an attempt waiting.
        waited = self.released or self.held_since is not None
        self.unsure = self.unsure or (waited and ending in ENDED_HERE)
        if ending is Ending.STATELESS:
            self.held_since = None
        elif self.released or (arrived and self.held_since is not None):
            # It was out, so that the time did not run. Where the call to let go found it there, that left
            # what it waited for: held from now on, and to be let go of again.
            self.held_since, self.letting_go = now, False

    def _read_ends(self, now: int, ending: Ending, arrived: bool) -> None:
        if ending is Ending.READ:
            self.held_since, self.letting_go = now, False
        elif ending in MAY_HAVE_READ:
            if arrived or self.held_since is None:
                self.held_since, self.letting_go = now, False  # a call under way may have come before it
            # Closed here is not ended there: the engine may end its read after.
            self.unsure = self.unsure or not arrived

    def release_begins(self) -> int | None:
        """The call that lets go of all that is held has begun; since when it is, to be confirmed with."""
        self.letting_go = True
        self.released = self.released or (self.attempt is not None and self.attempt.out)
        return self.held_since

    def release_confirmed(self, now: int, since: int | None) -> bool:
        """An engine has confirmed the call for what was held since then; False where it came too late."""
        in_time = since is None or self._in_time(now, since)
        if self.held_since == since:
            self.held_since, self.letting_go = None, False
        return in_time

    def final(self) -> bool:
        """The final answer is given; False where there already was one."""
        if self.answered:
            return False
        self.answered = True
        return True

    def client_leaves(self) -> None:
        """The client has closed its connection."""
        self.client_left = True

    # Parts of the answers.

    def _arrived(self) -> bool:
        return self.attempt is not None and self.attempt.stage is Stage.ARRIVED

    def _in_time(self, now: int, since: int) -> bool:
        within = self.allowance.release_within
        return not within or self._arrived() or now <= since + within + SOCKET_SLACK

    def _refuses_repeat(self, now: int, target: Target) -> Refusal | None:
        ran, allowed = self.may_have_run, self.allowance
        if ran is None or target.role is Role.READER or allowed.effect is Effect.RERUNNABLE:
            return None
        if allowed.effect is Effect.EXCLUSIVE:
            return Refusal.MAY_HAVE_RUN
        if now >= ran.began + allowed.window:
            return Refusal.WINDOW_OVER
        zone = allowed.group is not Group.ALL and target.zone != ran.target.zone
        rack = allowed.group is Group.RACK and target.rack != ran.target.rack
        return Refusal.OUTSIDE_GROUP if zone or rack else None


@dataclass(slots=True)
class Breaches:
    """Counts what went against a rule; `tell` gets the rule and where it was seen, and must not raise."""

    tell: Callable[[Breach, dict[str, object]], None]
    counts: Counter[str] = field(default_factory=Counter)

    def count(self, breach: Breach, **seen: object) -> None:
        """One more, with the request's id, the engine, the stage and the reason."""
        self.counts[breach.value] += 1
        self.tell(breach, seen)
