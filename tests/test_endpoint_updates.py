"""Endpoint updates in the scheduler: engines that restart, change their role, are added and are removed."""

from __future__ import annotations

import pytest

from runspool.scheduling.endpoint_updates import MAX_DEPARTED_ENGINES
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.transfer_cost import transfer_delay
from runspool.scheduling.types import AttemptStatus, EndpointUpdate, EngineRecord, EngineState
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost


def test_stale_record_does_not_clear_the_load_of_a_busy_engine() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.update_engine(0, started_at=500)
    request = host.submit()
    host.update_engine(0, started_at=400)
    assert list(host.driver.scheduler.engines[0].prefills) == [request]
    host.advance(10)
    host.update_engine(0, started_at=host.now)  # a new process has no prefills
    assert not host.driver.scheduler.engines[0].prefills


@pytest.mark.parametrize("stage", ["prefill", "waiting", "streaming"])
@pytest.mark.parametrize("sent_before_start", [True, False])
def test_restarted_engine_keeps_only_the_load_sent_since_its_start(
    sent_before_start: bool, stage: str
) -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    scheduler = host.driver.scheduler
    request = host.submit()
    if stage != "prefill":
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    if stage == "streaming":
        host.start_stream(request)
    number = host.engine_of(request)
    before = scheduler.engines[number]
    counted = (before.prefill_tokens, before.stream_tokens)
    host.advance(SECOND)
    start = host.now if sent_before_start else host.now - 2 * SECOND
    host.update_engine(number, started_at=start)  # the list announces the restart late
    now = scheduler.engines[number]
    assert (now.prefill_tokens, now.stream_tokens) == ((0, 0) if sent_before_start else counted)
    host.end_attempt(request, AttemptStatus.CANCELLED, finished=True)
    assert not (now.prefills or now.streams or now.waiting_decodes or now.prefill_tokens or now.stream_tokens)
    assert not (scheduler.active_engines or scheduler.open_attempts)


def test_engine_listed_again_with_another_role_is_selected_for_that_role() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    record = EngineRecord(1, DECODE, 0, 0, 0, EngineState.READY)
    host.driver.update_endpoints(host.now, EndpointUpdate(False, [record]))
    assert {host.engine_of(host.submit(100)) for _ in range(4)} == {0}


def test_number_of_removed_engines_kept_is_bounded() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    scheduler = host.driver.scheduler
    for number in range(100, 1_100):
        for state in (EngineState.READY, EngineState.REMOVED):
            record = EngineRecord(number, PREFILL, 0, number, 0, state)
            host.driver.update_endpoints(host.now, EndpointUpdate(False, [record]))
            transfer_delay(scheduler, number)
    assert len(scheduler.engines) <= MAX_DEPARTED_ENGINES + 2
    assert len(scheduler.rack_transfer_delays) <= MAX_DEPARTED_ENGINES + 2


def test_engine_does_not_equal_another_with_the_same_values() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    engine = host.driver.scheduler.engines[0]
    names = ("stable_hash", "role", "zone", "rack", "memory_tokens", "started_at")
    assert engine != Engine(0, *[getattr(engine, name) for name in names])
