"""Cell maps for tests."""

from __future__ import annotations

from typing import Any

from runspool.cells.cell_map import Cell, CellMap


def cell_map_with(*cells: str, **fields: Any) -> CellMap:
    """The first version of a map with plain cells of these names; `fields` by the map's own names."""
    return CellMap(version=1, cells={name: Cell() for name in cells}, **fields)
