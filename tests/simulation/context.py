"""The context that all parts of a simulation share: random generator, recording and task group."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event
from runspool.scheduling.time_units import SECOND
from tests.simulated_clock import now
from tests.simulation.settings import SimulationSettings, build_plan


class TokenCounts(NamedTuple):
    """The lengths of a request's prompt and response in tokens."""

    prompt: int
    output: int


class SimulationContext:
    """The random generator, recording and task group of a simulation; the same seed gives the same history.

    `tasks` is set while the simulation runs. `token_counts` maps the name of a client's attempt to its token
    counts. `unexpected_errors` holds the exceptions that fronts logged.
    """

    def __init__(self, seed: int, settings: SimulationSettings, plan: ScenarioPlan | None = None) -> None:
        self.seed = seed
        self.settings = settings
        self.random = Random(seed)
        self.events: list[Event] = []
        self.token_counts: dict[str, TokenCounts] = {}
        self.unexpected_errors: list[str] = []
        self.plan = plan or build_plan(seed, settings, self.random)
        self.tasks: TaskGroup

    def record(self, what: str, **fields: Any) -> None:
        """Record an event at the current simulated time."""
        self.events.append({"t": now(), "what": what, **fields})

    def record_for_attempt(self, what: str, client_attempt: str, **fields: Any) -> None:
        """Record an event of a client's attempt."""
        self.record(what, **fields, **{"try": client_attempt})

    def spawn(self, work: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> None:
        """Start a task, which is cancelled at the end of the simulation."""
        self.tasks.start_soon(partial(work, *arguments))


async def sleep(duration: float) -> None:
    """Sleep for a duration in tenths of a millisecond."""
    await anyio.sleep(duration / SECOND)
