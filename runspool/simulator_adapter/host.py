"""Run many simulated fronts over one pair of pipes.

The fronts are isolated from each other, except that they share the endpoint lists, which the simulator sends
only once. The simulator sends batches of lines that start with `tick` and end with `eof_batch`. The reply to
a batch consists of the lines that its events caused, in the order of the events, and a final line `done`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from runspool.runtime.interning import Interner, stable_hash
from runspool.runtime.platform_settings import US_PER_TENTH_MS, InvalidSettingsError, PlatformSettings
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    EndpointUpdate,
    EngineRecord,
    Request,
)
from runspool.simulator_adapter.line_protocol import (
    ATTEMPT_STATUSES,
    ENGINE_STATES,
    QUOTED_LENGTH,
    MalformedLineError,
    ProtocolLine,
)

MAX_INTERNED_NAMES = 200_000  # names of sessions and prefixes per front; the oldest are dropped
STATE_MISSING_DETAIL = 1  # an overload with this detail means that the engine has lost the prefill state
UNKNOWN_ENGINE_TYPE = -1
UNKNOWN_ZONE = -2
UNKNOWN_RACK = -1
NO_LIST_ID = -1  # stands for an endpoint list that the simulator never sent, that is, an empty one

# Whether a kind of endpoint update is a complete snapshot. `cached` is the last list that the platform knew,
# which may be outdated.
IS_SNAPSHOT_BY_KIND = {"delta": False, "full": True, "cached": True}


def _parse_settings(text: str) -> PlatformSettings:
    """Return the settings in a front's `profile-data`.

    Raises:
        MalformedLineError: the text is not JSON, or the settings are invalid.
    """
    try:
        return PlatformSettings(json.loads(text))
    except ValueError as error:
        raise MalformedLineError(f"profile-data is not JSON: {error}") from None
    except InvalidSettingsError as error:
        raise MalformedLineError(f"profile-data: {error}") from None


class SimulatedFront:
    """One front: its scheduler, and the mapping between the simulator's names and the scheduler's indices.

    The front carries out the scheduler's actions (`runspool.runtime.scheduler_driver.ActionHandler`) by
    appending lines to the reply. The handlers of events take the time in tenths of a millisecond and the line
    of the event. They raise MalformedLineError for an invalid line and ignore events of requests that are no
    longer known.
    """

    def __init__(self, name: str, line: ProtocolLine, now: int, reply: list[str]) -> None:
        """Create a front and its scheduler.

        Args:
            name: the simulator's name for the front.
            line: the event `attach` with the settings and the random seed.
            now: the time in tenths of a millisecond.
            reply: the list that lines of the reply are appended to.

        Raises:
            MalformedLineError: the settings are invalid.
        """
        self.name = name
        self.settings = _parse_settings(line.text("profile-data"))
        self.reply = reply
        self.engine_names: list[str] = []
        self.engine_interner = Interner()
        self.name_interner = Interner(MAX_INTERNED_NAMES)
        self.request_names: dict[int, str] = {}
        self.request_indices: dict[str, int] = {}
        self.request_count = 0
        seed = line.integer("random-seed", 0)
        self.driver = SchedulerDriver(self.settings.routing, seed, self, now)

    def _reply(self, line_name: str, fields: str = "") -> None:
        self.reply.append(f"{line_name} front={self.name}{fields}")

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Send a request to an engine, with a timeout for this attempt unless `timeout` is 0."""
        limit = f" cap-us={timeout * US_PER_TENTH_MS}" if timeout else ""
        request_name = self.request_names[request]
        self._reply("transmit", f" req={request_name} engine={self.engine_names[engine]}{limit}")

    def reject(self, request: int, retry_after: int) -> None:
        """Reject a request, with a delay for the client's retry unless `retry_after` is 0."""
        delay = f" hold-off-us={retry_after * US_PER_TENTH_MS}" if retry_after else ""
        self._reply("not_now", f" req={self.request_names[request]}{delay}")

    def fail_indeterminate(self, request: int) -> None:
        """Fail a request that may have been executed."""
        self._reply("finish_error", f" req={self.request_names[request]}")

    def release_state(self, request: int) -> None:
        """Release the prefill state that an engine holds for a request."""
        self._reply("release", f" req={self.request_names[request]}")

    def migrate_stream(self, request: int) -> None:
        """Stop a request's stream so that another engine can resume it."""
        self._reply("shift", f" req={self.request_names[request]}")

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self._reply("observe", " enable=1")

    def set_timer(self, token: str, at: int) -> None:
        """Set a timer that fires at a time in tenths of a millisecond."""
        self._reply("wake_at", f" token={token} fire-at-us={at * US_PER_TENTH_MS}")

    def log_message(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self._reply("journal_line", f" reason-text={text}")

    def forget_request(self, request: int) -> None:
        """Remove a request that has ended; the simulator may use its name again."""
        self.request_indices.pop(self.request_names.pop(request), None)

    def request_received(self, now: int, line: ProtocolLine) -> None:
        """Submit a new request (`inbound`)."""
        name = line.text("req")
        index = self.request_count
        self.request_count += 1
        self.request_names[index] = name
        self.request_indices[name] = index
        self.driver.submit(now, self._parse_request(index, line))

    def _parse_request(self, index: int, line: ProtocolLine) -> Request:
        request_class = self.settings.request_classes.get(line.text("qos"))
        expected_output_tokens = self._expected_output_tokens(request_class, line)
        session, prefix = line.optional_text("thread"), line.optional_text("prefix-id")
        # Sessions and prompt prefixes share one interner. The first letter of a name tells them apart.
        return Request(
            index=index,
            request_class=request_class,
            tenant=self.settings.tenants.get(line.optional_text("team") or ""),
            session=None if session is None else self.name_interner.intern("s" + session),
            prefix=None if prefix is None else self.name_interner.intern("b" + prefix),
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

    def _expected_output_tokens(self, request_class: int | None, line: ProtocolLine) -> int:
        """Return the expected number of output tokens, or 0 if it is unknown.

        The client's hint is a duration, which is divided by the class's objective for the time per token.
        """
        hint = line.duration("hint-us", 0)
        if request_class is None:
            return 0
        time_per_token = self.settings.routing.request_classes[request_class].time_per_output_token
        return hint // time_per_token if time_per_token else 0

    def stream_started(self, now: int, line: ProtocolLine) -> None:
        """Report the first token of an attempt to the scheduler (`under_way`)."""
        index = self.request_indices.get(line.text("req"))
        if index is not None:
            # The simulator numbers a request's attempts from 0, the scheduler from 1.
            attempt = line.integer("leg") + 1
            self.driver.stream_started(now, index, attempt, line.duration("delay-seen-us", 0))

    def attempt_ended(self, now: int, line: ProtocolLine) -> None:
        """Report the end of an attempt to the scheduler (`closed_attempt`)."""
        index = self.request_indices.get(line.text("req"))
        status = line.choice("ending", ATTEMPT_STATUSES)
        detail = line.integer("detail", 0)
        if index is None:
            return
        if status is AttemptStatus.OVERLOADED and detail == STATE_MISSING_DETAIL:
            status = AttemptStatus.STATE_MISSING
        duration = line.duration("delay-seen-us", 0)
        outcome = AttemptOutcome(status, duration, detail, line.load_report())
        self.driver.attempt_ended(now, index, line.integer("leg") + 1, outcome, line.flag("complete"))

    def client_disconnected(self, now: int, line: ProtocolLine) -> None:
        """Report to the scheduler that a request's client has disconnected (`withdrawn`)."""
        index = self.request_indices.get(line.text("req"))
        if index is not None:
            self.driver.client_disconnected(now, index)

    def timer_fired(self, now: int, line: ProtocolLine) -> None:
        """Report to the scheduler that a timer has fired (`bell`)."""
        self.driver.timer_fired(now, line.text("token"))

    def endpoints_updated(self, now: int, line: ProtocolLine, entries: list[ProtocolLine]) -> None:
        """Report an update of the endpoint list, or the loss of the subscription (`registry`)."""
        if line.text("kind") == "failed":
            self.driver.subscription_lost(now)
            return
        is_snapshot = line.choice("kind", IS_SNAPSHOT_BY_KIND)
        records = [self._engine_record(entry) for entry in entries]
        self.driver.update_endpoints(now, EndpointUpdate(is_snapshot, records))

    def _engine_record(self, entry: ProtocolLine) -> EngineRecord:
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
            state=entry.choice("lifecycle", ENGINE_STATES),
            stable_hash=stable_hash(name),
        )


EVENT_HANDLERS: dict[str, Callable[[SimulatedFront, int, ProtocolLine], None]] = {
    "inbound": SimulatedFront.request_received,
    "under_way": SimulatedFront.stream_started,
    "closed_attempt": SimulatedFront.attempt_ended,
    "withdrawn": SimulatedFront.client_disconnected,
    "bell": SimulatedFront.timer_fired,
}


class FrontHost:
    """Reads the simulator's batches, dispatches their events to the fronts, and writes the replies.

    Attributes:
        source: the stream that batches are read from.
        sink: the stream that replies are written to.
        fronts: the attached fronts by name.
        endpoint_lists: the endpoint lists by the simulator's identifier.
        reply: the lines of the reply to the current batch.
        failed: the names of the fronts whose scheduler has raised an exception.
    """

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.fronts: dict[str, SimulatedFront] = {}
        self.endpoint_lists: dict[int, list[ProtocolLine]] = {}
        self.reply: list[str] = []
        self.failed: set[str] = set()

    def serve(self) -> None:
        """Answer batches until the input ends.

        Raises:
            MalformedLineError: the input violates the protocol.
        """
        while (text := self._next_text()) is not None:
            if not text:
                continue
            tick = ProtocolLine(text)
            if tick.name != "tick":
                raise MalformedLineError(f"a batch must start with tick, not {text[:QUOTED_LENGTH]!r}")
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
            raise MalformedLineError(f"a line is not valid UTF-8: {error}") from None

    def _next_line(self) -> ProtocolLine:
        text = self._next_text()
        if text is None:
            raise MalformedLineError("the input ends inside a batch")
        return ProtocolLine(text)

    def _serve_batch(self, now: int) -> None:
        while (line := self._next_line()).name != "eof_batch":
            if line.name == "directory":
                list_id, count = line.integer("roster-id"), line.integer("nodes-list")
                self.endpoint_lists[list_id] = [self._next_entry() for _ in range(count)]
            elif line.optional_text("front") is not None:
                self._handle_event(now, line.text("front"), line)

    def _next_entry(self) -> ProtocolLine:
        entry = self._next_line()
        if entry.name != "engine":
            raise MalformedLineError(
                f"expected an engine of an endpoint list, got {entry.raw[:QUOTED_LENGTH]!r}"
            )
        return entry

    def _handle_event(self, now: int, name: str, line: ProtocolLine) -> None:
        """Handle one event of a front.

        If the scheduler raises an exception, report it to the simulator and ignore further events of the
        front until it is attached again.
        """
        try:
            if line.name == "attach":
                self.failed.discard(name)
                self.fronts[name] = SimulatedFront(name, line, now, self.reply)
            elif line.name == "teardown":
                self.fronts.pop(name, None)
            elif name not in self.failed:
                self._dispatch(now, name, line)
        except MalformedLineError:
            raise
        except Exception as error:  # noqa: BLE001 - any exception of the scheduler must be reported
            self.failed.add(name)
            reason = " ".join(f"{type(error).__name__}: {error}".split())
            self.reply.append(f"bail_out front={name} reason-text={reason}")

    def _dispatch(self, now: int, name: str, line: ProtocolLine) -> None:
        front = self.fronts.get(name)
        if front is None:
            raise MalformedLineError(f"{line.name} is for the front {name}, which has not been attached")
        if line.name == "registry":
            entries = self.endpoint_lists.get(line.integer("roster-id", NO_LIST_ID), [])
            front.endpoints_updated(now, line, entries)
        elif line.name in EVENT_HANDLERS:
            EVENT_HANDLERS[line.name](front, now, line)
