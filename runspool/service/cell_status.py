"""The JSON status page that shows operators the state of a front's cells and tenant migrations."""

from __future__ import annotations

from typing import Any

from runspool.cells.cell_map import Move
from runspool.cells.cell_router import CellRouter


def cell_status(front: str, router: CellRouter, at: int, unix_ms: int) -> dict[str, Any]:
    """Return the status page as a JSON-compatible dictionary.

    Args:
        front: The name of the front.
        router: The front's cell router.
        at: The current time on the front's monotonic clock, in tenths of a millisecond.
        unix_ms: The current Unix time in milliseconds.
    """
    return {
        "front": front,
        "version": router.cell_map.version,
        "adopted_unix_ms": router.adopted_unix_ms,
        "lacks": router.placement.shortages,
        "panicking": sorted(router.panicking_cells),
        "moves": [_move_status(router, move, at, unix_ms) for move in router.cell_map.moves],
        "cells": {
            name: _one_cell_status(router, name, members) for name, members in router.placement.cells.items()
        },
    }


def _move_status(router: CellRouter, move: Move, at: int, unix_ms: int) -> dict[str, Any]:
    return {
        "id": move.id,
        "tenant": move.tenant,
        "source": move.source,
        "target": move.target,
        "stage": router.migrations.stage(at, unix_ms, move).name.lower(),
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
