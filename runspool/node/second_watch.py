"""Plans a second watch, which runs concurrently with the first one after an interruption. Does no I/O.

The first watch after an interruption may be lost, or may be queued behind other calls at the agent. The node
cannot detect either before the watch's wait has passed. A second watch on another connection delivers the
changes in the meantime.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from runspool.node.discovery_call import DiscoveryCall

# From the last response to a call that was made before the interruption ended, to the first second watch.
DELAY = 1_500
# Waits of the successive second watches. Their sum exceeds the first watch's wait and the time until the
# first watch counts as overdue.
WAITS: tuple[int, ...] = (
    2_000,
    4_000,
    8_000,
)


class SecondWatch:
    """Plans the sequence of second watches after one interruption.

    Attributes:
        call: The second watch that is open; None if there is none.
    """

    def __init__(self) -> None:
        self.call: DiscoveryCall | None = None
        self._remaining_waits: list[int] = []
        self._began_at = 0
        self._due_at = 0

    def begin(self, now: int) -> None:
        """Start a sequence at the end of an interruption; the first second watch is due after DELAY."""
        self._remaining_waits = list(WAITS)
        self._began_at = now
        self._due_at = now + DELAY

    def due_at(self) -> int | None:
        """Return when the next second watch is due; None if none is planned, or if one is open."""
        return self._due_at if self._remaining_waits and self.call is None else None

    def made(self, call: DiscoveryCall) -> None:
        """Make `call` the open second watch, and set its wait to the next one of the sequence."""
        call.wait = self._remaining_waits.pop(0)
        self.call = call

    def answered(self, call: DiscoveryCall, now: int) -> None:
        """Record the response to a call, which may be any call.

        After the response to the open second watch, the next one is due at once. The first one is postponed
        as long as responses arrive to calls that were made during the interruption.
        """
        if call is self.call:
            self.call = None
            self._due_at = now
        if call.made_at < self._began_at and len(self._remaining_waits) == len(WAITS):
            self._due_at = now + DELAY

    def dropped(self, call: DiscoveryCall) -> None:
        """Record that a call ended without a response; if it is the second watch, the sequence ends."""
        if call is self.call:
            self.call = None
            self._remaining_waits.clear()
