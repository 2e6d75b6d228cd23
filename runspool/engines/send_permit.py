"""Permission to send a request, asked for at the last possible moment before its first and its last byte."""

from __future__ import annotations

from typing import Protocol


class SendPermit(Protocol):
    """Decides whether an exchange may proceed, and is notified of its progress."""

    def deny_first_byte(self) -> str | None:
        """Return why nothing of the request may be sent now; None where it may."""

    def deny_last_byte(self, encoded_at: int) -> str | None:
        """Return why the last byte may not be sent now; None where it may.

        `encoded_at`: when the request was encoded, in tenths of a millisecond.
        """

    def request_written(self) -> None:
        """Note that the kernel has the whole request, which says nothing about the engine."""

    def response_started(self) -> None:
        """Note that the first bytes have come from the engine."""


class UnrestrictedPermit:
    """Permits everything and ignores the notifications."""

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
