"""The commands `runspool cells`: show and replace the cell map; plan, make, watch and undo tenant moves."""

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
from runspool.cells.engine_placement import EngineDescriptor, place_engines
from runspool.cells.tenant_migration import MapChangeRefusedError, TenantMigrations
from runspool.cli.cell_output import console, print_differences, print_front_statuses, print_map
from runspool.cli.front_files import FrontFiles, report_refusals
from runspool.cli.terms import ExternalVariables
from runspool.config.loader import evaluate_jsonnet
from runspool.service.clock import unix_ms

EXIT_NOT_SETTLED = 3  # exit status for a move that did not settle at every front in time
STATUS_TIMEOUT_SECONDS = 5  # for the status page of one front
POLL_SECONDS = 1.0  # between two requests for the fronts' status pages
ENDED_STAGES = ("settled", "back")  # stages of a move, as a status page writes them, in which it has ended

app = typer.Typer(
    no_args_is_help=True, help="Show the cell map; plan, make, watch and undo moves of tenants."
)

FrontConfigFile = Annotated[
    Path, typer.Argument(help="The configuration of a front, with cells_file and memory_file.")
]
Tenant = Annotated[str, typer.Argument(help="The tenant to move.")]
Target = Annotated[str, typer.Argument(help="The cell to move it to.")]
StartsIn = Annotated[int, typer.Option(min=0, help="Milliseconds until new requests go to the target cell.")]
Warm = Annotated[bool, typer.Option(help="Prefill the tenant's sessions in the target cell before the move.")]
Confirmed = Annotated[bool, typer.Option("--yes", help="Make the change; without this option, only show it.")]


@app.command(
    epilog="Example: runspool cells adopt front.jsonnet cells.jsonnet --yes   (exit 0: done or "
    "shown, 1: refused, 2: invalid configuration)"
)
def adopt(
    file: FrontConfigFile,
    source: Annotated[Path, typer.Argument(help="A Jsonnet file with a cell map.")],
    yes: Confirmed = False,
    var: ExternalVariables = None,
) -> None:
    """Publish a hand-written map as the next version. Planned moves must be finished or undone first."""
    front_files = FrontFiles(file, var)
    with report_refusals():
        before = cell_store.recover_map(front_files.map_path)
        after = _read_next_map(source, before)
        if before is not None and any(move.step == "planned" for move in before.moves):
            raise MapChangeRefusedError("a move is under way; finish or undo it first")
        engines = front_files.engines()
        _check_roles_served(after, engines)
        print_differences(before, after, engines)
        _publish(front_files, yes, f"adopt {source.name}", before, after)


@app.command(epilog="Example: runspool cells show front.jsonnet")
def show(file: FrontConfigFile, var: ExternalVariables = None) -> None:
    """Print the cells with their engines, missing engines and tenants, and the moves."""
    front_files = FrontFiles(file, var)
    with report_refusals():
        cell_map, engines = front_files.cell_map(), front_files.engines()
    print_map(cell_map, engines)


@app.command(epilog="Example: runspool cells plan front.jsonnet stol-razem cell-b")
def plan(
    file: FrontConfigFile,
    tenant: Tenant,
    target: Target,
    starts_in_ms: StartsIn = 2000,
    warm: Warm = False,
    var: ExternalVariables = None,
) -> None:
    """Show which engines and tenants a move would affect, or why it would be refused. Change nothing."""
    _plan_and_publish_move(file, tenant, target, starts_in_ms, warm, False, var)


@app.command(epilog="Example: runspool cells move front.jsonnet stol-razem cell-b --yes")
def move(
    file: FrontConfigFile,
    tenant: Tenant,
    target: Target,
    starts_in_ms: StartsIn = 2000,
    warm: Warm = False,
    yes: Confirmed = False,
    var: ExternalVariables = None,
) -> None:
    """Move a tenant without interrupting it: after a delay, its new requests go to the target cell."""
    _plan_and_publish_move(file, tenant, target, starts_in_ms, warm, yes, var)


@app.command(epilog="Example: runspool cells undo front.jsonnet m-7 --yes")
def undo(file: FrontConfigFile, move_id: str, yes: Confirmed = False, var: ExternalVariables = None) -> None:
    """Undo a move: new requests go to the source cell again. Requests in the target cell end there."""
    front_files = FrontFiles(file, var)
    with report_refusals():
        before = front_files.cell_map()
        after = tenant_migration.undo_move(before, move_id, unix_ms())
        print_differences(before, after, front_files.engines())
        _publish(front_files, yes, f"undo {move_id}", before, after)


@app.command(epilog="Example: runspool cells finish front.jsonnet m-7 --yes")
def finish(
    file: FrontConfigFile, move_id: str, yes: Confirmed = False, var: ExternalVariables = None
) -> None:
    """Make the target of a settled move the tenant's home cell.

    This is refused while idempotency keys may still bind retries to the source cell.
    """
    front_files = FrontFiles(file, var)
    with report_refusals():
        before = front_files.cell_map()
        after = tenant_migration.finish_move(before, move_id, unix_ms(), front_files.key_binding_time())
        print_differences(before, after, front_files.engines())
        _publish(front_files, yes, f"finish {move_id}", before, after)


@app.command(
    epilog="Example: runspool cells watch 127.0.0.1:8080 127.0.0.1:8081 --until-settled m-7   "
    "(exit 0: settled at every front, 3: not settled in time)"
)
def watch(
    fronts: Annotated[list[str], typer.Argument(help="The fronts, as host:port.")],
    until_settled: Annotated[str, typer.Option(help="The id of a move to wait for.")] = "",
    patience_s: Annotated[float, typer.Option(help="Maximum time to wait, in seconds.")] = 60.0,
) -> None:
    """Print each front's map version, and the stage and remaining requests of its moves."""
    end = time.monotonic() + patience_s
    while True:
        replies = {front: _fetch_status(front) for front in fronts}
        print_front_statuses(replies)
        if not until_settled or _is_settled(until_settled, replies, len(fronts)):
            return
        if time.monotonic() > end:
            typer.echo(f"{until_settled} is not settled at every front", err=True)
            raise typer.Exit(EXIT_NOT_SETTLED)
        time.sleep(min(POLL_SECONDS, max(0.0, end - time.monotonic())))


def _read_next_map(source: Path, before: CellMap | None) -> CellMap:
    """Return the map in a Jsonnet file, with the version that follows that of `before`.

    Raises:
        InvalidConfigError: the file cannot be evaluated.
        CorruptFileError: the value is not a valid map.
    """
    fields = evaluate_jsonnet(source)
    fields["version"] = (before.version if before else 0) + 1
    return cell_store.decode_map(json.dumps(fields).encode(), str(source))


def _check_roles_served(cell_map: CellMap, engines: list[EngineDescriptor]) -> None:
    """Check that every cell of a map has an engine for each role; skip the check if no engines are known.

    Raises:
        MapChangeRefusedError: a cell has no engine of a role.
    """
    if not engines:
        return
    missing = [shortage for shortage in place_engines(cell_map, engines).shortages if ": 0 of" in shortage]
    if missing:
        raise MapChangeRefusedError("; ".join(missing))


def _is_settled(move_id: str, replies: dict[str, dict[str, Any] | str], front_count: int) -> bool:
    """Return whether all fronts have replied and report that the move has ended."""
    stages = [
        move["stage"]
        for reply in replies.values()
        if not isinstance(reply, str)
        for move in reply["moves"]
        if move["id"] == move_id
    ]
    return len(stages) == front_count and all(stage in ENDED_STAGES for stage in stages)


def _plan_and_publish_move(
    file: Path, tenant: str, target: str, starts_in_ms: int, warm: bool, yes: bool, var: list[str] | None
) -> None:
    """Print what a move of a tenant changes and, with `yes`, publish the map with the move."""
    front_files = FrontFiles(file, var)
    with report_refusals():
        before = front_files.cell_map()
        if tenant not in front_files.config.house.tenants:
            raise MapChangeRefusedError(f"{tenant} is not in house.tenants of the configuration")
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
        _publish(front_files, yes, f"move {tenant} {source} {target}", before, after)
        if yes:
            console.print(f"move {new_move.id}: new requests go to {target} in {starts_in_ms} ms")


def _publish(
    front_files: FrontFiles, yes: bool, description: str, before: CellMap | None, after: CellMap
) -> None:
    """Publish the map `after` in place of `before`; without `yes`, print that nothing was changed.

    Raises:
        MapChangeRefusedError: another change is in progress, or the published map is no longer `before`.
        OSError: a file could not be written.
    """
    if not yes:
        console.print("nothing was changed; use --yes to make the change")
        return
    with cell_store.lock_map(front_files.map_path):
        current = cell_store.recover_map(front_files.map_path)
        if (current and current.version) != (before and before.version):
            raise MapChangeRefusedError(
                "the map was changed by another command in the meantime; run this command again"
            )
        cell_store.record_change(front_files.map_path, description, after, unix_ms())
    console.print(f"{front_files.map_path}: version {after.version}")


def _fetch_status(front: str) -> dict[str, Any] | str:
    """Return the content of a front's status page, or a message if it could not be read."""
    try:
        with urllib.request.urlopen(f"http://{front}/cells", timeout=STATUS_TIMEOUT_SECONDS) as response:
            status: dict[str, Any] = json.load(response)
            return status
    except (urllib.error.URLError, OSError, ValueError) as error:
        return f"status page not available: {error}"
