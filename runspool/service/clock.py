"""The front's monotonic clock, in whole tenths of a millisecond, and the wall clock."""

from __future__ import annotations

import time

NS_PER_TICK = 100_000  # nanoseconds in a tenth of a millisecond, the unit of the monotonic clock
NS_PER_MS = 1_000_000


def now() -> int:
    """Return the time on the front's monotonic clock, in tenths of a millisecond."""
    return time.monotonic_ns() // NS_PER_TICK


def wall_clock_offset_ms() -> float:
    """Return the offset of the wall clock to the front's monotonic clock, in milliseconds.

    This is the Unix time at which the monotonic clock was 0. It is computed from the current readings of both
    clocks, so it changes when the wall clock is set.
    """
    return time.time_ns() / 1e6 - time.monotonic_ns() / 1e6


def unix_ms() -> int:
    """Return the Unix time in milliseconds, which is the unit of the times in a cell map."""
    return time.time_ns() // NS_PER_MS
