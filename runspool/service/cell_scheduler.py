"""One cell at one front: its own desk, so that what one cell's trouble teaches is not held against another's.

It is its desk's outbox: writes the tape, knows which engines its cell has; the front carries out the rest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, EndpointUpdate, EngineRecord, EngineState, Request
from runspool.service.clock import now
from runspool.service.event_recorder import EventRecorder
from runspool.service.recording_format import Event, RecordedAction
from runspool.service.timer_queue import SchedulerTimer


class CellActionHandler(Protocol):
    """What the front does for a cell's desk."""

    def start_attempt(self, query: int, engine: int, cap: int) -> None: ...
    def reject(self, query: int, hold_off: int) -> None: ...
    def fail_indeterminate(self, query: int) -> None: ...
    def release_state(self, query: int) -> None: ...
    def migrate_stream(self, query: int) -> None: ...
    def set_timer(self, timer: SchedulerTimer, at: int) -> None: ...
    def log_message(self, text: str) -> None: ...
    def forget_request(self, query: int) -> None: ...


class CellScheduler:
    def __init__(
        self, name: str, terms: RoutingSettings, seed: int, front: CellActionHandler, tape: EventRecorder
    ) -> None:
        self.name = name
        self.front = front
        self.recorder = tape
        self.engines: dict[int, EngineRecord] = {}  # as last told, those that are on or draining
        self.queries = 0
        at = now()
        self.recorder.record(at, Event.STARTED, seed, terms)
        self.driver = SchedulerDriver(terms, seed, self, at)

    # News.

    def submit(self, query: Request) -> None:
        self.queries += 1
        self._news(Event.SUBMITTED, self.driver.submit, query)

    def stream_started(self, query: int, shot: int, took: int) -> None:
        self._news(Event.STREAM_STARTED, self.driver.stream_started, query, shot, took)

    def attempt_ended(self, query: int, shot: int, outcome: AttemptOutcome, over: bool) -> None:
        self._news(Event.ATTEMPT_ENDED, self.driver.attempt_ended, query, shot, outcome, over)

    def client_disconnected(self, query: int) -> None:
        self._news(Event.CLIENT_DISCONNECTED, self.driver.client_disconnected, query)

    def timer_fired(self, token: str) -> None:
        self._news(Event.TIMER_FIRED, self.driver.timer_fired, token)

    def abandon(self, query: int) -> None:
        """Ends a query whose decisions failed; nothing where there is none."""
        self._news(Event.ABANDONED, self.driver.abandon, query)

    def begin_shutdown(self, by: int) -> None:
        """The front is stopped on purpose, and may be killed after `by`."""
        self._news(Event.SHUTDOWN_BEGUN, self.driver.begin_shutdown, by)

    def subscription_lost(self) -> None:
        self._news(Event.SUBSCRIPTION_LOST, self.driver.subscription_lost)

    def update_engines(self, known: dict[int, EngineRecord]) -> None:
        """The engines that the cell has now; tells the desk what has changed."""
        changed = [line for engine, line in known.items() if self.engines.get(engine) != line]
        changed += [
            replace(line, state=EngineState.REMOVED)
            for engine, line in self.engines.items()
            if engine not in known
        ]
        if not changed:
            return
        self.engines = dict(known)
        at = now()
        self.recorder.record(at, Event.ENDPOINTS_UPDATED, False, changed)
        self.driver.update_endpoints(at, EndpointUpdate(False, changed))

    def _news(self, word: Event, tell: Callable[..., Any], *said: Any) -> None:
        at = now()
        self.recorder.record(at, word, *said)
        tell(at, *said)

    # What the desk asks for.

    def start_attempt(self, query: int, engine: int, cap: int) -> None:
        self.recorder.record(now(), RecordedAction.START_ATTEMPT, query, engine, cap)
        self.front.start_attempt(query, engine, cap)

    def reject(self, query: int, hold_off: int) -> None:
        self.recorder.record(now(), RecordedAction.REJECT, query, hold_off)
        self.front.reject(query, hold_off)

    def fail_indeterminate(self, query: int) -> None:
        self.recorder.record(now(), RecordedAction.FAIL_INDETERMINATE, query)
        self.front.fail_indeterminate(query)

    def release_state(self, query: int) -> None:
        self.recorder.record(now(), RecordedAction.RELEASE_STATE, query)
        self.front.release_state(query)

    def migrate_stream(self, query: int) -> None:
        self.recorder.record(now(), RecordedAction.MIGRATE_STREAM, query)
        self.front.migrate_stream(query)

    def subscribe_to_endpoints(self) -> None:
        self.recorder.record(now(), RecordedAction.SUBSCRIBE)

    def set_timer(self, token: str, at: int) -> None:
        self.recorder.record(now(), RecordedAction.SET_TIMER, token, at)
        self.front.set_timer(SchedulerTimer(self.name, token), at)

    def log_message(self, text: str) -> None:
        self.recorder.record(now(), RecordedAction.LOG_MESSAGE, text)
        self.front.log_message(text)

    def forget_request(self, query: int) -> None:
        self.recorder.record(now(), RecordedAction.FORGET_REQUEST, query)
        self.queries -= 1
        self.front.forget_request(query)
