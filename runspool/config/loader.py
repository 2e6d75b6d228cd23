"""Load a front's configuration from a Jsonnet file and report all its errors at once."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import _jsonnet
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from runspool.config.schema import FrontConfig
from runspool.errors import RunspoolError

LIBRARY_DIRECTORY = Path(__file__).parent / "library"  # searched for the files that templates import
MAX_QUOTED_CHARACTERS = 80  # length of a value quoted in an error message; longer values are shortened


@dataclass(frozen=True, slots=True)
class ConfigErrorDetails:
    """One error in a configuration.

    Attributes:
        path: the field with the error, as a path of keys separated by dots.
        value: the value of the field, as JSON.
        message: what is wrong with the value, or what the field may contain.
    """

    path: str
    value: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value} - {self.message}"


class InvalidConfigError(RunspoolError):
    """A configuration cannot be used.

    Attributes:
        source: the file or other origin of the configuration.
        errors: all errors that were found in it.
    """

    def __init__(self, source: str, errors: list[ConfigErrorDetails]) -> None:
        header = f"{source}: {len(errors)} error(s)"
        super().__init__("\n".join([header, *(f"  {details}" for details in errors)]))
        self.source = source
        self.errors = errors


def evaluate_jsonnet(path: Path, variables: Mapping[str, str] | None = None) -> dict[str, Any]:
    """Return the object that a Jsonnet file evaluates to.

    Args:
        path: the Jsonnet file.
        variables: external variables, which the file reads with std.extVar.

    Raises:
        InvalidConfigError: the file cannot be evaluated, or its value is not an object. The message of the
            Jsonnet evaluator names the file, the line and the column.
    """
    try:
        text = _jsonnet.evaluate_file(
            str(path), jpathdir=[str(LIBRARY_DIRECTORY)], ext_vars=dict(variables or {})
        )
    except (RuntimeError, OSError) as error:
        message = " ".join(str(error).split())
        details = ConfigErrorDetails("(template)", message, "must be a Jsonnet file without errors")
        raise InvalidConfigError(str(path), [details]) from None
    data = json.loads(text)
    if not isinstance(data, dict):
        details = ConfigErrorDetails("(top)", type(data).__name__, "must be an object with house and front")
        raise InvalidConfigError(str(path), [details])
    return data


def parse_config(data: Mapping[str, Any], source: str = "terms") -> FrontConfig:
    """Validate plain data and return it as a configuration.

    Args:
        data: the configuration as JSON-like data.
        source: the origin of the data, for the error message.

    Raises:
        InvalidConfigError: the data is not a valid configuration.
    """
    try:
        return FrontConfig.model_validate(data)
    except ValidationError as error:
        raise InvalidConfigError(source, [_to_error_details(details) for details in error.errors()]) from None


def load_config(path: Path, variables: Mapping[str, str] | None = None) -> FrontConfig:
    """Evaluate a Jsonnet file and return it as a validated configuration.

    Args:
        path: the Jsonnet file.
        variables: external variables, which the file reads with std.extVar.

    Raises:
        InvalidConfigError: the file cannot be evaluated or is not a valid configuration.
    """
    return parse_config(evaluate_jsonnet(path, variables), str(path))


def _to_error_details(details: ErrorDetails) -> ConfigErrorDetails:
    # For an invalid key of a mapping, pydantic appends "[key]" after the key itself.
    path = ".".join(str(part) for part in details["loc"] if part != "[key]") or "(top)"
    value = details.get("input")
    if details["type"] == "extra_forbidden":
        return ConfigErrorDetails(path, _shorten_json(value), "no such field")
    if details["type"] == "missing":
        return ConfigErrorDetails(path, "missing", "must be given")
    return ConfigErrorDetails(path, _shorten_json(value), str(details["msg"]).removeprefix("Value error, "))


def _shorten_json(value: object) -> str:
    """Return a value as JSON, cut to `MAX_QUOTED_CHARACTERS`."""
    text = json.dumps(value, default=str)
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return text[: MAX_QUOTED_CHARACTERS - 3] + "..."
