"""How long the discovery agent takes to begin an answer. Free of I/O."""

from __future__ import annotations

from runspool.node.discovery_call import DiscoveryCall


class AnswerTime:
    """An estimate from calls that were made one after the answer to the other.

    A call that an outage has met is answered late by an agent that answers at once. So an agent counts as
    slow only by two such calls in a row, and then by the faster one.

    Attributes:
        estimate: tenths of a millisecond; 0 until there are two.
    """

    def __init__(self) -> None:
        self.estimate = 0
        self._latest: int | None = None
        self._latest_answered_at = 0

    def measure(self, call: DiscoveryCall, now: int) -> None:
        """Takes in a call that has been answered now, unless it was made before the latest one's answer."""
        if self._latest is not None and call.made_at < self._latest_answered_at:
            return
        began_at = now if call.first_byte_at is None else call.first_byte_at
        time = began_at - call.made_at - call.wait
        if time < 0:
            return  # a change ended the wait: how long the answer took is not known
        self.estimate = 0 if self._latest is None else min(self._latest, time)
        self._latest, self._latest_answered_at = time, now
