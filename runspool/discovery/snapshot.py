"""The last known endpoint list on disk, for a front that restarts while the list service is unreachable.

The file holds JSON under a checksum (see `runspool.storage.atomic_file`).
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from runspool.storage.atomic_file import CorruptFileError, add_checksum, read_checked, replace_file
from runspool.wire.endpoint_list import EndpointEntry, parse_address


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """The stored list: the version it was known at, and the engines that were active or draining then."""

    version: int
    engines: list[EndpointEntry]


_decoder: msgspec.json.Decoder[EndpointSnapshot] = msgspec.json.Decoder(EndpointSnapshot)


def save_snapshot(path: Path, version: int, engines: list[EndpointEntry]) -> None:
    """Replaces the stored list atomically.

    Raises:
        OSError: the file could not be written; the previous one is untouched.
    """
    replace_file(path, add_checksum(msgspec.json.encode(EndpointSnapshot(version, engines))))


def load_snapshot(path: Path) -> EndpointSnapshot | None:
    """Reads the stored list.

    Returns:
        The list that was saved last, or None if there is no file.

    Raises:
        CorruptFileError: the file is damaged, or holds an address that is not host:port.
    """
    body = read_checked(path)
    if body is None:
        return None
    try:
        snapshot = _decoder.decode(body)
    except msgspec.DecodeError as fault:
        raise CorruptFileError(path, str(fault)) from None
    if any(not parse_address(entry.address) for entry in snapshot.engines):
        raise CorruptFileError(path, "an address that is not host:port")
    return snapshot


__all__ = ["CorruptFileError", "EndpointSnapshot", "load_snapshot", "save_snapshot"]
