"""The desk under news in any order: twice, late, of what is closed; its books beside a plain recount."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from threading import Thread
from typing import Any

import pytest

from runspool.runtime.scheduler_driver import BACKGROUND_TASK, ReentrantCallError
from runspool.scheduling import attempt_accounting
from runspool.scheduling.endpoint_registry import DEPARTED_ENGINES_KEPT
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.latency_estimator import queueing_delay, update
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.transfer_cost import transfer_delay
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    DeduplicationScope,
    EndpointUpdate,
    EngineRecord,
    EngineState,
    Idempotency,
    Request,
    Role,
)
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings

ENDS_OF_READS = [AttemptStatus.PREFILL_COMPLETE] * 6 + [
    AttemptStatus.OVERLOADED,
    AttemptStatus.SERVER_ERROR,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.CANCELLED,
]
ENDS_OF_WRITES = [AttemptStatus.SUCCEEDED] * 3 + [
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


def books(host: FakeSchedulerHost) -> list[tuple[int, str, object]]:
    """Whatever the decisions still hold of any query."""
    scheduler = host.driver.scheduler
    found: list[tuple[int, str, object]] = [(-1, "room", place) for place in scheduler.prefill_queue]
    found += [(-1, "errand", index) for index in host.driver.tasks if index != BACKGROUND_TASK]
    for engine in scheduler.engines.values():
        for name in ("prefills", "waiting_decodes", "streams", "prefill_tokens", "stream_tokens"):
            if value := getattr(engine, name):
                found.append((engine.id, name, value))
    return found


class Recount:
    """What is out, from the asks and the news alone."""

    def __init__(self, host: FakeSchedulerHost) -> None:
        self.host = host
        self.heard = 0
        self.numbers: Counter[int] = Counter()  # query: shots so far
        self.out: dict[int, tuple[int, int, bool]] = {}  # query: shot, engine, begun

    def add_new_attempts(self) -> None:
        """Add the attempts asked for since the last call."""
        for request, engine, _ in self.host.attempts[self.heard :]:
            self.numbers[request] += 1
            self.out[request] = self.numbers[request], engine, False
        self.heard = len(self.host.attempts)

    def check(self) -> None:
        for engine in self.host.driver.scheduler.engines.values():
            mine = {
                request: started
                for request, (_, attempt_engine, started) in self.out.items()
                if attempt_engine == engine.id
            }
            engine_type = self.host.engine_records[engine.id].engine_type
            assert set(engine.streams) == (set() if engine_type == PREFILL else set(mine))
            assert set(engine.waiting_decodes) == {request for request in engine.streams if not mine[request]}
            assert set(engine.prefills) <= {request for request, started in mine.items() if not started}
            assert engine_type != PREFILL or set(engine.prefills) == set(mine)
            assert engine.prefill_tokens == sum(tokens for _, tokens, _ in engine.prefills.values())
            assert engine.stream_tokens == sum(engine.streams.values())
        held = [request for _, _, request in self.host.driver.scheduler.prefill_queue]
        assert len(held) == len(set(held))
        assert all(request in self.host.driver.tasks and request not in self.out for request in held)


def shuffled(seed: int) -> FakeSchedulerHost:
    """Many queries' news, much of it twice, late, swapped or of what is over, checked after each step."""
    rng = Random(seed)
    effect = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.AT_MOST_ONCE][seed % 3]
    host = FakeSchedulerHost(
        [PREFILL, PREFILL, MIXED, MIXED, DECODE], routing_settings(effect, DeduplicationScope.RACK)
    )
    host.driver.scheduler.random = rng.random
    recount = Recount(host)
    old: list[tuple[int, int, AttemptStatus]] = []  # ends of shots that were told already
    for step in range(2_000):
        move = rng.random()
        if move < 0.25 and step < 1_600:
            host.submit(rng.randrange(100, 6_000), rng.choice([SECOND, 4 * SECOND]), rng.randrange(20))
        elif move < 0.35:
            host.advance(rng.randrange(1, 800) * rng.choice([1, 1, 1, 20]))  # what was learned of a jam fades
        elif move < 0.40 and host.driver.tasks.keys() - {BACKGROUND_TASK}:
            host.driver.client_disconnected(
                host.now, rng.choice(sorted(host.driver.tasks.keys() - {BACKGROUND_TASK}))
            )
        elif move < 0.50 and old:
            request, attempt, status = rng.choice(old)
            host.end_attempt(request, status, attempt=attempt)
            host.start_stream(request, attempt=attempt)
        elif move < 0.53:
            host.update_engine(rng.randrange(5), rng.choice(ENGINE_STATES))
        elif recount.out:
            request = rng.choice(sorted(recount.out))
            attempt, engine, started = recount.out[request]
            is_prefill = host.engine_records[engine].engine_type == PREFILL
            if not is_prefill and not started and rng.random() < 0.6:
                host.start_stream(request, attempt=attempt)
                host.start_stream(request, attempt=attempt)
                recount.out[request] = attempt, engine, True
            else:
                status = rng.choice(ENDS_OF_READS if is_prefill else ENDS_OF_WRITES)
                del recount.out[request]
                old.append((request, attempt, status))
                host.end_attempt(
                    request, status, started or status is AttemptStatus.SUCCEEDED, attempt=attempt
                )
        recount.add_new_attempts()
        recount.check()
    for request, (attempt, _, started) in sorted(recount.out.items()):
        host.driver.client_disconnected(host.now, request)
        host.end_attempt(request, AttemptStatus.CANCELLED, started, attempt=attempt)
    host.advance(60 * SECOND)
    return host


@pytest.mark.parametrize("seed", range(12))
def test_books_equal_a_recount_after_each_step_and_are_empty_at_the_end(seed: int) -> None:
    host = shuffled(seed)
    assert books(host) == []
    for request in range(1, host.submitted_count + 1):
        said = host.actions_of(request)
        assert said.count("reject") + said.count("fail_indeterminate") <= 1
        assert set(said[said.index("reject") + 1 :] if "reject" in said else []) <= {"release_state"}
    assert len(host.attempts) > 200


def test_the_answer_that_begins_twice_is_one_stream() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.start_stream(request)
    host.start_stream(request)
    assert host.driver.tasks.keys() == {BACKGROUND_TASK, request}
    assert list(host.driver.scheduler.engines[1].streams) == [request]


def test_the_end_of_an_earlier_shot_says_nothing_of_the_one_that_is_out() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE], routing_settings(Idempotency.AT_MOST_ONCE))
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(request, AttemptStatus.CONNECT_FAILED)
    out = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.CONNECT_FAILED, attempt=2)
    host.start_stream(request, attempt=2)
    assert list(host.driver.scheduler.engines[out].waiting_decodes) == [request]
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST)
    assert host.actions_of(request) == [
        "start_attempt",
        "start_attempt",
        "start_attempt",
        "release_state",
        "fail_indeterminate",
    ]


def test_news_of_what_is_over_is_passed_over() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.complete(request)
    said = list(host.actions)
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST, attempt=2)
    host.start_stream(request, attempt=2)
    host.driver.client_disconnected(host.now, request)
    host.driver.timer_fired(host.now, f"{request}.1")
    assert not host.driver.abandon(host.now, request)
    assert host.actions == said
    assert books(host) == []


def test_a_query_that_arrives_twice_is_one() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.driver.submit(host.now, Request(request, 0, None, None, None, 50, 0, 10, 5, SECOND, False, False))
    assert host.actions_of(request) == ["start_attempt"]


@pytest.mark.parametrize("when", ["in the line", "as a read ends", "as an answer begins", "as it ends"])
def test_a_fault_in_the_decisions_leaves_nothing_in_the_books(when: str) -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    first = host.submit(3_500)
    request = host.submit(100) if when == "in the line" else first
    scheduler = host.driver.scheduler

    def fault(*said: object) -> None:
        raise ZeroDivisionError

    def strike(owner: object, name: str, news: Callable[[], None]) -> None:
        sound = getattr(owner, name)
        setattr(owner, name, fault)
        with pytest.raises(ZeroDivisionError):
            news()
        setattr(owner, name, sound)

    if when == "in the line":
        assert [place[2] for place in scheduler.prefill_queue] == [request]
    elif when == "as a read ends":
        strike(
            attempt_accounting, "update", lambda: host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        )
    else:
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        if when == "as an answer begins":
            strike(attempt_accounting, "update", lambda: host.start_stream(request))
        else:
            host.start_stream(request)
            strike(
                scheduler,
                "class_state",
                lambda: host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True),
            )
    host.driver.abandon(host.now, request)
    if request is not first:
        host.complete(first)
    assert books(host) == []
    host.complete(host.submit())
    assert books(host) == []


def test_a_fault_in_the_watch_starts_it_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    name = "runspool.scheduling.scheduler.stream_to_migrate"
    monkeypatch.setattr(name, lambda front: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        host.advance(SECOND + 1)
    host.driver.abandon(host.now, BACKGROUND_TASK)
    looked: list[int] = []
    monkeypatch.setattr(name, lambda front: looked.append(host.now))
    host.advance(3 * SECOND)
    assert len(looked) >= 2


def test_nobody_comes_in_from_another_thread() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    caught: list[Exception] = []

    def enter() -> None:
        try:
            host.submit()
        except ReentrantCallError as fault:
            caught.append(fault)

    other = Thread(target=enter)
    other.start()
    other.join()
    assert len(caught) == 1
    assert host.attempts == []


def test_nobody_comes_in_from_within_a_step() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])

    def send(request: int, engine: int, cap: int) -> None:
        host.driver.client_disconnected(host.now, request)

    host.start_attempt = send  # type: ignore[method-assign]
    with pytest.raises(ReentrantCallError):
        host.submit()
    host.driver.abandon(host.now, host.submitted_count)
    assert books(host) == []


def test_an_older_line_does_not_make_a_busy_engine_look_idle() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.update_engine(0, started_at=500)
    request = host.submit()
    host.update_engine(0, started_at=400)
    assert list(host.driver.scheduler.engines[0].prefills) == [request]
    host.update_engine(0, started_at=600)  # a new process has nothing to read
    assert not host.driver.scheduler.engines[0].prefills


def test_an_engine_back_as_another_kind_is_picked_as_that() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    host.driver.update_endpoints(
        host.now, EndpointUpdate(False, [EngineRecord(1, DECODE, 0, 0, 0, EngineState.READY)])
    )
    assert {host.engine_of(host.submit(100)) for _ in range(4)} == {0}


def test_engines_that_come_and_go_are_not_remembered_for_good() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    for number in range(100, 1_100):
        for state in (EngineState.READY, EngineState.REMOVED):
            host.driver.update_endpoints(
                host.now, EndpointUpdate(False, [EngineRecord(number, PREFILL, 0, number, 0, state)])
            )
            transfer_delay(host.driver.scheduler, number)
    assert len(host.driver.scheduler.engines) <= DEPARTED_ENGINES_KEPT + 2
    assert len(host.driver.scheduler.rack_transfer_delays) <= DEPARTED_ENGINES_KEPT + 2


def test_an_engine_is_itself_and_no_other_that_looks_like_it() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    assert host.driver.scheduler.engines[0] != Engine(
        0,
        *[
            getattr(host.driver.scheduler.engines[0], name)
            for name in ("stable_hash", "role", "zone", "rack", "memory_tokens", "started_at")
        ],
    )


def test_an_unknown_ending_in_the_wrong_place_is_sound() -> None:
    """A writer that answers as a reader would, a reader that says it has succeeded."""
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.driver.attempt_ended(host.now, request, 1, AttemptOutcome(AttemptStatus.SUCCEEDED, 10), True)
    second_request = host.submit()
    host.end_attempt(second_request, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(second_request, AttemptStatus.PREFILL_COMPLETE)
    host.driver.client_disconnected(host.now, second_request)
    host.end_attempt(second_request, AttemptStatus.CANCELLED, finished=True)
    host.advance(10 * SECOND)
    assert books(host) == []


def test_a_starting_engine_is_no_more_jammed_than_its_own_reads_say() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, PREFILL, DECODE], routing_settings(front_count=100))
    scheduler = host.driver.scheduler
    for engine in (0, 1):
        update(
            scheduler,
            scheduler.engines[engine].queueing_delay,
            scheduler.usual_queueing_delays[Role.PREFILL],
            SECOND,
        )
    host.update_engine(2, started_at=host.now - SECOND)
    assert (
        warmup_fraction(scheduler, scheduler.engines[2]) < 1
        and queueing_delay(scheduler, scheduler.engines[2]) == 0
    )
    assert queueing_delay(scheduler, scheduler.engines[0]) > 0
    update(
        scheduler, scheduler.engines[2].queueing_delay, scheduler.usual_queueing_delays[Role.PREFILL], SECOND
    )
    assert queueing_delay(scheduler, scheduler.engines[2]) > 0


def test_a_reader_that_was_full_is_not_the_one_with_the_least_wait() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    request = host.submit(time_budget=10 * SECOND)
    first = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.OVERLOADED, duration=5)
    assert host.engine_of(request) != first
    host.complete(request)
    assert host.engine_of(host.submit(time_budget=10 * SECOND)) != first


def test_a_busy_front_among_hundreds_does_not_take_all_writers_for_full() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, *[DECODE] * 20], routing_settings(front_count=200))
    for session in range(8):
        request = host.submit(prompt_tokens=3_000, time_budget=10 * SECOND, session=session)
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE, duration=100)
        host.start_stream(request, duration=100)
        host.advance(10)
    assert host.attempt_count(host.submit(prompt_tokens=3_000, time_budget=10 * SECOND)) == 1


def test_a_long_line_looks_at_the_engines_little_more_often_than_one_query() -> None:
    def looks(waiting: int) -> int:
        host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(max_attempts=5))
        scheduler, counted, sound = host.driver.scheduler, [0], host.driver.scheduler.select_engine
        host.submit(
            prompt_tokens=20_000, time_budget=60 * SECOND
        )  # a queue that is over the line while it is out

        def pick(*said: Any) -> Any:
            counted[0] += 1
            return sound(*said)

        scheduler.select_engine = pick  # type: ignore
        scheduler.prefill_rates[Role.PREFILL] = 8.0
        for _ in range(waiting):
            host.submit(prompt_tokens=100, time_budget=60 * SECOND)
        at = counted[0]
        host.advance(SECOND - 100)
        return counted[0] - at

    one, many = looks(1), looks(30)
    assert one > 0
    assert many < 6 * one


def test_reads_given_up_are_repeated_only_as_far_as_others_end_well() -> None:
    host = FakeSchedulerHost([PREFILL] * 4 + [DECODE])
    for _ in range(2):  # what a front may repeat before it has heard of any read that ended well
        request = host.submit(time_budget=10 * SECOND)
        assert host.attempts[-1][2] > 0
        host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=SECOND // 10)
        assert host.attempt_count(request) == 2
        host.driver.client_disconnected(host.now, request)
        host.end_attempt(request, AttemptStatus.CANCELLED)
    request = host.submit(time_budget=10 * SECOND)
    assert host.attempts[-1][2] == 0  # nothing may follow, so it is not given up before the client's time
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=SECOND // 10)
    assert (host.attempt_count(request), host.actions_of(request)[-1]) == (1, "reject")
    for _ in range(4):
        request = host.submit(time_budget=10 * SECOND)
        host.complete(request)
    request = host.submit(time_budget=10 * SECOND)
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=SECOND // 10)
    assert host.attempt_count(request) == 2


def test_a_thousand_engines_and_fronts_are_listed_and_used() -> None:
    host = FakeSchedulerHost([PREFILL] * 512 + [DECODE] * 512, routing_settings(front_count=1_024))
    assert sum(engine.ready for engine in host.driver.scheduler.engines.values()) == 1_024
    requests = []
    for session in range(20):
        requests.append(host.submit(session=session, prefix_hash=session * 7_919, prefix=session))
        host.complete(requests[-1])
        host.advance(100)
    assert all(host.attempt_count(request) == 2 for request in requests)
