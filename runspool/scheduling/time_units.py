"""The scheduler's unit of time: whole tenths of a millisecond."""

from __future__ import annotations

MILLISECOND = 10
SECOND = 10_000
