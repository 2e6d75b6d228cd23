"""The endpoint list of a real front: how it is restored, updated, bounded and saved."""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec
import pytest

from runspool.discovery.endpoint_tracker import MAX_GONE_ENGINES
from runspool.discovery.snapshot import save_snapshot
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.types import Role
from runspool.service.clock import unix_ms, wall_clock_offset_ms
from runspool.wire.endpoint_list import EndpointEntry
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = ["prefill", "decode"]
TWO_DECODE_ENGINES = ["prefill", "decode", "decode"]


async def test_a_front_restores_its_last_list_and_ignores_a_damaged_one(tmp_path: Path) -> None:
    fleet = SmallFleet(tmp_path, PREFILL_AND_DECODE)
    save_snapshot(
        tmp_path / "front-0.list", 7, [EndpointEntry("e9", "127.0.0.1:9", "prefill", "a", 0, "draining")]
    )
    async with fleet.open() as opened:
        assert opened.front_server.front.endpoints[0].name == "e9"
        # The service's snapshot does not list this engine, so it is removed and the new list is saved.
        while b"e9" in (tmp_path / "front-0.list").read_bytes():
            await anyio.sleep(0.01)
    (tmp_path / "front-0.list").write_bytes(b"00000000\n{}")
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as opened:
        assert (await opened.send_request()).status == 200


async def test_an_engine_listed_with_another_type_gets_attempts_of_that_type(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, TWO_DECODE_ENGINES).open() as fleet:
        front = fleet.front_server.front
        fleet.plan.engines[1].engine_type = "prefill"
        fleet.publish_state(1, "on")
        with anyio.fail_after(10):
            while front.first_driver.scheduler.engines[1].role is not Role.PREFILL:
                await anyio.sleep(0.005)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(fleet.send_request)
        assert {event["stage"] for event in fleet.recorded_events("arrived", engine="e1")} <= {"read"}
        assert len(fleet.recorded_events("ran", engine="e2")) == 8
        # The front does not know this type, so it cannot tell what the engine can do and uses it no longer.
        fleet.plan.engines[1].engine_type = "novel"
        fleet.publish_state(1, "draining")
        with anyio.fail_after(10):
            while front.first_driver.scheduler.engines[1].ready:
                await anyio.sleep(0.005)
        assert (await fleet.send_request()).status == 200


async def test_slow_start_is_applied_after_the_wall_clock_of_a_front_is_set_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with SmallFleet(tmp_path, TWO_DECODE_ENGINES).open() as fleet:
        front = fleet.front_server.front
        hour_ms = 3_600_000
        fleet.start_times[1] = unix_ms() - 30_000
        fleet.publish_state(1, "on")
        scheduler = front.first_driver.scheduler
        with anyio.fail_after(10):
            while not scheduler.engines[1].started_at:
                await anyio.sleep(0.005)
        known = scheduler.engines[1].started_at
        monkeypatch.setattr(
            "runspool.service.executor_base.wall_clock_offset_ms", lambda: wall_clock_offset_ms() - hour_ms
        )
        fleet.publish_state(1, "draining")
        fleet.start_times[2] = unix_ms() - hour_ms
        fleet.publish_state(2, "on")
        with anyio.fail_after(10):
            while not scheduler.engines[2].started_at:
                await anyio.sleep(0.005)
        assert warmup_fraction(scheduler, scheduler.engines[2]) < 0.5
        assert scheduler.engines[1].started_at == known


async def test_data_kept_of_removed_engines_is_bounded(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        front = fleet.front_server.front
        for number in range(MAX_GONE_ENGINES + 200):
            for state in ("on", "gone"):
                entry = EndpointEntry(f"n{number}", f"127.0.0.1:{number + 1}", "decode", "a", 0, "on")
                front.endpoints_changed([msgspec.structs.replace(entry, state=state)])
        assert (
            len(front.endpoints)
            == len(front.engine_records)
            == len(front.endpoint_registry.engine_interner)
            <= MAX_GONE_ENGINES + 2
        )
        assert (await fleet.send_request()).status == 200


async def test_the_thread_that_saves_the_list_gets_its_own_copy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    saved: list[list[EndpointEntry]] = []
    monkeypatch.setattr(
        "runspool.service.front_server.save_snapshot", lambda path, version, engines: saved.append(engines)
    )
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        with anyio.fail_after(10):
            while not saved or len(saved[-1]) < 2:
                await anyio.sleep(0.005)
        last_saved = list(saved[-1])
        entries = fleet.front_server.front.endpoint_tracker.entries
        entries.clear()
        assert saved[-1] == last_saved
        with pytest.raises(AttributeError):
            last_saved[0].state = "gone"  # type: ignore[misc]
