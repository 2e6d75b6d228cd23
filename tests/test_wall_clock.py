"""An engine that has just started is cold, whatever the wall clock has done meanwhile."""

from __future__ import annotations

import pytest

from runspool.service.wall_clock import WallClock

HOUR_MS = 3_600_000
ZERO_MS = 1_700_000_000_000.0  # what the wall clock said when the monotonic clock stood at nought
NOW = 50_000_000  # tenths of a millisecond
NOW_MS = ZERO_MS + NOW / 10


@pytest.mark.parametrize("step", [-HOUR_MS, 0, HOUR_MS])
@pytest.mark.parametrize("stepped_there", [False, True])
def test_a_start_of_a_second_ago_is_one_by_either_clock(step: int, stepped_there: bool) -> None:
    offsets = [ZERO_MS]
    clock = WallClock(lambda: offsets[0])
    assert clock.started(NOW_MS - 20_000, NOW) == NOW - 200_000
    offsets[0] = ZERO_MS + step
    told = NOW_MS - 1_000 + (step if stepped_there else 0)
    started = clock.started(told, NOW)
    assert started == NOW - 10_000 or (step < 0 and not stepped_there and started >= NOW - 10_000)


def test_a_start_in_the_future_by_every_clock_is_now() -> None:
    assert WallClock(lambda: ZERO_MS).started(NOW_MS + HOUR_MS, NOW) == NOW


def test_long_ago_stays_long_ago() -> None:
    assert WallClock(lambda: ZERO_MS).started(0, NOW) == 0


def test_a_slewed_clock_is_one_clock() -> None:
    offsets = [ZERO_MS]
    clock = WallClock(lambda: offsets[0])
    for _ in range(100):
        offsets[0] += 4
        clock.started(NOW_MS, NOW)
    assert len(clock.offsets) <= 2
