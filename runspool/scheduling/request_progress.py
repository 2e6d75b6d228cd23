"""How far one request has come on its way through the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field

from runspool.scheduling.engine_state import Engine, RequestClassState
from runspool.scheduling.front_state import QueuePosition
from runspool.scheduling.types import Request


@dataclass(slots=True, eq=False)
class RequestProgress:
    """One request's limits, fixed when it begins, and its state between attempts.

    Times are tenths of a millisecond on the scheduler's clock.
    """

    request: Request
    class_state: RequestClassState
    deadline: int
    """Nothing is started from here on: the client's limit less a margin."""
    first_token_due: int
    patience: float
    """Fraction of the time to `first_token_due` that a foreseen wait may take."""
    latest_queueing: int
    """Until then it waits behind the requests ahead of it without looking at the engines."""
    queue_limit: int
    """A prefill engine with a longer queue is not used yet."""
    queue_position: QueuePosition
    reservation_duration: int
    """For how long an engine keeps a prefill's state."""
    prefill_engine: Engine | None = None
    """The engine that holds the prefill's state."""
    reserved_since: int = 0
    attempts: int = 0
    connect_time_lost: int = 0
    """Duration of the last decode attempt, where it was never sent."""
    needs_retry_token: bool = False
    """A prefill timed out or was refused, so the next one counts against the retry budget."""
    first_executed: Engine | None = None
    """The engine of the first attempt that may have been executed."""
    first_executed_at: int = 0
    """When that attempt was sent."""
    failed: list[int] = field(default_factory=list)
    """Ids of engines that failed at this stage."""
    unreached: list[int] = field(default_factory=list)
    """Ids of engines that took an attempt without a response."""
    is_given_up: bool = False
    """No engine can start it in time."""

    def reservation_ends_before(self, time: int) -> bool:
        """Whether a prefill's state expires before a time."""
        return self.prefill_engine is not None and time > self.reserved_since + self.reservation_duration
