"""The unit of times and durations inside the program: integer tenths of a millisecond."""

from __future__ import annotations

TENTHS_PER_MS = 10
TENTHS_PER_SECOND = 1000 * TENTHS_PER_MS


def ms_to_tenths(milliseconds: float) -> int:
    """Convert milliseconds to tenths of a millisecond, rounded to the nearest integer (half to even)."""
    return round(milliseconds * TENTHS_PER_MS)
