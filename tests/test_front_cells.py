"""Cells in a real front on sockets: isolation and moves of tenants, overflow and poisonous requests."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from runspool.cells import cell_store
from runspool.cells.cell_map import CellMap
from runspool.lab.engine import StandInEngine
from runspool.service.front_server import FrontServer
from tests.cell_maps import CELL_MAP, ENGINE_TYPES, map_with_move
from tests.small_fleet import SmallFleet


async def adopt(fleet: SmallFleet, cell_map: CellMap) -> None:
    """Write a map and wait until the front has adopted it."""
    cell_store.write_with_checksum(fleet.map_file, cell_store.encode_map(cell_map))
    with anyio.fail_after(10):
        while fleet.front_server.front.cell_router.cell_map.version < cell_map.version:
            await anyio.sleep(0.005)


async def wait_for_event(fleet: SmallFleet, what: str, mark: str) -> None:
    """Wait for an event of the request with this mark."""
    fields: dict[str, Any] = {"try": mark}
    await fleet.wait_for_events(what, **fields)


def engines_reached(fleet: SmallFleet, mark: str) -> set[str]:
    """Return the engines that the request with this mark arrived at."""
    return {str(event["engine"]) for event in fleet.recorded_events("arrived", **{"try": mark})}


@pytest.mark.anyio
async def test_each_tenant_is_served_only_in_its_cell(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet:
        for number in range(6):
            for tenant, engines in (("one", {"e0", "e1"}), ("two", {"e2", "e3"})):
                mark = f"{tenant}{number}"
                assert (await fleet.send_request(runspool_tenant=tenant, runspool_mark=mark)).status == 200
                assert engines_reached(fleet, mark) == engines


@pytest.mark.anyio
async def test_an_overloaded_cell_rejects_only_its_own_requests(tmp_path: Path) -> None:
    cell_map = CELL_MAP.model_copy(update={"reserve": None, "tenants": {"one": "a", "two": "b"}})
    async with (
        SmallFleet(tmp_path, ENGINE_TYPES, cell_map, queries=20).open() as fleet,
        anyio.create_task_group() as tasks,
    ):
        rejections: list[str] = []

        async def flood(number: int) -> None:
            response = await fleet.send_request(
                output_tokens=400, runspool_tenant="one", runspool_mark=f"f{number}"
            )
            rejections.append(response.error["code"] if response.status == 503 else "")

        for number in range(40):
            tasks.start_soon(flood, number)
        with anyio.fail_after(10):
            while rejections.count("cell_full") < 10:
                await anyio.sleep(0.005)
        budget = fleet.front_server.front.cell_router.request_budget
        assert budget.used["a"] <= 20 - 2 * budget.guarantee("b")
        assert (await fleet.send_request(runspool_tenant="two")).status == 200
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_move_sends_new_requests_to_the_new_cell_and_open_requests_stay(tmp_path: Path) -> None:
    async with (
        SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet,
        anyio.create_task_group() as tasks,
    ):

        async def long_request() -> None:
            response = await fleet.send_request(
                "book", output_tokens=60, runspool_tenant="one", runspool_mark="old"
            )
            assert response.status == 200

        tasks.start_soon(long_request)
        await wait_for_event(fleet, "arrived", "old")
        await adopt(fleet, map_with_move())
        assert (await fleet.send_request(runspool_tenant="one", runspool_mark="new")).status == 200
        assert engines_reached(fleet, "new") == {"e2", "e3"}
        moves = fleet.front_server.front.status_page()["moves"]
        assert [(move["stage"], move["out"]) for move in moves] in ([("settling", 1)], [("settled", 0)])
        await wait_for_event(fleet, "ran", "old")
        (turned_back,) = map_with_move(step="turned_back", turned_unix_ms=2).moves
        await adopt(
            fleet,
            map_with_move().model_copy(update={"version": 3, "moves": [turned_back]}),
        )
        assert (await fleet.send_request(runspool_tenant="one", runspool_mark="back")).status == 200
        assert engines_reached(fleet, "back") == {"e0", "e1"}
    assert engines_reached(fleet, "old") == {"e0", "e1"}


@pytest.mark.anyio
async def test_a_keyed_client_retry_goes_to_the_cell_that_saw_its_key_or_is_rejected(
    tmp_path: Path,
) -> None:
    async with SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet:
        known: dict[str, Any] = {"runspool_tenant": "one", "runspool_ticket": "t1"}
        unknown = known | {"runspool_ticket": "t2"}
        assert (await fleet.send_request("mark", runspool_mark="first", **known)).status == 200
        await adopt(fleet, map_with_move())
        repeated = await fleet.send_request("mark", runspool_mark="again", runspool_try="2", **known)
        assert (repeated.status, engines_reached(fleet, "again")) == (200, {"e0", "e1"})
        rejected = await fleet.send_request("mark", runspool_mark="strange", runspool_try="2", **unknown)
        assert (rejected.status, rejected.error["code"]) == (424, "unsure")
        assert engines_reached(fleet, "strange") == set()


@pytest.mark.anyio
async def test_a_restarted_front_restores_the_time_at_which_its_map_was_adopted(tmp_path: Path) -> None:
    fleet = SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP)
    async with fleet.open():
        await adopt(fleet, map_with_move())
        adopted_at = fleet.front_server.front.cell_router.adopted_unix_ms
    restarted = FrontServer(fleet.front_server.config)
    assert restarted.front.cell_router.cell_map == map_with_move()
    assert restarted.front.cell_router.migrations.adopted_unix_ms == adopted_at
    # If the record of that time is damaged, the map counts as adopted now: no key is trusted too early.
    (tmp_path / "front-0.list.cells").write_bytes(b"torn")
    restored = FrontServer(fleet.front_server.config)
    assert restored.front.cell_router.cell_map == map_with_move()
    assert restored.front.cell_router.adopted_unix_ms > adopted_at


@pytest.mark.anyio
async def test_a_damaged_or_older_map_changes_nothing(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet:
        await adopt(fleet, map_with_move())
        watcher = fleet.front_server.cell_map_watcher
        assert watcher is not None
        for raw in (b"torn", b"%08x\n{}" % 0):
            fleet.map_file.write_bytes(raw)
            version_before = watcher.last_file_version
            with anyio.fail_after(10):
                while watcher.last_file_version == version_before:
                    await anyio.sleep(0.005)
        cell_store.write_with_checksum(fleet.map_file, cell_store.encode_map(CELL_MAP))
        assert (await fleet.send_request(runspool_tenant="one", runspool_mark="q")).status == 200
        assert fleet.front_server.front.cell_router.cell_map.version == 2


@pytest.mark.anyio
async def test_a_removed_cell_finishes_its_open_requests(tmp_path: Path) -> None:
    async with (
        SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet,
        anyio.create_task_group() as tasks,
    ):

        async def open_request() -> None:
            assert (
                await fleet.send_request(output_tokens=60, runspool_tenant="one", runspool_mark="held")
            ).status == 200

        tasks.start_soon(open_request)
        await wait_for_event(fleet, "arrived", "held")
        cells = {name: cell for name, cell in CELL_MAP.cells.items() if name != "a"}
        await adopt(
            fleet, CELL_MAP.model_copy(update={"version": 2, "cells": cells, "tenants": {"two": "b"}})
        )
        assert (await fleet.send_request(runspool_tenant="one", runspool_mark="now")).status == 200
        assert engines_reached(fleet, "now") == {"e2", "e3"}
        await wait_for_event(fleet, "ran", "held")
        with anyio.fail_after(10):
            while "a" in fleet.front_server.front.cell_schedulers:
                await anyio.sleep(0.005)


@pytest.mark.anyio
async def test_a_cell_that_rejects_everything_overflows_to_the_reserve_and_recovers(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, ENGINE_TYPES, CELL_MAP).open() as fleet:
        fleet.engines[0].set_fault("row", row="full_503", share=1.0)
        overflow = fleet.front_server.front.cell_router.overflow_policy.state("a")
        number = 0
        with anyio.fail_after(30):
            while not fleet.recorded_events("ran", engine="e5"):
                number += 1
                await fleet.send_request(
                    runspool_tenant="one", runspool_limit_ms="300", runspool_mark=f"o{number}"
                )
            assert overflow.overflowing
            fleet.engines[0].set_fault("row", row="full_503", share=0.0)
            while overflow.overflowing:
                await fleet.send_request(runspool_tenant="one", runspool_mark=f"o{number}")
        assert not fleet.recorded_events("arrived", engine="e2") and not fleet.recorded_events(
            "arrived", engine="e3"
        )


@pytest.mark.anyio
async def test_a_request_that_crashes_engines_is_stopped_and_not_accepted_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def cancel_tasks(engine: StandInEngine) -> None:
        assert engine.tasks is not None
        engine.tasks.cancel_scope.cancel()

    monkeypatch.setattr(StandInEngine, "crash", cancel_tasks)
    cell_map = CELL_MAP.model_copy(update={"cells": {}, "reserve": None, "tenants": {}, "poison_after": 2})
    async with SmallFleet(tmp_path, ["prefill", *["decode"] * 4], cell_map).open() as fleet:
        response = await fleet.send_request(poison=True, runspool_tenant="one", runspool_mark="bad")
        assert (response.status, response.error["code"]) == (424, "poisonous")
        assert len(fleet.recorded_events("fell")) == 2  # of four decode engines
        repeated = await fleet.send_request(poison=True, runspool_tenant="one", runspool_mark="bad2")
        assert (repeated.status, repeated.error["code"]) == (424, "poisonous")
        assert engines_reached(fleet, "bad2") == set()
        assert (await fleet.send_request(prompt_tokens=60, runspool_tenant="one")).status == 200


@pytest.mark.anyio
async def test_a_reset_by_a_running_engine_does_not_count_as_a_crash_by_the_request(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, ["prefill", "decode", "decode"]).open() as fleet:
        for engine in fleet.engines[1:]:
            engine.set_fault("row", row="reset_after", share=0.7)
        for number in range(10):
            await fleet.send_request(runspool_mark=f"r{number}")
        assert not fleet.front_server.front.cell_router.poison_detector.losses
        assert fleet.front_server.front.counts["poisonous"] == 0
