"""The request to stop a node, and its time, from which the platform measures the time until the kill."""

from __future__ import annotations

import anyio

from runspool.service.clock import now


class StopRequest:
    """Records the first request to stop the node; later requests have no effect.

    Attributes:
        requested_at: When the stop was requested, in tenths of a millisecond on the node's clock; 0 before.
    """

    def __init__(self) -> None:
        self.requested_at = 0
        self._requested = anyio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether a stop has been requested."""
        return self._requested.is_set()

    def request(self) -> None:
        """Request the node to stop."""
        if not self.is_requested:
            self.requested_at = now()
            self._requested.set()

    async def wait(self, seconds: float | None = None) -> bool:
        """Wait until a stop is requested, at most for `seconds`; return whether it has been requested."""
        with anyio.move_on_after(seconds):
            await self._requested.wait()
        return self.is_requested
