"""Migrate tenants between cells during a scenario.

Each front reads its own cell map file. The files are updated one after the other, so that for a short time
the fronts route by different maps.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.abc

from runspool.cells import cell_store, tenant_migration
from runspool.cells.cell_map import CellMap, Move
from runspool.lab.plan import SECOND, FaultPlan, ScenarioPlan
from runspool.lab.recording import Recorder
from runspool.service.clock import unix_ms
from runspool.units import TENTHS_PER_MS

MS_PER_SECOND = 1000

# Seconds from the publication of a map with a new move to the start of the move. Longer than the time between
# the updates of the first and the last front, so that every front knows of a move before it starts.
ANNOUNCEMENT_LEAD = 0.4
START_MARGIN = 0.1  # seconds after the scheduled start at which the move has started on every front
UNDO_DELAY = 1.0  # seconds from the end of START_MARGIN to the undo of a move
FINISH_MARGIN_MS = 300  # milliseconds to wait after `max_binding_time` before a move is completed

# A process is killed during every fourth move; successive kills select the fronts or engines in turn.
MOVES_PER_KILL = 4

KillProcess = Callable[[str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _MoveMode:
    """How a move proceeds, as parsed from the mode of a fault.

    A mode consists of "undo" or "done" and, if a process is killed, the values of `killed_process` and
    `kill_step`, all separated by spaces.

    Attributes:
        is_undone: whether the move is undone half-way instead of completed.
        killed_process: the process that is killed: "front", or "source" or "target" for an engine in that
            cell of the move; empty if none is.
        kill_step: when it is killed: "ahead" (before the move starts), "settling" (after its start) or "over"
            (after it was completed or undone).
    """

    is_undone: bool
    killed_process: str
    kill_step: str


def _parse_mode(mode: str) -> _MoveMode:
    """Parse the mode of a fault of the kind `cell_move`."""
    ending, _, kill = mode.partition(" ")
    killed_process, _, kill_step = kill.partition(" ")
    return _MoveMode(ending == "undo", killed_process, kill_step)


class TenantMigrator:
    """Carries out the moves of a scenario, in which tenants migrate to other cells.

    Attributes:
        plan: the plan of the scenario.
        folder: the folder with the fronts' cell map files.
        recorder: records every new version of the cell map.
        kill_process: kills a process and starts it again; takes "front" or "engine", and the index in the
            plan.
        cell_map: the newest cell map.
        written_versions: the version of the map in each front's file.
    """

    def __init__(
        self, plan: ScenarioPlan, folder: Path, recorder: Recorder, kill_process: KillProcess
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.recorder = recorder
        self.kill_process = kill_process
        self.cell_map = CellMap.model_validate(plan.cells)
        self.written_versions = [0] * len(plan.fronts)
        for front_index in range(len(plan.fronts)):
            self._write(front_index, self.cell_map)

    def max_binding_time(self) -> int:
        """Return how long requests may stay bound to a tenant's former cell, in tenths of a millisecond.

        A client may send a request with an idempotency key again until the deduplication window ends. If not
        all engines recognise the key, the retry has to reach the former cell.
        """
        return max(
            (
                request_class.deduplication_window + self.plan.max_time_limit
                for request_class in self.plan.request_classes
                if request_class.idempotency == "ticketed" and request_class.deduplication_scope != "all"
            ),
            default=0,
        )

    async def migrate(self, fault: FaultPlan) -> None:
        """Carry out the move that a fault of the kind `cell_move` describes.

        Publish a map with the move, wait until the move has started, then complete or undo it. The magnitude
        is the time between the updates of one front and the next, in tenths of a millisecond.
        """
        mode = _parse_mode(fault.mode)
        move = self._next_move(fault)

        async def kill_at(step: str) -> None:
            if step == mode.kill_step:
                await self._kill_selected_process(mode.killed_process, fault.subject_index, move)

        async with anyio.create_task_group() as tasks:
            planned = tenant_migration.plan_move(self.cell_map, move, [])
            self._publish(tasks, planned, fault.magnitude, "planned", move.id)
            tasks.start_soon(kill_at, "ahead")
            await anyio.sleep(ANNOUNCEMENT_LEAD + START_MARGIN)
            tasks.start_soon(kill_at, "settling")
            if mode.is_undone:
                await anyio.sleep(UNDO_DELAY)
                undone = tenant_migration.undo_move(self.cell_map, move.id, unix_ms())
                self._publish(tasks, undone, fault.magnitude, "undone", move.id)
            else:
                await anyio.sleep(
                    (self.max_binding_time() / TENTHS_PER_MS + FINISH_MARGIN_MS) / MS_PER_SECOND
                )
                finished = tenant_migration.finish_move(
                    self.cell_map, move.id, unix_ms(), self.max_binding_time()
                )
                self._publish(tasks, finished, fault.magnitude, "done", move.id)
            tasks.start_soon(kill_at, "over")

    def _next_move(self, fault: FaultPlan) -> Move:
        """Return the move of the fault's tenant from its present cell to another."""
        tenant = self.plan.tenants[fault.targets[0]].name
        migrations = tenant_migration.TenantMigrations(self.cell_map)
        source = migrations.home_cell(unix_ms(), tenant, None)
        other_cells = [name for name in self.cell_map.cell_names() if name != source]
        return Move(
            id=f"m{fault.subject_index}",
            tenant=tenant,
            source=source,
            target=other_cells[fault.subject_index % len(other_cells)],
            starts_unix_ms=unix_ms() + int(ANNOUNCEMENT_LEAD * MS_PER_SECOND),
        )

    async def _kill_selected_process(self, killed_process: str, move_number: int, move: Move) -> None:
        """Kill and restart a front, or an engine in the source or target cell of a move."""
        kill_number = move_number // MOVES_PER_KILL
        if killed_process == "front":
            await self.kill_process("front", kill_number % len(self.plan.fronts))
            return
        cell = move.source if killed_process == "source" else move.target
        engines = [
            index for index, engine in enumerate(self.plan.engines) if engine.spec.name.startswith(f"{cell}-")
        ]
        await self.kill_process("engine", engines[kill_number % len(engines)])

    def _publish(
        self, tasks: anyio.abc.TaskGroup, cell_map: CellMap, skew: float, change: str, move_id: str
    ) -> None:
        """Record a new map and write it for every front.

        Each front's file is written `skew` tenths of a millisecond after that of the previous front.
        """
        self.cell_map = cell_map
        self.recorder.record_event("map", version=cell_map.version, change=change, move=move_id)
        for front_index in range(len(self.plan.fronts)):
            tasks.start_soon(self._write_later, front_index, cell_map, front_index * skew / SECOND)

    async def _write_later(self, front_index: int, cell_map: CellMap, wait: float) -> None:
        """Write a front's map after `wait` seconds, unless a newer one has been written by then."""
        await anyio.sleep(wait)
        if cell_map.version > self.written_versions[front_index]:
            self._write(front_index, cell_map)

    def _write(self, front_index: int, cell_map: CellMap) -> None:
        self.written_versions[front_index] = cell_map.version
        path = self.folder / f"{self.plan.fronts[front_index].name}.map"
        cell_store.write_with_checksum(path, cell_store.encode_map(cell_map))
