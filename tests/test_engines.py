"""Engines of long prompts: what is read where, what a rate is learned from, which reads are let in."""

from __future__ import annotations

import pytest

from runspool.scheduling.types import AttemptStatus, Role
from tests.fake_host_aliases import MIXED, READER, WRITER, FakeHost, terms


def test_a_prompt_found_cached_does_not_make_a_mixed_engine_look_fast() -> None:
    host = FakeHost([MIXED], terms(front_count=50))
    for _ in range(4):
        one = host.ask(6_000)
        host.begin(one, took=500)
        host.end(one, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=5_500)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] <= 1.0
    one = host.ask(6_000)
    host.begin(one, took=2_000)
    # before its end nothing is known of what was cached
    assert host.desk.scheduler.prefill_rates[Role.MIXED] <= 1.0
    host.end(one, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=0)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] == 3.0


@pytest.mark.parametrize("cached", [-1_000_000_000, 9_000_000])
def test_a_cached_count_that_cannot_be_makes_no_engine_look_fast(cached: int) -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    rules = host.desk.scheduler
    rules.engines[1].prefill_tokens = 9_000  # so that the reader reads
    one = host.ask(6_000)
    host.end(one, AttemptStatus.PREFILL_COMPLETE, took=6_000, kept=cached)
    host.begin(one)
    host.end(one, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=cached)
    rules.engines[1].prefill_tokens, rules.engines[0].prefill_tokens = 0, 9_000
    two = host.ask(6_000)
    assert host.at(two) == 1
    host.begin(two, took=6_000)
    host.end(two, AttemptStatus.SUCCEEDED, over=True, took=5_000, kept=cached)
    assert rules.prefill_rates[Role.PREFILL] <= 1.0
    assert rules.prefill_rates[Role.MIXED] <= 1.0
    assert 0 <= rules.request_classes[0].cached_fraction <= 1


def test_one_slow_answer_leaves_room_in_the_pace_and_many_do_not() -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    reader = host.desk.scheduler.engines[0]
    places = []
    for _ in range(8):
        reader.prefill_tokens = 500
        one = host.ask(200)
        reader.prefill_tokens = 0
        places.append(host.at(one))
        if places[-1] == 0:
            host.end(one, AttemptStatus.PREFILL_COMPLETE)
        host.begin(one)
        host.end(
            one, AttemptStatus.SUCCEEDED, over=True, took=15_000
        )  # 50 tokens, for which 25,000 are allowed
    assert places[:2] == [1, 1], places
    assert places[-1] == 0, places


def test_a_stream_from_a_reader_teaches_nothing_of_how_fast_its_writer_reads() -> None:
    host = FakeHost([READER, MIXED], terms(front_count=50))
    host.desk.scheduler.engines[1].prefill_tokens = 9_000  # so that the reader reads
    one = host.ask(4_000)
    host.end(one, AttemptStatus.PREFILL_COMPLETE)
    host.begin(one, took=100)
    host.end(one, AttemptStatus.SUCCEEDED, over=True, took=5_000)
    assert host.desk.scheduler.prefill_rates[Role.MIXED] == 1.0


def test_a_read_that_is_in_time_with_its_own_reading_is_let_in() -> None:
    host = FakeHost([READER, WRITER], terms(front_count=50))
    host.luck = 0.5
    rules = host.desk.scheduler
    rules.usual_queueing_delays[Role.PREFILL].time, rules.usual_queueing_delays[Role.PREFILL].updated_at = (
        2_200.0,
        host.now,
    )
    assert host.of(host.ask(4_000)) == ["send"]  # 0.4 s of reading and 0.22 s of others' in 1 s
    assert host.of(host.ask(9_000)) == ["dismiss"]  # 0.9 s of reading, and as much of others'
