"""The unit of all times and durations inside the program: tenths of a millisecond, as integers."""

from __future__ import annotations

TENTHS = 10  # tenths of a millisecond in a millisecond
UNITS_PER_SECOND = 1000 * TENTHS  # tenths of a millisecond in a second


def tenths(millis: float) -> int:
    """Converts milliseconds to tenths of a millisecond, rounded to the nearest integer (half to even)."""
    return round(millis * TENTHS)
