"""Cell maps on disk: the map that all fronts watch, its move log, and what each front remembers of its own.

Every file is replaced atomically and carries a checksum. The log is appended to: each line is a change, with
the map that it led to, so that the map can be made again from the log's last sound line.
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
from runspool.storage.atomic_file import CorruptFileError, read, replace, sealed

LOG_KEPT = 1_000  # changes; older ones are cut off


class Kept(msgspec.Struct, frozen=True):
    """A map as a front has taken it."""

    adopted_unix_ms: int
    chart: msgspec.Raw


class Change(msgspec.Struct, frozen=True):
    """One line of the move log."""

    unix_ms: int
    what: str
    version: int
    chart: msgspec.Raw


def write(path: Path, body: bytes) -> None:
    """Replaces a file so that a reader finds the old one or the new one, whenever the writer is killed."""
    replace(path, sealed(body), f".{os.getpid()}.new")
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def encoded(chart: CellMap) -> bytes:
    return chart.model_dump_json().encode()


def decoded(raw: bytes, source: str) -> CellMap:
    """Raises Torn with every fault of a map, each with its path."""
    try:
        return CellMap.model_validate_json(raw)
    except ValidationError as fault:
        said = "; ".join(
            f"{'.'.join(map(str, each['loc'])) or '(top)'}: {each['msg']}" for each in fault.errors()
        )
        raise CorruptFileError(f"{source}: {said}") from None


def load(path: Path) -> CellMap | None:
    """The map in a file, None where there is none; raises Torn."""
    body = read(path)
    return None if body is None else decoded(body, str(path))


def remember(path: Path, chart: CellMap, adopted_unix_ms: int) -> None:
    write(path, msgspec.json.encode(Kept(adopted_unix_ms, msgspec.Raw(encoded(chart)))))


def recall(path: Path) -> tuple[CellMap, int] | None:
    """The map that a front had taken and when, None where it has none; raises Torn."""
    body = read(path)
    if body is None:
        return None
    try:
        kept: Kept = msgspec.json.decode(body, type=Kept)
    except msgspec.DecodeError as fault:
        raise CorruptFileError(f"{path}: {fault}") from None
    return decoded(bytes(kept.chart), str(path)), kept.adopted_unix_ms


def log_of(path: Path) -> Path:
    return path.with_name(path.name + ".log")


def changes(path: Path) -> list[Change]:
    """The sound lines of a map's log, oldest first: what follows a torn line is not believed."""
    found: list[Change] = []
    try:
        lines = log_of(path).read_bytes().split(b"\n")
    except FileNotFoundError:
        return found
    for line in lines:
        head, _, body = line.partition(b" ")
        if head != b"%08x" % crc32(body):
            break
        found.append(msgspec.json.decode(body, type=Change))
    return found


@contextmanager
def changing(path: Path) -> Iterator[None]:
    """Keeps two operators from changing one map at a time; raises Refused where another is at it."""
    lock = path.with_name(path.name + ".lock")
    try:
        held = os.open(lock, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
    except FileExistsError:
        raise MigrationRefusedError(
            f"{lock} is there: another change is under way, or died; if so remove it"
        ) from None
    try:
        yield
    finally:
        os.close(held)
        lock.unlink()


def change(path: Path, what: str, chart: CellMap, unix_ms: int) -> None:
    """Logs a change, then puts its map in place. Killed between the two, mend() finishes it."""
    log = log_of(path)
    kept: list[Change] = changes(path)
    body = msgspec.json.encode(Change(unix_ms, what, chart.version, msgspec.Raw(encoded(chart))))
    lines = [*(msgspec.json.encode(one) for one in kept[-LOG_KEPT + 1 :]), body]
    replace(log, b"".join(b"%08x %b\n" % (crc32(line), line) for line in lines))
    write(path, encoded(chart))


def mend(path: Path) -> CellMap | None:
    """The newest map that the log or the file tells of, put in place if the file has another or is torn."""
    try:
        chart = load(path)
    except CorruptFileError:
        chart = None
    logged = changes(path)
    if logged and (chart is None or logged[-1].version > chart.version):
        chart = decoded(bytes(logged[-1].chart), str(log_of(path)))
        write(path, encoded(chart))
    return chart


__all__ = [
    "Change",
    "CorruptFileError",
    "change",
    "changes",
    "changing",
    "decoded",
    "encoded",
    "load",
    "log_of",
    "mend",
    "recall",
    "remember",
    "write",
]
