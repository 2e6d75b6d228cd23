"""Hosts many fronts on one wire. Nothing is shared between them but the lists the wire shares."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from runspool.runtime.interning import Interner, stable_hash
from runspool.runtime.platform_settings import UNIT_US, InvalidSettingsError, PlatformSettings
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    EndpointUpdate,
    EngineRecord,
    Request,
)
from runspool.simulator_adapter.wire import STATES, STATUSES, MalformedLineError, WireLine

SESSIONS_KNOWN = 200_000  # what one front remembers of names before it forgets the oldest


def _granted(text: str) -> PlatformSettings:
    try:
        return PlatformSettings(json.loads(text))
    except ValueError as fault:
        raise MalformedLineError(f"profile-data is no JSON: {fault}") from None
    except InvalidSettingsError as fault:
        raise MalformedLineError(f"profile-data: {fault}") from None


class SimulatedFront:
    """One front: its desk, the names on its wire, and the lines it wants sent."""

    def __init__(self, name: str, line: WireLine, now: int, reply: list[str]) -> None:
        self.name = name
        self.settings = _granted(line.text("profile-data"))
        self.reply = reply
        self.engines: list[str] = []
        self.engine_door = Interner()
        self.text_door = Interner(SESSIONS_KNOWN)
        self.queries: dict[int, str] = {}
        self.indices: dict[str, int] = {}
        self.arrived = 0
        self.desk = SchedulerDriver(self.settings.routing, line.whole("random-seed", 0), self, now)

    def _say(self, word: str, rest: str = "") -> None:
        self.reply.append(f"{word} front={self.name}{rest}")

    def start_attempt(self, query: int, engine: int, cap: int) -> None:
        limit = f" cap-us={cap * UNIT_US}" if cap else ""
        self._say("transmit", f" req={self.queries[query]} engine={self.engines[engine]}{limit}")

    def reject(self, query: int, hold_off: int) -> None:
        later = f" hold-off-us={hold_off * UNIT_US}" if hold_off else ""
        self._say("not_now", f" req={self.queries[query]}{later}")

    def fail_indeterminate(self, query: int) -> None:
        self._say("finish_error", f" req={self.queries[query]}")

    def release_state(self, query: int) -> None:
        self._say("release", f" req={self.queries[query]}")

    def migrate_stream(self, query: int) -> None:
        self._say("shift", f" req={self.queries[query]}")

    def subscribe_to_endpoints(self) -> None:
        self._say("observe", " enable=1")

    def set_timer(self, token: str, at: int) -> None:
        self._say("wake_at", f" token={token} fire-at-us={at * UNIT_US}")

    def log_message(self, text: str) -> None:
        self._say("journal_line", f" reason-text={text}")

    def forget_request(self, query: int) -> None:
        self.indices.pop(self.queries.pop(query), None)

    def inbound(self, now: int, line: WireLine) -> None:
        name = line.text("req")
        index = self.arrived
        self.arrived += 1
        self.queries[index] = name
        self.indices[name] = index
        tariff = self.settings.request_classes.get(line.text("qos"))
        hint = line.whole("hint-us", 0)
        pace = 0 if tariff is None else self.settings.routing.request_classes[tariff].time_per_output_token
        session, beginning = line.maybe("thread"), line.maybe("prefix-id")
        self.desk.submit(
            now,
            Request(
                index=index,
                request_class=tariff,
                tenant=self.settings.tenants.get(line.maybe("team") or ""),
                session=None if session is None else self.text_door.intern("s" + session),
                prefix=None if beginning is None else self.text_door.intern("b" + beginning),
                prompt_tokens=line.whole("prompt-len", 0),
                prefix_tokens=line.whole("prefix-len", 0),
                max_output_tokens=line.whole("max-out", 0),
                expected_output_tokens=hint // UNIT_US // pace if pace else 0,
                time_budget=line.time("time-budget-us"),
                is_client_retry=line.flag("resent"),
                is_continuation=line.flag("again"),
                session_hash=stable_hash(session or ""),
                prefix_hash=stable_hash(beginning or ""),
            ),
        )

    def under_way(self, now: int, line: WireLine) -> None:
        index = self.indices.get(line.text("req"))
        if index is not None:
            self.desk.stream_started(now, index, line.whole("leg") + 1, line.time("delay-seen-us", 0))

    def closed_attempt(self, now: int, line: WireLine) -> None:
        index = self.indices.get(line.text("req"))
        ending = line.choice("ending", STATUSES)
        detail = line.whole("detail", 0)
        if index is None:
            return
        if ending is AttemptStatus.OVERLOADED and detail == 1:
            ending = AttemptStatus.STATE_MISSING
        outcome = AttemptOutcome(ending, line.time("delay-seen-us", 0), detail, line.report())
        self.desk.attempt_ended(now, index, line.whole("leg") + 1, outcome, line.flag("complete"))

    def withdrawn(self, now: int, line: WireLine) -> None:
        index = self.indices.get(line.text("req"))
        if index is not None:
            self.desk.client_disconnected(now, index)

    def bell(self, now: int, line: WireLine) -> None:
        self.desk.timer_fired(now, line.text("token"))

    def registry(self, now: int, line: WireLine, listing: list[WireLine]) -> None:
        if line.text("kind") == "failed":
            self.desk.subscription_lost(now)
            return
        whole = line.choice("kind", {"delta": False, "full": True, "cached": True})
        self.desk.update_endpoints(now, EndpointUpdate(whole, [self._listed(entry) for entry in listing]))

    def _listed(self, entry: WireLine) -> EngineRecord:
        name = entry.text("engine")
        index = self.engine_door.intern(name)
        if index == len(self.engines):
            self.engines.append(name)
        return EngineRecord(
            engine=index,
            engine_type=self.settings.engine_types.get(entry.maybe("family-type") or "", -1),
            zone=self.settings.zones.get(entry.maybe("zone") or "", -2),
            rack=entry.whole("pod", -1),
            started_at=entry.time("started-at-us", 0),
            state=entry.choice("lifecycle", STATES),
            stable_hash=stable_hash(name),
        )


HANDLERS: dict[str, Callable[[SimulatedFront, int, WireLine], None]] = {
    "inbound": SimulatedFront.inbound,
    "under_way": SimulatedFront.under_way,
    "closed_attempt": SimulatedFront.closed_attempt,
    "withdrawn": SimulatedFront.withdrawn,
    "bell": SimulatedFront.bell,
}


class Host:
    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, SimulatedFront] = {}
        self.lists: dict[int, list[WireLine]] = {}
        self.reply: list[str] = []
        self.failed: set[str] = set()

    def serve(self) -> None:
        while (line := self._next()) is not None:
            if not line:
                continue
            tick = WireLine(line)
            if tick.name != "tick":
                raise MalformedLineError(f"a batch starts with tick, not {line[:200]!r}")
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
            raise MalformedLineError(f"a line is not UTF-8: {fault}") from None

    def _line(self) -> WireLine:
        text = self._next()
        if text is None:
            raise MalformedLineError("the input ends inside a batch")
        return WireLine(text)

    def _batch(self, now: int) -> None:
        while (line := self._line()).name != "eof_batch":
            if line.name == "directory":
                number, count = line.whole("roster-id"), line.whole("nodes-list")
                self.lists[number] = [self._entry() for _ in range(count)]
            elif line.maybe("front") is not None:
                self._event(now, line.text("front"), line)

    def _entry(self) -> WireLine:
        entry = self._line()
        if entry.name != "engine":
            raise MalformedLineError(f"a list line is missing, there is {entry.raw[:200]!r}")
        return entry

    def _event(self, now: int, name: str, line: WireLine) -> None:
        try:
            if line.name == "attach":
                self.failed.discard(name)
                self.instances[name] = SimulatedFront(name, line, now, self.reply)
                return
            if line.name == "teardown":
                self.instances.pop(name, None)
                return
            instance = self.instances.get(name)
            if name in self.failed:
                return
            if instance is None:
                raise MalformedLineError(f"{line.name} for {name}, which has not been attached")
            if line.name == "registry":
                instance.registry(now, line, self.lists.get(line.whole("roster-id", -1), []))
            elif line.name in HANDLERS:
                HANDLERS[line.name](instance, now, line)
        except MalformedLineError:
            raise
        except Exception as fault:  # whatever the decisions raise must reach the wire
            self.failed.add(name)
            text = " ".join(f"{type(fault).__name__}: {fault}".split())
            self.reply.append(f"bail_out front={name} reason-text={text}")
