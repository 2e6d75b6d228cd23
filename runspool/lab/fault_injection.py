"""Injects the faults of a plan into a running fleet, each at its time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random

import anyio

from runspool.lab.engine_faults import EngineFault, engine_faults
from runspool.lab.fleet import ScenarioFleet
from runspool.lab.migration_script import MigrationScript
from runspool.lab.plan import SECOND, FaultPlan, ScenarioPlan
from runspool.lab.recording import Recorder
from runspool.service.clock import now

RELEASE_DOWNTIME = SECOND // 2  # tenths of a millisecond that a restart into a bad release takes
DRAIN_DOWNTIME = SECOND  # tenths of a millisecond that the restart after a drain takes

AGEING_STEPS = 10
MAX_AGEING_SLOWDOWN = 50
MIN_AGEING_DOWNTIME = 0.5  # seconds

MIN_NEIGHBOUR_PERIOD = 0.2  # seconds for which an engine is slow, and then not
MIN_NEIGHBOUR_SPEED = 0.05

RELEASE_ERROR_ROW = "failed_500"

# The seed of the generator is the plan's times this, plus the offset.
SEED_MULTIPLIER = 31
SEED_OFFSET = 7

InjectFault = Callable[[FaultPlan], Coroutine[object, object, None]]


class FaultInjector:
    """Injects faults by kind. What a fault's magnitudes mean is said at the method of its kind."""

    def __init__(
        self,
        plan: ScenarioPlan,
        fleet: ScenarioFleet,
        record: Recorder,
        migration_script: MigrationScript | None,
    ) -> None:
        """`migration_script` is needed where the plan has moves of tenants."""
        self.plan = plan
        self.fleet = fleet
        self.record = record
        self.migration_script = migration_script
        self.rng = Random(plan.seed * SEED_MULTIPLIER + SEED_OFFSET)
        self.start = 0
        self.methods: dict[str, InjectFault] = {
            "crash": self._crash,
            "restart": self._crash,
            "drain": self._drain,
            "ageing": self._age,
            "neighbour": self._disturb,
            "balancer_roll": self._roll_fronts,
            "front_kill": self._kill_fronts,
            "discovery_stale": self._delay_endpoint_list,
            "list_noise": self._mangle_endpoint_list,
            "flush": self._flush_caches,
            "cell_move": self._move_tenant,
            "bad_release": self._release_badly,
        }

    async def inject(self, fault: FaultPlan) -> None:
        """Wait for a fault's time, inject it and record its beginning and end.

        `start` must hold the scenario's start. Faults that clients bring about are passed over.
        """
        method = self.methods.get(fault.kind)
        faults_of_engines = [] if method is not None else engine_faults(self.plan, fault)
        if method is None and not faults_of_engines:
            return
        await self._sleep_until(fault.starts_at)
        self.record.line(
            "trouble", kind=fault.kind, on=fault.targets, size=fault.magnitude, length=fault.duration
        )
        if method is not None:
            await method(fault)
        else:
            await self._hold_engine_faults(faults_of_engines, fault.duration)
        self.record.line("trouble_over", kind=fault.kind, on=fault.targets)

    async def _sleep_until(self, at: int) -> None:
        """Sleep until a time of the scenario; not at all where it has passed."""
        await anyio.sleep(max(0.0, (self.start + at - now()) / SECOND))

    async def _hold_engine_faults(self, faults: list[EngineFault], duration: int) -> None:
        for fault in faults:
            await self.fleet.send_fault(fault.engine_index, fault.switch.name, **fault.switch.on)
        await anyio.sleep(duration / SECOND)
        for fault in faults:
            await self.fleet.send_fault(fault.engine_index, fault.switch.name, **fault.switch.off)

    async def _slow_down(self, engine_indices: list[int], multiple: float) -> None:
        for index in engine_indices:
            await self.fleet.send_fault(index, "slow", times=multiple)

    async def _crash(self, fault: FaultPlan) -> None:
        """Engines are killed and stay down for the fault's duration."""
        await self.fleet.restart_engines(fault.targets, fault.duration)

    async def _drain(self, fault: FaultPlan) -> None:
        """Engines drain for the fault's duration and are then restarted."""
        for index in fault.targets:
            self.fleet.publish_state(index, "draining")
        await anyio.sleep(fault.duration / SECOND)
        await self.fleet.restart_engines(fault.targets, DRAIN_DOWNTIME)

    async def _age(self, fault: FaultPlan) -> None:
        """Engines get slower step by step, up to the magnitude, and restart.

        The secondary magnitude is the restart's downtime in seconds.
        """
        slowdown = min(fault.magnitude, MAX_AGEING_SLOWDOWN)
        for step in range(1, AGEING_STEPS + 1):
            await self._slow_down(fault.targets, 1 + (slowdown - 1) * step / AGEING_STEPS)
            await anyio.sleep(fault.duration / AGEING_STEPS / SECOND)
        downtime = round(max(MIN_AGEING_DOWNTIME, fault.secondary_magnitude) * SECOND)
        await self.fleet.restart_engines(fault.targets, downtime)

    async def _disturb(self, fault: FaultPlan) -> None:
        """A neighbour on the same host takes the magnitude's share of the engines' speed, by turns.

        The secondary magnitude is the length of each turn in seconds.
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
        """Fronts are killed and stay down for the fault's duration."""
        async with anyio.create_task_group() as tasks:
            for index in fault.targets:
                tasks.start_soon(self.fleet.restart_front, index, fault.duration)

    async def _roll_fronts(self, fault: FaultPlan) -> None:
        """Fronts are restarted in steps; the secondary magnitude is their downtime in seconds."""
        downtime = round(fault.secondary_magnitude * SECOND)
        async with anyio.create_task_group() as tasks:
            for at, front_indices in fault.steps:
                await self._sleep_until(at)
                for index in front_indices:
                    tasks.start_soon(self.fleet.restart_front, index, downtime)

    async def _delay_endpoint_list(self, fault: FaultPlan) -> None:
        """The endpoint list is later by the magnitude, in tenths of a millisecond."""
        added_delay = round(fault.magnitude)
        self.fleet.endpoint_list.delay += added_delay
        await anyio.sleep(fault.duration / SECOND)
        self.fleet.endpoint_list.delay -= added_delay

    async def _mangle_endpoint_list(self, fault: FaultPlan) -> None:
        """The endpoint list's lines come torn, twice or out of order."""
        self.fleet.endpoint_list.noisy = True
        await anyio.sleep(fault.duration / SECOND)
        self.fleet.endpoint_list.noisy = False

    async def _flush_caches(self, fault: FaultPlan) -> None:
        """The magnitude's share of the engines forget their prefix caches."""
        for index in range(len(self.fleet.engines)):
            if self.rng.random() < fault.magnitude:
                await self.fleet.send_fault(index, "forget", share=1.0)

    async def _move_tenant(self, fault: FaultPlan) -> None:
        assert self.migration_script is not None, "a plan with moves has a cell map"
        await self.migration_script.play(fault)

    async def _release_badly(self, fault: FaultPlan) -> None:
        """Engines restart one by one into a release with errors; after the duration all are mended.

        The magnitude is the share of requests that fail, the secondary magnitude the slowdown.
        """
        slowdown = max(1.0, fault.secondary_magnitude)
        for index in fault.targets:
            await self.fleet.restart_engines([index], RELEASE_DOWNTIME)
            await self.fleet.send_fault(index, "row", row=RELEASE_ERROR_ROW, share=fault.magnitude)
            await self.fleet.send_fault(index, "slow", times=slowdown)
        await anyio.sleep(fault.duration / SECOND)
        for index in fault.targets:
            await self.fleet.send_fault(index, "row", row=RELEASE_ERROR_ROW, share=0)
            await self.fleet.send_fault(index, "slow", times=1.0)
