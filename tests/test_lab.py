"""The laboratory itself: what its engines do, what its days hold, and a small day with real processes."""

from __future__ import annotations

import json
from itertools import pairwise
from pathlib import Path
from typing import Any

import anyio
import pytest

from runspool.lab import recording
from runspool.lab import report as verdict
from runspool.lab.cell_plans import flood
from runspool.lab.model import Job, Model, Phase, Verdict
from runspool.lab.plan import (
    BENCH_KINDS,
    OWN_KINDS,
    SECOND,
    Trouble,
    UnplayableDayError,
    bad_night,
    from_bench,
)
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.lab.workload import Item, crowd
from tests.town import make


def job(prompt: int = 200, out: int = 5, answers: bool = True, blocks: list[int] | None = None) -> Job:
    return Job("r", "ask", prompt, blocks or [], out, answers)


def run(model: Model, now: int = 0, steps: int = 1000) -> int:
    """Works until nothing is left to do; returns the time that took."""
    for _ in range(steps):
        model.admit()
        step = model.step(now)
        if step is None:
            return now
        now += step.length
        model.end(step)
    raise AssertionError("it does not end")


def test_a_cold_engine_is_slow_and_falls_when_pushed() -> None:
    warm, cold = (Model(make("reader"), 0, cold, 1) for cold in (False, True))
    times = []
    for model in (warm, cold):
        one = job(4_000, answers=False)
        model.offer(0, one)
        times.append(run(model))
    assert times[1] > 2 * times[0]
    pushed = [cold.offer(10, job()) for _ in range(200)]
    assert Verdict.FELL in pushed
    assert Verdict.FELL not in [warm.offer(10, job()) for _ in range(200)]


def test_kept_texts_are_not_read_again_until_forgotten() -> None:
    model = Model(make("reader"), 0, False, 1)
    text = list(range(40))
    first, again, later = (job(2_600, answers=False, blocks=text) for _ in range(3))
    model.offer(0, first)
    run(model)
    model.hold(first, "s")
    model.offer(0, again)
    run(model)
    assert (first.kept, again.kept) == (0, 40 * 64)
    model.forget(1.0)
    model.offer(0, later)
    run(model)
    assert later.kept == 0


def test_memory_is_given_back_whichever_way_a_job_ends() -> None:
    model = Model(make("mixed"), 0, False, 1)
    read, dropped, answered, waiting = job(answers=False), job(), job(), job()
    for one in (read, dropped, answered, waiting):
        model.offer(0, one)
    model.admit()
    model.drop(dropped)
    model.drop(waiting)
    run(model)
    model.hold(read, "s")
    assert (model.used, model.states) == (read.prompt, {"s": read.prompt})
    assert model.let_go("s") and not model.let_go("s")
    assert (model.used, model.active) == (0, [])
    assert answered.phase is Phase.OVER


def test_when_memory_runs_out_the_newest_answer_goes_back_and_still_ends() -> None:
    model = Model(make("mixed"), 0, False, 1)
    jobs = [job(prompt=model.make.memory // 2 - 20, out=100) for _ in range(2)]
    for one in jobs:
        model.offer(0, one)
    run(model, steps=5000)
    assert [one.made for one in jobs] == [100, 100]
    assert model.used == 0


def test_the_same_seed_draws_the_same_crowd() -> None:
    one, two, other = (crowd(bad_night(seed)) for seed in (3, 3, 4))
    assert one == two != other
    assert {item.tariff for item in one} == {0, 1, 2}
    assert all(before.at <= after.at for before, after in pairwise(one))


def test_a_bad_night_holds_at_least_eight_troubles_at_one_time_for_any_seed() -> None:
    for seed in range(30):
        plan = bad_night(seed)
        assert {one.kind for one in plan.troubles} <= {*BENCH_KINDS, *OWN_KINDS}
        most = max(
            sum(one.at <= at < one.at + max(one.length, SECOND) for one in plan.troubles)
            for at in range(0, plan.length, SECOND // 2)
        )
        assert most >= 8, seed


def bench_day(*kinds: str) -> dict[str, Any]:
    """A day in the shape that the bench draws; times in microseconds."""
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
        "site": "town",
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


def test_every_kind_that_the_bench_draws_is_playable_and_another_is_named(tmp_path: Path) -> None:
    plan = from_bench(bench_day(*BENCH_KINDS), 3, 12)
    assert [one.kind for one in plan.troubles] == list(BENCH_KINDS)
    assert {one.kind for one in plan.engines} == {"prefill", "decode", "mixed"}
    assert all(0 <= at < 12 for one in plan.troubles for at in one.on)
    director = ScenarioRunner(plan, tmp_path)
    by_clients = {"burst", "tenant_burst", "hot_key", "heavy_tail", "retry_abuse"}
    by_director = {"ageing", "balancer_roll", "neighbour", "discovery_stale", "flush"}
    for one in plan.troubles:
        assert one.kind in by_clients | by_director or director._spans(one), one.kind
    with pytest.raises(UnplayableDayError, match="moonshine"):
        from_bench(bench_day("burst", "moonshine"), 3, 12)
    with pytest.raises(UnplayableDayError, match="troubles"):
        from_bench({}, 3, 12)


def test_troubles_of_the_crowd_change_the_crowd() -> None:
    quiet = crowd(from_bench(bench_day(), 3, 12))
    burst = crowd(from_bench(bench_day("burst"), 3, 12))
    longer = bench_day("heavy_tail")
    longer["troubles"][0] |= {"size": 20.0, "which": 0}
    heavy = crowd(from_bench(longer, 3, 12))
    abuse = crowd(from_bench(bench_day("retry_abuse"), 3, 12))
    assert len(burst) > len(quiet)
    assert _mean(heavy) > 1.1 * _mean(quiet)
    assert any(item.backoff == 0 for item in abuse)
    assert not any(item.backoff == 0 for item in quiet)


def _mean(items: list[Item]) -> float:
    return sum(item.prompt for item in items) / len(items)


def test_a_small_night_with_processes_killed_keeps_every_rule(tmp_path: Path) -> None:
    plan = bad_night(5, 26 * SECOND)
    plan.length, plan.rate = 7 * SECOND, 15
    writer = next(at for at, one in enumerate(plan.engines) if one.kind == "decode")
    reader = next(at for at, one in enumerate(plan.engines) if one.kind == "prefill")
    plan.troubles = [
        Trouble("crash", 3 * SECOND, SECOND, on=[writer]),
        Trouble("front_kill", 4 * SECOND, SECOND, on=[1]),
        Trouble("drain", 2 * SECOND, SECOND, on=[reader]),
        Trouble("list_noise", SECOND, 4 * SECOND),
        Trouble("errors", 2 * SECOND, 3 * SECOND, size=0.3, on=[writer + 4]),
    ]
    file = anyio.run(ScenarioRunner(plan, tmp_path).play)
    said = verdict.verdict(recording.read_recording(file))
    verdict.write(said, tmp_path)
    assert said["kept"], said["rules"]
    assert said["unjudged"] == []
    assert said["fronts_stopped"] == {"front-0": 0, "front-1": 0, "front-2": 0}
    assert json.loads((tmp_path / "verdict.json").read_text())["gain"]["whole"] > 0.5
    assert "no effect twice" in (tmp_path / "report.txt").read_text()


def test_every_kind_of_the_bench_at_once_through_real_fronts_keeps_every_rule(tmp_path: Path) -> None:
    day = bench_day(*BENCH_KINDS)
    day["troubles"] += [
        {**row, "at": row["at"] + 500_000}
        for row in day["troubles"]
        if row["kind"] in ("ageing", "balancer_roll")
    ]  # also on top of itself
    file = anyio.run(ScenarioRunner(from_bench(day, 2, 9, 0.5), tmp_path).play)
    said = verdict.verdict(recording.read_recording(file))
    assert said["kept"], said["rules"]
    assert {one["kind"] for one in said["troubles"]} >= {"ageing", "balancer_roll", "class_fail", "throttle"}
    assert said["rules"]["no query lost"]["cases"] > 30


def test_a_tenants_flood_leaves_what_all_others_ask_as_it_was() -> None:
    calm, flooded = crowd(flood(3, flooded=False)), crowd(flood(3))
    assert [item for item in flooded if item.tenant != 0] == [item for item in calm if item.tenant != 0]
    during = [item for item in flooded if 40_000 <= item.at < 340_000 and item.tenant == 0]
    usual = [item for item in calm if 40_000 <= item.at < 340_000 and item.tenant == 0]
    assert 4.5 < len(during) / len(usual) < 7.5
