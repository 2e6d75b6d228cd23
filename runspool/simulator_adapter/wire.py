"""The simulator's line protocol: parsing of its lines, and the table of its words.

A line is a word and then `name=value` fields, separated by single spaces. The words are the simulator's and
stay as they are; STATUSES and STATES say which of the router's types they stand for.
"""

from __future__ import annotations

from typing import TypeVar

from runspool.errors import RunspoolError
from runspool.runtime.platform_settings import UNIT_US
from runspool.scheduling.types import AttemptStatus, EngineState, LoadReport

Value = TypeVar("Value")

# Fields whose value is the whole rest of the line, spaces included.
TEXT_FIELDS = frozenset({"profile-data", "reason-text"})

QUOTED_LENGTH = 200  # characters of a line that an error message quotes
TOKENS_PER_THOUSAND = 1000  # the load report's `x1` counts thousands of tokens

STATUSES = {
    "completed": AttemptStatus.SUCCEEDED,
    "errored": AttemptStatus.SERVER_ERROR,
    "saturated": AttemptStatus.OVERLOADED,
    "overdue": AttemptStatus.TIMED_OUT,
    "refused_conn": AttemptStatus.CONNECT_FAILED,
    "severed": AttemptStatus.CONNECTION_LOST,
    "recalled": AttemptStatus.CANCELLED,
    "superseded": AttemptStatus.NOT_SENT,
    "handover": AttemptStatus.PREFILL_COMPLETE,
}
STATES = {"on": EngineState.READY, "fading": EngineState.DRAINING, "off": EngineState.REMOVED}


class MalformedLineError(RunspoolError):
    """A line that the protocol does not allow; the connection to the simulator ends with it."""


class WireLine:
    """One parsed line: its first word as `name`, its fields by name, and `raw`, the line itself.

    Unknown fields are kept and ignored. Every accessor raises MalformedLineError for a value it cannot read.
    """

    __slots__ = ("fields", "name", "raw")

    def __init__(self, raw: str) -> None:
        self.raw = raw
        self.name, _, rest = raw.partition(" ")
        self.fields: dict[str, str] = {}
        if not self.name:
            raise MalformedLineError("an empty line inside a batch")
        while rest:
            part, _, after = rest.partition(" ")
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise MalformedLineError(f"no name=value in {part!r} of {raw[:QUOTED_LENGTH]!r}")
            if key in TEXT_FIELDS:
                value, after = rest[len(key) + 1 :], ""
            self.fields[key] = value
            rest = after

    def text(self, key: str) -> str:
        """Return a field that must be there."""
        value = self.fields.get(key)
        if value is None:
            raise MalformedLineError(f"{key} is missing in {self._quoted()}")
        return value

    def optional_text(self, key: str) -> str | None:
        """Return a field, or None where the line does not have it."""
        return self.fields.get(key)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a whole number, cut towards zero; a field without a default must be there."""
        value = self.fields.get(key)
        if value is None:
            if default is None:
                raise MalformedLineError(f"{key} is missing in {self._quoted()}")
            return default
        try:
            return int(value)
        except ValueError:
            try:
                return int(float(value))
            except (ValueError, OverflowError):
                raise MalformedLineError(f"{key} is no number in {self._quoted()}") from None

    def duration(self, key: str, default_us: int | None = None) -> int:
        """Return a time in tenths of a millisecond; the field and its default are in microseconds."""
        return self.integer(key, default_us) // UNIT_US

    def flag(self, key: str) -> bool:
        """Return whether a field is 1; it is 0 where it is absent."""
        value = self.fields.get(key, "0")
        if value not in ("0", "1"):
            raise MalformedLineError(f"{key} is neither 1 nor 0 in {self._quoted()}")
        return value == "1"

    def choice(self, key: str, values: dict[str, Value]) -> Value:
        """Return what the field's word stands for in `values`."""
        word = self.text(key)
        if word not in values:
            raise MalformedLineError(f"{key}={word} is unknown in {self._quoted()}")
        return values[word]

    def load_report(self) -> LoadReport | None:
        """Return the engine's load report (`gauge=name:number,...`), or None where there is none."""
        gauge = self.fields.get("gauge")
        if not gauge:
            return None
        figures: dict[str, float] = {}
        for pair in gauge.split(","):
            key, _, figure = pair.partition(":")
            try:
                figures[key] = float(figure)
            except ValueError:
                raise MalformedLineError(f"gauge holds {pair!r} in {self._quoted()}") from None
        queued_thousands = figures.get("x1")
        return LoadReport(
            requests_in_flight=figures.get("busy_reqs"),
            slot_utilization=figures.get("cpu_share"),
            memory_utilization=figures.get("x0"),
            queued_prompt_tokens=None if queued_thousands is None else queued_thousands * TOKENS_PER_THOUSAND,
        )

    def _quoted(self) -> str:
        return repr(self.raw[:QUOTED_LENGTH])
