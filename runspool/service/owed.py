"""What is owed for a query that was taken: one final answer. The same whatever way it came in."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio

from runspool.decisions.interface import Role
from runspool.decisions.lifecycle import Lifecycle
from runspool.engines.connections import Address
from runspool.engines.exchange import Ended, Listener


class Kind(Enum):
    SUCCEEDED = "succeeded"
    DISMISSED = "dismissed"
    SCRAPPED = "scrapped"
    LEFT = "left"  # the client went; nothing is owed any more


@dataclass(slots=True)
class Final:
    """The one final answer; `hold_off` in tenths of a millisecond."""

    kind: Kind
    code: str = ""
    message: str = ""
    hold_off: int = 0
    ended: Ended | None = None


class Refused(Exception):
    """A query not taken: nothing has been done for it, and nothing will be. A scrapping where an earlier try
    of it may have run."""

    def __init__(self, code: str, message: str, kind: Kind = Kind.DISMISSED) -> None:
        super().__init__(message)
        self.code, self.message, self.kind = code, message, kind


@dataclass(frozen=True, slots=True)
class Site:
    """Where an engine is spoken to, and as what, by the list's last word."""

    engine: int
    name: str
    address: Address
    role: Role
    started_unix_ms: int
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class Owed:
    index: int
    id: str
    came: int
    limit: int  # on the front's clock: when the client's time is up
    reply: Listener[Any]  # where its answer goes while it comes; raises OSError where that cannot be reached
    shots: int = 0
    state_at: Site | None = None  # the engine where the read state waits
    scope: anyio.CancelScope | None = None  # of the shot that is out
    begun: bool = False
    guard_rang: bool = False
    final: Final | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    life: Lifecycle = field(default_factory=Lifecycle)

    def call_back(self) -> None:
        """Ends the shot that is out, if one is."""
        if self.scope is not None:
            self.scope.cancel()

    def settle(self, final: Final) -> bool:
        """Gives the final answer; False where there already is one, which then stays."""
        if self.final is not None:
            return False
        self.final = final
        self.done.set()
        return True
