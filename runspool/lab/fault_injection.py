"""Inject the faults of a plan into the running engines, fronts and endpoint list, each at its time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random

import anyio

from runspool.lab.engine_fault_commands import EngineFault, engine_faults
from runspool.lab.fleet import ScenarioFleet
from runspool.lab.plan import SECOND, FaultPlan, ScenarioPlan
from runspool.lab.recording import Recorder
from runspool.lab.tenant_migrator import TenantMigrator
from runspool.service.clock import now

UPGRADE_DOWNTIME = SECOND // 2  # tenths of a millisecond that an engine is down for an upgrade
DRAIN_DOWNTIME = SECOND  # tenths of a millisecond that an engine is down after a drain

AGEING_STEPS = 10  # number of times that an ageing engine becomes slower
MAX_AGEING_SLOWDOWN = 50  # upper bound on the factor by which an ageing engine becomes slower
MIN_AGEING_DOWNTIME = 0.5  # seconds that an ageing engine is down at least when it is restarted

# A neighbour is another workload on an engine's host, which slows the engine down in intervals.
MIN_NEIGHBOUR_PERIOD = 0.2  # seconds; lower bound on the length of the slow and of the undisturbed intervals
MIN_NEIGHBOUR_SPEED = 0.05  # lower bound on the engine's speed in slow intervals; 1 is full speed

FAULTY_RELEASE_ERROR = "failed_500"  # the response fault of a faulty release

# The random generator's seed is the seed of the plan times the multiplier, plus the offset.
SEED_MULTIPLIER = 31
SEED_OFFSET = 7

InjectFault = Callable[[FaultPlan], Coroutine[object, object, None]]


class FaultInjector:
    """Injects faults into a running fleet. The method for each kind of fault states what its magnitudes mean.

    Attributes:
        plan: the plan of the scenario.
        fleet: the processes that the faults are injected into.
        recorder: records when each fault begins and ends.
        tenant_migrator: migrates tenants; None for a plan without cells.
        rng: draws the engines whose caches are flushed.
        start_time: the start of the scenario, in tenths of a millisecond; to be set before the first fault.
        injectors: the methods that inject the faults, by kind.
    """

    def __init__(
        self,
        plan: ScenarioPlan,
        fleet: ScenarioFleet,
        recorder: Recorder,
        tenant_migrator: TenantMigrator | None,
    ) -> None:
        """Prepare the injection of faults; `tenant_migrator` is required if the plan migrates tenants."""
        self.plan = plan
        self.fleet = fleet
        self.recorder = recorder
        self.tenant_migrator = tenant_migrator
        self.rng = Random(plan.seed * SEED_MULTIPLIER + SEED_OFFSET)
        self.start_time = 0
        self.injectors: dict[str, InjectFault] = {
            "crash": self._crash,
            "restart": self._crash,
            "drain": self._drain,
            "ageing": self._slow_down_gradually,
            "neighbour": self._slow_down_intermittently,
            "balancer_roll": self._restart_fronts_in_steps,
            "front_kill": self._kill_fronts,
            "discovery_stale": self._delay_endpoint_list,
            "list_noise": self._corrupt_endpoint_list,
            "flush": self._flush_caches,
            "cell_move": self._migrate_tenant,
            "bad_release": self._upgrade_to_faulty_release,
        }

    async def inject(self, fault: FaultPlan) -> None:
        """Wait until a fault is due, inject it and record its beginning and its end.

        The attribute `start_time` must have been set. Kinds of fault that the clients cause (see `workload`)
        are ignored.
        """
        inject = self.injectors.get(fault.kind)
        faults_of_engines = [] if inject is not None else engine_faults(self.plan, fault)
        if inject is None and not faults_of_engines:
            return
        await self._sleep_until(fault.starts_at)
        self.recorder.record_event(
            "trouble", kind=fault.kind, on=fault.targets, size=fault.magnitude, length=fault.duration
        )
        if inject is not None:
            await inject(fault)
        else:
            await self._inject_engine_faults(faults_of_engines, fault.duration)
        self.recorder.record_event("trouble_over", kind=fault.kind, on=fault.targets)

    async def _sleep_until(self, at: int) -> None:
        """Sleep until a time that counts from the start of the scenario; return at once if it has passed."""
        await anyio.sleep(max(0.0, (self.start_time + at - now()) / SECOND))

    async def _inject_engine_faults(self, faults: list[EngineFault], duration: int) -> None:
        """Switch faults of engines on, and off again after `duration` tenths of a millisecond."""
        for fault in faults:
            await self.fleet.send_fault(fault.engine_index, fault.switch.name, **fault.switch.on)
        await anyio.sleep(duration / SECOND)
        for fault in faults:
            await self.fleet.send_fault(fault.engine_index, fault.switch.name, **fault.switch.off)

    async def _slow_down(self, engine_indices: list[int], multiple: float) -> None:
        """Make engines take `multiple` times as long as without faults."""
        for index in engine_indices:
            await self.fleet.send_fault(index, "slow", times=multiple)

    async def _crash(self, fault: FaultPlan) -> None:
        """Kill engines, and start them again after the duration of the fault."""
        await self.fleet.restart_engines(fault.targets, fault.duration)

    async def _drain(self, fault: FaultPlan) -> None:
        """Drain engines for the duration of the fault, then restart them."""
        for index in fault.targets:
            self.fleet.publish_state(index, "draining")
        await anyio.sleep(fault.duration / SECOND)
        await self.fleet.restart_engines(fault.targets, DRAIN_DOWNTIME)

    async def _slow_down_gradually(self, fault: FaultPlan) -> None:
        """Make engines slower in steps, then restart them.

        The magnitude is the factor by which they are slower in the end; the secondary magnitude is the
        downtime of the restart in seconds.
        """
        slowdown = min(fault.magnitude, MAX_AGEING_SLOWDOWN)
        for step in range(1, AGEING_STEPS + 1):
            await self._slow_down(fault.targets, 1 + (slowdown - 1) * step / AGEING_STEPS)
            await anyio.sleep(fault.duration / AGEING_STEPS / SECOND)
        downtime = round(max(MIN_AGEING_DOWNTIME, fault.secondary_magnitude) * SECOND)
        await self.fleet.restart_engines(fault.targets, downtime)

    async def _slow_down_intermittently(self, fault: FaultPlan) -> None:
        """Slow engines down intermittently, as another workload on the same host does.

        The magnitude is the share of the engines' speed that is lost in the slow intervals. The secondary
        magnitude is the length in seconds of each slow interval and of each interval at full speed.
        """
        end = now() + fault.duration
        period = max(MIN_NEIGHBOUR_PERIOD, fault.secondary_magnitude)
        slowdown = 1 / max(MIN_NEIGHBOUR_SPEED, 1 - fault.magnitude)
        while now() < end:
            for multiple in (slowdown, 1.0):
                await self._slow_down(fault.targets, multiple)
                await anyio.sleep(min(period, max(0.0, (end - now()) / SECOND)))
        await self._slow_down(fault.targets, 1.0)

    async def _kill_fronts(self, fault: FaultPlan) -> None:
        """Kill fronts, and start them again after the duration of the fault."""
        async with anyio.create_task_group() as tasks:
            for index in fault.targets:
                tasks.start_soon(self.fleet.restart_front, index, fault.duration)

    async def _restart_fronts_in_steps(self, fault: FaultPlan) -> None:
        """Restart the fronts of each step of the fault at its time, as a rolling upgrade does.

        The secondary magnitude is the downtime of a front in seconds.
        """
        downtime = round(fault.secondary_magnitude * SECOND)
        async with anyio.create_task_group() as tasks:
            for at, front_indices in fault.steps:
                await self._sleep_until(at)
                for index in front_indices:
                    tasks.start_soon(self.fleet.restart_front, index, downtime)

    async def _delay_endpoint_list(self, fault: FaultPlan) -> None:
        """Delay all updates of the endpoint list further, by the magnitude in tenths of a millisecond."""
        added_delay = round(fault.magnitude)
        self.fleet.endpoint_list.delay += added_delay
        await anyio.sleep(fault.duration / SECOND)
        self.fleet.endpoint_list.delay -= added_delay

    async def _corrupt_endpoint_list(self, fault: FaultPlan) -> None:
        """Truncate, repeat and reorder some messages of the endpoint list for the duration of the fault."""
        self.fleet.endpoint_list.corrupts_messages = True
        await anyio.sleep(fault.duration / SECOND)
        self.fleet.endpoint_list.corrupts_messages = False

    async def _flush_caches(self, fault: FaultPlan) -> None:
        """Flush the prefix cache of each engine with a probability of the magnitude."""
        for index in range(len(self.fleet.engines)):
            if self.rng.random() < fault.magnitude:
                await self.fleet.send_fault(index, "forget", share=1.0)

    async def _migrate_tenant(self, fault: FaultPlan) -> None:
        """Migrate a tenant to another cell (see `TenantMigrator.migrate`)."""
        assert self.tenant_migrator is not None, "a plan that migrates tenants has a cell map"
        await self.tenant_migrator.migrate(fault)

    async def _upgrade_to_faulty_release(self, fault: FaultPlan) -> None:
        """Upgrade engines one by one to a faulty software release; remove its faults after the duration.

        The magnitude is the share of requests that fail; the secondary magnitude is the factor by which the
        engines are slower.
        """
        slowdown = max(1.0, fault.secondary_magnitude)
        for index in fault.targets:
            await self.fleet.restart_engines([index], UPGRADE_DOWNTIME)
            await self.fleet.send_fault(index, "row", row=FAULTY_RELEASE_ERROR, share=fault.magnitude)
            await self.fleet.send_fault(index, "slow", times=slowdown)
        await anyio.sleep(fault.duration / SECOND)
        for index in fault.targets:
            await self.fleet.send_fault(index, "row", row=FAULTY_RELEASE_ERROR, share=0)
            await self.fleet.send_fault(index, "slow", times=1.0)
