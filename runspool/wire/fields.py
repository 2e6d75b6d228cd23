"""Validation of single request fields, shared by all client protocols. It does no I/O."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from runspool.errors import RunspoolError

# Exceptions that decoding JSON may raise. Text that is nested a thousand levels deep raises RecursionError,
# which is not a subclass of the decoder's own exception.
JSON_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
MAX_NAME_LENGTH = 256  # in characters; for names of sessions and prefixes, attempt ids and idempotency keys
MAX_INTEGER_DIGITS = 12  # longest text that is parsed as an integer
MAX_QUOTED_LENGTH = 40  # number of characters of an invalid value that an error message quotes
BYTES_PER_TOKEN = 4  # used to estimate the length of a text whose token count the client does not state
BAD_REQUEST = 400  # HTTP status

Value = TypeVar("Value")


class InvalidRequestError(RunspoolError):
    """A request has an invalid or missing field.

    Attributes:
        field_name: Name of the header or body field.
        reason: Description of the fault.
        status: HTTP status of the response.
    """

    def __init__(self, field_name: str, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(f"{field_name}: {reason}")
        self.field_name = field_name
        self.reason = reason
        self.status = status


def parse_integer(value: str | None, field_name: str, default: int, minimum: int, maximum: int) -> int:
    """Parse a non-negative integer in decimal digits.

    Args:
        value: Text of the field; None if the field is absent.
        field_name: Name of the field, for the error.
        default: Value returned if the field is absent. It is not checked against the bounds.
        minimum: Smallest accepted value.
        maximum: Largest accepted value.

    Raises:
        InvalidRequestError: The text is not such an integer, or the integer is out of bounds.
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
    """Return a name after checking its length; return None if it is absent.

    Raises:
        InvalidRequestError: The name is empty or longer than `MAX_NAME_LENGTH` characters.
    """
    if value is not None and not 0 < len(value) <= MAX_NAME_LENGTH:
        raise InvalidRequestError(field_name, f"must have 1 to {MAX_NAME_LENGTH} bytes")
    return value


def parse_parameter(
    parameters: dict[str, msgspec.Raw], name: str, value_type: type[Value], default: Value
) -> Value:
    """Return a parameter of a JSON body; null is treated as absent, as in the published API.

    Args:
        parameters: The parameters of the body by name, undecoded.
        name: Name of the parameter.
        value_type: Type of its value.
        default: Value returned if the parameter is absent.

    Raises:
        InvalidRequestError: The value is of another type.
    """
    raw = parameters.get(name)
    if raw is None:
        return default
    try:
        value: Value | None = msgspec.json.decode(raw, type=value_type | None)
    except JSON_DECODE_ERRORS as error:
        raise InvalidRequestError(name, str(error)) from None
    return default if value is None else value
