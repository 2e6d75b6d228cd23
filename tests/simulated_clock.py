"""Simulated time: it passes only when no task can run, so that a test of many seconds takes a moment.

Every run with the same inputs sees the same times. Tests install the clock in the product's modules with
`install`, and run their coroutine with `run`.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from math import ceil, inf, nextafter
from typing import Any

import pytest

START_SECONDS = 1_000.0  # so that engines that "started long ago" did so after time 0
TICKS_PER_SECOND = 10_000  # the product's unit of time: tenths of a millisecond
TICKS_PER_MILLISECOND = 10
ROUNDING_TICKS = 1e-4  # a time this little past a whole tick is that tick
UNIX_MS_AT_ZERO = 1_700_000_000_000.0  # the wall clock's time when the simulated clock stood at 0

MODULES_WITH_CLOCK = (
    "front",
    "request_executor",
    "executor_base",
    "attempt_runner",
    "attempt_permit",
    "deadline_guard",
    "endpoint_registry",
    "release_check",
    "cell_scheduler",
    "timer_queue",
)


class DeadlockError(Exception):
    """Every task waits, and no timer is set that could wake one."""


class _TimeAdvancingSelector(selectors.SelectSelector):
    """A selector of which no file is ever ready; waiting for one advances the time instead."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds = START_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError
        if timeout > 0:
            self._advance(timeout)
        return []

    def _advance(self, timeout: float) -> None:
        """Go to the next whole tick, but not before the time: a timer that fires too early is set again."""
        due = nextafter(self.seconds + timeout, inf)
        whole_ticks = ceil(due * TICKS_PER_SECOND - ROUNDING_TICKS)
        self.seconds = max(due, whole_ticks / TICKS_PER_SECOND)


class SimulatedEventLoop(asyncio.SelectorEventLoop):
    """An event loop on simulated time."""

    def __init__(self) -> None:
        self._simulated_selector = _TimeAdvancingSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        """Simulated seconds."""
        return self._simulated_selector.seconds


def now() -> int:
    """The simulated time in tenths of a millisecond."""
    return round(asyncio.get_running_loop().time() * TICKS_PER_SECOND)


def unix_ms() -> int:
    """The simulated wall clock, in milliseconds."""
    return round(UNIX_MS_AT_ZERO + now() / TICKS_PER_MILLISECOND)


def install(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the modules of a front the simulated clock in place of the machine's."""
    for module in MODULES_WITH_CLOCK:
        monkeypatch.setattr(f"runspool.service.{module}.now", now)
    monkeypatch.setattr("runspool.service.front.unix_ms", unix_ms)
    monkeypatch.setattr("runspool.service.executor_base.wall_clock_offset_ms", lambda: UNIX_MS_AT_ZERO)


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end; raises DeadlockError where it would wait for ever."""
    with asyncio.Runner(loop_factory=SimulatedEventLoop) as runner:
        runner.run(work)
