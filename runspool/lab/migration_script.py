"""Moves tenants while a day runs: writes each front its own copy of the map, each a little later."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.abc

from runspool.cells import cell_store as book
from runspool.cells import tenant_migration as moving
from runspool.cells.cell_map import CellMap, Move
from runspool.lab.plan import Plan, Trouble
from runspool.lab.recording import Recorder
from runspool.service.clock import unix_ms

AHEAD = 0.4  # seconds from the news of a move to its moment: longer than the skew between fronts
HALF_WAY = 1.0  # until one that is undone is turned back
MARGIN_MS = 300


class Mover:
    """`kill` brings down the process of a front or engine by its place in the plan and starts it again."""

    def __init__(
        self, plan: Plan, folder: Path, record: Recorder, kill: Callable[[str, int], Awaitable[None]]
    ) -> None:
        self.plan, self.folder, self.record, self.kill = plan, folder, record, kill
        self.chart = CellMap.model_validate(plan.cells)
        self.written = [0] * len(plan.fronts)
        for at in range(len(plan.fronts)):
            self._write(at, self.chart)

    def binds(self) -> int:
        return max(
            (
                row.window + self.plan.longest_limit
                for row in self.plan.tariffs
                if row.effect == "ticketed" and row.group != "all"
            ),
            default=0,
        )

    async def play(self, one: Trouble) -> None:
        """One move from its plan to its end; `one.size` is the skew between fronts, in tenths."""
        over, _, strike = one.how.partition(" ")
        who, _, step = strike.partition(" ")
        tenant = self.plan.tenants[one.on[0]].name
        source = moving.TenantMigrations(self.chart).home_cell(unix_ms(), tenant, None)
        cells = [name for name in self.chart.names() if name != source]
        target = cells[one.which % len(cells)]
        asked = Move(
            id=f"m{one.which}",
            tenant=tenant,
            source=source,
            target=target,
            starts_unix_ms=unix_ms() + int(AHEAD * 1000),
        )

        async def struck(now: str) -> None:
            if now == step:
                await self._strike(who, one.which, source, target)

        async with anyio.create_task_group() as tasks:
            self._tell(tasks, moving.plan_move(self.chart, asked, []), one.size, "planned", asked.id)
            tasks.start_soon(struck, "ahead")
            await anyio.sleep(AHEAD + 0.1)
            tasks.start_soon(struck, "settling")
            if over == "undo":
                await anyio.sleep(HALF_WAY)
                after = moving.undo_move(self.chart, asked.id, unix_ms())
                self._tell(tasks, after, one.size, "undone", asked.id)
            else:
                await anyio.sleep((self.binds() / 10 + MARGIN_MS) / 1000)
                after = moving.finish_move(self.chart, asked.id, unix_ms(), self.binds())
                self._tell(tasks, after, one.size, "done", asked.id)
            tasks.start_soon(struck, "over")

    async def _strike(self, who: str, number: int, source: str, target: str) -> None:
        if who == "front":
            await self.kill("front", number // 4 % len(self.plan.fronts))
            return
        cell = source if who == "source" else target
        there = [at for at, one in enumerate(self.plan.engines) if one.make.name.startswith(cell + "-")]
        await self.kill("engine", there[number // 4 % len(there)])

    def _tell(self, tasks: anyio.abc.TaskGroup, chart: CellMap, skew: float, what: str, move: str) -> None:
        self.chart = chart
        self.record.line("map", version=chart.version, change=what, move=move)
        for at in range(len(self.plan.fronts)):
            tasks.start_soon(self._later, at, chart, at * skew / 10_000)

    async def _later(self, at: int, chart: CellMap, wait: float) -> None:
        await anyio.sleep(wait)
        if chart.version > self.written[at]:
            self._write(at, chart)

    def _write(self, at: int, chart: CellMap) -> None:
        self.written[at] = chart.version
        book.write_checked(self.folder / f"{self.plan.fronts[at].name}.map", book.encode_map(chart))
