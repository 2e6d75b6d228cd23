"""`runspool terms`: checks and shows a front's configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from runspool.config import FrontConfig, InvalidConfigError, load_config

EXIT_INVALID = 2  # an argument or a file that cannot be used

app = typer.Typer(no_args_is_help=True, help="Check and show terms files (Jsonnet).")

ConfigFile = Annotated[Path, typer.Argument(help="A Jsonnet file; `import 'runspool.libsonnet'` is found.")]
ExternalVariables = Annotated[
    list[str] | None, typer.Option("--var", help="NAME=VALUE for std.extVar, may be repeated.")
]


def external_variables(pairs: list[str] | None) -> dict[str, str]:
    """Return external variables given as NAME=VALUE; exit 2 for one without a value."""
    variables = {}
    for pair in pairs or []:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            typer.echo(f"--var {pair}: NAME=VALUE is wanted", err=True)
            raise typer.Exit(EXIT_INVALID)
        variables[name] = value
    return variables


def load_or_exit(file: Path, pairs: list[str] | None) -> FrontConfig:
    """Return the checked configuration, or print every fault on standard error and exit 2."""
    try:
        return load_config(file, external_variables(pairs))
    except InvalidConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID) from None


@app.command(epilog="Example: runspool terms check examples/house.jsonnet   (exit 0: good, 2: faults)")
def check(file: ConfigFile, var: ExternalVariables = None) -> None:
    """Print every fault at once: its path, its value, what is allowed."""
    config = load_or_exit(file, var)
    typer.echo(
        f"{file}: good; front {config.front.name}, {len(config.house.tariffs)} tariffs, "
        f"{len(config.house.kinds)} kinds"
    )


@app.command(epilog="Example: runspool terms show examples/house.jsonnet --var port=8081")
def show(file: ConfigFile, var: ExternalVariables = None) -> None:
    """Print the checked terms as JSON."""
    typer.echo(json.dumps(load_or_exit(file, var).model_dump(), indent=2))
