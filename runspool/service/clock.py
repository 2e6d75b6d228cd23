"""The front's clock: monotonic, in whole tenths of a millisecond."""

from __future__ import annotations

import time


def now() -> int:
    return time.monotonic_ns() // 100_000


def unix_ms_at_zero() -> float:
    """What the wall clock said, in milliseconds, when this clock stood at 0."""
    return time.time_ns() / 1e6 - time.monotonic_ns() / 1e6


def unix_ms() -> int:
    """The wall clock, by which a cell map's moments are told."""
    return time.time_ns() // 1_000_000
