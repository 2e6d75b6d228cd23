"""Selection of decode engines: packing of streams, memory, racks and zones."""

from __future__ import annotations

from runspool.scheduling.engine_state import DecayingEstimate
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, LoadReport
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings


def test_decode_engine_is_selected_when_the_prefill_has_completed() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    assert host.engine_of(request) == 0
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    assert host.engine_of(request) == 1


def test_streams_are_packed_so_that_a_mixed_engine_is_free_to_prefill() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED, MIXED])
    decode_engines = set()
    for _ in range(4):
        request = host.submit()
        if host.engine_of(request) == 0:
            host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
            decode_engines.add(host.engine_of(request))
        host.start_stream(request)
    assert len(decode_engines) == 1


def test_slow_transfers_keep_states_in_their_rack() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE])
    host.driver.scheduler.engines[2].rack = 1
    host.driver.scheduler.rack_transfer_delays[0] = DecayingEstimate(SECOND, host.now)
    for _ in range(5):
        request = host.submit()
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        assert host.engine_of(request) == 1
        host.start_stream(request)


def test_engine_that_reports_full_memory_gets_no_stream() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    full_engine = host.engine_of(request)
    host.start_stream(request)
    host.end_attempt(
        request, AttemptStatus.SUCCEEDED, finished=True, load_report=LoadReport(memory_utilization=0.95)
    )
    second_request = host.submit()
    host.end_attempt(second_request, AttemptStatus.PREFILL_COMPLETE)
    assert host.engine_of(second_request) != full_engine


def test_one_stream_from_one_of_a_hundred_fronts_does_not_fill_a_decode_engine() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(front_count=100))
    for _ in range(2):
        request = host.submit(400)
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(request)
        assert host.actions_of(request) == ["start_attempt", "start_attempt"]


def test_reserved_decode_engine_in_another_rack_gets_no_states() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED, MIXED], routing_settings(front_count=50))
    scheduler = host.driver.scheduler
    scheduler.engines[1].rack = 1
    scheduler.reserved_decode_engine = scheduler.engines[1]
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    assert host.engine_of(request) == 2


def test_state_that_leaves_its_rack_stays_in_its_zone() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE])
    for index, zone in ((1, 2), (2, 0)):
        engine = host.driver.scheduler.engines[index]
        engine.rack = index
        engine.zone = zone
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    assert host.engine_of(request) == 2


def test_busy_front_among_hundreds_does_not_consider_all_decode_engines_full() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, *[DECODE] * 20], routing_settings(front_count=200))
    for session in range(8):
        request = host.submit(prompt_tokens=3_000, time_budget=10 * SECOND, session=session)
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE, duration=100)
        host.start_stream(request, duration=100)
        host.advance(10)
    assert host.attempt_count(host.submit(prompt_tokens=3_000, time_budget=10 * SECOND)) == 1
