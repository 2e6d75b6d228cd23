"""Determines how often the discovery agent is called while it does not respond. Does no I/O.

The interval grows with the duration of an outage: when the agent recovers, it may have to process every call
made during the outage before it can respond to the next watch (see `DiscoveryCall`).

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable

# Bounds of the interval between two calls while the agent does not respond, before jitter. The platform
# requires that a node knows a change at most 6 s after the agent is reachable again.
MIN_INTERVAL = 10_000
MAX_INTERVAL = 40_000
SILENCE_DIVISOR = 10  # within these bounds, the interval is the time without a response divided by this
# A slow agent is called at intervals of at least half of its response latency. This bounds that minimum.
MAX_INTERVAL_OF_SLOW_AGENT = 20_000
# Interval after a call that failed. It is short because a failed call leaves the agent nothing to process.
RETRY_INTERVAL = 2_000
JITTER = 0.1  # largest fraction by which an interval is shortened at random


class SearchBackoff:
    """The interval from the latest call to the next one.

    Attributes:
        interval: The current interval in tenths of a millisecond.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        """Create the state before the first call; `random` returns numbers from 0 to 1."""
        self.random = random
        self.interval = MIN_INTERVAL
        self._silent_since: int | None = None  # time of the last response or, before any, of the first call

    def record_response(self, now: int) -> None:
        """Record that a response was received at `now`."""
        self._silent_since = now

    def record_failure(self) -> None:
        """Record that a call has failed: the next one is made after RETRY_INTERVAL."""
        self.interval = self._jittered(RETRY_INTERVAL)

    def record_call(self, now: int, agent_latency: int) -> None:
        """Record that a call was made at `now`, and compute the interval to the next one.

        Args:
            now: The current time.
            agent_latency: The estimated time that the agent takes to start a response; 0 if unknown.
        """
        if self._silent_since is None:
            self._silent_since = now
        growing_interval = max((now - self._silent_since) // SILENCE_DIVISOR, MIN_INTERVAL)
        slow_agent_minimum = min(agent_latency // 2, MAX_INTERVAL_OF_SLOW_AGENT)
        self.interval = self._jittered(max(min(growing_interval, MAX_INTERVAL), slow_agent_minimum))

    def _jittered(self, interval: int) -> int:
        return int(interval * (1 - JITTER * self.random()))
