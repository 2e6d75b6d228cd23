"""Small files with a checksum, replaced atomically: a reader finds the old one or the new one."""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

MOST_BYTES = 32 << 20


class CorruptFileError(Exception):
    """A file that is there but cannot be believed; names it and says why."""


def replace(path: Path, raw: bytes, beside: str = ".new") -> None:
    """Puts bytes in a file's place, whenever the writer is killed; `beside` ends the name it has first."""
    new = path.with_name(path.name + beside)
    with open(new, "wb") as out:
        out.write(raw)
        out.flush()
        os.fsync(out.fileno())
    os.replace(new, path)


def sealed(body: bytes) -> bytes:
    """A body under its checksum."""
    return b"%08x\n" % crc32(body) + body


def read(path: Path) -> bytes | None:
    """The body of a sealed file, None where there is no file; raises Torn."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise CorruptFileError(f"{path}: {fault.strerror}") from None
    if len(raw) > MOST_BYTES:
        raise CorruptFileError(f"{path}: over {MOST_BYTES} bytes")
    head, _, body = raw.partition(b"\n")
    if head != b"%08x" % crc32(body):
        raise CorruptFileError(f"{path}: checksum does not fit its {len(body)} bytes")
    return body
