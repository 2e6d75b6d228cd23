"""Messages from and to clients: the OpenAI-style completions API, extended by runspool's own headers.

The request body, the stream events and the error objects are those of the published completions API, as is
the end of a stream (`data: [DONE]`). docs/operators/front.md lists the headers. CompletionRequest holds their
values under the names that the scheduler uses.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from runspool.config.schema import FrontConfig, RequestClassConfig
from runspool.units import TENTHS_PER_MS, ms_to_tenths
from runspool.wire import fields
from runspool.wire.fields import BYTES_PER_TOKEN, JSON_DECODE_ERRORS, InvalidRequestError

DEFAULT_OUTPUT_TOKENS = 256  # default for a body without `max_tokens`
MAX_OUTPUT_TOKENS = 1_000_000  # largest value accepted for `max_tokens`
MAX_PROMPT_TOKENS = 100_000_000  # largest value accepted for the header `runspool-prompt-tokens`
MAX_CLIENT_ATTEMPTS = 1_000  # largest value accepted for the header `runspool-try`
DONE_EVENT = b"data: [DONE]\n\n"  # last event of a complete stream


@dataclass(slots=True)
class CompletionRequest:
    """A validated request of a client.

    Attributes:
        request_class: Name of the request class.
        tenant: Name of the tenant; None if the client gave none.
        session: Name of the session; None if the client gave none.
        prefix: Name of a prompt prefix that other requests share; None if the client gave none.
        prefix_tokens: Length of that prefix in tokens; 0 without a prefix.
        prompt_tokens: Length of the prompt in tokens, as stated by the client or estimated.
        max_output_tokens: Maximum length of the output in tokens.
        expected_output_tokens: The client's estimate of the output's length in tokens; 0 if it gave none.
        time_limit: Time limit of the request, in tenths of a millisecond.
        idempotency_key: Key for deduplication; None if the client gave none.
        client_attempt: The client's own id of this attempt, for logs; empty if it gave none.
        is_continuation: Whether the client marked the request as a continuation.
        is_client_retry: Whether this is at least the client's second attempt.
        stream: Whether the client requested a streamed response.
        body_bytes: Size of the body in bytes.
        body: Parameters of the body, undecoded.
    """

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
    body_bytes: int
    body: dict[str, msgspec.Raw]


def parse_completion_request(
    headers: Mapping[str, str], body: bytes, config: FrontConfig
) -> CompletionRequest:
    """Parse and validate a request.

    Args:
        headers: Header values by lower-case name.
        body: The whole body.
        config: The front's configuration.

    Raises:
        InvalidRequestError: Describes the first fault that was found.
    """
    try:
        parameters: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except JSON_DECODE_ERRORS as error:
        raise InvalidRequestError("body", f"not a JSON object ({error})") from None
    request_class, class_config = _parse_request_class(headers, config)
    tenant = headers.get("runspool-tenant")
    if tenant is not None and tenant not in config.house.tenants:
        raise InvalidRequestError("runspool-tenant", f"{tenant!r} is not known here")
    estimated_tokens = _estimate_prompt_tokens(parameters)
    prompt_tokens = _parse_integer_header(
        headers, "runspool-prompt-tokens", estimated_tokens, 1, MAX_PROMPT_TOKENS
    )
    max_output_tokens = _parse_max_output_tokens(parameters)
    if fields.parse_parameter(parameters, "n", int, 1) != 1:
        raise InvalidRequestError("n", "only one answer a query is made")
    prefix = _parse_name_header(headers, "runspool-beginning")
    prefix_tokens = _parse_integer_header(headers, "runspool-beginning-tokens", 0, 0, prompt_tokens)
    idempotency_key = _parse_name_header(headers, "runspool-ticket")
    if class_config.effect == "ticketed" and idempotency_key is None:
        raise InvalidRequestError("runspool-ticket", f"missing, and tariff {request_class} is ticketed")
    return CompletionRequest(
        request_class=request_class,
        tenant=tenant,
        session=_parse_name_header(headers, "runspool-session"),
        prefix=prefix,
        prefix_tokens=prefix_tokens if prefix is not None else 0,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        expected_output_tokens=_parse_integer_header(
            headers, "runspool-likely-tokens", 0, 0, MAX_OUTPUT_TOKENS
        ),
        time_limit=_parse_time_limit(headers, class_config, prompt_tokens, config),
        idempotency_key=idempotency_key,
        client_attempt=_parse_name_header(headers, "runspool-mark") or "",
        is_continuation=headers.get("runspool-again", "0") == "1",
        is_client_retry=_parse_integer_header(headers, "runspool-try", 1, 1, MAX_CLIENT_ATTEMPTS) > 1,
        stream=fields.parse_parameter(parameters, "stream", bool, False),
        body_bytes=len(body),
        body=parameters,
    )


def _parse_request_class(headers: Mapping[str, str], config: FrontConfig) -> tuple[str, RequestClassConfig]:
    classes = config.house.tariffs
    name = headers.get("runspool-tariff") or config.front.default_tariff
    if name is None:
        raise InvalidRequestError("runspool-tariff", "missing, and this front has no default tariff")
    class_config = classes.get(name)
    if class_config is None:
        raise InvalidRequestError("runspool-tariff", f"{name!r} is none of {', '.join(classes)}")
    return name, class_config


def _parse_max_output_tokens(parameters: dict[str, msgspec.Raw]) -> int:
    tokens = fields.parse_parameter(parameters, "max_tokens", int, DEFAULT_OUTPUT_TOKENS)
    if not 1 <= tokens <= MAX_OUTPUT_TOKENS:
        raise InvalidRequestError("max_tokens", f"{tokens} is not from 1 to {MAX_OUTPUT_TOKENS}")
    return tokens


def _parse_time_limit(
    headers: Mapping[str, str], class_config: RequestClassConfig, prompt_tokens: int, config: FrontConfig
) -> int:
    """Return the time limit of a request, in tenths of a millisecond.

    It is the limit that the client states, or else the default of the request class, which grows with the
    prompt's length.
    """
    longest_ms = config.front.bounds.longest_limit_ms
    # The default grows with the prompt's length at twice the rate of the first-token objective.
    default_ms = class_config.limit_ms + 2 * class_config.due_per_1000_tokens_ms * prompt_tokens / 1000
    if headers.get("runspool-limit-ms") is None:
        return ms_to_tenths(min(default_ms, longest_ms))
    return _parse_integer_header(headers, "runspool-limit-ms", 0, 1, int(longest_ms)) * TENTHS_PER_MS


def _parse_integer_header(
    headers: Mapping[str, str], name: str, default: int, minimum: int, maximum: int
) -> int:
    return fields.parse_integer(headers.get(name), name, default, minimum, maximum)


def _parse_name_header(headers: Mapping[str, str], name: str) -> str | None:
    return fields.parse_name(headers.get(name), name)


def _estimate_prompt_tokens(parameters: dict[str, msgspec.Raw]) -> int:
    """Return the prompt's length in tokens: exact for a list of tokens, estimated by its bytes for a text."""
    raw = parameters.get("prompt")
    if raw is None:
        raise InvalidRequestError("prompt", "missing")
    encoded = bytes(raw)
    if encoded[:1] == b'"':
        text_bytes = len(encoded) - 2  # the quotation marks are not counted
        return max(1, text_bytes // BYTES_PER_TOKEN)
    try:
        return max(1, len(msgspec.json.decode(encoded, type=list[int])))
    except JSON_DECODE_ERRORS:
        raise InvalidRequestError("prompt", "must be one text or one list of token numbers") from None


def error_body(error_type: str, code: str, message: str) -> bytes:
    """Return the body of an error response of the published API; `error_type` is its field `type`."""
    return msgspec.json.encode(
        {"error": {"message": message, "type": error_type, "param": None, "code": code}}
    )


def completion_event(
    request_id: str, model: str, created: int, text: str, finish_reason: str | None = None
) -> bytes:
    """Return one server-sent event of a streamed response; `created` is a Unix time in seconds."""
    return (
        b"data: "
        + msgspec.json.encode(
            {
                "id": request_id,
                "object": "text_completion",
                "created": created,
                "model": model,
                "choices": [{"index": 0, "text": text, "logprobs": None, "finish_reason": finish_reason}],
            }
        )
        + b"\n\n"
    )


class CompletionEventEncoder:
    """Encodes the events of one streamed response; the part common to all of them is encoded only once."""

    def __init__(self, request_id: str, model: str, created: int) -> None:
        placeholder = "\0"
        event = completion_event(request_id, model, created, placeholder)
        self._event_start, self._event_end = event.split(msgspec.json.encode(placeholder))

    def text(self, text: str) -> bytes:
        """Return an event with `text`, encoded as one chunk of a chunked HTTP body."""
        event = self._event_start + msgspec.json.encode(text) + self._event_end
        return b"%x\r\n%b\r\n" % (len(event), event)


def error_event(code: str, message: str) -> bytes:
    """Return the event that ends a failed stream; it is not followed by [DONE]."""
    return b"data: " + error_body("scrapped", code, message) + b"\n\n"


def completion_body(
    request_id: str,
    model: str,
    created: int,
    text: str,
    finish_reason: str,
    prompt_tokens: int,
    cached_tokens: int,
    output_tokens: int,
) -> bytes:
    """Return the body of a response that is not streamed; `created` is a Unix time in seconds."""
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "text_completion",
            "created": created,
            "model": model,
            "choices": [{"index": 0, "text": text, "logprobs": None, "finish_reason": finish_reason}],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": output_tokens,
                "total_tokens": prompt_tokens + output_tokens,
                "prompt_tokens_details": {"cached_tokens": cached_tokens},
            },
        }
    )
