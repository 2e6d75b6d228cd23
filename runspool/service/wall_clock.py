"""When an engine started, on the monotonic clock, by a wall clock that may have been stepped since.

An engine's start is told in wall-clock time. A wall clock may step by an hour either way, at this process or
before it; an engine that has just started would then pass for warm, and be pushed over, or for cold for an
hour. So each offset between the two clocks that has been seen is kept, and a start is read by the one that
makes it the latest that is not in the future: to take a warm engine for cold costs little.
"""

from __future__ import annotations

from collections.abc import Callable

from runspool.units import TENTHS

STEP_MS = 500.0  # two offsets that lie closer are the same: clocks are slewed too
MOST_OFFSETS = 8  # kept, the newest ones
AHEAD = 5_000  # tenths of a millisecond that a start may lie in the future: machines differ that much


class WallClock:
    """The offsets seen, and starts read by them."""

    def __init__(self, unix_ms_at_zero: Callable[[], float]) -> None:
        """`unix_ms_at_zero`: what the wall clock said, by its word now, when the monotonic one stood at 0."""
        self.unix_ms_at_zero = unix_ms_at_zero
        self.offsets: list[float] = []

    def started(self, unix_ms: float, now: int) -> int:
        """A start on the monotonic clock, in tenths of a millisecond, at least 1; 0 for long ago."""
        if not unix_ms:
            return 0
        self._look()
        starts = [round((unix_ms - offset) * TENTHS) for offset in self.offsets]
        past = [start for start in starts if start <= now + AHEAD]
        # By no clock that was seen has it started yet: as it is there, it has just now.
        return max(1, max(past, default=now))

    def _look(self) -> None:
        offset = self.unix_ms_at_zero()
        if all(abs(offset - known) > STEP_MS for known in self.offsets):
            self.offsets = [*self.offsets, offset][-MOST_OFFSETS:]
