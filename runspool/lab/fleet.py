"""Run the processes of a scenario: its engines and fronts, with an endpoint list and a load balancer."""

from __future__ import annotations

import json
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

import anyio
import msgspec

from runspool.lab.endpoint_list_service import EndpointListService
from runspool.lab.front_configuration import front_configuration
from runspool.lab.load_balancer import LoadBalancer
from runspool.lab.managed_process import START_TIMEOUT, ManagedProcess
from runspool.lab.plan import SECOND, ScenarioPlan
from runspool.lab.port_allocation import HOST
from runspool.lab.recording import Recorder
from runspool.wire.endpoint_list import EndpointEntry

RUNSPOOL_COMMAND = (sys.executable, "-m", "runspool.cli.main")
STOP_TIMEOUT = 30.0  # seconds to wait for a front to end after SIGTERM
SUBSCRIPTION_CHECK_INTERVAL = 0.02  # seconds between checks of how many fronts watch the endpoint list
MS_PER_SECOND = 1000

# Tenths of a millisecond that a process is down after it is killed during the migration of a tenant.
MIGRATION_DOWNTIME = SECOND // 2

# A front's seed is `SEEDS_PER_PLAN` times the seed of the plan, plus `SEEDS_PER_FRONT` times the front's
# index, plus how often the front has been started.
SEEDS_PER_PLAN = 1_000
SEEDS_PER_FRONT = 100

# Suffixes of the files that a front writes. Restarts keep them; they are deleted before the first start.
FRONT_FILE_SUFFIXES = (".list", ".log", ".tape", ".list.cells")


class ScenarioFleet:
    """Starts, kills and restarts engines and fronts, which are identified by their index in the plan.

    The arguments of `__init__` are attributes too.

    Attributes:
        endpoint_list: the service that publishes the engines' states to the fronts.
        engines: the processes by the index of their engine; engines may share a process.
        fronts: the processes by the index of their front.
        engine_starts_unix_ms: when each engine was last started cold, in Unix milliseconds; 0 if it never
            was.
        load_balancer: distributes the clients' requests over the fronts.
    """

    def __init__(
        self,
        plan: ScenarioPlan,
        folder: Path,
        recordings_folder: Path,
        recorder: Recorder,
        record_events: bool,
        front_command: Sequence[str],
        engines_per_process: int,
    ) -> None:
        """Prepare the fleet without starting any process.

        Args:
            plan: the plan of the scenario; ports must have been assigned to its engines and fronts.
            folder: the folder for configurations, logs and the files that the fronts write.
            recordings_folder: the folder for the recordings of the individual processes.
            recorder: records starts, kills and stops of processes.
            record_events: whether each front records the events and actions of its scheduler.
            front_command: the command that runs a front; the path of a configuration is appended.
            engines_per_process: how many engines share a process. Must be 1 if engines are killed, because a
                kill ends all engines of a process.
        """
        self.plan = plan
        self.folder = folder
        self.recordings_folder = recordings_folder
        self.recorder = recorder
        self.record_events = record_events
        self.front_command = front_command
        self.engines_per_process = engines_per_process
        self.endpoint_list = EndpointListService(recorder, plan.endpoint_list_delay, plan.seed)
        self.engines: list[ManagedProcess] = []
        self.fronts: list[ManagedProcess] = []
        self.engine_starts_unix_ms = [0] * len(plan.engines)
        self.load_balancer = LoadBalancer([], [], [])

    async def start(self) -> None:
        """Start all engines, then all fronts, and wait until every front watches the endpoint list.

        The endpoint list service must be running. The wait for the watches ends after START_TIMEOUT, without
        an error.

        Raises:
            ScenarioFailedError: a process has not started.
        """
        self.engines = self._engine_processes()
        self.fronts = [self._front_process(index) for index in range(len(self.plan.fronts))]
        async with anyio.create_task_group() as tasks:
            for index in range(0, len(self.engines), self.engines_per_process):
                tasks.start_soon(self._start_engine, index, False)
        for index in range(len(self.plan.engines)):
            self.publish_state(index, "on", at_once=True)
        self.load_balancer = LoadBalancer(
            addresses=[(HOST, front.port) for front in self.plan.fronts],
            zones=[front.zone for front in self.plan.fronts],
            is_up=[True] * len(self.plan.fronts),
        )
        async with anyio.create_task_group() as tasks:
            for index in range(len(self.fronts)):
                tasks.start_soon(self._start_front, index)
        with anyio.move_on_after(START_TIMEOUT):
            await self._wait_for_subscriptions()

    def publish_state(self, engine_index: int, state: str, at_once: bool = False) -> None:
        """Publish an engine's state, "on", "draining" or "gone", through the endpoint list.

        With `at_once`, the delay of the endpoint list does not apply.
        """
        engine = self.plan.engines[engine_index]
        entry = msgspec.convert(
            {
                "engine": engine.spec.name,
                "address": engine.address,
                "kind": engine.engine_type,
                "zone": engine.spec.zone,
                "rack": engine.spec.rack,
                "state": state,
                "started_unix_ms": self.engine_starts_unix_ms[engine_index],
            },
            EndpointEntry,
        )
        self.endpoint_list.update(entry, at_once)

    async def send_fault(self, engine_index: int, name: str, **settings: object) -> None:
        """Send an engine the command that switches a fault on or off; do nothing if the engine is down."""
        child = self.engines[engine_index].running_child
        if child is None or child.stdin is None:
            return
        line = msgspec.json.encode({"fault": name, "at": engine_index, **settings}) + b"\n"
        with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await child.stdin.send(line)

    async def restart_engines(self, indices: list[int], downtime: int) -> None:
        """Kill engines, and start them again after `downtime` tenths of a millisecond.

        The restarted engines are cold. Engines that are already being restarted are ignored.
        """
        killed = [index for index in indices if not self.engines[index].is_restarting]
        for index in killed:
            self.engines[index].is_restarting = True
            await self._kill(self.engines[index], engine=self.plan.engines[index].spec.name)
            self.publish_state(index, "gone")
        await anyio.sleep(downtime / SECOND)
        for index in killed:
            await self._start_engine(index, cold=True)
            self.publish_state(index, "on")
            self.engines[index].is_restarting = False

    async def restart_front(self, index: int, downtime: int) -> None:
        """Kill a front, and start it again after `downtime` tenths of a millisecond.

        The load balancer stops sending requests to it after the failover delay. A front that is already being
        restarted is ignored.
        """
        process = self.fronts[index]
        if process.is_restarting:
            return
        process.is_restarting = True
        await self._kill(process, front=process.name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fail_over, index, process.start_count)
            await anyio.sleep(downtime / SECOND)
            await self._start_front(index)
            self.load_balancer.is_up[index] = True
            process.is_restarting = False
            tasks.cancel_scope.cancel()

    async def restart_during_migration(self, kind: str, index: int) -> None:
        """Kill and restart a front or an engine (`kind`: "front" or "engine") while a tenant is migrated."""
        if kind == "front":
            await self.restart_front(index, MIGRATION_DOWNTIME)
        else:
            await self.restart_engines([index], MIGRATION_DOWNTIME)

    async def stop_fronts(self) -> None:
        """Stop all fronts with SIGTERM and record their exit codes.

        The recorded code is None for a front that has not ended within STOP_TIMEOUT.
        """
        for process in self.fronts:
            child = process.running_child
            if child is not None:
                child.send_signal(signal.SIGTERM)
        for process in self.fronts:
            exit_code: int | None = None
            if process.child is not None:
                with anyio.move_on_after(STOP_TIMEOUT):
                    exit_code = await process.child.wait()
            self.recorder.record_event("front_stopped", front=process.name, code=exit_code)

    async def close(self) -> None:
        """Kill all processes that are still running."""
        for process in [*self.fronts, *self.engines]:
            await process.close()

    def _engine_processes(self) -> list[ManagedProcess]:
        """Return the process of each engine; engines that share a process get the same object."""
        processes: list[ManagedProcess] = []
        for index in range(len(self.plan.engines)):
            if index % self.engines_per_process:
                processes.append(processes[-1])
            else:
                processes.append(self._engine_process(index))
        return processes

    def _engine_process(self, first_index: int) -> ManagedProcess:
        """Return the process for `engines_per_process` engines, beginning with the given one."""
        end = min(first_index + self.engines_per_process, len(self.plan.engines))
        indices: list[str] = []
        for index in range(first_index, end):
            indices += ["--at", str(index)]
        command = [
            *RUNSPOOL_COMMAND,
            "lab",
            "engine",
            str(self.folder / "plan.json"),
            *indices,
            "--out",
            str(self.recordings_folder / f"engine-{first_index}.jsonl"),
        ]
        return ManagedProcess(self.plan.engines[first_index].spec.name, command)

    def _front_process(self, index: int) -> ManagedProcess:
        """Return the process of a front; write its configuration and remove its files of an earlier run."""
        name = self.plan.fronts[index].name
        configuration = front_configuration(self.plan, index, self.endpoint_list.port, self.folder)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration, indent=1))
        for suffix in FRONT_FILE_SUFFIXES:
            (self.folder / f"{name}{suffix}").unlink(missing_ok=True)
        return ManagedProcess(name, [*self.front_command, str(path)])

    async def _wait_for_subscriptions(self) -> None:
        """Wait until every front watches the endpoint list."""
        while True:
            if len(self.endpoint_list.subscriptions) >= len(self.fronts):
                return
            await anyio.sleep(SUBSCRIPTION_CHECK_INTERVAL)

    async def _start_engine(self, index: int, cold: bool) -> None:
        """Start the process of an engine and wait until the engine listens."""
        process = self.engines[index]
        process.start_count += 1
        options = ["--life", str(process.start_count)]
        if cold:
            options.append("--cold")
        await process.start(options, self.folder / "engines.log", takes_input=True)
        await process.wait_until_listening(self.plan.engines[index].port)
        self.engine_starts_unix_ms[index] = round(time.time() * MS_PER_SECOND) if cold else 0

    async def _start_front(self, index: int) -> None:
        """Start a front, wait until it listens and record the start."""
        process = self.fronts[index]
        front = self.plan.fronts[index]
        process.start_count += 1
        seed = self.plan.seed * SEEDS_PER_PLAN + index * SEEDS_PER_FRONT + process.start_count
        options = ["--seed", str(seed)]
        if self.record_events:
            options += ["--tape", str(self.folder / f"{front.name}.{process.start_count}.tape")]
        await process.start(options, self.folder / f"{front.name}.log", takes_input=False)
        await process.wait_until_listening(front.port)
        self.recorder.record_event("front_up", front=front.name, life=process.start_count)

    async def _kill(self, process: ManagedProcess, **subject: str) -> None:
        """Record a kill, with the name of the engine or front as `subject`, and kill the process."""
        if process.running_child is not None:
            self.recorder.record_event("killed", process=process.name, **subject)
            await process.kill()

    async def _fail_over(self, index: int, start_count: int) -> None:
        """Mark a front as down after the failover delay, unless it has been started again by then.

        `start_count` is how often the front had been started when it was killed.
        """
        await anyio.sleep(self.plan.clients.failover_delay / SECOND)
        if self.fronts[index].start_count == start_count:
            self.load_balancer.is_up[index] = False
