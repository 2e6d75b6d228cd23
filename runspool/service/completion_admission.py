"""Builds the cell router's admission requests and the errors for clients whose requests are refused."""

from __future__ import annotations

import xxhash

from runspool.cells.cell_router import AdmissionRefusal, AdmissionRequest
from runspool.config import FrontConfig
from runspool.service.pending_request import RequestNotAcceptedError, ResponseKind
from runspool.units import ms_to_tenths
from runspool.wire.completions import CompletionRequest

POISONOUS_MESSAGE = "engines were lost with this query; it is sent nowhere"

# The error code, error message and response kind of each refusal.
REFUSALS = {
    AdmissionRefusal.CELL_FULL: (
        "cell_full",
        "this cell has all the queries here it may; come later",
        ResponseKind.REJECTED,
    ),
    AdmissionRefusal.FRONT_FULL: (
        "front_full",
        "this front holds all the queries it may; come later or ask another",
        ResponseKind.REJECTED,
    ),
    AdmissionRefusal.POISONOUS: ("poisonous", POISONOUS_MESSAGE, ResponseKind.INDETERMINATE),
    AdmissionRefusal.EARLIER_CELL_UNKNOWN: (
        "unsure",
        "its tenant moves, and an earlier try may have run elsewhere",
        ResponseKind.INDETERMINATE,
    ),
}


def admission_request(completion: CompletionRequest, config: FrontConfig) -> AdmissionRequest:
    """Return the properties of the request by which the cell router selects a cell and admits the request."""
    class_config = config.house.tariffs[completion.request_class]
    # A request with an idempotency key has to be retried in the cell of its earlier attempts, unless all
    # engines share the deduplication of keys (group "all").
    is_bound = class_config.effect == "ticketed" and class_config.group != "all"
    return AdmissionRequest(
        completion.tenant,
        completion.session,
        completion.idempotency_key if is_bound else None,
        completion.is_client_retry or completion.is_continuation,
        ms_to_tenths(class_config.window_ms + config.front.bounds.longest_limit_ms) if is_bound else 0,
        completion.body_bytes,
        _fingerprint(completion),
    )


def not_accepted_error(refusal: AdmissionRefusal) -> RequestNotAcceptedError:
    """Return the error for a request that the cell router has refused."""
    code, message, kind = REFUSALS[refusal]
    return RequestNotAcceptedError(code, message, kind)


def _fingerprint(completion: CompletionRequest) -> str:
    """Return a hash of tenant and prompt that identifies repetitions of a request that crashes engines."""
    return xxhash.xxh64_hexdigest(f"{completion.tenant}\0".encode() + bytes(completion.body["prompt"]))
