"""The status page on which a front shows operators where it stands with its cells and moves."""

from __future__ import annotations

from typing import Any

from runspool.cells.cell_map import Move
from runspool.cells.cell_router import CellRouter


def cell_status(front: str, router: CellRouter, at: int, wall: int) -> dict[str, Any]:
    """The page of the front with this name, as it is encoded in JSON.

    `at` is the time in tenths of a millisecond on the front's clock, `wall` in Unix milliseconds.
    """
    return {
        "front": front,
        "version": router.cell_map.version,
        "adopted_unix_ms": router.adopted_unix_ms,
        "lacks": router.placement.shortages,
        "panicking": sorted(router.panicking_cells),
        "moves": [_move_status(router, move, at, wall) for move in router.cell_map.moves],
        "cells": {
            name: _one_cell_status(router, name, members) for name, members in router.placement.cells.items()
        },
    }


def _move_status(router: CellRouter, move: Move, at: int, wall: int) -> dict[str, Any]:
    return {
        "id": move.id,
        "tenant": move.tenant,
        "source": move.source,
        "target": move.target,
        "stage": router.migrations.stage(at, wall, move).name.lower(),
        "out": router.migrations.in_flight[move.tenant, move.source],
    }


def _one_cell_status(router: CellRouter, name: str, members: frozenset[str]) -> dict[str, Any]:
    overflow = router.overflow_policy
    return {
        "engines": sorted(members),
        "queries": router.request_budget.used.get(name, 0),
        "overflow": round(overflow.state(name).overflow_share, 3),
        "lent": overflow.state(name).requests_at_reserve,
    }
