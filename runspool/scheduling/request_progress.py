"""Limits and state of one request between its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from runspool.scheduling.engine_state import Engine, RequestClassState
from runspool.scheduling.front_state import QueuePosition
from runspool.scheduling.types import Request


@dataclass(slots=True, eq=False)
class RequestProgress:
    """One request's limits, which are set when it begins, and its state between attempts.

    Times are tenths of a millisecond on the scheduler's clock.
    """

    request: Request
    class_state: RequestClassState
    deadline: int
    """The client's time limit less a margin; nothing is started after it."""
    first_token_due: int
    """Time after which the first token is too late to be useful."""
    max_wait_fraction: float
    """Fraction of the time until `first_token_due`, less the request's own prefill, that a predicted wait may
    take."""
    selection_skipped_until: int
    """Until this time the request waits behind those ahead of it without evaluating engines."""
    queue_limit: int
    """Duration of a prefill engine's queue above which the request waits at the front."""
    queue_position: QueuePosition
    reservation_duration: int
    """Time within which the release of a prefill's state has to start; it is shorter than the time limit."""
    prefill_engine: Engine | None = None
    """The engine that holds the prefill's state."""
    reservation_start: int = 0  # start of the state's time limit, which an attempt on an engine restarts
    attempts: int = 0
    unsent_attempt_duration: int = 0
    """Duration of the last failed attempt if its status is in `retry_policy.UNSENT_STATUSES`, else 0."""
    needs_retry_budget: bool = False
    """Whether the next prefill counts against the retry budget, because one timed out or was refused."""
    first_execution_engine: Engine | None = None
    """The engine of the first attempt that may have been executed."""
    first_execution_at: int = 0
    """The time at which that attempt was sent."""
    failed_engine_ids: list[int] = field(default_factory=list)
    """Ids of the engines that failed in the current stage, prefill or decode."""
    unresponsive_engine_ids: list[int] = field(default_factory=list)
    """Ids of the engines that did not respond to an attempt."""
    cannot_start_in_time: bool = False
    """Whether no engine can start the request in time."""

    def reservation_expires_before(self, time: int) -> bool:
        """Return whether the prefill's state, if there is any, expires before the given time."""
        return self.prefill_engine is not None and time > self.reservation_start + self.reservation_duration
