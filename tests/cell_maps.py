"""Cell maps for tests."""

from __future__ import annotations

from typing import Any

from runspool.cells.cell_map import Cell, CellMap, Move

# CELL_MAP divides these engines into three cells of two; the third cell is the reserve.
ENGINE_TYPES = ["prefill", "decode", "prefill", "decode", "prefill", "decode"]
CELL_MAP = CellMap.model_validate(
    {
        "version": 1,
        "way": "fixed",
        "reserve": "spare",
        "tenants": {"one": "a", "two": "b"},
        "cells": {
            "a": {"engines": ["e0", "e1"]},
            "b": {"engines": ["e2", "e3"]},
            "spare": {"engines": ["e4", "e5"]},
        },
        "overflow": {"from_turned_away": 0.3, "until_turned_away": 0.1, "settle_ms": 10.0},
    }
)


def map_with_move(start: int = 1, **changes: Any) -> CellMap:
    """Return the next version of the map, in which tenant one moves from cell a to cell b."""
    move = Move(id="m", tenant="one", source="a", target="b", starts_unix_ms=start, **changes)
    return CELL_MAP.model_copy(update={"version": 2, "moves": [move]})


def cell_map_with(*cells: str, **fields: Any) -> CellMap:
    """Return version 1 of a map with default cells of these names; `fields` are further fields of CellMap."""
    return CellMap(version=1, cells={name: Cell() for name in cells}, **fields)
