"""The wire format of the endpoint list: one JSON object per line, each numbered. Free of I/O.

A line holds the whole list, only what changed, or nothing but the current version (a heartbeat). The Python
names of some fields differ from their names on the wire and in stored files; `msgspec.field(name=...)` maps
them.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from runspool.errors import RunspoolError
from runspool.wire.fields import JSON_DECODE_ERRORS

MAX_PORT = 65_535


class EndpointEntry(msgspec.Struct, frozen=True):
    """One engine as the list describes it.

    Attributes:
        engine: the engine's name, unique in the list.
        address: host:port.
        engine_type: the name of its engine type ("kind" on the wire).
        zone: the name of its zone.
        rack: the number of its rack.
        state: "on" (active), "draining", or "gone" (removed).
        started_unix_ms: when it started, milliseconds since the epoch; 0 means long ago.
    """

    engine: str
    address: str
    engine_type: str = msgspec.field(name="kind")
    zone: str
    rack: int
    state: Literal["on", "draining", "gone"]
    started_unix_ms: int = 0


class EndpointListMessage(msgspec.Struct, frozen=True):
    """One line of the list.

    Attributes:
        version: the list's version after this message; versions count up by one within an epoch.
        epoch: identifies one count of versions; another epoch starts a new count.
        is_snapshot: `engines` is the whole list and replaces what was known ("whole" on the wire).
        is_heartbeat: the message carries the version only ("beat" on the wire).
        engines: the whole list, or the entries that changed.
        since: if given, all changes after that version and up to `version` are included.
    """

    version: int
    epoch: str = ""
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    is_heartbeat: bool = msgspec.field(default=False, name="beat")
    engines: list[EndpointEntry] = []
    since: int | None = None


class MalformedListLineError(RunspoolError):
    """A line is not a message of the endpoint list.

    Attributes:
        reason: what is wrong with the line.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_decoder: msgspec.json.Decoder[EndpointListMessage] = msgspec.json.Decoder(EndpointListMessage)


def decode_message(line: bytes) -> EndpointListMessage:
    """Decodes one line.

    Raises:
        MalformedListLineError: the line is truncated or garbled, or holds an impossible version or address.
    """
    try:
        message = _decoder.decode(line)
    except JSON_DECODE_ERRORS as fault:
        raise MalformedListLineError(str(fault)) from None
    if message.version < 0 or any(not parse_address(entry.address) for entry in message.engines):
        raise MalformedListLineError("a version below 0 or an address that is not host:port")
    return message


def encode_message(message: EndpointListMessage) -> bytes:
    """Encodes a message as one line, the line feed included."""
    return msgspec.json.encode(message) + b"\n"


def parse_address(text: str) -> tuple[str, int] | None:
    """Splits host:port, the brackets of an IPv6 host removed; None if the text is not of that form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host.strip("[]"), int(port)
