"""A completion request that this front has accepted."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.cells.cell_router import CellAdmission
from runspool.engines.completions_client import PrefillState
from runspool.service.pending_request import PendingRequest
from runspool.wire.completions import CompletionRequest


@dataclass(slots=True, kw_only=True)
class PendingCompletion(PendingRequest):
    """A pending request with what the completions protocol and the cells add."""

    completion: CompletionRequest
    headers: dict[str, str]  # of the client, passed on to engines
    admission: CellAdmission
    state: PrefillState | None = None  # of the finished prefill, while an engine keeps it
