"""Simulated engines, which may crash, hang or slow down, and the prefill states that they reserve."""

from __future__ import annotations

from collections import Counter
from typing import Any

import anyio

from runspool.scheduling.time_units import SECOND
from tests.simulated_clock import now
from tests.simulation.context import SimulationContext, sleep

HANG_POLL_SECONDS = 0.01  # interval at which work on a hanging engine checks whether the hang is over


class EngineDownError(Exception):
    """The engine went down while an attempt was in progress."""


class SimulatedEngine:
    """A simulated engine.

    `slowdown` multiplies the duration of its work. `started_at` is 0 if it started long ago.
    `reserved_states` holds the request ids of the prefills whose states it reserves; `lost_releases` counts
    the release calls that did not arrive, by request id.
    """

    def __init__(self, context: SimulationContext, index: int) -> None:
        self.context = context
        self.plan = context.plan.engines[index]
        self.spec = self.plan.spec
        self.is_up = True
        self.slowdown = 1.0
        self.started_at = 0
        self.went_down = anyio.Event()
        self.not_hanging = anyio.Event()
        self.not_hanging.set()
        self.reserved_states: set[str] = set()
        self.lost_releases: Counter[str] = Counter()

    @property
    def speed_fraction(self) -> float:
        """The current speed as a fraction of full speed; less than 1 during slow start."""
        if not self.started_at:
            return 1.0
        progress = min(1.0, (now() - self.started_at) / self.spec.slow_start_duration)
        return self.spec.slow_start_initial_fraction + (1 - self.spec.slow_start_initial_fraction) * progress

    def record(self, what: str, **fields: Any) -> None:
        """Record an event of this engine."""
        self.context.record(what, engine=self.spec.name, **fields)

    def record_for_attempt(self, what: str, client_attempt: str, **fields: Any) -> None:
        """Record an event of a client's attempt at this engine."""
        self.record(what, **fields, **{"try": client_attempt})

    # Start, crash and hang.

    def start(self, cold: bool) -> None:
        """Start the engine: in slow start if `cold`, otherwise as if it had been up for a long time."""
        self.is_up = True
        self.started_at = now() if cold else 0
        self.went_down = anyio.Event()
        spec = self.spec
        self.record(
            "engine_up",
            role=spec.role,
            zone=spec.zone,
            rack=spec.rack,
            cold=cold,
            cold_from=spec.slow_start_initial_fraction,
            cold_time=spec.slow_start_duration,
            multiple=spec.slow_start_overload_multiple,
            fall_time=spec.slow_start_overload_window,
            work=spec.mean_work,
        )

    def crash(self) -> None:
        """Go down immediately and lose all states and all attempts in progress."""
        self.is_up = False
        self.context.record("killed", process=self.spec.name, engine=self.spec.name)
        self.reserved_states.clear()
        self.went_down.set()

    async def hang(self, duration: float) -> None:
        """Make no progress for a while."""
        self.not_hanging = anyio.Event()
        await sleep(duration)
        self.not_hanging.set()

    # Attempts.

    async def work(self, duration: float) -> None:
        """Work on an attempt for a duration; raise EngineDownError if the engine goes down meanwhile."""
        went_down = self.went_down
        with anyio.move_on_after(max(0.0, duration) / SECOND):
            await went_down.wait()
            raise EngineDownError
        while not self.not_hanging.is_set() and not went_down.is_set():
            with anyio.move_on_after(HANG_POLL_SECONDS):
                await went_down.wait()
        if went_down.is_set():
            raise EngineDownError

    # The states of completed prefills.

    def reserve_state(self, request_id: str, tokens: int, client_attempt: str) -> None:
        """Reserve a prefill's state until it is fetched, released or expired."""
        self.reserved_states.add(request_id)
        self.record_for_attempt("held", client_attempt, state=request_id, tokens=tokens)
        self.context.spawn(self._expire_state, request_id)

    async def _expire_state(self, request_id: str) -> None:
        await sleep(self.spec.state_ttl)
        self.remove_state(request_id, "expired")

    def remove_state(self, request_id: str, how: str, **fields: Any) -> bool:
        """Remove a state and record how; return False if there is none."""
        if request_id not in self.reserved_states:
            return False
        self.reserved_states.discard(request_id)
        self.record(how, state=request_id, **fields)
        return True
