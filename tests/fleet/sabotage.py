"""Nodes that break one rule of the list's following, which the judge of a fleet has to notice."""

from __future__ import annotations

from collections.abc import Callable

from runspool.node import backup_watch
from tests.soak.sabotage import ask_often, ask_without_pause


def hold_one_watch() -> None:
    """Hold no backup watch after an interruption."""
    backup_watch.WAITS = ()


SABOTAGE: dict[str, Callable[[], None]] = {
    "debt": ask_often,
    "calls": ask_without_pause,
    "told": hold_one_watch,
}
