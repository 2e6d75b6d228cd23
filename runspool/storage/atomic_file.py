"""Small files that carry a checksum and are replaced atomically.

A reader finds the previous content or the new content in full, also when the writer is killed. The first line
of a checked file is the CRC-32 of all that follows it, as eight lower-case hexadecimal digits.
"""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

from runspool.errors import RunspoolError

MAX_FILE_BYTES = 32 << 20  # checksum line included; a larger file is reported as corrupt


class CorruptFileError(RunspoolError):
    """A file exists but its content cannot be used.

    Attributes:
        source: the path of the file.
        reason: what is wrong with it.
    """

    def __init__(self, source: Path | str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


def replace_file(path: Path, content: bytes, temporary_suffix: str = ".new") -> None:
    """Replaces a file's content atomically.

    The content is written to a temporary file in the same directory, synced to disk, and renamed. A writer
    that is killed may leave the temporary file behind; the next call with the same suffix overwrites it.

    Args:
        path: the file to replace; it need not exist.
        content: all bytes of the new file.
        temporary_suffix: appended to the file's name to make the temporary file's name. Concurrent writers
            need different ones.

    Raises:
        OSError: the file could not be written; the previous one is untouched.
    """
    temporary = path.with_name(path.name + temporary_suffix)
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def add_checksum(body: bytes) -> bytes:
    """Returns the content of a checked file: the checksum line, then the body."""
    return _checksum(body) + b"\n" + body


def read_checked(path: Path) -> bytes | None:
    """Reads the body of a checked file.

    Returns:
        The body without its checksum line, or None if there is no file.

    Raises:
        CorruptFileError: the file cannot be read, exceeds `MAX_FILE_BYTES`, or does not match its checksum.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise CorruptFileError(path, f"{fault.strerror}") from None
    if len(content) > MAX_FILE_BYTES:
        raise CorruptFileError(path, f"over {MAX_FILE_BYTES} bytes")
    checksum, _, body = content.partition(b"\n")
    if checksum != _checksum(body):
        raise CorruptFileError(path, f"checksum does not fit its {len(body)} bytes")
    return body


def _checksum(body: bytes) -> bytes:
    return b"%08x" % crc32(body)
