"""Measures how well cells isolate tenants from each other, and what cells cost.

    python benchmarks/cells.py flood   --seeds 1,2,3,4,5  # value served to the others while one tenant floods
    python benchmarks/cells.py full    --seeds 1,2,3      # all engines of one cell are full for 10 s
    python benchmarks/cells.py poison  --seeds 1          # one tenant's requests make engines fail
    python benchmarks/cells.py release --seeds 1          # one cell's engines get a faulty release
    python benchmarks/cells.py radius                     # tenants affected by one poisonous tenant
    python benchmarks/cells.py cost                       # time of a cell decision and of the scheduler's

The first four play scenarios of the laboratory on loopback; `radius` is computed, and `cost` times function
calls. A scenario is played with and without its fault on the same workload, so that the difference is caused
by the fault. The results are printed as lines or a table, and as a line of JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Mapping, Set
from pathlib import Path
from random import Random
from typing import Any

import anyio

from runspool.cells.cell_map import Cell, CellMap, Shards
from runspool.cells.cell_router import AdmissionRequest, CellAdmission, CellRouter
from runspool.cells.engine_placement import EngineDescriptor, home_cell, place_engines
from runspool.config import parse_config
from runspool.lab import recording
from runspool.lab.audit import check_rules, read_history
from runspool.lab.audit.history import ClientAttemptRecord
from runspool.lab.cell_scenarios import bad_release, flood, full_cell, poisoned
from runspool.lab.front_configuration import front_configuration
from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event
from runspool.lab.report import share_of_value
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.types import EndpointUpdate, EngineRecord, EngineState, Request, Role
from runspool.units import TENTHS_PER_SECOND

FAULTY_TENANT = "tenant-0"  # the tenant whose requests or cell have the fault
# Quantiles of Student's t-distribution for two-sided 95% intervals, by the number of samples.
STUDENT_T = {2: 12.706, 3: 4.303, 4: 3.182, 5: 2.776, 6: 2.571, 8: 2.365, 10: 2.262}


PlacedCells = Mapping[str, Set[str]]  # the names of the engines of each cell


def play(plan: ScenarioPlan) -> list[Event]:
    """Play a scenario and return its recorded events."""
    with tempfile.TemporaryDirectory() as folder:
        return list(recording.read_recording(anyio.run(ScenarioRunner(plan, Path(folder)).run)))


def value_by_tenant(
    events: list[Event], start: float = 0, end: float = 1e9
) -> dict[str, tuple[float, float]]:
    """Return, by tenant, the value that was served in time and the value that was requested.

    Only requests count whose first attempt was sent from `start` to `end`, in seconds from the beginning of
    the workload. Requests whose client disconnected do not count.
    """
    history = read_history(events)
    begin = next(event["at"] for event in events if event["what"] == "begin")
    weights = {row.name: row.priority_weight for row in history.plan.request_classes}
    by_request: dict[str, list[ClientAttemptRecord]] = {}
    for attempt in history.client_attempts.values():
        by_request.setdefault(attempt.asked["item"], []).append(attempt)
    values: dict[str, tuple[float, float]] = {}
    for attempts in by_request.values():
        asked = attempts[0].asked
        if not start <= (asked["t"] - begin) / TENTHS_PER_SECOND < end:
            continue
        if any(attempt.answer and attempt.answer["kind"] == "left" for attempt in attempts):
            continue
        served, requested = values.get(asked["tenant"], (0.0, 0.0))
        share = max(share_of_value(history.plan, attempts[0], attempt) for attempt in attempts)
        weight = weights[asked["tariff"]]
        values[asked["tenant"]] = (served + weight * share, requested + weight)
    return values


def served_share_of_others(values: dict[str, tuple[float, float]], tenant: str) -> float:
    """Return the share of the requested value that was served to all tenants except `tenant`."""
    served = sum(served for name, (served, _) in values.items() if name != tenant)
    return served / max(1e-9, sum(requested for name, (_, requested) in values.items() if name != tenant))


def count_violations(events: list[Event]) -> int:
    """Return the number of violations of the auditor's rules in a recording."""
    return sum(rule.violation_count for rule in check_rules(read_history(events)).values())


def confidence_interval(values: list[float]) -> tuple[float, float]:
    """Return the mean and half the width of its 95% confidence interval."""
    if len(values) < 2:
        return values[0], float("nan")
    return (
        statistics.mean(values),
        STUDENT_T.get(len(values), 2.0) * statistics.stdev(values) / len(values) ** 0.5,
    )


def _served_share(values: dict[str, tuple[float, float]], tenant: str) -> float:
    served, requested = values[tenant]
    return served / requested


def measure_flood(seeds: list[int]) -> dict[str, Any]:
    """Measure the value served to the other tenants while one tenant sends a flood of requests.

    Runs with cells and without cells are compared with a run with cells in which there is no flood.
    """
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for cells, flooding in ((False, True), (True, True), (True, False)):
            events = play(flood(seed, cells, flooding))
            key = ("cells" if cells else "none") + ("_flood" if flooding else "_calm")
            # Only the flood period counts; the other tenants send the same requests in it in every run.
            values = value_by_tenant(events, 4, 34)
            row[key] = round(served_share_of_others(values, FAULTY_TENANT), 4)
            row[key + "_own"] = round(_served_share(values, FAULTY_TENANT), 4)
            row["broken"] += count_violations(events)
            print(key, row[key], row[key + "_own"], flush=True)
        print(row, flush=True)
        rows.append(row)
    result: dict[str, Any] = {"seeds": len(seeds), "rows": rows}
    for key in ("cells", "none"):
        mean, half = confidence_interval([row[f"{key}_flood"] / row["cells_calm"] - 1 for row in rows])
        result[key] = {"change": round(mean, 4), "half_interval": round(half, 4)}
        print(
            f"change of the value served in time to the other tenants, {key}: {mean:+.2%} by the flood, "
            f"95% interval ±{half:.2%}"
        )
    return result


def measure_fault(seeds: list[int], scenario: Callable[[int, bool, bool], ScenarioPlan]) -> dict[str, Any]:
    """Measure the value served to the other tenants during a fault of one tenant's requests or cell.

    Each seed is played with cells and without, each with the fault and without.
    """
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for cells in (True, False):
            for with_fault in (False, True):
                events = play(scenario(seed, cells, with_fault))
                key = ("cells" if cells else "none") + ("_trouble" if with_fault else "_calm")
                values = value_by_tenant(events, 4)
                row[key] = round(served_share_of_others(values, FAULTY_TENANT), 4)
                row[key + "_own"] = round(_served_share(values, FAULTY_TENANT), 4)
                row[key + "_fell"] = sum(event["what"] == "fell" for event in events)
                row["broken"] += count_violations(events)
        print(row, flush=True)
        rows.append(row)
    return {"rows": rows}


def measure_full_cell(seeds: list[int]) -> dict[str, Any]:
    """Measure the effect of a cell whose engines are full.

    The results are the value served to the other cells' tenants, and how late the full cell's requests are
    rejected.
    """
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for is_full in (False, True):
            events = play(full_cell(seed, is_full))
            key = "full" if is_full else "calm"
            row[f"others_{key}"] = round(
                served_share_of_others(value_by_tenant(events, 8, 18), FAULTY_TENANT), 4
            )
            row[f"own_2s_after_{key}"] = round(
                _served_share(value_by_tenant(events, 20, 28), FAULTY_TENANT), 4
            )
            row["broken"] += count_violations(events)
            if is_full:
                times = _rejection_times(events)
                row["dismissals"] = len(times)
                row["dismissed_at_median_of_due"] = round(statistics.median(times), 3) if times else None
        print(row, flush=True)
        rows.append(row)
    changes = [row["others_full"] / row["others_calm"] - 1 for row in rows]
    mean, half = confidence_interval(changes)
    print(f"change of the value served in time to the other cells: {mean:+.2%}, 95% interval ±{half:.2%}")
    return {"rows": rows, "change": round(mean, 4), "half_interval": round(half, 4)}


def _rejection_times(events: list[Event]) -> list[float]:
    """Return when the full cell's requests were rejected, as fractions of their first-token objectives."""
    history = read_history(events)
    begin = next(event["at"] for event in events if event["what"] == "begin")
    return [
        (attempt.answer["at"] - attempt.asked["t"]) / attempt.asked["due"]
        for attempt in history.client_attempts.values()
        if attempt.answer
        and attempt.answer["kind"] == "dismissed"
        and attempt.asked["tenant"] == FAULTY_TENANT
        and 8 * TENTHS_PER_SECOND <= attempt.asked["t"] - begin < 18 * TENTHS_PER_SECOND
    ]


def build_fleet(count: int) -> list[EngineDescriptor]:
    """Return engines in four zones: half of them prefill, three eighths decode, and one eighth mixed."""
    roles = [
        Role.PREFILL,
        Role.DECODE,
        Role.PREFILL,
        Role.MIXED,
        Role.PREFILL,
        Role.DECODE,
        Role.PREFILL,
        Role.DECODE,
    ]
    return [
        EngineDescriptor(f"engine-{index}", roles[index % 8], f"zone-{index // 8 % 4}", index // 16)
        for index in range(count)
    ]


def comparable_cell_maps(engine_count: int) -> dict[str, CellMap]:
    """Return comparable cell maps by the name of their placement; a cell or shard has about eight engines."""
    count = max(2, engine_count // 8)
    cells = {f"cell-{index}": Cell() for index in range(count)}
    # A map may have at most 256 shards. With many shards, two tenants seldom share the same one.
    shards = Shards(count=min(256, 16 * count), readers=4, writers=3, mixed=1)
    return {
        "no cells": CellMap(version=1, way="fixed"),
        "cells": CellMap(version=1, way="rendezvous", cells=cells),
        "shuffle shards": CellMap(version=1, way="shuffle", shards=shards),
    }


def measure_radius(tenants: int, folder: Path | None, seed: int = 1) -> list[dict[str, Any]]:
    """Compute which tenants are affected when one poisonous tenant makes all engines of its cell fail.

    In the results, a tenant is "hurt" if it loses all engines that prefill or all engines that decode, and
    "touched" if it loses at least one engine. The shares are means over all tenants, each of which is
    poisonous in turn. Loads are drawn from a Pareto distribution. If `folder` is given, a plot is written to
    it.
    """
    random = Random(seed)
    names = [f"tenant-{index}" for index in range(tenants)]
    load = {name: random.paretovariate(1.2) for name in names}
    rows = []
    for engine_count in (16, 64, 256):
        engines = build_fleet(engine_count)
        for way, cell_map in comparable_cell_maps(engine_count).items():
            placed = place_engines(cell_map, engines).cells
            hurt, touched = _affected_shares(cell_map, names, engines, placed)
            loads = _engine_loads(cell_map, load, placed)
            mean_load = sum(loads.values()) / engine_count
            rows.append(
                {
                    "engines": engine_count,
                    "way": way,
                    "cells": len(placed),
                    "hurt": round(hurt, 4),
                    "touched": round(touched, 4),
                    "imbalance": round(max(loads.get(e.name, 0) for e in engines) / mean_load, 2),
                    "idle": sum(not loads.get(e.name) for e in engines),
                    "moved_by_one": round(statistics.mean(_engines_moved(cell_map, engines, placed)), 2),
                }
            )
    _print_radius(rows)
    if folder is not None:
        plot_radius(rows, folder / "blast-radius.svg")
    return rows


def _affected_shares(
    cell_map: CellMap, names: list[str], engines: list[EngineDescriptor], placed: PlacedCells
) -> tuple[float, float]:
    """Return the shares of tenants that are hurt and touched, as means over all poisonous tenants."""
    roles = {engine.name: engine.role for engine in engines}
    capable = {
        cell: (
            frozenset(name for name in members if roles[name] is not Role.DECODE),
            frozenset(name for name in members if roles[name] is not Role.PREFILL),
        )
        for cell, members in placed.items()
    }
    tenant_counts = Counter(home_cell(cell_map, name, None) for name in names)
    hurt = touched = 0.0
    for poisoned_cell, poisonous in tenant_counts.items():
        lost = placed[poisoned_cell]
        for cell, count in tenant_counts.items():
            share = poisonous * count / len(names) / len(names)
            hurt += share * any(not side - lost for side in capable[cell])
            touched += share * bool(placed[cell] & lost)
    return hurt, touched


def _engine_loads(cell_map: CellMap, load: dict[str, float], placed: PlacedCells) -> dict[str, float]:
    """Return each engine's load if every tenant's load is spread evenly over the engines of its cell."""
    loads: dict[str, float] = {}
    for tenant, amount in load.items():
        members = placed[home_cell(cell_map, tenant, None)]
        for engine in members:
            loads[engine] = loads.get(engine, 0) + amount / len(members)
    return loads


def _engines_moved(cell_map: CellMap, engines: list[EngineDescriptor], placed: PlacedCells) -> list[float]:
    """Return how many engines change their cell when one is removed, for eight engines in turn."""
    moved = []
    for step in range(8):
        removed = engines[step * len(engines) // 8]
        after = place_engines(cell_map, [engine for engine in engines if engine is not removed]).cells
        moved.append(sum(len((placed[cell] - {removed.name}) ^ after[cell]) for cell in placed) / 2)
    return moved


def _print_radius(rows: list[dict[str, Any]]) -> None:
    print("| engines | way | cells | hurt | touched | most loaded / mean | idle | moved by one leaving |")
    print("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for row in rows:
        print(
            f"| {row['engines']} | {row['way']} | {row['cells']} | {row['hurt']:.2%} | "
            f"{row['touched']:.2%} | {row['imbalance']} | {row['idle']} | {row['moved_by_one']} |"
        )


def plot_radius(rows: list[dict[str, Any]], file: Path) -> None:
    """Plot the shares of affected tenants to an SVG file."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    pyplot.rcParams.update({"svg.hashsalt": "runspool", "svg.fonttype": "none"})
    figure, axes = pyplot.subplots(figsize=(6, 3.6))
    for way in ("no cells", "cells", "shuffle shards"):
        way_rows = [row for row in rows if row["way"] == way]
        (line,) = axes.plot(
            [row["engines"] for row in way_rows],
            [max(row["hurt"], 1e-4) for row in way_rows],
            marker="o",
            label=f"{way}: cut off",
        )
        axes.plot(
            [row["engines"] for row in way_rows],
            [row["touched"] for row in way_rows],
            marker="x",
            linestyle="--",
            color=line.get_color(),
            label=f"{way}: touched",
        )
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="engines",
        ylabel="share of tenants",
        title="One poisonous tenant of 1,000 (computed)",
        xticks=[16, 64, 256],
    )
    axes.set_xticklabels(["16", "64", "256"])
    axes.minorticks_off()
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})


def measure_cost(request_count: int = 3000) -> dict[str, Any]:
    """Measure the time that cells take at 64 engines, and the scheduler's time with the engines of one cell.

    The times are microseconds for admitting and finishing a request, milliseconds for placing a new endpoint
    list, and microseconds of the scheduler for submitting a request.
    """
    engines = build_fleet(64)
    tenants = [f"tenant-{index}" for index in range(1000)]
    result: dict[str, Any] = {}
    for way, cell_map in comparable_cell_maps(64).items():
        router = CellRouter(cell_map, 10_000, 1 << 30, Random(1).random)
        router.update_engines(engines, set())
        random = Random(2)
        requests = [
            AdmissionRequest(tenants[random.randrange(1000)], None, None, False, 0, 1000, str(index))
            for index in range(request_count)
        ]
        started_at = time.perf_counter()
        admissions = [router.admit(index, 1, request) for index, request in enumerate(requests)]
        for admission in admissions:
            assert isinstance(admission, CellAdmission)
            router.finish(0, admission, False)
        request_us = (time.perf_counter() - started_at) / request_count * 1e6
        started_at = time.perf_counter()
        router.update_engines(engines, set())
        placement_ms = (time.perf_counter() - started_at) * 1e3
        cell_size = len(next(iter(router.placement.cells.values())))
        result[way] = {
            "a_request_us": round(request_us, 1),
            "a_list_ms": round(placement_ms, 2),
            "scheduler_us": round(scheduler_cost(engines[:cell_size], request_count), 1),
        }
        print(
            f"{way}: per request {result[way]['a_request_us']} us for cells and "
            f"{result[way]['scheduler_us']} us for the scheduler with {cell_size} engines; "
            f"{result[way]['a_list_ms']} ms to place the endpoint list"
        )
    return result


class IgnoringHandler:
    """A handler that ignores all actions of the scheduler driver."""

    def ignore(self, *details: object) -> None:
        """Ignore an action."""

    start_attempt = reject = fail_indeterminate = release_state = migrate_stream = ignore
    subscribe_to_endpoints = set_timer = log_message = forget_request = ignore


def scheduler_cost(engines: list[EngineDescriptor], request_count: int) -> float:
    """Return the microseconds that the scheduler takes to submit a request with these engines."""
    config = parse_config(front_configuration(flood(1), 0, 1, Path("/nowhere")))
    driver = SchedulerDriver(config.routing_settings(), 1, IgnoringHandler(), 0)
    type_names = {Role.PREFILL: "prefill", Role.DECODE: "decode", Role.MIXED: "mixed"}
    type_indices = list(config.house.kinds)
    records = [
        EngineRecord(
            index,
            type_indices.index(type_names[engine.role]),
            0,
            engine.rack,
            0,
            EngineState.READY,
            index,
        )
        for index, engine in enumerate(engines)
    ]
    driver.update_endpoints(0, EndpointUpdate(True, records))
    started_at = time.perf_counter()
    for index in range(request_count):
        request = Request(index, 0, 0, index, None, 500, 0, 100, 50, 60_000, False, False)
        driver.submit(index * 100, request)
        driver.client_disconnected(index * 100, index)
    return (time.perf_counter() - started_at) / request_count * 1e6


def main() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["flood", "full", "poison", "release", "radius", "cost"])
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--tenants", type=int, default=1000)
    parser.add_argument("--out", type=Path, help="folder to which the plot of `radius` is written")
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    result: Any
    match options.what:
        case "flood":
            result = measure_flood(seeds)
        case "full":
            result = measure_full_cell(seeds)
        case "poison":
            result = measure_fault(seeds, poisoned)
        case "release":
            result = measure_fault(seeds, bad_release)
        case "radius":
            result = measure_radius(options.tenants, options.out)
        case _:
            result = measure_cost()
    print(json.dumps(result))


if __name__ == "__main__":
    main()
