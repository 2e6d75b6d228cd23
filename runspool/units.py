"""The unit of times and durations inside the program: integer tenths of a millisecond."""

from __future__ import annotations

TENTHS_PER_MS = 10  # tenths of a millisecond per millisecond
TENTHS_PER_SECOND = 1000 * TENTHS_PER_MS  # tenths of a millisecond per second


def ms_to_tenths(millis: float) -> int:
    """Convert milliseconds to tenths of a millisecond, rounded to the nearest integer (half to even)."""
    return round(millis * TENTHS_PER_MS)
