"""Converts the platform's endpoint list from JSON to the endpoint tracker's messages. Does no I/O."""

from __future__ import annotations

from typing import Literal

import msgspec

from runspool.errors import RunspoolError
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, parse_address
from runspool.wire.fields import JSON_DECODE_ERRORS

# Maps the platform's status of an engine to the state of an endpoint entry.
STATE_BY_STATUS: dict[str, Literal["on", "draining", "gone"]] = {
    "active": "on",
    "leaving": "draining",
    "left": "gone",
}
ENDPOINT_LIST_PATH = "/catalog/members"
# Exclusive upper bound of an engine's start time, in milliseconds since the Unix epoch. Above it, not every
# integer can be represented as a floating-point number.
MAX_START_MS = 1 << 53


class InvalidEndpointListError(RunspoolError):
    """A response of the discovery agent is not a valid endpoint list.

    Attributes:
        reason: What is wrong with the response.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class _PlatformEndpoint(msgspec.Struct):
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = -1
    status: str = "active"
    since_ms: float = 0


class _PlatformList(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw] = []


_list_decoder: msgspec.json.Decoder[_PlatformList] = msgspec.json.Decoder(_PlatformList)
_endpoint_decoder: msgspec.json.Decoder[_PlatformEndpoint] = msgspec.json.Decoder(_PlatformEndpoint)


def decode_endpoint_list(
    raw: bytes, after_version: int | None = None
) -> tuple[EndpointListMessage, list[str]]:
    """Decode a response of the discovery agent.

    Args:
        raw: The body of the response.
        after_version: The version after which changes were requested; None if the whole list was requested.
            The response contains all changes after this version.

    Returns:
        The message, and one error description for each endpoint that was omitted because it is invalid.

    Raises:
        InvalidEndpointListError: The body is not a list, or it is a whole list with an invalid endpoint. A
            whole list without that endpoint would report the engine as removed.
    """
    try:
        response = _list_decoder.decode(raw)
    except JSON_DECODE_ERRORS as error:
        raise InvalidEndpointListError(str(error)) from None
    if response.index < 0:
        raise InvalidEndpointListError(f"index: {response.index} is negative")
    entries: list[EndpointEntry] = []
    problems: list[str] = []
    for position, raw_endpoint in enumerate(response.endpoints):
        try:
            entries.append(_convert(_endpoint_decoder.decode(raw_endpoint)))
        except (*JSON_DECODE_ERRORS, ValueError) as error:
            problems.append(f"endpoints[{position}]: {error}")
    if response.snapshot and problems:
        raise InvalidEndpointListError(problems[0])
    message = EndpointListMessage(
        response.index,
        is_snapshot=response.snapshot,
        engines=entries,
        since=None if response.snapshot else after_version,
    )
    return message, problems


def _convert(endpoint: _PlatformEndpoint) -> EndpointEntry:
    """Convert one endpoint of the platform's list.

    Raises:
        ValueError: A field of the endpoint is invalid; the message says which one.
    """
    state = STATE_BY_STATUS.get(endpoint.status)
    if state is None:
        raise ValueError(f"status {endpoint.status!r} is not one of {', '.join(STATE_BY_STATUS)}")
    if not endpoint.name or parse_address(endpoint.address) is None:
        raise ValueError(
            f"name {endpoint.name!r}, address {endpoint.address!r}: "
            "the name is empty or the address is not host:port"
        )
    if not 0 <= endpoint.since_ms < MAX_START_MS:
        raise ValueError(f"since_ms {endpoint.since_ms!r} is not a valid time")
    return EndpointEntry(
        engine=endpoint.name,
        address=endpoint.address,
        engine_type=endpoint.type,
        zone=endpoint.zone,
        rack=endpoint.group,
        state=state,
        started_unix_ms=int(endpoint.since_ms),
    )


def request_target(after_version: int | None, wait_ms: int) -> str:
    """Return the HTTP request target of a call to the discovery agent.

    Args:
        after_version: The version after which changes are requested; None requests the whole list.
        wait_ms: How long, in milliseconds, the agent may delay its response until there is a change; ignored
            for the whole list.
    """
    if after_version is None:
        return ENDPOINT_LIST_PATH
    return f"{ENDPOINT_LIST_PATH}?after={after_version}&wait_ms={wait_ms}"
