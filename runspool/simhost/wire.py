"""The simulator's wire: its words and its lines."""

from __future__ import annotations

from typing import TypeVar

from runspool.decisions.interface import Ending, Report
from runspool.front.granted import UNIT_US

T = TypeVar("T")

TEXT_FIELDS = frozenset({"profile-data", "reason-text"})

ENDINGS = {
    "completed": Ending.SUCCEEDED,
    "errored": Ending.ERRORED,
    "saturated": Ending.FULL,
    "overdue": Ending.OVERDUE,
    "refused_conn": Ending.UNREACHABLE,
    "severed": Ending.SEVERED,
    "recalled": Ending.RECALLED,
    "superseded": Ending.VOID,
    "handover": Ending.READ,
}
STATES = {"on": "on", "fading": "draining", "off": "gone"}


class Malformed(Exception):
    """A line that the wire page does not allow."""


class Line:
    """One parsed line; unknown fields are kept and ignored, absent ones fall back."""

    __slots__ = ("fields", "name", "raw")

    def __init__(self, raw: str) -> None:
        self.raw = raw
        self.name, _, rest = raw.partition(" ")
        self.fields: dict[str, str] = {}
        if not self.name:
            raise Malformed("an empty line inside a batch")
        while rest:
            part, _, after = rest.partition(" ")
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise Malformed(f"no name=value in {part!r} of {raw[:200]!r}")
            if key in TEXT_FIELDS:
                value, after = rest[len(key) + 1 :], ""
            self.fields[key] = value
            rest = after

    def text(self, key: str) -> str:
        value = self.fields.get(key)
        if value is None:
            raise Malformed(f"{key} is missing in {self.raw[:200]!r}")
        return value

    def maybe(self, key: str) -> str | None:
        return self.fields.get(key)

    def whole(self, key: str, absent: int | None = None) -> int:
        value = self.fields.get(key)
        if value is None:
            if absent is None:
                raise Malformed(f"{key} is missing in {self.raw[:200]!r}")
            return absent
        try:
            return int(value)
        except ValueError:
            try:
                return int(float(value))
            except (ValueError, OverflowError):
                raise Malformed(f"{key} is no number in {self.raw[:200]!r}") from None

    def time(self, key: str, absent: int | None = None) -> int:
        return self.whole(key, absent) // UNIT_US

    def flag(self, key: str) -> bool:
        value = self.fields.get(key, "0")
        if value not in ("0", "1"):
            raise Malformed(f"{key} is neither 1 nor 0 in {self.raw[:200]!r}")
        return value == "1"

    def choice(self, key: str, among: dict[str, T]) -> T:
        value = self.text(key)
        if value not in among:
            raise Malformed(f"{key}={value} is unknown in {self.raw[:200]!r}")
        return among[value]

    def report(self) -> Report | None:
        value = self.fields.get("gauge")
        if not value:
            return None
        figures: dict[str, float] = {}
        for pair in value.split(","):
            key, _, figure = pair.partition(":")
            try:
                figures[key] = float(figure)
            except ValueError:
                raise Malformed(f"gauge holds {pair!r} in {self.raw[:200]!r}") from None
        thousands = figures.get("x1")
        return Report(
            in_flight=figures.get("busy_reqs"),
            slots=figures.get("cpu_share"),
            memory=figures.get("x0"),
            to_read=None if thousands is None else thousands * 1000,
        )
