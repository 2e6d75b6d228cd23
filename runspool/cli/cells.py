"""`runspool cells`: shows the cell map, plans, makes, watches and undoes moves of tenants."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Annotated, Any

import typer

from runspool.cells import cell_store, tenant_migration
from runspool.cells.cell_map import CellMap, Move
from runspool.cells.engine_placement import EnginePlace, place_engines
from runspool.cells.tenant_migration import MigrationRefusedError, TenantMigrations
from runspool.cli.cell_output import out, print_differences, print_map, print_replies
from runspool.cli.front_files import FrontFiles, refusals_reported
from runspool.cli.terms import ExternalVariables
from runspool.config.loader import evaluate
from runspool.service.clock import unix_ms

EXIT_NOT_SETTLED = 3
STATUS_TIMEOUT_SECONDS = 5
POLL_SECONDS = 1.0  # between two looks at the fronts
ENDED_STAGES = ("settled", "back")  # of a move, on a front's status page

app = typer.Typer(no_args_is_help=True, help="Show the cell map; plan, make, watch, undo moves of tenants.")

TermsFile = Annotated[Path, typer.Argument(help="A front's terms; they name cells_file and memory_file.")]
Tenant = Annotated[str, typer.Argument(help="The tenant to move.")]
Target = Annotated[str, typer.Argument(help="The cell to move it to.")]
StartsIn = Annotated[int, typer.Option(min=0, help="Milliseconds until new queries go to the new cell.")]
Warm = Annotated[bool, typer.Option(help="Have the new cell read the sessions' texts ahead, at its cost.")]
ReallyDo = Annotated[bool, typer.Option("--yes", help="Do it; without, only show what would change.")]


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
        after = _read_next_map(source, before)
        if before is not None and any(move.step == "planned" for move in before.moves):
            raise MigrationRefusedError("a move is under way; finish or undo it first")
        engines = front_files.engines()
        _check_roles_served(after, engines)
        print_differences(before, after, engines)
        _write(front_files, yes, f"adopt {source.name}", before, after)


@app.command(epilog="Example: runspool cells show front.jsonnet")
def show(file: TermsFile, var: ExternalVariables = None) -> None:
    """Print the cells with their engines, what they lack, tenants and moves."""
    front_files = FrontFiles(file, var)
    with refusals_reported():
        cell_map, engines = front_files.cell_map(), front_files.engines()
    print_map(cell_map, engines)


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
        print_differences(before, after, front_files.engines())
        _write(front_files, yes, f"undo {move_id}", before, after)


@app.command(epilog="Example: runspool cells finish front.jsonnet m-7 --yes")
def finish(file: TermsFile, move_id: str, yes: ReallyDo = False, var: ExternalVariables = None) -> None:
    """Make a settled move the tenant's home. Refused while a ticket may still bind the old cell."""
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = front_files.cell_map()
        after = tenant_migration.finish_move(before, move_id, unix_ms(), front_files.binding_time())
        print_differences(before, after, front_files.engines())
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
        print_replies(replies)
        if not until_settled or _is_settled(until_settled, replies, len(fronts)):
            return
        if time.monotonic() > end:
            typer.echo(f"{until_settled} is not settled at every front", err=True)
            raise typer.Exit(EXIT_NOT_SETTLED)
        time.sleep(min(POLL_SECONDS, max(0.0, end - time.monotonic())))


def _read_next_map(source: Path, before: CellMap | None) -> CellMap:
    """The map in the file, with the version that follows that of `before`."""
    fields = evaluate(source)
    fields["version"] = (before.version if before else 0) + 1
    return cell_store.decode_map(json.dumps(fields).encode(), str(source))


def _check_roles_served(cell_map: CellMap, engines: list[EnginePlace]) -> None:
    """Raises MigrationRefusedError where a cell would have no engine of a role; not where none is known."""
    if not engines:
        return
    missing = [shortage for shortage in place_engines(cell_map, engines).shortages if ": 0 of" in shortage]
    if missing:
        raise MigrationRefusedError("; ".join(missing))


def _is_settled(move_id: str, replies: dict[str, dict[str, Any] | str], front_count: int) -> bool:
    """Whether each of the fronts has answered, knows the move, and shows that it has ended."""
    stages = [
        move["stage"]
        for reply in replies.values()
        if not isinstance(reply, str)
        for move in reply["moves"]
        if move["id"] == move_id
    ]
    return len(stages) == front_count and all(stage in ENDED_STAGES for stage in stages)


def _move(
    file: Path, tenant: str, target: str, starts_in_ms: int, warm: bool, yes: bool, var: list[str] | None
) -> None:
    front_files = FrontFiles(file, var)
    with refusals_reported():
        before = front_files.cell_map()
        if tenant not in front_files.terms.house.tenants:
            raise MigrationRefusedError(f"{tenant} is none of the house's tenants")
        now_unix_ms = unix_ms()
        source = TenantMigrations(before).home_cell(now_unix_ms, tenant, None)
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
        print_differences(before, after, engines)
        _write(front_files, yes, f"move {tenant} {source} {target}", before, after)
        if yes:
            out.print(f"move {new_move.id}: new queries go to {target} in {starts_in_ms} ms")


def _write(front_files: FrontFiles, yes: bool, what: str, before: CellMap | None, after: CellMap) -> None:
    """Puts the map `after` in place of `before`, which must still be there; without `yes` only says so."""
    if not yes:
        out.print("nothing is changed; --yes does it")
        return
    with cell_store.exclusive_change(front_files.path):
        current = cell_store.recover_map(front_files.path)
        if (current and current.version) != (before and before.version):
            raise MigrationRefusedError("the map has been changed meanwhile; look again")
        cell_store.record_change(front_files.path, what, after, unix_ms())
    out.print(f"{front_files.path}: version {after.version}")


def _fetch_status(front: str) -> dict[str, Any] | str:
    """The front's status page, or why there is none."""
    try:
        with urllib.request.urlopen(f"http://{front}/cells", timeout=STATUS_TIMEOUT_SECONDS) as response:
            status: dict[str, Any] = json.load(response)
            return status
    except (urllib.error.URLError, OSError, ValueError) as fault:
        return f"not reached: {fault}"
