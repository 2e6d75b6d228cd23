"""Hosts many simulated fronts on one pair of pipes.

The fronts are isolated: they share nothing but the lists of engines that the simulator sends once for all.
The simulator sends batches that begin with `tick` and end with `eof_batch`; each batch is answered by the
lines its events caused, in their order, and a closing `done`.
"""

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
from runspool.simulator_adapter.wire import (
    QUOTED_LENGTH,
    STATES,
    STATUSES,
    MalformedLineError,
    WireLine,
)

MAX_INTERNED_NAMES = 200_000  # sessions and prefixes one front remembers before it forgets the oldest
STATE_MISSING_DETAIL = 1  # an overload with this detail means that the engine lacks the prefill state
UNKNOWN_ENGINE_TYPE = -1
UNKNOWN_ZONE = -2
UNKNOWN_RACK = -1
NO_LIST_ID = -1

# Whether each kind of endpoint update is a snapshot. `cached` is the list as last known to the platform.
SNAPSHOT_BY_KIND = {"delta": False, "full": True, "cached": True}


def _read_settings(text: str) -> PlatformSettings:
    try:
        return PlatformSettings(json.loads(text))
    except ValueError as error:
        raise MalformedLineError(f"profile-data is no JSON: {error}") from None
    except InvalidSettingsError as error:
        raise MalformedLineError(f"profile-data: {error}") from None


class SimulatedFront:
    """One front: its scheduler, the simulator's names for its requests and engines, and its replies.

    It handles the scheduler's actions (`runspool.runtime.scheduler_driver.ActionHandler`) by appending lines
    to the batch's `reply`. Handlers of events take the time in tenths of a millisecond and the event's line,
    and raise MalformedLineError for a line that cannot be read. An event of a request that is no longer known
    is ignored.
    """

    def __init__(self, name: str, line: WireLine, now: int, reply: list[str]) -> None:
        self.name = name
        self.settings = _read_settings(line.text("profile-data"))
        self.reply = reply
        self.engine_names: list[str] = []
        self.engine_interner = Interner()
        self.text_interner = Interner(MAX_INTERNED_NAMES)
        self.request_names: dict[int, str] = {}
        self.request_indices: dict[str, int] = {}
        self.request_count = 0
        seed = line.integer("random-seed", 0)
        self.driver = SchedulerDriver(self.settings.routing, seed, self, now)

    def _reply(self, word: str, rest: str = "") -> None:
        self.reply.append(f"{word} front={self.name}{rest}")

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Send a request to an engine; a timeout of 0 leaves the attempt without a limit of its own."""
        limit = f" cap-us={timeout * UNIT_US}" if timeout else ""
        request_name = self.request_names[request]
        self._reply("transmit", f" req={request_name} engine={self.engine_names[engine]}{limit}")

    def reject(self, request: int, retry_after: int) -> None:
        """Reject a request; a `retry_after` of 0 is not sent."""
        later = f" hold-off-us={retry_after * UNIT_US}" if retry_after else ""
        self._reply("not_now", f" req={self.request_names[request]}{later}")

    def fail_indeterminate(self, request: int) -> None:
        """Fail a request that may have been executed."""
        self._reply("finish_error", f" req={self.request_names[request]}")

    def release_state(self, request: int) -> None:
        """Release the prefill state that an engine holds for a request."""
        self._reply("release", f" req={self.request_names[request]}")

    def migrate_stream(self, request: int) -> None:
        """Stop a request's stream so that it goes on elsewhere."""
        self._reply("shift", f" req={self.request_names[request]}")

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the list of engines."""
        self._reply("observe", " enable=1")

    def set_timer(self, token: str, at: int) -> None:
        """Set a timer."""
        self._reply("wake_at", f" token={token} fire-at-us={at * UNIT_US}")

    def log_message(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self._reply("journal_line", f" reason-text={text}")

    def forget_request(self, request: int) -> None:
        """Drop the name of a request that is over; the same name may be used again."""
        self.request_indices.pop(self.request_names.pop(request), None)

    def request_received(self, now: int, line: WireLine) -> None:
        """Submit a new request (`inbound`)."""
        name = line.text("req")
        index = self.request_count
        self.request_count += 1
        self.request_names[index] = name
        self.request_indices[name] = index
        self.driver.submit(now, self._parse_request(index, line))

    def _parse_request(self, index: int, line: WireLine) -> Request:
        request_class = self.settings.request_classes.get(line.text("qos"))
        expected_output_tokens = self._expected_output_tokens(request_class, line)
        session, prefix = line.optional_text("thread"), line.optional_text("prefix-id")
        # Sessions and prefixes share one interner; their first letter keeps the two apart.
        return Request(
            index=index,
            request_class=request_class,
            tenant=self.settings.tenants.get(line.optional_text("team") or ""),
            session=None if session is None else self.text_interner.intern("s" + session),
            prefix=None if prefix is None else self.text_interner.intern("b" + prefix),
            prompt_tokens=line.integer("prompt-len", 0),
            prefix_tokens=line.integer("prefix-len", 0),
            max_output_tokens=line.integer("max-out", 0),
            expected_output_tokens=expected_output_tokens,
            time_budget=line.duration("time-budget-us"),
            is_client_retry=line.flag("resent"),
            is_continuation=line.flag("again"),
            session_hash=stable_hash(session or ""),
            prefix_hash=stable_hash(prefix or ""),
        )

    def _expected_output_tokens(self, request_class: int | None, line: WireLine) -> int:
        """Tokens that the client's hint, a duration, stands for at its class's pace; 0 where it has none."""
        hint = line.duration("hint-us", 0)
        if request_class is None:
            return 0
        time_per_token = self.settings.routing.request_classes[request_class].time_per_output_token
        return hint // time_per_token if time_per_token else 0

    def stream_started(self, now: int, line: WireLine) -> None:
        """Report the first token of an attempt (`under_way`)."""
        index = self.request_indices.get(line.text("req"))
        if index is not None:
            # The simulator numbers a request's attempts from 0, the scheduler from 1.
            attempt = line.integer("leg") + 1
            self.driver.stream_started(now, index, attempt, line.duration("delay-seen-us", 0))

    def attempt_ended(self, now: int, line: WireLine) -> None:
        """Report the end of an attempt (`closed_attempt`)."""
        index = self.request_indices.get(line.text("req"))
        status = line.choice("ending", STATUSES)
        detail = line.integer("detail", 0)
        if index is None:
            return
        if status is AttemptStatus.OVERLOADED and detail == STATE_MISSING_DETAIL:
            status = AttemptStatus.STATE_MISSING
        duration = line.duration("delay-seen-us", 0)
        outcome = AttemptOutcome(status, duration, detail, line.load_report())
        self.driver.attempt_ended(now, index, line.integer("leg") + 1, outcome, line.flag("complete"))

    def client_disconnected(self, now: int, line: WireLine) -> None:
        """Report that a request's client is gone (`withdrawn`)."""
        index = self.request_indices.get(line.text("req"))
        if index is not None:
            self.driver.client_disconnected(now, index)

    def timer_fired(self, now: int, line: WireLine) -> None:
        """Report that a timer is due (`bell`)."""
        self.driver.timer_fired(now, line.text("token"))

    def endpoints_updated(self, now: int, line: WireLine, entries: list[WireLine]) -> None:
        """Pass on an update of the list of engines (`registry`), or that the subscription failed."""
        if line.text("kind") == "failed":
            self.driver.subscription_lost(now)
            return
        is_snapshot = line.choice("kind", SNAPSHOT_BY_KIND)
        records = [self._engine_record(entry) for entry in entries]
        self.driver.update_endpoints(now, EndpointUpdate(is_snapshot, records))

    def _engine_record(self, entry: WireLine) -> EngineRecord:
        name = entry.text("engine")
        index = self.engine_interner.intern(name)
        if index == len(self.engine_names):
            self.engine_names.append(name)
        return EngineRecord(
            engine=index,
            engine_type=self.settings.engine_types.get(
                entry.optional_text("family-type") or "", UNKNOWN_ENGINE_TYPE
            ),
            zone=self.settings.zones.get(entry.optional_text("zone") or "", UNKNOWN_ZONE),
            rack=entry.integer("pod", UNKNOWN_RACK),
            started_at=entry.duration("started-at-us", 0),
            state=entry.choice("lifecycle", STATES),
            stable_hash=stable_hash(name),
        )


HANDLERS: dict[str, Callable[[SimulatedFront, int, WireLine], None]] = {
    "inbound": SimulatedFront.request_received,
    "under_way": SimulatedFront.stream_started,
    "closed_attempt": SimulatedFront.attempt_ended,
    "withdrawn": SimulatedFront.client_disconnected,
    "bell": SimulatedFront.timer_fired,
}


class Host:
    """Reads the simulator's batches, passes their events to the fronts, and writes the fronts' replies."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.fronts: dict[str, SimulatedFront] = {}
        self.endpoint_lists: dict[int, list[WireLine]] = {}
        self.reply: list[str] = []
        self.failed: set[str] = set()

    def serve(self) -> None:
        """Answer batches until the input ends; raise MalformedLineError for input that cannot be read."""
        while (text := self._next_text()) is not None:
            if not text:
                continue
            tick = WireLine(text)
            if tick.name != "tick":
                raise MalformedLineError(f"a batch starts with tick, not {text[:QUOTED_LENGTH]!r}")
            self._serve_batch(tick.duration("time-us"))
            self.reply.append(f"done seq={tick.integer('seq')}\n")
            self.sink.write("\n".join(self.reply).encode())
            self.sink.flush()
            self.reply.clear()

    def _next_text(self) -> str | None:
        raw = self.source.readline()
        if not raw:
            return None
        try:
            return raw.decode().rstrip("\r\n")
        except UnicodeDecodeError as error:
            raise MalformedLineError(f"a line is not UTF-8: {error}") from None

    def _next_line(self) -> WireLine:
        text = self._next_text()
        if text is None:
            raise MalformedLineError("the input ends inside a batch")
        return WireLine(text)

    def _serve_batch(self, now: int) -> None:
        while (line := self._next_line()).name != "eof_batch":
            if line.name == "directory":
                list_id, count = line.integer("roster-id"), line.integer("nodes-list")
                self.endpoint_lists[list_id] = [self._next_entry() for _ in range(count)]
            elif line.optional_text("front") is not None:
                self._handle_event(now, line.text("front"), line)

    def _next_entry(self) -> WireLine:
        entry = self._next_line()
        if entry.name != "engine":
            raise MalformedLineError(f"a list line is missing, there is {entry.raw[:QUOTED_LENGTH]!r}")
        return entry

    def _handle_event(self, now: int, name: str, line: WireLine) -> None:
        """Handle one event; a front whose scheduler fails is reported, then ignored until attached again."""
        try:
            if line.name == "attach":
                self.failed.discard(name)
                self.fronts[name] = SimulatedFront(name, line, now, self.reply)
            elif line.name == "teardown":
                self.fronts.pop(name, None)
            elif name not in self.failed:
                self._pass_to_front(now, name, line)
        except MalformedLineError:
            raise
        except Exception as error:  # noqa: BLE001 - whatever the scheduler raises must reach the simulator
            self.failed.add(name)
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.reply.append(f"bail_out front={name} reason-text={text}")

    def _pass_to_front(self, now: int, name: str, line: WireLine) -> None:
        front = self.fronts.get(name)
        if front is None:
            raise MalformedLineError(f"{line.name} for {name}, which has not been attached")
        if line.name == "registry":
            entries = self.endpoint_lists.get(line.integer("roster-id", NO_LIST_ID), [])
            front.endpoints_updated(now, line, entries)
        elif line.name in HANDLERS:
            HANDLERS[line.name](front, now, line)
