"""Reads a recording into a history: its events sorted by client attempt, engine attempt, engine and front."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from runspool.lab.audit.tolerance import SOCKET_TOLERANCE, AuditTolerance
from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event, UnreadableRecordingError

# The words of recorded `ended` lines after which an engine certainly did not run the request.
NOT_EXECUTED = frozenset({"full", "stateless"})

NO_ANSWER = "none"  # the kind of answer of a client that got none
KILLED = "killed"  # the end status of an attempt whose engine was killed


@dataclass(slots=True)
class EngineAttemptRecord:
    """One attempt at serving a request, as its engine saw it. Times in tenths of a millisecond.

    Attributes:
        request_id: the id that the front gave this attempt.
        engine: the engine's name.
        front: the front's name, or its address where the plan does not know it.
        stage: "read" (prefill), "write" (decode) or "knock" (a connect to an engine that is down).
        arrived_at: when the request began to arrive.
        request_class: the name of its request class.
        client_attempt: the id of the client's attempt that it serves.
        ended_at: when it ended; None while it has not.
        end_status: the recorded word for how it ended.
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
        """Whether it asked for an answer, not only for a prefill."""
        return self.stage == "write"

    @property
    def may_have_run(self) -> bool:
        """Whether the request's effect may have happened here."""
        return self.is_decode and (self.ran or self.end_status not in NOT_EXECUTED)


@dataclass(slots=True)
class ClientAttemptRecord:
    """One attempt of a client, as the client saw it. Times in tenths of a millisecond.

    Attributes:
        asked: the recorded line `asked`.
        sent_at: when the request was sent whole.
        first_token_at: when the first token came.
        stream_end: the recorded line `end` of a streamed answer.
        answer: the recorded line `answer`.
        has_trailing_data: something came after the final answer, or a second answer.
        has_stream_gap: a token of the stream was missing or came twice.
        engine_attempts: the attempts that fronts made for it, in the order of their arrival.
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
        """The kind of its answer; "none" where it has no answer."""
        return str(self.answer["kind"]) if self.answer else NO_ANSWER

    @property
    def decode_attempts(self) -> list[EngineAttemptRecord]:
        """The attempts that asked for an answer, by time of arrival."""
        decodes = (attempt for attempt in self.engine_attempts if attempt.is_decode)
        return sorted(decodes, key=lambda attempt: attempt.arrived_at)


@dataclass(slots=True)
class History:
    """A recording, sorted by whom its events concern. Times in tenths of a millisecond.

    Attributes:
        plan: the scenario's plan.
        events: all events in order of time.
        tolerance: the delays that the audit allows for.
        client_attempts: by id.
        engine_attempts: by request id.
        front_kills: times at which a front was killed, by its name.
        engine_kills: times at which an engine was killed or went down by itself, by its name.
        engine_starts: the `engine_up` lines of an engine, by its name.
        list_updates: the `told` lines of a front (what the endpoint list told it), by its name.
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

    def requests(self) -> dict[str, list[ClientAttemptRecord]]:
        """Return the clients' attempts by the request that they repeat, each in the order asked."""
        by_request: dict[str, list[ClientAttemptRecord]] = defaultdict(list)
        for attempt in self.client_attempts.values():
            by_request[attempt.asked["item"]].append(attempt)
        return by_request


def read_history(events: list[Event], tolerance: AuditTolerance = SOCKET_TOLERANCE) -> History:
    """Sort the events of a recording into a history.

    Raises:
        UnreadableRecordingError: the recording has no plan, or an event names what was never introduced.
    """
    history = History(_plan_of(events), events, tolerance)
    reader = _HistoryReader(history)
    for number, event in enumerate(events, 1):
        try:
            reader.read(event)
        except KeyError as error:
            raise UnreadableRecordingError(f"event {number} ({event['what']}): no {error}") from None
    history.last_time = max((event["t"] for event in events), default=0)
    return history


def _plan_of(events: list[Event]) -> ScenarioPlan:
    day_line = next((event for event in events if event["what"] == "day"), None)
    if day_line is None:
        raise UnreadableRecordingError("the recording has no day line")
    try:
        return msgspec.convert(day_line["plan"], ScenarioPlan)
    except (msgspec.ValidationError, KeyError) as error:
        raise UnreadableRecordingError(f"its day line: {error}") from None


class _HistoryReader:
    """Adds events to a history, one after the other; a name that it does not know is a KeyError."""

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
        """Add one event; kinds that no rule needs are passed over."""
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
