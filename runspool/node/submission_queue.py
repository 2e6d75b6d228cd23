"""Holds accepted requests back from the scheduler until the node's endpoint list is current.

When a process starts, the endpoint list of its configuration may be outdated: a request that is scheduled by
it could be sent to an engine that is already being removed. The kernel accepts connections as soon as the
node listens. Their requests are therefore read and accepted at once, so that their deadlines are guarded
while they wait for the list.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio.lowlevel
import structlog

from runspool.service.clock import now
from runspool.service.timer_queue import HoldTimer
from runspool.units import TENTHS_PER_MS

if TYPE_CHECKING:
    from runspool.node.executor import NodeExecutor, PendingNodeRequest


class HoldEnd(Enum):
    """Why requests are not held any longer."""

    LIST_RECEIVED = "list_received"
    LIST_OVERDUE = "list_overdue"  # the agent is silent: the list of the configuration is used
    STOP_REQUESTED = "stop_requested"


class RequestHold:
    """Holds requests while it is active; their executor accepts, guards and ends them like all others.

    Attributes:
        executor: The executor of the requests.
        is_active: Whether a request that is accepted now is held.
    """

    def __init__(self, executor: NodeExecutor) -> None:
        """Create a hold that is not active."""
        self.executor = executor
        self.is_active = False
        self._began_at = 0
        self._held: dict[int, PendingNodeRequest] = {}  # by index, in the order of their arrival

    def begin(self) -> None:
        """Hold all requests that are accepted from now on."""
        self.is_active = True
        self._began_at = now()

    def add(self, pending: PendingNodeRequest) -> None:
        """Hold an accepted request, at most until it is too late for an attempt."""
        self._held[pending.index] = pending
        self.executor.counts["held"] += 1
        expires_at = self.executor.deadline_guard.attempt_deadline(pending)
        self.executor.timers.schedule(expires_at, HoldTimer(pending.index))

    def expire(self, request: int) -> None:
        """Reject a request that is still held: no attempt could end within its time."""
        if request in self._held:
            self.executor.counts["held_expired"] += 1
            self._reject(request)

    def discard(self, pending: PendingNodeRequest) -> bool:
        """Stop holding a request; return whether it was held, and so is unknown to the scheduler."""
        return self._held.pop(pending.index, None) is not None

    async def end(self, reason: HoldEnd) -> None:
        """Stop holding requests: submit those that are held to the scheduler, or reject them at a stop.

        Other tasks run between two submissions, as many requests may be held.
        """
        self.is_active = False
        structlog.get_logger().info(
            "request_hold_ended",
            reason=reason.value,
            after_ms=(now() - self._began_at) / TENTHS_PER_MS,
            requests=len(self._held),
            list_version=self.executor.endpoint_tracker.version,
        )
        if reason is HoldEnd.STOP_REQUESTED:
            for request in list(self._held):
                self._reject(request)
        while self._held:
            pending = self._held.pop(next(iter(self._held)))
            self.executor.submit_to_scheduler(pending)
            await anyio.lowlevel.checkpoint()

    def _reject(self, request: int) -> None:
        del self._held[request]
        self.executor.reject(request, retry_after=0)
        self.executor.forget_request(request)
