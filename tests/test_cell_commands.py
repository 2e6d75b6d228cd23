"""The command line for cells on real files: moves are planned, made, undone, finished and interrupted."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from runspool.cells import cell_store, tenant_migration
from runspool.cli.main import app
from runspool.discovery.snapshot import save_snapshot
from runspool.wire.endpoint_list import EndpointEntry
from tests.cell_maps import CELL_MAP, ENGINE_TYPES, map_with_move


@pytest.fixture
def front_config(tmp_path: Path) -> Path:
    """Return a front's configuration file, with a saved endpoint list in the same directory."""
    config_file = tmp_path / "front.jsonnet"
    config_file.write_text(f"""
        local r = import 'runspool.libsonnet';
        {{ house: r.house {{ fronts: 1, zones: ['z'], tariffs: {{ ask: r.tariff(1000, 4000, 50) }},
            tenants: {{ one: r.tenant(1), two: r.tenant(1) }},
            kinds: {{ prefill: r.reader(1000), decode: r.writer(1000) }} }},
          front: r.front('f', 'z', 0, r.list('127.0.0.1', 1)) {{
            memory_file: '{tmp_path}/list', cells_file: '{tmp_path}/cells.map' }} }}""")
    save_snapshot(
        tmp_path / "list",
        1,
        [
            EndpointEntry(f"e{index}", "127.0.0.1:1", ENGINE_TYPES[index], "z", index, "on")
            for index in range(6)
        ],
    )
    return config_file


def run_command(*arguments: object, code: int = 0) -> str:
    """Run a cells command, check its exit code and return its output."""
    result = CliRunner().invoke(app, ["cells", *map(str, arguments)])
    assert result.exit_code == code, result.output
    return result.output


def test_commands_plan_make_undo_and_finish_a_move(front_config: Path) -> None:
    source = front_config.with_name("map.jsonnet")
    source.write_text(json.dumps(CELL_MAP.model_dump()))
    file = front_config.with_name("cells.map")
    assert "no map yet" in run_command("show", front_config, code=1)
    run_command("adopt", front_config, source)
    assert not file.exists()  # a dry run
    run_command("adopt", front_config, source, "--yes")
    assert "spare (reserve)" in run_command("show", front_config)
    planned = run_command("plan", front_config, "one", "b")
    assert "tenant one: from a to b" in planned and "0 changes of engines in 6" in planned
    for arguments, reason in (
        (["nobody", "b"], "not in house.tenants"),
        (["one", "c"], "no cell c"),
        (["one", "a"], "already"),
        (["one", "spare"], "reserve"),
    ):
        assert reason in run_command("move", front_config, *arguments, "--yes", code=1)
    assert cell_store.load_map(file) == CELL_MAP
    run_command("move", front_config, "one", "b", "--yes")
    assert "already being moved" in run_command("move", front_config, "one", "b", "--yes", code=1)
    assert "under way" in run_command("adopt", front_config, source, "--yes", code=1)
    run_command("undo", front_config, "m-2", "--yes")
    assert "turned_back" in run_command("show", front_config)
    assert "no move m-9" in run_command("undo", front_config, "m-9", "--yes", code=1)
    run_command("move", front_config, "one", "b", "--starts-in-ms", "0", "--yes")
    run_command("finish", front_config, "m-4", "--yes")
    final_map = cell_store.load_map(file)
    assert final_map is not None and final_map.tenants["one"] == "b" and final_map.version == 5
    assert [change.description.split()[0] for change in cell_store.read_change_log(file)] == [
        "adopt",
        "move",
        "undo",
        "move",
        "finish",
    ]


def test_a_map_that_leaves_a_cell_without_a_role_is_rejected(front_config: Path) -> None:
    source = front_config.with_name("map.jsonnet")
    cells = {"a": {"engines": ["e0", "e2", "e4"]}, "b": {"engines": ["e1", "e3", "e5"]}}
    source.write_text(json.dumps({"version": 1, "way": "fixed", "cells": cells}))
    assert "0 of 1 writers" in run_command("adopt", front_config, source, "--yes", code=1)
    source.write_text(json.dumps({"version": 1, "way": "fixed", "cell": {}, "panic_under": 7}))
    output = run_command("adopt", front_config, source, "--yes", code=1)
    assert "cell: Extra inputs" in output and "panic_under" in output


@pytest.mark.parametrize("interrupted", ["file", "after the log"])
def test_an_interrupted_change_is_completed_by_recovery(interrupted: str, front_config: Path) -> None:
    file = front_config.with_name("cells.map")
    cell_store.record_change(file, "adopt", CELL_MAP, 1)
    changed_map = tenant_migration.plan_move(CELL_MAP, map_with_move().moves[0], [])
    if interrupted == "file":
        cell_store.record_change(file, "move", changed_map, 2)
        file.write_bytes(b"half a ma")
        assert cell_store.recover_map(file) == changed_map
    else:
        map_before = file.read_bytes()
        cell_store.record_change(file, "move", changed_map, 2)
        file.write_bytes(map_before)  # as if killed after the write of the log and before that of the map
        assert cell_store.recover_map(file) == changed_map == cell_store.load_map(file)
    # A log whose last line is damaged still yields the changes before it.
    log = cell_store.change_log_path(file)
    log.write_bytes(log.read_bytes()[:-9])
    assert [change.version for change in cell_store.read_change_log(file)] == [1]


def test_two_concurrent_commands_cannot_change_the_same_map(front_config: Path) -> None:
    file = front_config.with_name("cells.map")
    cell_store.record_change(file, "adopt", CELL_MAP, 1)
    with cell_store.lock_map(file):
        assert "another change" in run_command("move", front_config, "one", "b", "--yes", code=1)
    assert cell_store.load_map(file) == CELL_MAP
