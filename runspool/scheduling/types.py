"""Inputs of the scheduler: requests, engines, load reports and the outcomes of attempts.

Times and durations are whole tenths of a millisecond. Requests, engines, request classes, tenants, sessions
and shared prefixes are identified by small integers, which `runspool.runtime.interning` assigns.
`stable_hash` and the other hash fields are computed from the name alone, so that every front has the same
value.

The numbers of `Idempotency`, `DeduplicationScope` and `Role` and the strings of `EngineState` are written to
recordings (`runspool.service.recording_format`) and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = 1
    """A second execution has no further effect."""
    KEYED = 2
    """Engines drop a repeat by its idempotency key, within a `DeduplicationScope` and for a limited time."""
    AT_MOST_ONCE = 3
    """A second execution takes effect again, so the request is never repeated once it may have been
    executed."""


class DeduplicationScope(Enum):
    """The engines among which a repeat of a keyed request is recognized."""

    ALL = 1
    ZONE = 2
    RACK = 3


class Role(IntEnum):
    """The stages that an engine carries out."""

    PREFILL = 1
    DECODE = 2
    MIXED = 3


class EngineState(Enum):
    """The state of an engine in discovery; only ready engines receive new requests."""

    READY = "on"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptStatus(Enum):
    """How an attempt ended, or that its stream has started."""

    SUCCEEDED = 1
    PREFILL_COMPLETE = 2
    STREAM_STARTED = 3
    OVERLOADED = 4
    """The engine reported that it has no capacity and has done nothing."""
    STATE_MISSING = 5
    """The engine reported that the prefill's state no longer exists and that it has done nothing."""
    CONNECT_FAILED = 6
    """No connection was made, it broke before the engine had the whole request, or the peer does not serve
    this API."""
    NOT_SENT = 7
    """This front gave up the attempt before it sent the last byte, or the engine refused the request as
    invalid."""
    SERVER_ERROR = 8
    TIMED_OUT = 9
    CONNECTION_LOST = 10
    """The connection broke after the whole request had been sent."""
    CANCELLED = 11
    """This front ended the attempt; the engine may have received the whole request."""


NOT_EXECUTED = frozenset(
    {
        AttemptStatus.PREFILL_COMPLETE,
        AttemptStatus.OVERLOADED,
        AttemptStatus.STATE_MISSING,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.NOT_SENT,
    }
)
"""Statuses after which the attempt is known to have had no effect; only a decode executes a request."""


@dataclass(slots=True)
class EngineRecord:
    """One engine on the endpoint list; `started_at` is 0 where its start time is not known."""

    engine: int
    engine_type: int
    zone: int
    rack: int
    started_at: int
    state: EngineState
    stable_hash: int = 1


@dataclass(slots=True)
class EndpointUpdate:
    """A change of the endpoint list: a snapshot lists every engine, other updates only the changed ones."""

    is_snapshot: bool
    engines: list[EngineRecord] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """The part of a client request on which scheduling decisions depend.

    `expected_output_tokens` is the client's own estimate, 0 where it gave none. `time_budget` is the time
    that the client still waits when the request is submitted. `is_client_retry` marks a request that its
    client repeats, `is_continuation` one for the rest of an interrupted stream. The driver sets `finished`
    once the client has its final response or has disconnected.

    The scheduler sets `request_draw`, the request's only random number (from 0 to 1), and
    `affinity_candidates`, the ids of the prefill engines that are expected to have its prompt cached, the
    most likely first.
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
    """Load as an engine reports it; a figure is None if not reported. Utilizations are fractions of 1."""

    requests_in_flight: float | None = None
    slot_utilization: float | None = None
    memory_utilization: float | None = None
    queued_prompt_tokens: float | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, or that its stream has started.

    `duration` is measured from the time the attempt was sent.

    `reached_engine` says that the engine is known to have received the attempt. If it is False, the time
    limit of the prefill state that the attempt was to use has kept running.

    `state_released` says that this state was released during the attempt. It stays False if the attempt had
    reached its engine without a response.
    """

    status: AttemptStatus
    duration: int = 0
    cached_tokens: int = 0
    load_report: LoadReport | None = None
    reached_engine: bool = True
    state_released: bool = False
