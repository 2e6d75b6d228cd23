"""What cells are worth and what they cost; loopback days are simulated, the rest is computed.

    python benchmarks/cells.py flood  --seeds 1,2,3,4,5  # gain of the others while one tenant sends six times
    python benchmarks/cells.py full   --seeds 1,2,3      # a cell whose every engine is full for 10 s
    python benchmarks/cells.py poison --seeds 1          # one tenant's queries bring engines down
    python benchmarks/cells.py release --seeds 1         # one cell's engines get a bad release
    python benchmarks/cells.py radius                    # who is hurt by one poisonous tenant, on paper
    python benchmarks/cells.py cost                      # a cell decision beside the module's own

Each pair has the same crowd but for the flood, so the difference is the flood's.
Prints a table and a JSON line.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import anyio

from runspool.cells.cell_map import Cell, CellMap, Shards
from runspool.cells.cell_router import AdmissionRequest, CellAdmission, CellRouter
from runspool.cells.engine_placement import EnginePlace, home_cell, place_engines
from runspool.config import parse_config
from runspool.lab import recording
from runspool.lab.audit import judge, read_history
from runspool.lab.cell_plans import bad_release, flood, full_cell, poisoned
from runspool.lab.front_configuration import front_configuration
from runspool.lab.plan import ScenarioPlan
from runspool.lab.report import share_of_value
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import EndpointUpdate, EngineRecord, EngineState, Request, Role

STUDENT = {2: 12.706, 3: 4.303, 4: 3.182, 5: 2.776, 6: 2.571, 8: 2.365, 10: 2.262}  # two-sided, 95%


def played(plan: ScenarioPlan) -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        return list(recording.read_recording(anyio.run(ScenarioRunner(plan, Path(folder)).play)))


def gains(events: list[dict[str, Any]], start: float = 0, end: float = 1e9) -> dict[str, tuple[float, float]]:
    """Gain served in time and gain asked, by tenant, of queries first asked from `start` to `end` seconds."""
    found = read_history(events)
    begin = next(event["at"] for event in events if event["what"] == "begin")
    gain = {row.name: row.priority_weight for row in found.plan.request_classes}
    items: dict[str, list[Any]] = {}
    for seen in found.client_attempts.values():
        items.setdefault(seen.asked["item"], []).append(seen)
    sums: dict[str, tuple[float, float]] = {}
    for tries in items.values():
        asked = tries[0].asked
        if not start <= (asked["t"] - begin) / 10_000 < end:
            continue
        if any(seen.answer and seen.answer["kind"] == "left" for seen in tries):
            continue
        got, of = sums.get(asked["tenant"], (0.0, 0.0))
        part = max(share_of_value(found.plan, tries[0], seen) for seen in tries)
        sums[asked["tenant"]] = (got + gain[asked["tariff"]] * part, of + gain[asked["tariff"]])
    return sums


def others(sums: dict[str, tuple[float, float]], but: str) -> float:
    got = sum(got for name, (got, _) in sums.items() if name != but)
    return got / max(1e-9, sum(of for name, (_, of) in sums.items() if name != but))


def broken(events: list[dict[str, Any]]) -> int:
    return sum(rule.broken for rule in judge(read_history(events)).values())


def interval(values: list[float]) -> tuple[float, float]:
    """Mean and half the 95% interval."""
    if len(values) < 2:
        return values[0], float("nan")
    return (
        statistics.mean(values),
        STUDENT.get(len(values), 2.0) * statistics.stdev(values) / len(values) ** 0.5,
    )


def flooded(seeds: list[int]) -> dict[str, Any]:
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for cells, flooding in ((False, True), (True, True), (True, False)):
            events = played(flood(seed, cells, flooding))
            key = ("cells" if cells else "none") + ("_flood" if flooding else "_calm")
            # The same queries of the others in both: those asked while it floods.
            sums = gains(events, 4, 34)
            row[key] = round(others(sums, "tenant-0"), 4)
            row[key + "_own"] = round(sums["tenant-0"][0] / sums["tenant-0"][1], 4)
            row["broken"] += broken(events)
            print(key, row[key], row[key + "_own"], flush=True)
        print(row, flush=True)
        rows.append(row)
    said: dict[str, Any] = {"seeds": len(seeds), "rows": rows}
    for key in ("cells", "none"):
        mean, half = interval([row[f"{key}_flood"] / row["cells_calm"] - 1 for row in rows])
        said[key] = {"change": round(mean, 4), "half_interval": round(half, 4)}
        print(f"gain in time of the other three, {key}: {mean:+.2%} by the flood, 95% interval {half:.2%}")
    return said


def hurt(seeds: list[int], day: Any) -> dict[str, Any]:
    """Gain of the other three tenants in a trouble of one, with cells and without, against the calm day."""
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for cells in (True, False):
            for trouble in (False, True):
                events = played(day(seed, cells, trouble))
                key = ("cells" if cells else "none") + ("_trouble" if trouble else "_calm")
                sums = gains(events, 4)
                row[key] = round(others(sums, "tenant-0"), 4)
                row[key + "_own"] = round(sums["tenant-0"][0] / sums["tenant-0"][1], 4)
                row[key + "_fell"] = sum(event["what"] == "fell" for event in events)
                row["broken"] += broken(events)
        print(row, flush=True)
        rows.append(row)
    return {"rows": rows}


def full(seeds: list[int]) -> dict[str, Any]:
    rows = []
    for seed in seeds:
        row: dict[str, Any] = {"seed": seed, "broken": 0}
        for on in (False, True):
            events = played(full_cell(seed, on))
            key = "full" if on else "calm"
            row[f"others_{key}"] = round(others(gains(events, 8, 18), "tenant-0"), 4)
            after = gains(events, 20, 28)["tenant-0"]
            row[f"own_2s_after_{key}"] = round(after[0] / after[1], 4)
            row["broken"] += broken(events)
            if on:
                found = read_history(events)
                begin = next(event["at"] for event in events if event["what"] == "begin")
                early = [
                    (seen.answer["at"] - seen.asked["t"]) / seen.asked["due"]
                    for seen in found.client_attempts.values()
                    if seen.answer
                    and seen.answer["kind"] == "dismissed"
                    and seen.asked["tenant"] == "tenant-0"
                    and 80_000 <= seen.asked["t"] - begin < 180_000
                ]
                row["dismissals"] = len(early)
                row["dismissed_at_median_of_due"] = round(statistics.median(early), 3) if early else None
        print(row, flush=True)
        rows.append(row)
    changes = [row["others_full"] / row["others_calm"] - 1 for row in rows]
    mean, half = interval(changes)
    print(f"gain in time of the neighbours: {mean:+.2%}, 95% interval {half:.2%}")
    return {"rows": rows, "change": round(mean, 4), "half_interval": round(half, 4)}


def fleet(many: int) -> list[EnginePlace]:
    """Half readers, three eighths writers, an eighth mixed, over four zones."""
    kinds = [
        Role.PREFILL,
        Role.DECODE,
        Role.PREFILL,
        Role.MIXED,
        Role.PREFILL,
        Role.DECODE,
        Role.PREFILL,
        Role.DECODE,
    ]
    return [EnginePlace(f"engine-{at}", kinds[at % 8], f"zone-{at // 8 % 4}", at // 16) for at in range(many)]


def charts(many: int) -> dict[str, CellMap]:
    """Maps of like size: a cell or shard has about eight engines."""
    count = max(2, many // 8)
    # As many shards as the map may have pays: two tenants then seldom share one.
    return {
        "no cells": CellMap(version=1, way="fixed"),
        "cells": CellMap(version=1, way="rendezvous", cells={f"cell-{at}": Cell() for at in range(count)}),
        "shuffle shards": CellMap(
            version=1, way="shuffle", shards=Shards(count=min(256, 16 * count), readers=4, writers=3, mixed=1)
        ),
    }


def radius(tenants: int, folder: Path | None, seed: int = 1) -> list[dict[str, Any]]:
    """One poisonous tenant at a time takes down all engines it can reach; a tenant is hurt where it loses all
    readers or all writers, and touched where it loses any. Loads: a Pareto draw for each tenant."""
    rng = Random(seed)
    names = [f"tenant-{at}" for at in range(tenants)]
    load = {name: rng.paretovariate(1.2) for name in names}
    rows = []
    for many in (16, 64, 256):
        engines = fleet(many)
        for way, chart in charts(many).items():
            placed = place_engines(chart, engines).cells
            where = {name: placed[home_cell(chart, name, None)] for name in names}
            roles = {one.name: one.role for one in engines}
            able = {
                cell: (
                    frozenset(e for e in there if roles[e] is not Role.DECODE),
                    frozenset(e for e in there if roles[e] is not Role.PREFILL),
                )
                for cell, there in placed.items()
            }
            members = Counter(home_cell(chart, name, None) for name in names)
            hurt = touched = 0.0
            for poison, count in members.items():
                gone = placed[poison]
                for cell, there in members.items():
                    part = count * there / tenants / tenants
                    hurt += part * any(not side - gone for side in able[cell])
                    touched += part * bool(placed[cell] & gone)
            on: Counter[str] = Counter()
            for name in names:
                for engine in where[name]:
                    on[engine] += load[name] / len(where[name])  # type: ignore[assignment]
            mean = sum(on.values()) / many
            moved = []
            for change in range(8):
                less = [one for at, one in enumerate(engines) if at != change * many // 8]
                after = place_engines(chart, less).cells
                out = engines[change * many // 8].name
                moved.append(sum(len((placed[cell] - {out}) ^ after[cell]) for cell in placed) / 2)
            rows.append(
                {
                    "engines": many,
                    "way": way,
                    "cells": len(placed),
                    "hurt": round(hurt, 4),
                    "touched": round(touched, 4),
                    "imbalance": round(max(on[one.name] for one in engines) / mean, 2),
                    "idle": sum(not on[one.name] for one in engines),
                    "moved_by_one": round(statistics.mean(moved), 2),
                }
            )
    print("| engines | way | cells | hurt | touched | most loaded / mean | idle | moved by one leaving |")
    print("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for row in rows:
        print(
            f"| {row['engines']} | {row['way']} | {row['cells']} | {row['hurt']:.2%} | "
            f"{row['touched']:.2%} | {row['imbalance']} | {row['idle']} | {row['moved_by_one']} |"
        )
    if folder is not None:
        plot(rows, folder / "blast-radius.svg")
    return rows


def plot(rows: list[dict[str, Any]], file: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    pyplot.rcParams.update({"svg.hashsalt": "runspool", "svg.fonttype": "none"})
    figure, axes = pyplot.subplots(figsize=(6, 3.6))
    for way in ("no cells", "cells", "shuffle shards"):
        mine = [row for row in rows if row["way"] == way]
        (line,) = axes.plot(
            [row["engines"] for row in mine],
            [max(row["hurt"], 1e-4) for row in mine],
            marker="o",
            label=f"{way}: cut off",
        )
        axes.plot(
            [row["engines"] for row in mine],
            [row["touched"] for row in mine],
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


def cost(queries: int = 3000) -> dict[str, Any]:
    """Microseconds a query: letting in and ending by cells, beside the module's picks, at 64 engines."""
    engines = fleet(64)
    tenants = [f"tenant-{at}" for at in range(1000)]
    said: dict[str, Any] = {}
    for way, chart in charts(64).items():
        router = CellRouter(chart, 10_000, 1 << 30, Random(1).random)
        router.update_engines(engines, set())
        rng = Random(2)
        asked = [
            AdmissionRequest(tenants[rng.randrange(1000)], None, None, False, 0, 1000, str(at))
            for at in range(queries)
        ]
        begun = time.perf_counter()
        admissions = [router.admit(at, 1, one) for at, one in enumerate(asked)]
        for admission in admissions:
            assert isinstance(admission, CellAdmission)
            router.finish(0, admission, False)
        spent = (time.perf_counter() - begun) / queries * 1e6
        begun = time.perf_counter()
        router.update_engines(engines, set())
        placing = (time.perf_counter() - begun) * 1e3
        many = len(next(iter(router.placement.cells.values())))
        row = {
            "a_query_us": round(spent, 1),
            "a_list_ms": round(placing, 2),
            "module_us": round(module(engines, many, queries), 1),
        }
        said[way] = row
        print(
            f"{way}: {row['a_query_us']} us a query by cells, {row['module_us']} us by the module with "
            f"{many} engines, {row['a_list_ms']} ms to place the list"
        )
    return said


class _Out:
    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        self.sent.append((request, engine))

    def nothing(self, *said: Any) -> None:
        return

    reject = fail_indeterminate = release_state = migrate_stream = nothing
    subscribe_to_endpoints = set_timer = log_message = forget_request = nothing


def module(engines: list[EnginePlace], many: int, queries: int) -> float:
    """Microseconds that one query's arrival costs the module with `many` of the engines."""
    plan = flood(1)
    house: RoutingSettings = parse_config(
        front_configuration(plan, 0, 1, Path("/nowhere"))
    ).routing_settings()
    out = _Out()
    desk = SchedulerDriver(house, 1, out, 0)
    kinds = {Role.PREFILL: "prefill", Role.DECODE: "decode", Role.MIXED: "mixed"}
    names = list(parse_config(front_configuration(plan, 0, 1, Path("/nowhere"))).house.kinds)
    desk.update_endpoints(
        0,
        EndpointUpdate(
            True,
            [
                EngineRecord(at, names.index(kinds[one.role]), 0, one.rack, 0, EngineState.READY, at)
                for at, one in enumerate(engines[:many])
            ],
        ),
    )
    begun = time.perf_counter()
    for index in range(queries):
        desk.submit(index * 100, Request(index, 0, 0, index, None, 500, 0, 100, 50, 60_000, False, False))
        desk.client_disconnected(index * 100, index)
    return (time.perf_counter() - begun) / queries * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["flood", "full", "poison", "release", "radius", "cost"])
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--tenants", type=int, default=1000)
    parser.add_argument("--out", type=Path, help="A folder for the plot.")
    said = parser.parse_args()
    seeds = [int(seed) for seed in said.seeds.split(",")]
    found: Any
    match said.what:
        case "flood":
            found = flooded(seeds)
        case "full":
            found = full(seeds)
        case "poison":
            found = hurt(seeds, poisoned)
        case "release":
            found = hurt(seeds, bad_release)
        case "radius":
            found = radius(said.tenants, said.out)
        case _:
            found = cost()
    print(json.dumps(found))


if __name__ == "__main__":
    main()
