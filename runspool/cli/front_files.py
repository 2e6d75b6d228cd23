"""The files that a front's terms name, as the commands for its cells read them, and how they refuse."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import typer

from runspool.cells import cell_store, tenant_migration
from runspool.cells.cell_map import CellMap
from runspool.cells.engine_placement import EnginePlace
from runspool.cli.terms import EXIT_INVALID, load_or_exit
from runspool.config import FrontConfig
from runspool.config.loader import InvalidConfigError
from runspool.config.schema import ROLES
from runspool.discovery import snapshot
from runspool.units import tenths

EXIT_REFUSED = 1  # a change that is not allowed, or a damaged file


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
        raise typer.Exit(EXIT_REFUSED) from None


class FrontFiles:
    """The files that a front's terms name, and the engines that it last knew.

    Made from terms without cells_file, it ends the command with exit 2.
    """

    def __init__(self, file: Path, var: list[str] | None) -> None:
        self.terms: FrontConfig = load_or_exit(file, var)
        if self.terms.front.cells_file is None:
            typer.echo(f"{file}: front.cells_file is not set; this front has no cells", err=True)
            raise typer.Exit(EXIT_INVALID)
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
