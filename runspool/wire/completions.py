"""What clients send and are sent: OpenAI-style completions, with runspool's headers beside them.

Source: the published completions API (request body, chunk and error shapes, server-sent events ended by
`data: [DONE]`); the headers are runspool's own and are listed in docs/operators/front.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from runspool.config.schema import FrontConfig, TariffPart
from runspool.units import TENTHS, tenths
from runspool.wire import fields
from runspool.wire.fields import BYTES_PER_TOKEN, JSON_DECODE_ERRORS, InvalidRequestError

DEFAULT_OUT = 256
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class CompletionRequest:
    """One query as its client stated it, checked; durations in tenths of a millisecond, lengths in tokens."""

    tariff: str
    tenant: str | None
    session: str | None
    beginning: str | None
    beginning_length: int
    prompt: int
    most_out: int
    likely_out: int
    limit: int
    ticket: str | None
    mark: str
    again: bool
    resent: bool
    stream: bool
    size: int  # bytes of its body
    body: dict[str, msgspec.Raw]


def read_wish(headers: Mapping[str, str], body: bytes, terms: FrontConfig) -> CompletionRequest:
    """A checked wish from lower-case headers and a body; raises Misworded at the first thing wrong."""
    try:
        fields: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except JSON_DECODE_ERRORS as fault:
        raise InvalidRequestError("body", f"not a JSON object ({fault})") from None
    house = terms.house
    tariff = headers.get("runspool-tariff") or terms.front.default_tariff
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
        tariff=tariff,
        tenant=tenant,
        session=_name(headers, "runspool-session"),
        beginning=beginning,
        beginning_length=length if beginning is not None else 0,
        prompt=prompt,
        most_out=most_out,
        likely_out=_whole(headers, "runspool-likely-tokens", 0, 0, 1_000_000),
        limit=_limit(headers, row, prompt, terms),
        ticket=ticket,
        mark=_name(headers, "runspool-mark") or "",
        again=headers.get("runspool-again", "0") == "1",
        resent=_whole(headers, "runspool-try", 1, 1, 1000) > 1,
        stream=_field(fields, "stream", bool, False),
        size=len(body),
        body=fields,
    )


def _limit(headers: Mapping[str, str], row: TariffPart, prompt: int, terms: FrontConfig) -> int:
    # The hard limit grows twice as fast with the prompt as the due time does.
    usual = row.limit_ms + 2 * row.due_per_1000_tokens_ms * prompt / 1000
    said = headers.get("runspool-limit-ms")
    if said is None:
        return tenths(min(usual, terms.front.bounds.longest_limit_ms))
    most = int(terms.front.bounds.longest_limit_ms)
    return _whole(headers, "runspool-limit-ms", 0, 1, most) * TENTHS


def _whole(headers: Mapping[str, str], name: str, absent: int, least: int, most: int) -> int:
    return fields.parse_integer(headers.get(name), name, absent, least, most)


def _name(headers: Mapping[str, str], name: str) -> str | None:
    return fields.parse_name(headers.get(name), name)


def _field(fields: dict[str, msgspec.Raw], name: str, kind: type[Any], absent: Any) -> Any:
    raw = fields.get(name)
    if raw is None:
        return absent
    try:
        found: Any = msgspec.json.decode(raw, type=kind | None)
    except JSON_DECODE_ERRORS as fault:
        raise InvalidRequestError(name, str(fault)) from None
    return absent if found is None else found


def _counted(fields: dict[str, msgspec.Raw]) -> int:
    raw = fields.get("prompt")
    if raw is None:
        raise InvalidRequestError("prompt", "missing")
    text = bytes(raw)
    if text[:1] == b'"':
        return max(1, (len(text) - 2) // BYTES_PER_TOKEN)
    try:
        return max(1, len(msgspec.json.decode(text, type=list[int])))
    except JSON_DECODE_ERRORS:
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


class Chunks:
    """The events of one streamed answer: what does not change from token to token is made once."""

    def __init__(self, query: str, model: str, created: int) -> None:
        whole = chunk(query, model, created, "\0")
        self.before, self.after = whole.split(msgspec.json.encode("\0"))

    def text(self, text: str) -> bytes:
        """The event that carries a text, as one chunk of a chunked body."""
        event = self.before + msgspec.json.encode(text) + self.after
        return b"%x\r\n%b\r\n" % (len(event), event)


def broken_event(code: str, message: str) -> bytes:
    """The last event of a stream that could not be finished; no [DONE] follows."""
    return b"data: " + error_body("scrapped", code, message) + b"\n\n"


def whole_answer(
    query: str, model: str, created: int, text: str, finish: str, read: int, kept: int, made: int
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
                "prompt_tokens": read,
                "completion_tokens": made,
                "total_tokens": read + made,
                "prompt_tokens_details": {"cached_tokens": kept},
            },
        }
    )
