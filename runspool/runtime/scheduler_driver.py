"""Runs one scheduler: carries events to its generators, and the actions that they ask for to a handler.

Times are tenths of a millisecond. Requests and engines are named by their indices; a request's attempts are
numbered from 1, in the order of their start.
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

BACKGROUND_TASK = -1  # in place of a request index
SHUTDOWN_TASK = -2


class ActionHandler(Protocol):
    """What carries out the scheduler's actions; none of these may call back into the driver."""

    def start_attempt(self, request_index: int, engine: int, timeout: int) -> None:
        """Send a request to an engine; `timeout` 0 sets none but the client's deadline."""
        ...

    def reject(self, request_index: int, retry_after: int) -> None:
        """Give the final response: not executed; `retry_after` 0 says nothing of when to come back."""
        ...

    def fail_indeterminate(self, request_index: int) -> None:
        """Give the final response: it may have been executed, or no later try would go better."""
        ...

    def release_state(self, request_index: int) -> None:
        """Release the state of the request's prefill."""
        ...

    def migrate_stream(self, request_index: int) -> None:
        """Stop a stream, so that its client goes on with it elsewhere."""
        ...

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        ...

    def set_timer(self, token: str, at: int) -> None:
        """Call `timer_fired` with the token at that time; timers are never taken back."""
        ...

    def log_message(self, text: str) -> None:
        """Log a line."""
        ...

    def forget_request(self, request_index: int) -> None:
        """The scheduler is done with a request; nothing more is asked for it."""
        ...


class ReentrantCallError(RunspoolError, RuntimeError):
    """The driver was called from another thread than its own, or from within one of its steps."""


class SchedulerTask:
    """A running generator, what it is waiting for, and the request that it serves, if any."""

    __slots__ = ("attempt_in_progress", "attempts", "request", "steps", "stream_started", "wait_number")

    def __init__(
        self, request: Request | None, steps: Generator[Action, AttemptOutcome | None, None]
    ) -> None:
        self.request = request
        self.steps = steps
        self.attempts = 0
        self.attempt_in_progress = False
        self.stream_started = False
        self.wait_number = 0
        """Counts the task's waits; a timer belongs to one of them."""

    def finish_request(self) -> None:
        """Note that the client is owed nothing more."""
        if self.request is not None:
            self.request.finished = True


class SchedulerDriver:
    """Takes events by request index and attempt number, and steps the generators that wait for them.

    Events about a request or an attempt that is over are ignored, whenever and however often they come. All
    calls come from the thread that made the driver, none from within a call of the handler; otherwise
    `ReentrantCallError` is raised before anything is touched.
    """

    def __init__(self, settings: RoutingSettings, seed: int, handler: ActionHandler, now: int) -> None:
        """Start the scheduler's background task; `seed` starts its random draws."""
        self.handler = handler
        self.scheduler = Scheduler(settings, seed)
        self.tasks: dict[int, SchedulerTask] = {}
        self.thread = get_ident()
        self.is_stepping = False
        with self._entered(now):
            self._start_background_task()

    @contextmanager
    def _entered(self, now: int) -> Iterator[None]:
        # Predicted times, loads and active engines are changed in many places of one step: a call in between,
        # from another thread or from within, would decide by half of it.
        if self.is_stepping or get_ident() != self.thread:
            raise ReentrantCallError(
                "another step is under way" if self.is_stepping else "not the driver's own thread"
            )
        self.is_stepping = True
        self.scheduler.now = now
        try:
            yield
        finally:
            self.is_stepping = False

    def update_endpoints(self, now: int, update: EndpointUpdate) -> None:
        """Take a change of the endpoint list in."""
        with self._entered(now):
            self.scheduler.update_endpoints(update)

    def subscription_lost(self, now: int) -> None:
        """Have the background task subscribe to the endpoint list again."""
        with self._entered(now):
            self.scheduler.is_subscribed = False

    def submit(self, now: int, request: Request) -> None:
        """Start serving a request; one that is being served already goes on as it was."""
        with self._entered(now):
            if request.index in self.tasks:
                return
            task = SchedulerTask(request, self.scheduler.handle_request(request))
            self.tasks[request.index] = task
            self._step(request.index, task, None)

    def stream_started(self, now: int, request_index: int, attempt: int, duration: int) -> None:
        """An attempt's first token came, `duration` after its send."""
        with self._entered(now):
            task = self._task_awaiting(request_index, attempt)
            if task is not None and not task.stream_started:
                task.stream_started = True
                self._step(request_index, task, AttemptOutcome(AttemptStatus.STREAM_STARTED, duration))

    def attempt_ended(
        self, now: int, request_index: int, attempt: int, outcome: AttemptOutcome, is_final: bool
    ) -> None:
        """An attempt ended; `is_final` where the client is owed nothing more."""
        with self._entered(now):
            task = self._task_awaiting(request_index, attempt)
            if task is None or task.request is None:
                return
            task.request.finished = task.request.finished or is_final
            task.attempt_in_progress = task.stream_started = False
            self._step(request_index, task, outcome)

    def client_disconnected(self, now: int, request_index: int) -> None:
        """A request's client is gone; an attempt in progress still has to be reported as ended."""
        with self._entered(now):
            task = self.tasks.get(request_index)
            if task is None or task.request is None:
                return
            task.request.finished = True
            if not task.attempt_in_progress:
                self._step(request_index, task, None)

    def begin_shutdown(self, now: int, deadline: int) -> None:
        """The process is being stopped on purpose, and may be killed after `deadline`."""
        with self._entered(now):
            task = SchedulerTask(None, self.scheduler.run_shutdown(deadline))
            self.tasks[SHUTDOWN_TASK] = task
            self._step(SHUTDOWN_TASK, task, None)

    def abandon(self, now: int, request_index: int) -> bool:
        """End a task whose decisions failed, and take its request off the engines; False where there is none.

        The background task is started anew.
        """
        with self._entered(now):
            task = self.tasks.pop(request_index, None)
            if task is None:
                return False
            task.steps.close()
            if request_index == BACKGROUND_TASK:
                self._start_background_task()
            elif task.request is not None:
                self.handler.forget_request(request_index)
            return True

    def timer_fired(self, now: int, token: str) -> None:
        """A timer that the handler was asked for has come to its time."""
        request_index, _, wait_number = token.partition(".")
        with self._entered(now):
            task = self.tasks.get(int(request_index))
            # Timers cannot be taken back: one that belongs to an earlier wait is ignored.
            if task is not None and int(wait_number) == task.wait_number and not task.attempt_in_progress:
                self._step(int(request_index), task, None)

    def _start_background_task(self) -> None:
        task = SchedulerTask(None, self.scheduler.run_background_task())
        self.tasks[BACKGROUND_TASK] = task
        self._step(BACKGROUND_TASK, task, None)

    def _task_awaiting(self, request_index: int, attempt: int) -> SchedulerTask | None:
        """The task that waits for events of this attempt."""
        task = self.tasks.get(request_index)
        if task is None or not task.attempt_in_progress or task.attempts != attempt:
            return None
        return task

    def _step(self, request_index: int, task: SchedulerTask, outcome: AttemptOutcome | None) -> None:
        """Resume a task, and carry out its actions until it waits or ends."""
        task.wait_number += 1
        while True:
            try:
                action = task.steps.send(outcome)
            except StopIteration:
                del self.tasks[request_index]
                if task.request is not None:
                    self.handler.forget_request(request_index)
                return
            outcome = None
            if self._perform(request_index, task, action):
                return

    def _perform(self, request_index: int, task: SchedulerTask, action: Action) -> bool:
        """Carry out an action; True where the task now waits for an event."""
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
