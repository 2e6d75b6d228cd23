"""Fields of a client's request, checked one by one, whatever the protocol. Free of I/O."""

from __future__ import annotations

import msgspec

# What reading JSON raises. Nested a thousand deep it is a RecursionError, which is none of the decoder's own.
UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
MOST_NAME = 256  # bytes of a session's, beginning's, mark's or ticket's name
TOKEN_BYTES = 4  # of text, where the client does not count its own tokens


class InvalidRequestError(Exception):
    """A query that cannot be taken: `where` names the header or field, `status` is the HTTP status."""

    def __init__(self, where: str, what: str, status: int = 400) -> None:
        super().__init__(f"{where}: {what}")
        self.where, self.what, self.status = where, what, status


def whole(said: str | None, where: str, absent: int, least: int, most: int) -> int:
    """A whole number of plain digits, `absent` where nothing was said; raises Misworded."""
    if said is None:
        return absent
    if not (said.isascii() and said.isdigit()) or len(said) > 12 or not least <= int(said) <= most:
        raise InvalidRequestError(where, f"{said[:40]!r} is no whole number from {least} to {most}")
    return int(said)


def name(said: str | None, where: str) -> str | None:
    """A name of bounded size, or none; raises Misworded."""
    if said is not None and not 0 < len(said) <= MOST_NAME:
        raise InvalidRequestError(where, f"must have 1 to {MOST_NAME} bytes")
    return said
