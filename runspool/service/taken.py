"""A query that this front has taken, and the one final answer it owes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import anyio

from runspool.cells.keeping import Stay
from runspool.decisions.interface import Role
from runspool.engines.shots import Address, Ended, State
from runspool.wire.completions import Wish


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


@dataclass(frozen=True, slots=True)
class Site:
    """Where an engine is spoken to, and as what, by the list's last word."""

    engine: int
    name: str
    address: Address
    role: Role
    started_unix_ms: int


class Reply(Protocol):
    """Where a streamed answer goes while it comes. Raises OSError where the client cannot be reached."""

    async def begun(self) -> None: ...
    async def said(self, text: str) -> None: ...


@dataclass(slots=True)
class Taken:
    index: int
    id: str
    wish: Wish
    reply: Reply
    came: int
    limit: int  # on the front's clock: when the client's time is up
    headers: dict[str, str]
    stay: Stay
    shots: int = 0
    state: State | None = None  # the read state that waits
    state_at: Site | None = None  # the engine where it does
    scope: anyio.CancelScope | None = None  # of the shot that is out
    begun: bool = False
    final: Final | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

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
