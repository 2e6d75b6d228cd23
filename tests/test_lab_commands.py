"""The laboratory's sub-commands: the former names do what the new names do."""

from __future__ import annotations

import lzma
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from runspool.cli import lab
from runspool.lab.errors import ScenarioFailedError

FORMER_NAMES = {"run-scenario": "day", "replay-events": "retrace"}
RECORDED_EVENTS = sorted((Path(__file__).parent / "recorded" / "events").iterdir())


def invoke(command: str, *arguments: str) -> Result:
    return CliRunner().invoke(lab.app, [command, *arguments])


def both(command: str, *arguments: str) -> Result:
    """The result under the new name, after a check that the former name has the same."""
    new, former = invoke(command, *arguments), invoke(FORMER_NAMES[command], *arguments)
    assert (former.exit_code, former.stdout, former.stderr) == (new.exit_code, new.stdout, new.stderr)
    return new


class FailingRunner:
    """Takes the place of the scenario runner: notes what it is given and plays nothing."""

    given: list[tuple[str, int, Path, bool]]

    def __init__(self, plan: Any, folder: Path, record_events: bool, progress: Any) -> None:
        self.given.append((plan.name, plan.seed, folder, record_events))

    async def run(self) -> Path:
        raise ScenarioFailedError("front-0 does not listen")


@pytest.fixture
def given(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, int, Path, bool]]:
    monkeypatch.setattr(FailingRunner, "given", [], raising=False)
    monkeypatch.setattr(lab, "ScenarioRunner", FailingRunner)
    return FailingRunner.given


def test_only_the_new_names_are_listed() -> None:
    registered = {command.name: command.hidden for command in lab.app.registered_commands}
    for new, former in FORMER_NAMES.items():
        assert (registered[new], registered[former]) == (False, True)


@pytest.mark.parametrize("command", FORMER_NAMES)
def test_the_former_name_has_the_same_help(command: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("COLUMNS", "200")
    former = FORMER_NAMES[command]
    new_help, former_help = invoke(command, "--help"), invoke(former, "--help")
    assert (new_help.exit_code, former_help.exit_code) == (0, 0)
    new_words = [former if word == command else word for word in new_help.stdout.split()]
    assert former_help.stdout.split() == new_words
    assert f"lab {former} " in former_help.stdout


def test_a_scenario_is_played_with_the_same_options_under_both_names(
    given: list[tuple[str, int, Path, bool]], tmp_path: Path
) -> None:
    result = both("run-scenario", "quiet", "--seed", "7", "--out", str(tmp_path / "out"), "--tapes")
    assert (result.exit_code, result.stderr.strip()) == (3, "front-0 does not listen")
    assert given == [("quiet", 7, tmp_path / "out", True)] * 2


def test_the_options_have_the_same_defaults_under_both_names(
    given: list[tuple[str, int, Path, bool]], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    assert both("run-scenario", "bad-night").exit_code == 3
    assert given == [("bad-night", 1, Path("runspool-day"), False)] * 2


def test_an_unknown_scenario_is_refused_in_the_same_words() -> None:
    result = both("run-scenario", "no-such-day")
    assert (result.exit_code, result.stdout) == (2, "")
    assert result.stderr.startswith("there is no scenario 'no-such-day'; known are bad-night, quiet, ")


@pytest.mark.parametrize("recording", RECORDED_EVENTS, ids=lambda file: str(file.name))
def test_recorded_events_are_replayed_under_both_names(recording: Path, tmp_path: Path) -> None:
    events = tmp_path / "front-0.1.tape"
    lines = lzma.decompress(recording.read_bytes()).splitlines()
    events.write_bytes(b"\n".join(lines))
    same = both("replay-events", str(events))
    assert same.exit_code == 0
    assert same.stdout.startswith(f"{events}: ") and same.stdout.endswith(" actions, all identical\n")
    events.write_bytes(b"\n".join([lines[0], *lines[2:]]))
    other = both("replay-events", str(events))
    assert other.exit_code == 1
    assert other.stdout.startswith(f"{events}:2: ")


def test_files_without_recorded_events_have_the_same_results_under_both_names(tmp_path: Path) -> None:
    assert both("replay-events", str(tmp_path / "none")).exit_code == 2
    empty = tmp_path / "empty.tape"
    empty.write_bytes(b"")
    result = both("replay-events", str(empty))
    assert (result.exit_code, result.stdout) == (0, f"{empty}: no events, nothing compared\n")
