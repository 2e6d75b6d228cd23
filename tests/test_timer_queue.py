"""The timer queue of a front."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from runspool.service.clock import now
from runspool.service.timer_queue import TimerQueue


@pytest.mark.anyio
async def test_timers_fire_in_order_of_time_not_of_scheduling() -> None:
    fired: list[str] = []
    all_fired = anyio.Event()

    def fire(token: str) -> None:
        fired.append(token)
        if len(fired) == 3:
            all_fired.set()

    timers = TimerQueue(fire)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        timers.schedule(now() + 600, "third")
        await anyio.lowlevel.checkpoint()
        timers.schedule(now() + 100, "first")
        timers.schedule(now() + 300, "second")
        with anyio.fail_after(10):
            await all_fired.wait()
        tasks.cancel_scope.cancel()
    assert fired == ["first", "second", "third"]
