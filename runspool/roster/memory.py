"""The last list on disk, for a front that comes back before the list service does."""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

import msgspec

from runspool.wire.listing import Entry, address_of


class Torn(Exception):
    """A file that is there but cannot be believed."""


class LastList(msgspec.Struct, frozen=True):
    version: int
    engines: list[Entry]


_last: msgspec.json.Decoder[LastList] = msgspec.json.Decoder(LastList)


def keep(path: Path, version: int, engines: list[Entry]) -> None:
    """Writes the list so that a reader finds the old one or the new one, whenever the writer is killed."""
    body = msgspec.json.encode(LastList(version, engines))
    beside = path.with_name(path.name + ".new")
    with open(beside, "wb") as out:
        out.write(b"%08x\n" % crc32(body) + body)
        out.flush()
        os.fsync(out.fileno())
    os.replace(beside, path)


def recall(path: Path) -> LastList | None:
    """The list last kept, None where there is none; raises Torn where it is damaged."""
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise Torn(f"{path}: {fault.strerror}") from None
    head, _, body = raw.partition(b"\n")
    if head != b"%08x" % crc32(body):
        raise Torn(f"{path}: checksum does not fit its {len(body)} bytes")
    try:
        found = _last.decode(body)
    except msgspec.DecodeError as fault:
        raise Torn(f"{path}: {fault}") from None
    if any(not address_of(entry.address) for entry in found.engines):
        raise Torn(f"{path}: an address that is not host:port")
    return found
