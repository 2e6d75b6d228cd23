"""Run a scenario on loopback: start its engines, endpoint list and fronts, send requests, inject faults."""

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
from runspool.lab.plan import SECOND, ScenarioPlan
from runspool.lab.port_allocation import HOST, PortReservation, reserve_ports
from runspool.lab.recording import Recorder
from runspool.lab.tenant_migrator import TenantMigrator
from runspool.lab.workload import PlannedRequest, draw_workload
from runspool.service.clock import now

START_LEAD = 5_000  # tenths of a millisecond from the start of the last process to the start of the scenario
RELEASE_TIME = 0.5  # seconds after the last response in which the fronts can release prefill states

CRASH_CHECK_INTERVAL = 0.05  # seconds between checks for engines that have crashed
CRASH_DOWNTIME = SECOND  # tenths of a millisecond from the detection of a crash to the restart

LAG_INTERVAL = 200  # tenths of a millisecond between measurements of this process's scheduling delay
MAX_LAG = 200  # tenths of a millisecond; a longer scheduling delay is recorded

PROGRESS_INTERVAL = 0.5  # seconds between reports of the progress


class ScenarioRunner:
    """Runs one scenario; owns its processes, which all end with the run.

    The arguments of `__init__` are attributes too.

    Attributes:
        recordings_folder: the folder for the recordings of the individual processes.
        recorder: records the events of clients, endpoint list and faults.
        fleet: the processes; set when the run begins.
        tenant_migrator: migrates tenants; None for a plan without cells.
        start_time: the start of the scenario, in tenths of a millisecond.
    """

    def __init__(
        self,
        plan: ScenarioPlan,
        folder: Path,
        record_events: bool = False,
        progress: Callable[[float], None] | None = None,
        front_command: Sequence[str] | None = None,
        engines_per_process: int = 1,
    ) -> None:
        """Prepare a run without starting any process.

        Args:
            plan: the plan of the scenario; the run assigns ports to its engines and fronts.
            folder: the folder for the recording and the files of all processes.
            record_events: whether each front records the events and actions of its scheduler.
            progress: called every PROGRESS_INTERVAL with the elapsed fraction of the scenario's duration.
            front_command: the command that runs a front; the path of a configuration is appended. The default
                is `runspool front`.
            engines_per_process: how many engines share a process. Must be 1 if engines are killed, because a
                kill ends all engines of a process.
        """
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.record_events = record_events
        self.front_command = front_command or [*RUNSPOOL_COMMAND, "front"]
        self.engines_per_process = engines_per_process
        self.recordings_folder = folder / "parts"
        self.recorder = Recorder(None)
        self.fleet: ScenarioFleet  # set by run()
        self.tenant_migrator: TenantMigrator | None = None
        self.start_time = 0

    async def run(self) -> Path:
        """Run the whole scenario and return the path of its recording.

        Raises:
            ScenarioFailedError: there are not enough free ports, or a process does not start.
        """
        self._clear_recordings()
        self.recorder = Recorder(self.recordings_folder / "director.jsonl")
        self.fleet = self._new_fleet()
        reservation = reserve_ports(len(self.plan.engines) + len(self.plan.fronts))
        self._assign_ports(reservation)
        requests = draw_workload(self.plan)
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(self.plan))
        self.recorder.record_event("day", plan=msgspec.to_builtins(self.plan), items=len(requests))
        try:
            await self._run_with_fleet(requests)
        finally:
            with anyio.CancelScope(shield=True):
                await self.fleet.close()
            reservation.release()
        self.recorder.close()
        merged = self.folder / "wire.jsonl"
        recording.merge_recordings(sorted(self.recordings_folder.iterdir()), merged)
        return merged

    def _new_fleet(self) -> ScenarioFleet:
        return ScenarioFleet(
            self.plan,
            self.folder,
            self.recordings_folder,
            self.recorder,
            self.record_events,
            self.front_command,
            self.engines_per_process,
        )

    def _clear_recordings(self) -> None:
        """Create the folder for the recordings of the processes, and remove those of an earlier run."""
        self.recordings_folder.mkdir(parents=True, exist_ok=True)
        for part in self.recordings_folder.iterdir():
            part.unlink()

    def _assign_ports(self, reservation: PortReservation) -> None:
        for engine in self.plan.engines:
            engine.port = reservation.ports.pop()
        for front in self.plan.fronts:
            front.port = reservation.ports.pop()

    async def _run_with_fleet(self, requests: list[PlannedRequest]) -> None:
        """Start the fleet, run the workload and stop the fronts."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.fleet.endpoint_list.run, HOST, 0)
            if self.plan.cells is not None:
                self.tenant_migrator = TenantMigrator(
                    self.plan, self.folder, self.recorder, self.fleet.restart_during_migration
                )
            await self.fleet.start()
            await self.run_workload(requests)
            await self.fleet.stop_fronts()
            tasks.cancel_scope.cancel()

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        """Send the requests and inject the faults; return when all requests have ended."""
        self.start_time = now() + START_LEAD
        self.recorder.record_event("begin", at=self.start_time)
        clients = WorkloadClients(self.plan, self.fleet.load_balancer, self.recorder)
        async with anyio.create_task_group() as tasks:
            self._start_faults(tasks)
            tasks.start_soon(self._record_lag)
            if self.engines_per_process == 1:
                tasks.start_soon(self._restart_crashed_engines, tasks)
            if self.progress is not None:
                tasks.start_soon(self._report_progress, self.progress)
            await clients.run(requests, self.start_time)
            self.recorder.record_event("all_asked")
            await anyio.sleep(RELEASE_TIME)
            tasks.cancel_scope.cancel()

    def _start_faults(self, tasks: anyio.abc.TaskGroup) -> None:
        injector = FaultInjector(self.plan, self.fleet, self.recorder, self.tenant_migrator)
        injector.start_time = self.start_time
        for fault in self.plan.faults:
            tasks.start_soon(injector.inject, fault)

    async def _restart_crashed_engines(self, tasks: anyio.abc.TaskGroup) -> None:
        """Restart engines that crash because of an overload or a poisonous request, until cancelled."""
        while True:
            await anyio.sleep(CRASH_CHECK_INTERVAL)
            for index, process in enumerate(self.fleet.engines):
                if process.has_exited and not process.is_restarting:
                    tasks.start_soon(self.fleet.restart_engines, [index], CRASH_DOWNTIME)
                    await anyio.lowlevel.checkpoint()

    async def _record_lag(self) -> None:
        """Record scheduling delays of this process, until cancelled.

        The audit must not blame a front for a response that this process itself has read late.
        """
        while True:
            due = now() + LAG_INTERVAL
            await anyio.sleep(LAG_INTERVAL / SECOND)
            if now() > due + MAX_LAG:
                self.recorder.record_event("lag", late=now() - due)

    async def _report_progress(self, progress: Callable[[float], None]) -> None:
        while True:
            progress((now() - self.start_time) / self.plan.duration)
            await anyio.sleep(PROGRESS_INTERVAL)
