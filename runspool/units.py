"""The unit of times and durations inside the program: integer tenths of a millisecond."""

from __future__ import annotations

TENTHS = 10  # tenths of a millisecond per millisecond
UNITS_PER_SECOND = 1000 * TENTHS  # tenths of a millisecond per second


def tenths(millis: float) -> int:
    """Convert milliseconds to tenths of a millisecond, rounded to the nearest integer (half to even)."""
    return round(millis * TENTHS)
