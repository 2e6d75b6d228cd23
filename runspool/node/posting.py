"""What the platform tells a node: where it stands, what it may use, its last list, its house's terms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.engines.connections import Address
from runspool.front.granted import Granted, Part, Unfit
from runspool.node.members import BadList, read_list
from runspool.wire.fields import UNREADABLE
from runspool.wire.listing import News, address_of

FILE_BYTES = 32 << 20
SOCKETS = 1024  # where no limit is told
LEAST_SOCKETS = 64  # with fewer neither clients nor engines could be served


class BadPosting(Exception):
    """The posting cannot be used; the message names the key."""


class HalfWritten(BadPosting):
    """The file cannot be read, or is no JSON: it may be in the middle of being written."""


@dataclass(frozen=True, slots=True)
class Posting:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: News
    granted: Granted


def read_posting(environ: Mapping[str, str]) -> Posting:
    """From the environment and the file it names; raises BadPosting."""
    file = environ.get("BALANCER_CONFIG")
    if not file:
        raise BadPosting("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        raw = Path(file).read_bytes()
    except OSError as fault:
        raise HalfWritten(f"BALANCER_CONFIG: {file}: {fault.strerror}") from None
    if len(raw) > FILE_BYTES:
        raise BadPosting(f"BALANCER_CONFIG: {file}: over {FILE_BYTES} bytes")
    try:
        said = msgspec.json.decode(raw)
        top = Part(said, "")
        # The file is newer than the environment, which a running process keeps from its start.
        name = _text(top, "name", environ.get("BALANCER_NAME"))
        known, faults = read_list(msgspec.json.encode(said.get("known") or {"index": 0, "snapshot": True}))
        if faults:
            raise BadPosting(f"known.{faults[0]}")
        if "settings" not in said:
            raise BadPosting("settings: missing")
        return Posting(
            name=name,
            listen=_address(top, "listen", environ.get("BALANCER_LISTEN")),
            discovery=_address(top, "discovery", environ.get("BALANCER_DISCOVERY")),
            seed=_seed(said.get("seed", 0)),
            sockets=_sockets(top),
            known=known,
            granted=_granted(said["settings"]),
        )
    except UNREADABLE as fault:
        raise HalfWritten(f"{file}: no JSON: {fault}") from None
    except BadList as fault:
        raise BadPosting(f"known: {fault}") from None
    except Unfit as fault:
        raise BadPosting(str(fault)) from None


def _granted(said: Any) -> Granted:
    try:
        granted = Granted(said)
    except Unfit as fault:
        raise BadPosting(f"settings.{fault}") from None
    if not granted.tariffs:
        raise BadPosting("settings.classes: none")
    return granted


def _text(top: Part, key: str, absent: str | None) -> str:
    said = top.said.get(key, absent)
    if not isinstance(said, str) or not said:
        raise BadPosting(f"{key}: missing or no text")
    return said


def _address(top: Part, key: str, absent: str | None) -> Address:
    said = _text(top, key, absent)
    found = address_of(said)
    if found is None:
        raise BadPosting(f"{key}: {said!r} is no host:port")
    return found


def _seed(said: Any) -> int:
    """Hexadecimal digits, or a number."""
    if isinstance(said, int) and not isinstance(said, bool):
        return said
    try:
        return int(str(said), 16)
    except ValueError:
        raise BadPosting(f"seed: {said!r} is no hexadecimal number") from None


def _sockets(top: Part) -> int:
    limits = top.part("limits")
    sockets = limits.whole("sockets", SOCKETS)
    if sockets < LEAST_SOCKETS:
        raise BadPosting(f"limits.sockets: {sockets} is below {LEAST_SOCKETS}")
    return sockets
