"""Loads a front's configuration from a Jsonnet file and reports every fault of it at once."""

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

LIBRARY_DIRECTORY = Path(__file__).parent / "library"  # where templates' imports are found
MAX_QUOTED_CHARACTERS = 80  # of a value in a fault


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """One fault of a configuration: where it is, the value found there, and what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value} - {self.allowed}"


class InvalidConfigError(RunspoolError):
    """A configuration that cannot be used; `faults` lists all that is wrong in `source`."""

    def __init__(self, source: str, faults: list[ConfigFault]) -> None:
        header = f"{source}: {len(faults)} fault(s)"
        super().__init__("\n".join([header, *(f"  {fault}" for fault in faults)]))
        self.source = source
        self.faults = faults


def evaluate(path: Path, variables: Mapping[str, str] | None = None) -> dict[str, Any]:
    """Return the object that a Jsonnet file evaluates to; `variables` are its external ones (std.extVar).

    Raises InvalidConfigError with the evaluator's own message, which names file, line and column.
    """
    try:
        text = _jsonnet.evaluate_file(
            str(path), jpathdir=[str(LIBRARY_DIRECTORY)], ext_vars=dict(variables or {})
        )
    except (RuntimeError, OSError) as error:
        message = " ".join(str(error).split())
        fault = ConfigFault("(template)", message, "a Jsonnet file that evaluates")
        raise InvalidConfigError(str(path), [fault]) from None
    data = json.loads(text)
    if not isinstance(data, dict):
        fault = ConfigFault("(top)", type(data).__name__, "an object with house and front")
        raise InvalidConfigError(str(path), [fault])
    return data


def parse_config(data: Mapping[str, Any], source: str = "terms") -> FrontConfig:
    """Check plain data and return the configuration; raise InvalidConfigError with all faults."""
    try:
        return FrontConfig.model_validate(data)
    except ValidationError as error:
        raise InvalidConfigError(source, [_fault(details) for details in error.errors()]) from None


def load_config(path: Path, variables: Mapping[str, str] | None = None) -> FrontConfig:
    """Evaluate and check a Jsonnet file; raise InvalidConfigError with all faults."""
    return parse_config(evaluate(path, variables), str(path))


def _fault(details: ErrorDetails) -> ConfigFault:
    # "[key]" is pydantic's step to the key of a mapping, which the step before names already.
    path = ".".join(str(step) for step in details["loc"] if step != "[key]") or "(top)"
    value = details.get("input")
    if details["type"] == "extra_forbidden":
        return ConfigFault(path, _quoted(value), "no such field")
    if details["type"] == "missing":
        return ConfigFault(path, "missing", "must be given")
    return ConfigFault(path, _quoted(value), str(details["msg"]).removeprefix("Value error, "))


def _quoted(value: object) -> str:
    text = json.dumps(value, default=str)
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return text[: MAX_QUOTED_CHARACTERS - 3] + "..."
