"""Errors of the laboratory that concern a whole scenario."""

from __future__ import annotations

from runspool.errors import RunspoolError


class ScenarioFailedError(RunspoolError):
    """A scenario could not be played; the message names the process and what went wrong."""
