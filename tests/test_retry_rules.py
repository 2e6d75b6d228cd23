"""Rules for retries: after which outcomes a request is retried, and when an attempt times out."""

from __future__ import annotations

from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, DeduplicationScope, Idempotency
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings


def test_at_most_once_request_that_may_have_executed_fails_as_indeterminate() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED, MIXED], routing_settings(Idempotency.AT_MOST_ONCE))
    request = host.submit()
    if host.engine_of(request) == 0:
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST)
    assert host.actions_of(request)[-1] == "fail_indeterminate"


def test_at_most_once_request_known_not_to_have_executed_is_retried() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE, DECODE], routing_settings(Idempotency.AT_MOST_ONCE))
    request = host.submit()
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST)  # a prefill has no effect
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    first_decode_engine = host.engine_of(request)
    host.end_attempt(request, AttemptStatus.CONNECT_FAILED)
    assert host.engine_of(request) != first_decode_engine
    assert "fail_indeterminate" not in host.actions_of(request)


def test_keyed_request_is_retried_only_in_its_deduplication_scope_and_window() -> None:
    host = FakeSchedulerHost(
        [MIXED, MIXED, MIXED], routing_settings(Idempotency.KEYED, DeduplicationScope.RACK)
    )
    host.engine_records[0].rack = host.engine_records[1].rack = 1
    for record in host.engine_records:
        host.driver.scheduler.engines[record.engine].rack = record.rack
    request = host.submit()
    rack = host.engine_records[host.engine_of(request)].rack
    host.end_attempt(request, AttemptStatus.CONNECTION_LOST)
    engines = [attempt.engine for attempt in host.attempts if attempt.request == request]
    assert all(host.engine_records[engine].rack == rack for engine in engines)
    late_request = host.submit(time_budget=20 * SECOND)
    host.now += 6 * SECOND
    host.end_attempt(late_request, AttemptStatus.TIMED_OUT)
    assert host.actions_of(late_request)[-2:] == ["start_attempt", "fail_indeterminate"]


def test_prompt_is_prefilled_again_when_its_state_is_missing() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.end_attempt(request, AttemptStatus.STATE_MISSING)
    assert [attempt.engine for attempt in host.attempts] == [0, 1, 0]


def test_attempt_timeout_grows_with_the_expected_queueing_delay() -> None:
    """A timeout shorter than the queueing delay would cause retries that add to the congestion."""
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.complete(host.submit(1_000))
    host.submit(3_000)
    early_timeout = host.attempts[-1].timeout
    host.submit(3_000, time_budget=8 * SECOND)
    assert host.attempts[-1].timeout > early_timeout


def test_slow_prefill_is_not_retried_before_the_first_token_objective() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE], routing_settings(front_count=200))
    host.submit(2_000)
    assert host.attempts[0].timeout >= SECOND - 200


def test_retries_of_timed_out_prefills_are_limited_by_completed_prefills() -> None:
    host = FakeSchedulerHost([PREFILL] * 4 + [DECODE])
    timed_out_after = SECOND // 10
    for _ in range(2):  # the retry budget of a front before any of its prefills has completed
        request = host.submit(time_budget=10 * SECOND)
        assert host.attempts[-1].timeout > 0
        host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=timed_out_after)
        assert host.attempt_count(request) == 2
        host.driver.client_disconnected(host.now, request)
        host.end_attempt(request, AttemptStatus.CANCELLED)
    request = host.submit(time_budget=10 * SECOND)
    assert host.attempts[-1].timeout == 0  # no retry is allowed, so the attempt may run until the deadline
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=timed_out_after)
    assert (host.attempt_count(request), host.actions_of(request)[-1]) == (1, "reject")
    for _ in range(4):
        request = host.submit(time_budget=10 * SECOND)
        host.complete(request)
    request = host.submit(time_budget=10 * SECOND)
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=timed_out_after)
    assert host.attempt_count(request) == 2
