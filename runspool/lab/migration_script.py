"""Migrates tenants between cells during a scenario.

Each front reads a cell map file of its own, and gets every new map a little later than the front before it.
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

ANNOUNCEMENT_LEAD = (
    0.4  # seconds from a move's announcement to its start: longer than the skew between fronts
)
START_MARGIN = 0.1  # seconds after its start at which a move has surely begun
UNDO_DELAY = 1.0  # seconds after which a move that is undone is turned back
FINISH_MARGIN_MS = 300  # after the last request that the move concerns may be over

# A process is killed beside every fourth move; consecutive kills take the next front or engine in turn.
MOVES_PER_KILL = 4

KillProcess = Callable[[str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _MoveScript:
    """How a move is carried out, from the words of a fault's mode: `undo` or `done`, then whom and when.

    Attributes:
        is_undone: whether it is turned back half-way.
        victim: what is killed beside it: "front", "source", "target" (an engine there) or "" for nothing.
        kill_step: the step of the move at which it is killed: "ahead", "settling" or "over".
    """

    is_undone: bool
    victim: str
    kill_step: str


def _parse_mode(mode: str) -> _MoveScript:
    ending, _, kill = mode.partition(" ")
    victim, _, kill_step = kill.partition(" ")
    return _MoveScript(ending == "undo", victim, kill_step)


class MigrationScript:
    """Carries out the moves of a scenario.

    `kill` kills a "front" or "engine", by its index in the plan, and starts it again.
    """

    def __init__(self, plan: ScenarioPlan, folder: Path, record: Recorder, kill: KillProcess) -> None:
        self.plan = plan
        self.folder = folder
        self.record = record
        self.kill = kill
        self.cell_map = CellMap.model_validate(plan.cells)
        self.written_versions = [0] * len(plan.fronts)
        for front_index in range(len(plan.fronts)):
            self._write(front_index, self.cell_map)

    def longest_binding(self) -> int:
        """Return for how long requests stay bound to a tenant's former cell, in tenths of a millisecond."""
        return max(
            (
                row.deduplication_window + self.plan.max_time_limit
                for row in self.plan.request_classes
                if row.idempotency == "ticketed" and row.deduplication_scope != "all"
            ),
            default=0,
        )

    async def play(self, fault: FaultPlan) -> None:
        """Carry out one move from its announcement to its end.

        The fault's magnitude is the delay from one front's map to the next, in tenths of a millisecond.
        """
        script = _parse_mode(fault.mode)
        move = self._next_move(fault)

        async def kill_at(step: str) -> None:
            if step == script.kill_step:
                await self._kill_victim(script.victim, fault.subject_index, move)

        async with anyio.create_task_group() as tasks:
            planned = tenant_migration.plan_move(self.cell_map, move, [])
            self._publish(tasks, planned, fault.magnitude, "planned", move.id)
            tasks.start_soon(kill_at, "ahead")
            await anyio.sleep(ANNOUNCEMENT_LEAD + START_MARGIN)
            tasks.start_soon(kill_at, "settling")
            if script.is_undone:
                await anyio.sleep(UNDO_DELAY)
                undone = tenant_migration.undo_move(self.cell_map, move.id, unix_ms())
                self._publish(tasks, undone, fault.magnitude, "undone", move.id)
            else:
                await anyio.sleep((self.longest_binding() / TENTHS_PER_MS + FINISH_MARGIN_MS) / MS_PER_SECOND)
                finished = tenant_migration.finish_move(
                    self.cell_map, move.id, unix_ms(), self.longest_binding()
                )
                self._publish(tasks, finished, fault.magnitude, "done", move.id)
            tasks.start_soon(kill_at, "over")

    def _next_move(self, fault: FaultPlan) -> Move:
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

    async def _kill_victim(self, victim: str, move_number: int, move: Move) -> None:
        kill_number = move_number // MOVES_PER_KILL
        if victim == "front":
            await self.kill("front", kill_number % len(self.plan.fronts))
            return
        cell = move.source if victim == "source" else move.target
        engines = [
            index for index, engine in enumerate(self.plan.engines) if engine.spec.name.startswith(f"{cell}-")
        ]
        await self.kill("engine", engines[kill_number % len(engines)])

    def _publish(
        self, tasks: anyio.abc.TaskGroup, cell_map: CellMap, skew: float, change: str, move_id: str
    ) -> None:
        """Give every front a new map, each `skew` tenths of a millisecond after the front before it."""
        self.cell_map = cell_map
        self.record.line("map", version=cell_map.version, change=change, move=move_id)
        for front_index in range(len(self.plan.fronts)):
            tasks.start_soon(self._write_later, front_index, cell_map, front_index * skew / SECOND)

    async def _write_later(self, front_index: int, cell_map: CellMap, wait: float) -> None:
        await anyio.sleep(wait)
        if cell_map.version > self.written_versions[front_index]:
            self._write(front_index, cell_map)

    def _write(self, front_index: int, cell_map: CellMap) -> None:
        self.written_versions[front_index] = cell_map.version
        path = self.folder / f"{self.plan.fronts[front_index].name}.map"
        cell_store.write_with_checksum(path, cell_store.encode_map(cell_map))
