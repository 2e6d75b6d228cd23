"""Errors that end the run of a scenario."""

from __future__ import annotations

from runspool.errors import RunspoolError


class ScenarioFailedError(RunspoolError):
    """A scenario could not be run to its end; the message states what failed, and in which process."""
