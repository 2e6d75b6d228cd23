"""Parses a client's request headers and body into a ClientRequest. Free of I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

import msgspec

from runspool.runtime.interning import stable_hash
from runspool.runtime.platform_settings import UNIT_US, PlatformSettings
from runspool.scheduling.types import Request
from runspool.units import TENTHS
from runspool.wire import fields
from runspool.wire.fields import BYTES_PER_TOKEN, InvalidRequestError

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
DEADLINE = re.compile(r"([0-9]{1,12})([mu])")  # milliseconds or microseconds
MAX_TIME_LIMIT = 36_000_000  # tenths of a millisecond, an hour: clients wait for less
MAX_COST_US = 1e12  # exclusive
UNBOUNDED_PROMPT_TOKENS = 10**9  # the longest prompt taken where no engine type has its memory given
QUOTED_CHARS = 40  # of a wrong value that an error message repeats


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A checked request.

    `time_limit` and all other durations are in tenths of a millisecond, lengths in tokens, where 0 means that
    the client gave none. `request_class` and `tenant` are indices into the routing settings.
    """

    id: str
    target: str
    body: bytes
    request_class: int
    tenant: int | None
    session: str | None
    prefix: str | None
    prompt_tokens: int
    prefix_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    time_limit: int
    is_client_retry: bool
    is_continuation: bool

    def to_request(self, index: int, session: int | None, prefix: int | None, time_budget: int) -> Request:
        """The request as the scheduler sees it.

        `index` identifies it there, `session` and `prefix` are the interned names, and `time_budget` is how
        long, in tenths of a millisecond, the scheduler has for it.
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
    target: bytes, headers: Mapping[str, str], body: bytes, settings: PlatformSettings
) -> ClientRequest:
    """Checks a request against the platform's settings.

    `headers` has lower-case names. Raises InvalidRequestError, which names the header or field, at the first
    thing wrong.
    """
    request_id = headers.get("req-id")
    if request_id is None or not REQUEST_ID.fullmatch(request_id):
        raise InvalidRequestError("Req-Id", "missing or no id")
    request_class = _request_class(headers.get("req-kind"), settings)
    tenant = _tenant(headers.get("req-owner"), settings)
    _check_body(body)
    extras = _parse_extras(headers.get("req-extra", ""))
    max_tokens = _max_prompt_tokens(settings)
    prompt_tokens = _token_count(extras, "prompt_len", max(1, len(body) // BYTES_PER_TOKEN), 1, max_tokens)
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
        prefix_tokens=_token_count(extras, "prefix_len", 0, 0, prompt_tokens) if prefix else 0,
        max_output_tokens=_token_count(extras, "max_out", 0, 0, max_tokens),
        expected_output_tokens=_parse_cost(headers.get("req-cost")) // time_per_token
        if time_per_token
        else 0,
        time_limit=_parse_time_limit(headers.get("req-deadline")),
        is_client_retry=retry == "1",
        is_continuation=retry == "again",
    )


def _request_class(name: str | None, settings: PlatformSettings) -> int:
    index = settings.request_classes.get(name or "")
    if index is None:
        raise InvalidRequestError("Req-Kind", f"{_quote(name)} is not known here")
    return index


def _tenant(name: str | None, settings: PlatformSettings) -> int | None:
    """The tenant's index; None where the request names none, or the platform has no tenants."""
    index = settings.tenants.get(name) if name is not None else None
    if settings.tenants and name is not None and index is None:
        raise InvalidRequestError("Req-Owner", f"{_quote(name)} is not known here")
    return index


def _check_body(body: bytes) -> None:
    """Only that it is a JSON object: its content is for the engine."""
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except fields.JSON_DECODE_ERRORS as fault:
        raise InvalidRequestError("body", f"no JSON object ({fault})") from None


def _max_prompt_tokens(settings: PlatformSettings) -> int:
    """What the engine type with the most memory holds; no engine could serve a longer prompt."""
    largest = max((engine_type.memory_tokens for engine_type in settings.routing.engine_types), default=0)
    return largest or UNBOUNDED_PROMPT_TOKENS


def _parse_time_limit(value: str | None) -> int:
    """Tenths of a millisecond, at least 1."""
    match = DEADLINE.fullmatch(value or "")
    if match is None:
        raise InvalidRequestError("Req-Deadline", f"{_quote(value)} is no whole number with m or u")
    limit = int(match[1]) * TENTHS if match[2] == "m" else int(match[1]) // UNIT_US
    if not 0 < limit <= MAX_TIME_LIMIT:
        raise InvalidRequestError("Req-Deadline", f"{_quote(value)} is no time a client waits")
    return limit


def _parse_cost(value: str | None) -> int:
    """The client's estimate of the work, in tenths of a millisecond; 0 where it gave none."""
    try:
        cost_us = float(value or 0)
    except ValueError:
        raise InvalidRequestError("Req-Cost", f"{_quote(value)} is no number") from None
    if not isfinite(cost_us) or not 0 <= cost_us < MAX_COST_US:
        raise InvalidRequestError("Req-Cost", f"{_quote(value)} is no time")
    return int(cost_us) // UNIT_US


def _parse_extras(value: str) -> dict[str, str]:
    """The `name=value` pairs, separated by commas."""
    extras: dict[str, str] = {}
    for pair in value.split(",") if value else ():
        key, equals, text = pair.strip().partition("=")
        if not equals or not key or key in extras:
            raise InvalidRequestError("Req-Extra", f"{_quote(pair)} is no name=value, or said twice")
        extras[key] = text
    return extras


def _token_count(extras: dict[str, str], key: str, default: int, least: int, most: int) -> int:
    return fields.parse_integer(extras.get(key), f"Req-Extra {key}", default, least, most)


def _quote(value: str | None) -> str:
    return "nothing" if value is None else repr(value[:QUOTED_CHARS])
