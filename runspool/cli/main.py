"""The entry point of the command `runspool`, which registers its subcommands."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import typer

from runspool.cli import cells as cells_commands
from runspool.cli import terms as terms_commands
from runspool.logs import configure_logging
from runspool.service.front_server import run_front

# In the benchmark of a front, uvloop needed a sixth less CPU time than the standard library's event loop.
EVENT_LOOP_OPTIONS = {"use_uvloop": True}

EXIT_ADDRESS_UNAVAILABLE = 3

# The packages that the extra [lab] installs. Without them, the subcommand `lab` is not available.
LAB_PACKAGES = frozenset({"xxhash", "jinja2", "hdrh", "numpy"})

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A router for language-model serving with prefill and decode on separate engines.",
)
app.add_typer(terms_commands.app, name="terms")
app.add_typer(cells_commands.app, name="cells")


@app.command(
    epilog="Example: runspool front examples/house.jsonnet   (exit 0: shut down after SIGTERM, "
    "2: invalid configuration, 3: address not available)"
)
def front(
    file: terms_commands.ConfigFile,
    var: terms_commands.ExternalVariables = None,
    seed: Annotated[
        int | None, typer.Option(help="Seed of the random number generators; overrides the configuration.")
    ] = None,
    recording: Annotated[
        Path | None, typer.Option("--tape", help="File to record the scheduler's events and actions in.")
    ] = None,
) -> None:
    """Run one front until SIGTERM. Write logs as JSON lines to standard error."""
    config = terms_commands.load_config_or_exit(file, var)
    configure_logging(config.front.log_level)
    try:
        anyio.run(partial(run_front, config, recording, seed), backend_options=EVENT_LOOP_OPTIONS)
    except* OSError as errors:
        typer.echo(f"front {config.front.name}: {errors.exceptions[0]}", err=True)
        raise typer.Exit(EXIT_ADDRESS_UNAVAILABLE) from None


def run() -> None:
    """Run the command line, with the subcommand `lab` if its packages are installed."""
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
