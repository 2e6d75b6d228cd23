"""What one attempt may still do on its connection while its request goes out."""

from __future__ import annotations

from runspool.service.clock import now
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.pending_request import Endpoint, PendingRequest

WITHDRAWN = "taken off the list before it had the request"


class AttemptPermit:
    """A `SendPermit` that follows the request's lifecycle and the engine's current state in the list."""

    __slots__ = ("endpoint", "first_byte_at", "pending", "registry")

    def __init__(self, registry: EndpointRegistry, pending: PendingRequest, endpoint: Endpoint) -> None:
        self.registry = registry
        self.pending = pending
        self.endpoint = endpoint
        self.first_byte_at: int | None = None  # when the first byte was permitted, tenths of a millisecond

    def deny_first_byte(self) -> str | None:
        """Why nothing of the request may be sent: its engine was taken off the list while it connected."""
        if self.registry.is_withdrawn(self.endpoint):
            return WITHDRAWN
        if self.first_byte_at is None:
            self.first_byte_at = now()
        return None

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Why the request's last byte must not be sent now, or None if it may be.

        `encoded_at` is when the request, with the time left to it, was encoded.
        """
        denial = self.pending.lifecycle.deny_last_byte(now(), encoded_at)
        if denial is not None:
            return denial.value
        return self.deny_first_byte()

    def request_written(self) -> None:
        """The kernel has taken the whole request; the engine may or may not receive it."""
        self.pending.lifecycle.attempt_written()

    def response_started(self) -> None:
        """The engine has sent something, so it has received the request."""
        self.pending.lifecycle.attempt_received()
