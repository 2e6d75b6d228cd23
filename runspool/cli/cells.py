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

from runspool.cells import cell_store, tenant_migration
from runspool.cells.cell_map import CellMap, Move
from runspool.cells.engine_placement import EnginePlace, home_cell, place_engines
from runspool.cli.terms import ExternalVariables, load_or_exit
from runspool.config import FrontConfig
from runspool.config.loader import InvalidConfigError, evaluate
from runspool.config.schema import ROLES
from runspool.discovery import snapshot
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
def refusals_reported() -> Iterator[None]:
    """A refusal or a damaged file ends in one line on standard error and exit 1."""
    try:
        yield
    except (
        tenant_migration.MigrationRefusedError,
        cell_store.CorruptFileError,
        snapshot.CorruptFileError,
        InvalidConfigError,
    ) as fault:
        typer.echo(f"refused: {fault}", err=True)
        raise typer.Exit(1) from None


class FrontFiles:
    """The files that a front's terms name, and the engines that it last knew."""

    def __init__(self, file: Path, var: list[str] | None) -> None:
        self.terms: FrontConfig = load_or_exit(file, var)
        if self.terms.front.cells_file is None:
            typer.echo(f"{file}: front.cells_file is not set; this front has no cells", err=True)
            raise typer.Exit(2)
        self.path = Path(self.terms.front.cells_file)

    def cell_map(self) -> CellMap:
        """The published map, mended from its log where needed; raises MigrationRefusedError where none is."""
        cell_map = cell_store.recover_map(self.path)
        if cell_map is None:
            raise tenant_migration.MigrationRefusedError(
                f"{self.path}: there is no map yet; `runspool cells adopt` makes one"
            )
        return cell_map

    def engines(self) -> list[EnginePlace]:
        """The ready engines of the front's last endpoint list, none where it has no list."""
        last = snapshot.load_snapshot(Path(self.terms.front.memory_file or ""))
        kinds = self.terms.house.kinds
        return [
            EnginePlace(one.engine, ROLES[kinds[one.engine_type].role], one.zone, one.rack)
            for one in (last.engines if last else [])
            if one.state == "on" and one.engine_type in kinds
        ]

    def binding_time(self) -> int:
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
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = cell_store.recover_map(front_files.path)
        fields = evaluate(source)
        fields["version"] = (before.version if before else 0) + 1
        after = cell_store.decode_map(json.dumps(fields).encode(), str(source))
        if before is not None and any(move.step == "planned" for move in before.moves):
            raise tenant_migration.MigrationRefusedError("a move is under way; finish or undo it first")
        engines = front_files.engines()
        if engines and (
            missing := [
                shortage for shortage in place_engines(after, engines).shortages if ": 0 of" in shortage
            ]
        ):
            raise tenant_migration.MigrationRefusedError("; ".join(missing))
        _differences(before, after, engines)
        _write(front_files, yes, f"adopt {source.name}", before, after)


@app.command(epilog="Example: runspool cells show front.jsonnet")
def show(file: TermsFile, var: ExternalVariables = None) -> None:
    """Print the cells with their engines, what they lack, tenants and moves."""
    front_files = FrontFiles(file, var)
    with refusals_reported():
        cell_map, engines = front_files.cell_map(), front_files.engines()
    placed = place_engines(cell_map, engines)
    table = Table(
        "cell",
        "readers",
        "writers",
        "mixed",
        "zones",
        "tenants",
        title=f"version {cell_map.version}, {cell_map.way}, {len(engines)} engines",
    )
    roles = {one.name: one for one in engines}
    for name, members in placed.cells.items():
        count = [sum(roles[engine].role is role for engine in members) for role in Role]
        tenants = [tenant for tenant in cell_map.tenants if home_cell(cell_map, tenant, None) == name]
        more = f" and {len(tenants) - 4} more" if len(tenants) > 4 else ""
        zones = " ".join(sorted({roles[engine].zone for engine in members}))
        table.add_row(
            name + (" (reserve)" if name == cell_map.reserve else ""),
            *map(str, count),
            zones,
            " ".join(tenants[:4]) + more,
        )
    out.print(table)
    for shortage in placed.shortages:
        out.print(f"lacks: {shortage}")
    for move in cell_map.moves:
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
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = front_files.cell_map()
        after = tenant_migration.undo_move(before, move_id, unix_ms())
        _differences(before, after, front_files.engines())
        _write(front_files, yes, f"undo {move_id}", before, after)


@app.command(epilog="Example: runspool cells finish front.jsonnet m-7 --yes")
def finish(file: TermsFile, move_id: str, yes: ReallyDo = False, var: ExternalVariables = None) -> None:
    """Make a settled move the tenant's home. Refused while a ticket may still bind the old cell."""
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = front_files.cell_map()
        after = tenant_migration.finish_move(before, move_id, unix_ms(), front_files.binding_time())
        _differences(before, after, front_files.engines())
        _write(front_files, yes, f"finish {move_id}", before, after)


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
        replies = {front: _fetch_status(front) for front in fronts}
        for front, reply in replies.items():
            if isinstance(reply, str):
                out.print(f"{front}: {reply}")
                continue
            moves = ", ".join(f"{move['id']} {move['stage']} ({move['out']} out)" for move in reply["moves"])
            out.print(f"{front}: version {reply['version']}; {moves or 'no moves'}")
        if not until_settled:
            return
        stages = [
            move["stage"]
            for reply in replies.values()
            if not isinstance(reply, str)
            for move in reply["moves"]
            if move["id"] == until_settled
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
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = front_files.cell_map()
        if tenant not in front_files.terms.house.tenants:
            raise tenant_migration.MigrationRefusedError(f"{tenant} is none of the house's tenants")
        now_unix_ms = unix_ms()
        source = tenant_migration.TenantMigrations(before).home_cell(now_unix_ms, tenant, None)
        engines = front_files.engines()
        new_move = Move(
            id=f"m-{before.version + 1}",
            tenant=tenant,
            source=source,
            target=target,
            starts_unix_ms=now_unix_ms + starts_in_ms,
            warm=warm,
        )
        after = tenant_migration.plan_move(before, new_move, place_engines(before, engines).shortages)
        _differences(before, after, engines)
        _write(front_files, yes, f"move {tenant} {source} {target}", before, after)
        if yes:
            out.print(f"move {new_move.id}: new queries go to {target} in {starts_in_ms} ms")


def _write(front_files: FrontFiles, yes: bool, what: str, before: CellMap | None, after: CellMap) -> None:
    if not yes:
        out.print("nothing is changed; --yes does it")
        return
    with cell_store.exclusive_change(front_files.path):
        now = cell_store.recover_map(front_files.path)
        if (now and now.version) != (before and before.version):
            raise tenant_migration.MigrationRefusedError("the map has been changed meanwhile; look again")
        cell_store.record_change(front_files.path, what, after, unix_ms())
    out.print(f"{front_files.path}: version {after.version}")


def _differences(before: CellMap | None, after: CellMap, engines: list[EnginePlace]) -> None:
    old = place_engines(before, engines).cells if before is not None else {}
    changed = 0
    for name, members in place_engines(after, engines).cells.items():
        for engine in sorted(members - old.get(name, frozenset())):
            out.print(f"engine {engine}: now in {name}")
            changed += 1
        for engine in sorted(old.get(name, frozenset()) - members):
            out.print(f"engine {engine}: no longer in {name}")
            changed += 1
    out.print(f"{changed} changes of engines in {len(engines)}")
    after_all_moves = 1 << 60  # after every moment that a map states
    tenants = {*after.tenants, *(one.tenant for one in after.moves), *(before.tenants if before else ())}
    for tenant in sorted(tenants):
        was = (
            tenant_migration.TenantMigrations(before).home_cell(after_all_moves, tenant, None)
            if before
            else "nowhere"
        )
        will = tenant_migration.TenantMigrations(after).home_cell(after_all_moves, tenant, None)
        if was != will:
            out.print(f"tenant {tenant}: from {was} to {will}")


def _fetch_status(front: str) -> dict[str, Any] | str:
    try:
        with urllib.request.urlopen(f"http://{front}/cells", timeout=5) as response:
            status: dict[str, Any] = json.load(response)
            return status
    except (urllib.error.URLError, OSError, ValueError) as fault:
        return f"not reached: {fault}"
