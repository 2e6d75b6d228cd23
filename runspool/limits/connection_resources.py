"""What all client connections of a process share, so that none of them takes too much of it."""

from __future__ import annotations

import time

from runspool.limits.memory_account import MemoryAccount
from runspool.limits.peer_limits import PeerLimitMonitor
from runspool.limits.work_turns import WorkTurns


class ConnectionResources:
    """The resources that client connections share.

    Attributes:
        limit_monitor: Told whenever a client reaches a limit.
        memory: The account of what connections hold.
        work_turns: Shares the event loop between the connections.
    """

    def __init__(self, limit_monitor: PeerLimitMonitor) -> None:
        self.limit_monitor = limit_monitor
        self.memory = MemoryAccount(time.monotonic)
        self.work_turns = WorkTurns(limit_monitor)
