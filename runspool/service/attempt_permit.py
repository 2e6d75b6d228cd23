"""Checks whether an attempt may still send its request to the engine."""

from __future__ import annotations

from runspool.scheduling.request_lifecycle import DenialReason
from runspool.service.clock import now
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.pending_request import Endpoint, PendingRequest

WITHDRAWN = "the engine was removed from the endpoint list before it received the request"


class AttemptPermit:
    """A `SendPermit` based on the request's lifecycle and the engine's state in the endpoint list.

    `first_byte_at` is the time at which the first byte was permitted, in tenths of a millisecond.
    """

    __slots__ = ("endpoint", "endpoint_registry", "first_byte_at", "pending")

    def __init__(
        self, endpoint_registry: EndpointRegistry, pending: PendingRequest, endpoint: Endpoint
    ) -> None:
        self.endpoint_registry = endpoint_registry
        self.pending = pending
        self.endpoint = endpoint
        self.first_byte_at: int | None = None

    def deny_first_byte(self) -> str | None:
        """Return why the request may not be sent, or None if it may.

        Sending is denied if the request has been answered or the client has left, or if the endpoint list has
        withdrawn the engine while the attempt was connecting.
        """
        if self.pending.final_response is not None:
            return DenialReason.ALREADY_ANSWERED.value
        if self.pending.has_client_left():
            self.pending.lifecycle.mark_client_disconnected()
            return DenialReason.CLIENT_DISCONNECTED.value
        if self.endpoint_registry.is_withdrawn(self.endpoint):
            return WITHDRAWN
        if self.first_byte_at is None:
            self.first_byte_at = now()
        return None

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Return why the request's last byte may not be sent now, or None if it may.

        `encoded_at` is when the request, including the header with its remaining time, was encoded.
        """
        denial = self.pending.lifecycle.deny_last_byte(now(), encoded_at)
        if denial is not None:
            return denial.value
        return self.deny_first_byte()

    def request_written(self) -> None:
        """Record that the kernel has accepted the whole request; the engine may not have received it yet."""
        self.pending.lifecycle.attempt_written()

    def response_started(self) -> None:
        """Record that the engine has sent a response byte, which shows that it has received the request."""
        self.pending.lifecycle.engine_responded()
