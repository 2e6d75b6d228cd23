"""A client's request, its headers and body, to a query; or why it cannot be one. Free of I/O."""

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

ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
DEADLINE = re.compile(r"([0-9]{1,12})([mu])")
LONGEST = 36_000_000  # tenths of a millisecond: no client waits for an hour


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A checked request; durations in tenths of a millisecond, lengths in tokens."""

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

    def to_request(self, index: int, session: int | None, beginning: int | None, budget: int) -> Request:
        return Request(
            index=index,
            request_class=self.request_class,
            tenant=self.tenant,
            session=session,
            prefix=beginning,
            prompt_tokens=self.prompt_tokens,
            prefix_tokens=self.prefix_tokens,
            max_output_tokens=self.max_output_tokens,
            expected_output_tokens=self.expected_output_tokens,
            time_budget=budget,
            is_client_retry=self.is_client_retry,
            is_continuation=self.is_continuation,
            session_hash=stable_hash(self.session or ""),
            prefix_hash=stable_hash(self.prefix or ""),
        )


def read_ask(
    target: bytes, headers: Mapping[str, str], body: bytes, granted: PlatformSettings
) -> ClientRequest:
    """From lower-case header names; raises Misworded at the first thing wrong."""
    name = headers.get("req-id")
    if name is None or not ID.fullmatch(name):
        raise InvalidRequestError("Req-Id", "missing or no id")
    kind = headers.get("req-kind")
    tariff = granted.request_classes.get(kind or "")
    if tariff is None:
        raise InvalidRequestError("Req-Kind", f"{_short(kind)} is not known here")
    owner = headers.get("req-owner")
    tenant = granted.tenants.get(owner) if owner is not None else None
    if granted.tenants and owner is not None and tenant is None:
        raise InvalidRequestError("Req-Owner", f"{_short(owner)} is not known here")
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except fields.JSON_DECODE_ERRORS as fault:
        raise InvalidRequestError("body", f"no JSON object ({fault})") from None
    said = _extras(headers.get("req-extra", ""))
    largest = max((kind.memory_tokens for kind in granted.routing.engine_types), default=0) or 10**9
    prompt = _length(said, "prompt_len", max(1, len(body) // BYTES_PER_TOKEN), 1, largest)
    beginning = said.get("prefix") or None
    again = headers.get("req-retry", "0")
    if again not in ("0", "1", "again"):
        raise InvalidRequestError("Req-Retry", f"{_short(again)} is neither 1 nor again")
    pace = granted.routing.request_classes[tariff].time_per_output_token
    return ClientRequest(
        id=name,
        target=target.decode("latin-1"),
        body=body,
        request_class=tariff,
        tenant=tenant,
        session=fields.parse_name(headers.get("req-key"), "Req-Key"),
        prefix=fields.parse_name(beginning, "Req-Extra prefix"),
        prompt_tokens=prompt,
        prefix_tokens=_length(said, "prefix_len", 0, 0, prompt) if beginning else 0,
        max_output_tokens=_length(said, "max_out", 0, 0, largest),
        expected_output_tokens=_cost(headers.get("req-cost")) // pace if pace else 0,
        time_limit=_limit(headers.get("req-deadline")),
        is_client_retry=again == "1",
        is_continuation=again == "again",
    )


def _limit(said: str | None) -> int:
    found = DEADLINE.fullmatch(said or "")
    if found is None:
        raise InvalidRequestError("Req-Deadline", f"{_short(said)} is no whole number with m or u")
    limit = int(found[1]) * TENTHS if found[2] == "m" else int(found[1]) // UNIT_US
    if not 0 < limit <= LONGEST:
        raise InvalidRequestError("Req-Deadline", f"{_short(said)} is no time a client waits")
    return limit


def _cost(said: str | None) -> int:
    """A guess at the work; none counts as 0."""
    try:
        cost = float(said or 0)
    except ValueError:
        raise InvalidRequestError("Req-Cost", f"{_short(said)} is no number") from None
    if not isfinite(cost) or not 0 <= cost < 1e12:
        raise InvalidRequestError("Req-Cost", f"{_short(said)} is no time")
    return int(cost) // UNIT_US


def _extras(said: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for pair in said.split(",") if said else ():
        key, equals, value = pair.strip().partition("=")
        if not equals or not key or key in found:
            raise InvalidRequestError("Req-Extra", f"{_short(pair)} is no name=value, or said twice")
        found[key] = value
    return found


def _length(said: dict[str, str], key: str, absent: int, least: int, most: int) -> int:
    return fields.parse_integer(said.get(key), f"Req-Extra {key}", absent, least, most)


def _short(said: str | None) -> str:
    return "nothing" if said is None else repr(said[:40])
