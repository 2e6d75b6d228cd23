"""Long prompts: where they are prefilled, what prefill rates are learned from, which are admitted."""

from __future__ import annotations

import pytest

from runspool.scheduling.types import AttemptStatus, Role
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings


def test_a_prompt_found_cached_does_not_make_a_mixed_engine_look_fast() -> None:
    host = FakeSchedulerHost([MIXED], routing_settings(front_count=50))
    for _ in range(4):
        request = host.submit(6_000)
        host.start_stream(request, duration=500)
        host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=5_500)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] <= 1.0
    request = host.submit(6_000)
    host.start_stream(request, duration=2_000)
    # before its end nothing is known of what was cached
    assert host.driver.scheduler.prefill_rates[Role.MIXED] <= 1.0
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=0)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] == 3.0


@pytest.mark.parametrize("cached", [-1_000_000_000, 9_000_000])
def test_a_cached_count_that_cannot_be_makes_no_engine_look_fast(cached: int) -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    scheduler = host.driver.scheduler
    scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is chosen
    request = host.submit(6_000)
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE, duration=6_000, cached_tokens=cached)
    host.start_stream(request)
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=cached)
    scheduler.engines[1].prefill_tokens, scheduler.engines[0].prefill_tokens = 0, 9_000
    second = host.submit(6_000)
    assert host.engine_of(second) == 1
    host.start_stream(second, duration=6_000)
    host.end_attempt(second, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=cached)
    assert scheduler.prefill_rates[Role.PREFILL] <= 1.0
    assert scheduler.prefill_rates[Role.MIXED] <= 1.0
    assert 0 <= scheduler.request_classes[0].cached_fraction <= 1


def test_one_slow_answer_leaves_room_in_the_token_rate_and_many_do_not() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    prefill_engine = host.driver.scheduler.engines[0]
    places = []
    for _ in range(8):
        prefill_engine.prefill_tokens = 500
        request = host.submit(200)
        prefill_engine.prefill_tokens = 0
        places.append(host.engine_of(request))
        if places[-1] == 0:
            host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(request)
        host.end_attempt(
            request, AttemptStatus.SUCCEEDED, finished=True, duration=15_000
        )  # 50 tokens, for which 25,000 are allowed
    assert places[:2] == [1, 1], places
    assert places[-1] == 0, places


def test_a_stream_after_a_prefill_elsewhere_teaches_nothing_of_its_engines_prefill_rate() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    host.driver.scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is chosen
    request = host.submit(4_000)
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.start_stream(request, duration=100)
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] == 1.0


def test_a_prefill_in_time_with_its_own_tokens_is_admitted() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(front_count=50))
    host.random_draw = 0.5
    scheduler = host.driver.scheduler
    usual_delay = scheduler.role_queueing_delays[Role.PREFILL]
    usual_delay.duration, usual_delay.updated_at = 2_200.0, host.now
    # 0.4 s for its tokens and 0.22 s for others' in 1 s; 0.9 s for its tokens, and as much for others'.
    assert host.actions_of(host.submit(4_000)) == ["start_attempt"]
    assert host.actions_of(host.submit(9_000)) == ["reject"]
