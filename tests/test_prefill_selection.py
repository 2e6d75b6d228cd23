"""Selection of the prefill engine by queue, cached prefix, engine type and rack."""

from __future__ import annotations

from runspool.scheduling.fleet_statistics import refresh_fleet_statistics
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus
from tests.fake_scheduler_host import DECODE, MIXED, PREFILL, FakeSchedulerHost, routing_settings


def test_prefill_goes_to_the_shortest_queue() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    long, short = host.submit(3_500), host.submit(500)
    assert host.engine_of(long) != host.engine_of(short)
    assert host.engine_of(host.submit(500)) == host.engine_of(short)


def test_session_is_prefilled_where_its_prompt_is_cached() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    request = host.submit(4_000, session=3)
    engine = host.engine_of(request)
    host.complete(request)
    host.submit(300, session=4)
    assert host.engine_of(host.submit(4_200, session=3)) == engine


def test_mixed_engine_with_streams_prefills_when_the_prefill_engines_are_behind() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED, DECODE])
    first = host.submit(3_000)
    mixed_engine = host.driver.scheduler.engines[1]
    if host.engine_of(first) == 1:
        host.complete(first)
        first = host.submit(3_000)
    host.end_attempt(first, AttemptStatus.PREFILL_COMPLETE, duration=1_000)
    mixed_engine.streams[99] = mixed_engine.stream_tokens = 100
    host.driver.scheduler.request_classes[0].mean_output_tokens = 50.0
    assert host.engine_of(host.submit(12_500)) == 0
    assert host.engine_of(host.submit(900)) == 1


def test_mixed_engine_with_streams_of_other_fronts_prefills_only_while_responses_are_fast() -> None:
    host = FakeSchedulerHost([PREFILL, MIXED], routing_settings(front_count=50))
    prefill_engine = host.driver.scheduler.engines[0]

    def complete_at_mixed_engine(duration: int) -> None:
        """Complete a response of 50 tokens at the mixed engine; the request class allows 2.5 s for it."""
        prefill_engine.prefill_tokens = 0
        request = host.submit(200)
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(request)
        host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=duration)
        prefill_engine.prefill_tokens = 500

    prefill_engine.prefill_tokens = 500
    # Without an expected output length, the front cannot estimate how fast responses are.
    assert host.engine_of(host.submit(200, expected_output_tokens=0)) == 0
    request = host.submit(200)
    assert host.engine_of(request) == 1
    host.start_stream(request)
    assert host.engine_of(host.submit(200)) == 0  # while the front's own stream runs there
    host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=5_000)
    assert host.engine_of(host.submit(200)) == 1
    for _ in range(12):
        complete_at_mixed_engine(20_000)
    assert host.engine_of(host.submit(200)) == 0


def test_all_fronts_prefill_a_prefix_at_the_same_engine() -> None:
    engines = set()
    for prefix in (3, 9):
        host = FakeSchedulerHost([PREFILL, PREFILL, PREFILL, DECODE], routing_settings(front_count=50))
        request = host.submit(3_000, prefix=prefix, prefix_tokens=2_500, prefix_hash=77)
        engines.add(host.engine_of(request))
    assert len(engines) == 1


def test_prefix_has_as_many_affinity_candidates_at_its_first_request_as_later() -> None:
    def new_host() -> FakeSchedulerHost:
        return FakeSchedulerHost([PREFILL] * 40 + [DECODE], routing_settings(front_count=200))

    def candidate_counts(prefix_tokens: int) -> list[int]:
        """Return the counts for one front's first request with the prefix and another front's first two."""
        other_host = new_host()
        counts = []
        for host in (new_host(), other_host, other_host):
            index = host.submit(3_000, prefix=1, prefix_tokens=prefix_tokens, prefix_hash=77)
            request = host.driver.tasks[index].request
            counts.append(len(request.affinity_candidates) if request else 0)
        return counts

    assert all(2 <= count <= 5 for count in candidate_counts(1_000)), candidate_counts(1_000)
    # If its prefill takes much of the first-token objective, a prefix has one candidate until it is popular.
    assert candidate_counts(2_500)[0] == 1
    assert all(1 <= count <= 3 for count in candidate_counts(2_500)), candidate_counts(2_500)


def test_rack_without_decode_engines_gets_fewer_prefills_when_links_are_slow() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    scheduler = host.driver.scheduler
    scheduler.engines[1].rack = 1
    scheduler.fleet_transfer_delay.duration = SECOND
    scheduler.fleet_transfer_delay.updated_at = host.now
    scheduler.fleet_statistics_at = -1
    refresh_fleet_statistics(scheduler)
    assert scheduler.rack_weights[1] < 0.5
    assert scheduler.rack_weights[0] > 1
