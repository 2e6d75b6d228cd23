"""Time that passes only when nothing is left to do: seconds of service in a blink, the same each time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from math import ceil, inf, nextafter
from typing import Any

import pytest

BEGIN = 1_000.0  # seconds; engines that started long ago have started before it
TICKS = 10_000  # tenths of a millisecond a second
WALL_MS = 1_700_000_000_000.0  # what the wall clock says at 0


class StuckError(Exception):
    """Every task waits for something that nothing will bring."""


class _Still(selectors.SelectSelector):
    """No file is ever ready; waiting for one moves the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.at = BEGIN

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StuckError
        # Whole ticks where that is not before the time: a timer that rings a rounding early is set again.
        due = nextafter(self.at + timeout, inf)
        self.at = max(due, ceil(due * TICKS - 1e-4) / TICKS) if timeout > 0 else self.at
        return []


class Clockwork(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.still = _Still()
        super().__init__(self.still)

    def time(self) -> float:
        return self.still.at


def now() -> int:
    return round(asyncio.get_running_loop().time() * TICKS)


def unix_ms() -> int:
    return round(WALL_MS + now() / 10)


def wind(patch: pytest.MonkeyPatch) -> None:
    """Gives a front's parts this clock in place of the machine's."""
    modules = (
        "front",
        "request_executor",
        "attempt_runner",
        "attempt_permit",
        "deadline_guard",
        "endpoint_registry",
        "release_check",
        "cell_scheduler",
        "timer_queue",
    )
    for module in modules:
        patch.setattr(f"runspool.service.{module}.now", now)
    patch.setattr("runspool.service.front.unix_ms", unix_ms)
    patch.setattr("runspool.service.request_executor.unix_ms_at_zero", lambda: WALL_MS)


def play(work: Coroutine[Any, Any, None]) -> None:
    """Runs to its end; raises Stuck where it never would."""
    with asyncio.Runner(loop_factory=Clockwork) as runner:
        runner.run(work)
