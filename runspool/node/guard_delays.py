"""Records how long requests wait, from their arrival at the host, until their deadlines are guarded."""

from __future__ import annotations

from collections import Counter

from runspool.logs import RateLimitedLog
from runspool.units import TENTHS_PER_MS

# By the platform's rules a request is lost if it is answered 0.5 s after its deadline, and a process may be
# suspended for 0.15 s. The deadline of a request must be guarded within the difference, in tenths of a
# millisecond: there may be hardly any time until it.
MAX_GUARD_DELAY = 3_500


class GuardDelays:
    """The delays from the arrival of requests' last bytes until timers guard their deadlines.

    Attributes:
        longest: The longest delay, in tenths of a millisecond.
    """

    def __init__(self, log: RateLimitedLog, counts: Counter[str]) -> None:
        """Create a record without delays; those that are too long are logged and counted."""
        self.log = log
        self.counts = counts
        self.longest = 0

    def record(self, request: str, delay: int) -> None:
        """Record the delay of a request, in tenths of a millisecond."""
        self.longest = max(self.longest, delay)
        if delay > MAX_GUARD_DELAY:
            self.counts["deadlines_guarded_late"] += 1
            self.log.info("deadline_guarded_late", request=request, after_ms=delay / TENTHS_PER_MS)
