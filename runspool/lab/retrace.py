"""Plays a front's tape through a fresh desk: the same news must bring the same asks, one by one."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.decisions.interface import HouseTerms, Listed, Outcome, Query, Roster
from runspool.front import Desk

NEWS = {"start", "arrive", "begun", "closed", "left", "rang", "roster", "list_failed", "drop", "leave"}


class Unplayable(Exception):
    """A tape that cannot be played; names file and line."""


@dataclass(slots=True)
class Retraced:
    """How far a tape went: its news, its asks, and the first place where they differ, if any."""

    news: int = 0
    asks: int = 0
    differs: str = ""


class _Hearing:
    """An outbox that notes what is asked, in the tape's own words."""

    def __init__(self) -> None:
        self.asked: list[list[Any]] = []

    def send(self, query: int, engine: int, cap: int) -> None:
        self.asked.append(["send", query, engine, cap])

    def dismiss(self, query: int, hold_off: int) -> None:
        self.asked.append(["dismiss", query, hold_off])

    def scrap(self, query: int) -> None:
        self.asked.append(["scrap", query])

    def release(self, query: int) -> None:
        self.asked.append(["release", query])

    def move(self, query: int) -> None:
        self.asked.append(["move", query])

    def subscribe(self) -> None:
        self.asked.append(["subscribe"])

    def wake(self, token: str, at: int) -> None:
        self.asked.append(["wake", token, at])

    def note(self, text: str) -> None:
        self.asked.append(["note", text])

    def forget(self, query: int) -> None:
        self.asked.append(["forget", query])


def retrace(tape: Path) -> Retraced:
    """Plays a tape; raises Unplayable where it is no tape. A last line cut by a kill is passed over."""
    found, hearing = Retraced(), _Hearing()
    desk: Desk | None = None
    lines = tape.read_bytes().split(b"\n")
    for number, raw in enumerate(lines, 1):
        if not raw:
            continue
        try:
            at, word, *said = msgspec.json.decode(raw)
        except (msgspec.DecodeError, ValueError, TypeError) as fault:
            if number >= len(lines) - 1:
                break
            raise Unplayable(f"{tape}:{number}: {fault}") from None
        if word not in NEWS:
            if not hearing.asked:
                found.differs = f"{tape}:{number}: {word} {said} was asked then and is not now"
                return found
            now = hearing.asked.pop(0)
            if now != [word, *said]:
                found.differs = f"{tape}:{number}: {[word, *said]} then, {now} now"
                return found
            found.asks += 1
            continue
        if hearing.asked:
            found.differs = f"{tape}:{number}: {hearing.asked[0]} is asked now and was not then"
            return found
        found.news += 1
        try:
            if word == "start":
                desk = Desk(msgspec.convert(said[1], HouseTerms), said[0], hearing, at)
            elif desk is None:
                raise Unplayable(f"{tape}:{number}: {word} before start")
            else:
                _tell(desk, at, word, said)
        except (msgspec.ValidationError, IndexError) as fault:
            raise Unplayable(f"{tape}:{number}: {fault}") from None
    return found


def _tell(desk: Desk, at: int, word: str, said: list[Any]) -> None:
    match word:
        case "arrive":
            desk.arrive(at, msgspec.convert(said[0], Query))
        case "begun":
            desk.begun(at, said[0], said[1], said[2])
        case "closed":
            desk.closed(at, said[0], said[1], msgspec.convert(said[2], Outcome), said[3])
        case "left":
            desk.left(at, said[0])
        case "drop":
            desk.drop(at, said[0])
        case "rang":
            desk.rang(at, said[0])
        case "roster":
            desk.roster(at, Roster(said[0], msgspec.convert(said[1], list[Listed])))
        case "leave":
            desk.leave(at, said[0])
        case "list_failed":
            desk.list_failed(at)
