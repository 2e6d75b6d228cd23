"""One call for the endpoint list, and the log of how each call ended. Free of I/O but for the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.engines.connection_pool import Address
from runspool.logs import BoundedLog
from runspool.units import TENTHS

SLOW_ANSWER = 1_000  # tenths of a millisecond beyond a watch's wait from which its answer is logged


class CallEnd(Enum):
    """How a call for the endpoint list ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SUPERSEDED = "superseded"  # a call made later has been answered
    GIVEN_UP = "given_up"


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
    """

    number: int
    address: Address
    after_version: int | None
    wait: int
    made_at: int
    first_byte_at: int | None = None
    last_byte_at: int | None = None

    def received_bytes(self, now: int) -> None:
        """Notes that a piece of the answer has come."""
        self.first_byte_at = now if self.first_byte_at is None else self.first_byte_at
        self.last_byte_at = now


class DiscoveryCallLog:
    """Logs the calls that did not go as usual, and counts all of them.

    Attributes:
        counts: calls by how they ended.
    """

    def __init__(self, tracker: EndpointTracker) -> None:
        self.tracker = tracker
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger()
        self.bounded_log = BoundedLog()

    def ended(self, call: DiscoveryCall, end: CallEnd, now: int, calls_out: int, reason: str = "") -> None:
        """Logs the end of a call.

        Args:
            call: the call.
            end: how it ended.
            now: the present time, tenths of a millisecond.
            calls_out: calls that are still out.
            reason: why it failed.
        """
        self.counts[f"discovery_call_{end.value}"] += 1
        is_usual = end is CallEnd.ANSWERED and now - call.made_at - call.wait < SLOW_ANSWER
        write = self.log.debug if is_usual else self.bounded_log.info
        confirmed_at = self.tracker.confirmed_at
        write(
            "discovery_call_ended",
            call=call.number,
            how=end.value,
            reason=reason,
            after=call.after_version,
            age_ms=(now - call.made_at) / TENTHS,
            first_byte_ms=None
            if call.first_byte_at is None
            else (call.first_byte_at - call.made_at) / TENTHS,
            calls_out=calls_out,
            version=self.tracker.version,
            confirmed_ms_ago=None if confirmed_at is None else (now - confirmed_at) / TENTHS,
        )
