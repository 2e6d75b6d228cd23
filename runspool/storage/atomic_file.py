"""Small files that are replaced atomically and verified by a checksum.

A reader gets either the previous or the new content in full, even if the writer is killed. The first line of
a checksummed file is the CRC-32 of everything after that line, as eight lower-case hexadecimal digits.
"""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

from runspool.errors import RunspoolError

MAX_FILE_BYTES = 32 << 20  # maximum size, checksum line included; a larger file is reported as corrupt


class CorruptFileError(RunspoolError):
    """A file exists, but it cannot be read or its content is invalid.

    Attributes:
        source: Path of the file.
        reason: Description of the fault.
    """

    def __init__(self, source: Path | str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


def replace_file(path: Path, content: bytes, temporary_suffix: str = ".new") -> None:
    """Replace the content of a file atomically.

    The content is written to a temporary file in the same directory, synced to disk, and renamed. If the
    process is killed, the temporary file may remain; the next call with the same suffix overwrites it.

    Args:
        path: File to replace. It need not exist.
        content: The whole new content.
        temporary_suffix: Suffix that is added to the file's name for the temporary file. Concurrent writers
            of the same file need different suffixes.

    Raises:
        OSError: The file could not be written; the previous content is unchanged.
    """
    temporary_path = path.with_name(path.name + temporary_suffix)
    with temporary_path.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.replace(path)


def add_checksum(body: bytes) -> bytes:
    """Return the content of a checksummed file: the checksum line followed by `body`."""
    return _checksum(body) + b"\n" + body


def read_checksummed(path: Path) -> bytes | None:
    """Read a checksummed file.

    Returns:
        The content without the checksum line, or None if the file does not exist.

    Raises:
        CorruptFileError: The file cannot be read, exceeds `MAX_FILE_BYTES`, or does not match its checksum.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise CorruptFileError(path, f"{error.strerror}") from None
    if len(content) > MAX_FILE_BYTES:
        raise CorruptFileError(path, f"file exceeds {MAX_FILE_BYTES} bytes")
    checksum, _, body = content.partition(b"\n")
    if checksum != _checksum(body):
        raise CorruptFileError(path, f"checksum mismatch over {len(body)} bytes")
    return body


def _checksum(body: bytes) -> bytes:
    return b"%08x" % crc32(body)
