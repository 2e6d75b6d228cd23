"""Hosts many fronts on one wire. Nothing is shared between them but the lists the wire shares."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from runspool.decisions.interface import Ending, Listed, Outcome, Query, Roster
from runspool.front import Desk
from runspool.front.door import Door, mark
from runspool.front.granted import UNIT_US, Granted, Unfit
from runspool.simhost.wire import ENDINGS, STATES, Line, Malformed

SESSIONS_KNOWN = 200_000  # what one front remembers of names before it forgets the oldest


def _granted(text: str) -> Granted:
    try:
        return Granted(json.loads(text))
    except ValueError as fault:
        raise Malformed(f"profile-data is no JSON: {fault}") from None
    except Unfit as fault:
        raise Malformed(f"profile-data: {fault}") from None


class Instance:
    """One front: its desk, the names on its wire, and the lines it wants sent."""

    def __init__(self, name: str, line: Line, now: int, reply: list[str]) -> None:
        self.name = name
        self.settings = _granted(line.text("profile-data"))
        self.reply = reply
        self.engines: list[str] = []
        self.engine_door = Door()
        self.text_door = Door(SESSIONS_KNOWN)
        self.queries: dict[int, str] = {}
        self.indices: dict[str, int] = {}
        self.arrived = 0
        self.desk = Desk(self.settings.terms, line.whole("random-seed", 0), self, now)

    def _say(self, word: str, rest: str = "") -> None:
        self.reply.append(f"{word} front={self.name}{rest}")

    def send(self, query: int, engine: int, cap: int) -> None:
        limit = f" cap-us={cap * UNIT_US}" if cap else ""
        self._say("transmit", f" req={self.queries[query]} engine={self.engines[engine]}{limit}")

    def dismiss(self, query: int, hold_off: int) -> None:
        later = f" hold-off-us={hold_off * UNIT_US}" if hold_off else ""
        self._say("not_now", f" req={self.queries[query]}{later}")

    def scrap(self, query: int) -> None:
        self._say("finish_error", f" req={self.queries[query]}")

    def release(self, query: int) -> None:
        self._say("release", f" req={self.queries[query]}")

    def move(self, query: int) -> None:
        self._say("shift", f" req={self.queries[query]}")

    def subscribe(self) -> None:
        self._say("observe", " enable=1")

    def wake(self, token: str, at: int) -> None:
        self._say("wake_at", f" token={token} fire-at-us={at * UNIT_US}")

    def note(self, text: str) -> None:
        self._say("journal_line", f" reason-text={text}")

    def forget(self, query: int) -> None:
        self.indices.pop(self.queries.pop(query), None)

    def inbound(self, now: int, line: Line) -> None:
        name = line.text("req")
        index = self.arrived
        self.arrived += 1
        self.queries[index] = name
        self.indices[name] = index
        tariff = self.settings.tariffs.get(line.text("qos"))
        hint = line.whole("hint-us", 0)
        pace = 0 if tariff is None else self.settings.terms.tariffs[tariff].pace
        session, beginning = line.maybe("thread"), line.maybe("prefix-id")
        self.desk.arrive(
            now,
            Query(
                index=index,
                tariff=tariff,
                tenant=self.settings.tenants.get(line.maybe("team") or ""),
                session=None if session is None else self.text_door.index("s" + session),
                beginning=None if beginning is None else self.text_door.index("b" + beginning),
                prompt=line.whole("prompt-len", 0),
                beginning_length=line.whole("prefix-len", 0),
                most_out=line.whole("max-out", 0),
                likely_out=hint // UNIT_US // pace if pace else 0,
                budget=line.time("time-budget-us"),
                resent=line.flag("resent"),
                again=line.flag("again"),
                session_mark=mark(session or ""),
                beginning_mark=mark(beginning or ""),
            ),
        )

    def under_way(self, now: int, line: Line) -> None:
        index = self.indices.get(line.text("req"))
        if index is not None:
            self.desk.begun(now, index, line.whole("leg") + 1, line.time("delay-seen-us", 0))

    def closed_attempt(self, now: int, line: Line) -> None:
        index = self.indices.get(line.text("req"))
        ending = line.choice("ending", ENDINGS)
        detail = line.whole("detail", 0)
        if index is None:
            return
        if ending is Ending.FULL and detail == 1:
            ending = Ending.STATELESS
        outcome = Outcome(ending, line.time("delay-seen-us", 0), detail, line.report())
        self.desk.closed(now, index, line.whole("leg") + 1, outcome, line.flag("complete"))

    def withdrawn(self, now: int, line: Line) -> None:
        index = self.indices.get(line.text("req"))
        if index is not None:
            self.desk.left(now, index)

    def bell(self, now: int, line: Line) -> None:
        self.desk.rang(now, line.text("token"))

    def registry(self, now: int, line: Line, listing: list[Line]) -> None:
        if line.text("kind") == "failed":
            self.desk.list_failed(now)
            return
        whole = line.choice("kind", {"delta": False, "full": True, "cached": True})
        self.desk.roster(now, Roster(whole, [self._listed(entry) for entry in listing]))

    def _listed(self, entry: Line) -> Listed:
        name = entry.text("engine")
        index = self.engine_door.index(name)
        if index == len(self.engines):
            self.engines.append(name)
        return Listed(
            engine=index,
            kind=self.settings.kinds.get(entry.maybe("family-type") or "", -1),
            zone=self.settings.zones.get(entry.maybe("zone") or "", -2),
            rack=entry.whole("pod", -1),
            started=entry.time("started-at-us", 0),
            state=entry.choice("lifecycle", STATES),
            mark=mark(name),
        )


HANDLERS: dict[str, Callable[[Instance, int, Line], None]] = {
    "inbound": Instance.inbound,
    "under_way": Instance.under_way,
    "closed_attempt": Instance.closed_attempt,
    "withdrawn": Instance.withdrawn,
    "bell": Instance.bell,
}


class Host:
    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Line]] = {}
        self.reply: list[str] = []
        self.failed: set[str] = set()

    def serve(self) -> None:
        while (line := self._next()) is not None:
            if not line:
                continue
            tick = Line(line)
            if tick.name != "tick":
                raise Malformed(f"a batch starts with tick, not {line[:200]!r}")
            self._batch(tick.time("time-us"))
            self.reply.append(f"done seq={tick.whole('seq')}\n")
            self.sink.write("\n".join(self.reply).encode())
            self.sink.flush()
            self.reply.clear()

    def _next(self) -> str | None:
        raw = self.source.readline()
        if not raw:
            return None
        try:
            return raw.decode().rstrip("\r\n")
        except UnicodeDecodeError as fault:
            raise Malformed(f"a line is not UTF-8: {fault}") from None

    def _line(self) -> Line:
        text = self._next()
        if text is None:
            raise Malformed("the input ends inside a batch")
        return Line(text)

    def _batch(self, now: int) -> None:
        while (line := self._line()).name != "eof_batch":
            if line.name == "directory":
                number, count = line.whole("roster-id"), line.whole("nodes-list")
                self.lists[number] = [self._entry() for _ in range(count)]
            elif line.maybe("front") is not None:
                self._event(now, line.text("front"), line)

    def _entry(self) -> Line:
        entry = self._line()
        if entry.name != "engine":
            raise Malformed(f"a list line is missing, there is {entry.raw[:200]!r}")
        return entry

    def _event(self, now: int, name: str, line: Line) -> None:
        try:
            if line.name == "attach":
                self.failed.discard(name)
                self.instances[name] = Instance(name, line, now, self.reply)
                return
            if line.name == "teardown":
                self.instances.pop(name, None)
                return
            instance = self.instances.get(name)
            if name in self.failed:
                return
            if instance is None:
                raise Malformed(f"{line.name} for {name}, which has not been attached")
            if line.name == "registry":
                instance.registry(now, line, self.lists.get(line.whole("roster-id", -1), []))
            elif line.name in HANDLERS:
                HANDLERS[line.name](instance, now, line)
        except Malformed:
            raise
        except Exception as fault:  # whatever the decisions raise must reach the wire
            self.failed.add(name)
            text = " ".join(f"{type(fault).__name__}: {fault}".split())
            self.reply.append(f"bail_out front={name} reason-text={text}")
