"""A completion that this front has taken."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.cells.cell_router import CellAdmission
from runspool.engines.completions_client import PrefillState
from runspool.service.pending_request import PendingRequest
from runspool.wire.completions import CompletionRequest


@dataclass(slots=True, kw_only=True)
class PendingCompletion(PendingRequest):
    completion: CompletionRequest
    headers: dict[str, str]
    admission: CellAdmission
    state: PrefillState | None = None  # the read state that waits
