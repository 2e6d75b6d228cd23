"""Converts engine start times from the wall clock to the monotonic clock, tolerating wall clock steps.

The endpoint list gives an engine's start in wall clock time. A wall clock may step by an hour in either
direction, before or while this process runs. An engine that has just started would then be treated as warm
and be overloaded, or it would be treated as cold for an hour. Therefore the observed offsets between the two
clocks are kept, and a start is converted with the offset that yields the latest time that is not in the
future. This errs towards treating a warm engine as cold, which costs little.
"""

from __future__ import annotations

from collections.abc import Callable

from runspool.units import TENTHS_PER_MS

# Offsets that differ by at most this many milliseconds are considered equal, because slewing a clock changes
# its offset slightly without a step.
OFFSET_TOLERANCE_MS = 500.0
MAX_OFFSETS = 8  # number of offsets that are kept, the most recent ones
# How far in the future, in tenths of a millisecond, a start may lie, because the clocks of machines differ.
MAX_CLOCK_SKEW = 5_000


class StartTimeConverter:
    """Converts start times with the observed offsets between the wall clock and the monotonic clock."""

    def __init__(self, wall_clock_offset_ms: Callable[[], float]) -> None:
        """Initialize the converter.

        `wall_clock_offset_ms` returns the current offset: the Unix time, in milliseconds, at which the
        monotonic clock was 0.
        """
        self.wall_clock_offset_ms = wall_clock_offset_ms
        self.offsets: list[float] = []

    def to_monotonic(self, unix_ms: float, now: int) -> int:
        """Convert a start time in Unix milliseconds to the monotonic clock, in tenths of a millisecond.

        The result is at least 1, except that 0 is returned for a `unix_ms` of 0, which means that the engine
        started long ago. `now` is the current time on the monotonic clock.
        """
        if not unix_ms:
            return 0
        self._record_offset()
        starts = [round((unix_ms - offset) * TENTHS_PER_MS) for offset in self.offsets]
        past = [start for start in starts if start <= now + MAX_CLOCK_SKEW]
        # If the start lies in the future with every offset, the engine is assumed to have started just now.
        return max(1, max(past, default=now))

    def _record_offset(self) -> None:
        offset = self.wall_clock_offset_ms()
        if all(abs(offset - known) > OFFSET_TOLERANCE_MS for known in self.offsets):
            self.offsets = [*self.offsets, offset][-MAX_OFFSETS:]
