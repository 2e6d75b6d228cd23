"""Build the headers and the body of the completion requests that the clients send to a front."""

from __future__ import annotations

import msgspec

from runspool.lab.plan import ScenarioPlan
from runspool.lab.workload import PlannedRequest, prompt_text
from runspool.units import TENTHS_PER_MS

MAX_OUTPUT_TOKENS = 800  # `max_tokens` of every request

Headers = list[tuple[str, str]]


def request_headers(
    plan: ScenarioPlan, request: PlannedRequest, attempt_id: str, time_limit: int, body_length: int
) -> Headers:
    """Return the headers of one attempt.

    Args:
        plan: the plan of the scenario.
        request: the request.
        attempt_id: the id of the attempt: the request's id, a dot and the number of the attempt.
        time_limit: how long the client waits for the response, in tenths of a millisecond.
        body_length: the length of the body in bytes.
    """
    request_class = plan.request_classes[request.request_class_index]
    headers = [
        ("Host", "front"),
        ("Content-Type", "application/json"),
        ("Content-Length", str(body_length)),
        ("Connection", "close"),
        ("Runspool-Tariff", request_class.name),
        ("Runspool-Tenant", plan.tenants[request.tenant_index].name),
        ("Runspool-Session", request.session),
        ("Runspool-Prompt-Tokens", str(request.prompt_tokens)),
        ("Runspool-Limit-Ms", str(max(1, time_limit // TENTHS_PER_MS))),
        ("Runspool-Likely-Tokens", str(request.output_tokens)),
        ("Runspool-Mark", attempt_id),
        ("Runspool-Try", attempt_id.rpartition(".")[2]),
    ]
    if request.prefix:
        headers += [
            ("Runspool-Beginning", request.prefix),
            ("Runspool-Beginning-Tokens", str(request.prefix_tokens)),
        ]
    if request_class.idempotency == "ticketed":
        headers.append(("Runspool-Ticket", request.id))
    return headers


def request_body(request: PlannedRequest, attempt_id: str) -> bytes:
    """Return the body of one attempt, which also tells the stand-in engine how to process the request."""
    return msgspec.json.encode(
        {
            "model": "runspool",
            "prompt": "".join(prompt_text(name, tokens) for name, tokens in request.parts),
            "max_tokens": MAX_OUTPUT_TOKENS,
            "stream": request.stream,
            "standin": {"try": attempt_id, "out": request.output_tokens, "poison": request.poison},
        }
    )
