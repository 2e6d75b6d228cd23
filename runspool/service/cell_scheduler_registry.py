"""Creates the schedulers of a front's cells on demand, updates their engines and closes unused ones."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from runspool.cells.cell_router import CellRouter
from runspool.cells.engine_placement import EngineDescriptor, Placement
from runspool.runtime.interning import stable_hash
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import EngineRecord, EngineState
from runspool.service.cell_scheduler import CellActionHandler, CellScheduler
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.event_recorder import EventRecorder


class CellSchedulerRegistry:
    """The schedulers of one front's cells.

    `schedulers` maps cell names to schedulers in order of creation. Other objects hold a reference to it, so
    it is only ever modified in place.
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
        """Create the registry and the scheduler of the first cell on the cell map.

        Args:
            cell_router: Assigns engines to cells.
            endpoint_registry: The engines known from the endpoint list.
            zones: Zone names, ordered by zone index.
            handler: Carries out the actions of all schedulers.
            seed: Random seed of the first cell's scheduler; the seeds of the others are derived from it.
            recording_path: File for the recording of the first cell's scheduler, from which the file names
                of the others are derived; None disables recording.
        """
        self.cell_router = cell_router
        self.endpoint_registry = endpoint_registry
        self.settings = endpoint_registry.settings
        self.zones = zones
        self.handler = handler
        self.seed = seed
        self.recording_path = recording_path
        self.schedulers: dict[str, CellScheduler] = {}
        self.get_or_create(self.cell_router.cell_map.cell_names()[0])

    def get_or_create(self, name: str) -> CellScheduler:
        """Return a cell's scheduler; if there is none yet, create it and send it the cell's engines."""
        scheduler = self.schedulers.get(name)
        if scheduler is None:
            scheduler = self._create(name)
            self.schedulers[name] = scheduler
            scheduler.update_engines(self._engines_in_cell(name, scheduler))
        return scheduler

    def place_engines(self) -> Placement:
        """Assign the engines of the endpoint list to cells.

        The schedulers keep their previous engines until update_schedulers() is called.
        """
        records = self.endpoint_registry.engine_records
        places = [self._engine_place(name, record) for name, record in records.items()]
        not_ready = {name for name, record in records.items() if record.state != EngineState.READY}
        return self.cell_router.update_engines(places, not_ready)

    def update_schedulers(self) -> None:
        """Send each scheduler the engines that are assigned to its cell."""
        for name, scheduler in self.schedulers.items():
            scheduler.update_engines(self._engines_in_cell(name, scheduler))

    def close_unused(self) -> None:
        """Close the schedulers of all cells that are no longer on the cell map and have no open requests."""
        for name in list(self.schedulers):
            self.close_if_unused(name)

    def close_if_unused(self, name: str) -> None:
        """Close the cell's scheduler if the cell is no longer on the cell map and has no open requests."""
        scheduler = self.schedulers[name]
        if not scheduler.open_requests and name not in self.cell_router.cell_map.cell_names():
            scheduler.recorder.close()
            del self.schedulers[name]

    def _create(self, name: str) -> CellScheduler:
        is_first_cell = not self.schedulers and name == self.cell_router.cell_map.cell_names()[0]
        return CellScheduler(
            name,
            self._cell_settings(),
            self.seed if is_first_cell else self.seed ^ stable_hash(name),
            self.handler,
            EventRecorder(self._cell_recording_path(name, is_first_cell)),
        )

    def _cell_settings(self) -> RoutingSettings:
        """Return the front's settings, with `front_count` scaled for engines that several cells share.

        A cell that shares engines with others competes for their capacity as further fronts would.
        """
        front_count = round(self.settings.front_count * self.cell_router.cells_per_engine())
        return replace(self.settings, front_count=front_count)

    def _cell_recording_path(self, name: str, is_first_cell: bool) -> Path | None:
        if self.recording_path is None or is_first_cell:
            return self.recording_path
        return self.recording_path.with_name(f"{self.recording_path.name}.{name}")

    def _engine_place(self, name: str, record: EngineRecord) -> EngineDescriptor:
        return EngineDescriptor(
            name,
            self.endpoint_registry.endpoints[record.engine].role,
            self.zones[record.zone] if record.zone >= 0 else "",
            record.rack,
        )

    def _engines_in_cell(self, name: str, scheduler: CellScheduler) -> dict[int, EngineRecord]:
        """Return the records of the cell's engines, keyed by engine index.

        A cell that is no longer on the cell map keeps those of its engines that are still READY.
        """
        records = self.endpoint_registry.engine_records
        names = self.cell_router.placement.cells.get(name)
        if names is None:
            return {
                record.engine: record
                for record in records.values()
                if record.engine in scheduler.engines and record.state == EngineState.READY
            }
        # The engines are sorted because the iteration order of a set of strings differs between processes.
        # Their order decides which request receives which random draw, so runs would not be reproducible.
        return {records[engine].engine: records[engine] for engine in sorted(names)}
