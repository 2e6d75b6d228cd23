"""Access to the files of a front for the commands of `runspool cells`, and reporting of refused changes."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import typer

from runspool.cells import cell_store, tenant_migration
from runspool.cells.cell_map import CellMap
from runspool.cells.engine_placement import EngineDescriptor
from runspool.cli.terms import EXIT_INVALID, load_config_or_exit
from runspool.config import FrontConfig
from runspool.config.loader import InvalidConfigError
from runspool.config.schema import ROLE_BY_NAME
from runspool.discovery import snapshot
from runspool.units import ms_to_tenths

EXIT_REFUSED = 1  # exit status for a change that is not allowed, or for a damaged file


@contextmanager
def report_refusals() -> Iterator[None]:
    """Report a refused change or an unusable file in one line on standard error, and exit with status 1."""
    try:
        yield
    except (
        tenant_migration.MapChangeRefusedError,
        cell_store.CorruptFileError,
        snapshot.CorruptFileError,
        InvalidConfigError,
    ) as error:
        typer.echo(f"refused: {error}", err=True)
        raise typer.Exit(EXIT_REFUSED) from None


class FrontFiles:
    """The cell map and the last endpoint list of a front, found through its configuration.

    Attributes:
        config: the front's configuration.
        map_path: the file with the cell map.
    """

    def __init__(self, file: Path, var: list[str] | None) -> None:
        """Load a front's configuration.

        Args:
            file: the configuration file.
            var: external variables as NAME=VALUE.

        Raises:
            typer.Exit: the configuration is invalid or does not set cells_file; the exit status is 2.
        """
        self.config: FrontConfig = load_config_or_exit(file, var)
        if self.config.front.cells_file is None:
            typer.echo(f"{file}: front.cells_file is not set, so this front has no cells", err=True)
            raise typer.Exit(EXIT_INVALID)
        self.map_path = Path(self.config.front.cells_file)

    def cell_map(self) -> CellMap:
        """Return the published map, restored from its change log if necessary.

        Raises:
            MapChangeRefusedError: there is no map.
            CorruptFileError: the map in the log is needed and is invalid.
            OSError: the restored map could not be written.
        """
        cell_map = cell_store.recover_map(self.map_path)
        if cell_map is None:
            raise tenant_migration.MapChangeRefusedError(
                f"{self.map_path}: there is no map yet; create one with `runspool cells adopt`"
            )
        return cell_map

    def engines(self) -> list[EngineDescriptor]:
        """Return the ready engines of the endpoint list that the front saved last; none if there is no list.

        Raises:
            CorruptFileError: the file of the endpoint list is damaged.
        """
        last = snapshot.load_snapshot(Path(self.config.front.memory_file or ""))
        kinds = self.config.house.kinds
        return [
            EngineDescriptor(
                entry.engine, ROLE_BY_NAME[kinds[entry.engine_type].role], entry.zone, entry.rack
            )
            for entry in (last.engines if last else [])
            if entry.state == "on" and entry.engine_type in kinds
        ]

    def key_binding_time(self) -> int:
        """Return the longest time for which an idempotency key can bind retries to a cell.

        It is in tenths of a millisecond: the deduplication window plus the longest deadline. Keys whose scope
        is the whole fleet bind to no cell.
        """
        limit = self.config.front.bounds.longest_limit_ms
        return max(
            (
                ms_to_tenths(request_class.window_ms + limit)
                for request_class in self.config.house.tariffs.values()
                if request_class.effect == "ticketed" and request_class.group != "all"
            ),
            default=0,
        )
