"""Cell maps on disk: the map that all fronts watch, its move log, and the map that each front adopted.

Every file is replaced atomically. The map files carry one checksum, the log one for each line. A line of the
log is a change with the map that it led to, so that the map can be restored from the log's last intact line.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from zlib import crc32

import msgspec
from pydantic import ValidationError

from runspool.cells.cell_map import CellMap
from runspool.cells.tenant_migration import MigrationRefusedError
from runspool.storage.atomic_file import CorruptFileError, add_checksum, read_checked, replace_file

MAX_LOGGED_CHANGES = 1_000  # lines kept in a move log; older ones are dropped


class AdoptedMap(msgspec.Struct, frozen=True):
    """A map as a front adopted it.

    Attributes:
        adopted_unix_ms: when, milliseconds since the epoch.
        cell_map: the map as JSON ("chart" in the file).
    """

    adopted_unix_ms: int
    cell_map: msgspec.Raw = msgspec.field(name="chart")


class MapChange(msgspec.Struct, frozen=True):
    """One line of a move log.

    Attributes:
        unix_ms: when the change was made, milliseconds since the epoch.
        description: the command that made it ("what" in the file).
        version: the version of the map that it led to.
        cell_map: that map as JSON ("chart" in the file).
    """

    unix_ms: int
    description: str = msgspec.field(name="what")
    version: int
    cell_map: msgspec.Raw = msgspec.field(name="chart")


def write_checked(path: Path, body: bytes) -> None:
    """Replaces a checked file atomically and syncs its directory, so that this survives a power loss.

    Raises:
        OSError: the file could not be written.
    """
    replace_file(path, add_checksum(body), f".{os.getpid()}.new")
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def encode_map(cell_map: CellMap) -> bytes:
    """Returns a map as JSON."""
    return cell_map.model_dump_json().encode()


def decode_map(raw: bytes, source: str) -> CellMap:
    """Parses a map.

    Args:
        raw: the map as JSON.
        source: the file it comes from, for the error.

    Raises:
        CorruptFileError: the map is invalid; the reason lists every fault with its path in the map.
    """
    try:
        return CellMap.model_validate_json(raw)
    except ValidationError as fault:
        reason = "; ".join(
            f"{'.'.join(map(str, each['loc'])) or '(top)'}: {each['msg']}" for each in fault.errors()
        )
        raise CorruptFileError(source, reason) from None


def load_map(path: Path) -> CellMap | None:
    """Reads the map in a file; None if there is no file.

    Raises:
        CorruptFileError: the file is damaged or holds no valid map.
    """
    body = read_checked(path)
    return None if body is None else decode_map(body, str(path))


def save_adopted_map(path: Path, cell_map: CellMap, adopted_unix_ms: int) -> None:
    """Stores the map that a front adopted, and when (milliseconds since the epoch).

    Raises:
        OSError: the file could not be written; the previous one is untouched.
    """
    write_checked(path, msgspec.json.encode(AdoptedMap(adopted_unix_ms, msgspec.Raw(encode_map(cell_map)))))


def load_adopted_map(path: Path) -> tuple[CellMap, int] | None:
    """Reads the map that a front adopted last, and when (milliseconds since the epoch); None if absent.

    Raises:
        CorruptFileError: the file is damaged or holds no valid map.
    """
    body = read_checked(path)
    if body is None:
        return None
    try:
        adopted: AdoptedMap = msgspec.json.decode(body, type=AdoptedMap)
    except msgspec.DecodeError as fault:
        raise CorruptFileError(path, str(fault)) from None
    return decode_map(bytes(adopted.cell_map), str(path)), adopted.adopted_unix_ms


def log_path(path: Path) -> Path:
    """Returns the path of a map's move log."""
    return path.with_name(path.name + ".log")


def read_changes(path: Path) -> list[MapChange]:
    """Reads a map's move log, oldest change first.

    Reading ends at the first line that does not match its checksum: what follows it is not trusted.
    """
    changes: list[MapChange] = []
    try:
        lines = log_path(path).read_bytes().split(b"\n")
    except FileNotFoundError:
        return changes
    for line in lines:
        checksum, _, body = line.partition(b" ")
        if checksum != b"%08x" % crc32(body):
            break
        changes.append(msgspec.json.decode(body, type=MapChange))
    return changes


@contextmanager
def exclusive_change(path: Path) -> Iterator[None]:
    """Holds a map's lock file, so that two operators cannot change the map at the same time.

    Raises:
        MigrationRefusedError: the lock file exists.
    """
    lock_path = path.with_name(path.name + ".lock")
    try:
        lock = os.open(lock_path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
    except FileExistsError:
        raise MigrationRefusedError(
            f"{lock_path} is there: another change is under way, or died; if so remove it"
        ) from None
    try:
        yield
    finally:
        os.close(lock)
        lock_path.unlink()


def record_change(path: Path, description: str, cell_map: CellMap, unix_ms: int) -> None:
    """Logs a change, then replaces the map; if killed between the two, `recover_map` completes it.

    Args:
        path: the map's file.
        description: the command that makes the change.
        cell_map: the map that it leads to.
        unix_ms: when, milliseconds since the epoch.

    Raises:
        OSError: a file could not be written.
    """
    earlier = read_changes(path)
    change = MapChange(unix_ms, description, cell_map.version, msgspec.Raw(encode_map(cell_map)))
    lines = [msgspec.json.encode(each) for each in [*earlier[-MAX_LOGGED_CHANGES + 1 :], change]]
    replace_file(log_path(path), b"".join(b"%08x %b\n" % (crc32(line), line) for line in lines))
    write_checked(path, encode_map(cell_map))


def recover_map(path: Path) -> CellMap | None:
    """Returns the newest map of the file and its log, and writes it to the file if that is older or damaged.

    Returns:
        None if neither holds a map.

    Raises:
        CorruptFileError: the log's last map is needed and is invalid.
        OSError: the file could not be written.
    """
    try:
        cell_map = load_map(path)
    except CorruptFileError:
        cell_map = None
    changes = read_changes(path)
    if changes and (cell_map is None or changes[-1].version > cell_map.version):
        cell_map = decode_map(bytes(changes[-1].cell_map), str(log_path(path)))
        write_checked(path, encode_map(cell_map))
    return cell_map


__all__ = [
    "AdoptedMap",
    "CorruptFileError",
    "MapChange",
    "decode_map",
    "encode_map",
    "exclusive_change",
    "load_adopted_map",
    "load_map",
    "log_path",
    "read_changes",
    "record_change",
    "recover_map",
    "save_adopted_map",
    "write_checked",
]
