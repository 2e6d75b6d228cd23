"""A simulated clock, which advances only when no task can run, so that a test of many seconds runs fast.

Every run with the same inputs sees the same times. Tests install the clock in the service's modules with
`install`, and run their coroutine with `run`.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from math import ceil, inf, nextafter
from typing import Any

import pytest

START_SECONDS = 1_000.0  # above 0, so that engines that "started long ago" started after time 0
TICKS_PER_SECOND = 10_000  # the service's unit of time is a tenth of a millisecond
TICKS_PER_MILLISECOND = 10
ROUNDING_TICKS = 1e-4  # a time that exceeds a whole tick by less than this counts as that tick
UNIX_MS_AT_ZERO = 1_700_000_000_000.0  # the wall-clock time at simulated time 0

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
    """Every task is waiting and no timer is set that could wake one."""


class _TimeAdvancingSelector(selectors.SelectSelector):
    """A selector in which no file is ever ready; `select` advances the simulated time instead of waiting."""

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
        """Advance to the first whole tick at or after the timeout.

        The time must not be earlier than the timeout: the event loop would not run the timer, but wait again.
        """
        due = nextafter(self.seconds + timeout, inf)
        whole_ticks = ceil(due * TICKS_PER_SECOND - ROUNDING_TICKS)
        self.seconds = max(due, whole_ticks / TICKS_PER_SECOND)


class SimulatedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on simulated time."""

    def __init__(self) -> None:
        self._simulated_selector = _TimeAdvancingSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulated_selector.seconds


def now() -> int:
    """Return the simulated time in tenths of a millisecond."""
    return round(asyncio.get_running_loop().time() * TICKS_PER_SECOND)


def unix_ms() -> int:
    """Return the simulated wall-clock time in Unix milliseconds."""
    return round(UNIX_MS_AT_ZERO + now() / TICKS_PER_MILLISECOND)


def install(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the system clock by the simulated clock in the modules of a front."""
    for module in MODULES_WITH_CLOCK:
        monkeypatch.setattr(f"runspool.service.{module}.now", now)
    monkeypatch.setattr("runspool.service.front.unix_ms", unix_ms)
    monkeypatch.setattr("runspool.service.executor_base.wall_clock_offset_ms", lambda: UNIX_MS_AT_ZERO)


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion; raise DeadlockError where it would wait forever."""
    with asyncio.Runner(loop_factory=SimulatedEventLoop) as runner:
        runner.run(work)
