"""The scheduler's driver with notifications in any order: repeated, late, or for requests that have ended.

After each step the scheduler's accounting must equal a recount, and at the end it must be empty.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from threading import Thread

import pytest

from runspool.runtime.scheduler_driver import BACKGROUND_TASK, ReentrantCallError
from runspool.scheduling import attempt_accounting
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    DeduplicationScope,
    EngineState,
    Idempotency,
    Request,
)
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings

# Values from which random notifications are drawn; the frequent ones are listed several times.
PREFILL_STATUSES = [AttemptStatus.PREFILL_COMPLETE] * 6 + [
    AttemptStatus.OVERLOADED,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.CANCELLED,
]
DECODE_STATUSES = [AttemptStatus.SUCCEEDED] * 3 + [
    AttemptStatus.OVERLOADED,
    AttemptStatus.STATE_MISSING,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.CANCELLED,
]
ENGINE_STATES = [EngineState.READY, EngineState.READY, EngineState.DRAINING, EngineState.REMOVED]
ENGINE_TYPES = [PREFILL, PREFILL, MIXED, MIXED, DECODE]

RANDOM_STEPS = 2_000
STEPS_WITH_NEW_REQUESTS = 1_600

# The attributes of an engine in which the scheduler accounts for its attempts.
ACCOUNTS = ("prefills", "waiting_decodes", "streams", "prefill_tokens", "stream_tokens")


def leaked_accounts(host: FakeSchedulerHost) -> list[tuple[int, str, object]]:
    """Return what the driver and the scheduler still hold for requests: engine or -1, name and value."""
    scheduler = host.driver.scheduler
    leaks: list[tuple[int, str, object]] = [(-1, "prefill queue", place) for place in scheduler.prefill_queue]
    leaks += [(-1, "task", index) for index in host.driver.tasks if index != BACKGROUND_TASK]
    for engine in scheduler.engines.values():
        for name in ACCOUNTS:
            if value := getattr(engine, name):
                leaks.append((engine.id, name, value))
    return leaks


@dataclass
class AttemptInProgress:
    """An attempt that the host has started but not yet ended."""

    number: int
    engine: int
    has_stream: bool = False


class Recount:
    """The attempts in progress, derived only from the attempts started and the notifications sent."""

    def __init__(self, host: FakeSchedulerHost) -> None:
        self.host = host
        self.counted = 0
        self.attempt_counts: Counter[int] = Counter()
        self.in_progress: dict[int, AttemptInProgress] = {}  # by request

    def add_new_attempts(self) -> None:
        """Add the attempts that the scheduler has started since the last call."""
        for attempt in self.host.attempts[self.counted :]:
            self.attempt_counts[attempt.request] += 1
            number = self.attempt_counts[attempt.request]
            self.in_progress[attempt.request] = AttemptInProgress(number, attempt.engine)
        self.counted = len(self.host.attempts)

    def check(self) -> None:
        """Compare the scheduler's accounting with the recount."""
        for engine in self.host.driver.scheduler.engines.values():
            self._check_engine(engine)
        queued = [request for _, _, request in self.host.driver.scheduler.prefill_queue]
        assert len(queued) == len(set(queued))
        assert all(
            request in self.host.driver.tasks and request not in self.in_progress for request in queued
        )

    def _check_engine(self, engine: Engine) -> None:
        attempts = {
            request: attempt for request, attempt in self.in_progress.items() if attempt.engine == engine.id
        }
        without_stream = {request for request, attempt in attempts.items() if not attempt.has_stream}
        engine_type = self.host.engine_records[engine.id].engine_type
        assert set(engine.streams) == (set() if engine_type == PREFILL else set(attempts))
        assert set(engine.waiting_decodes) == {
            request for request in engine.streams if request in without_stream
        }
        assert set(engine.prefills) <= without_stream
        assert engine_type != PREFILL or set(engine.prefills) == set(attempts)
        assert engine.prefill_tokens == sum(tokens for _, tokens, _ in engine.prefills.values())
        assert engine.stream_tokens == sum(engine.streams.values())


class RandomNotifications:
    """Sends random requests and notifications to a driver, many repeated, late or for ended requests."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        idempotency = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.AT_MOST_ONCE][seed % 3]
        settings = routing_settings(idempotency, DeduplicationScope.RACK)
        self.host = FakeSchedulerHost(ENGINE_TYPES, settings)
        self.host.driver.scheduler.random = self.random.random
        self.recount = Recount(self.host)
        self.ended: list[tuple[int, int, AttemptStatus]] = []  # request, attempt, status

    def run(self) -> FakeSchedulerHost:
        """Run all steps and check the accounting after each; then end all attempts and advance the clock."""
        for step in range(RANDOM_STEPS):
            self._step(step)
            self.recount.add_new_attempts()
            self.recount.check()
        for request, attempt in sorted(self.recount.in_progress.items(), key=lambda item: item[0]):
            self.host.driver.client_disconnected(self.host.now, request)
            self.host.end_attempt(
                request, AttemptStatus.CANCELLED, attempt.has_stream, attempt=attempt.number
            )
        self.host.advance(60 * SECOND)
        return self.host

    def _step(self, step: int) -> None:
        host, random = self.host, self.random
        kind = random.random()
        if kind < 0.25 and step < STEPS_WITH_NEW_REQUESTS:
            host.submit(
                random.randrange(100, 6_000), random.choice([SECOND, 4 * SECOND]), random.randrange(20)
            )
        elif kind < 0.35:
            # Some of these durations are long enough that estimates of congestion decay.
            host.advance(random.randrange(1, 800) * random.choice([1, 1, 1, 20]))
        elif kind < 0.40 and host.driver.tasks.keys() - {BACKGROUND_TASK}:
            request = random.choice(sorted(host.driver.tasks.keys() - {BACKGROUND_TASK}))
            host.driver.client_disconnected(host.now, request)
        elif kind < 0.50 and self.ended:
            request, attempt, status = random.choice(self.ended)
            host.end_attempt(request, status, attempt=attempt)
            host.start_stream(request, attempt=attempt)
        elif kind < 0.53:
            host.update_engine(random.randrange(5), random.choice(ENGINE_STATES))
        elif self.recount.in_progress:
            self._progress_an_attempt()

    def _progress_an_attempt(self) -> None:
        """Start the stream of an attempt in progress, with a repeated notification, or end the attempt."""
        request = self.random.choice(sorted(self.recount.in_progress))
        attempt = self.recount.in_progress[request]
        is_prefill = self.host.engine_records[attempt.engine].engine_type == PREFILL
        if not is_prefill and not attempt.has_stream and self.random.random() < 0.6:
            self.host.start_stream(request, attempt=attempt.number)
            self.host.start_stream(request, attempt=attempt.number)
            attempt.has_stream = True
            return
        status = self.random.choice(PREFILL_STATUSES if is_prefill else DECODE_STATUSES)
        finished = attempt.has_stream or status is AttemptStatus.SUCCEEDED
        del self.recount.in_progress[request]
        self.ended.append((request, attempt.number, status))
        self.host.end_attempt(request, status, finished, attempt=attempt.number)


@pytest.mark.parametrize("seed", range(12))
def test_accounting_equals_a_recount_after_each_step_and_is_empty_at_the_end(seed: int) -> None:
    host = RandomNotifications(seed).run()
    assert leaked_accounts(host) == []
    for request in range(1, host.submitted_count + 1):
        actions = host.actions_of(request)
        assert actions.count("reject") + actions.count("fail_indeterminate") <= 1
        after_rejection = actions[actions.index("reject") + 1 :] if "reject" in actions else []
        assert set(after_rejection) <= {"release_state"}
    assert len(host.attempts) > 200


# Repeated and late notifications.


def test_repeated_start_of_a_stream_is_ignored() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.start_stream(request)
    host.start_stream(request)
    assert host.driver.tasks.keys() == {BACKGROUND_TASK, request}
    assert list(host.driver.scheduler.engines[1].streams) == [request]


def test_end_of_an_earlier_attempt_does_not_end_the_one_in_progress() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE], routing_settings(Idempotency.AT_MOST_ONCE))
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(request, AttemptStatus.CONNECT_FAILED)
    engine = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.CONNECT_FAILED, attempt=2)
    host.start_stream(request, attempt=2)
    assert list(host.driver.scheduler.engines[engine].waiting_decodes) == [request]
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST)
    assert host.actions_of(request) == [
        "start_attempt",
        "start_attempt",
        "start_attempt",
        "release_state",
        "fail_indeterminate",
    ]


def test_notifications_of_a_finished_request_are_ignored() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.complete(request)
    actions = list(host.actions)
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST, attempt=2)
    host.start_stream(request, attempt=2)
    host.driver.client_disconnected(host.now, request)
    host.driver.timer_fired(host.now, f"{request}.1")
    assert not host.driver.abort_task(host.now, request)
    assert host.actions == actions
    assert leaked_accounts(host) == []


def test_repeated_submission_of_a_request_is_ignored() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.driver.submit(host.now, Request(request, 0, None, None, None, 50, 0, 10, 5, SECOND, False, False))
    assert host.actions_of(request) == ["start_attempt"]


def test_statuses_of_the_wrong_role_leave_nothing_in_the_accounting() -> None:
    """A prefill engine reports SUCCEEDED, and a decode engine reports PREFILL_COMPLETE."""
    host = FakeSchedulerHost([PREFILL, DECODE])
    succeeded = host.submit()
    host.driver.attempt_ended(host.now, succeeded, 1, AttemptOutcome(AttemptStatus.SUCCEEDED, 10), True)
    prefilled_twice = host.submit()
    host.end_attempt(prefilled_twice, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(prefilled_twice, AttemptStatus.PREFILL_COMPLETE)
    host.driver.client_disconnected(host.now, prefilled_twice)
    host.end_attempt(prefilled_twice, AttemptStatus.CANCELLED, finished=True)
    host.advance(10 * SECOND)
    assert leaked_accounts(host) == []


# Exceptions in the scheduler.


def raise_in(owner: object, name: str, notify: Callable[[], None]) -> None:
    """Send a notification while a function of the scheduler raises an exception."""

    def fail(*arguments: object) -> None:
        raise ZeroDivisionError

    original = getattr(owner, name)
    setattr(owner, name, fail)
    with pytest.raises(ZeroDivisionError):
        notify()
    setattr(owner, name, original)


@pytest.mark.parametrize("when", ["queued", "prefill ends", "stream starts", "stream ends"])
def test_exception_in_the_scheduler_leaves_nothing_in_the_accounting(when: str) -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    first = host.submit(3_500)
    request = host.submit(100) if when == "queued" else first
    scheduler = host.driver.scheduler
    if when == "queued":
        assert [place[2] for place in scheduler.prefill_queue] == [request]
    elif when == "prefill ends":
        raise_in(
            attempt_accounting,
            "update_estimate",
            lambda: host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE),
        )
    else:
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        if when == "stream starts":
            raise_in(attempt_accounting, "update_estimate", lambda: host.start_stream(request))
        else:
            host.start_stream(request)
            raise_in(
                scheduler,
                "class_state",
                lambda: host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True),
            )
    host.driver.abort_task(host.now, request)
    if request is not first:
        host.complete(first)
    assert leaked_accounts(host) == []
    host.complete(host.submit())
    assert leaked_accounts(host) == []


def test_exception_in_the_background_task_restarts_it(monkeypatch: pytest.MonkeyPatch) -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    name = "runspool.scheduling.scheduler.stream_to_migrate"
    monkeypatch.setattr(name, lambda scheduler: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        host.advance(SECOND + 1)
    host.driver.abort_task(host.now, BACKGROUND_TASK)
    called_at: list[int] = []
    monkeypatch.setattr(name, lambda scheduler: called_at.append(host.now))
    host.advance(3 * SECOND)
    assert len(called_at) >= 2


# Reentrant calls.


def test_call_from_another_thread_is_refused() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    errors: list[Exception] = []

    def submit() -> None:
        try:
            host.submit()
        except ReentrantCallError as error:
            errors.append(error)

    thread = Thread(target=submit)
    thread.start()
    thread.join()
    assert len(errors) == 1
    assert host.attempts == []


def test_call_from_within_an_action_is_refused() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])

    def start_attempt(request: int, engine: int, timeout: int) -> None:
        host.driver.client_disconnected(host.now, request)

    host.start_attempt = start_attempt  # type: ignore[method-assign]
    with pytest.raises(ReentrantCallError):
        host.submit()
    host.driver.abort_task(host.now, host.submitted_count)
    assert leaked_accounts(host) == []
