"""A completion that this front has taken."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.cells.keeping import Stay
from runspool.engines.shots import State
from runspool.service.owed import Owed
from runspool.wire.completions import Wish


@dataclass(slots=True, kw_only=True)
class Taken(Owed):
    wish: Wish
    headers: dict[str, str]
    stay: Stay
    state: State | None = None  # the read state that waits
