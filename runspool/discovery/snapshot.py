"""The last known endpoint list, stored on disk for a restart while the list service is unreachable.

The file holds JSON after a checksum line (see `runspool.storage.atomic_file`).
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from runspool.storage.atomic_file import CorruptFileError, add_checksum, read_checksummed, replace_file
from runspool.wire.endpoint_list import EndpointEntry, parse_address


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """A stored list: its version, and the entries of the active and draining engines."""

    version: int
    engines: list[EndpointEntry]


_decoder: msgspec.json.Decoder[EndpointSnapshot] = msgspec.json.Decoder(EndpointSnapshot)


def save_snapshot(path: Path, version: int, engines: list[EndpointEntry]) -> None:
    """Replace the stored list atomically.

    Raises:
        OSError: The file could not be written; the previous content is unchanged.
    """
    replace_file(path, add_checksum(msgspec.json.encode(EndpointSnapshot(version, engines))))


def load_snapshot(path: Path) -> EndpointSnapshot | None:
    """Read the stored list.

    Returns:
        The list that was saved last, or None if the file does not exist.

    Raises:
        CorruptFileError: The file is damaged, or holds an address that is not of the form host:port.
    """
    body = read_checksummed(path)
    if body is None:
        return None
    try:
        snapshot = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise CorruptFileError(path, str(error)) from None
    if any(not parse_address(entry.address) for entry in snapshot.engines):
        raise CorruptFileError(path, "address not of the form host:port")
    return snapshot


__all__ = ["CorruptFileError", "EndpointSnapshot", "load_snapshot", "save_snapshot"]
