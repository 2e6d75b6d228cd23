"""How many release calls are made while no engine confirms one. Free of I/O.

An engine that hangs reads what it was sent once it goes on, also what was given up: calls that nobody has
answered are a debt that grows with each further one, at all engines at once where all of them hang.

Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_CALLS = 64  # since the last confirmation, before calls become rare
CALL_INTERVAL = 0.25  # between two calls then


class ReleaseBudget:
    """Counts the calls that may still be made; full again as soon as any engine has confirmed one.

    Attributes:
        clock: the current time.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._left: float = MAX_CALLS
        self._updated_at = 0.0

    def take(self) -> bool:
        """Takes one call out of the budget; False where it is used up."""
        now = self.clock()
        refilled = (now - self._updated_at) / CALL_INTERVAL
        self._left = min(MAX_CALLS, self._left + refilled)
        self._updated_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def put_back(self) -> None:
        """Returns a call that nobody can still read."""
        self._left = min(MAX_CALLS, self._left + 1)

    def confirmed(self) -> None:
        """Notes that an engine has confirmed a call."""
        self._left = MAX_CALLS
