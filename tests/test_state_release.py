"""Release of prefill states that no decode engine will use."""

from __future__ import annotations

from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, EngineState
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost


def test_state_is_released_when_no_decode_engine_is_available() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.update_engine(1, EngineState.REMOVED)
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
    host.advance(3000)
    assert "release_state" in host.actions_of(request)
    host.advance(4 * SECOND)
    assert host.actions_of(request)[-2:] == ["release_state", "reject"]


def test_state_is_released_when_the_client_disconnected_during_its_prefill() -> None:
    host = FakeSchedulerHost([PREFILL, DECODE])
    request = host.submit()
    host.driver.client_disconnected(host.now, request)
    host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE, finished=True)
    assert host.actions_of(request) == ["start_attempt", "release_state"]
