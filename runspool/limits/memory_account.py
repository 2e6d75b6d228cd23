"""The account of the memory that peers make this process hold. It does no I/O.

Everything that a peer can make grow is charged here: received bytes that are not parsed yet, heads and bodies
of requests, bytes behind an open request, and parts of responses that a client has not taken. The account has
one budget, which follows from the memory limit of the process (see `memory_budget`). Where memory gets short,

1. less is read from each connection at a time, down to MIN_READ_BYTES
2. the holders that have held most for longest give up what they can, with a final response to their clients

A budget of 0 means that there is no limit.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import structlog

from runspool.limits.process_memory import resident_mb

READ_BYTES = 32_768  # maximum number of bytes of one read from a connection
MIN_READ_BYTES = 4_096  # number of bytes of one read while memory is short
# The part of the available memory that one read may take. Many connections may be read from before any of
# them is parsed, so each takes a small part of what the others have left.
READ_SHARE = 1 / 64
# Share of the budget down to which memory is given up once the budget is exceeded. One search for the largest
# holders then serves many later charges.
RECLAIM_SHARE = 0.9
# Seconds added to the age of what is held when holders are compared. What has just arrived is otherwise never
# given up, however much it is.
AGE_OFFSET = 0.05
# Memory of a request that is served, with its attempt, beside its head, its body and its connections.
OPEN_REQUEST_BYTES = 12_000
# Memory of a connection to an engine, with its parser.
ENGINE_CONNECTION_BYTES = 8_000


class MemoryKind(Enum):
    """What memory is held for; the value is the name in logs."""

    RECEIVED = "received"  # bytes received and not parsed yet, bytes behind an open request among them
    REQUEST = "request"  # heads and bodies of requests
    OPEN_REQUEST = "open_request"  # what serving a request takes beside its head and its body
    ENGINE_CONNECTION = "engine_connection"  # connections to engines, idle ones among them
    RESPONSE = "response"  # parts of responses that have not been sent, and of events that are not complete


class MemoryHolder(Protocol):
    """A connection that can give up memory."""

    @property
    def reclaimable_bytes(self) -> int:
        """The number of bytes that give_up_memory() would free now."""

    @property
    def held_since(self) -> float:
        """The time since which it has held them, in seconds on the clock of the account."""

    def give_up_memory(self) -> None:
        """Free the memory, at once; the peer gets a final response or the end of its connection."""


class MemoryCharge:
    """What one object holds of one kind.

    Attributes:
        size: The number of bytes charged.
    """

    __slots__ = ("_account", "_kind_name", "size")

    def __init__(self, account: MemoryAccount, kind: MemoryKind) -> None:
        self._account = account
        self._kind_name = kind.value
        self.size = 0

    def set(self, size: int) -> None:
        """Charge `size` bytes instead of what was charged before. Holders may be told to give up memory."""
        change = size - self.size
        self.size = size
        if change:
            self._account.record(self._kind_name, change)

    def split(self, size: int) -> MemoryCharge:
        """Move up to `size` bytes to a new charge of the same kind; the account does not change."""
        part = MemoryCharge(self._account, MemoryKind(self._kind_name))
        part.size = min(size, self.size)
        self.size -= part.size
        return part

    def release(self) -> None:
        """Charge nothing any more."""
        self.set(0)


class MemoryAccount:
    """What is held by all connections together, and the limit for it.

    Attributes:
        budget: The limit in bytes; 0 for no limit.
        held_bytes: The number of bytes held.
        held_by_kind: The same by the name of the kind.
        read_size: The number of bytes that may be read from a connection now.
        peak_bytes: The highest number of bytes held so far.
        reclaimed_count: The number of times that a holder was told to give up memory.
    """

    def __init__(self, clock: Callable[[], float], budget: int = 0) -> None:
        """Create an account.

        Args:
            clock: Returns the current time in seconds.
            budget: The limit in bytes; 0 for no limit.
        """
        self.clock = clock
        self.budget = budget
        self.read_size = READ_BYTES
        self.held_bytes = 0
        self.held_by_kind: dict[str, int] = {kind.value: 0 for kind in MemoryKind}
        self.peak_bytes = 0
        self.reclaimed_count = 0
        self._holders: set[MemoryHolder] = set()
        self._is_reclaiming = False
        self._log = structlog.get_logger()

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the budget allows, and nobody can give it up."""
        return 0 < self.budget < self.held_bytes

    def change_budget(self, budget: int) -> None:
        """Change the budget; holders are told to give up memory if more is held."""
        self.budget = budget
        self._update_read_size()
        if self.is_exceeded:
            self._reclaim()

    def charge(self, kind: MemoryKind) -> MemoryCharge:
        """Return a charge of a kind, which holds nothing yet."""
        return MemoryCharge(self, kind)

    def add_holder(self, holder: MemoryHolder) -> None:
        """Add a holder that may be told to give up memory."""
        self._holders.add(holder)

    def remove_holder(self, holder: MemoryHolder) -> None:
        """Remove a holder; its charges stay until they are released."""
        self._holders.discard(holder)

    def record(self, kind_name: str, change: int) -> None:
        """Record that a charge has changed; called by charges."""
        self.held_bytes += change
        self.held_by_kind[kind_name] += change
        self._update_read_size()
        if self.held_bytes > self.peak_bytes:
            self._record_peak()
        if 0 < self.budget < self.held_bytes and change > 0:
            self._reclaim()

    def details(self) -> dict[str, object]:
        """Return what is held, for logs."""
        return {
            "held": self.held_bytes,
            "budget": self.budget,
            "holders": len(self._holders),
            **self.held_by_kind,
        }

    def _update_read_size(self) -> None:
        size = READ_BYTES
        if self.budget:
            size = max(MIN_READ_BYTES, min(READ_BYTES, int((self.budget - self.held_bytes) * READ_SHARE)))
        self.read_size = size

    def _record_peak(self) -> None:
        """Record the highest number of bytes held; log it whenever it has doubled."""
        has_doubled = self.held_bytes.bit_length() > self.peak_bytes.bit_length()
        self.peak_bytes = self.held_bytes
        if has_doubled and self.budget and self.held_bytes > self.budget // 16:
            self._log.info("memory_held", resident_mb=resident_mb(), **self.details())

    def _reclaim(self) -> None:
        """Have holders give up memory, those first that have held most for longest."""
        if self._is_reclaiming:
            return
        self._is_reclaiming = True
        try:
            now = self.clock()
            target = int(self.budget * RECLAIM_SHARE)
            holders = sorted(
                (holder for holder in self._holders if holder.reclaimable_bytes),
                key=lambda holder: holder.reclaimable_bytes * (now - holder.held_since + AGE_OFFSET),
            )
            while holders and self.held_bytes > target:
                self.reclaimed_count += 1
                holders.pop().give_up_memory()
        finally:
            self._is_reclaiming = False
