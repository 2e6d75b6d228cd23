"""Placement of engines in cells, home cells of tenants, and cell maps that are rejected."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from runspool.cells.cell_map import Cell, CellMap, Shards
from runspool.cells.engine_placement import EngineDescriptor, home_cell, place_engines
from runspool.scheduling.types import Role
from tests.cell_maps import cell_map_with

ROLES = [Role.PREFILL, Role.PREFILL, Role.DECODE, Role.MIXED]
ENGINES_PER_RACK = 4
ZONE_COUNT = 3


def new_engines(count: int) -> list[EngineDescriptor]:
    """Return engines in racks of two prefill, one decode and one mixed engine, the racks in three zones."""
    return [
        EngineDescriptor(
            f"engine-{index}",
            ROLES[index % len(ROLES)],
            f"zone-{index // ENGINES_PER_RACK % ZONE_COUNT}",
            index // ENGINES_PER_RACK,
        )
        for index in range(count)
    ]


@settings(max_examples=60, deadline=None)
@given(st.integers(8, 48), st.integers(2, 4), st.randoms(use_true_random=False))
def test_each_engine_is_in_exactly_one_cell_in_any_order_of_the_list(
    engine_count: int, cell_count: int, random: Any
) -> None:
    cell_map = cell_map_with(*(f"cell-{index}" for index in range(cell_count)))
    engines = new_engines(engine_count)
    placement = place_engines(cell_map, engines)
    shuffled = list(engines)
    random.shuffle(shuffled)
    assert place_engines(cell_map, shuffled).cells == placement.cells
    assert Counter(name for names in placement.cells.values() for name in names) == Counter(
        engine.name for engine in engines
    )


def test_every_cell_can_prefill_and_decode_or_reports_a_shortage() -> None:
    cell_map = cell_map_with("a", "b", "c", "d")
    engines = new_engines(16)
    roles_by_name = {engine.name: engine.role for engine in engines}
    placement = place_engines(cell_map, engines)
    for names in placement.cells.values():
        roles = {roles_by_name[name] for name in names}
        assert roles & {Role.PREFILL, Role.MIXED}
        assert roles & {Role.DECODE, Role.MIXED}
    assert placement.shortages == []
    with_one_decode_engine = [
        engine for engine in engines if engine.role is Role.PREFILL or engine.name == "engine-2"
    ]
    short_placement = place_engines(cell_map, with_one_decode_engine)
    assert sum("writers" in shortage for shortage in short_placement.shortages) == 3


@pytest.mark.parametrize("engine_count", [16, 64])
def test_removed_engine_moves_few_others(engine_count: int) -> None:
    cell_map, engines = cell_map_with("a", "b", "c", "d"), new_engines(engine_count)
    before = place_engines(cell_map, engines).cells
    moved_counts = []
    for removed in engines:
        after = place_engines(cell_map, [engine for engine in engines if engine is not removed]).cells
        moved_counts.append(sum(len(after[name] - before[name]) for name in before))
    assert sum(moved_counts) / len(moved_counts) < 3
    assert max(moved_counts) <= 8


def test_cells_get_engines_by_weight_from_all_zones() -> None:
    cell_map = CellMap(version=1, cells={"big": Cell(weight=3), "small": Cell()})
    placement = place_engines(cell_map, new_engines(64))
    assert len(placement.cells["big"]) == 48
    zones = {engine.name: engine.zone for engine in new_engines(64)}
    assert {zones[name] for name in placement.cells["small"]} == {"zone-0", "zone-1", "zone-2"}


def test_shards_overlap_little_and_fixed_cells_take_engines_by_name_pattern() -> None:
    cell_map = CellMap(version=1, way="shuffle", shards=Shards(count=20, readers=3, writers=2, mixed=1))
    cells = place_engines(cell_map, new_engines(64)).cells
    assert all(len(names) == 6 for names in cells.values())
    pairs = [(first, second) for first in cells for second in cells if first < second]
    equal_pairs = sum(cells[first] == cells[second] for first, second in pairs)
    assert equal_pairs == 0
    shared_engines = sum(len(cells[first] & cells[second]) for first, second in pairs)
    assert shared_engines / len(pairs) < 1.5
    fixed = CellMap(
        version=1, way="fixed", cells={"x": Cell(engines=["engine-1*"]), "y": Cell(engines=["*-2"])}
    )
    assert place_engines(fixed, new_engines(16)).cells["y"] == {"engine-2"}


def test_tenant_has_one_home_cell_and_a_spread_tenant_one_per_session() -> None:
    cell_map = cell_map_with("a", "b", "c", "r", tenants={"t": "b", "wide": "*"}, reserve="r")
    assert home_cell(cell_map, "t", "s1") == home_cell(cell_map, "t", "s2") == "b"
    homes_of_spread_tenant = {home_cell(cell_map, "wide", f"s{number}") for number in range(60)}
    assert homes_of_spread_tenant == {"a", "b", "c"}  # the reserve is never a home cell
    assert home_cell(cell_map, "unnamed", "s1") == home_cell(cell_map, "unnamed", "s2") != "r"
    assert home_cell(CellMap(version=0), "t", None) == "whole"


@pytest.mark.parametrize(
    ("contradiction", "reason"),
    [
        ({"tenants": {"t": "nowhere"}}, "no cell"),
        ({"reserve": "nowhere"}, "reserve"),
        ({"reserve": "a", "tenants": {"t": "a"}}, "must have no tenants"),
        ({"way": "shuffle"}, "numbered"),
        ({"way": "fixed"}, "names its engines"),
        ({"overflow": {"from_turned_away": 0.1, "until_turned_away": 0.2}}, "flap"),
        ({"moves": [{"id": "m", "tenant": "t", "source": "a", "target": "z"}]}, "no cell"),
        ({"moves": [{"id": "m", "tenant": "t", "source": "a", "target": "a"}]}, "itself"),
        (
            {"moves": [{"id": name, "tenant": "t", "source": "a", "target": "b"} for name in "mn"]},
            "already being moved",
        ),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_contradictory_map_is_rejected(contradiction: dict[str, Any], reason: str) -> None:
    with pytest.raises(ValidationError, match=reason):
        CellMap.model_validate({"version": 1, "cells": {"a": {}, "b": {}}, **contradiction})
