"""Plays a front's tape through a fresh desk: the same news must bring the same asks, one by one."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, EndpointUpdate, EngineRecord, Request
from runspool.service.recording_format import Event, from_stored

EVENTS = frozenset(Event)


class UnreadableEventsError(Exception):
    """A tape that cannot be played; names file and line."""


@dataclass(slots=True)
class ReplayResult:
    """How far a tape went: its news, its asks, and the first place where they differ, if any."""

    events: int = 0
    actions: int = 0
    differs: str = ""


class _Hearing:
    """An outbox that notes what is asked, in the tape's own words."""

    def __init__(self) -> None:
        self.asked: list[list[Any]] = []

    def start_attempt(self, query: int, engine: int, cap: int) -> None:
        self.asked.append(["send", query, engine, cap])

    def reject(self, query: int, hold_off: int) -> None:
        self.asked.append(["dismiss", query, hold_off])

    def fail_indeterminate(self, query: int) -> None:
        self.asked.append(["scrap", query])

    def release_state(self, query: int) -> None:
        self.asked.append(["release", query])

    def migrate_stream(self, query: int) -> None:
        self.asked.append(["move", query])

    def subscribe_to_endpoints(self) -> None:
        self.asked.append(["subscribe"])

    def set_timer(self, token: str, at: int) -> None:
        self.asked.append(["wake", token, at])

    def log_message(self, text: str) -> None:
        self.asked.append(["note", text])

    def forget_request(self, query: int) -> None:
        self.asked.append(["forget", query])


def replay(tape: Path) -> ReplayResult:
    """Plays a tape; raises Unplayable where it is no tape. A last line cut by a kill is passed over."""
    found, hearing = ReplayResult(), _Hearing()
    desk: SchedulerDriver | None = None
    lines = tape.read_bytes().split(b"\n")
    for number, raw in enumerate(lines, 1):
        if not raw:
            continue
        try:
            at, word, *said = msgspec.json.decode(raw)
        except (msgspec.DecodeError, ValueError, TypeError) as fault:
            if number >= len(lines) - 1:
                break
            raise UnreadableEventsError(f"{tape}:{number}: {fault}") from None
        if word not in EVENTS:
            if not hearing.asked:
                found.differs = f"{tape}:{number}: {word} {said} was asked then and is not now"
                return found
            now = hearing.asked.pop(0)
            if now != [word, *said]:
                found.differs = f"{tape}:{number}: {[word, *said]} then, {now} now"
                return found
            found.actions += 1
            continue
        if hearing.asked:
            found.differs = f"{tape}:{number}: {hearing.asked[0]} is asked now and was not then"
            return found
        found.events += 1
        try:
            if word == "start":
                desk = SchedulerDriver(from_stored(said[1], RoutingSettings), said[0], hearing, at)
            elif desk is None:
                raise UnreadableEventsError(f"{tape}:{number}: {word} before start")
            else:
                _tell(desk, at, word, said)
        except (msgspec.ValidationError, IndexError) as fault:
            raise UnreadableEventsError(f"{tape}:{number}: {fault}") from None
    return found


def _tell(desk: SchedulerDriver, at: int, word: str, said: list[Any]) -> None:
    match word:
        case "arrive":
            desk.submit(at, from_stored(said[0], Request))
        case "begun":
            desk.stream_started(at, said[0], said[1], said[2])
        case "closed":
            desk.attempt_ended(at, said[0], said[1], from_stored(said[2], AttemptOutcome), said[3])
        case "left":
            desk.client_disconnected(at, said[0])
        case "drop":
            desk.abandon(at, said[0])
        case "rang":
            desk.timer_fired(at, said[0])
        case "roster":
            desk.update_endpoints(
                at, EndpointUpdate(said[0], [from_stored(one, EngineRecord) for one in said[1]])
            )
        case "leave":
            desk.begin_shutdown(at, said[0])
        case "list_failed":
            desk.subscription_lost(at)
