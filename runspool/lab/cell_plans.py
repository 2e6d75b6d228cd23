"""Scenarios for cells: a tenant that floods, a cell that is full, bad requests and releases, live migrations.

Everything is drawn from the scenario's seed; the order of the draws is part of a scenario.
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

CELLS, FRONTS = 4, 4
# An engine's capacity as a multiple of a bad night's. With 0.15 and 24 requests per second, cells are full
# without any fault; at 14 requests per second they are not, and a tenant at six times its share makes it 31.
# At full capacity a flood had no effect.
CAPACITY_MULTIPLE = 0.15
FULL_CAPACITY = 1.0
CELL_ENGINES = ("prefill", "prefill", "decode", "mixed")
FIRST_CELL_ENGINES = tuple(range(len(CELL_ENGINES)))  # indices of the first cell's engines
ZONES = ("waw-1", "waw-2")
REQUESTS_PER_SECOND = 14

MIGRATING_TENANTS = 40
MIGRATIONS_START_AT = 6 * SECOND
AFTER_LAST_MIGRATION = 6 * SECOND
MIGRATION_REQUESTS_PER_SECOND = 36
MIGRATION_MAX_TIME_LIMIT = 10 * SECOND
MIGRATION_CLASS_TIME_LIMIT = 8 * SECOND
MAP_SKEW = 300  # between the fronts' reading of a new map
# What is killed beside a migration, and after which of its moments.
KILLS = [
    (process, step) for step in ("ahead", "settling", "over") for process in ("front", "source", "target")
]
MIGRATIONS_PER_KILL = 4


def flood(seed: int, cells: bool = True, flooded: bool = True) -> ScenarioPlan:
    """One of four tenants sends six times its share for 30 s."""
    plan = _fleet("flood", seed, 36 * SECOND, REQUESTS_PER_SECOND, CELLS, cells)
    if flooded:
        plan.faults = [FaultPlan("tenant_burst", 4 * SECOND, 30 * SECOND, magnitude=6, subject_index=0)]
    return plan


def full_cell(seed: int, full: bool = True) -> ScenarioPlan:
    """Every engine of one cell answers that it is full for 10 s."""
    plan = _fleet("full-cell", seed, 30 * SECOND, REQUESTS_PER_SECOND, CELLS, True)
    if full:
        plan.faults = [FaultPlan("full", 8 * SECOND, 10 * SECOND, targets=[*FIRST_CELL_ENGINES])]
    return plan


def poisoned(seed: int, cells: bool = True, poison: bool = True) -> ScenarioPlan:
    """For 15 s one request in thirty of one of four tenants crashes each engine that decodes it."""
    plan = _fleet("poisoned", seed, 24 * SECOND, REQUESTS_PER_SECOND, CELLS, cells)
    if poison:
        plan.faults = [FaultPlan("poison", 4 * SECOND, 15 * SECOND, magnitude=0.033, subject_index=0)]
    return plan


def bad_release(seed: int, cells: bool = True, released: bool = True) -> ScenarioPlan:
    """One cell's engines get a release that fails half of its requests and is three times as slow."""
    plan = _fleet("bad-release", seed, 30 * SECOND, REQUESTS_PER_SECOND, CELLS, cells)
    if released:
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


def moving_night(seed: int, moves: int = 200, every: int = SECOND // 2) -> ScenarioPlan:
    """Live migrations one after the other, a third of them undone half-way.

    With each fourth something is killed, every kind of process at every step in turn. A tenant is migrated
    again only when its last migration can have no effect any more.
    """
    duration = MIGRATIONS_START_AT + moves * every + AFTER_LAST_MIGRATION
    plan = _fleet(
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
    for number in range(moves):
        plan.faults.append(
            FaultPlan(
                "cell_move",
                MIGRATIONS_START_AT + number * every,
                0,
                magnitude=MAP_SKEW,
                targets=[number % MIGRATING_TENANTS],
                subject_index=number,
                mode=_migration_mode(number),
            )
        )
    return plan


def _migration_mode(number: int) -> str:
    """Return how a migration ends and, where it comes with a kill, the process and the step of that."""
    ending = "undo" if number % 3 == 2 else "done"
    if number % MIGRATIONS_PER_KILL:
        return ending
    process, step = KILLS[number // MIGRATIONS_PER_KILL % len(KILLS)]
    return f"{ending} {process} {step}"


def _fleet(
    name: str,
    seed: int,
    duration: int,
    requests_per_second: float,
    tenant_count: int,
    with_cells: bool,
    capacity_multiple: float = CAPACITY_MULTIPLE,
) -> ScenarioPlan:
    """Four cells of four engines, four fronts; tenants in turn over the cells."""
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
    return {
        "version": 1,
        "way": "fixed",
        "cells": {f"cell-{cell}": {"engines": [f"cell-{cell}-*"]} for cell in range(CELLS)},
        "tenants": {tenant: f"cell-{index % CELLS}" for index, tenant in enumerate(tenants)},
    }


SCENARIOS: dict[str, Callable[[int], ScenarioPlan]] = {
    "bad-night": bad_night,
    "quiet": quiet,
    "flood": flood,
    "full-cell": full_cell,
    "moving-night": moving_night,
    "poisoned": poisoned,
    "bad-release": bad_release,
}
