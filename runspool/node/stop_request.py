"""That a node has been asked to stop, and when: the platform counts to the kill from that moment."""

from __future__ import annotations

import anyio

from runspool.service.clock import now


class StopRequest:
    """The first request to stop; later ones change nothing.

    `requested_at` is in tenths of a millisecond on the node's clock, 0 while nobody has asked.
    """

    def __init__(self) -> None:
        self.requested_at = 0
        self._requested = anyio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether the node has been asked to stop."""
        return self._requested.is_set()

    def request(self) -> None:
        """Asks the node to stop."""
        if not self.is_requested:
            self.requested_at = now()
            self._requested.set()

    async def wait(self, seconds: float | None = None) -> bool:
        """Waits until the node is asked to stop; returns False where it is not within `seconds`."""
        with anyio.move_on_after(seconds):
            await self._requested.wait()
        return self.is_requested
