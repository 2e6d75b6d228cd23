"""Cells in a real front on real sockets, and the operators' commands on real files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import pytest
from typer.testing import CliRunner

from runspool.cells import cell_store as book
from runspool.cells import tenant_migration as moving
from runspool.cells.cell_map import CellMap, Move
from runspool.cli.main import app
from runspool.discovery.snapshot import save_snapshot
from runspool.lab.engine import StandInEngine
from runspool.service.front_server import FrontServer
from tests.small_fleet import SmallFleet

KINDS = ["prefill", "decode", "prefill", "decode", "prefill", "decode"]
CHART = CellMap.model_validate(
    {
        "version": 1,
        "way": "fixed",
        "reserve": "spare",
        "tenants": {"one": "a", "two": "b"},
        "cells": {
            "a": {"engines": ["e0", "e1"]},
            "b": {"engines": ["e2", "e3"]},
            "spare": {"engines": ["e4", "e5"]},
        },
        "overflow": {"from_turned_away": 0.3, "until_turned_away": 0.1, "settle_ms": 10.0},
    }
)


def moved(start: int = 1, **said: Any) -> CellMap:
    move = Move(id="m", tenant="one", source="a", target="b", starts_unix_ms=start, **said)
    return CHART.model_copy(update={"version": 2, "moves": [move]})


async def adopted(town: SmallFleet, chart: CellMap) -> None:
    book.write_checked(town.map_file, book.encode_map(chart))
    with anyio.fail_after(10):
        while town.running.front.cell_router.cell_map.version < chart.version:
            await anyio.sleep(0.005)


async def until(town: SmallFleet, what: str, mark: str) -> None:
    said: dict[str, Any] = {"try": mark}
    await town.until(what, **said)


def engines_of(town: SmallFleet, mark: str) -> set[str]:
    return {str(event["engine"]) for event in town.seen("arrived", **{"try": mark})}


@pytest.mark.anyio
async def test_each_tenant_is_served_in_its_cell_alone(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town:
        for number in range(6):
            for tenant, there in (("one", {"e0", "e1"}), ("two", {"e2", "e3"})):
                mark = f"{tenant}{number}"
                assert (await town.ask(runspool_tenant=tenant, runspool_mark=mark)).status == 200
                assert engines_of(town, mark) == there


@pytest.mark.anyio
async def test_a_flooded_cell_sheds_its_own(tmp_path: Path) -> None:
    chart = CHART.model_copy(update={"reserve": None, "tenants": {"one": "a", "two": "b"}})
    async with (
        SmallFleet(tmp_path, KINDS, chart, queries=20).open() as town,
        anyio.create_task_group() as tasks,
    ):
        said: list[str] = []

        async def flood(number: int) -> None:
            answer = await town.ask(out=400, runspool_tenant="one", runspool_mark=f"f{number}")
            said.append(answer.error["code"] if answer.status == 503 else "")

        for number in range(40):
            tasks.start_soon(flood, number)
        with anyio.fail_after(10):
            while said.count("cell_full") < 10:
                await anyio.sleep(0.005)
        held = town.running.front.cell_router.request_budget.used
        assert held["a"] <= 20 - 2 * town.running.front.cell_router.request_budget.guarantee("b")
        assert (await town.ask(runspool_tenant="two")).status == 200
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_move_sends_new_queries_to_the_new_cell_and_leaves_the_old_ones(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town, anyio.create_task_group() as tasks:

        async def long_one() -> None:
            answer = await town.ask("book", out=60, runspool_tenant="one", runspool_mark="old")
            assert answer.status == 200

        tasks.start_soon(long_one)
        await until(town, "arrived", "old")
        await adopted(town, moved())
        assert (await town.ask(runspool_tenant="one", runspool_mark="new")).status == 200
        assert engines_of(town, "new") == {"e2", "e3"}
        moves = town.running.front.cells()["moves"]
        assert [(one["stage"], one["out"]) for one in moves] in ([("settling", 1)], [("settled", 0)])
        await until(town, "ran", "old")
        await adopted(
            town,
            moved().model_copy(
                update={"version": 3, "moves": [moved(step="turned_back", turned_unix_ms=2).moves[0]]}
            ),
        )
        assert (await town.ask(runspool_tenant="one", runspool_mark="back")).status == 200
        assert engines_of(town, "back") == {"e0", "e1"}
    assert engines_of(town, "old") == {"e0", "e1"}


@pytest.mark.anyio
async def test_a_later_try_of_a_ticket_goes_where_it_was_seen_or_nowhere(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town:
        ask: dict[str, Any] = {"runspool_tenant": "one", "runspool_ticket": "t1"}
        other = ask | {"runspool_ticket": "t2"}
        assert (await town.ask("mark", runspool_mark="first", **ask)).status == 200
        await adopted(town, moved())
        again = await town.ask("mark", runspool_mark="again", runspool_try="2", **ask)
        assert (again.status, engines_of(town, "again")) == (200, {"e0", "e1"})
        strange = await town.ask("mark", runspool_mark="strange", runspool_try="2", **other)
        assert (strange.status, strange.error["code"]) == (424, "unsure")
        assert engines_of(town, "strange") == set()


@pytest.mark.anyio
async def test_a_restarted_front_knows_since_when_its_tenants_moved(tmp_path: Path) -> None:
    town = SmallFleet(tmp_path, KINDS, CHART)
    async with town.open():
        await adopted(town, moved())
        at = town.running.front.cell_router.adopted_unix_ms
    again = FrontServer(town.running.config)
    assert again.front.cell_router.cell_map == moved()
    assert again.front.cell_router.migrations.adopted_unix_ms == at
    # A damaged memory of it counts as a map taken just now, so that no ticket is trusted too early.
    (tmp_path / "front-0.list.cells").write_bytes(b"torn")
    torn = FrontServer(town.running.config)
    assert torn.front.cell_router.cell_map == moved()
    assert torn.front.cell_router.adopted_unix_ms > at


@pytest.mark.anyio
async def test_a_torn_or_older_map_changes_nothing(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town:
        await adopted(town, moved())
        maps = town.running.cell_map_watcher
        assert maps is not None
        for raw in (b"torn", b"%08x\n{}" % 0):
            town.map_file.write_bytes(raw)
            before = maps.last_file_version
            with anyio.fail_after(10):
                while maps.last_file_version == before:
                    await anyio.sleep(0.005)
        book.write_checked(town.map_file, book.encode_map(CHART))
        assert (await town.ask(runspool_tenant="one", runspool_mark="q")).status == 200
        assert town.running.front.cell_router.cell_map.version == 2


@pytest.mark.anyio
async def test_a_cell_that_vanishes_ends_what_it_holds(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town, anyio.create_task_group() as tasks:

        async def held() -> None:
            assert (await town.ask(out=60, runspool_tenant="one", runspool_mark="held")).status == 200

        tasks.start_soon(held)
        await until(town, "arrived", "held")
        cells = {name: cell for name, cell in CHART.cells.items() if name != "a"}
        await adopted(town, CHART.model_copy(update={"version": 2, "cells": cells, "tenants": {"two": "b"}}))
        assert (await town.ask(runspool_tenant="one", runspool_mark="now")).status == 200
        assert engines_of(town, "now") == {"e2", "e3"}
        await until(town, "ran", "held")
        with anyio.fail_after(10):
            while "a" in town.running.front.cell_schedulers:
                await anyio.sleep(0.005)


@pytest.mark.anyio
async def test_a_cell_that_turns_all_away_overflows_into_the_reserve_and_comes_back(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, KINDS, CHART).open() as town:
        town.engines[0].fault("row", row="full_503", share=1.0)
        standing = town.running.front.cell_router.overflow_policy.state("a")
        number = 0
        with anyio.fail_after(30):
            while not town.seen("ran", engine="e5"):
                number += 1
                await town.ask(runspool_tenant="one", runspool_limit_ms="300", runspool_mark=f"o{number}")
            assert standing.overflowing
            town.engines[0].fault("row", row="full_503", share=0.0)
            while standing.overflowing:
                await town.ask(runspool_tenant="one", runspool_mark=f"o{number}")
        assert not town.seen("arrived", engine="e2") and not town.seen("arrived", engine="e3")


@pytest.mark.anyio
async def test_a_query_that_brings_engines_down_is_stopped_and_not_taken_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fall(engine: StandInEngine) -> None:
        assert engine.tasks is not None
        engine.tasks.cancel_scope.cancel()

    monkeypatch.setattr(StandInEngine, "crash", fall)
    chart = CHART.model_copy(update={"cells": {}, "reserve": None, "tenants": {}, "poison_after": 2})
    async with SmallFleet(tmp_path, ["prefill", *["decode"] * 4], chart).open() as town:
        answer = await town.ask(poison=True, runspool_tenant="one", runspool_mark="bad")
        assert (answer.status, answer.error["code"]) == (424, "poisonous")
        assert len(town.seen("fell")) == 2  # of four
        again = await town.ask(poison=True, runspool_tenant="one", runspool_mark="bad2")
        assert (again.status, again.error["code"]) == (424, "poisonous")
        assert engines_of(town, "bad2") == set()
        assert (await town.ask(tokens=60, runspool_tenant="one")).status == 200


@pytest.mark.anyio
async def test_a_reset_by_an_engine_that_lives_is_not_held_against_the_query(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        for one in town.engines[1:]:
            one.fault("row", row="reset_after", share=0.7)
        for number in range(10):
            await town.ask(runspool_mark=f"r{number}")
        assert not town.running.front.cell_router.poison_detector.losses
        assert town.running.front.counts["poisonous"] == 0


# The commands.


@pytest.fixture
def front(tmp_path: Path) -> Path:
    """A front's terms, with a last list of engines beside them."""
    terms = tmp_path / "front.jsonnet"
    terms.write_text(f"""
        local r = import 'runspool.libsonnet';
        {{ house: r.house {{ fronts: 1, zones: ['z'], tariffs: {{ ask: r.tariff(1000, 4000, 50) }},
            tenants: {{ one: r.tenant(1), two: r.tenant(1) }},
            kinds: {{ prefill: r.reader(1000), decode: r.writer(1000) }} }},
          front: r.front('f', 'z', 0, r.list('127.0.0.1', 1)) {{
            memory_file: '{tmp_path}/list', cells_file: '{tmp_path}/cells.map' }} }}""")
    from runspool.wire.endpoint_list import EndpointEntry

    save_snapshot(
        tmp_path / "list",
        1,
        [EndpointEntry(f"e{at}", "127.0.0.1:1", KINDS[at], "z", at, "on") for at in range(6)],
    )
    return terms


def run(*said: object, code: int = 0) -> str:
    done = CliRunner().invoke(app, ["cells", *map(str, said)])
    assert done.exit_code == code, done.output
    return done.output


def test_commands_plan_make_undo_and_finish_a_move(front: Path) -> None:
    source = front.with_name("map.jsonnet")
    source.write_text(json.dumps(CHART.model_dump()))
    file = front.with_name("cells.map")
    assert "no map yet" in run("show", front, code=1)
    run("adopt", front, source)
    assert not file.exists()  # a dry run
    run("adopt", front, source, "--yes")
    assert "spare (reserve)" in run("show", front)
    planned = run("plan", front, "one", "b")
    assert "tenant one: from a to b" in planned and "0 changes of engines in 6" in planned
    for wrong, why in (
        (["nobody", "b"], "none of the house"),
        (["one", "c"], "no cell c"),
        (["one", "a"], "already"),
        (["one", "spare"], "reserve"),
    ):
        assert why in run("move", front, *wrong, "--yes", code=1)
    assert book.load_map(file) == CHART
    run("move", front, "one", "b", "--yes")
    assert "already being moved" in run("move", front, "one", "b", "--yes", code=1)
    assert "under way" in run("adopt", front, source, "--yes", code=1)
    run("undo", front, "m-2", "--yes")
    assert "turned_back" in run("show", front)
    assert "no move m-9" in run("undo", front, "m-9", "--yes", code=1)
    run("move", front, "one", "b", "--starts-in-ms", "0", "--yes")
    run("finish", front, "m-4", "--yes")
    last = book.load_map(file)
    assert last is not None and last.tenants["one"] == "b" and last.version == 5
    assert [one.description.split()[0] for one in book.read_changes(file)] == [
        "adopt",
        "move",
        "undo",
        "move",
        "finish",
    ]


def test_a_map_that_would_leave_a_cell_without_a_role_is_refused(front: Path) -> None:
    source = front.with_name("map.jsonnet")
    cells = {"a": {"engines": ["e0", "e2", "e4"]}, "b": {"engines": ["e1", "e3", "e5"]}}
    source.write_text(json.dumps({"version": 1, "way": "fixed", "cells": cells}))
    assert "0 of 1 writers" in run("adopt", front, source, "--yes", code=1)
    source.write_text(json.dumps({"version": 1, "way": "fixed", "cell": {}, "panic_under": 7}))
    said = run("adopt", front, source, "--yes", code=1)
    assert "cell: Extra inputs" in said and "panic_under" in said


@pytest.mark.parametrize("torn", ["file", "after the log"])
def test_a_change_killed_half_way_is_finished_or_never_was(torn: str, front: Path) -> None:
    file = front.with_name("cells.map")
    book.record_change(file, "adopt", CHART, 1)
    after = moving.plan_move(CHART, moved().moves[0], [])
    if torn == "file":
        book.record_change(file, "move", after, 2)
        file.write_bytes(b"half a ma")
        assert book.recover_map(file) == after
    else:
        before = file.read_bytes()
        book.record_change(file, "move", after, 2)
        file.write_bytes(before)  # killed between log and file
        assert book.recover_map(file) == after == book.load_map(file)
    # A log whose last line is torn tells of the changes before it.
    log = book.log_path(file)
    log.write_bytes(log.read_bytes()[:-9])
    assert [one.version for one in book.read_changes(file)] == [1]


def test_two_operators_cannot_change_one_map_at_once(front: Path) -> None:
    file = front.with_name("cells.map")
    book.record_change(file, "adopt", CHART, 1)
    with book.exclusive_change(file):
        assert "another change" in run("move", front, "one", "b", "--yes", code=1)
    assert book.load_map(file) == CHART
