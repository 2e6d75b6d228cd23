"""Permission to send a request, checked immediately before its first byte and again before its last byte."""

from __future__ import annotations

from typing import Protocol


class SendPermit(Protocol):
    """Decides whether a request may be sent, and is notified of the progress of the exchange."""

    def deny_first_byte(self) -> str | None:
        """Return the reason why the first byte must not be sent, or None if it may be sent."""

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Return the reason why the last byte must not be sent, or None if it may be sent.

        Args:
            encoded_at: Time at which the request was encoded, in tenths of a millisecond.
        """

    def request_written(self) -> None:
        """Handle the event that the kernel has taken the whole request; the engine may not have it yet."""

    def response_started(self) -> None:
        """Handle the event that the first bytes of the response have arrived."""


class UnrestrictedPermit:
    """Permits every request and ignores the notifications."""

    def deny_first_byte(self) -> str | None:
        """Permit the first byte."""
        return None

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Permit the last byte."""
        return None

    def request_written(self) -> None:
        """Ignore the notification."""
        return

    def response_started(self) -> None:
        """Ignore the notification."""
        return


UNRESTRICTED = UnrestrictedPermit()
