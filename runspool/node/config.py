"""Reads a node's configuration from its environment and from the JSON file that the environment names.

The keys of the file are defined by the platform. They appear only here and in
`runspool.runtime.platform_settings`.
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

MAX_FILE_BYTES = 32 << 20  # maximum size of the configuration file
DEFAULT_MAX_DESCRIPTORS = 1024  # limit on open file descriptors if the file does not set one
DEFAULT_MEMORY_MB = 192.0  # memory limit of the process if the file does not set one
MIN_MAX_DESCRIPTORS = 64  # lowest limit accepted; a lower one leaves too few for clients and engines
EMPTY_ENDPOINT_LIST = {"index": 0, "snapshot": True}  # used if the file contains no endpoint list


class InvalidNodeConfigError(RunspoolError):
    """The configuration cannot be used.

    Attributes:
        key: The path of the invalid value in the file, or the name of the invalid environment variable.
        problem: What is wrong with it.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class UnreadableNodeConfigError(InvalidNodeConfigError):
    """The file cannot be read or is not JSON. The caller should retry: it may be partially written."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """A node's configuration, validated.

    Attributes:
        name: The name of the node in logs.
        listen: The address on which clients are accepted.
        discovery: The address of the discovery agent.
        seed: The seed of the scheduler's random numbers.
        max_descriptors: The maximum number of file descriptors that the process may hold.
        memory_mb: The memory, in MB, over which the platform kills the process.
        last_known_endpoints: The latest endpoint list that the platform knew when it wrote the file. The node
            uses it until the discovery agent responds.
        settings: The platform's settings.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_mb: float
    last_known_endpoints: EndpointListMessage
    settings: PlatformSettings


def read_node_config(environ: Mapping[str, str]) -> NodeConfig:
    """Read and validate the configuration file named by BALANCER_CONFIG.

    Args:
        environ: The environment variables. Some of them replace values that are missing in the file.

    Raises:
        UnreadableNodeConfigError: The file cannot be read or is not JSON.
        InvalidNodeConfigError: A value in the file or in `environ` is invalid.
    """
    file = environ.get("BALANCER_CONFIG")
    if not file:
        raise InvalidNodeConfigError("BALANCER_CONFIG", "not set; it must name the configuration file")
    raw = _read_file(file)
    try:
        return _parse_document(msgspec.json.decode(raw), environ)
    except JSON_DECODE_ERRORS as error:
        raise UnreadableNodeConfigError(file, f"invalid JSON: {error}") from None
    except InvalidEndpointListError as error:
        raise InvalidNodeConfigError("known", str(error)) from None
    except InvalidSettingsError as error:
        raise InvalidNodeConfigError(error.key, error.problem) from None


def _read_file(file: str) -> bytes:
    try:
        raw = Path(file).read_bytes()
    except OSError as error:
        raise UnreadableNodeConfigError("BALANCER_CONFIG", f"{file}: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise InvalidNodeConfigError("BALANCER_CONFIG", f"{file}: larger than {MAX_FILE_BYTES} bytes")
    return raw


def _parse_document(document: dict[str, Any], environ: Mapping[str, str]) -> NodeConfig:
    top = SettingsSection(document, "")
    # Values in the file take precedence over the environment: the file may have been rewritten since the
    # process was started, whereas its environment does not change.
    name = _read_text(top, "name", environ.get("BALANCER_NAME"))
    last_known_endpoints, problems = decode_endpoint_list(
        msgspec.json.encode(document.get("known") or EMPTY_ENDPOINT_LIST)
    )
    if problems:
        path, _, problem = problems[0].partition(": ")
        raise InvalidNodeConfigError(f"known.{path}", problem)
    if "settings" not in document:
        raise InvalidNodeConfigError("settings", "missing")
    return NodeConfig(
        name=name,
        listen=_read_address(top, "listen", environ.get("BALANCER_LISTEN")),
        discovery=_read_address(top, "discovery", environ.get("BALANCER_DISCOVERY")),
        seed=_parse_seed(document.get("seed", 0)),
        max_descriptors=_read_max_descriptors(top),
        memory_mb=top.section("limits").number("memory_mb", DEFAULT_MEMORY_MB),
        last_known_endpoints=last_known_endpoints,
        settings=_parse_platform_settings(document["settings"]),
    )


def _parse_platform_settings(value: object) -> PlatformSettings:
    try:
        settings = PlatformSettings(value)
    except InvalidSettingsError as error:
        raise InvalidNodeConfigError(f"settings.{error.key}", error.problem) from None
    if not settings.request_classes:
        raise InvalidNodeConfigError("settings.classes", "no request class is defined")
    return settings


def _read_text(top: SettingsSection, key: str, default: str | None) -> str:
    value = top.values.get(key, default)
    if not isinstance(value, str) or not value:
        raise InvalidNodeConfigError(key, "missing, empty or not a string")
    return value


def _read_address(top: SettingsSection, key: str, default: str | None) -> Address:
    text = _read_text(top, key, default)
    address = parse_address(text)
    if address is None:
        raise InvalidNodeConfigError(key, f"{text!r} is not of the form host:port")
    return address


def _parse_seed(value: object) -> int:
    """Convert the seed, which is a number or a string of hexadecimal digits."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise InvalidNodeConfigError("seed", f"{value!r} is not a hexadecimal number") from None


def _read_max_descriptors(top: SettingsSection) -> int:
    max_descriptors = top.section("limits").integer("sockets", DEFAULT_MAX_DESCRIPTORS)
    if max_descriptors < MIN_MAX_DESCRIPTORS:
        raise InvalidNodeConfigError(
            "limits.sockets", f"{max_descriptors} is less than {MIN_MAX_DESCRIPTORS}"
        )
    return max_descriptors
