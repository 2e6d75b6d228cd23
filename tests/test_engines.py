"""Prefill of long prompts: at which engine, what its rate is estimated from, which prefills are admitted."""

from __future__ import annotations

import pytest

from runspool.scheduling.types import AttemptStatus, Role
from tests.fakehost import MIXED, READER, WRITER, FakeHost, terms


def test_a_prompt_found_cached_does_not_make_a_mixed_engine_look_fast() -> None:
    host = FakeHost([MIXED], terms(front_count=50))
    for _ in range(4):
        request = host.ask(6_000)
        host.begin(request, took=500)
        host.end(request, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=5_500)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] <= 1.0
    request = host.ask(6_000)
    host.begin(request, took=2_000)
    # until it ends nothing is known of cached tokens
    assert host.desk.scheduler.prefill_rates[Role.MIXED] <= 1.0
    host.end(request, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=0)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] == 3.0


@pytest.mark.parametrize("cached", [-1_000_000_000, 9_000_000])
def test_an_impossible_cached_count_makes_no_engine_look_fast(cached: int) -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    scheduler = host.desk.scheduler
    scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is chosen
    request = host.ask(6_000)
    host.end(request, AttemptStatus.PREFILL_COMPLETE, took=6_000, kept=cached)
    host.begin(request)
    host.end(request, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=cached)
    scheduler.engines[1].prefill_tokens, scheduler.engines[0].prefill_tokens = 0, 9_000
    second_request = host.ask(6_000)
    assert host.at(second_request) == 1
    host.begin(second_request, took=6_000)
    host.end(second_request, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=cached)
    assert scheduler.prefill_rates[Role.PREFILL] <= 1.0
    assert scheduler.prefill_rates[Role.MIXED] <= 1.0
    assert 0 <= scheduler.request_classes[0].cached_fraction <= 1


def test_one_slow_response_leaves_time_per_output_token_and_many_do_not() -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    prefill_engine = host.desk.scheduler.engines[0]
    chosen = []
    for _ in range(8):
        prefill_engine.prefill_tokens = 500
        request = host.ask(200)
        prefill_engine.prefill_tokens = 0
        chosen.append(host.at(request))
        if chosen[-1] == 0:
            host.end(request, AttemptStatus.PREFILL_COMPLETE)
        host.begin(request)
        host.end(
            request, AttemptStatus.SUCCEEDED, over=True, took=15_000
        )  # 50 tokens, for which 25,000 are allowed
    assert chosen[:2] == [1, 1], chosen
    assert chosen[-1] == 0, chosen


def test_a_stream_after_a_remote_prefill_leaves_the_prefill_rate_of_its_engine() -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    host.desk.scheduler.engines[1].prefill_tokens = 9_000  # so that the prefill engine is chosen
    request = host.ask(4_000)
    host.end(request, AttemptStatus.PREFILL_COMPLETE)
    host.begin(request, took=100)
    host.end(request, AttemptStatus.SUCCEEDED, over=True, took=5_000)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] == 1.0


def test_a_prefill_is_admitted_if_it_ends_in_time_with_the_usual_queueing() -> None:
    host = FakeHost([READER, WRITER], terms(front_count=50))
    host.luck = 0.5
    queueing_delay = host.desk.scheduler.usual_queueing_delays[Role.PREFILL]
    queueing_delay.time = 2_200.0
    queueing_delay.updated_at = host.now
    assert host.of(host.ask(4_000)) == ["send"]  # 0.4 s of prefill and 0.22 s of queueing in 1 s
    assert host.of(host.ask(9_000)) == ["dismiss"]  # 0.9 s of prefill, and the same queueing
