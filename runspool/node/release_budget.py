"""Limits the rate of release calls while no engine confirms any. Does no I/O.

An engine that hangs processes the calls that it has received once it resumes, including those that the node
has given up. Calls without a response therefore accumulate as work for the engine, and for all engines if all
of them hang.

All times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable

BURST_SIZE = 64  # calls that may be made in a burst after the last confirmation
REFILL_INTERVAL = 0.25  # seconds between two calls after the burst


class ReleaseBudget:
    """A token bucket for release calls that is refilled completely when any engine confirms a call.

    Attributes:
        clock: Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._available: float = BURST_SIZE
        self._updated_at = 0.0

    def try_acquire(self) -> bool:
        """Take one call from the budget; return False if the budget is exhausted."""
        now = self.clock()
        refilled_calls = (now - self._updated_at) / REFILL_INTERVAL
        self._available = min(BURST_SIZE, self._available + refilled_calls)
        self._updated_at = now
        if self._available < 1:
            return False
        self._available -= 1
        return True

    def refund(self) -> None:
        """Return one call to the budget, because no engine can still process it."""
        self._available = min(BURST_SIZE, self._available + 1)

    def refill(self) -> None:
        """Refill the budget, because an engine has confirmed a call."""
        self._available = BURST_SIZE
