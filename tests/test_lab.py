"""The laboratory: its engine model, its workloads and plans, and small scenarios with real processes."""

from __future__ import annotations

import json
from itertools import pairwise
from pathlib import Path
from typing import Any

import anyio
import pytest

from runspool.lab import recording
from runspool.lab.cell_scenarios import flood
from runspool.lab.engine_fault_commands import engine_faults
from runspool.lab.engine_model import AdmissionResult, EngineModel, Job, Phase
from runspool.lab.plan import LABORATORY_FAULT_KINDS, SECOND, SIMULATOR_FAULT_KINDS, FaultPlan
from runspool.lab.report import scenario_verdict, write_report
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.lab.scripted_scenarios import bad_night
from runspool.lab.simulator_scenarios import InvalidSimulatorScenarioError, plan_from_simulator_scenario
from runspool.lab.workload import PlannedRequest, draw_workload
from tests.small_fleet import engine_spec


def make_job(
    prompt_tokens: int = 200, output_tokens: int = 5, decodes: bool = True, blocks: list[int] | None = None
) -> Job:
    """Return a job of the class "ask" with these prompt blocks."""
    return Job("r", "ask", prompt_tokens, blocks or [], output_tokens, decodes)


def run(model: EngineModel, now: int = 0, max_steps: int = 1000) -> int:
    """Run an engine until it has no work left; return the time at which that is."""
    for _ in range(max_steps):
        model.start_waiting()
        step = model.next_step(now)
        if step is None:
            return now
        now += step.duration
        model.finish_step(step)
    raise AssertionError(f"the engine still has work after {max_steps} steps")


def test_a_cold_engine_is_slow_and_crashes_when_overloaded() -> None:
    warm, cold = (EngineModel(engine_spec("reader"), 0, cold, 1) for cold in (False, True))
    times = []
    for model in (warm, cold):
        model.submit(0, make_job(4_000, decodes=False))
        times.append(run(model))
    assert times[1] > 2 * times[0]
    results = [cold.submit(10, make_job()) for _ in range(200)]
    assert AdmissionResult.OVERLOADED_COLD in results
    assert AdmissionResult.OVERLOADED_COLD not in [warm.submit(10, make_job()) for _ in range(200)]


def test_cached_blocks_are_not_prefilled_again_until_evicted() -> None:
    model = EngineModel(engine_spec("reader"), 0, False, 1)
    blocks = list(range(40))
    first, again, later = (make_job(2_600, decodes=False, blocks=blocks) for _ in range(3))
    model.submit(0, first)
    run(model)
    model.hold_state(first, "s")
    model.submit(0, again)
    run(model)
    assert (first.cached_tokens, again.cached_tokens) == (0, 40 * 64)
    model.evict(1.0)
    model.submit(0, later)
    run(model)
    assert later.cached_tokens == 0


def test_memory_is_freed_however_a_job_ends() -> None:
    model = EngineModel(engine_spec("mixed"), 0, False, 1)
    prefilled, removed, decoded, waiting = make_job(decodes=False), make_job(), make_job(), make_job()
    for job in (prefilled, removed, decoded, waiting):
        model.submit(0, job)
    model.start_waiting()
    model.remove(removed)
    model.remove(waiting)
    run(model)
    model.hold_state(prefilled, "s")
    assert model.used_memory == prefilled.prompt_tokens
    assert model.held_states == {"s": prefilled.prompt_tokens}
    assert model.release_state("s") and not model.release_state("s")
    assert (model.used_memory, model.active) == (0, [])
    assert decoded.phase is Phase.FINISHED


def test_a_stream_preempted_for_lack_of_memory_still_finishes() -> None:
    model = EngineModel(engine_spec("mixed"), 0, False, 1)
    jobs = [make_job(model.spec.memory // 2 - 20, output_tokens=100) for _ in range(2)]
    for job in jobs:
        model.submit(0, job)
    run(model, max_steps=5000)
    assert [job.generated_tokens for job in jobs] == [100, 100]
    assert model.used_memory == 0


def test_the_same_seed_draws_the_same_workload() -> None:
    one, two, other = (draw_workload(bad_night(seed)) for seed in (3, 3, 4))
    assert one == two != other
    assert {request.request_class_index for request in one} == {0, 1, 2}
    assert all(before.send_at <= after.send_at for before, after in pairwise(one))


def test_the_bad_night_scenario_has_at_least_eight_concurrent_faults_for_any_seed() -> None:
    for seed in range(30):
        plan = bad_night(seed)
        assert {fault.kind for fault in plan.faults} <= {*SIMULATOR_FAULT_KINDS, *LABORATORY_FAULT_KINDS}
        most = max(
            sum(
                fault.starts_at <= time < fault.starts_at + max(fault.duration, SECOND)
                for fault in plan.faults
            )
            for time in range(0, plan.duration, SECOND // 2)
        )
        assert most >= 8, seed


def simulator_scenario(*kinds: str) -> dict[str, Any]:
    """Return a scenario with faults of these kinds, as the simulator prints it; times are in microseconds."""
    rows = [
        {
            "name": "ask",
            "share": 0.8,
            "work": 90_000.0,
            "aim": 1_500_000,
            "deadline": 6_000_000,
            "worth": 1.0,
            "late_worth": 0.1,
            "effect": "safe",
            "group": "all",
            "window": 5_000_000,
        },
        {
            "name": "book",
            "share": 0.3,
            "work": 300_000.0,
            "aim": 3_000_000,
            "deadline": 15_000_000,
            "worth": 3.0,
            "late_worth": 0.1,
            "effect": "unsafe",
            "group": "all",
            "window": 5_000_000,
        },
    ]
    return {
        "site": "small",
        "noise": 7,
        "length": 8_000_000,
        "zones": ["a", "b"],
        "front_notice": 1_000_000,
        "traffic": {"load": 0.3, "shape": [[0.0, 1.0], [8.0, 1.0]]},
        "classes": rows,
        "clients": {"retries": 1, "backoff_us": 50_000.0, "try_share": 0.8, "impatient": 0.0},
        "discovery": {"notice": 500_000},
        "drain_grace": 250_000,
        "fall_multiple": 2.5,
        "fall_for": 1_500_000,
        "allow": {"max_attempts": 5},
        "tenants": [{"name": "t0", "share": 0.6}, {"name": "t1", "share": 0.4}],
        "tiers": [{"kinds": [{"name": "prefill"}, {"name": "decode"}, {"name": "mixed"}]}],
        "servers": [{"zone": at % 2, "kind": at % 3, "cell": at % 2} for at in range(30)],
        "balancers": [{"zone": 0}] * 20,
        "troubles": [
            {
                "kind": kind,
                "at": 2_000_000,
                "len": 2_000_000,
                "size": 2.0,
                "extra": 0.5,
                "which": 1,
                "on": [4, 9, 20],
                "steps": [{"at": 2_000_000, "stop": [3, 12], "start": []}],
                "how": "silence",
            }
            for kind in kinds
        ],
    }


def test_every_fault_kind_of_the_simulator_is_supported_and_an_unknown_one_is_reported() -> None:
    plan = plan_from_simulator_scenario(simulator_scenario(*SIMULATOR_FAULT_KINDS), 3, 12)
    assert [fault.kind for fault in plan.faults] == list(SIMULATOR_FAULT_KINDS)
    assert {engine.engine_type for engine in plan.engines} == {"prefill", "decode", "mixed"}
    assert all(0 <= target < 12 for fault in plan.faults for target in fault.targets)
    by_clients = {"burst", "tenant_burst", "hot_key", "heavy_tail", "retry_abuse"}
    by_runner = {"ageing", "balancer_roll", "neighbour", "discovery_stale", "flush"}
    for fault in plan.faults:
        assert fault.kind in by_clients | by_runner or engine_faults(plan, fault), fault.kind
    with pytest.raises(InvalidSimulatorScenarioError, match="moonshine"):
        plan_from_simulator_scenario(simulator_scenario("burst", "moonshine"), 3, 12)
    with pytest.raises(InvalidSimulatorScenarioError, match="troubles"):
        plan_from_simulator_scenario({}, 3, 12)


def test_workload_faults_change_the_drawn_workload() -> None:
    quiet = draw_workload(plan_from_simulator_scenario(simulator_scenario(), 3, 12))
    burst = draw_workload(plan_from_simulator_scenario(simulator_scenario("burst"), 3, 12))
    longer = simulator_scenario("heavy_tail")
    longer["troubles"][0] |= {"size": 20.0, "which": 0}
    heavy = draw_workload(plan_from_simulator_scenario(longer, 3, 12))
    abuse = draw_workload(plan_from_simulator_scenario(simulator_scenario("retry_abuse"), 3, 12))
    assert len(burst) > len(quiet)
    assert _mean_prompt(heavy) > 1.1 * _mean_prompt(quiet)
    assert any(request.backoff == 0 for request in abuse)
    assert not any(request.backoff == 0 for request in quiet)


def _mean_prompt(requests: list[PlannedRequest]) -> float:
    return sum(request.prompt_tokens for request in requests) / len(requests)


def test_a_short_scenario_with_killed_processes_violates_no_rule(tmp_path: Path) -> None:
    plan = bad_night(5, 26 * SECOND)
    plan.duration, plan.requests_per_second = 7 * SECOND, 15
    types = [engine.engine_type for engine in plan.engines]
    decode, prefill = types.index("decode"), types.index("prefill")
    plan.faults = [
        FaultPlan("crash", 3 * SECOND, SECOND, targets=[decode]),
        FaultPlan("front_kill", 4 * SECOND, SECOND, targets=[1]),
        FaultPlan("drain", 2 * SECOND, SECOND, targets=[prefill]),
        FaultPlan("list_noise", SECOND, 4 * SECOND),
        FaultPlan("errors", 2 * SECOND, 3 * SECOND, magnitude=0.3, targets=[decode + 4]),
    ]
    file = anyio.run(ScenarioRunner(plan, tmp_path).run)
    verdict = scenario_verdict(recording.read_recording(file))
    write_report(verdict, tmp_path)
    assert verdict["kept"], verdict["rules"]
    assert verdict["unjudged"] == []
    assert verdict["fronts_stopped"] == {"front-0": 0, "front-1": 0, "front-2": 0}
    assert json.loads((tmp_path / "verdict.json").read_text())["gain"]["whole"] > 0.5
    assert "no effect twice" in (tmp_path / "report.txt").read_text()


def test_all_fault_kinds_of_the_simulator_at_once_on_real_fronts_violate_no_rule(tmp_path: Path) -> None:
    scenario = simulator_scenario(*SIMULATOR_FAULT_KINDS)
    scenario["troubles"] += [
        {**row, "at": row["at"] + 500_000}
        for row in scenario["troubles"]
        if row["kind"] in ("ageing", "balancer_roll")
    ]  # so that two faults of these kinds overlap
    file = anyio.run(ScenarioRunner(plan_from_simulator_scenario(scenario, 2, 9, 0.5), tmp_path).run)
    verdict = scenario_verdict(recording.read_recording(file))
    assert verdict["kept"], verdict["rules"]
    assert {fault["kind"] for fault in verdict["troubles"]} >= {
        "ageing",
        "balancer_roll",
        "class_fail",
        "throttle",
    }
    assert verdict["rules"]["no query lost"]["cases"] > 30


def test_the_flood_of_one_tenant_does_not_change_the_requests_of_others() -> None:
    calm, flooded = draw_workload(flood(3, with_fault=False)), draw_workload(flood(3))
    assert _requests_of_other_tenants(flooded) == _requests_of_other_tenants(calm)
    assert (
        4.5
        < _count_first_tenants_requests_in_flood(flooded) / _count_first_tenants_requests_in_flood(calm)
        < 7.5
    )


def _requests_of_other_tenants(requests: list[PlannedRequest]) -> list[PlannedRequest]:
    return [request for request in requests if request.tenant_index != 0]


def _count_first_tenants_requests_in_flood(requests: list[PlannedRequest]) -> int:
    """Return the number of requests of the first tenant from the start of the flood to its end."""
    return sum(40_000 <= request.send_at < 340_000 and request.tenant_index == 0 for request in requests)
