"""The list of engines on the wire: one JSON object a line, each numbered, each whole or only what changed."""

from __future__ import annotations

from typing import Literal

import msgspec

from runspool.wire.fields import UNREADABLE


class EndpointEntry(msgspec.Struct, frozen=True):
    """One engine as the list names it. `started_unix_ms` 0 means long ago."""

    engine: str
    address: str
    kind: str
    zone: str
    rack: int
    state: Literal["on", "draining", "gone"]
    started_unix_ms: int = 0


class EndpointListMessage(msgspec.Struct, frozen=True):
    """One line: `whole` lists replace what was known, others carry what changed; `beat` carries nothing.

    Where `since` is given, all that changed after that version is in it, up to its own.
    """

    version: int
    epoch: str = ""
    whole: bool = False
    beat: bool = False
    engines: list[EndpointEntry] = []
    since: int | None = None


class MalformedListLineError(Exception):
    """A line that is no news."""


_news: msgspec.json.Decoder[EndpointListMessage] = msgspec.json.Decoder(EndpointListMessage)


def read_news(line: bytes) -> EndpointListMessage:
    """Raises Torn where the line is cut, garbled or names something impossible."""
    try:
        news = _news.decode(line)
    except UNREADABLE as fault:
        raise MalformedListLineError(str(fault)) from None
    if news.version < 0 or any(not address_of(entry.address) for entry in news.engines):
        raise MalformedListLineError("a version below 0 or an address that is not host:port")
    return news


def write_news(news: EndpointListMessage) -> bytes:
    return msgspec.json.encode(news) + b"\n"


def address_of(said: str) -> tuple[str, int] | None:
    """Host and port, or None."""
    host, colon, port = said.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host.strip("[]"), int(port)
