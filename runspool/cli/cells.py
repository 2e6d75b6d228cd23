"""`runspool cells`: shows the cell map, plans, makes, watches and undoes moves of tenants."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from runspool.cells import cell_store as book
from runspool.cells import tenant_migration as moving
from runspool.cells.cell_map import CellMap, Move
from runspool.cells.engine_placement import EnginePlace, home_cell, place_engines
from runspool.cli.terms import ExternalVariables, load_or_exit
from runspool.config import FrontConfig
from runspool.config.loader import InvalidConfigError, evaluate
from runspool.config.schema import ROLES
from runspool.discovery import snapshot as memory
from runspool.scheduling.types import Role
from runspool.service.clock import unix_ms
from runspool.units import tenths

app = typer.Typer(no_args_is_help=True, help="Show the cell map; plan, make, watch, undo moves of tenants.")
out = Console(highlight=False, soft_wrap=True)

TermsFile = Annotated[Path, typer.Argument(help="A front's terms; they name cells_file and memory_file.")]
Tenant = Annotated[str, typer.Argument(help="The tenant to move.")]
Target = Annotated[str, typer.Argument(help="The cell to move it to.")]
StartsIn = Annotated[int, typer.Option(min=0, help="Milliseconds until new queries go to the new cell.")]
Warm = Annotated[bool, typer.Option(help="Have the new cell read the sessions' texts ahead, at its cost.")]
ReallyDo = Annotated[bool, typer.Option("--yes", help="Do it; without, only show what would change.")]


@contextmanager
def said_plainly() -> Iterator[None]:
    """A refusal or a damaged file ends in one line on standard error and exit 1."""
    try:
        yield
    except (
        moving.MigrationRefusedError,
        book.CorruptFileError,
        memory.CorruptFileError,
        InvalidConfigError,
    ) as fault:
        typer.echo(f"refused: {fault}", err=True)
        raise typer.Exit(1) from None


class Desk:
    """The files that a front's terms name, and the engines that it last knew."""

    def __init__(self, file: Path, var: list[str] | None) -> None:
        self.terms: FrontConfig = load_or_exit(file, var)
        if self.terms.front.cells_file is None:
            typer.echo(f"{file}: front.cells_file is not set; this front has no cells", err=True)
            raise typer.Exit(2)
        self.path = Path(self.terms.front.cells_file)

    def chart(self) -> CellMap:
        chart = book.recover_map(self.path)
        if chart is None:
            raise moving.MigrationRefusedError(
                f"{self.path}: there is no map yet; `runspool cells adopt` makes one"
            )
        return chart

    def engines(self) -> list[EnginePlace]:
        last = memory.load_snapshot(Path(self.terms.front.memory_file or ""))
        kinds = self.terms.house.kinds
        return [
            EnginePlace(one.engine, ROLES[kinds[one.engine_type].role], one.zone, one.rack)
            for one in (last.engines if last else [])
            if one.state == "on" and one.engine_type in kinds
        ]

    def binds(self) -> int:
        """The longest that a ticket can bind, in tenths of a millisecond."""
        limit = self.terms.front.bounds.longest_limit_ms
        return max(
            (
                tenths(row.window_ms + limit)
                for row in self.terms.house.tariffs.values()
                if row.effect == "ticketed" and row.group != "all"
            ),
            default=0,
        )


@app.command(
    epilog="Example: runspool cells adopt front.jsonnet cells.jsonnet --yes   (exit 0: done or "
    "shown, 1: refused, 2: bad terms)"
)
def adopt(
    file: TermsFile,
    source: Annotated[Path, typer.Argument(help="A Jsonnet file with a cell map.")],
    yes: ReallyDo = False,
    var: ExternalVariables = None,
) -> None:
    """Put a map written by hand in place, as the next version. Moves under way must be finished first."""
    desk = Desk(file, var)
    with said_plainly():
        before = book.recover_map(desk.path)
        said = evaluate(source)
        said["version"] = (before.version if before else 0) + 1
        after = book.decode_map(json.dumps(said).encode(), str(source))
        if before is not None and any(move.step == "planned" for move in before.moves):
            raise moving.MigrationRefusedError("a move is under way; finish or undo it first")
        engines = desk.engines()
        if engines and (
            missing := [lack for lack in place_engines(after, engines).shortages if ": 0 of" in lack]
        ):
            raise moving.MigrationRefusedError("; ".join(missing))
        _differences(before, after, engines)
        _write(desk, yes, f"adopt {source.name}", before, after)


@app.command(epilog="Example: runspool cells show front.jsonnet")
def show(file: TermsFile, var: ExternalVariables = None) -> None:
    """Print the cells with their engines, what they lack, tenants and moves."""
    desk = Desk(file, var)
    with said_plainly():
        chart, engines = desk.chart(), desk.engines()
    placed = place_engines(chart, engines)
    table = Table(
        "cell",
        "readers",
        "writers",
        "mixed",
        "zones",
        "tenants",
        title=f"version {chart.version}, {chart.way}, {len(engines)} engines",
    )
    roles = {one.name: one for one in engines}
    for name, there in placed.cells.items():
        count = [sum(roles[engine].role is role for engine in there) for role in Role]
        tenants = [tenant for tenant in chart.tenants if home_cell(chart, tenant, None) == name]
        more = f" and {len(tenants) - 4} more" if len(tenants) > 4 else ""
        zones = " ".join(sorted({roles[engine].zone for engine in there}))
        table.add_row(
            name + (" (reserve)" if name == chart.reserve else ""),
            *map(str, count),
            zones,
            " ".join(tenants[:4]) + more,
        )
    out.print(table)
    for lack in placed.shortages:
        out.print(f"lacks: {lack}")
    for move in chart.moves:
        out.print(f"move {move.id}: {move.tenant} from {move.source} to {move.target}, {move.step}")


@app.command(epilog="Example: runspool cells plan front.jsonnet stol-razem cell-b")
def plan(
    file: TermsFile,
    tenant: Tenant,
    target: Target,
    starts_in_ms: StartsIn = 2000,
    warm: Warm = False,
    var: ExternalVariables = None,
) -> None:
    """Show what a move would change, by engine and tenant, or why it would be refused. Changes nothing."""
    _move(file, tenant, target, starts_in_ms, warm, False, var)


@app.command(epilog="Example: runspool cells move front.jsonnet stol-razem cell-b --yes")
def move(
    file: TermsFile,
    tenant: Tenant,
    target: Target,
    starts_in_ms: StartsIn = 2000,
    warm: Warm = False,
    yes: ReallyDo = False,
    var: ExternalVariables = None,
) -> None:
    """Move a tenant while it is served. From the stated moment its new queries go to the new cell."""
    _move(file, tenant, target, starts_in_ms, warm, yes, var)


@app.command(epilog="Example: runspool cells undo front.jsonnet m-7 --yes")
def undo(file: TermsFile, move_id: str, yes: ReallyDo = False, var: ExternalVariables = None) -> None:
    """Turn a move back: new queries go to the old cell again. What is in the new cell ends there."""
    desk = Desk(file, var)
    with said_plainly():
        before = desk.chart()
        after = moving.undo_move(before, move_id, unix_ms())
        _differences(before, after, desk.engines())
        _write(desk, yes, f"undo {move_id}", before, after)


@app.command(epilog="Example: runspool cells finish front.jsonnet m-7 --yes")
def finish(file: TermsFile, move_id: str, yes: ReallyDo = False, var: ExternalVariables = None) -> None:
    """Make a settled move the tenant's home. Refused while a ticket may still bind the old cell."""
    desk = Desk(file, var)
    with said_plainly():
        before = desk.chart()
        after = moving.finish_move(before, move_id, unix_ms(), desk.binds())
        _differences(before, after, desk.engines())
        _write(desk, yes, f"finish {move_id}", before, after)


@app.command(
    epilog="Example: runspool cells watch 127.0.0.1:8080 127.0.0.1:8081 --until-settled m-7   "
    "(exit 0: settled everywhere, 3: not in time)"
)
def watch(
    fronts: Annotated[list[str], typer.Argument(help="host:port of fronts.")],
    until_settled: Annotated[str, typer.Option(help="A move to wait for.")] = "",
    patience_s: Annotated[float, typer.Option(help="Seconds to wait at most.")] = 60.0,
) -> None:
    """Print where each front stands: its map's version, its moves and what they still wait for."""
    end = time.monotonic() + patience_s
    while True:
        seen = {front: _ask(front) for front in fronts}
        for front, said in seen.items():
            if isinstance(said, str):
                out.print(f"{front}: {said}")
                continue
            moves = ", ".join(f"{one['id']} {one['stage']} ({one['out']} out)" for one in said["moves"])
            out.print(f"{front}: version {said['version']}; {moves or 'no moves'}")
        if not until_settled:
            return
        stages = [
            one["stage"]
            for said in seen.values()
            if not isinstance(said, str)
            for one in said["moves"]
            if one["id"] == until_settled
        ]
        if len(stages) == len(fronts) and all(stage in ("settled", "back") for stage in stages):
            return
        if time.monotonic() > end:
            typer.echo(f"{until_settled} is not settled at every front", err=True)
            raise typer.Exit(3)
        time.sleep(min(1.0, max(0.0, end - time.monotonic())))


def _move(
    file: Path, tenant: str, target: str, starts_in_ms: int, warm: bool, yes: bool, var: list[str] | None
) -> None:
    desk = Desk(file, var)
    with said_plainly():
        before = desk.chart()
        if tenant not in desk.terms.house.tenants:
            raise moving.MigrationRefusedError(f"{tenant} is none of the house's tenants")
        wall = unix_ms()
        source = moving.TenantMigrations(before).home_cell(wall, tenant, None)
        engines = desk.engines()
        asked = Move(
            id=f"m-{before.version + 1}",
            tenant=tenant,
            source=source,
            target=target,
            starts_unix_ms=wall + starts_in_ms,
            warm=warm,
        )
        after = moving.plan_move(before, asked, place_engines(before, engines).shortages)
        _differences(before, after, engines)
        _write(desk, yes, f"move {tenant} {source} {target}", before, after)
        if yes:
            out.print(f"move {asked.id}: new queries go to {target} in {starts_in_ms} ms")


def _write(desk: Desk, yes: bool, what: str, before: CellMap | None, after: CellMap) -> None:
    if not yes:
        out.print("nothing is changed; --yes does it")
        return
    with book.exclusive_change(desk.path):
        now = book.recover_map(desk.path)
        if (now and now.version) != (before and before.version):
            raise moving.MigrationRefusedError("the map has been changed meanwhile; look again")
        book.record_change(desk.path, what, after, unix_ms())
    out.print(f"{desk.path}: version {after.version}")


def _differences(before: CellMap | None, after: CellMap, engines: list[EnginePlace]) -> None:
    old = place_engines(before, engines).cells if before is not None else {}
    changed = 0
    for name, there in place_engines(after, engines).cells.items():
        for engine in sorted(there - old.get(name, frozenset())):
            out.print(f"engine {engine}: now in {name}")
            changed += 1
        for engine in sorted(old.get(name, frozenset()) - there):
            out.print(f"engine {engine}: no longer in {name}")
            changed += 1
    out.print(f"{changed} changes of engines in {len(engines)}")
    far = 1 << 60  # after every moment that a map states
    tenants = {*after.tenants, *(one.tenant for one in after.moves), *(before.tenants if before else ())}
    for tenant in sorted(tenants):
        was = moving.TenantMigrations(before).home_cell(far, tenant, None) if before else "nowhere"
        will = moving.TenantMigrations(after).home_cell(far, tenant, None)
        if was != will:
            out.print(f"tenant {tenant}: from {was} to {will}")


def _ask(front: str) -> dict[str, Any] | str:
    try:
        with urllib.request.urlopen(f"http://{front}/cells", timeout=5) as said:
            found: dict[str, Any] = json.load(said)
            return found
    except (urllib.error.URLError, OSError, ValueError) as fault:
        return f"not reached: {fault}"
