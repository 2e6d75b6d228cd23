"""Estimates of queueing delays that a front derives from its own prefills."""

from __future__ import annotations

from runspool.scheduling.latency_estimator import predicted_queueing_delay, update_estimate
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus, Role
from tests.fake_scheduler_host import DECODE, PREFILL, FakeSchedulerHost, routing_settings


def test_hanging_engine_does_not_raise_the_predicted_delay_of_its_peers() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE], routing_settings(front_count=50))
    request = host.submit(500)
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=30_000)
    scheduler = host.driver.scheduler
    peer = scheduler.engines[1 - host.attempts[0].engine]
    assert predicted_queueing_delay(scheduler, peer) < 2_000


def test_one_timed_out_prefill_sets_the_predicted_delay_of_a_rarely_used_engine() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, DECODE], routing_settings(front_count=200))
    request = host.submit(500)
    host.end_attempt(request, AttemptStatus.TIMED_OUT, duration=20_000)
    slow_engine = host.driver.scheduler.engines[host.attempts[0].engine]
    assert predicted_queueing_delay(host.driver.scheduler, slow_engine) > 15_000


def test_front_that_rarely_uses_each_engine_detects_congestion_after_three_prefills() -> None:
    host = FakeSchedulerHost([PREFILL] * 9 + [DECODE], routing_settings(front_count=200))
    for _ in range(3):
        host.advance(2 * SECOND)
        request = host.submit(500)
        host.end_attempt(request, AttemptStatus.PREFILL_COMPLETE, duration=15_000)
        host.start_stream(request)
        host.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True)
    assert host.driver.scheduler.role_queueing_delays[Role.PREFILL].duration > 3_500


def test_predicted_delay_of_an_engine_in_slow_start_depends_only_on_its_own_prefills() -> None:
    host = FakeSchedulerHost([PREFILL, PREFILL, PREFILL, DECODE], routing_settings(front_count=100))
    scheduler = host.driver.scheduler
    usual_delay = scheduler.role_queueing_delays[Role.PREFILL]
    for engine in (0, 1):
        update_estimate(scheduler, scheduler.engines[engine].queueing_delay, usual_delay, SECOND)
    host.update_engine(2, started_at=host.now - SECOND)
    cold_engine = scheduler.engines[2]
    assert (
        warmup_fraction(scheduler, cold_engine) < 1 and predicted_queueing_delay(scheduler, cold_engine) == 0
    )
    assert predicted_queueing_delay(scheduler, scheduler.engines[0]) > 0
    update_estimate(scheduler, cold_engine.queueing_delay, usual_delay, SECOND)
    assert predicted_queueing_delay(scheduler, cold_engine) > 0
