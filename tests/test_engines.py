"""Engines of long prompts: what is read where, what a rate is learned from, which reads are let in."""

from __future__ import annotations

from runspool.decisions.interface import Ending, Role
from tests.fakehost import MIXED, READER, WRITER, FakeHost, terms


def test_a_prompt_found_cached_does_not_make_a_mixed_engine_look_fast() -> None:
    host = FakeHost([MIXED], terms(fronts=50))
    for _ in range(4):
        one = host.ask(6_000)
        host.begin(one, took=500)
        host.end(one, Ending.SUCCEEDED, over=True, took=5_000, kept=5_500)
    assert host.desk.rules.rates[Role.MIXED] <= 1.0
    one = host.ask(6_000)
    host.begin(one, took=2_000)
    assert host.desk.rules.rates[Role.MIXED] <= 1.0  # before its end nothing is known of what was cached
    host.end(one, Ending.SUCCEEDED, over=True, took=5_000, kept=0)
    assert host.desk.rules.rates[Role.MIXED] == 3.0


def test_a_stream_from_a_reader_teaches_nothing_of_how_fast_its_writer_reads() -> None:
    host = FakeHost([READER, MIXED], terms(fronts=50))
    host.desk.rules.engines[1].unread = 9_000  # so that the reader reads
    one = host.ask(4_000)
    host.end(one, Ending.READ)
    host.begin(one, took=100)
    host.end(one, Ending.SUCCEEDED, over=True, took=5_000)
    assert host.desk.rules.rates[Role.MIXED] == 1.0




def test_a_read_that_is_in_time_with_its_own_reading_is_let_in() -> None:
    host = FakeHost([READER, WRITER], terms(fronts=50))
    host.luck = 0.5
    rules = host.desk.rules
    rules.lags[Role.READER].time, rules.lags[Role.READER].heard = 2_200.0, host.now
    assert host.of(host.ask(4_000)) == ["send"]  # 0.4 s of reading and 0.22 s of others' in 1 s
    assert host.of(host.ask(9_000)) == ["dismiss"]  # 0.9 s of reading, and as much of others'
