"""Parser for the lines of the simulator's protocol.

A line consists of a name and `key=value` fields, separated by single spaces. The simulator defines the names
and keys. ATTEMPT_STATUSES and ENGINE_STATES map its words for statuses and states to the router's types.
"""

from __future__ import annotations

from typing import TypeVar

from runspool.errors import RunspoolError
from runspool.runtime.platform_settings import US_PER_TENTH_MS
from runspool.scheduling.types import AttemptStatus, EngineState, LoadReport

Value = TypeVar("Value")

# Fields whose value extends to the end of the line and may contain spaces.
TEXT_FIELDS = frozenset({"profile-data", "reason-text"})

QUOTED_LENGTH = 200  # maximum length of the part of a line that an error message quotes, in characters
TOKENS_PER_THOUSAND = 1000  # the field `x1` of a load report is in thousands of tokens

ATTEMPT_STATUSES = {
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
ENGINE_STATES = {"on": EngineState.READY, "fading": EngineState.DRAINING, "off": EngineState.REMOVED}


class MalformedLineError(RunspoolError):
    """A line violates the protocol; the adapter then stops reading from the simulator."""


class ProtocolLine:
    """One parsed line. Every accessor of a field raises MalformedLineError for a value that is invalid.

    Attributes:
        raw: the unparsed line.
        name: the first word of the line.
        fields: the values of the fields by key, including unknown fields.
    """

    __slots__ = ("fields", "name", "raw")

    def __init__(self, raw: str) -> None:
        """Parse a line.

        Raises:
            MalformedLineError: the line is empty, starts with a space or contains a part without a key and
                an equals sign.
        """
        self.raw = raw
        self.name, _, rest = raw.partition(" ")
        self.fields: dict[str, str] = {}
        if not self.name:
            raise MalformedLineError("a line inside a batch is empty or starts with a space")
        while rest:
            part, _, after = rest.partition(" ")
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise MalformedLineError(f"not key=value: {part!r} in {raw[:QUOTED_LENGTH]!r}")
            if key in TEXT_FIELDS:
                value, after = rest[len(key) + 1 :], ""
            self.fields[key] = value
            rest = after

    def text(self, key: str) -> str:
        """Return the value of a required field."""
        value = self.fields.get(key)
        if value is None:
            raise MalformedLineError(f"{key} is missing in {self._quoted()}")
        return value

    def optional_text(self, key: str) -> str | None:
        """Return the value of a field, or None if the line does not contain the field."""
        return self.fields.get(key)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the value of a field as an integer; a fraction is truncated towards zero.

        The field is required unless there is a default.
        """
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
                raise MalformedLineError(f"{key} is not a number in {self._quoted()}") from None

    def duration(self, key: str, default_us: int | None = None) -> int:
        """Return the value of a field in microseconds, converted to tenths of a millisecond and rounded down.

        The default is in microseconds too; the field is required unless there is a default.
        """
        return self.integer(key, default_us) // US_PER_TENTH_MS

    def flag(self, key: str) -> bool:
        """Return whether the value of a field is 1; false if the field is absent."""
        value = self.fields.get(key, "0")
        if value not in ("0", "1"):
            raise MalformedLineError(f"{key} is neither 1 nor 0 in {self._quoted()}")
        return value == "1"

    def choice(self, key: str, values: dict[str, Value]) -> Value:
        """Return the entry of `values` for the word in a required field."""
        word = self.text(key)
        if word not in values:
            raise MalformedLineError(f"{key}={word} is unknown in {self._quoted()}")
        return values[word]

    def load_report(self) -> LoadReport | None:
        """Return the engine's load report (`gauge=name:number,...`), or None if the line contains none."""
        gauge = self.fields.get("gauge")
        if not gauge:
            return None
        metrics: dict[str, float] = {}
        for pair in gauge.split(","):
            key, _, value = pair.partition(":")
            try:
                metrics[key] = float(value)
            except ValueError:
                raise MalformedLineError(
                    f"gauge contains the invalid pair {pair!r} in {self._quoted()}"
                ) from None
        queued_thousands = metrics.get("x1")
        return LoadReport(
            requests_in_flight=metrics.get("busy_reqs"),
            slot_utilization=metrics.get("cpu_share"),
            memory_utilization=metrics.get("x0"),
            queued_prompt_tokens=None if queued_thousands is None else queued_thousands * TOKENS_PER_THOUSAND,
        )

    def _quoted(self) -> str:
        return repr(self.raw[:QUOTED_LENGTH])
