"""The last list on disk, for a front that comes back before the list service does."""

from __future__ import annotations

from pathlib import Path

import msgspec

from runspool.storage.atomic_file import CorruptFileError, read, replace, sealed
from runspool.wire.endpoint_list import EndpointEntry, address_of


class EndpointSnapshot(msgspec.Struct, frozen=True):
    version: int
    engines: list[EndpointEntry]


_last: msgspec.json.Decoder[EndpointSnapshot] = msgspec.json.Decoder(EndpointSnapshot)


def save_snapshot(path: Path, version: int, engines: list[EndpointEntry]) -> None:
    """Writes the list so that a reader finds the old one or the new one, whenever the writer is killed."""
    replace(path, sealed(msgspec.json.encode(EndpointSnapshot(version, engines))))


def load_snapshot(path: Path) -> EndpointSnapshot | None:
    """The list last kept, None where there is none; raises Torn where it is damaged."""
    body = read(path)
    if body is None:
        return None
    try:
        found = _last.decode(body)
    except msgspec.DecodeError as fault:
        raise CorruptFileError(f"{path}: {fault}") from None
    if any(not address_of(entry.address) for entry in found.engines):
        raise CorruptFileError(f"{path}: an address that is not host:port")
    return found


__all__ = ["CorruptFileError", "EndpointSnapshot", "load_snapshot", "save_snapshot"]
