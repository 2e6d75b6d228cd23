"""An engine that has just started is in slow start, even if the wall clock was stepped in the meantime."""

from __future__ import annotations

import pytest

from runspool.service.start_time_converter import StartTimeConverter

HOUR_MS = 3_600_000
UNIX_MS_AT_ZERO = 1_700_000_000_000.0  # the wall-clock time at 0 of the monotonic clock
NOW = 50_000_000  # tenths of a millisecond
NOW_UNIX_MS = UNIX_MS_AT_ZERO + NOW / 10


@pytest.mark.parametrize("step", [-HOUR_MS, 0, HOUR_MS])
@pytest.mark.parametrize("engine_clock_stepped", [False, True])
def test_recent_start_is_recognized_after_a_step_of_the_wall_clock(
    step: int, engine_clock_stepped: bool
) -> None:
    offset = UNIX_MS_AT_ZERO
    converter = StartTimeConverter(lambda: offset)
    assert converter.to_monotonic(NOW_UNIX_MS - 20_000, NOW) == NOW - 200_000
    offset = UNIX_MS_AT_ZERO + step
    listed_start = NOW_UNIX_MS - 1_000 + (step if engine_clock_stepped else 0)
    started_at = converter.to_monotonic(listed_start, NOW)
    is_taken_for_later = step < 0 and not engine_clock_stepped and started_at >= NOW - 10_000
    assert started_at == NOW - 10_000 or is_taken_for_later


def test_start_time_in_the_future_by_every_clock_is_converted_to_now() -> None:
    assert StartTimeConverter(lambda: UNIX_MS_AT_ZERO).to_monotonic(NOW_UNIX_MS + HOUR_MS, NOW) == NOW


def test_start_time_of_long_ago_is_kept() -> None:
    assert StartTimeConverter(lambda: UNIX_MS_AT_ZERO).to_monotonic(0, NOW) == 0


def test_slewing_of_the_wall_clock_does_not_accumulate_offsets() -> None:
    offset = UNIX_MS_AT_ZERO
    converter = StartTimeConverter(lambda: offset)
    for _ in range(100):
        offset += 4
        converter.to_monotonic(NOW_UNIX_MS, NOW)
    assert len(converter.offsets) <= 2
