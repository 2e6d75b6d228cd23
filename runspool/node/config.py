"""Reads a node's configuration from its environment and from the JSON file that the environment names.

The file's keys are the platform's, and are named here and in `runspool.runtime.platform_settings` only.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.engines.connection_pool import Address
from runspool.errors import RunspoolError
from runspool.node.endpoint_list import InvalidEndpointListError, decode_endpoint_list
from runspool.runtime.platform_settings import InvalidSettingsError, PlatformSettings, SettingsSection
from runspool.wire.endpoint_list import EndpointListMessage, parse_address
from runspool.wire.fields import JSON_DECODE_ERRORS

MAX_FILE_BYTES = 32 << 20
DEFAULT_MAX_DESCRIPTORS = 1024  # where the file sets no limit
MIN_MAX_DESCRIPTORS = 64  # with fewer neither clients nor engines could be served
EMPTY_ENDPOINT_LIST = {"index": 0, "snapshot": True}


class InvalidNodeConfigError(RunspoolError):
    """The configuration cannot be used.

    `key` is the path of the value in the file, or the name of the environment variable, that is wrong, and
    `problem` says what is wrong with it.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class UnreadableNodeConfigError(InvalidNodeConfigError):
    """The file cannot be read, or is not JSON. It may be in the middle of being written, so retry."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """A node's configuration, checked.

    `listen` and `discovery` are the addresses to listen on and to fetch the endpoint list from, and
    `last_endpoints` is the list last known to the platform, to start with. `seed` seeds the scheduler's
    random draws. `max_descriptors` bounds the file descriptors that the process may hold.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    last_endpoints: EndpointListMessage
    settings: PlatformSettings


def read_node_config(environ: Mapping[str, str]) -> NodeConfig:
    """Reads and checks the configuration that `environ` leads to.

    Raises UnreadableNodeConfigError where the file cannot be read or is not JSON, and InvalidNodeConfigError
    where something in it, or in `environ`, is not usable.
    """
    file = environ.get("BALANCER_CONFIG")
    if not file:
        raise InvalidNodeConfigError("BALANCER_CONFIG", "not set; it names the configuration file")
    raw = _read_file(file)
    try:
        return _check_document(msgspec.json.decode(raw), environ)
    except JSON_DECODE_ERRORS as fault:
        raise UnreadableNodeConfigError(file, f"no JSON: {fault}") from None
    except InvalidEndpointListError as fault:
        raise InvalidNodeConfigError("known", str(fault)) from None
    except InvalidSettingsError as fault:
        raise InvalidNodeConfigError(fault.key, fault.problem) from None


def _read_file(file: str) -> bytes:
    try:
        raw = Path(file).read_bytes()
    except OSError as fault:
        raise UnreadableNodeConfigError("BALANCER_CONFIG", f"{file}: {fault.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise InvalidNodeConfigError("BALANCER_CONFIG", f"{file}: over {MAX_FILE_BYTES} bytes")
    return raw


def _check_document(document: dict[str, Any], environ: Mapping[str, str]) -> NodeConfig:
    top = SettingsSection(document, "")
    # The file comes first, as it is newer than the environment, which a running process keeps from its start.
    name = _text(top, "name", environ.get("BALANCER_NAME"))
    last_endpoints, faults = decode_endpoint_list(
        msgspec.json.encode(document.get("known") or EMPTY_ENDPOINT_LIST)
    )
    if faults:
        where, _, problem = faults[0].partition(": ")
        raise InvalidNodeConfigError(f"known.{where}", problem)
    if "settings" not in document:
        raise InvalidNodeConfigError("settings", "missing")
    return NodeConfig(
        name=name,
        listen=_address(top, "listen", environ.get("BALANCER_LISTEN")),
        discovery=_address(top, "discovery", environ.get("BALANCER_DISCOVERY")),
        seed=_seed(document.get("seed", 0)),
        max_descriptors=_max_descriptors(top),
        last_endpoints=last_endpoints,
        settings=_platform_settings(document["settings"]),
    )


def _platform_settings(value: object) -> PlatformSettings:
    try:
        settings = PlatformSettings(value)
    except InvalidSettingsError as fault:
        raise InvalidNodeConfigError(f"settings.{fault.key}", fault.problem) from None
    if not settings.request_classes:
        raise InvalidNodeConfigError("settings.classes", "none")
    return settings


def _text(top: SettingsSection, key: str, default: str | None) -> str:
    value = top.values.get(key, default)
    if not isinstance(value, str) or not value:
        raise InvalidNodeConfigError(key, "missing or no text")
    return value


def _address(top: SettingsSection, key: str, default: str | None) -> Address:
    text = _text(top, key, default)
    address = parse_address(text)
    if address is None:
        raise InvalidNodeConfigError(key, f"{text!r} is no host:port")
    return address


def _seed(value: object) -> int:
    """Accepts hexadecimal digits or a number."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise InvalidNodeConfigError("seed", f"{value!r} is no hexadecimal number") from None


def _max_descriptors(top: SettingsSection) -> int:
    max_descriptors = top.section("limits").integer("sockets", DEFAULT_MAX_DESCRIPTORS)
    if max_descriptors < MIN_MAX_DESCRIPTORS:
        raise InvalidNodeConfigError("limits.sockets", f"{max_descriptors} is below {MIN_MAX_DESCRIPTORS}")
    return max_descriptors
