"""Codec of the endpoint list: numbered messages, one JSON object per line. It does no I/O.

A message holds the whole list (a snapshot), the changed entries, or only the current version (a heartbeat).
Some fields have other names on the wire and in stored files than in Python; `msgspec.field(name=...)` maps
them.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from runspool.errors import RunspoolError
from runspool.wire.fields import JSON_DECODE_ERRORS

MAX_PORT = 65_535


class EndpointEntry(msgspec.Struct, frozen=True):
    """One engine in the endpoint list.

    Attributes:
        engine: Name of the engine, unique in the list.
        address: Address in the form host:port.
        engine_type: Name of the engine type ("kind" on the wire).
        zone: Name of the zone.
        rack: Number of the rack.
        state: "on" (active), "draining" or "gone" (removed).
        started_unix_ms: Unix time of the engine's start, in milliseconds; 0 if it is long past.
    """

    engine: str
    address: str
    engine_type: str = msgspec.field(name="kind")
    zone: str
    rack: int
    state: Literal["on", "draining", "gone"]
    started_unix_ms: int = 0


class EndpointListMessage(msgspec.Struct, frozen=True):
    """One message of the endpoint list.

    Attributes:
        version: Version of the list after this message. Within an epoch versions increase by one.
        epoch: Identifies a sequence of versions. A new epoch starts a new sequence.
        is_snapshot: True if `engines` is the whole list, which replaces the known one ("whole" on the wire).
        is_heartbeat: True if the message holds only the version ("beat" on the wire).
        engines: The whole list or the changed entries.
        since: If not None, the message includes all changes after this version up to `version`.
    """

    version: int
    epoch: str = ""
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    is_heartbeat: bool = msgspec.field(default=False, name="beat")
    engines: list[EndpointEntry] = []
    since: int | None = None


class MalformedListLineError(RunspoolError):
    """A line is not a valid message of the endpoint list.

    Attributes:
        reason: Description of the fault.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_decoder: msgspec.json.Decoder[EndpointListMessage] = msgspec.json.Decoder(EndpointListMessage)


def decode_message(line: bytes) -> EndpointListMessage:
    """Decode one line.

    Raises:
        MalformedListLineError: The line is not a valid message, or holds an invalid version or address.
    """
    try:
        message = _decoder.decode(line)
    except JSON_DECODE_ERRORS as error:
        raise MalformedListLineError(str(error)) from None
    if message.version < 0 or any(not parse_address(entry.address) for entry in message.engines):
        raise MalformedListLineError("negative version, or address not of the form host:port")
    return message


def encode_message(message: EndpointListMessage) -> bytes:
    """Encode a message as one line, including the line feed."""
    return msgspec.json.encode(message) + b"\n"


def parse_address(text: str) -> tuple[str, int] | None:
    """Split host:port, removing the brackets of an IPv6 host; return None if the text has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host.strip("[]"), int(port)
