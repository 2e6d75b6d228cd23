"""Faults of a simulated history: drains, engines that leave, crash, hang or slow down, killed fronts."""

from __future__ import annotations

import anyio

from runspool.scheduling.time_units import SECOND
from tests.simulation import recorded_words as words
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.context import SimulationContext, sleep

LIST_REMOVES_CRASHED_SHARE = 0.5
ABSENCE_SECONDS = 0.5  # of an engine that has left
SLOWDOWN = (2, 6)
DURATION_SHARE_OF_GAP = (0.3, 0.9)  # of the time between two faults
FRONT_OUTAGE_DIVISOR = 4  # a front is down for a shorter time than an engine


class FaultInjector:
    """Injects one fault after another, kind by kind, while the history runs."""

    def __init__(self, context: SimulationContext, cluster: SimulatedCluster) -> None:
        self.context = context
        self.cluster = cluster
        self.kinds = (
            self.drain_engine,
            self.replace_engine,
            self.crash_engine,
            self.hang_engine,
            self.slow_engine,
            self.restart_front,
        )

    async def run(self) -> None:
        """Inject the history's faults at equal distances."""
        settings, random = self.context.settings, self.context.random
        targets = self._draw_targets()
        gap = settings.duration / (settings.fault_count + 1)
        for number in range(settings.fault_count):
            await sleep(gap)
            inject = self.kinds[number % len(self.kinds)]
            target = targets[number % len(targets)]
            self.context.spawn(inject, target, random.uniform(*DURATION_SHARE_OF_GAP) * gap)

    def _draw_targets(self) -> list[int]:
        """The engines that have faults, in random order: all but one of each role."""
        order = list(range(len(self.cluster.engines)))
        self.context.random.shuffle(order)
        spared = {self.cluster.engines[index].spec.role: index for index in order}
        return [index for index in order if index not in spared.values()]

    async def drain_engine(self, index: int, duration: float) -> None:
        """List an engine as draining for a while."""
        self.cluster.set_listed_state(index, words.LISTED_DRAINING)
        await sleep(duration)
        self.cluster.set_listed_state(index, words.LISTED_READY)

    async def replace_engine(self, index: int, duration: float) -> None:
        """Drain an engine, remove it, and start it anew."""
        engine = self.cluster.engines[index]
        self.cluster.set_listed_state(index, words.LISTED_DRAINING)
        await sleep(duration)
        self.cluster.set_listed_state(index, words.LISTED_REMOVED)
        engine.crash()
        await anyio.sleep(ABSENCE_SECONDS)
        engine.start(cold=True)
        self.cluster.set_listed_state(index, words.LISTED_READY)

    async def crash_engine(self, index: int, duration: float) -> None:
        """Crash an engine and start it anew; the list may or may not notice."""
        engine = self.cluster.engines[index]
        engine.crash()
        if self.context.random.random() < LIST_REMOVES_CRASHED_SHARE:
            self.cluster.set_listed_state(index, words.LISTED_REMOVED)
        await sleep(duration)
        engine.start(cold=True)
        self.cluster.set_listed_state(index, words.LISTED_READY)

    async def hang_engine(self, index: int, duration: float) -> None:
        """Have an engine make no progress for a while."""
        await self.cluster.engines[index].hang(duration)

    async def slow_engine(self, index: int, duration: float) -> None:
        """Have an engine work several times slower for a while."""
        engine = self.cluster.engines[index]
        engine.slowdown = self.context.random.uniform(*SLOWDOWN)
        await sleep(duration)
        engine.slowdown = 1.0

    async def restart_front(self, index: int, duration: float) -> None:
        """Kill a front and start it anew."""
        front_index = index % len(self.cluster.fronts)
        self.cluster.fronts[front_index].kill()
        await anyio.sleep(duration / (FRONT_OUTAGE_DIVISOR * SECOND))
        self.cluster.restart_front(front_index)
