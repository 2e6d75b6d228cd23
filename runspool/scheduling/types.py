"""What the scheduler is told: requests, engines, load reports and the outcomes of attempts.

Times and durations are whole tenths of a millisecond. Requests, engines, request classes, tenants, sessions
and shared prefixes are small integers that `runspool.runtime.interning` hands out; `stable_hash` fields are
drawn from the name alone, so that every front draws the same.

The numbers of `Idempotency`, `DeduplicationScope` and `Role` and the words of `EngineState` stand in stored
recordings (`runspool.service.recording_format`): they stay.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = 1
    """It has no further effect."""
    KEYED = 2
    """Engines drop it by its idempotency key, within a `DeduplicationScope` and for a window of time."""
    AT_MOST_ONCE = 3
    """It has its effect a second time: such a request is never repeated once it may have executed."""


class DeduplicationScope(Enum):
    """The engines among which repeats of a keyed request are recognized."""

    ALL = 1
    ZONE = 2
    RACK = 3


class Role(IntEnum):
    """What an engine does."""

    PREFILL = 1
    DECODE = 2
    MIXED = 3


class EngineState(Enum):
    """What discovery says of an engine: new work goes to ready ones only."""

    READY = "on"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptStatus(Enum):
    """How an attempt ended, or that its stream has started."""

    SUCCEEDED = 1
    PREFILL_COMPLETE = 2
    STREAM_STARTED = 3
    OVERLOADED = 4
    """The engine's word that it has no capacity and did nothing."""
    STATE_MISSING = 5
    """The engine's word that the prefill's state is gone, and that it did nothing."""
    CONNECT_FAILED = 6
    """No connection, or it broke before the engine had the whole request."""
    NOT_SENT = 7
    """Given up by this front before the last byte was sent."""
    SERVER_ERROR = 8
    TIMED_OUT = 9
    CONNECTION_LOST = 10
    """The connection broke after the request had been sent."""
    CANCELLED = 11
    """Ended by this front after the request had been sent."""


NOT_EXECUTED = frozenset(
    {
        AttemptStatus.PREFILL_COMPLETE,
        AttemptStatus.OVERLOADED,
        AttemptStatus.STATE_MISSING,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.NOT_SENT,
    }
)
"""Statuses after which the attempt is known to have had no effect."""


@dataclass(slots=True)
class EngineRecord:
    """One engine on the endpoint list; `started_at` is 0 where its start is not known."""

    engine: int
    engine_type: int
    zone: int
    rack: int
    started_at: int
    state: EngineState
    stable_hash: int = 1


@dataclass(slots=True)
class EndpointUpdate:
    """A change of the endpoint list: every engine on it, or only those that changed."""

    is_snapshot: bool
    engines: list[EngineRecord] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """One client request, as far as decisions depend on it.

    `expected_output_tokens` is the client's own guess, 0 where it gave none. `time_budget` is what is left of
    the client's time when the request is submitted. `is_client_retry` marks a repeated request,
    `is_continuation` one for the rest of a stream that was stopped. The driver sets `finished` once nothing
    more is owed to the client. `request_draw` and `affinity_candidates` belong to the scheduler: its one
    random draw for the request, and the prefill engines that are assumed to have cached its prompt.
    """

    index: int
    request_class: int | None
    tenant: int | None
    session: int | None
    prefix: int | None
    prompt_tokens: int
    prefix_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    time_budget: int
    is_client_retry: bool
    is_continuation: bool
    finished: bool = False
    request_draw: float = 0.0
    affinity_candidates: list[int] = field(default_factory=list)
    session_hash: int = 0
    prefix_hash: int = 0


@dataclass(slots=True)
class LoadReport:
    """An engine's own figures; None where it does not report one. Utilizations are fractions of 1."""

    requests_in_flight: float | None = None
    slot_utilization: float | None = None
    memory_utilization: float | None = None
    queued_prompt_tokens: float | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, or that its stream has started.

    `duration` runs from the send. `reached_engine`: the engine is known to have had the attempt; where it is
    not, the time limit of a state that waited for the attempt has gone on. `state_released`: that state has
    been released meanwhile, unless the attempt had reached its engine without a response.
    """

    status: AttemptStatus
    duration: int = 0
    cached_tokens: int = 0
    load_report: LoadReport | None = None
    reached_engine: bool = True
    state_released: bool = False
