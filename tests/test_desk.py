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
from runspool.scheduling.endpoint_updates import DEPARTED_ENGINES_KEPT
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
from tests.fakehost import MIXED, READER, WRITER, FakeHost, terms

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


def books(host: FakeHost) -> list[tuple[int, str, object]]:
    """Whatever the decisions still hold of any query."""
    rules = host.desk.scheduler
    found: list[tuple[int, str, object]] = [(-1, "room", place) for place in rules.prefill_queue]
    found += [(-1, "errand", index) for index in host.desk.tasks if index != BACKGROUND_TASK]
    for e in rules.engines.values():
        for name in ("prefills", "waiting_decodes", "streams", "prefill_tokens", "stream_tokens"):
            if value := getattr(e, name):
                found.append((e.id, name, value))
    return found


class Recount:
    """What is out, from the asks and the news alone."""

    def __init__(self, host: FakeHost) -> None:
        self.host = host
        self.heard = 0
        self.numbers: Counter[int] = Counter()  # query: shots so far
        self.out: dict[int, tuple[int, int, bool]] = {}  # query: shot, engine, begun

    def shots(self) -> None:
        """Takes up shots asked for since."""
        for query, engine, _ in self.host.shots[self.heard :]:
            self.numbers[query] += 1
            self.out[query] = self.numbers[query], engine, False
        self.heard = len(self.host.shots)

    def check(self) -> None:
        for e in self.host.desk.scheduler.engines.values():
            mine = {query: begun for query, (_, engine, begun) in self.out.items() if engine == e.id}
            kind = self.host.lines[e.id].engine_type
            assert set(e.streams) == (set() if kind == READER else set(mine))
            assert set(e.waiting_decodes) == {query for query in e.streams if not mine[query]}
            assert set(e.prefills) <= {query for query, begun in mine.items() if not begun}
            assert kind != READER or set(e.prefills) == set(mine)
            assert e.prefill_tokens == sum(tokens for _, tokens, _ in e.prefills.values())
            assert e.stream_tokens == sum(e.streams.values())
        held = [query for _, _, query in self.host.desk.scheduler.prefill_queue]
        assert len(held) == len(set(held))
        assert all(query in self.host.desk.tasks and query not in self.out for query in held)


def shuffled(seed: int) -> FakeHost:
    """Many queries' news, much of it twice, late, swapped or of what is over, checked after each step."""
    rng = Random(seed)
    effect = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.AT_MOST_ONCE][seed % 3]
    host = FakeHost([READER, READER, MIXED, MIXED, WRITER], terms(effect, DeduplicationScope.RACK))
    host.desk.scheduler.random = rng.random
    recount = Recount(host)
    old: list[tuple[int, int, AttemptStatus]] = []  # ends of shots that were told already
    for step in range(2_000):
        move = rng.random()
        if move < 0.25 and step < 1_600:
            host.ask(rng.randrange(100, 6_000), rng.choice([SECOND, 4 * SECOND]), rng.randrange(20))
        elif move < 0.35:
            host.wait(rng.randrange(1, 800) * rng.choice([1, 1, 1, 20]))  # what was learned of a jam fades
        elif move < 0.40 and host.desk.tasks.keys() - {BACKGROUND_TASK}:
            host.desk.client_disconnected(
                host.now, rng.choice(sorted(host.desk.tasks.keys() - {BACKGROUND_TASK}))
            )
        elif move < 0.50 and old:
            query, shot, ending = rng.choice(old)
            host.end(query, ending, shot=shot)
            host.begin(query, shot=shot)
        elif move < 0.53:
            host.tell(rng.randrange(5), rng.choice(["on", "on", "draining", "gone"]))
        elif recount.out:
            query = rng.choice(sorted(recount.out))
            shot, engine, begun = recount.out[query]
            reads = host.lines[engine].engine_type == READER
            if not reads and not begun and rng.random() < 0.6:
                host.begin(query, shot=shot)
                host.begin(query, shot=shot)
                recount.out[query] = shot, engine, True
            else:
                ending = rng.choice(ENDS_OF_READS if reads else ENDS_OF_WRITES)
                del recount.out[query]
                old.append((query, shot, ending))
                host.end(query, ending, begun or ending is AttemptStatus.SUCCEEDED, shot=shot)
        recount.shots()
        recount.check()
    for query, (shot, _, begun) in sorted(recount.out.items()):
        host.desk.client_disconnected(host.now, query)
        host.end(query, AttemptStatus.CANCELLED, begun, shot=shot)
    host.wait(60 * SECOND)
    return host


@pytest.mark.parametrize("seed", range(12))
def test_books_equal_a_recount_after_each_step_and_are_empty_at_the_end(seed: int) -> None:
    host = shuffled(seed)
    assert books(host) == []
    for query in range(1, host.asked + 1):
        said = host.of(query)
        assert said.count("dismiss") + said.count("scrap") <= 1
        assert set(said[said.index("dismiss") + 1 :] if "dismiss" in said else []) <= {"release"}
    assert len(host.shots) > 200


def test_the_answer_that_begins_twice_is_one_stream() -> None:
    host = FakeHost([READER, WRITER])
    one = host.ask()
    host.end(one, AttemptStatus.PREFILL_COMPLETE)
    host.begin(one)
    host.begin(one)
    assert host.desk.tasks.keys() == {BACKGROUND_TASK, one}
    assert list(host.desk.scheduler.engines[1].streams) == [one]


def test_the_end_of_an_earlier_shot_says_nothing_of_the_one_that_is_out() -> None:
    host = FakeHost([READER, WRITER, WRITER], terms(Idempotency.AT_MOST_ONCE))
    one = host.ask()
    host.end(one, AttemptStatus.PREFILL_COMPLETE)
    host.end(one, AttemptStatus.CONNECT_FAILED)
    out = host.at(one)
    host.end(one, AttemptStatus.CONNECT_FAILED, shot=2)
    host.begin(one, shot=2)
    assert list(host.desk.scheduler.engines[out].waiting_decodes) == [one]
    host.end(one, AttemptStatus.CONNECTION_LOST)
    assert host.of(one) == ["send", "send", "send", "release", "scrap"]


def test_news_of_what_is_over_is_passed_over() -> None:
    host = FakeHost([READER, WRITER])
    one = host.ask()
    host.serve(one)
    said = list(host.said)
    host.end(one, AttemptStatus.CONNECTION_LOST, shot=2)
    host.begin(one, shot=2)
    host.desk.client_disconnected(host.now, one)
    host.desk.timer_fired(host.now, f"{one}.1")
    assert not host.desk.abandon(host.now, one)
    assert host.said == said
    assert books(host) == []


def test_a_query_that_arrives_twice_is_one() -> None:
    host = FakeHost([READER, WRITER])
    one = host.ask()
    host.desk.submit(host.now, Request(one, 0, None, None, None, 50, 0, 10, 5, SECOND, False, False))
    assert host.of(one) == ["send"]


@pytest.mark.parametrize("when", ["in the line", "as a read ends", "as an answer begins", "as it ends"])
def test_a_fault_in_the_decisions_leaves_nothing_in_the_books(when: str) -> None:
    host = FakeHost([READER, WRITER])
    first = host.ask(3_500)
    one = host.ask(100) if when == "in the line" else first
    rules = host.desk.scheduler

    def fault(*said: object) -> None:
        raise ZeroDivisionError

    def strike(owner: object, name: str, news: Callable[[], None]) -> None:
        sound = getattr(owner, name)
        setattr(owner, name, fault)
        with pytest.raises(ZeroDivisionError):
            news()
        setattr(owner, name, sound)

    if when == "in the line":
        assert [place[2] for place in rules.prefill_queue] == [one]
    elif when == "as a read ends":
        strike(attempt_accounting, "update", lambda: host.end(one, AttemptStatus.PREFILL_COMPLETE))
    else:
        host.end(one, AttemptStatus.PREFILL_COMPLETE)
        if when == "as an answer begins":
            strike(attempt_accounting, "update", lambda: host.begin(one))
        else:
            host.begin(one)
            strike(rules, "class_state", lambda: host.end(one, AttemptStatus.SUCCEEDED, over=True))
    host.desk.abandon(host.now, one)
    if one is not first:
        host.serve(first)
    assert books(host) == []
    host.serve(host.ask())
    assert books(host) == []


def test_a_fault_in_the_watch_starts_it_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    host = FakeHost([READER, WRITER])
    name = "runspool.scheduling.scheduler.stream_to_migrate"
    monkeypatch.setattr(name, lambda front: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        host.wait(SECOND + 1)
    host.desk.abandon(host.now, BACKGROUND_TASK)
    looked: list[int] = []
    monkeypatch.setattr(name, lambda front: looked.append(host.now))
    host.wait(3 * SECOND)
    assert len(looked) >= 2


def test_nobody_comes_in_from_another_thread() -> None:
    host = FakeHost([READER, WRITER])
    caught: list[Exception] = []

    def enter() -> None:
        try:
            host.ask()
        except ReentrantCallError as fault:
            caught.append(fault)

    other = Thread(target=enter)
    other.start()
    other.join()
    assert len(caught) == 1
    assert host.shots == []


def test_nobody_comes_in_from_within_a_step() -> None:
    host = FakeHost([READER, WRITER])

    def send(query: int, engine: int, cap: int) -> None:
        host.desk.client_disconnected(host.now, query)

    host.start_attempt = send  # type: ignore[method-assign]
    with pytest.raises(ReentrantCallError):
        host.ask()
    host.desk.abandon(host.now, host.asked)
    assert books(host) == []


def test_an_older_line_does_not_make_a_busy_engine_look_idle() -> None:
    host = FakeHost([READER, WRITER])
    host.tell(0, started=500)
    one = host.ask()
    host.tell(0, started=400)
    assert list(host.desk.scheduler.engines[0].prefills) == [one]
    host.tell(0, started=600)  # a new process has nothing to read
    assert not host.desk.scheduler.engines[0].prefills


def test_an_engine_back_as_another_kind_is_picked_as_that() -> None:
    host = FakeHost([READER, READER, WRITER])
    host.desk.update_endpoints(
        host.now, EndpointUpdate(False, [EngineRecord(1, WRITER, 0, 0, 0, EngineState.READY)])
    )
    assert {host.at(host.ask(100)) for _ in range(4)} == {0}


def test_engines_that_come_and_go_are_not_remembered_for_good() -> None:
    host = FakeHost([READER, WRITER])
    for number in range(100, 1_100):
        for state in (EngineState.READY, EngineState.REMOVED):
            host.desk.update_endpoints(
                host.now, EndpointUpdate(False, [EngineRecord(number, READER, 0, number, 0, state)])
            )
            transfer_delay(host.desk.scheduler, number)
    assert len(host.desk.scheduler.engines) <= DEPARTED_ENGINES_KEPT + 2
    assert len(host.desk.scheduler.rack_transfer_delays) <= DEPARTED_ENGINES_KEPT + 2


def test_an_engine_is_itself_and_no_other_that_looks_like_it() -> None:
    host = FakeHost([READER, WRITER])
    assert host.desk.scheduler.engines[0] != Engine(
        0,
        *[
            getattr(host.desk.scheduler.engines[0], name)
            for name in ("stable_hash", "role", "zone", "rack", "memory_tokens", "started_at")
        ],
    )


def test_an_unknown_ending_in_the_wrong_place_is_sound() -> None:
    """A writer that answers as a reader would, a reader that says it has succeeded."""
    host = FakeHost([READER, WRITER])
    one = host.ask()
    host.desk.attempt_ended(host.now, one, 1, AttemptOutcome(AttemptStatus.SUCCEEDED, 10), True)
    two = host.ask()
    host.end(two, AttemptStatus.PREFILL_COMPLETE)
    host.end(two, AttemptStatus.PREFILL_COMPLETE)
    host.desk.client_disconnected(host.now, two)
    host.end(two, AttemptStatus.CANCELLED, over=True)
    host.wait(10 * SECOND)
    assert books(host) == []


def test_a_starting_engine_is_no_more_jammed_than_its_own_reads_say() -> None:
    host = FakeHost([READER, READER, READER, WRITER], terms(front_count=100))
    rules = host.desk.scheduler
    for engine in (0, 1):
        update(rules, rules.engines[engine].queueing_delay, rules.usual_queueing_delays[Role.PREFILL], SECOND)
    host.tell(2, started=host.now - SECOND)
    assert warmup_fraction(rules, rules.engines[2]) < 1 and queueing_delay(rules, rules.engines[2]) == 0
    assert queueing_delay(rules, rules.engines[0]) > 0
    update(rules, rules.engines[2].queueing_delay, rules.usual_queueing_delays[Role.PREFILL], SECOND)
    assert queueing_delay(rules, rules.engines[2]) > 0


def test_a_reader_that_was_full_is_not_the_one_with_the_least_wait() -> None:
    host = FakeHost([READER, READER, WRITER])
    query = host.ask(budget=10 * SECOND)
    first = host.at(query)
    host.end(query, AttemptStatus.OVERLOADED, took=5)
    assert host.at(query) != first
    host.serve(query)
    assert host.at(host.ask(budget=10 * SECOND)) != first


def test_a_busy_front_among_hundreds_does_not_take_all_writers_for_full() -> None:
    host = FakeHost([READER, READER, *[WRITER] * 20], terms(front_count=200))
    for session in range(8):
        query = host.ask(prompt=3_000, budget=10 * SECOND, session=session)
        host.end(query, AttemptStatus.PREFILL_COMPLETE, took=100)
        host.begin(query, took=100)
        host.wait(10)
    assert host.shots_of(host.ask(prompt=3_000, budget=10 * SECOND)) == 1


def test_a_long_line_looks_at_the_engines_little_more_often_than_one_query() -> None:
    def looks(waiting: int) -> int:
        host = FakeHost([READER, WRITER], terms(max_attempts=5))
        rules, counted, sound = host.desk.scheduler, [0], host.desk.scheduler.select_engine
        host.ask(prompt=20_000, budget=60 * SECOND)  # a queue that is over the line while it is out

        def pick(*said: Any) -> Any:
            counted[0] += 1
            return sound(*said)

        rules.select_engine = pick  # type: ignore
        rules.prefill_rates[Role.PREFILL] = 8.0
        for _ in range(waiting):
            host.ask(prompt=100, budget=60 * SECOND)
        at = counted[0]
        host.wait(SECOND - 100)
        return counted[0] - at

    one, many = looks(1), looks(30)
    assert one > 0
    assert many < 6 * one


def test_reads_given_up_are_repeated_only_as_far_as_others_end_well() -> None:
    host = FakeHost([READER] * 4 + [WRITER])
    for _ in range(2):  # what a front may repeat before it has heard of any read that ended well
        query = host.ask(budget=10 * SECOND)
        assert host.shots[-1][2] > 0
        host.end(query, AttemptStatus.TIMED_OUT, took=SECOND // 10)
        assert host.shots_of(query) == 2
        host.desk.client_disconnected(host.now, query)
        host.end(query, AttemptStatus.CANCELLED)
    query = host.ask(budget=10 * SECOND)
    assert host.shots[-1][2] == 0  # nothing may follow, so it is not given up before the client's time
    host.end(query, AttemptStatus.TIMED_OUT, took=SECOND // 10)
    assert (host.shots_of(query), host.of(query)[-1]) == (1, "dismiss")
    for _ in range(4):
        query = host.ask(budget=10 * SECOND)
        host.serve(query)
    query = host.ask(budget=10 * SECOND)
    host.end(query, AttemptStatus.TIMED_OUT, took=SECOND // 10)
    assert host.shots_of(query) == 2


def test_a_thousand_engines_and_fronts_are_listed_and_used() -> None:
    host = FakeHost([READER] * 512 + [WRITER] * 512, terms(front_count=1_024))
    assert sum(e.ready for e in host.desk.scheduler.engines.values()) == 1_024
    queries = []
    for session in range(20):
        queries.append(host.ask(session=session, mark=session * 7_919, beginning=session))
        host.serve(queries[-1])
        host.wait(100)
    assert all(host.shots_of(query) == 2 for query in queries)
