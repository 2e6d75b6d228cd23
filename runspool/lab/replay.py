"""Replay the recorded events of a front with a new scheduler driver, and compare the resulting actions.

The scheduler is deterministic: the same events at the same times must result in the same actions in the same
order.
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

EVENTS = frozenset(RecordedEvent)  # stored names of events; all other names are those of actions


class UnreadableEventsError(RunspoolError):
    """A file cannot be replayed; the message names the file and the line."""


@dataclass(slots=True)
class ReplayResult:
    """The number of replayed events and of identical actions, and the first difference.

    `first_difference` is empty if there is no difference.
    """

    events: int = 0
    actions: int = 0
    first_difference: str = ""


class ActionRecorder:
    """Collects the actions that a scheduler driver requests, in their stored form `[name, *values]`.

    It implements `runspool.runtime.scheduler_driver.ActionHandler` in place of a front, but carries out no
    action.
    """

    def __init__(self) -> None:
        self.actions: deque[list[Any]] = deque()

    def _record(self, action: RecordedAction, *values: object) -> None:
        self.actions.append([action.value, *values])

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Record the start of an attempt."""
        self._record(RecordedAction.START_ATTEMPT, request, engine, timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Record the rejection of a request."""
        self._record(RecordedAction.REJECT, request, retry_after)

    def fail_indeterminate(self, request: int) -> None:
        """Record the failure of a request that may have been executed."""
        self._record(RecordedAction.FAIL_INDETERMINATE, request)

    def release_state(self, request: int) -> None:
        """Record the release of a prefill state."""
        self._record(RecordedAction.RELEASE_STATE, request)

    def migrate_stream(self, request: int) -> None:
        """Record the migration of a stream."""
        self._record(RecordedAction.MIGRATE_STREAM, request)

    def subscribe_to_endpoints(self) -> None:
        """Record a subscription to the endpoint list."""
        self._record(RecordedAction.SUBSCRIBE)

    def set_timer(self, token: str, at: int) -> None:
        """Record that a timer is set."""
        self._record(RecordedAction.SET_TIMER, token, at)

    def log_message(self, text: str) -> None:
        """Record a log message."""
        self._record(RecordedAction.LOG_MESSAGE, text)

    def forget_request(self, request: int) -> None:
        """Record that the scheduler has forgotten a request."""
        self._record(RecordedAction.FORGET_REQUEST, request)


def replay(recording: Path) -> ReplayResult:
    """Replay a recording up to its end or to the first difference.

    A truncated last line is ignored, because it is left behind when a front is killed.

    Raises:
        UnreadableEventsError: the file is not a recording of events.
    """
    replayer = _Replayer()
    lines = recording.read_bytes().split(b"\n")
    for number, raw in enumerate(lines, 1):
        if not raw:
            continue
        location = f"{recording}:{number}"
        try:
            at, name, *values = msgspec.json.decode(raw)
        except (msgspec.DecodeError, ValueError, TypeError) as error:
            if number >= len(lines) - 1:
                break
            raise UnreadableEventsError(f"{location}: {error}") from None
        if name in EVENTS:
            replayer.replay_event(location, at, name, values)
        else:
            replayer.compare_action(location, [name, *values])
        if replayer.result.first_difference:
            break
    return replayer.result


class _Replayer:
    """The state of one replay. Arguments named `location` are the file and line for messages."""

    def __init__(self) -> None:
        self.result = ReplayResult()
        self.recorder = ActionRecorder()
        self.driver: SchedulerDriver | None = None

    def compare_action(self, location: str, recorded: list[Any]) -> None:
        """Compare a recorded action with the next action that the driver has requested."""
        if not self.recorder.actions:
            name, *values = recorded
            self.result.first_difference = (
                f"{location}: recorded action {name} {values}, but no replayed action"
            )
            return
        replayed = self.recorder.actions.popleft()
        if replayed != recorded:
            self.result.first_difference = (
                f"{location}: recorded action {recorded}, but replayed action {replayed}"
            )
            return
        self.result.actions += 1

    def replay_event(self, location: str, at: int, name: str, values: list[Any]) -> None:
        """Pass an event to the driver, provided that all actions of the previous event have been compared."""
        if self.recorder.actions:
            self.result.first_difference = (
                f"{location}: replayed action {self.recorder.actions[0]}, but no recorded action"
            )
            return
        self.result.events += 1
        try:
            if name == RecordedEvent.STARTED:
                settings = from_stored(values[1], RoutingSettings)
                self.driver = SchedulerDriver(settings, values[0], self.recorder, at)
            elif self.driver is None:
                raise UnreadableEventsError(f"{location}: event {name!r} before the event 'start'")
            else:
                _pass_event(self.driver, at, name, values)
        except (msgspec.ValidationError, IndexError) as error:
            raise UnreadableEventsError(f"{location}: {error}") from None


def _pass_event(driver: SchedulerDriver, at: int, name: str, values: list[Any]) -> None:
    """Call the method of the driver for an event of the type `name`."""
    match name:
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
