"""What clients send and are sent: OpenAI-style completions, with runspool's headers beside them.

Source: the published completions API (request body, chunk and error shapes, server-sent events ended by
`data: [DONE]`); the headers are runspool's own and are listed in docs/operators/front.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from runspool.config.schema import FrontConfig, RequestClassConfig
from runspool.units import TENTHS, tenths
from runspool.wire import fields
from runspool.wire.fields import TOKEN_BYTES, UNREADABLE, InvalidRequestError

DEFAULT_OUT = 256
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class CompletionRequest:
    """One query as its client stated it, checked; durations in tenths of a millisecond, lengths in tokens."""

    request_class: str
    tenant: str | None
    session: str | None
    prefix: str | None
    prefix_tokens: int
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    time_limit: int
    idempotency_key: str | None
    client_attempt: str
    is_continuation: bool
    is_client_retry: bool
    stream: bool
    body_bytes: int  # bytes of its body
    body: dict[str, msgspec.Raw]


def parse_completion_request(
    headers: Mapping[str, str], body: bytes, config: FrontConfig
) -> CompletionRequest:
    """A checked wish from lower-case headers and a body; raises Misworded at the first thing wrong."""
    try:
        fields: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except UNREADABLE as fault:
        raise InvalidRequestError("body", f"not a JSON object ({fault})") from None
    house = config.house
    tariff = headers.get("runspool-tariff") or config.front.default_tariff
    if tariff is None:
        raise InvalidRequestError("runspool-tariff", "missing, and this front has no default tariff")
    row = house.tariffs.get(tariff)
    if row is None:
        raise InvalidRequestError("runspool-tariff", f"{tariff!r} is none of {', '.join(house.tariffs)}")
    tenant = headers.get("runspool-tenant")
    if tenant is not None and tenant not in house.tenants:
        raise InvalidRequestError("runspool-tenant", f"{tenant!r} is not known here")
    prompt = _whole(headers, "runspool-prompt-tokens", _counted(fields), 1, 100_000_000)
    most_out = _field(fields, "max_tokens", int, DEFAULT_OUT)
    if not 1 <= most_out <= 1_000_000:
        raise InvalidRequestError("max_tokens", f"{most_out} is not from 1 to 1000000")
    if _field(fields, "n", int, 1) != 1:
        raise InvalidRequestError("n", "only one answer a query is made")
    beginning = _name(headers, "runspool-beginning")
    length = _whole(headers, "runspool-beginning-tokens", 0, 0, prompt)
    ticket = _name(headers, "runspool-ticket")
    if row.effect == "ticketed" and ticket is None:
        raise InvalidRequestError("runspool-ticket", f"missing, and tariff {tariff} is ticketed")
    return CompletionRequest(
        request_class=tariff,
        tenant=tenant,
        session=_name(headers, "runspool-session"),
        prefix=beginning,
        prefix_tokens=length if beginning is not None else 0,
        prompt_tokens=prompt,
        max_output_tokens=most_out,
        expected_output_tokens=_whole(headers, "runspool-likely-tokens", 0, 0, 1_000_000),
        time_limit=_limit(headers, row, prompt, config),
        idempotency_key=ticket,
        client_attempt=_name(headers, "runspool-mark") or "",
        is_continuation=headers.get("runspool-again", "0") == "1",
        is_client_retry=_whole(headers, "runspool-try", 1, 1, 1000) > 1,
        stream=_field(fields, "stream", bool, False),
        body_bytes=len(body),
        body=fields,
    )


def _limit(headers: Mapping[str, str], row: RequestClassConfig, prompt: int, terms: FrontConfig) -> int:
    # The hard limit grows twice as fast with the prompt as the due time does.
    usual = row.limit_ms + 2 * row.due_per_1000_tokens_ms * prompt / 1000
    said = headers.get("runspool-limit-ms")
    if said is None:
        return tenths(min(usual, terms.front.bounds.longest_limit_ms))
    most = int(terms.front.bounds.longest_limit_ms)
    return _whole(headers, "runspool-limit-ms", 0, 1, most) * TENTHS


def _whole(headers: Mapping[str, str], name: str, absent: int, least: int, most: int) -> int:
    return fields.whole(headers.get(name), name, absent, least, most)


def _name(headers: Mapping[str, str], name: str) -> str | None:
    return fields.name(headers.get(name), name)


def _field(fields: dict[str, msgspec.Raw], name: str, kind: type[Any], absent: Any) -> Any:
    raw = fields.get(name)
    if raw is None:
        return absent
    try:
        found: Any = msgspec.json.decode(raw, type=kind | None)
    except UNREADABLE as fault:
        raise InvalidRequestError(name, str(fault)) from None
    return absent if found is None else found


def _counted(fields: dict[str, msgspec.Raw]) -> int:
    raw = fields.get("prompt")
    if raw is None:
        raise InvalidRequestError("prompt", "missing")
    text = bytes(raw)
    if text[:1] == b'"':
        return max(1, (len(text) - 2) // TOKEN_BYTES)
    try:
        return max(1, len(msgspec.json.decode(text, type=list[int])))
    except UNREADABLE:
        raise InvalidRequestError("prompt", "must be one text or one list of token numbers") from None


def error_body(kind: str, code: str, message: str) -> bytes:
    """The published error shape; `kind` is its type, `code` the machine-readable reason."""
    return msgspec.json.encode({"error": {"message": message, "type": kind, "param": None, "code": code}})


def chunk(query: str, model: str, created: int, text: str, finish: str | None = None) -> bytes:
    """One server-sent event of a streamed answer."""
    return (
        b"data: "
        + msgspec.json.encode(
            {
                "id": query,
                "object": "text_completion",
                "created": created,
                "model": model,
                "choices": [{"index": 0, "text": text, "logprobs": None, "finish_reason": finish}],
            }
        )
        + b"\n\n"
    )


class CompletionChunks:
    """The events of one streamed answer: what does not change from token to token is made once."""

    def __init__(self, query: str, model: str, created: int) -> None:
        whole = chunk(query, model, created, "\0")
        self.before, self.after = whole.split(msgspec.json.encode("\0"))

    def text(self, text: str) -> bytes:
        """The event that carries a text, as one chunk of a chunked body."""
        event = self.before + msgspec.json.encode(text) + self.after
        return b"%x\r\n%b\r\n" % (len(event), event)


def error_event(code: str, message: str) -> bytes:
    """The last event of a stream that could not be finished; no [DONE] follows."""
    return b"data: " + error_body("scrapped", code, message) + b"\n\n"


def completion_body(
    query: str,
    model: str,
    created: int,
    text: str,
    finish: str,
    prompt_tokens: int,
    cached_tokens: int,
    output_tokens: int,
) -> bytes:
    """A whole answer; token counts are the engine's own."""
    return msgspec.json.encode(
        {
            "id": query,
            "object": "text_completion",
            "created": created,
            "model": model,
            "choices": [{"index": 0, "text": text, "logprobs": None, "finish_reason": finish}],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": output_tokens,
                "total_tokens": prompt_tokens + output_tokens,
                "prompt_tokens_details": {"cached_tokens": cached_tokens},
            },
        }
    )
