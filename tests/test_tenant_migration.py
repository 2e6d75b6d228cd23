"""Moves of a tenant to another cell: when requests change cells; no effect may happen in two cells."""

from __future__ import annotations

from typing import Any

import pytest

from runspool.cells import tenant_migration
from runspool.cells.engine_placement import home_cell
from runspool.cells.tenant_migration import (
    CellChoice,
    MapChangeRefusedError,
    MigrationStage,
    TenantMigrations,
)
from tests.migration_model import (
    AT_MOST_ONCE,
    KEYED,
    MAP_BEFORE_MOVE,
    MAP_WITH_MOVE,
    MOVE_START_MS,
    WINDOW,
    explore,
    make_move,
)


def test_move_starts_on_time_and_settles_when_no_request_is_bound_to_the_old_cell() -> None:
    migrations = TenantMigrations(MAP_WITH_MOVE)
    planned_move = migrations.cell_map.moves[0]
    assert migrations.home_cell(MOVE_START_MS - 1, "t", None) == "a"
    migrations.record_admission(0, "t", "a", "ticket", WINDOW)
    assert migrations.stage(0, MOVE_START_MS - 1, planned_move) is MigrationStage.AHEAD
    assert migrations.home_cell(MOVE_START_MS, "t", None) == "b"
    assert migrations.home_cell(MOVE_START_MS, "other", None) == home_cell(migrations.cell_map, "other", None)
    assert migrations.stage(1, MOVE_START_MS, planned_move) is MigrationStage.SETTLING
    migrations.record_finish("t", "a")
    # The ticket still binds its request to cell a.
    assert migrations.stage(1, MOVE_START_MS, planned_move) is MigrationStage.SETTLING
    assert migrations.choose_cell(1, MOVE_START_MS, "t", None, "ticket", True, WINDOW).cell == "a"
    assert migrations.stage(WINDOW + 1, MOVE_START_MS, planned_move) is MigrationStage.SETTLED
    assert migrations.choose_cell(WINDOW + 1, MOVE_START_MS, "t", None, "new", False, WINDOW).cell == "b"


def test_invalid_map_changes_are_refused_with_a_reason() -> None:
    for cell_map, change, reason in (
        (MAP_WITH_MOVE, make_move("n"), "already"),
        (MAP_BEFORE_MOVE, make_move().model_copy(update={"target": "z"}), "no cell"),
        (MAP_BEFORE_MOVE, make_move().model_copy(update={"target": "a"}), "already"),
    ):
        with pytest.raises(MapChangeRefusedError, match=reason):
            tenant_migration.plan_move(cell_map, change, [])
    with pytest.raises(MapChangeRefusedError, match="lacks a role"):
        tenant_migration.plan_move(MAP_BEFORE_MOVE, make_move(), ["b: 0 of 1 writers: the list has none"])
    undone = tenant_migration.undo_move(MAP_WITH_MOVE, "m", MOVE_START_MS)
    with pytest.raises(MapChangeRefusedError, match="turned_back"):
        tenant_migration.undo_move(undone, "m", MOVE_START_MS)
    with pytest.raises(MapChangeRefusedError, match="no move"):
        tenant_migration.undo_move(MAP_BEFORE_MOVE, "x", MOVE_START_MS)
    window_ends_ms = MOVE_START_MS + WINDOW // 10
    with pytest.raises(MapChangeRefusedError, match="finished in 1 ms"):
        tenant_migration.finish_move(MAP_WITH_MOVE, "m", window_ends_ms - 1, WINDOW)
    finished = tenant_migration.finish_move(MAP_WITH_MOVE, "m", window_ends_ms, WINDOW)
    assert finished.tenants["t"] == "b"
    migrations = TenantMigrations(MAP_WITH_MOVE)
    assert not migrations.adopt(MAP_BEFORE_MOVE, 5)
    assert migrations.cell_map is MAP_WITH_MOVE


@pytest.mark.parametrize("idempotency", [AT_MOST_ONCE, KEYED])
def test_no_interleaving_of_a_move_lets_an_effect_happen_in_two_cells(idempotency: str) -> None:
    visited, violations = explore(idempotency)
    assert violations == []
    assert visited > 50_000


def test_exploration_detects_a_protocol_that_ignores_tickets() -> None:
    def ignore_tickets(
        migrations: TenantMigrations, now: int, unix_ms: int, tenant: str | None, *_: Any
    ) -> CellChoice:
        return CellChoice(migrations.home_cell(unix_ms, tenant, None))

    _, violations = explore(KEYED, ignore_tickets)
    assert violations
