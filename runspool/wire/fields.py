"""Validation of single fields of a client's request, for every protocol. Free of I/O."""

from __future__ import annotations

import msgspec

from runspool.errors import RunspoolError

# What decoding JSON raises. A text nested a thousand levels deep raises RecursionError, which is not among
# the decoder's own errors.
JSON_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
MAX_NAME_LENGTH = 256  # characters of the name of a session, prefix, continuation or idempotency key
MAX_INTEGER_DIGITS = 12
MAX_QUOTED_LENGTH = 40  # characters of an unusable value that an error message repeats
BYTES_PER_TOKEN = 4  # of text, where the client does not count its own tokens
BAD_REQUEST = 400  # HTTP status


class InvalidRequestError(RunspoolError):
    """A request cannot be accepted as it stands.

    Attributes:
        field_name: the header or body field at fault.
        reason: what is wrong with it.
        status: the HTTP status of the response.
    """

    def __init__(self, field_name: str, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(f"{field_name}: {reason}")
        self.field_name = field_name
        self.reason = reason
        self.status = status


def parse_integer(value: str | None, field_name: str, default: int, minimum: int, maximum: int) -> int:
    """Parses an integer written in plain decimal digits.

    Args:
        value: the field's text, None if the field is absent.
        field_name: the field's name, for the error.
        default: returned if the field is absent; not checked against the bounds.
        minimum: the smallest value accepted.
        maximum: the largest value accepted.

    Raises:
        InvalidRequestError: the text is not such an integer, or is out of bounds.
    """
    if value is None:
        return default
    is_integer = value.isascii() and value.isdigit() and len(value) <= MAX_INTEGER_DIGITS
    if not is_integer or not minimum <= int(value) <= maximum:
        raise InvalidRequestError(
            field_name, f"{value[:MAX_QUOTED_LENGTH]!r} is no whole number from {minimum} to {maximum}"
        )
    return int(value)


def parse_name(value: str | None, field_name: str) -> str | None:
    """Checks that a name is not empty and not too long; an absent one stays None.

    Raises:
        InvalidRequestError: the name is empty or longer than `MAX_NAME_LENGTH`.
    """
    if value is not None and not 0 < len(value) <= MAX_NAME_LENGTH:
        raise InvalidRequestError(field_name, f"must have 1 to {MAX_NAME_LENGTH} bytes")
    return value
