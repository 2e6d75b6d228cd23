"""One cell's scheduler at one front, with the recording of what it is told and what it asks for.

Each cell has a scheduler of its own, so that trouble in one cell does not count against another's engines.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, EndpointUpdate, EngineRecord, EngineState, Request
from runspool.service.clock import now
from runspool.service.event_recorder import EventRecorder
from runspool.service.recording_format import Event, RecordedAction
from runspool.service.timer_queue import SchedulerTimer


class CellActionHandler(Protocol):
    """Carries out the actions of cells' schedulers.

    Requests and engines are given by index, times in tenths of a millisecond.
    """

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Starts an attempt; `timeout` is 0 for none of its own."""

    def reject(self, request: int, retry_after: int) -> None:
        """Answers that the request has not run."""

    def fail_indeterminate(self, request: int) -> None:
        """Answers that the request may or may not have run."""

    def release_state(self, request: int) -> None:
        """Begins to release the request's prefill state."""

    def migrate_stream(self, request: int) -> None:
        """Ends a running stream, so that its client comes again for the rest."""

    def set_timer(self, timer: SchedulerTimer, at: int) -> None:
        """Has the timer fire at `at`."""

    def log_message(self, text: str) -> None:
        """Logs what the scheduler has to say."""

    def forget_request(self, request: int) -> None:
        """Forgets a request that the scheduler is done with."""


class CellScheduler:
    """Drives one cell's scheduler: passes events on to it and its actions on to a handler.

    Everything is recorded before it is passed on. Requests and engines are given by index, times in tenths of
    a millisecond.
    """

    def __init__(
        self,
        name: str,
        settings: RoutingSettings,
        seed: int,
        handler: CellActionHandler,
        recorder: EventRecorder,
    ) -> None:
        self.name = name
        self.handler = handler
        self.recorder = recorder
        self.engines: dict[int, EngineRecord] = {}  # as last told to the scheduler, without REMOVED ones
        self.open_requests = 0
        at = now()
        self.recorder.record(at, Event.STARTED, seed, settings)
        self.driver = SchedulerDriver(settings, seed, self, at)

    # Events.

    def submit(self, request: Request) -> None:
        """Hands a new request to the scheduler."""
        self.open_requests += 1
        self._notify(Event.SUBMITTED, self.driver.submit, request)

    def stream_started(self, request: int, attempt: int, duration: int) -> None:
        """An attempt's first token has come, `duration` after it was sent."""
        self._notify(Event.STREAM_STARTED, self.driver.stream_started, request, attempt, duration)

    def attempt_ended(self, request: int, attempt: int, outcome: AttemptOutcome, is_final: bool) -> None:
        """An attempt has ended; with `is_final` the request has its response."""
        self._notify(Event.ATTEMPT_ENDED, self.driver.attempt_ended, request, attempt, outcome, is_final)

    def client_disconnected(self, request: int) -> None:
        """Nobody waits for the request's response any more."""
        self._notify(Event.CLIENT_DISCONNECTED, self.driver.client_disconnected, request)

    def timer_fired(self, token: str) -> None:
        """The time has come for which the scheduler set the timer with this token."""
        self._notify(Event.TIMER_FIRED, self.driver.timer_fired, token)

    def abandon(self, request: int) -> None:
        """Ends a request at which the scheduler failed; nothing where there is none."""
        self._notify(Event.ABANDONED, self.driver.abandon, request)

    def begin_shutdown(self, by: int) -> None:
        """The front is being stopped on purpose, and may be killed after `by`."""
        self._notify(Event.SHUTDOWN_BEGUN, self.driver.begin_shutdown, by)

    def subscription_lost(self) -> None:
        """The endpoint list's updates have stopped coming."""
        self._notify(Event.SUBSCRIPTION_LOST, self.driver.subscription_lost)

    def update_engines(self, known: dict[int, EngineRecord]) -> None:
        """Tells the scheduler what has changed, where `known` are the engines that the cell has now."""
        changed = [record for engine, record in known.items() if self.engines.get(engine) != record]
        changed += [
            replace(record, state=EngineState.REMOVED)
            for engine, record in self.engines.items()
            if engine not in known
        ]
        if not changed:
            return
        self.engines = dict(known)
        at = now()
        self.recorder.record(at, Event.ENDPOINTS_UPDATED, False, changed)
        self.driver.update_endpoints(at, EndpointUpdate(False, changed))

    def _notify(self, event: Event, deliver: Callable[..., object], *details: object) -> None:
        at = now()
        self.recorder.record(at, event, *details)
        deliver(at, *details)

    # Actions, as the driver asks for them.

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Starts an attempt; `timeout` is 0 for none of its own."""
        self.recorder.record(now(), RecordedAction.START_ATTEMPT, request, engine, timeout)
        self.handler.start_attempt(request, engine, timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Answers that the request has not run."""
        self.recorder.record(now(), RecordedAction.REJECT, request, retry_after)
        self.handler.reject(request, retry_after)

    def fail_indeterminate(self, request: int) -> None:
        """Answers that the request may or may not have run."""
        self.recorder.record(now(), RecordedAction.FAIL_INDETERMINATE, request)
        self.handler.fail_indeterminate(request)

    def release_state(self, request: int) -> None:
        """Begins to release the request's prefill state."""
        self.recorder.record(now(), RecordedAction.RELEASE_STATE, request)
        self.handler.release_state(request)

    def migrate_stream(self, request: int) -> None:
        """Ends a running stream, so that its client comes again for the rest."""
        self.recorder.record(now(), RecordedAction.MIGRATE_STREAM, request)
        self.handler.migrate_stream(request)

    def subscribe_to_endpoints(self) -> None:
        """Only records it: a front follows the endpoint list on its own."""
        self.recorder.record(now(), RecordedAction.SUBSCRIBE)

    def set_timer(self, token: str, at: int) -> None:
        """Has `timer_fired` called with the token at `at`."""
        self.recorder.record(now(), RecordedAction.SET_TIMER, token, at)
        self.handler.set_timer(SchedulerTimer(self.name, token), at)

    def log_message(self, text: str) -> None:
        """Logs what the scheduler has to say."""
        self.recorder.record(now(), RecordedAction.LOG_MESSAGE, text)
        self.handler.log_message(text)

    def forget_request(self, request: int) -> None:
        """The scheduler is done with the request."""
        self.recorder.record(now(), RecordedAction.FORGET_REQUEST, request)
        self.open_requests -= 1
        self.handler.forget_request(request)
