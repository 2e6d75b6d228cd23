"""Admission decisions: a request starts at once, waits at the front, or is rejected."""

from __future__ import annotations

from typing import Any

from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, LoadReport, Role
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost, routing_settings


def test_request_is_rejected_before_its_client_times_out() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit(time_budget=SECOND)
    host.now += SECOND
    host.end_attempt(request, AttemptStatus.TIMED_OUT)
    assert host.actions_of(request) == ["start_attempt", "reject"]


def test_request_that_cannot_start_in_time_is_rejected_at_once() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.complete(host.submit())
    for _ in range(20):
        last = host.submit(20_000)
    assert host.actions_of(last) == ["reject"]


def test_prefill_waits_at_the_front_while_every_queue_is_long() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    first, second = host.submit(3_500), host.submit(100)
    assert host.actions_of(second) == []
    host.end_attempt(first, AttemptStatus.PREFILL_COMPLETE)
    host.advance(500)
    assert host.actions_of(second) == ["start_attempt"]


def test_no_prefill_is_started_while_the_decode_engines_are_full() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.start_stream(request)
    host.driver.scheduler.engines[1].observed_capacity = 1_000
    assert host.actions_of(host.submit()) == []


def test_later_request_of_a_session_waits_no_longer_than_its_first() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.submit(3_500)
    first = host.submit(500, session=8)
    host.advance(9_000)
    assert host.actions_of(first) == ["reject"]
    assert host.actions_of(host.submit(500, session=8)) == ["reject"]


def test_stale_load_report_does_not_mark_a_prefill_engine_as_full() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.end_attempt(
        request, AttemptStatus.PREFILL_COMPLETE, load_report=LoadReport(queued_prompt_tokens=13_000)
    )
    host.start_stream(request)
    waiting = host.submit(100)
    assert host.actions_of(waiting) == []
    host.advance(4_000)
    assert host.actions_of(waiting) == ["start_attempt"]


def test_requests_that_cannot_be_served_get_one_final_response() -> None:
    assert FakeSchedulerHost([]).actions_of(1) == []
    host = FakeSchedulerHost([PREFILL, DECODE])
    assert host.actions_of(host.submit(request_class=None)) == ["fail_indeterminate"]
    assert host.actions_of(host.submit(200_000)) == ["fail_indeterminate"]
    assert host.actions_of(host.submit(time_budget=10)) == ["reject"]
    host_without_engines = FakeSchedulerHost([])
    request = host_without_engines.submit()
    host_without_engines.advance(5 * SECOND)
    assert host_without_engines.actions_of(request) == ["reject"]


def test_under_congestion_a_client_retry_is_rejected_with_retry_after_where_a_first_try_starts() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(front_count=200))
    congestion = host.driver.scheduler.role_queueing_delays[Role.PREFILL]
    congestion.duration, congestion.updated_at = 4_000.0, host.now
    assert host.actions_of(host.submit(500)) == ["start_attempt"]
    assert host.actions_of(host.submit(500, session=1, is_client_retry=True)) == ["reject"]
    assert host.retry_after == SECOND  # the maximum that the settings allow


def test_thirty_waiting_requests_cost_less_than_six_times_the_engine_selections_of_one() -> None:
    def count_selections(waiting_requests: int) -> int:
        """Return how many engine count_selections one second takes while this many requests wait."""
        host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(max_attempts=5))
        scheduler = host.driver.scheduler
        select_engine = scheduler.select_engine
        count = 0
        # This prompt is so long that other requests wait at the front while its prefill is in progress.
        host.submit(prompt_tokens=20_000, time_budget=60 * SECOND)

        def count_selection(*arguments: Any) -> Any:
            nonlocal count
            count += 1
            return select_engine(*arguments)

        scheduler.select_engine = count_selection  # type: ignore
        scheduler.prefill_rates[Role.PREFILL] = 8.0
        for _ in range(waiting_requests):
            host.submit(prompt_tokens=100, time_budget=60 * SECOND)
        count_before = count
        host.advance(SECOND - 100)
        return count - count_before

    with_one, with_many = count_selections(1), count_selections(30)
    assert with_one > 0
    assert with_many < 6 * with_one
