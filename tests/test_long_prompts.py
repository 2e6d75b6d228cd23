"""Long prompts: estimates of prefill rates, selection between prefill and mixed engines, and admission."""

from __future__ import annotations

import pytest

from runspool.scheduling.types import AttemptStatus, Role
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings


def test_a_cached_prompt_does_not_raise_the_prefill_rate_of_mixed_engines() -> None:
    host = FakeSchedulerHost([MIXED], routing_settings(front_count=50))
    for _ in range(4):
        request = host.submit(6_000)
        host.start_stream(request, duration=500)
        host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=5_500)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] <= 1.0
    request = host.submit(6_000)
    host.start_stream(request, duration=2_000)
    # The number of cached tokens is unknown until the attempt ends.
    assert host.driver.scheduler.prefill_rates[Role.MIXED] <= 1.0
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000, cached_tokens=0)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] == 3.0


@pytest.mark.parametrize("cached", [-1_000_000_000, 9_000_000])
def test_an_impossible_cached_token_count_does_not_raise_prefill_rates(cached: int) -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    scheduler = host.driver.scheduler
    scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is selected
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


def test_one_slow_stream_leaves_time_to_prefill_at_its_mixed_engine_and_many_do_not() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    prefill_engine = host.driver.scheduler.engines[0]
    selected_engines = []
    for _ in range(8):
        prefill_engine.prefill_tokens = 500
        request = host.submit(200)
        prefill_engine.prefill_tokens = 0
        selected_engines.append(host.engine_of(request))
        if selected_engines[-1] == 0:
            host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(request)
        # The 50 tokens of the stream may take 25,000.
        host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=15_000)
    assert selected_engines[:2] == [1, 1], selected_engines
    assert selected_engines[-1] == 0, selected_engines


def test_a_stream_prefilled_elsewhere_does_not_change_the_prefill_rate_of_its_engine() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    host.driver.scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is selected
    request = host.submit(4_000)
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.start_stream(request, duration=100)
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000)
    assert host.driver.scheduler.prefill_rates[Role.MIXED] == 1.0


def test_a_prompt_whose_prefill_and_wait_fit_into_the_objective_is_admitted() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE], routing_settings(front_count=50))
    host.random_draw = 0.5
    scheduler = host.driver.scheduler
    usual_delay = scheduler.role_queueing_delays[Role.PREFILL]
    usual_delay.duration, usual_delay.updated_at = 2_200.0, host.now
    # The objective is 1 s; the usual delay of 0.22 s leaves time for a prefill of 0.4 s but not of 0.9 s.
    assert host.actions_of(host.submit(4_000)) == ["start_attempt"]
    assert host.actions_of(host.submit(9_000)) == ["reject"]
