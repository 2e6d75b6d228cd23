"""How soon the discovery agent is asked again while it does not answer. Free of I/O.

Each call is one that the agent may have to work off at its return, ahead of the next watch.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable

MIN_INTERVAL = 10_000  # between two calls while none is answered
MAX_INTERVAL = 40_000  # the platform has a change known 6 s after the agent could be reached
SHARE_OF_SILENCE = 10  # from ten times the shortest on, an interval is a tenth of the silence before it
MAX_INTERVAL_OF_SLOW_AGENT = 20_000
RETRY_INTERVAL = 2_000  # from a call to the next one, where one has failed: nothing is left to work off
JITTER = 0.1  # share by which an interval is shortened at most


class SearchPace:
    """The interval from the latest call to the next one.

    Attributes:
        interval: as it is now.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        """`random` returns numbers from 0 to 1."""
        self.random = random
        self.interval = MIN_INTERVAL
        self._silent_since: int | None = None  # the last answer, or the first call; None before that

    def answered(self, now: int) -> None:
        """Notes an answer."""
        self._silent_since = now

    def failed(self) -> None:
        """Notes that a call has failed."""
        self.interval = self._jittered(RETRY_INTERVAL)

    def called(self, now: int, answer_time: int) -> None:
        """Notes a call; the agent takes `answer_time` to begin an answer, as far as it is known."""
        if self._silent_since is None:
            self._silent_since = now
        growing = max((now - self._silent_since) // SHARE_OF_SILENCE, MIN_INTERVAL)
        of_slow_agent = min(answer_time // 2, MAX_INTERVAL_OF_SLOW_AGENT)
        self.interval = self._jittered(max(min(growing, MAX_INTERVAL), of_slow_agent))

    def _jittered(self, interval: int) -> int:
        return int(interval * (1 - JITTER * self.random()))
