"""Store cell maps on disk: the published map that all fronts watch, its change log, and adopted maps.

Every file is replaced atomically. A map file starts with one checksum; the log has one checksum per line.
Each log line describes one change and contains the complete map after it, so that the map can be restored
from the last intact line of the log. A front stores the map that it adopted in a file of its own.
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
from runspool.cells.tenant_migration import MapChangeRefusedError
from runspool.storage.atomic_file import CorruptFileError, add_checksum, read_checksummed, replace_file

MAX_LOGGED_CHANGES = 1_000  # lines kept in a change log; older lines are dropped


class AdoptedMap(msgspec.Struct, frozen=True):
    """The file content for the map that a front adopted.

    Attributes:
        adopted_unix_ms: when the front adopted the map, in milliseconds since the epoch.
        cell_map: the map as JSON (key "chart" in the file).
    """

    adopted_unix_ms: int
    cell_map: msgspec.Raw = msgspec.field(name="chart")


class MapChange(msgspec.Struct, frozen=True):
    """One line of a change log.

    Attributes:
        unix_ms: when the change was made, in milliseconds since the epoch.
        description: the command that made the change (key "what" in the file).
        version: the version of the map after the change.
        cell_map: the map after the change, as JSON (key "chart" in the file).
    """

    unix_ms: int
    description: str = msgspec.field(name="what")
    version: int
    cell_map: msgspec.Raw = msgspec.field(name="chart")


def write_with_checksum(path: Path, body: bytes) -> None:
    """Replace a file atomically, with a checksum before `body`, and sync its directory.

    Without the sync of the directory, a power loss could undo the replacement.

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
    """Return a map as JSON."""
    return cell_map.model_dump_json().encode()


def decode_map(raw: bytes, source: str) -> CellMap:
    """Parse and validate a map.

    Args:
        raw: the map as JSON.
        source: the file that contains the map, for the error message.

    Raises:
        CorruptFileError: the map is invalid; the reason lists every error with its path in the map.
    """
    try:
        return CellMap.model_validate_json(raw)
    except ValidationError as error:
        reason = "; ".join(
            f"{'.'.join(map(str, details['loc'])) or '(top)'}: {details['msg']}" for details in error.errors()
        )
        raise CorruptFileError(source, reason) from None


def load_map(path: Path) -> CellMap | None:
    """Read and validate the map in a file; return None if the file does not exist.

    Raises:
        CorruptFileError: the file is damaged or holds no valid map.
    """
    body = read_checksummed(path)
    return None if body is None else decode_map(body, str(path))


def save_adopted_map(path: Path, cell_map: CellMap, adopted_unix_ms: int) -> None:
    """Store the map that a front adopted and the time of adoption, in milliseconds since the epoch.

    Raises:
        OSError: the file could not be written.
    """
    write_with_checksum(
        path, msgspec.json.encode(AdoptedMap(adopted_unix_ms, msgspec.Raw(encode_map(cell_map))))
    )


def load_adopted_map(path: Path) -> tuple[CellMap, int] | None:
    """Read the map that a front adopted last.

    Returns:
        The map and the time of its adoption in milliseconds since the epoch, or None if there is no file.

    Raises:
        CorruptFileError: the file is damaged or holds no valid map.
    """
    body = read_checksummed(path)
    if body is None:
        return None
    try:
        adopted: AdoptedMap = msgspec.json.decode(body, type=AdoptedMap)
    except msgspec.DecodeError as error:
        raise CorruptFileError(path, str(error)) from None
    return decode_map(bytes(adopted.cell_map), str(path)), adopted.adopted_unix_ms


def change_log_path(path: Path) -> Path:
    """Return the path of the change log that belongs to the map at `path`."""
    return path.with_name(path.name + ".log")


def read_change_log(path: Path) -> list[MapChange]:
    """Read a map's change log, oldest change first; return an empty list if there is no log.

    Reading stops at the first line that does not match its checksum, because the lines after a damaged line
    cannot be trusted.
    """
    changes: list[MapChange] = []
    try:
        lines = change_log_path(path).read_bytes().split(b"\n")
    except FileNotFoundError:
        return changes
    for line in lines:
        checksum, _, body = line.partition(b" ")
        if checksum != b"%08x" % crc32(body):
            break
        changes.append(msgspec.json.decode(body, type=MapChange))
    return changes


@contextmanager
def lock_map(path: Path) -> Iterator[None]:
    """Hold a map's lock file, so that two operators cannot change the map at the same time.

    Raises:
        MapChangeRefusedError: the lock file already exists.
    """
    lock_path = path.with_name(path.name + ".lock")
    try:
        lock = os.open(lock_path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
    except FileExistsError:
        raise MapChangeRefusedError(
            f"{lock_path} exists: another change is in progress, or an earlier command was killed; "
            "if no command is running, remove the file"
        ) from None
    try:
        yield
    finally:
        os.close(lock)
        lock_path.unlink()


def record_change(path: Path, description: str, cell_map: CellMap, unix_ms: int) -> None:
    """Append a change to the log, then replace the map.

    If the process is killed between the two steps, the next `recover_map` completes the change.

    Args:
        path: the map's file.
        description: the command that makes the change.
        cell_map: the map after the change.
        unix_ms: the time of the change, in milliseconds since the epoch.

    Raises:
        OSError: a file could not be written.
    """
    earlier_changes = read_change_log(path)
    change = MapChange(unix_ms, description, cell_map.version, msgspec.Raw(encode_map(cell_map)))
    lines = [msgspec.json.encode(entry) for entry in [*earlier_changes[-MAX_LOGGED_CHANGES + 1 :], change]]
    replace_file(change_log_path(path), b"".join(b"%08x %b\n" % (crc32(line), line) for line in lines))
    write_with_checksum(path, encode_map(cell_map))


def recover_map(path: Path) -> CellMap | None:
    """Return the newest map found in a map file and its change log.

    If the file is damaged or older than the last log line, the map from the log is written to the file.

    Returns:
        The map, or None if neither the file nor the log contains one.

    Raises:
        CorruptFileError: the map in the last log line is needed and is invalid.
        OSError: the file could not be written.
    """
    try:
        cell_map = load_map(path)
    except CorruptFileError:
        cell_map = None
    changes = read_change_log(path)
    if changes and (cell_map is None or changes[-1].version > cell_map.version):
        cell_map = decode_map(bytes(changes[-1].cell_map), str(change_log_path(path)))
        write_with_checksum(path, encode_map(cell_map))
    return cell_map


__all__ = [
    "AdoptedMap",
    "CorruptFileError",
    "MapChange",
    "change_log_path",
    "decode_map",
    "encode_map",
    "load_adopted_map",
    "load_map",
    "lock_map",
    "read_change_log",
    "record_change",
    "recover_map",
    "save_adopted_map",
    "write_with_checksum",
]
