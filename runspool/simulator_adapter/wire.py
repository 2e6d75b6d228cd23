"""The simulator's wire: its words and its lines."""

from __future__ import annotations

from typing import TypeVar

from runspool.runtime.platform_settings import UNIT_US
from runspool.scheduling.types import AttemptStatus, EngineState, LoadReport

T = TypeVar("T")

TEXT_FIELDS = frozenset({"profile-data", "reason-text"})

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


class MalformedLineError(Exception):
    """A line that the wire page does not allow."""


class WireLine:
    """One parsed line; unknown fields are kept and ignored, absent ones fall back."""

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
                raise MalformedLineError(f"no name=value in {part!r} of {raw[:200]!r}")
            if key in TEXT_FIELDS:
                value, after = rest[len(key) + 1 :], ""
            self.fields[key] = value
            rest = after

    def text(self, key: str) -> str:
        value = self.fields.get(key)
        if value is None:
            raise MalformedLineError(f"{key} is missing in {self.raw[:200]!r}")
        return value

    def maybe(self, key: str) -> str | None:
        return self.fields.get(key)

    def whole(self, key: str, absent: int | None = None) -> int:
        value = self.fields.get(key)
        if value is None:
            if absent is None:
                raise MalformedLineError(f"{key} is missing in {self.raw[:200]!r}")
            return absent
        try:
            return int(value)
        except ValueError:
            try:
                return int(float(value))
            except (ValueError, OverflowError):
                raise MalformedLineError(f"{key} is no number in {self.raw[:200]!r}") from None

    def time(self, key: str, absent: int | None = None) -> int:
        return self.whole(key, absent) // UNIT_US

    def flag(self, key: str) -> bool:
        value = self.fields.get(key, "0")
        if value not in ("0", "1"):
            raise MalformedLineError(f"{key} is neither 1 nor 0 in {self.raw[:200]!r}")
        return value == "1"

    def choice(self, key: str, among: dict[str, T]) -> T:
        value = self.text(key)
        if value not in among:
            raise MalformedLineError(f"{key}={value} is unknown in {self.raw[:200]!r}")
        return among[value]

    def report(self) -> LoadReport | None:
        value = self.fields.get("gauge")
        if not value:
            return None
        figures: dict[str, float] = {}
        for pair in value.split(","):
            key, _, figure = pair.partition(":")
            try:
                figures[key] = float(figure)
            except ValueError:
                raise MalformedLineError(f"gauge holds {pair!r} in {self.raw[:200]!r}") from None
        thousands = figures.get("x1")
        return LoadReport(
            requests_in_flight=figures.get("busy_reqs"),
            slot_utilization=figures.get("cpu_share"),
            memory_utilization=figures.get("x0"),
            queued_prompt_tokens=None if thousands is None else thousands * 1000,
        )
