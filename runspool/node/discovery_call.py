"""The state of one call to the discovery agent."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.engines.connection_pool import Address


@dataclass(slots=True, eq=False)
class DiscoveryCall:
    """An HTTP request to the discovery agent, either for the whole endpoint list or for changes to it.

    A call for changes is a watch: the agent delays its response until there is a change, or until `wait` has
    passed. All times are in tenths of a millisecond.

    Attributes:
        number: The sequence number of the call within this process.
        address: The address of the agent.
        after_version: The version after which changes are requested; None requests the whole list.
        wait: How long the agent may delay its response while nothing changes; 0 for the whole list.
        made_at: When the call was made.
        first_byte_at: When the first byte of the response was received; None before that.
        last_byte_at: When the most recent bytes of the response were received; None before the first ones.
        local_port: The local port of the call's connection; None before the request has been sent.
        position_on_connection: The position of the request on its connection, counted from 1.
    """

    number: int
    address: Address
    after_version: int | None
    wait: int
    made_at: int
    first_byte_at: int | None = None
    last_byte_at: int | None = None
    local_port: int | None = None
    position_on_connection: int = 0

    def record_received_bytes(self, now: int) -> None:
        """Record that bytes of the response were received at `now`."""
        self.first_byte_at = now if self.first_byte_at is None else self.first_byte_at
        self.last_byte_at = now
