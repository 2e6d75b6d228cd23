"""Plays a scenario: starts engines, endpoint list, fronts and clients on loopback and injects the faults."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import anyio
import anyio.abc
import anyio.lowlevel
import msgspec

from runspool.lab import recording
from runspool.lab.clients import WorkloadClients
from runspool.lab.fault_injection import FaultInjector
from runspool.lab.fleet import RUNSPOOL_COMMAND, ScenarioFleet
from runspool.lab.migration_script import MigrationScript
from runspool.lab.plan import SECOND, ScenarioPlan
from runspool.lab.port_allocation import HOST, PortReservation, reserve_ports
from runspool.lab.recording import Recorder
from runspool.lab.workload import PlannedRequest, draw_workload
from runspool.service.clock import now

START_LEAD = 5_000  # tenths of a millisecond from the last start to the first request
RELEASE_TIME = 0.5  # seconds after the last answer within which prefill states are released

REVIVAL_INTERVAL = 0.05  # seconds between two looks for engines that went down by themselves
REVIVAL_DOWNTIME = SECOND

LAG_INTERVAL = 200  # tenths of a millisecond
MAX_LAG = 200  # tenths of a millisecond by which this process may be late without a record

PROGRESS_INTERVAL = 0.5  # seconds


class ScenarioRunner:
    """Plays one scenario and owns all its processes; they end when it does."""

    def __init__(
        self,
        plan: ScenarioPlan,
        folder: Path,
        record_events: bool = False,
        progress: Callable[[float], None] | None = None,
        front_command: Sequence[str] | None = None,
        engines_per_process: int = 1,
    ) -> None:
        """Prepare a run; nothing is started.

        Args:
            plan: what to play; its engines and fronts get their ports.
            folder: where the recording and all files of the processes go.
            record_events: whether the fronts record what their scheduler sees and does.
            progress: called now and then with the part of the scenario that is over.
            front_command: runs a front, given its configuration; this package's own by default.
            engines_per_process: more than one only where no engine is to be killed.
        """
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.record_events = record_events
        self.front_command = front_command or [*RUNSPOOL_COMMAND, "front"]
        self.engines_per_process = engines_per_process
        self.parts = folder / "parts"
        self.record = Recorder(None)
        self.fleet: ScenarioFleet  # from the beginning of the run
        self.migration_script: MigrationScript | None = None
        self.start = 0

    async def play(self) -> Path:
        """Play the whole scenario and return the path of its recording.

        Raises:
            ScenarioFailedError: ports are missing, or a process does not start.
        """
        self._clear_parts()
        self.record = Recorder(self.parts / "director.jsonl")
        self.fleet = self._new_fleet()
        reservation = reserve_ports(len(self.plan.engines) + len(self.plan.fronts))
        self._assign_ports(reservation)
        requests = draw_workload(self.plan)
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(self.plan))
        self.record.line("day", plan=msgspec.to_builtins(self.plan), items=len(requests))
        try:
            await self._play_with_fleet(requests)
        finally:
            with anyio.CancelScope(shield=True):
                await self.fleet.close()
            reservation.release()
        self.record.close()
        merged = self.folder / "wire.jsonl"
        recording.merge_recordings(sorted(self.parts.iterdir()), merged)
        return merged

    def _new_fleet(self) -> ScenarioFleet:
        return ScenarioFleet(
            self.plan,
            self.folder,
            self.parts,
            self.record,
            self.record_events,
            self.front_command,
            self.engines_per_process,
        )

    def _clear_parts(self) -> None:
        self.parts.mkdir(parents=True, exist_ok=True)
        for part in self.parts.iterdir():
            part.unlink()

    def _assign_ports(self, reservation: PortReservation) -> None:
        for engine in self.plan.engines:
            engine.port = reservation.ports.pop()
        for front in self.plan.fronts:
            front.port = reservation.ports.pop()

    async def _play_with_fleet(self, requests: list[PlannedRequest]) -> None:
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.fleet.endpoint_list.run, HOST, 0)
            if self.plan.cells is not None:
                self.migration_script = MigrationScript(
                    self.plan, self.folder, self.record, self.fleet.restart_beside_migration
                )
            await self.fleet.start()
            await self.run_workload(requests)
            await self.fleet.stop_fronts()
            tasks.cancel_scope.cancel()

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        """Send the requests and inject the faults while the fleet runs."""
        self.start = now() + START_LEAD
        self.record.line("begin", at=self.start)
        clients = WorkloadClients(self.plan, self.fleet.load_balancer, self.record)
        async with anyio.create_task_group() as tasks:
            self._start_faults(tasks)
            tasks.start_soon(self._record_lag)
            if self.engines_per_process == 1:
                tasks.start_soon(self._revive_engines, tasks)
            if self.progress is not None:
                tasks.start_soon(self._report_progress, self.progress)
            await clients.run(requests, self.start)
            self.record.line("all_asked")
            await anyio.sleep(RELEASE_TIME)
            tasks.cancel_scope.cancel()

    def _start_faults(self, tasks: anyio.abc.TaskGroup) -> None:
        injector = FaultInjector(self.plan, self.fleet, self.record, self.migration_script)
        injector.start = self.start
        for fault in self.plan.faults:
            tasks.start_soon(injector.inject, fault)

    async def _revive_engines(self, tasks: anyio.abc.TaskGroup) -> None:
        """Restart engines that went down by themselves, as an overloaded or poisoned one does."""
        while True:
            await anyio.sleep(REVIVAL_INTERVAL)
            for index, process in enumerate(self.fleet.engines):
                if process.has_exited and not process.is_restarting:
                    tasks.start_soon(self.fleet.restart_engines, [index], REVIVAL_DOWNTIME)
                    await anyio.lowlevel.checkpoint()

    async def _record_lag(self) -> None:
        """Record when this process was late itself: what it then saw late was not answered late."""
        while True:
            due = now() + LAG_INTERVAL
            await anyio.sleep(LAG_INTERVAL / SECOND)
            if now() > due + MAX_LAG:
                self.record.line("lag", late=now() - due)

    async def _report_progress(self, progress: Callable[[float], None]) -> None:
        while True:
            progress((now() - self.start) / self.plan.duration)
            await anyio.sleep(PROGRESS_INTERVAL)
