"""Keeps a front's cell map as new as its file, and what the front has taken on disk before it counts."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from runspool.cells import cell_store as book
from runspool.cells.cell_map import CellMap
from runspool.service.clock import unix_ms
from runspool.service.front import Front

LOOK = 0.2  # seconds between looks at the file


class CellMapWatcher:
    def __init__(self, file: Path, memory: Path) -> None:
        self.file, self.snapshot_file = file, memory
        self.last_file_version: tuple[int, int] | None = None
        self.log = structlog.get_logger()

    def load_initial(self, since: int) -> tuple[CellMap | None, int]:
        """The map to begin with, and since when it is this front's: the last life's, if that is as new."""
        kept: tuple[CellMap, int] | None = None
        try:
            kept = book.load_adopted_map(self.snapshot_file)
        except book.CorruptFileError as fault:
            self.log.error("cell_map_snapshot_damaged", reason=str(fault))
        chart = self._load()
        if chart is None or (kept is not None and kept[0].version >= chart.version):
            return kept if kept is not None else (None, 0)
        book.save_adopted_map(self.snapshot_file, chart, since)
        return chart, since

    async def follow(self, front: Front) -> None:
        """Looks until cancelled. A map that cannot be read or kept is said, and the old one stays."""
        while True:
            await anyio.sleep(LOOK)
            chart = await anyio.to_thread.run_sync(self._load)
            if chart is None or chart.version <= front.cell_router.cell_map.version:
                continue
            at = unix_ms()
            try:
                await anyio.to_thread.run_sync(book.save_adopted_map, self.snapshot_file, chart, at)
            except OSError as fault:
                # Taken without being kept, a restart would not know when its tenants moved.
                self.log.error("cell_map_not_kept", reason=str(fault))
                self.last_file_version = None
                continue
            front.cell_map_changed(chart, at)

    def _load(self) -> CellMap | None:
        """The map, where the file has changed since the last look."""
        try:
            now = os.stat(self.file)
        except OSError:
            return None
        mark = (now.st_mtime_ns, now.st_ino)
        if mark == self.last_file_version:
            return None
        try:
            chart = book.load_map(self.file)
        except book.CorruptFileError as fault:
            self.log.error("cell_map_unusable", reason=str(fault))
            chart = None
        self.last_file_version = mark
        return chart
