"""What the platform tells a node: where it stands, what it may use, its last list, its house's terms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.engines.connection_pool import Address
from runspool.node.endpoint_list import InvalidEndpointListError, decode_endpoint_list
from runspool.runtime.platform_settings import InvalidSettingsError, PlatformSettings, SettingsSection
from runspool.wire.endpoint_list import EndpointListMessage, parse_address
from runspool.wire.fields import JSON_DECODE_ERRORS

FILE_BYTES = 32 << 20
SOCKETS = 1024  # where no limit is told
LEAST_SOCKETS = 64  # with fewer neither clients nor engines could be served


class InvalidNodeConfigError(Exception):
    """The posting cannot be used; the message names the key."""


class UnreadableNodeConfigError(InvalidNodeConfigError):
    """The file cannot be read, or is no JSON: it may be in the middle of being written."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    last_endpoints: EndpointListMessage
    settings: PlatformSettings


def read_node_config(environ: Mapping[str, str]) -> NodeConfig:
    """From the environment and the file it names; raises BadPosting."""
    file = environ.get("BALANCER_CONFIG")
    if not file:
        raise InvalidNodeConfigError("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        raw = Path(file).read_bytes()
    except OSError as fault:
        raise UnreadableNodeConfigError(f"BALANCER_CONFIG: {file}: {fault.strerror}") from None
    if len(raw) > FILE_BYTES:
        raise InvalidNodeConfigError(f"BALANCER_CONFIG: {file}: over {FILE_BYTES} bytes")
    try:
        said = msgspec.json.decode(raw)
        top = SettingsSection(said, "")
        # The file is newer than the environment, which a running process keeps from its start.
        name = _text(top, "name", environ.get("BALANCER_NAME"))
        known, faults = decode_endpoint_list(
            msgspec.json.encode(said.get("known") or {"index": 0, "snapshot": True})
        )
        if faults:
            raise InvalidNodeConfigError(f"known.{faults[0]}")
        if "settings" not in said:
            raise InvalidNodeConfigError("settings: missing")
        return NodeConfig(
            name=name,
            listen=_address(top, "listen", environ.get("BALANCER_LISTEN")),
            discovery=_address(top, "discovery", environ.get("BALANCER_DISCOVERY")),
            seed=_seed(said.get("seed", 0)),
            max_descriptors=_sockets(top),
            last_endpoints=known,
            settings=_granted(said["settings"]),
        )
    except JSON_DECODE_ERRORS as fault:
        raise UnreadableNodeConfigError(f"{file}: no JSON: {fault}") from None
    except InvalidEndpointListError as fault:
        raise InvalidNodeConfigError(f"known: {fault}") from None
    except InvalidSettingsError as fault:
        raise InvalidNodeConfigError(str(fault)) from None


def _granted(said: Any) -> PlatformSettings:
    try:
        granted = PlatformSettings(said)
    except InvalidSettingsError as fault:
        raise InvalidNodeConfigError(f"settings.{fault}") from None
    if not granted.request_classes:
        raise InvalidNodeConfigError("settings.classes: none")
    return granted


def _text(top: SettingsSection, key: str, absent: str | None) -> str:
    said = top.values.get(key, absent)
    if not isinstance(said, str) or not said:
        raise InvalidNodeConfigError(f"{key}: missing or no text")
    return said


def _address(top: SettingsSection, key: str, absent: str | None) -> Address:
    said = _text(top, key, absent)
    found = parse_address(said)
    if found is None:
        raise InvalidNodeConfigError(f"{key}: {said!r} is no host:port")
    return found


def _seed(said: Any) -> int:
    """Hexadecimal digits, or a number."""
    if isinstance(said, int) and not isinstance(said, bool):
        return said
    try:
        return int(str(said), 16)
    except ValueError:
        raise InvalidNodeConfigError(f"seed: {said!r} is no hexadecimal number") from None


def _sockets(top: SettingsSection) -> int:
    limits = top.section("limits")
    sockets = limits.integer("sockets", SOCKETS)
    if sockets < LEAST_SOCKETS:
        raise InvalidNodeConfigError(f"limits.sockets: {sockets} is below {LEAST_SOCKETS}")
    return sockets
