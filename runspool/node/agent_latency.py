"""Estimates how long the discovery agent takes to start responding to a call. Does no I/O."""

from __future__ import annotations

from runspool.node.discovery_call import DiscoveryCall


class AgentLatencyEstimator:
    """An estimate of the discovery agent's response latency.

    Only calls that were made after the response to the previously measured call are measured. A call that is
    open during an outage gets a late response even from a fast agent. Therefore the estimate is the lower one
    of the last two measurements: the agent counts as slow only after two slow responses in a row.

    Attributes:
        estimate: The latency in tenths of a millisecond; 0 until two calls have been measured.
    """

    def __init__(self) -> None:
        self.estimate = 0
        self._last_latency: int | None = None
        self._last_response_at = 0

    def measure(self, call: DiscoveryCall, now: int) -> None:
        """Measure a call whose response is complete at `now`.

        A call that was made before the previously measured response is ignored, and so is a watch whose wait
        was ended early by a change: the time that its response took is unknown.
        """
        if self._last_latency is not None and call.made_at < self._last_response_at:
            return
        response_began_at = now if call.first_byte_at is None else call.first_byte_at
        latency = response_began_at - call.made_at - call.wait
        if latency < 0:
            return
        self.estimate = 0 if self._last_latency is None else min(self._last_latency, latency)
        self._last_latency, self._last_response_at = latency, now
