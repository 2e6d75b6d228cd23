"""The scheduler of one cell at one front, with a recording of its events and actions.

Each cell has its own scheduler, so that failures in one cell do not count against the engines of another.
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
from runspool.service.recording_format import RecordedAction, RecordedEvent
from runspool.service.timer_queue import SchedulerTimer


class CellActionHandler(Protocol):
    """Carries out the actions of the cells' schedulers.

    Requests and engines are identified by their indices; times are in tenths of a millisecond.
    """

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Start an attempt; `timeout` is the time until its first token, 0 if only the deadline applies."""

    def reject(self, request: int, retry_after: int) -> None:
        """Respond that the request was not executed."""

    def fail_indeterminate(self, request: int) -> None:
        """Respond that the request may or may not have been executed."""

    def release_state(self, request: int) -> None:
        """Start the release of the request's prefill state."""

    def migrate_stream(self, request: int) -> None:
        """End a running stream so that its client requests the remainder again."""

    def set_timer(self, timer: SchedulerTimer, at: int) -> None:
        """Schedule the timer to fire at `at`."""

    def log_message(self, text: str) -> None:
        """Log a message of the scheduler."""

    def forget_request(self, request: int) -> None:
        """Discard a request that the scheduler has finished."""


class CellScheduler:
    """Passes events to one cell's scheduler and the scheduler's actions to a handler.

    Events and actions are recorded before they are passed on. Requests and engines are identified by their
    indices; times are in tenths of a millisecond. `engines` holds the records that the scheduler was last
    given, without removed engines.
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
        self.engines: dict[int, EngineRecord] = {}
        self.open_requests = 0
        at = now()
        self.recorder.record(at, RecordedEvent.STARTED, seed, settings)
        self.driver = SchedulerDriver(settings, seed, self, at)

    # Events.

    def submit(self, request: Request) -> None:
        """Submit a new request to the scheduler."""
        self.open_requests += 1
        self._notify(RecordedEvent.SUBMITTED, self.driver.submit, request)

    def stream_started(self, request: int, attempt: int, duration: int) -> None:
        """Report that an attempt's first token was received `duration` after the attempt was started."""
        self._notify(RecordedEvent.STREAM_STARTED, self.driver.stream_started, request, attempt, duration)

    def attempt_ended(self, request: int, attempt: int, outcome: AttemptOutcome, is_final: bool) -> None:
        """Report the outcome of an attempt; `is_final` means that the request has its final response."""
        self._notify(
            RecordedEvent.ATTEMPT_ENDED, self.driver.attempt_ended, request, attempt, outcome, is_final
        )

    def client_disconnected(self, request: int) -> None:
        """Report that no client waits for the request's response any more."""
        self._notify(RecordedEvent.CLIENT_DISCONNECTED, self.driver.client_disconnected, request)

    def timer_fired(self, token: str) -> None:
        """Report that the timer which the scheduler set with this token has expired."""
        self._notify(RecordedEvent.TIMER_FIRED, self.driver.timer_fired, token)

    def abandon(self, request: int) -> None:
        """Drop a request on which the scheduler raised an exception; do nothing if it is unknown."""
        self._notify(RecordedEvent.ABANDONED, self.driver.abort_task, request)

    def begin_shutdown(self, by: int) -> None:
        """Report that the front is shutting down and may be killed after the time `by`."""
        self._notify(RecordedEvent.SHUTDOWN_BEGUN, self.driver.begin_shutdown, by)

    def subscription_lost(self) -> None:
        """Report that the subscription to endpoint list updates was lost."""
        self._notify(RecordedEvent.SUBSCRIPTION_LOST, self.driver.subscription_lost)

    def update_engines(self, known: dict[int, EngineRecord]) -> None:
        """Send the scheduler the differences between `known`, the cell's current engines, and its own state.

        `known` is keyed by engine index. Engines that are missing from it are reported as REMOVED.
        """
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
        self.recorder.record(at, RecordedEvent.ENDPOINTS_UPDATED, False, changed)
        self.driver.update_endpoints(at, EndpointUpdate(False, changed))

    def _notify(self, event: RecordedEvent, deliver: Callable[..., object], *details: object) -> None:
        at = now()
        self.recorder.record(at, event, *details)
        deliver(at, *details)

    # Actions that the scheduler driver requests.

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Start an attempt; `timeout` is the time until its first token, 0 if only the deadline applies."""
        self.recorder.record(now(), RecordedAction.START_ATTEMPT, request, engine, timeout)
        self.handler.start_attempt(request, engine, timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Respond that the request was not executed."""
        self.recorder.record(now(), RecordedAction.REJECT, request, retry_after)
        self.handler.reject(request, retry_after)

    def fail_indeterminate(self, request: int) -> None:
        """Respond that the request may or may not have been executed."""
        self.recorder.record(now(), RecordedAction.FAIL_INDETERMINATE, request)
        self.handler.fail_indeterminate(request)

    def release_state(self, request: int) -> None:
        """Start the release of the request's prefill state."""
        self.recorder.record(now(), RecordedAction.RELEASE_STATE, request)
        self.handler.release_state(request)

    def migrate_stream(self, request: int) -> None:
        """End a running stream so that its client requests the remainder again."""
        self.recorder.record(now(), RecordedAction.MIGRATE_STREAM, request)
        self.handler.migrate_stream(request)

    def subscribe_to_endpoints(self) -> None:
        """Record the action only; the front watches the endpoint list independently of its schedulers."""
        self.recorder.record(now(), RecordedAction.SUBSCRIBE)

    def set_timer(self, token: str, at: int) -> None:
        """Schedule a call of `timer_fired` with the token at `at`."""
        self.recorder.record(now(), RecordedAction.SET_TIMER, token, at)
        self.handler.set_timer(SchedulerTimer(self.name, token), at)

    def log_message(self, text: str) -> None:
        """Log a message of the scheduler."""
        self.recorder.record(now(), RecordedAction.LOG_MESSAGE, text)
        self.handler.log_message(text)

    def forget_request(self, request: int) -> None:
        """Discard a request that the scheduler has finished."""
        self.recorder.record(now(), RecordedAction.FORGET_REQUEST, request)
        self.open_requests -= 1
        self.handler.forget_request(request)
