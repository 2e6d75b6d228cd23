"""The last list on disk, for a front that comes back before the list service does."""

from __future__ import annotations

from pathlib import Path

import msgspec

from runspool.files.whole import Torn, read, replace, sealed
from runspool.wire.listing import Entry, address_of


class LastList(msgspec.Struct, frozen=True):
    version: int
    engines: list[Entry]


_last: msgspec.json.Decoder[LastList] = msgspec.json.Decoder(LastList)


def keep(path: Path, version: int, engines: list[Entry]) -> None:
    """Writes the list so that a reader finds the old one or the new one, whenever the writer is killed."""
    replace(path, sealed(msgspec.json.encode(LastList(version, engines))))


def recall(path: Path) -> LastList | None:
    """The list last kept, None where there is none; raises Torn where it is damaged."""
    body = read(path)
    if body is None:
        return None
    try:
        found = _last.decode(body)
    except msgspec.DecodeError as fault:
        raise Torn(f"{path}: {fault}") from None
    if any(not address_of(entry.address) for entry in found.engines):
        raise Torn(f"{path}: an address that is not host:port")
    return found


__all__ = ["LastList", "Torn", "keep", "recall"]
