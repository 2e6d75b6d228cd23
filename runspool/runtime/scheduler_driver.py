"""One front's desk: carries what happens to the decisions, and what they ask for to the outside."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from contextlib import contextmanager
from threading import get_ident
from typing import Protocol

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

BACKGROUND_TASK, SHUTDOWN_TASK = -1, -2


class ActionHandler(Protocol):
    """What the outside does for a front; queries and engines are the front's indices. A query's shots are
    numbered from 1 in the order of send(). None of these may call back into the desk."""

    def start_attempt(self, query: int, engine: int, cap: int) -> None: ...
    def reject(self, query: int, hold_off: int) -> None: ...
    def fail_indeterminate(self, query: int) -> None: ...
    def release_state(self, query: int) -> None: ...
    def migrate_stream(self, query: int) -> None: ...
    def subscribe_to_endpoints(self) -> None: ...
    def set_timer(self, token: str, at: int) -> None: ...
    def log_message(self, text: str) -> None: ...
    def forget_request(self, query: int) -> None: ...


class ReentrantCallError(RuntimeError):
    """The desk was called from another thread than its own, or from within one of its steps."""


class SchedulerTask:
    """A running generator and what it is waiting for."""

    __slots__ = ("listens", "out", "query", "shots", "steps", "waits")

    def __init__(self, query: Request | None, steps: Generator[Action, AttemptOutcome | None, None]) -> None:
        self.query = query
        self.steps = steps
        self.shots = 0
        self.out = False  # the last shot is
        self.listens = False  # and its answer has begun
        self.waits = 0


class SchedulerDriver:
    """News by query and number of the shot, from 1; those about a query or a shot that is over are passed
    over, whenever and however often they come. All calls come from one thread, none from within an outbox's
    call; Entered is raised otherwise, before anything is touched.
    """

    def __init__(self, terms: RoutingSettings, seed: int, outbox: ActionHandler, now: int) -> None:
        self.handler = outbox
        self.scheduler = Scheduler(terms, seed)
        self.tasks: dict[int, SchedulerTask] = {}
        self.thread = get_ident()
        self.inside = False
        with self._entered(now):
            self._watch()

    @contextmanager
    def _entered(self, now: int) -> Iterator[None]:
        # Predicted times, loads and streaming servers are changed in many places of one step: whoever came in
        # between, from another thread or by a call from within, would pick by half of it.
        if self.inside or get_ident() != self.thread:
            raise ReentrantCallError(
                "another step is under way" if self.inside else "not the desk's own thread"
            )
        self.inside = True
        self.scheduler.now = now
        try:
            yield
        finally:
            self.inside = False

    def update_endpoints(self, now: int, roster: EndpointUpdate) -> None:
        with self._entered(now):
            self.scheduler.update_endpoints(roster)

    def subscription_lost(self, now: int) -> None:
        with self._entered(now):
            self.scheduler.is_subscribed = False

    def submit(self, now: int, query: Request) -> None:
        with self._entered(now):
            if query.index in self.tasks:
                return  # told twice: the one under way stays
            errand = self.tasks[query.index] = SchedulerTask(query, self.scheduler.handle_request(query))
            self._step(query.index, errand, None)

    def stream_started(self, now: int, index: int, shot: int, took: int) -> None:
        with self._entered(now):
            errand = self._waiting(index, shot)
            if errand is not None and not errand.listens:
                errand.listens = True
                self._step(index, errand, AttemptOutcome(AttemptStatus.STREAM_STARTED, took))

    def attempt_ended(self, now: int, index: int, shot: int, outcome: AttemptOutcome, over: bool) -> None:
        with self._entered(now):
            errand = self._waiting(index, shot)
            if errand is None or errand.query is None:
                return
            errand.query.finished = errand.query.finished or over
            errand.out = errand.listens = False
            self._step(index, errand, outcome)

    def client_disconnected(self, now: int, index: int) -> None:
        with self._entered(now):
            errand = self.tasks.get(index)
            if errand is None or errand.query is None:
                return
            errand.query.finished = True
            if not errand.out:
                self._step(index, errand, None)

    def begin_shutdown(self, now: int, by: int) -> None:
        """The front is stopped on purpose, and may be killed after `by`."""
        with self._entered(now):
            errand = self.tasks[SHUTDOWN_TASK] = SchedulerTask(None, self.scheduler.run_shutdown(by))
            self._step(SHUTDOWN_TASK, errand, None)

    def abandon(self, now: int, index: int) -> bool:
        """Ends an errand whose decisions failed: what it holds is let go of. False where there is none."""
        with self._entered(now):
            errand = self.tasks.pop(index, None)
            if errand is None:
                return False
            errand.steps.close()
            if index == BACKGROUND_TASK:
                self._watch()
            elif errand.query is not None:
                self.handler.forget_request(index)
            return True

    def timer_fired(self, now: int, token: str) -> None:
        index, _, wait = token.partition(".")
        with self._entered(now):
            errand = self.tasks.get(int(index))
            # Timers cannot be taken back: one that belongs to an earlier wait is passed over.
            if errand is not None and int(wait) == errand.waits and not errand.out:
                self._step(int(index), errand, None)

    def _watch(self) -> None:
        watch = self.tasks[BACKGROUND_TASK] = SchedulerTask(None, self.scheduler.run_background_task())
        self._step(BACKGROUND_TASK, watch, None)

    def _waiting(self, index: int, shot: int) -> SchedulerTask | None:
        """The errand that waits for news of this shot."""
        errand = self.tasks.get(index)
        return errand if errand is not None and errand.out and errand.shots == shot else None

    def _step(self, index: int, errand: SchedulerTask, news: AttemptOutcome | None) -> None:
        out = self.handler
        errand.waits += 1
        while True:
            try:
                ask = errand.steps.send(news)
            except StopIteration:
                del self.tasks[index]
                if errand.query is not None:
                    out.forget_request(index)
                return
            news = None
            match ask:
                case StartAttempt(engine, cap):
                    errand.out = True
                    errand.shots += 1
                    out.start_attempt(index, engine, cap)
                    return
                case AwaitCompletion():
                    return
                case Sleep(until):
                    out.set_timer(f"{index}.{errand.waits}", max(until, self.scheduler.now + 1))
                    return
                case Reject(hold_off):
                    out.reject(index, hold_off)
                    self._over(errand)
                case FailIndeterminate():
                    out.fail_indeterminate(index)
                    self._over(errand)
                case ReleaseState():
                    out.release_state(index)
                case MigrateStream(query):
                    out.migrate_stream(query)
                case SubscribeToEndpoints():
                    out.subscribe_to_endpoints()
                case LogMessage(text):
                    out.log_message(text)

    @staticmethod
    def _over(errand: SchedulerTask) -> None:
        if errand.query is not None:
            errand.query.finished = True
