"""Idle timeouts that are checked periodically, instead of a timer for each token.

Setting and cancelling a timer for every token took a third of the time that forwarding a token took, and a
timeout of seconds does not need that precision. A waiting task notes when its wait began; waits that are
found past their timeout at a check are cancelled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

CHECK_INTERVAL = 0.1  # seconds between checks: a timeout is kept to within this


@dataclass(slots=True, eq=False)
class WatchedWait:
    """A task's waits for its peer, one after another.

    `timeout` and `waiting_since` are in tenths of a millisecond; `waiting_since` is the time at which the
    current wait began, 0 while there is none. `timed_out` is set before `on_timeout` is called.
    """

    timeout: int
    on_timeout: Callable[[], None]
    waiting_since: int = 0
    timed_out: bool = False


class IdleWatchdog:
    """Calls `on_timeout`, once, for each wait past its timeout; times in tenths of a millisecond."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.watched: set[WatchedWait] = set()

    def watch(self, timeout: int, on_timeout: Callable[[], None]) -> WatchedWait:
        """Start watching; the caller must pass the result to unwatch(), whatever happens in between."""
        wait = WatchedWait(timeout, on_timeout)
        self.watched.add(wait)
        return wait

    def unwatch(self, wait: WatchedWait) -> None:
        """Stop watching; no effect for a wait that has timed out."""
        self.watched.discard(wait)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Time out every wait that has lasted longer than its timeout."""
        now = self.now()
        overdue = [
            wait for wait in self.watched if wait.waiting_since and now - wait.waiting_since > wait.timeout
        ]
        for wait in overdue:
            wait.timed_out = True
            self.unwatch(wait)
            wait.on_timeout()
