"""One call for the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.engines.connection_pool import Address


@dataclass(slots=True, eq=False)
class DiscoveryCall:
    """A call for the endpoint list; times in tenths of a millisecond.

    Attributes:
        number: counts the calls of this process.
        address: the agent that was called.
        after_version: requests what changed after this version; None requests the whole list.
        wait: that the agent may hold the call open; 0 for the whole list.
        made_at: when it was made.
        first_byte_at: when the first byte of its answer came, None before.
        last_byte_at: when the latest piece of its answer came, None before the first.
        local_port: of the connection that it was sent on, None before.
        position: which of the requests on that connection it is, from 1.
    """

    number: int
    address: Address
    after_version: int | None
    wait: int
    made_at: int
    first_byte_at: int | None = None
    last_byte_at: int | None = None
    local_port: int | None = None
    position: int = 0

    def received_bytes(self, now: int) -> None:
        """Notes that a piece of the answer has come."""
        self.first_byte_at = now if self.first_byte_at is None else self.first_byte_at
        self.last_byte_at = now
