"""Reads a recording into a history: events grouped by client attempt, engine attempt, engine and front."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from runspool.lab.audit.tolerance import SOCKET_TOLERANCE, AuditTolerance
from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event, UnreadableRecordingError

# End statuses in recorded `ended` events that guarantee that the engine did not execute the request.
NOT_EXECUTED = frozenset({"full", "stateless"})

NO_ANSWER = "none"  # the answer kind of a client attempt for which no answer is recorded
KILLED = "killed"  # the end status of an attempt whose engine was killed, or for which no end is recorded


@dataclass(slots=True)
class EngineAttemptRecord:
    """One attempt of a front at an engine, as the engine observed it. Times are in tenths of a millisecond.

    Attributes:
        request_id: the id that the front assigned to this attempt.
        engine: the engine's name.
        front: the front's name, or its address if the plan has no front with that address.
        stage: "read" (prefill), "write" (decode) or "knock" (a connection attempt to an engine that is down).
        arrived_at: when the first bytes of the request arrived.
        request_class: the name of its request class.
        client_attempt: the id of the client attempt that it serves.
        ended_at: when it ended; None if no end is recorded.
        end_status: how it ended, as recorded; empty if no end is recorded.
        ran: whether the engine began to execute it.
    """

    request_id: str
    engine: str
    front: str
    stage: str
    arrived_at: int
    request_class: str
    client_attempt: str
    ended_at: int | None = None
    end_status: str = ""
    ran: bool = False

    @property
    def is_decode(self) -> bool:
        """Whether it is a decode attempt, which produces the answer."""
        return self.stage == "write"

    @property
    def may_have_run(self) -> bool:
        """Whether the engine may have executed the request's effect in this attempt."""
        return self.is_decode and (self.ran or self.end_status not in NOT_EXECUTED)


@dataclass(slots=True)
class ClientAttemptRecord:
    """One attempt of a client, as the client observed it. Times are in tenths of a millisecond.

    Attributes:
        asked: the recorded event `asked`.
        sent_at: when the request had been sent completely; None if it never was.
        first_token_at: when the first token arrived; None if none did.
        stream_end: the recorded event `end` of a streamed answer; None if there is none.
        answer: the recorded event `answer`; None if there is none.
        has_trailing_data: whether data or a second answer followed the final answer.
        has_stream_gap: whether a token of the stream was missing or repeated.
        engine_attempts: the attempts that fronts made for it, in order of arrival.
    """

    asked: Event
    sent_at: int | None = None
    first_token_at: int | None = None
    stream_end: Event | None = None
    answer: Event | None = None
    has_trailing_data: bool = False
    has_stream_gap: bool = False
    engine_attempts: list[EngineAttemptRecord] = field(default_factory=list)

    @property
    def answer_kind(self) -> str:
        """The recorded kind of its answer; NO_ANSWER if it has none."""
        return str(self.answer["kind"]) if self.answer else NO_ANSWER

    @property
    def decode_attempts(self) -> list[EngineAttemptRecord]:
        """The decode attempts that fronts made for it, in order of arrival."""
        decodes = (attempt for attempt in self.engine_attempts if attempt.is_decode)
        return sorted(decodes, key=lambda attempt: attempt.arrived_at)


@dataclass(slots=True)
class History:
    """The events of a recording, grouped by what they concern. Times are in tenths of a millisecond.

    Attributes:
        plan: the scenario's plan.
        events: all events in order of time.
        tolerance: the delays of the recording that the audit tolerates.
        client_attempts: the clients' attempts by their id.
        engine_attempts: the fronts' attempts at engines by their request id.
        front_kills: the times at which a front was killed, by the front's name.
        engine_kills: the times at which an engine was killed or failed, by the engine's name.
        engine_starts: the `engine_up` events by the engine's name.
        list_updates: the `told` events, which are updates of the endpoint list, by the name of the front that
            received them.
        last_time: the time of the last event.
    """

    plan: ScenarioPlan
    events: list[Event]
    tolerance: AuditTolerance = SOCKET_TOLERANCE
    client_attempts: dict[str, ClientAttemptRecord] = field(default_factory=dict)
    engine_attempts: dict[str, EngineAttemptRecord] = field(default_factory=dict)
    front_kills: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_kills: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_starts: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    list_updates: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    last_time: int = 0

    def attempts_by_request(self) -> dict[str, list[ClientAttemptRecord]]:
        """Return the client attempts by the request that they belong to, in the order in which they began."""
        by_request: dict[str, list[ClientAttemptRecord]] = defaultdict(list)
        for attempt in self.client_attempts.values():
            by_request[attempt.asked["item"]].append(attempt)
        return by_request


def read_history(events: list[Event], tolerance: AuditTolerance = SOCKET_TOLERANCE) -> History:
    """Group the events of a recording into a history.

    Raises:
        UnreadableRecordingError: the recording has no valid plan, or an event lacks a field or refers to an
            attempt of which no earlier event records the beginning.
    """
    history = History(_plan_of(events), events, tolerance)
    reader = _HistoryReader(history)
    for number, event in enumerate(events, 1):
        try:
            reader.read(event)
        except KeyError as error:
            raise UnreadableRecordingError(
                f"event {number} ({event['what']}): missing field or unknown attempt {error}"
            ) from None
    history.last_time = max((event["t"] for event in events), default=0)
    return history


def _plan_of(events: list[Event]) -> ScenarioPlan:
    plan_event = next((event for event in events if event["what"] == "day"), None)
    if plan_event is None:
        raise UnreadableRecordingError("the recording has no event 'day', which holds the scenario's plan")
    try:
        return msgspec.convert(plan_event["plan"], ScenarioPlan)
    except (msgspec.ValidationError, KeyError) as error:
        raise UnreadableRecordingError(f"invalid event 'day' in the recording: {error}") from None


class _HistoryReader:
    """Adds the events of a recording to a history, one at a time and in their order."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.front_by_address = {front.source_address: front.name for front in history.plan.fronts}
        self.readers: dict[str, Callable[[Event], None]] = {
            "asked": self._read_asked,
            "sent": self._read_sent,
            "first": self._read_first,
            "end": self._read_end,
            "answer": self._read_answer,
            "extra": self._read_extra,
            "gap": self._read_gap,
            "arrived": self._read_arrived,
            "ended": self._read_ended,
            "ran": self._read_ran,
            "killed": self._read_killed,
            "fell": self._read_fell,
            "engine_up": self._read_engine_up,
            "told": self._read_told,
        }

    def read(self, event: Event) -> None:
        """Add one event; kinds of events that no rule uses are ignored.

        Raises:
            KeyError: the event lacks a field or refers to an unknown attempt.
        """
        read = self.readers.get(str(event["what"]))
        if read is not None:
            read(event)

    def _client_attempt(self, event: Event) -> ClientAttemptRecord:
        return self.history.client_attempts[event["try"]]

    def _engine_attempt(self, event: Event) -> EngineAttemptRecord:
        return self.history.engine_attempts[event["request"]]

    def _read_asked(self, event: Event) -> None:
        self.history.client_attempts[event["try"]] = ClientAttemptRecord(event)

    def _read_sent(self, event: Event) -> None:
        self._client_attempt(event).sent_at = event["t"]

    def _read_first(self, event: Event) -> None:
        self._client_attempt(event).first_token_at = event["t"]

    def _read_end(self, event: Event) -> None:
        self._client_attempt(event).stream_end = event

    def _read_answer(self, event: Event) -> None:
        attempt = self._client_attempt(event)
        if attempt.answer is not None:
            attempt.has_trailing_data = True
        else:
            attempt.answer = event

    def _read_extra(self, event: Event) -> None:
        self._client_attempt(event).has_trailing_data = True

    def _read_gap(self, event: Event) -> None:
        self._client_attempt(event).has_stream_gap = True

    def _read_arrived(self, event: Event) -> None:
        attempt = EngineAttemptRecord(
            request_id=event["request"],
            engine=event["engine"],
            front=self.front_by_address.get(event["peer"], str(event["peer"])),
            stage=event["stage"],
            arrived_at=event["head"],
            request_class=event["tariff"],
            client_attempt=event["try"],
        )
        self.history.engine_attempts[attempt.request_id] = attempt
        if attempt.client_attempt in self.history.client_attempts:
            self.history.client_attempts[attempt.client_attempt].engine_attempts.append(attempt)

    def _read_ended(self, event: Event) -> None:
        attempt = self._engine_attempt(event)
        attempt.ended_at = event["t"]
        attempt.end_status = event["how"]

    def _read_ran(self, event: Event) -> None:
        self._engine_attempt(event).ran = True

    def _read_killed(self, event: Event) -> None:
        if "front" in event:
            self.history.front_kills[event["front"]].append(event["t"])
        if "engine" in event:
            self.history.engine_kills[event["engine"]].append(event["t"])

    def _read_fell(self, event: Event) -> None:
        self.history.engine_kills[event["engine"]].append(event["t"])

    def _read_engine_up(self, event: Event) -> None:
        self.history.engine_starts[event["engine"]].append(event)

    def _read_told(self, event: Event) -> None:
        self.history.list_updates[event["front"]].append(event)
