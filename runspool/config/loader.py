"""From a Jsonnet file to checked terms, with every fault at once."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import _jsonnet
from pydantic import ValidationError

from runspool.config.schema import FrontConfig

LIBRARY_DIRECTORY = Path(__file__).parent / "library"


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """One thing wrong in a terms file."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value} - {self.allowed}"


class InvalidConfigError(Exception):
    """Terms that cannot be used; `faults` names every one of them."""

    def __init__(self, source: str, faults: list[ConfigFault]) -> None:
        super().__init__("\n".join([f"{source}: {len(faults)} fault(s)", *(f"  {each}" for each in faults)]))
        self.source = source
        self.faults = faults


def evaluate(path: Path, given: Mapping[str, str] | None = None) -> dict[str, Any]:
    """The object that a Jsonnet file stands for; `given` are its external variables (std.extVar).

    Raises Unreadable with the evaluator's own message, which names file, line and column.
    """
    try:
        text = _jsonnet.evaluate_file(
            str(path), jpathdir=[str(LIBRARY_DIRECTORY)], ext_vars=dict(given or {})
        )
    except (RuntimeError, OSError) as fault:
        said = " ".join(str(fault).split())
        raise InvalidConfigError(
            str(path), [ConfigFault("(template)", said, "a Jsonnet file that evaluates")]
        ) from None
    found = json.loads(text)
    if not isinstance(found, dict):
        raise InvalidConfigError(
            str(path), [ConfigFault("(top)", type(found).__name__, "an object with house and front")]
        )
    return found


def parse_config(found: Mapping[str, Any], source: str = "terms") -> FrontConfig:
    """Checked terms from plain data; raises Unreadable with all faults."""
    try:
        return FrontConfig.model_validate(found)
    except ValidationError as fault:
        raise InvalidConfigError(source, [_fault(error) for error in fault.errors()]) from None


def load_config(path: Path, given: Mapping[str, str] | None = None) -> FrontConfig:
    """Evaluates and checks a terms file; raises Unreadable with all faults."""
    return parse_config(evaluate(path, given), str(path))


def _fault(error: Any) -> ConfigFault:
    path = ".".join(str(step) for step in error["loc"] if step != "[key]") or "(top)"
    kind, value = error["type"], error.get("input")
    if kind == "extra_forbidden":
        return ConfigFault(path, _short(value), "no such field")
    if kind == "missing":
        return ConfigFault(path, "missing", "must be given")
    return ConfigFault(path, _short(value), str(error["msg"]).removeprefix("Value error, "))


def _short(value: object) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= 80 else text[:77] + "..."
