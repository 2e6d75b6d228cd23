"""Parses the headers and the body of a client's request into a ClientRequest. Does no I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

import msgspec

from runspool.limits.answer_progress import MAX_CHOICES
from runspool.limits.charged_body import ChargedBody
from runspool.runtime.interning import stable_hash
from runspool.runtime.platform_settings import US_PER_TENTH_MS, PlatformSettings
from runspool.scheduling.types import Request
from runspool.units import TENTHS_PER_MS
from runspool.wire import fields
from runspool.wire.fields import BYTES_PER_TOKEN, InvalidRequestError

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
DEADLINE = re.compile(r"([0-9]{1,12})([mu])")  # a number of milliseconds (m) or microseconds (u)
MAX_TIME_LIMIT = 36_000_000  # longest time limit accepted, in tenths of a millisecond: one hour
MAX_COST_US = 1e12  # exclusive upper bound of the client's estimate of the work, in microseconds
# Maximum length of a prompt, in tokens, if the platform does not state the memory of any engine type.
DEFAULT_MAX_PROMPT_TOKENS = 10**9
CHOICE_COUNT_FIELD = "n"  # field of the body
MAX_QUOTED_CHARS = 40  # maximum number of characters of an invalid value that an error message quotes


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A validated request.

    Attributes:
        id: The id of the request, as given by the client.
        target: The target of the HTTP request.
        body: The body, a JSON object whose content is not examined; it is released when the request ends.
        request_class: The index of the request class in the routing settings.
        tenant: The index of the tenant in the routing settings; None if the request has none.
        session: The name of the session; None if there is none.
        prefix: The name of the prompt's shared prefix; None if there is none.
        prompt_tokens: The length of the prompt in tokens; estimated from the body if the client gave none.
        prefix_tokens: The length of the shared prefix in tokens; 0 if unknown.
        max_output_tokens: The client's limit on the number of output tokens; 0 if it gave none.
        choice_count: The number of choices that the body asks for, each of up to that many tokens.
        expected_output_tokens: The expected number of output tokens; 0 if the client gave no estimate.
        time_limit: How long the client waits for the response, in tenths of a millisecond.
        is_client_retry: Whether the client has sent the request before.
        is_continuation: Whether the request asks for the rest of an interrupted stream.
    """

    id: str
    target: str
    body: ChargedBody
    request_class: int
    tenant: int | None
    session: str | None
    prefix: str | None
    prompt_tokens: int
    prefix_tokens: int
    max_output_tokens: int
    choice_count: int
    expected_output_tokens: int
    time_limit: int
    is_client_retry: bool
    is_continuation: bool

    def to_request(self, index: int, session: int | None, prefix: int | None, time_budget: int) -> Request:
        """Return the request in the form that the scheduler uses.

        Args:
            index: The number that identifies the request in the scheduler.
            session: The index of the interned session name; None if there is no session.
            prefix: The index of the interned prefix name; None if there is no prefix.
            time_budget: The time that the scheduler has for the request, in tenths of a millisecond.
        """
        return Request(
            index=index,
            request_class=self.request_class,
            tenant=self.tenant,
            session=session,
            prefix=prefix,
            prompt_tokens=self.prompt_tokens,
            prefix_tokens=self.prefix_tokens,
            max_output_tokens=self.max_output_tokens,
            expected_output_tokens=self.expected_output_tokens,
            time_budget=time_budget,
            is_client_retry=self.is_client_retry,
            is_continuation=self.is_continuation,
            session_hash=stable_hash(self.session or ""),
            prefix_hash=stable_hash(self.prefix or ""),
        )


def parse_client_request(
    target: bytes, headers: Mapping[str, str], body: ChargedBody, settings: PlatformSettings
) -> ClientRequest:
    """Parse a request and validate it against the platform's settings.

    Args:
        target: The target of the HTTP request.
        headers: The headers of the HTTP request, with lower-case names.
        body: The body of the HTTP request.
        settings: The platform's settings.

    Raises:
        InvalidRequestError: A header or the body is invalid; the error names the first such header or field.
    """
    request_id = headers.get("req-id")
    if request_id is None or not REQUEST_ID.fullmatch(request_id):
        raise InvalidRequestError("Req-Id", "missing or no id")
    request_class = _parse_request_class(headers.get("req-kind"), settings)
    tenant = _parse_tenant(headers.get("req-owner"), settings)
    choice_count = _parse_choice_count(_parse_body(body.data))
    extras = _parse_extras(headers.get("req-extra", ""))
    max_tokens = _max_prompt_tokens(settings)
    prompt_tokens = _parse_token_count(
        extras, "prompt_len", max(1, len(body.data) // BYTES_PER_TOKEN), 1, max_tokens
    )
    prefix = extras.get("prefix") or None
    retry = headers.get("req-retry", "0")
    if retry not in ("0", "1", "again"):
        raise InvalidRequestError("Req-Retry", f"{_quote(retry)} is neither 1 nor again")
    time_per_token = settings.routing.request_classes[request_class].time_per_output_token
    return ClientRequest(
        id=request_id,
        target=target.decode("latin-1"),
        body=body,
        request_class=request_class,
        tenant=tenant,
        session=fields.parse_name(headers.get("req-key"), "Req-Key"),
        prefix=fields.parse_name(prefix, "Req-Extra prefix"),
        prompt_tokens=prompt_tokens,
        prefix_tokens=_parse_token_count(extras, "prefix_len", 0, 0, prompt_tokens) if prefix else 0,
        max_output_tokens=_parse_token_count(extras, "max_out", 0, 0, max_tokens),
        choice_count=choice_count,
        expected_output_tokens=_parse_cost(headers.get("req-cost")) // time_per_token
        if time_per_token
        else 0,
        time_limit=parse_time_limit(headers.get("req-deadline")),
        is_client_retry=retry == "1",
        is_continuation=retry == "again",
    )


def _parse_request_class(name: str | None, settings: PlatformSettings) -> int:
    index = settings.request_classes.get(name or "")
    if index is None:
        raise InvalidRequestError("Req-Kind", f"{_quote(name)} is not known here")
    return index


def _parse_tenant(name: str | None, settings: PlatformSettings) -> int | None:
    """Return the tenant's index; None if the request names none, or if the platform has no tenants."""
    index = settings.tenants.get(name) if name is not None else None
    if settings.tenants and name is not None and index is None:
        raise InvalidRequestError("Req-Owner", f"{_quote(name)} is not known here")
    return index


def _parse_body(body: bytes) -> dict[str, msgspec.Raw]:
    """Return the fields of the body, a JSON object; their values are validated by the engine."""
    try:
        return msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except fields.JSON_DECODE_ERRORS as error:
        raise InvalidRequestError("body", f"no JSON object ({error})") from None


def _parse_choice_count(parameters: dict[str, msgspec.Raw]) -> int:
    """Return the number of choices that a body asks for; 1 if it says none that an engine accepts."""
    try:
        count = fields.parse_parameter(parameters, CHOICE_COUNT_FIELD, int, 1)
    except InvalidRequestError:
        return 1
    return count if 1 <= count <= MAX_CHOICES else 1


def _max_prompt_tokens(settings: PlatformSettings) -> int:
    """Return the capacity of the engine type with the most memory; no engine can serve a longer prompt."""
    largest = max((engine_type.memory_tokens for engine_type in settings.routing.engine_types), default=0)
    return largest or DEFAULT_MAX_PROMPT_TOKENS


def parse_time_limit(value: str | None) -> int:
    """Return the time limit of a request in tenths of a millisecond; it is at least 1.

    Raises:
        InvalidRequestError: The value of the field `Req-Deadline` is missing or invalid.
    """
    match = DEADLINE.fullmatch(value or "")
    if match is None:
        raise InvalidRequestError("Req-Deadline", f"{_quote(value)} is no whole number with m or u")
    limit = int(match[1]) * TENTHS_PER_MS if match[2] == "m" else int(match[1]) // US_PER_TENTH_MS
    if not 0 < limit <= MAX_TIME_LIMIT:
        raise InvalidRequestError("Req-Deadline", f"{_quote(value)} is no time a client waits")
    return limit


def _parse_cost(value: str | None) -> int:
    """Return the client's estimate of the work in tenths of a millisecond; 0 if it gave none."""
    try:
        cost_us = float(value or 0)
    except ValueError:
        raise InvalidRequestError("Req-Cost", f"{_quote(value)} is no number") from None
    if not isfinite(cost_us) or not 0 <= cost_us < MAX_COST_US:
        raise InvalidRequestError("Req-Cost", f"{_quote(value)} is no time")
    return int(cost_us) // US_PER_TENTH_MS


def _parse_extras(value: str) -> dict[str, str]:
    """Parse `name=value` pairs that are separated by commas."""
    extras: dict[str, str] = {}
    for pair in value.split(",") if value else ():
        key, equals, text = pair.strip().partition("=")
        if not equals or not key or key in extras:
            raise InvalidRequestError("Req-Extra", f"{_quote(pair)} is no name=value, or said twice")
        extras[key] = text
    return extras


def _parse_token_count(extras: dict[str, str], key: str, default: int, minimum: int, maximum: int) -> int:
    return fields.parse_integer(extras.get(key), f"Req-Extra {key}", default, minimum, maximum)


def _quote(value: str | None) -> str:
    return "nothing" if value is None else repr(value[:MAX_QUOTED_CHARS])
