"""Output of the commands `runspool cells`: cell maps, differences between maps, and the status of fronts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.table import Table

from runspool.cells.cell_map import CellMap
from runspool.cells.engine_placement import EngineDescriptor, home_cell, place_engines
from runspool.cells.tenant_migration import TenantMigrations
from runspool.scheduling.types import Role

MAX_TENANTS_SHOWN = 4  # tenants of a cell shown by name; the others are counted only
AFTER_ALL_MOVES = 1 << 60  # milliseconds since the epoch; later than any time in a map

console = Console(highlight=False, soft_wrap=True)


def print_map(cell_map: CellMap, engines: list[EngineDescriptor]) -> None:
    """Print the cells with their engines and tenants, the missing engines, and the moves."""
    placement = place_engines(cell_map, engines)
    table = Table(
        "cell",
        "readers",
        "writers",
        "mixed",
        "zones",
        "tenants",
        title=f"version {cell_map.version}, {cell_map.way}, {len(engines)} engines",
    )
    engines_by_name = {descriptor.name: descriptor for descriptor in engines}
    for name, members in placement.cells.items():
        table.add_row(*_cell_row(cell_map, name, [engines_by_name[engine] for engine in members]))
    console.print(table)
    for shortage in placement.shortages:
        console.print(f"lacks: {shortage}")
    for move in cell_map.moves:
        console.print(f"move {move.id}: {move.tenant} from {move.source} to {move.target}, {move.step}")


def print_differences(before: CellMap | None, after: CellMap, engines: list[EngineDescriptor]) -> None:
    """Print the engines and tenants whose cells differ between two maps; without a map, `before` is None."""
    _print_engine_differences(before, after, engines)
    _print_tenant_differences(before, after)


def print_front_statuses(replies: dict[str, dict[str, Any] | str]) -> None:
    """Print one line for each front: a summary of its status page, or the message why there is none."""
    for front, reply in replies.items():
        if isinstance(reply, str):
            console.print(f"{front}: {reply}")
            continue
        moves = ", ".join(f"{move['id']} {move['stage']} ({move['out']} out)" for move in reply["moves"])
        console.print(f"{front}: version {reply['version']}; {moves or 'no moves'}")


def _cell_row(cell_map: CellMap, name: str, members: list[EngineDescriptor]) -> list[str]:
    counts = [sum(engine.role is role for engine in members) for role in Role]
    tenants = [tenant for tenant in cell_map.tenants if home_cell(cell_map, tenant, None) == name]
    hidden = len(tenants) - MAX_TENANTS_SHOWN
    more = f" and {hidden} more" if hidden > 0 else ""
    return [
        name + (" (reserve)" if name == cell_map.reserve else ""),
        *map(str, counts),
        " ".join(sorted({engine.zone for engine in members})),
        " ".join(tenants[:MAX_TENANTS_SHOWN]) + more,
    ]


def _print_engine_differences(
    before: CellMap | None, after: CellMap, engines: list[EngineDescriptor]
) -> None:
    old_cells = place_engines(before, engines).cells if before is not None else {}
    changed = 0
    for name, members in place_engines(after, engines).cells.items():
        old_members = old_cells.get(name, frozenset())
        changed += _print_engines(members - old_members, f"now in {name}")
        changed += _print_engines(old_members - members, f"no longer in {name}")
    console.print(f"{changed} changes of engines in {len(engines)}")


def _print_engines(names: Iterable[str], change: str) -> int:
    """Print a line for each engine, sorted by name; return the number of engines."""
    ordered = sorted(names)
    for engine in ordered:
        console.print(f"engine {engine}: {change}")
    return len(ordered)


def _print_tenant_differences(before: CellMap | None, after: CellMap) -> None:
    tenants = {*after.tenants, *(move.tenant for move in after.moves), *(before.tenants if before else ())}
    for tenant in sorted(tenants):
        old_cell = _final_cell(before, tenant) if before else "nowhere"
        new_cell = _final_cell(after, tenant)
        if old_cell != new_cell:
            console.print(f"tenant {tenant}: from {old_cell} to {new_cell}")


def _final_cell(cell_map: CellMap, tenant: str) -> str:
    """Return the tenant's cell after all moves of the map have started."""
    return TenantMigrations(cell_map).home_cell(AFTER_ALL_MOVES, tenant, None)
