"""Nodes that break one rule of the list's following, which the judge of a fleet has to notice."""

from __future__ import annotations

from collections.abc import Callable

from runspool.node import discovery_call_planner


def ask_often() -> None:
    """Ask an agent that does not answer ten times a second."""
    discovery_call_planner.MIN_SEARCH_INTERVAL = 1_000


SABOTAGE: dict[str, Callable[[], None]] = {"debt": ask_often}
