"""Scenarios that test cells: an overloading tenant, a full cell, faulty requests and releases, migrations.

All random values are drawn from the scenario's seed. Changing the order of the draws changes the scenario
that a seed stands for.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from runspool.lab.plan import SECOND, ClientsPlan, FaultPlan, FrontPlan, ScenarioPlan, TenantPlan
from runspool.lab.scripted_scenarios import (
    bad_night,
    default_request_classes,
    plan_engine,
    quiet,
    source_address,
)

CELLS, FRONTS = 4, 4  # numbers of cells and fronts
# Capacity of each engine as a multiple of the capacity that engines have in the scenario bad-night. With
# 0.15, cells are full without any fault at 24 requests per second, but not at the 14 requests per second used
# here; a tenant that sends six times its share raises the total to 31. At full capacity, the requests of such
# a tenant had no effect on the others.
CAPACITY_MULTIPLE = 0.15
FULL_CAPACITY = 1.0
CELL_ENGINES = ("prefill", "prefill", "decode", "mixed")  # types of the engines in each cell
FIRST_CELL_ENGINES = tuple(range(len(CELL_ENGINES)))  # indices in the plan of the first cell's engines
ZONES = ("waw-1", "waw-2")
REQUESTS_PER_SECOND = 14  # mean rate of all clients without faults

# The scenario with migrations. Times are in tenths of a millisecond.
MIGRATING_TENANTS = 40
MIGRATIONS_START_AT = 6 * SECOND
AFTER_LAST_MIGRATION = 6 * SECOND  # time for the last migrations to end before the scenario ends
MIGRATION_REQUESTS_PER_SECOND = 36
MIGRATION_MAX_TIME_LIMIT = 10 * SECOND  # the longest time limit that the fronts accept
MIGRATION_CLASS_TIME_LIMIT = 8 * SECOND  # upper bound on the time limit of every request class
MAP_SKEW = 300  # tenths of a millisecond between one front receiving a new cell map and the next front
# The process that is killed during a migration, and the step of the migration that the kill follows.
KILL_VARIANTS = [
    (process, step) for step in ("ahead", "settling", "over") for process in ("front", "source", "target")
]
MIGRATIONS_PER_KILL = 4  # a process is killed during one of so many migrations


def flood(seed: int, with_cells: bool = True, with_fault: bool = True) -> ScenarioPlan:
    """Return a scenario in which one of four tenants sends six times its share of the requests for 30 s.

    Without `with_cells` the fleet has no cells; without `with_fault` the tenant sends its share only.
    """
    plan = _plan_without_faults("flood", seed, 36 * SECOND, REQUESTS_PER_SECOND, CELLS, with_cells)
    if with_fault:
        plan.faults = [FaultPlan("tenant_burst", 4 * SECOND, 30 * SECOND, magnitude=6, subject_index=0)]
    return plan


def full_cell(seed: int, with_fault: bool = True) -> ScenarioPlan:
    """Return a scenario in which every engine of one cell rejects all requests as overloaded for 10 s.

    Without `with_fault` no engine does so.
    """
    plan = _plan_without_faults("full-cell", seed, 30 * SECOND, REQUESTS_PER_SECOND, CELLS, True)
    if with_fault:
        plan.faults = [FaultPlan("full", 8 * SECOND, 10 * SECOND, targets=[*FIRST_CELL_ENGINES])]
    return plan


def poisoned(seed: int, with_cells: bool = True, with_fault: bool = True) -> ScenarioPlan:
    """Return a scenario in which some requests crash every engine that decodes them.

    For 15 s, one request in thirty of one of the four tenants does so; without `with_fault`, none does.
    Without `with_cells` the fleet has no cells.
    """
    plan = _plan_without_faults("poisoned", seed, 24 * SECOND, REQUESTS_PER_SECOND, CELLS, with_cells)
    if with_fault:
        plan.faults = [FaultPlan("poison", 4 * SECOND, 15 * SECOND, magnitude=0.033, subject_index=0)]
    return plan


def bad_release(seed: int, with_cells: bool = True, with_fault: bool = True) -> ScenarioPlan:
    """Return a scenario in which the engines of one cell are upgraded to a faulty software release.

    The release fails half of its requests and runs at a third of the usual speed. Without `with_fault` no
    engine is upgraded; without `with_cells` the fleet has no cells.
    """
    plan = _plan_without_faults("bad-release", seed, 30 * SECOND, REQUESTS_PER_SECOND, CELLS, with_cells)
    if with_fault:
        plan.faults = [
            FaultPlan(
                "bad_release",
                4 * SECOND,
                10 * SECOND,
                magnitude=0.5,
                secondary_magnitude=3,
                targets=[*FIRST_CELL_ENGINES],
            )
        ]
    return plan


def moving_night(seed: int, migrations: int = 200, interval: int = SECOND // 2) -> ScenarioPlan:
    """Return a scenario that migrates tenants between cells while they send requests.

    The parameters are the number of migrations and the time between the starts of two of them in tenths of a
    millisecond. A third of the migrations are undone half-way. During every fourth migration a process is
    killed: each combination of a process and a step of the migration (KILL_VARIANTS) in turn. A tenant is
    migrated again only once its previous migration no longer affects any of its requests.
    """
    duration = MIGRATIONS_START_AT + migrations * interval + AFTER_LAST_MIGRATION
    plan = _plan_without_faults(
        "moving-night",
        seed,
        duration,
        MIGRATION_REQUESTS_PER_SECOND,
        MIGRATING_TENANTS,
        True,
        FULL_CAPACITY,
    )
    plan.max_time_limit = MIGRATION_MAX_TIME_LIMIT
    plan.clients.disconnecting_share = 0.0
    plan.clients.slow_reading_share = 0.0
    for request_class in plan.request_classes:
        request_class.time_limit = min(request_class.time_limit, MIGRATION_CLASS_TIME_LIMIT)
    for number in range(migrations):
        plan.faults.append(
            FaultPlan(
                "cell_move",
                MIGRATIONS_START_AT + number * interval,
                0,
                magnitude=MAP_SKEW,
                targets=[number % MIGRATING_TENANTS],
                subject_index=number,
                mode=_migration_mode(number),
            )
        )
    return plan


def _migration_mode(number: int) -> str:
    """Return the mode of the migration with this number (see `tenant_migrator`).

    It states whether the migration is completed or undone and, if a process is killed, which one and when.
    """
    ending = "undo" if number % 3 == 2 else "done"
    if number % MIGRATIONS_PER_KILL:
        return ending
    process, step = KILL_VARIANTS[number // MIGRATIONS_PER_KILL % len(KILL_VARIANTS)]
    return f"{ending} {process} {step}"


def _plan_without_faults(
    name: str,
    seed: int,
    duration: int,
    requests_per_second: float,
    tenant_count: int,
    with_cells: bool,
    capacity_multiple: float = CAPACITY_MULTIPLE,
) -> ScenarioPlan:
    """Return a scenario without faults: four cells of four engines each, and four fronts.

    The tenants have equal shares and are assigned to the cells in turn. Their quotas are twice their shares.
    """
    rng = Random(seed)
    request_classes = default_request_classes()
    engines = [
        plan_engine(
            f"cell-{cell}-{engine_type}-{index}",
            engine_type,
            ZONES[index % len(ZONES)],
            cell,
            request_classes,
            rng,
            capacity_multiple,
        )
        for cell in range(CELLS)
        for index, engine_type in enumerate(CELL_ENGINES)
    ]
    tenants = [f"tenant-{index}" for index in range(tenant_count)]
    return ScenarioPlan(
        name=name,
        seed=seed,
        duration=duration,
        requests_per_second=requests_per_second,
        zones=list(ZONES),
        request_classes=request_classes,
        tenants=[
            TenantPlan(tenant, 1 / tenant_count, 2 * requests_per_second / tenant_count) for tenant in tenants
        ],
        fronts=[
            FrontPlan(f"front-{index}", ZONES[index % len(ZONES)], source_address(index))
            for index in range(FRONTS)
        ],
        engines=engines,
        clients=ClientsPlan(),
        faults=[],
        cells=_cell_map(tenants) if with_cells else None,
    )


def _cell_map(tenants: list[str]) -> dict[str, Any]:
    """Return the cell map as plain data, with the tenants assigned to the cells in turn."""
    return {
        "version": 1,
        "way": "fixed",
        "cells": {f"cell-{cell}": {"engines": [f"cell-{cell}-*"]} for cell in range(CELLS)},
        "tenants": {tenant: f"cell-{index % CELLS}" for index, tenant in enumerate(tenants)},
    }


# The scenarios by their names on the command line.
SCENARIOS: dict[str, Callable[[int], ScenarioPlan]] = {
    "bad-night": bad_night,
    "quiet": quiet,
    "flood": flood,
    "full-cell": full_cell,
    "moving-night": moving_night,
    "poisoned": poisoned,
    "bad-release": bad_release,
}
