"""Divides the memory limit of the process: what its connections may hold, and how many there may be.

It does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from runspool.limits.process_memory import BYTES_PER_MB

# Memory of one client connection beside what is charged for it: its task, its parser and its transport.
CONNECTION_BYTES = 13_000
# What an idle process still grows by once it serves: code that is used for the first time, and the ids that
# are remembered.
GROWTH_BYTES = 3 * BYTES_PER_MB
# Memory for one engine on the endpoint list.
ENGINE_BYTES = 4_096
# Memory for the name of a session or of a prompt prefix.
NAME_BYTES = 300
# Shares of the memory beside the idle process for connections without anything charged, and for names.
CONNECTIONS_SHARE = 0.35
NAMES_SHARE = 0.1
# A charged byte may take this much memory: allocators leave gaps, and some bytes exist twice for a moment.
OVERHEAD_FACTOR = 1.6
# Memory that a byte of the endpoint list takes while it is read, in the worst case: an entry without fields.
LIST_BYTE_FACTOR = 24
# Sizes of the endpoint list that are accepted: one with 3,200 indented entries in any case, and the largest.
MIN_LIST_BYTES = 1_500_000
MAX_LIST_BYTES = 16 * BYTES_PER_MB
# Lower bounds, so that a node with too little memory still serves something.
MIN_CLIENTS = 32
MIN_NAMES = 1_000
MIN_BUDGET_BYTES = 1 * BYTES_PER_MB
# Memory beside the idle process below which the limit cannot be kept in every case.
MIN_HEADROOM_BYTES = 8 * BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """How the memory limit is divided.

    Attributes:
        limit_bytes: The memory limit of the process.
        idle_bytes: The resident memory of the idle process.
        max_clients: The maximum number of client connections.
        max_names: The maximum number of names of sessions and prompt prefixes that are remembered.
        charged_bytes: The budget of the account.
    """

    limit_bytes: int
    idle_bytes: int
    max_clients: int
    max_names: int
    charged_bytes: int

    @property
    def is_sufficient(self) -> bool:
        """Whether the limit is kept whatever clients do."""
        return self.limit_bytes - self.idle_bytes >= MIN_HEADROOM_BYTES


def divide_memory(
    limit_mb: float, idle_bytes: int, max_clients: int, max_names: int, engine_count: int
) -> MemoryBudget:
    """Divide the memory limit of a process.

    Args:
        limit_mb: The memory limit in MB.
        idle_bytes: The resident memory of the process before it serves, in bytes.
        max_clients: The number of client connections that the descriptors allow.
        max_names: The number of names that are of use.
        engine_count: The number of engines known.
    """
    limit_bytes = int(limit_mb * BYTES_PER_MB)
    headroom = limit_bytes - idle_bytes - GROWTH_BYTES - engine_count * ENGINE_BYTES
    clients = min(max_clients, max(MIN_CLIENTS, int(headroom * CONNECTIONS_SHARE) // CONNECTION_BYTES))
    names = min(max_names, max(MIN_NAMES, int(headroom * NAMES_SHARE) // NAME_BYTES))
    charged = int((headroom - clients * CONNECTION_BYTES - names * NAME_BYTES) / OVERHEAD_FACTOR)
    return MemoryBudget(limit_bytes, idle_bytes, clients, names, max(MIN_BUDGET_BYTES, charged))


def max_list_bytes(limit_mb: float, idle_bytes: int) -> int:
    """Return the maximum size of all answers with an endpoint list that are being received.

    Args:
        limit_mb: The memory limit of the process in MB.
        idle_bytes: The resident memory of the process before it serves, in bytes.
    """
    headroom = int(limit_mb * BYTES_PER_MB) - idle_bytes
    return max(MIN_LIST_BYTES, min(MAX_LIST_BYTES, headroom // LIST_BYTE_FACTOR))
