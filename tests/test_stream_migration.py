"""Migration of streams to another engine, and admission of their continuations."""

from __future__ import annotations

from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, EngineState
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost


def migrated_requests(host: FakeSchedulerHost) -> list[int]:
    """Return the requests whose streams were migrated, in order."""
    return [request for action, request in host.actions if action == "migrate_stream"]


def test_overloaded_decode_engine_has_one_stream_migrated_per_second() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE, DECODE])
    for _ in range(4):
        request = host.submit()
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(request)
    overloaded_engine = host.driver.scheduler.engines[host.engine_of(request)]
    overloaded_engine.observed_capacity = 1_000
    host.advance(SECOND + 1)
    assert len(migrated_requests(host)) == 1


def test_shutdown_migrates_streams_in_its_last_second_newest_first() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    requests = []
    for _ in range(3):
        requests.append(host.submit())
        host.end_attempt(requests[-1], AttemptStatus.PREFILL_COMPLETE)
        host.start_stream(requests[-1])
    host.driver.begin_shutdown(host.now, host.now + 3 * SECOND)
    host.advance(2 * SECOND - 1)
    assert migrated_requests(host) == []
    host.advance(2)
    assert migrated_requests(host) == [requests[-1]]
    host.end_attempt(requests[-1], AttemptStatus.CANCELLED, finished=True)
    host.update_engine(1, EngineState.DRAINING)
    host.advance(SECOND)
    assert set(migrated_requests(host)) == set(requests)


def test_continuation_of_a_stream_is_not_rejected_where_a_new_request_is() -> None:
    for is_continuation, expected_rejections in ((False, ["reject"]), (True, [])):
        host = FakeSchedulerHost([PREFILL, DECODE])
        host.random_draw = 0.9
        host.driver.scheduler.engines[0].prefill_tokens = 4_000
        request = host.submit(is_continuation=is_continuation)
        rejections = [action for action in host.actions_of(request) if action == "reject"]
        assert rejections == expected_rejections
