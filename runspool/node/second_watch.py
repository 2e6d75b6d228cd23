"""When a second watch is held beside the first one, after an interruption. Free of I/O.

The first watch after an interruption may be lost, or be behind others at the agent, and says nothing of it
for as long as it may wait. The second one, on another connection, brings what changes meanwhile.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from runspool.node.discovery_call import DiscoveryCall

DELAY = 1_500  # after the last answer to what was asked before the end of the interruption
WAITS: tuple[int, ...] = (
    2_000,
    4_000,
    8_000,
)  # together they outlast the first watch and the patience with it


class SecondWatch:
    """Plans the second watches after one interruption.

    Attributes:
        call: the one that is out, None where none is.
    """

    def __init__(self) -> None:
        self.call: DiscoveryCall | None = None
        self._waits: list[int] = []
        self._began_at = 0
        self._due_at = 0

    def begin(self, now: int) -> None:
        """Has second watches made from a while after now on."""
        self._waits = list(WAITS)
        self._began_at = now
        self._due_at = now + DELAY

    def due_at(self) -> int | None:
        """Returns when the next one is to be made; None where none is."""
        return self._due_at if self._waits and self.call is None else None

    def made(self, call: DiscoveryCall) -> None:
        """Takes the next wait for a call that is made now."""
        call.wait = self._waits.pop(0)
        self.call = call

    def answered(self, call: DiscoveryCall, now: int) -> None:
        """Plans the next one; puts off the first while answers come to what the interruption has met."""
        if call is self.call:
            self.call = None
            self._due_at = now
        if call.made_at < self._began_at and len(self._waits) == len(WAITS):
            self._due_at = now + DELAY

    def dropped(self, call: DiscoveryCall) -> None:
        """Notes that a call is not out any more, and has not been answered: no further one is made."""
        if call is self.call:
            self.call = None
            self._waits.clear()
