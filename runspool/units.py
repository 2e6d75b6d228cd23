"""The unit of all times and durations inside the program."""

from __future__ import annotations

TENTHS = 10  # tenths of a millisecond in one


def tenths(millis: float) -> int:
    """Whole tenths of a millisecond."""
    return round(millis * TENTHS)
