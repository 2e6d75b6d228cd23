"""What the scheduler makes of the endpoint list: engines that restart, change their role, come and go."""

from __future__ import annotations

from runspool.scheduling.endpoint_updates import DEPARTED_ENGINES_KEPT
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.transfer_cost import transfer_delay
from runspool.scheduling.types import EndpointUpdate, EngineRecord, EngineState
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost


def test_stale_record_does_not_make_a_busy_engine_look_idle() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    host.update_engine(0, started_at=500)
    request = host.submit()
    host.update_engine(0, started_at=400)
    assert list(host.driver.scheduler.engines[0].prefills) == [request]
    host.update_engine(0, started_at=600)  # a new process has nothing to prefill
    assert not host.driver.scheduler.engines[0].prefills


def test_engine_listed_again_with_another_role_is_selected_for_that() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE])
    record = EngineRecord(1, DECODE, 0, 0, 0, EngineState.READY)
    host.driver.update_endpoints(host.now, EndpointUpdate(False, [record]))
    assert {host.engine_of(host.submit(100)) for _ in range(4)} == {0}


def test_removed_engines_are_forgotten() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    scheduler = host.driver.scheduler
    for number in range(100, 1_100):
        for state in (EngineState.READY, EngineState.REMOVED):
            record = EngineRecord(number, PREFILL, 0, number, 0, state)
            host.driver.update_endpoints(host.now, EndpointUpdate(False, [record]))
            transfer_delay(scheduler, number)
    assert len(scheduler.engines) <= DEPARTED_ENGINES_KEPT + 2
    assert len(scheduler.rack_transfer_delays) <= DEPARTED_ENGINES_KEPT + 2


def test_engine_does_not_equal_another_with_the_same_values() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    engine = host.driver.scheduler.engines[0]
    names = ("stable_hash", "role", "zone", "rack", "memory_tokens", "started_at")
    assert engine != Engine(0, *[getattr(engine, name) for name in names])
