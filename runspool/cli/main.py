"""`runspool`: the sub-commands."""

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
LOOP = {"use_uvloop": True}

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
    tape: Annotated[Path | None, typer.Option(help="Record what the decisions hear and ask, here.")] = None,
) -> None:
    """Run one front until SIGTERM. Logs are JSON lines on standard error."""
    checked = terms_commands.load_or_exit(file, var)
    start_logs(checked.front.log_level)
    try:
        anyio.run(partial(run_front, checked, tape, seed), backend_options=LOOP)
    except* OSError as faults:
        typer.echo(f"front {checked.front.name}: {faults.exceptions[0]}", err=True)
        raise typer.Exit(3) from None


def run() -> None:
    """The entry point."""
    try:
        from runspool.cli import lab
    except ImportError as fault:
        if str(fault.name).partition(".")[0] not in {"xxhash", "jinja2", "hdrh", "numpy"}:
            raise
        # Without the extra [lab] the front runs all the same.
    else:
        app.add_typer(lab.app, name="lab")
    app(prog_name="runspool")


if __name__ == "__main__":
    run()
