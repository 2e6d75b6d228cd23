"""An accepted completion request and the headers that are forwarded to engines with it."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.cells.cell_router import CellAdmission
from runspool.engines.completions_client import PrefillState
from runspool.service.pending_request import PendingRequest
from runspool.wire.completions import CompletionRequest


@dataclass(slots=True, kw_only=True)
class PendingCompletion(PendingRequest):
    """A pending request of the completions API.

    Attributes:
        completion: The parsed request.
        headers: The headers for engines; see forwarded_headers().
        admission: The cell that has admitted the request.
        state: The state of the completed prefill, while an engine keeps it.
    """

    completion: CompletionRequest
    headers: dict[str, str]
    admission: CellAdmission
    state: PrefillState | None = None


def forwarded_headers(completion: CompletionRequest, front: str) -> dict[str, str]:
    """Return the headers that are sent to engines with the request, without empty ones.

    `front` is the name of this front.
    """
    headers = {
        "Runspool-Mark": completion.client_attempt,
        "Runspool-Tariff": completion.request_class,
        "Runspool-Tenant": completion.tenant,
        "Runspool-Ticket": completion.idempotency_key,
        "Runspool-Front": front,
    }
    return {name: value for name, value in headers.items() if value}
