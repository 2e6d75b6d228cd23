"""Accepted requests that wait for their submission to the scheduler.

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

from runspool.limits.memory_account import ENGINE_CONNECTION_BYTES, MIN_READ_BYTES, MemoryKind
from runspool.service.clock import now
from runspool.service.timer_queue import SubmissionTimer
from runspool.units import TENTHS_PER_MS

if TYPE_CHECKING:
    from runspool.node.executor import NodeExecutor, PendingNodeRequest

# Memory that a request takes once it is submitted: its connection to an engine, and the first part of its
# response, which is held twice.
SUBMITTED_REQUEST_BYTES = ENGINE_CONNECTION_BYTES + 2 * MIN_READ_BYTES


class HoldEnd(Enum):
    """Why the requests of a starting process are not held any longer."""

    LIST_RECEIVED = "list_received"
    LIST_OVERDUE = "list_overdue"  # the agent is silent: the list of the configuration is used
    STOP_REQUESTED = "stop_requested"


class SubmissionQueue:
    """Submits accepted requests to the scheduler, in the order of their arrival.

    Requests that wait are accepted, guarded and ended by their executor like all others.

    Attributes:
        executor: The executor of the requests.
        is_held: Whether no request is submitted, because the endpoint list may be outdated.
    """

    def __init__(self, executor: NodeExecutor) -> None:
        """Create an empty queue that is not held."""
        self.executor = executor
        self.is_held = False
        self._held_since = 0
        self._waiting: dict[int, PendingNodeRequest] = {}  # by index, in the order of their arrival
        # What the requests will take as soon as they are submitted. It is charged before, as many may have
        # been accepted by then.
        self._charge = executor.connection_resources.memory.charge(MemoryKind.ENGINE_CONNECTION)
        self._is_submitting = False

    def hold(self) -> None:
        """Submit no request until end_hold() is called."""
        self.is_held = True
        self._held_since = now()

    def add(self, pending: PendingNodeRequest) -> None:
        """Submit an accepted request now or later, but not when it is too late for an attempt."""
        if not (self.is_held or self._waiting):
            self.executor.submit_to_scheduler(pending)
            return
        self._waiting[pending.index] = pending
        self._update_charge()
        self.executor.counts["submissions_delayed"] += 1
        expires_at = self.executor.deadline_guard.attempt_deadline(pending)
        self.executor.timers.schedule(expires_at, SubmissionTimer(pending.index))
        if not self.is_held:
            self._start_submitting()

    def expire(self, request: int) -> None:
        """Reject a request that still waits: no attempt could end within its time."""
        if request in self._waiting:
            self.executor.counts["submissions_expired"] += 1
            self._reject(request)

    def discard(self, pending: PendingNodeRequest) -> bool:
        """Remove a request; return whether it was waiting, and so is unknown to the scheduler."""
        return self._remove(pending.index)

    def end_hold(self, reason: HoldEnd) -> None:
        """Submit the requests that wait, or reject them at a stop."""
        self.is_held = False
        structlog.get_logger().info(
            "request_hold_ended",
            reason=reason.value,
            after_ms=(now() - self._held_since) / TENTHS_PER_MS,
            requests=len(self._waiting),
            list_version=self.executor.endpoint_tracker.version,
        )
        if reason is HoldEnd.STOP_REQUESTED:
            for request in list(self._waiting):
                self._reject(request)
        elif self._waiting:
            self._start_submitting()

    def _start_submitting(self) -> None:
        if not self._is_submitting:
            self._is_submitting = True
            self.executor.spawn(self._submit_waiting)

    async def _submit_waiting(self) -> None:
        """Submit all requests that wait, one in each iteration of the event loop."""
        try:
            while self._waiting:
                earliest = next(iter(self._waiting.values()))
                self._remove(earliest.index)
                self.executor.submit_to_scheduler(earliest)
                await anyio.lowlevel.checkpoint()
        finally:
            self._is_submitting = False

    def _remove(self, request: int) -> bool:
        """Remove a request with its charge; return whether it was waiting."""
        was_waiting = self._waiting.pop(request, None) is not None
        self._update_charge()
        return was_waiting

    def _update_charge(self) -> None:
        self._charge.set(len(self._waiting) * SUBMITTED_REQUEST_BYTES)

    def _reject(self, request: int) -> None:
        self._remove(request)
        self.executor.reject(request, retry_after=0)
        self.executor.forget_request(request)
