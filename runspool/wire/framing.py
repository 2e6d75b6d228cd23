"""Counts the bytes of an HTTP/1.1 message that deliver nothing to its receiver. It does no I/O.

Such bytes are a head that is not complete, chunk sizes, chunk extensions and the trailer section. HTTP sets
no limit for them, and llhttp stores or skips any number of them.
"""

from __future__ import annotations


class FramingCounter:
    """Counts the bytes received since a part of the message was last delivered.

    Where a call to add() covers both a delivered part and bytes after it, these bytes are not counted. The
    count is therefore too low by at most the number of bytes passed to the parser at once.

    Attributes:
        count: The number of bytes counted.
    """

    __slots__ = ("_delivered", "count")

    def __init__(self) -> None:
        self.count = 0
        self._delivered = False

    def record_delivery(self) -> None:
        """Record that a head, a part of a body or the end of a message has been delivered."""
        self._delivered = True

    def add(self, size: int) -> int:
        """Add the size of the data that has just been parsed, in bytes, and return the count."""
        self.count = 0 if self._delivered else self.count + size
        self._delivered = False
        return self.count
