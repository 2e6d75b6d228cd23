"""Modifications of a node that make it violate one rule, to test that the check of a trial detects it."""

from __future__ import annotations

from collections.abc import Callable

from runspool.node import backup_watch
from tests.soak.sabotage import ask_often, ask_without_pause


def hold_one_watch() -> None:
    """Make no backup watches after an interruption."""
    backup_watch.WAITS = ()


SABOTAGE: dict[str, Callable[[], None]] = {
    "debt": ask_often,
    "calls": ask_without_pause,
    "told": hold_one_watch,
}
