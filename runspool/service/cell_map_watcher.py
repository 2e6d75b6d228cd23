"""Watches the cell map file of a front and stores each map that the front adopts before it takes effect."""

from __future__ import annotations

from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from runspool.cells import cell_store
from runspool.cells.cell_map import CellMap
from runspool.service.clock import unix_ms
from runspool.service.front import Front

POLL_INTERVAL = 0.2  # seconds between checks whether the file has changed


class CellMapWatcher:
    """Watches the cell map file that all fronts share.

    `snapshot_file` stores the map that this front has adopted last, and when.
    """

    def __init__(self, file: Path, snapshot_file: Path) -> None:
        self.file = file
        self.snapshot_file = snapshot_file
        self.last_file_version: tuple[int, int] | None = None  # modification time in ns, inode
        self.log = structlog.get_logger()

    def load_initial(self, adopted_unix_ms: int) -> tuple[CellMap | None, int]:
        """Return the cell map to start with and the Unix time in milliseconds at which it was adopted.

        The snapshot of the previous run is used unless the file contains a newer map, which is then stored
        as adopted at `adopted_unix_ms`. Return None and 0 if neither can be read. Raise OSError if the map
        cannot be stored.
        """
        stored = self._load_snapshot()
        cell_map = self._load_if_changed()
        if cell_map is None or (stored is not None and stored[0].version >= cell_map.version):
            return stored if stored is not None else (None, 0)
        cell_store.save_adopted_map(self.snapshot_file, cell_map, adopted_unix_ms)
        return cell_map, adopted_unix_ms

    async def follow(self, front: Front) -> None:
        """Let the front adopt newer maps from the file, until cancelled.

        If a map cannot be read or stored, the error is logged and the previous map stays in effect.
        """
        while True:
            await anyio.sleep(POLL_INTERVAL)
            cell_map = await anyio.to_thread.run_sync(self._load_if_changed)
            if cell_map is None or cell_map.version <= front.cell_router.cell_map.version:
                continue
            adopted_at = unix_ms()
            try:
                await anyio.to_thread.run_sync(
                    cell_store.save_adopted_map, self.snapshot_file, cell_map, adopted_at
                )
            except OSError as error:
                # If the map were adopted without being stored, the front would not know after a restart when
                # the map's tenant migrations began.
                self._log_error("cell_map_not_kept", error)
                self.last_file_version = None
                continue
            front.cell_map_changed(cell_map, adopted_at)

    def _load_snapshot(self) -> tuple[CellMap, int] | None:
        try:
            return cell_store.load_adopted_map(self.snapshot_file)
        except cell_store.CorruptFileError as error:
            self._log_error("cell_map_snapshot_damaged", error)
            return None

    def _load_if_changed(self) -> CellMap | None:
        """Return the map if the file has changed since the last call and can be read, otherwise None."""
        try:
            status = self.file.stat()
        except OSError:
            return None
        file_version = (status.st_mtime_ns, status.st_ino)
        if file_version == self.last_file_version:
            return None
        try:
            cell_map = cell_store.load_map(self.file)
        except cell_store.CorruptFileError as error:
            self._log_error("cell_map_unusable", error)
            cell_map = None
        self.last_file_version = file_version
        return cell_map

    def _log_error(self, event: str, error: Exception) -> None:
        """Log an expected error without a traceback."""
        self.log.error(event, reason=str(error))
