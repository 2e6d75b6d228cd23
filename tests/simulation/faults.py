"""The faults of a simulated history: drained, replaced, crashed, hung and slow engines, and killed fronts."""

from __future__ import annotations

import anyio

from runspool.scheduling.time_units import SECOND
from tests.simulation import recorded_values as values
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.context import SimulationContext, sleep

LIST_REMOVES_CRASHED_SHARE = 0.5  # fraction of the crashed engines that the list removes
ABSENCE_SECONDS = 0.5  # from the removal of a replaced engine to its restart
SLOWDOWN = (2, 6)  # range of the factor by which a slow engine takes longer
# Range of a fault's duration, as a fraction of the time between two faults.
DURATION_SHARE_OF_GAP = (0.3, 0.9)
FRONT_OUTAGE_DIVISOR = (
    4  # divides a fault's duration for a killed front, as fronts restart faster than engines
)


class FaultInjector:
    """An injector of faults, which takes the fault types in turn while the history runs."""

    def __init__(self, context: SimulationContext, cluster: SimulatedCluster) -> None:
        self.context = context
        self.cluster = cluster
        self.fault_types = (
            self.drain_engine,
            self.replace_engine,
            self.crash_engine,
            self.hang_engine,
            self.slow_engine,
            self.restart_front,
        )

    async def run(self) -> None:
        """Inject the history's faults at equal intervals."""
        settings, random = self.context.settings, self.context.random
        targets = self._draw_targets()
        gap = settings.duration / (settings.fault_count + 1)
        for number in range(settings.fault_count):
            await sleep(gap)
            inject = self.fault_types[number % len(self.fault_types)]
            target = targets[number % len(targets)]
            self.context.spawn(inject, target, random.uniform(*DURATION_SHARE_OF_GAP) * gap)

    def _draw_targets(self) -> list[int]:
        """Return the engines that may have faults, in random order: all but one of each role."""
        order = list(range(len(self.cluster.engines)))
        self.context.random.shuffle(order)
        spared = {self.cluster.engines[index].spec.role: index for index in order}
        return [index for index in order if index not in spared.values()]

    async def drain_engine(self, index: int, duration: float) -> None:
        """List an engine as draining for a while."""
        self.cluster.set_listed_state(index, values.LISTED_DRAINING)
        await sleep(duration)
        self.cluster.set_listed_state(index, values.LISTED_READY)

    async def replace_engine(self, index: int, duration: float) -> None:
        """Drain an engine, remove it from the list and restart it."""
        engine = self.cluster.engines[index]
        self.cluster.set_listed_state(index, values.LISTED_DRAINING)
        await sleep(duration)
        self.cluster.set_listed_state(index, values.LISTED_REMOVED)
        engine.crash()
        await anyio.sleep(ABSENCE_SECONDS)
        engine.start(cold=True)
        self.cluster.set_listed_state(index, values.LISTED_READY)

    async def crash_engine(self, index: int, duration: float) -> None:
        """Crash an engine and restart it; the list may or may not remove it in the meantime."""
        engine = self.cluster.engines[index]
        engine.crash()
        if self.context.random.random() < LIST_REMOVES_CRASHED_SHARE:
            self.cluster.set_listed_state(index, values.LISTED_REMOVED)
        await sleep(duration)
        engine.start(cold=True)
        self.cluster.set_listed_state(index, values.LISTED_READY)

    async def hang_engine(self, index: int, duration: float) -> None:
        """Let an engine hang for a while."""
        await self.cluster.engines[index].hang(duration)

    async def slow_engine(self, index: int, duration: float) -> None:
        """Slow an engine down by a random factor for a while."""
        engine = self.cluster.engines[index]
        engine.slowdown = self.context.random.uniform(*SLOWDOWN)
        await sleep(duration)
        engine.slowdown = 1.0

    async def restart_front(self, index: int, duration: float) -> None:
        """Kill a front and restart it."""
        front_index = index % len(self.cluster.fronts)
        self.cluster.fronts[front_index].kill()
        await anyio.sleep(duration / (FRONT_OUTAGE_DIVISOR * SECOND))
        self.cluster.restart_front(front_index)
