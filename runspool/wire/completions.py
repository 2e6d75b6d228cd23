"""Messages from and to clients: OpenAI-style completions, with runspool's own headers beside them.

Source: the published completions API (request body, chunk and error shapes, server-sent events ended by
`data: [DONE]`). The headers are listed in docs/operators/front.md; CompletionRequest holds their values under
the scheduler's terms.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from runspool.config.schema import FrontConfig, RequestClassConfig
from runspool.units import TENTHS, tenths
from runspool.wire import fields
from runspool.wire.fields import BYTES_PER_TOKEN, JSON_DECODE_ERRORS, InvalidRequestError

Value = TypeVar("Value")

DEFAULT_OUTPUT_TOKENS = 256  # where the body has no `max_tokens`
MAX_OUTPUT_TOKENS = 1_000_000
MAX_PROMPT_TOKENS = 100_000_000
MAX_CLIENT_TRIES = 1_000
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class CompletionRequest:
    """A client's request, checked; durations in tenths of a millisecond, lengths in tokens."""

    request_class: str
    tenant: str | None
    session: str | None
    prefix: str | None
    prefix_tokens: int
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int  # the client's estimate, 0 where it gave none
    time_limit: int
    idempotency_key: str | None
    client_attempt: str  # the client's own name of this try, for its logs
    is_continuation: bool
    is_client_retry: bool
    stream: bool
    body_bytes: int
    body: dict[str, msgspec.Raw]


def parse_completion_request(
    headers: Mapping[str, str], body: bytes, config: FrontConfig
) -> CompletionRequest:
    """Parse and check a request from its headers, named in lower case, and its body.

    Raises InvalidRequestError for the first thing that is wrong.
    """
    try:
        parameters: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except JSON_DECODE_ERRORS as error:
        raise InvalidRequestError("body", f"not a JSON object ({error})") from None
    request_class, class_config = _request_class(headers, config)
    tenant = headers.get("runspool-tenant")
    if tenant is not None and tenant not in config.house.tenants:
        raise InvalidRequestError("runspool-tenant", f"{tenant!r} is not known here")
    estimated_tokens = _estimated_prompt_tokens(parameters)
    prompt_tokens = _integer(headers, "runspool-prompt-tokens", estimated_tokens, 1, MAX_PROMPT_TOKENS)
    max_output_tokens = _max_output_tokens(parameters)
    if _parameter(parameters, "n", int, 1) != 1:
        raise InvalidRequestError("n", "only one answer a query is made")
    prefix = _name(headers, "runspool-beginning")
    prefix_tokens = _integer(headers, "runspool-beginning-tokens", 0, 0, prompt_tokens)
    idempotency_key = _name(headers, "runspool-ticket")
    if class_config.effect == "ticketed" and idempotency_key is None:
        raise InvalidRequestError("runspool-ticket", f"missing, and tariff {request_class} is ticketed")
    return CompletionRequest(
        request_class=request_class,
        tenant=tenant,
        session=_name(headers, "runspool-session"),
        prefix=prefix,
        prefix_tokens=prefix_tokens if prefix is not None else 0,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        expected_output_tokens=_integer(headers, "runspool-likely-tokens", 0, 0, MAX_OUTPUT_TOKENS),
        time_limit=_time_limit(headers, class_config, prompt_tokens, config),
        idempotency_key=idempotency_key,
        client_attempt=_name(headers, "runspool-mark") or "",
        is_continuation=headers.get("runspool-again", "0") == "1",
        is_client_retry=_integer(headers, "runspool-try", 1, 1, MAX_CLIENT_TRIES) > 1,
        stream=_parameter(parameters, "stream", bool, False),
        body_bytes=len(body),
        body=parameters,
    )


def _request_class(headers: Mapping[str, str], config: FrontConfig) -> tuple[str, RequestClassConfig]:
    classes = config.house.tariffs
    name = headers.get("runspool-tariff") or config.front.default_tariff
    if name is None:
        raise InvalidRequestError("runspool-tariff", "missing, and this front has no default tariff")
    class_config = classes.get(name)
    if class_config is None:
        raise InvalidRequestError("runspool-tariff", f"{name!r} is none of {', '.join(classes)}")
    return name, class_config


def _max_output_tokens(parameters: dict[str, msgspec.Raw]) -> int:
    tokens = _parameter(parameters, "max_tokens", int, DEFAULT_OUTPUT_TOKENS)
    if not 1 <= tokens <= MAX_OUTPUT_TOKENS:
        raise InvalidRequestError("max_tokens", f"{tokens} is not from 1 to {MAX_OUTPUT_TOKENS}")
    return tokens


def _time_limit(
    headers: Mapping[str, str], class_config: RequestClassConfig, prompt_tokens: int, config: FrontConfig
) -> int:
    """Time that the request may take, in tenths of a millisecond: the client's, or its class's by default."""
    longest_ms = config.front.bounds.longest_limit_ms
    # The default grows twice as fast with the prompt as the first token's objective does.
    default_ms = class_config.limit_ms + 2 * class_config.due_per_1000_tokens_ms * prompt_tokens / 1000
    if headers.get("runspool-limit-ms") is None:
        return tenths(min(default_ms, longest_ms))
    return _integer(headers, "runspool-limit-ms", 0, 1, int(longest_ms)) * TENTHS


def _integer(headers: Mapping[str, str], name: str, default: int, least: int, most: int) -> int:
    return fields.parse_integer(headers.get(name), name, default, least, most)


def _name(headers: Mapping[str, str], name: str) -> str | None:
    return fields.parse_name(headers.get(name), name)


def _parameter(parameters: dict[str, msgspec.Raw], name: str, kind: type[Value], default: Value) -> Value:
    """Return a parameter of the body; null stands for its default, as in the published API."""
    raw = parameters.get(name)
    if raw is None:
        return default
    try:
        value: Value | None = msgspec.json.decode(raw, type=kind | None)
    except JSON_DECODE_ERRORS as error:
        raise InvalidRequestError(name, str(error)) from None
    return default if value is None else value


def _estimated_prompt_tokens(parameters: dict[str, msgspec.Raw]) -> int:
    """Length of the prompt: the count of a list of tokens, an estimate by its bytes for a text."""
    raw = parameters.get("prompt")
    if raw is None:
        raise InvalidRequestError("prompt", "missing")
    encoded = bytes(raw)
    if encoded[:1] == b'"':
        text_bytes = len(encoded) - 2  # without the quotation marks
        return max(1, text_bytes // BYTES_PER_TOKEN)
    try:
        return max(1, len(msgspec.json.decode(encoded, type=list[int])))
    except JSON_DECODE_ERRORS:
        raise InvalidRequestError("prompt", "must be one text or one list of token numbers") from None


def error_body(kind: str, code: str, message: str) -> bytes:
    """Return the published error shape; `kind` is its type, `code` the machine-readable reason."""
    return msgspec.json.encode({"error": {"message": message, "type": kind, "param": None, "code": code}})


def chunk(request_id: str, model: str, created: int, text: str, finish: str | None = None) -> bytes:
    """Return one server-sent event of a streamed response; `created` is in Unix seconds."""
    return (
        b"data: "
        + msgspec.json.encode(
            {
                "id": request_id,
                "object": "text_completion",
                "created": created,
                "model": model,
                "choices": [{"index": 0, "text": text, "logprobs": None, "finish_reason": finish}],
            }
        )
        + b"\n\n"
    )


class CompletionChunks:
    """Encodes the events of one streamed response; what is the same in all of them is encoded once."""

    def __init__(self, request_id: str, model: str, created: int) -> None:
        placeholder = "\0"
        event = chunk(request_id, model, created, placeholder)
        self.before, self.after = event.split(msgspec.json.encode(placeholder))

    def text(self, text: str) -> bytes:
        """Return the event that carries a text, as one chunk of a chunked body."""
        event = self.before + msgspec.json.encode(text) + self.after
        return b"%x\r\n%b\r\n" % (len(event), event)


def error_event(code: str, message: str) -> bytes:
    """Return the last event of a stream that could not be finished; no [DONE] follows it."""
    return b"data: " + error_body("scrapped", code, message) + b"\n\n"


def completion_body(
    request_id: str,
    model: str,
    created: int,
    text: str,
    finish: str,
    prompt_tokens: int,
    cached_tokens: int,
    output_tokens: int,
) -> bytes:
    """Return a whole response; the token counts are the engine's own, `created` is in Unix seconds."""
    return msgspec.json.encode(
        {
            "id": request_id,
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
