"""The platform's list of engines, JSON to the entries that following the list takes. Free of I/O."""

from __future__ import annotations

import msgspec

from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, address_of
from runspool.wire.fields import UNREADABLE

STATES = {"active": "on", "leaving": "draining", "left": "gone"}
PATH = "/catalog/members"
MOST_MS = 1 << 53  # a start after this is no time


class InvalidEndpointListError(Exception):
    """An answer that is no list; the message names what is wrong."""


class _Line(msgspec.Struct):
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = -1
    status: str = "active"
    since_ms: float = 0


class _Told(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw] = []


_told: msgspec.json.Decoder[_Told] = msgspec.json.Decoder(_Told)
_line: msgspec.json.Decoder[_Line] = msgspec.json.Decoder(_Line)


def read_list(raw: bytes, since: int | None = None) -> tuple[EndpointListMessage, list[str]]:
    """The news, and what was wrong with each line passed over; raises BadList where nothing can be used.

    `since` is the version that changes were asked after: they hold everything from there on.
    """
    try:
        told = _told.decode(raw)
    except UNREADABLE as fault:
        raise InvalidEndpointListError(str(fault)) from None
    if told.index < 0:
        raise InvalidEndpointListError(f"index: {told.index} is below 0")
    entries, faults = [], []
    for at, line in enumerate(told.endpoints):
        try:
            entries.append(_entry(_line.decode(line)))
        except (*UNREADABLE, ValueError) as fault:
            faults.append(f"endpoints[{at}]: {fault}")
    # Against a list of which nothing could be read passing for one that says every engine is gone.
    if told.snapshot and faults:
        raise InvalidEndpointListError(faults[0])
    return EndpointListMessage(
        told.index, whole=told.snapshot, engines=entries, since=None if told.snapshot else since
    ), faults


def _entry(line: _Line) -> EndpointEntry:
    state = STATES.get(line.status)
    if state is None:
        raise ValueError(f"status {line.status!r} is none of {', '.join(STATES)}")
    if not line.name or address_of(line.address) is None:
        raise ValueError(f"name {line.name!r}, address {line.address!r}: no name or no host:port")
    if not 0 <= line.since_ms < MOST_MS:
        raise ValueError(f"since_ms {line.since_ms!r} is no time")
    return EndpointEntry(
        line.name,
        line.address,
        line.type,
        line.zone,
        line.group,
        state,  # type: ignore[arg-type]
        int(line.since_ms),
    )


def target(after: int | None, wait_ms: int) -> str:
    """What is asked: the whole list, or what is newer than a version, waited for so long."""
    return PATH if after is None else f"{PATH}?after={after}&wait_ms={wait_ms}"
