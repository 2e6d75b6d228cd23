"""A completion that this front has taken, and where its answer goes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from runspool.cells.keeping import Stay
from runspool.engines.shots import State
from runspool.service.owed import Owed
from runspool.wire.completions import Wish


class Reply(Protocol):
    """Where a streamed answer goes while it comes. Raises OSError where the client cannot be reached."""

    async def begun(self) -> None: ...
    async def said(self, text: str) -> None: ...


@dataclass(slots=True, kw_only=True)
class Taken(Owed):
    wish: Wish
    reply: Reply
    headers: dict[str, str]
    stay: Stay
    state: State | None = None  # the read state that waits
