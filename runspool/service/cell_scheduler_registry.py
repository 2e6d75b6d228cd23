"""The schedulers of a front's cells: made when they are needed, given their engines, closed when unused."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from runspool.cells.cell_router import CellRouter
from runspool.cells.engine_placement import EnginePlace, Placement
from runspool.runtime.interning import stable_hash
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import EngineRecord, EngineState
from runspool.service.cell_scheduler import CellActionHandler, CellScheduler
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.event_recorder import EventRecorder


class CellSchedulerRegistry:
    """The schedulers of the cells of one front, by the cells' names, in the order in which they were made.

    `schedulers` is changed in place only.
    """

    def __init__(
        self,
        cell_router: CellRouter,
        endpoint_registry: EndpointRegistry,
        zones: Sequence[str],
        handler: CellActionHandler,
        seed: int,
        recording_path: Path | None,
    ) -> None:
        """Makes the scheduler of the map's first cell.

        Args:
            cell_router: Places the engines in the cells.
            endpoint_registry: The engines that the front knows.
            zones: The names of the zones by their indices.
            handler: Carries out the actions of all schedulers.
            seed: The seed of the first cell's scheduler; the others' seeds are derived from it.
            recording_path: The recording of the first cell; the others' names are derived from it. None
                for no recordings.
        """
        self.cell_router = cell_router
        self.endpoint_registry = endpoint_registry
        self.settings = endpoint_registry.settings
        self.zones = zones
        self.handler = handler
        self.seed = seed
        self.recording_path = recording_path
        self.schedulers: dict[str, CellScheduler] = {}
        self.scheduler(self.cell_router.cell_map.names()[0])

    def scheduler(self, name: str) -> CellScheduler:
        """A cell's scheduler, made and given its engines where there is none yet."""
        scheduler = self.schedulers.get(name)
        if scheduler is None:
            scheduler = self._create(name)
            self.schedulers[name] = scheduler
            scheduler.update_engines(self._engines_in_cell(name, scheduler))
        return scheduler

    def place_engines(self) -> Placement:
        """Places the engines of the list in the cells; update_schedulers() tells the schedulers."""
        records = self.endpoint_registry.engine_records
        places = [self._place_of(name, record) for name, record in records.items()]
        not_ready = {name for name, record in records.items() if record.state != EngineState.READY}
        return self.cell_router.update_engines(places, not_ready)

    def update_schedulers(self) -> None:
        """Gives each scheduler the engines that are placed in its cell."""
        for name, scheduler in self.schedulers.items():
            scheduler.update_engines(self._engines_in_cell(name, scheduler))

    def close_unused(self) -> None:
        """Closes the schedulers of all cells that are no longer on the map and have no open request."""
        for name in list(self.schedulers):
            self.close_if_unused(name)

    def close_if_unused(self, name: str) -> None:
        """Closes the cell's scheduler where the cell is no longer on the map and has no open request."""
        scheduler = self.schedulers[name]
        if not scheduler.open_requests and name not in self.cell_router.cell_map.names():
            scheduler.recorder.close()
            del self.schedulers[name]

    def _create(self, name: str) -> CellScheduler:
        is_first = not self.schedulers and name == self.cell_router.cell_map.names()[0]
        return CellScheduler(
            name,
            self._cell_settings(),
            self.seed if is_first else self.seed ^ stable_hash(name),
            self.handler,
            EventRecorder(self._recording_path_of(name, is_first)),
        )

    def _cell_settings(self) -> RoutingSettings:
        """The front's settings; to the other cells that share its engines, a cell is like another front."""
        front_count = round(self.settings.front_count * self.cell_router.cells_per_engine())
        return replace(self.settings, front_count=front_count)

    def _recording_path_of(self, name: str, is_first: bool) -> Path | None:
        if self.recording_path is None or is_first:
            return self.recording_path
        return self.recording_path.with_name(f"{self.recording_path.name}.{name}")

    def _place_of(self, name: str, record: EngineRecord) -> EnginePlace:
        return EnginePlace(
            name,
            self.endpoint_registry.endpoints[record.engine].role,
            self.zones[record.zone] if record.zone >= 0 else "",
            record.rack,
        )

    def _engines_in_cell(self, name: str, scheduler: CellScheduler) -> dict[int, EngineRecord]:
        records = self.endpoint_registry.engine_records
        names = self.cell_router.placement.cells.get(name)
        if names is None:
            return {
                record.engine: record
                for record in records.values()
                if record.engine in scheduler.engines and record.state == EngineState.READY
            }
        # In one order in every process: that of a set changes, and with it which request gets which draw.
        return {records[engine].engine: records[engine] for engine in sorted(names)}
