"""Replays a front's recorded events on a new scheduler driver and compares its actions with those recorded.

The same events at the same times must bring the same actions, one by one and in their order.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from runspool.errors import RunspoolError
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, EndpointUpdate, EngineRecord, Request
from runspool.service.recording_format import RecordedAction, RecordedEvent, from_stored

EVENTS = frozenset(RecordedEvent)


class UnreadableEventsError(RunspoolError):
    """A file that cannot be replayed; the message names file and line."""


@dataclass(slots=True)
class ReplayResult:
    """How many events and actions were replayed, and the first difference, empty where there is none."""

    events: int = 0
    actions: int = 0
    differs: str = ""


class ActionRecorder:
    """Takes the scheduler driver's actions and lists them in their stored form, `[word, *values]`.

    It stands in for a front (`runspool.runtime.scheduler_driver.ActionHandler`) and carries nothing out.
    """

    def __init__(self) -> None:
        self.actions: deque[list[Any]] = deque()

    def _record(self, action: RecordedAction, *values: object) -> None:
        self.actions.append([action.value, *values])

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Record an attempt's start."""
        self._record(RecordedAction.START_ATTEMPT, request, engine, timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Record a rejection."""
        self._record(RecordedAction.REJECT, request, retry_after)

    def fail_indeterminate(self, request: int) -> None:
        """Record an indeterminate failure."""
        self._record(RecordedAction.FAIL_INDETERMINATE, request)

    def release_state(self, request: int) -> None:
        """Record a release of prefill state."""
        self._record(RecordedAction.RELEASE_STATE, request)

    def migrate_stream(self, request: int) -> None:
        """Record a stream's migration."""
        self._record(RecordedAction.MIGRATE_STREAM, request)

    def subscribe_to_endpoints(self) -> None:
        """Record a subscription."""
        self._record(RecordedAction.SUBSCRIBE)

    def set_timer(self, token: str, at: int) -> None:
        """Record a timer."""
        self._record(RecordedAction.SET_TIMER, token, at)

    def log_message(self, text: str) -> None:
        """Record a message."""
        self._record(RecordedAction.LOG_MESSAGE, text)

    def forget_request(self, request: int) -> None:
        """Record that a request is over."""
        self._record(RecordedAction.FORGET_REQUEST, request)


def replay(recording: Path) -> ReplayResult:
    """Replay a recording up to its end or the first difference.

    Raises UnreadableEventsError for a file that is no recording of events. A last line that was cut off when
    its front was killed is ignored.
    """
    replayer = _Replayer()
    lines = recording.read_bytes().split(b"\n")
    for number, raw in enumerate(lines, 1):
        if not raw:
            continue
        place = f"{recording}:{number}"
        try:
            at, word, *values = msgspec.json.decode(raw)
        except (msgspec.DecodeError, ValueError, TypeError) as error:
            if number >= len(lines) - 1:
                break
            raise UnreadableEventsError(f"{place}: {error}") from None
        if word in EVENTS:
            replayer.replay_event(place, at, word, values)
        else:
            replayer.compare_action(place, [word, *values])
        if replayer.result.differs:
            break
    return replayer.result


class _Replayer:
    """The state of one replay. `place` names the recording's file and line."""

    def __init__(self) -> None:
        self.result = ReplayResult()
        self.recorder = ActionRecorder()
        self.driver: SchedulerDriver | None = None

    def compare_action(self, place: str, recorded: list[Any]) -> None:
        """Compare a recorded action with the next one that the driver has asked for."""
        if not self.recorder.actions:
            word, *values = recorded
            self.result.differs = f"{place}: {word} {values} was asked then and is not now"
            return
        replayed = self.recorder.actions.popleft()
        if replayed != recorded:
            self.result.differs = f"{place}: {recorded} then, {replayed} now"
            return
        self.result.actions += 1

    def replay_event(self, place: str, at: int, word: str, values: list[Any]) -> None:
        """Pass an event to the driver, once every action of the event before has been compared."""
        if self.recorder.actions:
            self.result.differs = f"{place}: {self.recorder.actions[0]} is asked now and was not then"
            return
        self.result.events += 1
        try:
            if word == RecordedEvent.STARTED:
                settings = from_stored(values[1], RoutingSettings)
                self.driver = SchedulerDriver(settings, values[0], self.recorder, at)
            elif self.driver is None:
                raise UnreadableEventsError(f"{place}: {word} before start")
            else:
                _pass_event(self.driver, at, word, values)
        except (msgspec.ValidationError, IndexError) as error:
            raise UnreadableEventsError(f"{place}: {error}") from None


def _pass_event(driver: SchedulerDriver, at: int, word: str, values: list[Any]) -> None:
    match word:
        case RecordedEvent.SUBMITTED:
            driver.submit(at, from_stored(values[0], Request))
        case RecordedEvent.STREAM_STARTED:
            driver.stream_started(at, values[0], values[1], values[2])
        case RecordedEvent.ATTEMPT_ENDED:
            driver.attempt_ended(at, values[0], values[1], from_stored(values[2], AttemptOutcome), values[3])
        case RecordedEvent.CLIENT_DISCONNECTED:
            driver.client_disconnected(at, values[0])
        case RecordedEvent.ABANDONED:
            driver.abort_task(at, values[0])
        case RecordedEvent.TIMER_FIRED:
            driver.timer_fired(at, values[0])
        case RecordedEvent.ENDPOINTS_UPDATED:
            records = [from_stored(record, EngineRecord) for record in values[1]]
            driver.update_endpoints(at, EndpointUpdate(values[0], records))
        case RecordedEvent.SHUTDOWN_BEGUN:
            driver.begin_shutdown(at, values[0])
        case RecordedEvent.SUBSCRIPTION_LOST:
            driver.subscription_lost(at)
