"""`runspool lab`: stand-ins, days, audits."""

from __future__ import annotations

import typer

app = typer.Typer(no_args_is_help=True, help="The laboratory: stand-ins on loopback, scripted days, audits.")
