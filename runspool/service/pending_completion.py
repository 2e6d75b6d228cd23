"""A completion request that this front has accepted, and what engines are told of it."""

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


def forwarded_headers(completion: CompletionRequest, front: str) -> dict[str, str]:
    """The headers that engines get with the request from the front with this name, without empty ones."""
    headers = {
        "Runspool-Mark": completion.client_attempt,
        "Runspool-Tariff": completion.request_class,
        "Runspool-Tenant": completion.tenant,
        "Runspool-Ticket": completion.idempotency_key,
        "Runspool-Front": front,
    }
    return {name: value for name, value in headers.items() if value}
