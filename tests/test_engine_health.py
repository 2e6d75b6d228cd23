"""Engines that get fewer attempts: draining, in slow start, ejected, hanging or overloaded."""

from __future__ import annotations

from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, EngineState
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost, routing_settings


def test_draining_engine_gets_no_new_attempts() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    host.update_engine(0, EngineState.DRAINING)
    assert {host.engine_of(host.submit(100)) for _ in range(4)} == {1}


def test_engine_in_slow_start_gets_few_attempts() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    host.complete(host.submit())
    host.update_engine(0, started_at=host.now)
    for _ in range(6):
        host.submit()
    assert [attempt.engine for attempt in host.attempts[-6:]].count(0) <= 2


def test_engine_that_fails_fast_gets_no_traffic() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    request = host.submit(1_000)
    failing_engine = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.SERVER_ERROR, duration=5)
    assert failing_engine not in {host.engine_of(host.submit(100)) for _ in range(5)}


def test_hanging_engine_is_detected_by_its_oldest_attempt() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    hanging_engine = host.engine_of(host.submit(100))
    host.now += 3000
    for _ in range(3):
        request = host.submit()
        assert host.engine_of(request) != hanging_engine
        host.complete(request)


def test_ejected_engine_is_probed_with_one_attempt() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    request = host.submit()
    failing_engine = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.SERVER_ERROR, duration=5)
    host.complete(request)
    host.advance(3 * SECOND)
    engines = [host.engine_of(host.submit(100)) for _ in range(6)]
    assert engines.count(failing_engine) == 1


def test_hanging_decode_engine_gets_no_more_streams() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    hanging_engine = host.engine_of(request)
    host.now += 5_000
    for _ in range(4):
        later_request = host.submit()
        host.end_attempt(later_request, AttemptStatus.PREFILL_COMPLETE)
        assert host.engine_of(later_request) != hanging_engine
        host.start_stream(later_request)


def test_a_hundred_fronts_together_do_not_overload_an_engine_in_slow_start() -> None:
    attempts_at_cold_engine = 0
    for front in range(100):
        host = FakeSchedulerHost(
            [PREFILL, PREFILL, PREFILL, PREFILL, DECODE], routing_settings(front_count=100)
        )
        host.random_draw = front / 100
        host.update_engine(0, started_at=host.now)
        for other in (1, 2, 3):
            host.driver.scheduler.engines[other].prefill_tokens = 1_600
        attempts_at_cold_engine += host.engine_of(host.submit(100)) == 0
    assert attempts_at_cold_engine < 12
    assert attempts_at_cold_engine > 0


def test_overloaded_prefill_engine_is_not_selected_as_the_one_with_the_shortest_queue() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    request = host.submit(time_budget=10 * SECOND)
    overloaded_engine = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.OVERLOADED, duration=5)
    assert host.engine_of(request) != overloaded_engine
    host.complete(request)
    assert host.engine_of(host.submit(time_budget=10 * SECOND)) != overloaded_engine
