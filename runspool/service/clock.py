"""The front's clock, monotonic and in whole tenths of a millisecond, and the wall clock."""

from __future__ import annotations

import time

NS_PER_TICK = 100_000
NS_PER_MS = 1_000_000


def now() -> int:
    """The front's clock, in tenths of a millisecond."""
    return time.monotonic_ns() // NS_PER_TICK


def unix_ms_at_zero() -> float:
    """The wall clock's time, in milliseconds, when the front's clock stood at 0, by what it shows now."""
    return time.time_ns() / 1e6 - time.monotonic_ns() / 1e6


def unix_ms() -> int:
    """The wall clock in milliseconds, which a cell map's times refer to."""
    return time.time_ns() // NS_PER_MS
