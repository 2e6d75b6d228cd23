"""Driver of one scheduler: it passes events to the scheduler's generators and their actions to a handler.

Times are tenths of a millisecond. Requests and engines are identified by their indices. The attempts of a
request are numbered from 1 in the order of their start.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator
from contextlib import contextmanager
from threading import get_ident
from typing import Protocol

from runspool.errors import RunspoolError
from runspool.scheduling.actions import (
    Action,
    AwaitCompletion,
    FailIndeterminate,
    LogMessage,
    MigrateStream,
    Reject,
    ReleaseState,
    Sleep,
    StartAttempt,
    SubscribeToEndpoints,
)
from runspool.scheduling.scheduler import Scheduler
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, AttemptStatus, EndpointUpdate, Request

BACKGROUND_TASK = -1  # key of the background task, in place of a request index
SHUTDOWN_TASK = -2  # key of the shutdown task, in place of a request index


class ActionHandler(Protocol):
    """Carries out the scheduler's actions; no method may call back into the driver."""

    def start_attempt(self, request_index: int, engine: int, timeout: int) -> None:
        """Send a request to an engine; with `timeout` 0 only the client's deadline applies."""
        ...

    def reject(self, request_index: int, retry_after: int) -> None:
        """Send the final response that the request was not executed; `retry_after` 0 names no retry time."""
        ...

    def fail_indeterminate(self, request_index: int) -> None:
        """Send the final response that the request may have been executed, or that a retry would fail too."""
        ...

    def release_state(self, request_index: int) -> None:
        """Release the state of the request's prefill."""
        ...

    def migrate_stream(self, request_index: int) -> None:
        """Stop a stream, so that its client resumes it on another engine."""
        ...

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        ...

    def set_timer(self, token: str, at: int) -> None:
        """Call `timer_fired` with the token at the time `at`. Timers are never cancelled."""
        ...

    def log_message(self, text: str) -> None:
        """Write a line to the log."""
        ...

    def forget_request(self, request_index: int) -> None:
        """Drop a request that the scheduler has finished; no further action refers to it."""
        ...


class ReentrantCallError(RunspoolError, RuntimeError):
    """The driver was called from another thread than its own, or from within one of its steps."""


class SchedulerTask:
    """A running generator, the event that it waits for, and the request that it serves, if any."""

    __slots__ = (
        "attempt_in_progress",
        "attempts",
        "request",
        "running_generator",
        "stream_started",
        "wait_number",
    )

    def __init__(
        self, request: Request | None, running_generator: Generator[Action, AttemptOutcome | None, None]
    ) -> None:
        self.request = request
        self.running_generator = running_generator
        self.attempts = 0
        self.attempt_in_progress = False
        self.stream_started = False
        self.wait_number = 0
        """Number of the task's waits so far; each timer belongs to one of them."""

    def finish_request(self) -> None:
        """Record that the client gets no further response."""
        if self.request is not None:
            self.request.finished = True


class SchedulerDriver:
    """Passes events, by request index and attempt number, to the generators that wait for them.

    An event about a request or attempt that has ended is ignored, whenever and however often it arrives. All
    calls have to come from the thread that created the driver, and none from within a call of the handler.
    Otherwise `ReentrantCallError` is raised before any state is changed.
    """

    def __init__(self, settings: RoutingSettings, seed: int, handler: ActionHandler, now: int) -> None:
        """Create the scheduler and start its background task; `seed` seeds its random draws."""
        self.handler = handler
        self.scheduler = Scheduler(settings, seed)
        self.tasks: dict[int, SchedulerTask] = {}
        self.thread = get_ident()
        self.is_stepping = False
        with self._step_at(now):
            self._start_background_task()

    @contextmanager
    def _step_at(self, now: int) -> Iterator[None]:
        # One step changes predicted times, loads and active engines in many places. A call in the middle of
        # it, from another thread or from within the step, would decide on inconsistent state.
        """Set the scheduler's clock and mark a step as in progress.

        Raises:
            ReentrantCallError: A step is in progress, or the caller is not the driver's thread.
        """
        if self.is_stepping or get_ident() != self.thread:
            raise ReentrantCallError(
                "called while another step is in progress"
                if self.is_stepping
                else "called from a thread that does not own the driver"
            )
        self.is_stepping = True
        self.scheduler.now = now
        try:
            yield
        finally:
            self.is_stepping = False

    def update_endpoints(self, now: int, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list."""
        with self._step_at(now):
            self.scheduler.update_endpoints(update)

    def subscription_lost(self, now: int) -> None:
        """Make the background task subscribe to the endpoint list again."""
        with self._step_at(now):
            self.scheduler.is_subscribed = False

    def submit(self, now: int, request: Request) -> None:
        """Start to serve a request; do nothing if it is being served already."""
        with self._step_at(now):
            if request.index in self.tasks:
                return
            task = SchedulerTask(request, self.scheduler.handle_request(request))
            self.tasks[request.index] = task
            self._step(request.index, task, None)

    def stream_started(self, now: int, request_index: int, attempt: int, duration: int) -> None:
        """Report the first token of an attempt, which came `duration` after the attempt was sent."""
        with self._step_at(now):
            task = self._task_awaiting(request_index, attempt)
            if task is not None and not task.stream_started:
                task.stream_started = True
                self._step(request_index, task, AttemptOutcome(AttemptStatus.STREAM_STARTED, duration))

    def attempt_ended(
        self, now: int, request_index: int, attempt: int, outcome: AttemptOutcome, is_final: bool
    ) -> None:
        """Report the end of an attempt; `is_final` says that the client gets no further response."""
        with self._step_at(now):
            task = self._task_awaiting(request_index, attempt)
            if task is None or task.request is None:
                return
            task.request.finished = task.request.finished or is_final
            task.attempt_in_progress = task.stream_started = False
            self._step(request_index, task, outcome)

    def client_disconnected(self, now: int, request_index: int) -> None:
        """Report that a request's client disconnected.

        If an attempt is in progress, its end is still to be reported.
        """
        with self._step_at(now):
            task = self.tasks.get(request_index)
            if task is None or task.request is None:
                return
            task.request.finished = True
            if not task.attempt_in_progress:
                self._step(request_index, task, None)

    def begin_shutdown(self, now: int, deadline: int) -> None:
        """Start the shutdown task; the process may be killed at `deadline`."""
        with self._step_at(now):
            task = SchedulerTask(None, self.scheduler.run_shutdown(deadline))
            self.tasks[SHUTDOWN_TASK] = task
            self._step(SHUTDOWN_TASK, task, None)

    def abort_task(self, now: int, request_index: int) -> bool:
        """End a task whose generator raised an error, and remove its request from the engines.

        If it is the background task, a new one is started. Return False if there is no such task.
        """
        with self._step_at(now):
            task = self.tasks.pop(request_index, None)
            if task is None:
                return False
            task.running_generator.close()
            if request_index == BACKGROUND_TASK:
                self._start_background_task()
            elif task.request is not None:
                self.handler.forget_request(request_index)
            return True

    def timer_fired(self, now: int, token: str) -> None:
        """Report that a timer which the handler was asked to set has expired."""
        request_index, _, wait_number = token.partition(".")
        with self._step_at(now):
            task = self.tasks.get(int(request_index))
            # A timer of an earlier wait is ignored, since timers cannot be cancelled.
            if task is not None and int(wait_number) == task.wait_number and not task.attempt_in_progress:
                self._step(int(request_index), task, None)

    def _start_background_task(self) -> None:
        task = SchedulerTask(None, self.scheduler.run_background_task())
        self.tasks[BACKGROUND_TASK] = task
        self._step(BACKGROUND_TASK, task, None)

    def _task_awaiting(self, request_index: int, attempt: int) -> SchedulerTask | None:
        """Return the task that waits for events of this attempt, or None."""
        task = self.tasks.get(request_index)
        if task is None or not task.attempt_in_progress or task.attempts != attempt:
            return None
        return task

    def _step(self, request_index: int, task: SchedulerTask, outcome: AttemptOutcome | None) -> None:
        """Resume a task, and carry out its actions until it waits or ends."""
        task.wait_number += 1
        while True:
            try:
                action = task.running_generator.send(outcome)
            except StopIteration:
                del self.tasks[request_index]
                if task.request is not None:
                    self.handler.forget_request(request_index)
                return
            outcome = None
            if self._perform(request_index, task, action):
                return

    def _perform(self, request_index: int, task: SchedulerTask, action: Action) -> bool:
        """Carry out an action; return True if the task now waits for an event."""
        handler = self.handler
        match action:
            case StartAttempt(engine, timeout):
                task.attempt_in_progress = True
                task.attempts += 1
                handler.start_attempt(request_index, engine, timeout)
                return True
            case AwaitCompletion():
                return True
            case Sleep(until):
                token = f"{request_index}.{task.wait_number}"
                handler.set_timer(token, max(until, self.scheduler.now + 1))
                return True
            case Reject(retry_after):
                handler.reject(request_index, retry_after)
                task.finish_request()
            case FailIndeterminate():
                handler.fail_indeterminate(request_index)
                task.finish_request()
            case ReleaseState():
                handler.release_state(request_index)
            case MigrateStream(stream):
                handler.migrate_stream(stream)
            case SubscribeToEndpoints():
                handler.subscribe_to_endpoints()
            case LogMessage(text):
                handler.log_message(text)
        return False
