"""The laboratory's subcommands: each behaves in the same way under its former name."""

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
    """Run a laboratory subcommand."""
    return CliRunner().invoke(lab.app, [command, *arguments])


def invoke_under_both_names(command: str, *arguments: str) -> Result:
    """Return the result under the new name; check that the former name yields the same."""
    new, former = invoke(command, *arguments), invoke(FORMER_NAMES[command], *arguments)
    assert (former.exit_code, former.stdout, former.stderr) == (new.exit_code, new.stdout, new.stderr)
    return new


class FailingRunner:
    """A scenario runner that records its arguments and fails without running anything."""

    runner_arguments: list[tuple[str, int, Path, bool]]

    def __init__(self, plan: Any, folder: Path, record_events: bool, progress: Any) -> None:
        self.runner_arguments.append((plan.name, plan.seed, folder, record_events))

    async def run(self) -> Path:
        raise ScenarioFailedError("front-0 does not listen")


@pytest.fixture
def runner_arguments(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, int, Path, bool]]:
    """Replace the scenario runner; return the list of the arguments that the replacement gets."""
    monkeypatch.setattr(FailingRunner, "runner_arguments", [], raising=False)
    monkeypatch.setattr(lab, "ScenarioRunner", FailingRunner)
    return FailingRunner.runner_arguments


def test_former_names_are_hidden_from_the_help() -> None:
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


def test_a_scenario_runs_with_the_same_options_under_both_names(
    runner_arguments: list[tuple[str, int, Path, bool]], tmp_path: Path
) -> None:
    result = invoke_under_both_names(
        "run-scenario", "quiet", "--seed", "7", "--out", str(tmp_path / "out"), "--tapes"
    )
    assert (result.exit_code, result.stderr.strip()) == (3, "front-0 does not listen")
    assert runner_arguments == [("quiet", 7, tmp_path / "out", True)] * 2


def test_the_options_have_the_same_defaults_under_both_names(
    runner_arguments: list[tuple[str, int, Path, bool]], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    assert invoke_under_both_names("run-scenario", "bad-night").exit_code == 3
    assert runner_arguments == [("bad-night", 1, Path("runspool-day"), False)] * 2


def test_an_unknown_scenario_is_rejected_with_the_same_message() -> None:
    result = invoke_under_both_names("run-scenario", "no-such-day")
    assert (result.exit_code, result.stdout) == (2, "")
    assert result.stderr.startswith("there is no scenario 'no-such-day'; known are bad-night, quiet, ")


@pytest.mark.parametrize("recording", RECORDED_EVENTS, ids=lambda file: str(file.name))
def test_recorded_events_are_replayed_under_both_names(recording: Path, tmp_path: Path) -> None:
    events = tmp_path / "front-0.1.tape"
    lines = lzma.decompress(recording.read_bytes()).splitlines()
    events.write_bytes(b"\n".join(lines))
    same = invoke_under_both_names("replay-events", str(events))
    assert same.exit_code == 0
    assert same.stdout.startswith(f"{events}: ") and same.stdout.endswith(" actions, all identical\n")
    events.write_bytes(b"\n".join([lines[0], *lines[2:]]))
    other = invoke_under_both_names("replay-events", str(events))
    assert other.exit_code == 1
    assert other.stdout.startswith(f"{events}:2: ")


def test_files_without_recorded_events_have_the_same_results_under_both_names(tmp_path: Path) -> None:
    assert invoke_under_both_names("replay-events", str(tmp_path / "none")).exit_code == 2
    empty = tmp_path / "empty.tape"
    empty.write_bytes(b"")
    result = invoke_under_both_names("replay-events", str(empty))
    assert (result.exit_code, result.stdout) == (0, f"{empty}: no events, nothing compared\n")
