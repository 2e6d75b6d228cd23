"""Simulated front processes: each runs a real front on the simulated clock until it is killed."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from runspool.config import parse_config
from runspool.lab.front_configuration import front_configuration
from runspool.service.front import Front
from runspool.wire.endpoint_list import EndpointListMessage
from tests.simulated_clock import now
from tests.simulation.context import SimulationContext
from tests.simulation.engine_client import SimulatedEngineClient
from tests.simulation.engines import SimulatedEngine

SEEDS_PER_SIMULATION = 100  # keeps the seeds of fronts of different simulations apart
LIST_PORT = 1  # for the configuration only: the simulation delivers the list without sockets


class _ErrorLog:
    """A log for a front that keeps only unexpected exceptions."""

    def __init__(self, context: SimulationContext) -> None:
        self.context = context

    def debug(self, event: str, **fields: Any) -> None: ...

    info = warning = error = debug

    def exception(self, event: str, **fields: Any) -> None:
        self.context.unexpected_errors.append(f"{event}: {fields}")


class _OrderedTaskGroup:
    """A task group that cancels its tasks in the order in which they started.

    The task group of anyio keeps its tasks in a set, whose order differs between processes.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.scopes: dict[anyio.CancelScope, None] = {}
        self.is_cancelled = False

    def start_soon(self, work: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> None:
        self.tasks.start_soon(self._run, work, arguments)

    async def _run(self, work: Callable[..., Coroutine[Any, Any, Any]], arguments: tuple[Any, ...]) -> None:
        if self.is_cancelled:
            return
        with anyio.CancelScope() as scope:
            self.scopes[scope] = None
            try:
                await work(*arguments)
            finally:
                del self.scopes[scope]

    def cancel(self) -> None:
        self.is_cancelled = True
        for scope in list(self.scopes):
            scope.cancel()


class SimulatedFront:
    """One process of a front.

    `seed_number` gives each process of a front its own random draws. `initial_list` returns the endpoint list
    that the front receives when it starts; if it is None, the caller delivers the first list.
    """

    def __init__(
        self,
        context: SimulationContext,
        engines: list[SimulatedEngine],
        index: int,
        seed_number: int,
        initial_list: Callable[[], EndpointListMessage] | None,
    ) -> None:
        self.context = context
        self.index = index
        self.initial_list = initial_list
        plan = context.plan.fronts[index]
        self.name = plan.name
        config = parse_config(front_configuration(context.plan, index, LIST_PORT, Path()))
        self.front = Front(config, seed=context.seed * SEEDS_PER_SIMULATION + seed_number)
        self.front.engine_client = cast(Any, SimulatedEngineClient(context, engines, plan.source_address))
        log = cast(Any, _ErrorLog(context))
        self.front.log = self.front.endpoint_registry.log = self.front.timers.log = log
        self.scope = anyio.CancelScope()
        self.killed = anyio.Event()
        self.is_up = False

    async def run(self) -> None:
        """Run the front until it is killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.tasks = _OrderedTaskGroup(tasks)
                self.front.tasks = cast(TaskGroup, self.tasks)
                self.tasks.start_soon(self.front.timers.run)
                self.is_up = True
                if self.initial_list is not None:
                    self.receive(self.initial_list())
                await anyio.sleep_forever()

    def receive(self, update: EndpointListMessage) -> None:
        """Deliver a message of the endpoint list to the front and record it."""
        if not self.is_up:
            return
        self.context.record(
            "told",
            front=self.name,
            version=update.version,
            whole=update.is_snapshot,
            engines=[[entry.engine, entry.state, entry.started_unix_ms] for entry in update.engines],
        )
        if changed := self.front.endpoint_tracker.apply(now(), update):
            self.front.endpoints_changed(changed)

    async def cancel_when_killed(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope once the front has been killed."""
        await self.killed.wait()
        scope.cancel()

    def kill(self) -> None:
        """End the process immediately, as SIGKILL would."""
        self.is_up = False
        self.killed.set()
        self.context.record("killed", process=self.name, front=self.name)
        self.tasks.cancel()
        self.scope.cancel()
