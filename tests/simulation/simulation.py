"""A simulated history of fronts, engines, clients and faults from one seed, with its recording."""

from __future__ import annotations

import anyio
import msgspec

from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event
from tests.simulated_clock import now
from tests.simulation.clients import SimulatedClients
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.context import SimulationContext
from tests.simulation.faults import FaultInjector
from tests.simulation.leaks import leaked_state
from tests.simulation.settings import REQUEST_CLASSES, SimulationSettings

SETTLING_SECONDS = 20  # from the end of the load to the check for leaks


class Simulation:
    """A history of fronts and their environment, from one seed.

    After `run`, `events` holds the recording, and `leaks` the exceptions that fronts logged and the state
    that they still hold.
    """

    def __init__(self, seed: int, settings: SimulationSettings, plan: ScenarioPlan | None = None) -> None:
        self.context = SimulationContext(seed, settings, plan)
        self.cluster = SimulatedCluster(self.context)
        self.clients = SimulatedClients(self.context)
        self.faults = FaultInjector(self.context, self.cluster)

    @property
    def events(self) -> list[Event]:
        """The recording so far."""
        return self.context.events

    @property
    def leaks(self) -> list[str]:
        """The exceptions that fronts logged, followed by the state that they held at the end."""
        return self.context.unexpected_errors

    async def run(self) -> None:
        """Run the whole history."""
        self.context.record("day", plan=msgspec.to_builtins(self.context.plan))
        async with anyio.create_task_group() as self.context.tasks:
            await self._generate_events()
            await anyio.sleep(SETTLING_SECONDS)
            self.context.record("over")
            for front in self.cluster.fronts:
                self.context.unexpected_errors += leaked_state(front.front)
            self.context.tasks.cancel_scope.cancel()

    async def _generate_events(self) -> None:
        """Start engines, fronts and faults, then send requests for the history's duration."""
        for engine in self.cluster.engines:
            engine.start(cold=False)
        self.cluster.start_fronts(with_list=True)
        self.context.spawn(self.faults.run)
        settings, random = self.context.settings, self.context.random
        end = now() + settings.duration
        shares = [request_class.share for request_class in REQUEST_CLASSES]
        number = 0
        while now() < end:
            await anyio.sleep(random.expovariate(settings.requests_per_second))
            request_class = random.choices(REQUEST_CLASSES, shares)[0]
            number += 1
            self.context.spawn(
                self.clients.send_with_retries, self.cluster.fronts, str(number), request_class
            )
