"""Follows the framing of an HTTP/1.1 response body: the size that is stated, and what of it is to come.

llhttp, which parses the responses, tells neither. It is the judge of the syntax; this module only reads the
sizes, and must be given the same bytes. It does no I/O. Source: RFC 9112, sections 6 and 7.1.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping

# Header fields that say how a body is framed.
FRAMING_FIELDS = ("content-length", "transfer-encoding")
CHUNK_TERMINATOR_BYTES = 2  # bytes of the line end after the data of a chunk
# Bytes kept of a size line that is not complete, without leading zeros; a size has 16 digits at most.
MAX_KEPT_SIZE_LINE_BYTES = 32
_HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]*")


class BodyFraming:
    """The framing of one body. A part is a chunk, or the whole of a body with a `Content-Length`.

    A body with neither has no parts: nothing is stated about it.

    Attributes:
        part_number: The number of parts, empty ones excepted, whose sizes have been stated so far.
        part_bytes: The stated size of the last of them, in bytes.
        remaining_bytes: The bytes of it that are still to come; 0 between two parts.
    """

    __slots__ = (
        "_has_ended",
        "_is_chunked",
        "_size_line",
        "_unread_bytes",
        "part_bytes",
        "part_number",
        "remaining_bytes",
    )

    def __init__(self) -> None:
        self.part_number = 0
        self.part_bytes = 0
        self.remaining_bytes = 0
        self._is_chunked = False
        self._has_ended = False
        self._size_line = b""
        self._unread_bytes = 0  # bytes to come of a chunk, with the line end after it

    def begin(self, headers: Mapping[str, str]) -> None:
        """Begin to follow a body.

        Args:
            headers: The header values of the response by lower-case name, accepted by llhttp.
        """
        coding = headers.get("transfer-encoding", "").rpartition(",")[2].strip().lower()
        self._is_chunked = coding == "chunked"
        if "transfer-encoding" not in headers:
            self._begin_part(int(headers.get("content-length", "0")))

    def follow(self, data: bytes, max_part_bytes: int) -> int | None:
        """Follow the next bytes of the body, up to the first size that exceeds a limit.

        Args:
            data: The bytes.
            max_part_bytes: The limit of a part's size, in bytes.

        Returns:
            The number of bytes up to the end of the size line that states more than the limit; None if no
            line does.
        """
        if not self._is_chunked:
            self.remaining_bytes = max(0, self.remaining_bytes - len(data))
            return None
        at = 0
        size = len(data)
        while at < size and not self._has_ended:
            if not self._unread_bytes:
                at = self._read_size_line(data, at)
                if self.remaining_bytes > max_part_bytes:
                    return at
            skipped = min(self._unread_bytes, size - at)
            self._unread_bytes -= skipped
            at += skipped
            self.remaining_bytes = max(0, self._unread_bytes - CHUNK_TERMINATOR_BYTES)
        return None

    def _begin_part(self, size: int) -> None:
        if size <= 0:
            return
        self.part_number += 1
        self.part_bytes = self.remaining_bytes = min(size, sys.maxsize)
        self._unread_bytes = self.part_bytes + CHUNK_TERMINATOR_BYTES

    def _read_size_line(self, data: bytes, start: int) -> int:
        """Read a size line, or the part of it that has arrived, and return the position behind it."""
        line_end = data.find(b"\n", start) + 1
        line = self._size_line + data[start : line_end or len(data)]
        if not line_end:
            self._size_line = line.lstrip(b"0")[:MAX_KEPT_SIZE_LINE_BYTES] or line[:1]
            return len(data)
        self._size_line = b""
        size = _parse_size(line)
        self._begin_part(size)
        self._has_ended = size <= 0
        return line_end


def _parse_size(line: bytes) -> int:
    """Return the size that a size line states, in bytes; any size if llhttp will refuse the line."""
    try:
        return int(line, 16)
    except ValueError:  # the line has an extension
        digits = _HEX_DIGITS.match(line)
        return int(digits[0], 16) if digits and digits[0] else 0
