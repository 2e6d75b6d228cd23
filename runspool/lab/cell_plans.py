"""Days that put cells to the test: a tenant that floods, a cell that is full, tenants that move live."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from runspool.lab.plan import (
    SECOND,
    ClientsPlan,
    FrontPlan,
    Plan,
    TenantPlan,
    Trouble,
    bad_night,
    engine,
    quiet,
    tariffs,
)

CELLS, FRONTS = 4, 4
# What an engine bears against a bad night's: at 24 queries a second cells are then full on a calm day, and
# 14 are not; a tenant at six times its share makes it 31. At full strength no flood was felt.
STRENGTH = 0.15
KINDS = ("prefill", "prefill", "decode", "mixed")
ZONES = ("waw-1", "waw-2")


def _fleet(
    name: str, seed: int, length: int, rate: float, tenants: int, cells: bool, strength: float = STRENGTH
) -> Plan:
    """Four cells of four engines, four fronts; tenants in turn over the cells."""
    rng = Random(seed)
    rows = tariffs()
    engines = [
        engine(f"cell-{cell}-{kind}-{at}", kind, ZONES[at % 2], cell, rows, rng, strength)
        for cell in range(CELLS)
        for at, kind in enumerate(KINDS)
    ]
    names = [f"tenant-{at}" for at in range(tenants)]
    chart: dict[str, Any] = {
        "version": 1,
        "way": "fixed",
        "cells": {f"cell-{cell}": {"engines": [f"cell-{cell}-*"]} for cell in range(CELLS)},
        "tenants": {tenant: f"cell-{at % CELLS}" for at, tenant in enumerate(names)},
    }
    return Plan(
        name=name,
        seed=seed,
        length=length,
        rate=rate,
        zones=list(ZONES),
        tariffs=rows,
        tenants=[TenantPlan(tenant, 1 / tenants, 2 * rate / tenants) for tenant in names],
        fronts=[FrontPlan(f"front-{at}", ZONES[at % 2], f"127.0.0.{11 + at}") for at in range(FRONTS)],
        engines=engines,
        clients=ClientsPlan(),
        troubles=[],
        cells=chart if cells else None,
    )


def flood(seed: int, cells: bool = True, flooded: bool = True) -> Plan:
    """One of four tenants sends six times its share for 30 s."""
    plan = _fleet("flood", seed, 36 * SECOND, 14, CELLS, cells)
    if flooded:
        plan.troubles = [Trouble("tenant_burst", 4 * SECOND, 30 * SECOND, size=6, which=0)]
    return plan


def full_cell(seed: int, full: bool = True) -> Plan:
    """Every engine of one cell answers that it is full for 10 s."""
    plan = _fleet("full-cell", seed, 30 * SECOND, 14, CELLS, True)
    if full:
        plan.troubles = [Trouble("full", 8 * SECOND, 10 * SECOND, on=[0, 1, 2, 3])]
    return plan


def poisoned(seed: int, cells: bool = True, poison: bool = True) -> Plan:
    """For 15 s one query in thirty of one of four tenants brings down each engine that writes it."""
    plan = _fleet("poisoned", seed, 24 * SECOND, 14, CELLS, cells)
    if poison:
        plan.troubles = [Trouble("poison", 4 * SECOND, 15 * SECOND, size=0.033, which=0)]
    return plan


def bad_release(seed: int, cells: bool = True, released: bool = True) -> Plan:
    """One cell's engines get a release that errs on half its queries and is three times as slow."""
    plan = _fleet("bad-release", seed, 30 * SECOND, 14, CELLS, cells)
    if released:
        plan.troubles = [Trouble("bad_release", 4 * SECOND, 10 * SECOND, size=0.5, extra=3, on=[0, 1, 2, 3])]
    return plan


# What strikes beside a move, and at which step of it: who is killed, and after which of the move's moments.
STRIKES = [(who, step) for step in ("ahead", "settling", "over") for who in ("front", "source", "target")]


def moving_night(seed: int, moves: int = 200, every: int = SECOND // 2) -> Plan:
    """Live moves one after the other, a third turned back half-way; beside each fourth something is killed,
    every kind at every step in turn."""
    tenants = 40
    lead = 6 * SECOND
    # A tenant is moved again only when its last move can bind nothing more.
    plan = _fleet("moving-night", seed, lead + moves * every + 6 * SECOND, 36, tenants, True, 1.0)
    plan.longest_limit = 10 * SECOND
    plan.clients.leaving = plan.clients.slow_readers = 0.0
    for row in plan.tariffs:
        row.limit = min(row.limit, 8 * SECOND)
    for number in range(moves):
        tenant = number % tenants
        undone = number % 3 == 2
        strike = STRIKES[number // 4 % len(STRIKES)] if number % 4 == 0 else ("", "")
        plan.troubles.append(
            Trouble(
                "cell_move",
                lead + number * every,
                0,
                size=300,
                on=[tenant],
                which=number,
                how=" ".join(("undo" if undone else "done", *strike)).strip(),
            )
        )
    return plan


DAYS: dict[str, Callable[[int], Plan]] = {
    "bad-night": bad_night,
    "quiet": quiet,
    "flood": flood,
    "full-cell": full_cell,
    "moving-night": moving_night,
    "poisoned": poisoned,
    "bad-release": bad_release,
}
