"""When an engine started, on the monotonic clock, by a wall clock that may have been stepped since.

An engine's start is given in wall-clock time. A wall clock may step by an hour either way, while this
process runs or before it; an engine that has just started would then pass for warm, and be overloaded, or for
cold for an hour. So each offset between the two clocks that has been seen is kept, and a start is converted
by the one that makes it the latest that is not in the future: to take a warm engine for cold costs little.
"""

from __future__ import annotations

from collections.abc import Callable

from runspool.units import TENTHS

SAME_OFFSET_MS = 500.0  # two offsets that differ by no more are the same: clocks are slewed too
MAX_OFFSETS = 8  # kept, the newest ones
MAX_SKEW = 5_000  # tenths of a millisecond that a start may lie in the future: machines' clocks differ


class WallClock:
    """Converts starts by the offsets between the wall clock and the monotonic clock that it has seen."""

    def __init__(self, unix_ms_at_zero: Callable[[], float]) -> None:
        """`unix_ms_at_zero` gives the offset: the wall clock in milliseconds when the monotonic one was 0."""
        self.unix_ms_at_zero = unix_ms_at_zero
        self.offsets: list[float] = []

    def started(self, unix_ms: float, now: int) -> int:
        """A start on the monotonic clock, in tenths of a millisecond.

        At least 1, but 0 where `unix_ms` is 0: the engine started long ago.
        """
        if not unix_ms:
            return 0
        self._record_offset()
        starts = [round((unix_ms - offset) * TENTHS) for offset in self.offsets]
        past = [start for start in starts if start <= now + MAX_SKEW]
        # By every offset its start lies in the future; since it is running, it has just started.
        return max(1, max(past, default=now))

    def _record_offset(self) -> None:
        offset = self.unix_ms_at_zero()
        if all(abs(offset - known) > SAME_OFFSET_MS for known in self.offsets):
            self.offsets = [*self.offsets, offset][-MAX_OFFSETS:]
