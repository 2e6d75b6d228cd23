"""Plans a backup watch, which runs concurrently with the first one after an interruption. Does no I/O.

The first watch after an interruption may be lost, or may be queued behind other calls at the agent. The node
cannot detect either before the watch's wait has passed. A backup watch on another connection delivers the
changes in the meantime.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from runspool.node.discovery_call import DiscoveryCall

# Time from the end of the interruption to the first backup watch. It starts anew with each later response to
# a call that was made before that end.
START_DELAY = 1_500
# Waits of the successive backup watches. With START_DELAY, they last until the first watch counts as overdue,
# which takes its wait and the overdue margin of a fast agent.
WAITS: tuple[int, ...] = (
    2_000,
    4_000,
    8_000,
)


class BackupWatch:
    """Plans the sequence of backup watches after one interruption.

    Attributes:
        call: The backup watch that is open; None if there is none.
    """

    def __init__(self) -> None:
        self.call: DiscoveryCall | None = None
        self._remaining_waits: list[int] = []
        self._started_at = 0
        self._due_at = 0

    def start(self, now: int) -> None:
        """Start a sequence at the end of an interruption; the first backup watch is due after START_DELAY."""
        self._remaining_waits = list(WAITS)
        self._started_at = now
        self._due_at = now + START_DELAY

    def due_at(self) -> int | None:
        """Return when the next backup watch is due; None if none is planned, or if one is open."""
        return self._due_at if self._remaining_waits and self.call is None else None

    def record_call(self, call: DiscoveryCall) -> None:
        """Record `call` as the open backup watch, and set its wait to the next one of the sequence."""
        call.wait = self._remaining_waits.pop(0)
        self.call = call

    def record_response(self, call: DiscoveryCall, now: int) -> None:
        """Record the response to a call, which may be any call.

        After the response to the open backup watch, the next one is due at once. The first one is postponed
        as long as responses arrive to calls that were made during the interruption.
        """
        if call is self.call:
            self.call = None
            self._due_at = now
        if call.made_at < self._started_at and len(self._remaining_waits) == len(WAITS):
            self._due_at = now + START_DELAY

    def record_loss(self, call: DiscoveryCall) -> None:
        """Record that a call ended without a response; if it is the backup watch, the sequence ends."""
        if call is self.call:
            self.call = None
            self._remaining_waits.clear()
