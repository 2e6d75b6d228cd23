"""What one attempt may still do on its connection while its request goes out."""

from __future__ import annotations

from typing import Protocol

from runspool.service.clock import now
from runspool.service.pending_request import Endpoint, PendingRequest

WITHDRAWN = "taken off the list before it had the request"


class EndpointStatus(Protocol):
    """What an attempt asks about its engine: `EndpointRegistry` answers it."""

    def is_withdrawn(self, endpoint: Endpoint) -> bool:
        """Whether the engine is no longer READY in the endpoint list."""


class AttemptPermit:
    """A `SendPermit` that follows the request's lifecycle and the engine's current state in the list."""

    __slots__ = ("endpoint", "endpoint_status", "pending")

    def __init__(self, endpoint_status: EndpointStatus, pending: PendingRequest, endpoint: Endpoint) -> None:
        self.endpoint_status = endpoint_status
        self.pending = pending
        self.endpoint = endpoint

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Why the request's last byte must not be sent now, or None if it may be.

        `encoded_at` is when the request, with the time left to it, was encoded.
        """
        denial = self.pending.lifecycle.deny_last_byte(now(), encoded_at)
        if denial is not None:
            return denial.value
        return WITHDRAWN if self.endpoint_status.is_withdrawn(self.endpoint) else None

    def request_written(self) -> None:
        """The kernel has taken the whole request; the engine may or may not receive it."""
        self.pending.lifecycle.attempt_written()

    def response_started(self) -> None:
        """The engine has sent something, so it has received the request."""
        self.pending.lifecycle.attempt_received()
