"""The command `runspool`: its sub-commands and its entry point."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import typer

from runspool.cli import cells as cells_commands
from runspool.cli import terms as terms_commands
from runspool.logs import start_logs
from runspool.service.front_server import run_front

# Measured on the benchmark of a front: a sixth less CPU than with the loop of the standard library.
EVENT_LOOP_OPTIONS = {"use_uvloop": True}

EXIT_ADDRESS_UNAVAILABLE = 3

# What the extra [lab] installs; without it there is no sub-command `lab`.
LAB_PACKAGES = frozenset({"xxhash", "jinja2", "hdrh", "numpy"})

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A router for language-model serving with readers and writers on separate engines.",
)
app.add_typer(terms_commands.app, name="terms")
app.add_typer(cells_commands.app, name="cells")


@app.command(
    epilog="Example: runspool front examples/house.jsonnet   (exit 0: stopped in order, "
    "2: bad terms, 3: address not to be had)"
)
def front(
    file: terms_commands.ConfigFile,
    var: terms_commands.ExternalVariables = None,
    seed: Annotated[int | None, typer.Option(help="Seed of its chance, in place of the terms'.")] = None,
    recording: Annotated[
        Path | None, typer.Option("--tape", help="Record what the decisions hear and ask, here.")
    ] = None,
) -> None:
    """Run one front until SIGTERM. Logs are JSON lines on standard error."""
    config = terms_commands.load_or_exit(file, var)
    start_logs(config.front.log_level)
    try:
        anyio.run(partial(run_front, config, recording, seed), backend_options=EVENT_LOOP_OPTIONS)
    except* OSError as errors:
        typer.echo(f"front {config.front.name}: {errors.exceptions[0]}", err=True)
        raise typer.Exit(EXIT_ADDRESS_UNAVAILABLE) from None


def run() -> None:
    """Run the command line; the sub-command `lab` is there where its packages are installed."""
    try:
        from runspool.cli import lab
    except ImportError as error:
        package = str(error.name).partition(".")[0]
        if package not in LAB_PACKAGES:
            raise
    else:
        app.add_typer(lab.app, name="lab")
    app(prog_name="runspool")


if __name__ == "__main__":
    run()
