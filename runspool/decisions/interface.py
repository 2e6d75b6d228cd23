"""What a front is told, and what the decisions may ask of it. Types only.

Times and durations are whole tenths of a millisecond. Queries, engines, tariffs, tenants,
sessions and shared beginnings are small indices that the front hands out at its door.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto


class Effect(Enum):
    """What a second run of a query would do."""

    RERUNNABLE = auto()
    TICKETED = auto()
    EXCLUSIVE = auto()


class Group(Enum):
    """The engines that drop a ticketed query's repeats."""

    ALL = auto()
    ZONE = auto()
    RACK = auto()


class Role(IntEnum):
    READER = auto()
    WRITER = auto()
    MIXED = auto()


class Ending(Enum):
    """How a shot ended, or that its answer has begun."""

    SUCCEEDED = auto()
    READ = auto()
    BEGUN = auto()
    FULL = auto()
    STATELESS = auto()
    UNREACHABLE = auto()
    VOID = auto()
    ERRORED = auto()
    OVERDUE = auto()
    SEVERED = auto()
    RECALLED = auto()


# Endings after which the shot is known not to have run.
NEVER_RAN = frozenset({Ending.READ, Ending.FULL, Ending.STATELESS, Ending.UNREACHABLE, Ending.VOID})


@dataclass(slots=True)
class TariffTerms:
    due: int
    due_per_1000: int
    pace: int
    gain: float
    late_share: float
    effect: Effect
    group: Group
    window: int


@dataclass(slots=True)
class TenantTerms:
    per_second: float


@dataclass(slots=True)
class KindTerms:
    role: Role
    memory: int


@dataclass(slots=True)
class HouseTerms:
    """What the house grants its fronts and asks of them, told once at a front's start."""

    me: int
    fronts: int
    zone: int
    tariffs: list[TariffTerms]
    tenants: list[TenantTerms]
    kinds: list[KindTerms]
    over_share: float
    answer_slack: int
    cold_from: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    release_within: int
    max_shots: int
    second_copies: bool
    may_recall: bool
    may_probe: bool
    may_hold: bool
    may_say_when: bool
    longest_wait_told: int
    resumes: bool
    writers_read: bool
    must_ask: bool
    ask_within: int
    far_price: float
    zone_price: float
    late_price: float
    waste_price: float


@dataclass(slots=True)
class Listed:
    """One line of the list of engines."""

    engine: int
    kind: int
    zone: int
    rack: int
    started: int
    state: str  # "on", "draining" or "gone"
    mark: int = 1  # drawn from the name alone: the same at every front


@dataclass(slots=True)
class Query:
    index: int
    tariff: int | None
    tenant: int | None
    session: int | None
    beginning: int | None
    prompt: int
    beginning_length: int
    most_out: int
    likely_out: int  # 0 where no hint came
    budget: int
    resent: bool
    again: bool
    over: bool = False  # the front sets it once nothing more is owed
    luck: float = 0.0  # the decisions' own draw, and the readers where they suppose its text to be kept
    homes: list[int] = field(default_factory=list)
    session_mark: int = 0  # drawn from the name alone: the same at every front
    beginning_mark: int = 0


@dataclass(slots=True)
class Report:
    """An engine's own figures; None where it does not give one."""

    in_flight: float | None = None
    slots: float | None = None
    memory: float | None = None
    to_read: float | None = None


@dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    `arrived`: its engine is known to have had it; else the time of a state that waited for it has gone on.
    `released`: that state has been let go of meanwhile, unless the attempt had arrived unheard.
    """

    ending: Ending
    took: int = 0
    kept: int = 0
    report: Report | None = None
    arrived: bool = True
    released: bool = False


@dataclass(slots=True)
class Shot:
    """Send the query to an engine; resumed with its Outcome, BEGUN where an answer starts first."""

    engine: int
    cap: int  # 0: until the client gives up


@dataclass(slots=True)
class Listen:
    """Resumed with the Outcome of the shot whose answer has begun."""


@dataclass(slots=True)
class Wait:
    """Resumed at the time named, sooner if the client leaves."""

    until: int


@dataclass(slots=True)
class Dismiss:
    hold_off: int = 0


@dataclass(slots=True)
class Scrap:
    pass


@dataclass(slots=True)
class Release:
    pass


@dataclass(slots=True)
class Move:
    """Stop another query's stream so that its client comes again."""

    query: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the list of engines and its changes, where nobody sends them unasked."""


@dataclass(slots=True)
class Note:
    text: str


Ask = Shot | Listen | Wait | Dismiss | Scrap | Release | Move | Subscribe | Note


@dataclass(slots=True)
class Roster:
    """News of the list: every engine in it, or only those that changed."""

    whole: bool
    engines: list[Listed] = field(default_factory=list)
