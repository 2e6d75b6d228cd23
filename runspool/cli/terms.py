"""The commands `runspool terms`: validate and show a front's configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from runspool.config import FrontConfig, InvalidConfigError, load_config

EXIT_INVALID = 2  # exit status for an argument or a file that cannot be used

app = typer.Typer(no_args_is_help=True, help="Check and show the configuration of a front (Jsonnet).")

ConfigFile = Annotated[Path, typer.Argument(help="A Jsonnet file; it may import 'runspool.libsonnet'.")]
ExternalVariables = Annotated[
    list[str] | None,
    typer.Option("--var", help="External variable for std.extVar, as NAME=VALUE; may be repeated."),
]


def parse_external_variables(pairs: list[str] | None) -> dict[str, str]:
    """Return the external variables in a list of NAME=VALUE.

    Raises:
        typer.Exit: an item has no name or no "="; the exit status is 2.
    """
    variables = {}
    for pair in pairs or []:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            typer.echo(f"--var {pair}: must have the form NAME=VALUE", err=True)
            raise typer.Exit(EXIT_INVALID)
        variables[name] = value
    return variables


def load_config_or_exit(file: Path, pairs: list[str] | None) -> FrontConfig:
    """Return the validated configuration in a file.

    Args:
        file: the configuration file.
        pairs: external variables as NAME=VALUE.

    Raises:
        typer.Exit: the configuration is invalid; all errors are printed to standard error, and the exit
            status is 2.
    """
    try:
        return load_config(file, parse_external_variables(pairs))
    except InvalidConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID) from None


@app.command(epilog="Example: runspool terms check examples/house.jsonnet   (exit 0: valid, 2: invalid)")
def check(file: ConfigFile, var: ExternalVariables = None) -> None:
    """Print all errors in the configuration, each with its path, its value and what is allowed."""
    config = load_config_or_exit(file, var)
    typer.echo(
        f"{file}: valid; front {config.front.name}, {len(config.house.tariffs)} tariffs, "
        f"{len(config.house.kinds)} kinds"
    )


@app.command(epilog="Example: runspool terms show examples/house.jsonnet --var port=8081")
def show(file: ConfigFile, var: ExternalVariables = None) -> None:
    """Print the validated configuration as JSON."""
    typer.echo(json.dumps(load_config_or_exit(file, var).model_dump(), indent=2))
