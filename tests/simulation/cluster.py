"""The simulated fronts and engines, and the endpoint list that the fronts receive."""

from __future__ import annotations

from typing import Any, cast

from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage
from tests.simulated_clock import TICKS_PER_MILLISECOND, UNIX_MS_AT_ZERO
from tests.simulation import recorded_values as values
from tests.simulation.context import SimulationContext, sleep
from tests.simulation.engines import SimulatedEngine
from tests.simulation.fronts import SimulatedFront

EPOCH = "epoch"  # of the endpoint list, which never restarts in a simulation
MAX_NOTIFICATION_DELAY = 4_000  # from a list change to its arrival at a front, in tenths of a millisecond
REPEATED_NOTIFICATION_SHARE = 0.2  # fraction of the notifications that arrive twice


class SimulatedCluster:
    """The engines of the plan, the current process of each front, and the state of the endpoint list."""

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        for index, planned in enumerate(context.plan.engines):
            planned.port = index + 1
        self.engines = [SimulatedEngine(context, index) for index in range(len(context.plan.engines))]
        self.fronts: list[SimulatedFront] = []
        self.list_version = 0
        self.listed_states = [values.LISTED_READY] * len(self.engines)

    # Fronts.

    def start_fronts(self, with_list: bool) -> None:
        """Start all fronts; `with_list` gives each a snapshot of the endpoint list when it starts."""
        self.fronts = [
            self._new_front(index, index, with_list) for index in range(len(self.context.plan.fronts))
        ]
        for front in self.fronts:
            self.context.spawn(front.run)

    def restart_front(self, index: int, with_list: bool = True) -> None:
        """Start a new process for a front that has been killed."""
        front = self._new_front(index, len(self.context.events), with_list)
        self.fronts[index] = front
        self.context.spawn(front.run)

    def _new_front(self, index: int, seed_number: int, with_list: bool) -> SimulatedFront:
        initial_list = self.list_snapshot if with_list else None
        return SimulatedFront(self.context, self.engines, index, seed_number, initial_list)

    # The endpoint list.

    def list_entry(self, index: int) -> EndpointEntry:
        """Return an engine's current entry on the list."""
        engine = self.engines[index]
        started = round(UNIX_MS_AT_ZERO + engine.started_at / TICKS_PER_MILLISECOND)
        return EndpointEntry(
            engine.spec.name,
            engine.plan.address,
            engine.plan.engine_type,
            engine.spec.zone,
            engine.spec.rack,
            cast(Any, self.listed_states[index]),
            started if engine.started_at else 0,
        )

    def list_snapshot(self) -> EndpointListMessage:
        """Return a snapshot of the whole list."""
        entries = [
            self.list_entry(index)
            for index, state in enumerate(self.listed_states)
            if state != values.LISTED_REMOVED
        ]
        return EndpointListMessage(self.list_version, EPOCH, is_snapshot=True, engines=entries)

    def set_listed_state(self, index: int, state: str) -> None:
        """Change an engine's state on the list and notify the fronts.

        Each front receives the message after its own delay; a message may arrive twice or after a newer one.
        """
        self.listed_states[index] = state
        self.list_version += 1
        update = EndpointListMessage(self.list_version, EPOCH, engines=[self.list_entry(index)])
        random = self.context.random
        for front in self.fronts:
            is_repeated = random.random() < REPEATED_NOTIFICATION_SHARE
            for _ in range(1 + is_repeated):
                delay = random.uniform(0, MAX_NOTIFICATION_DELAY)
                self.context.spawn(self._notify, front, update, delay)

    async def _notify(self, front: SimulatedFront, update: EndpointListMessage, delay: float) -> None:
        await sleep(delay)
        front.receive(update)
