"""The platform's endpoint list: decodes its JSON into the endpoint tracker's messages. Free of I/O."""

from __future__ import annotations

from typing import Literal

import msgspec

from runspool.errors import RunspoolError
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, parse_address
from runspool.wire.fields import JSON_DECODE_ERRORS

# By the platform's status of an engine, the state that an endpoint entry has.
STATES: dict[str, Literal["on", "draining", "gone"]] = {
    "active": "on",
    "leaving": "draining",
    "left": "gone",
}
ENDPOINT_LIST_PATH = "/catalog/members"
MAX_START_MS = 1 << 53  # milliseconds since the epoch; floats above no longer hold every integer


class InvalidEndpointListError(RunspoolError):
    """A response is not an endpoint list.

    Attributes:
        reason: what is wrong with it.
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


def decode_endpoint_list(raw: bytes, since: int | None = None) -> tuple[EndpointListMessage, list[str]]:
    """Decodes a response of the discovery agent.

    Args:
        raw: the response's body.
        since: the version after which changes were requested, None for the whole list; the response holds all
            changes after it.

    Returns:
        The message, and for each endpoint that was left out what is wrong with it.

    Raises:
        InvalidEndpointListError: the body is no list, or is a whole list of which an endpoint is unusable;
            taking the rest would report that engine as removed.
    """
    try:
        response = _list_decoder.decode(raw)
    except JSON_DECODE_ERRORS as fault:
        raise InvalidEndpointListError(str(fault)) from None
    if response.index < 0:
        raise InvalidEndpointListError(f"index: {response.index} is below 0")
    entries: list[EndpointEntry] = []
    faults: list[str] = []
    for position, line in enumerate(response.endpoints):
        try:
            entries.append(_convert(_endpoint_decoder.decode(line)))
        except (*JSON_DECODE_ERRORS, ValueError) as fault:
            faults.append(f"endpoints[{position}]: {fault}")
    if response.snapshot and faults:
        raise InvalidEndpointListError(faults[0])
    message = EndpointListMessage(
        response.index,
        is_snapshot=response.snapshot,
        engines=entries,
        since=None if response.snapshot else since,
    )
    return message, faults


def _convert(endpoint: _PlatformEndpoint) -> EndpointEntry:
    """Converts one endpoint; raises ValueError saying what is wrong with it."""
    state = STATES.get(endpoint.status)
    if state is None:
        raise ValueError(f"status {endpoint.status!r} is none of {', '.join(STATES)}")
    if not endpoint.name or parse_address(endpoint.address) is None:
        raise ValueError(f"name {endpoint.name!r}, address {endpoint.address!r}: no name or no host:port")
    if not 0 <= endpoint.since_ms < MAX_START_MS:
        raise ValueError(f"since_ms {endpoint.since_ms!r} is no time")
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
    """Returns the target of a request for the list.

    Args:
        after_version: requests what changed after this version; None requests the whole list.
        wait_ms: milliseconds that the agent may wait for a change; not used for the whole list.
    """
    if after_version is None:
        return ENDPOINT_LIST_PATH
    return f"{ENDPOINT_LIST_PATH}?after={after_version}&wait_ms={wait_ms}"
