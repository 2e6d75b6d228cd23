"""The unit of all times and durations inside the program: tenths of a millisecond, as integers."""

from __future__ import annotations

TENTHS = 10  # tenths of a millisecond in a millisecond


def tenths(millis: float) -> int:
    """Converts milliseconds to tenths of a millisecond, rounded to the nearest integer (half to even)."""
    return round(millis * TENTHS)
