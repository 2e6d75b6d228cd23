"""Error messages and exit codes of the command line."""

from __future__ import annotations

from pathlib import Path

import msgspec
from typer.testing import CliRunner

from runspool.cli.lab import app as lab
from runspool.cli.main import app

EXAMPLE = Path(__file__).parents[1] / "examples" / "house.jsonnet"
EXIT_INVALID_INPUT = 2


def test_invalid_input_is_reported_with_its_exit_code(tmp_path: Path) -> None:
    runner = CliRunner()
    example = str(EXAMPLE)
    assert runner.invoke(app, ["terms", "check", example]).exit_code == 0
    shown = runner.invoke(app, ["terms", "show", example])
    assert msgspec.json.decode(shown.stdout)["front"]["name"] == "front-a"
    malformed = tmp_path / "bad.jsonnet"
    malformed.write_text("{ house: 1 }")
    checked = runner.invoke(app, ["terms", "check", str(malformed)])
    assert (checked.exit_code, "house" in checked.output, "front" in checked.output) == (
        EXIT_INVALID_INPUT,
        True,
        True,
    )
    assert runner.invoke(app, ["front", str(malformed)]).exit_code == EXIT_INVALID_INPUT
    assert runner.invoke(app, ["terms", "check", example, "--var", "x"]).exit_code == EXIT_INVALID_INPUT
    assert runner.invoke(lab, ["day", "no-such-day"]).exit_code == EXIT_INVALID_INPUT
    assert runner.invoke(lab, ["audit", str(tmp_path)]).exit_code == EXIT_INVALID_INPUT
    assert runner.invoke(lab, ["replay", str(malformed)]).exit_code == EXIT_INVALID_INPUT
    assert runner.invoke(lab, ["retrace", str(tmp_path / "none")]).exit_code == EXIT_INVALID_INPUT
