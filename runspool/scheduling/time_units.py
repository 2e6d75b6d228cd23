"""Time units of the scheduler, whose times and durations are whole tenths of a millisecond."""

from __future__ import annotations

MILLISECOND = 10
SECOND = 10_000
