"""Idle timeouts that are checked periodically instead of by one timer per token.

Setting and cancelling a timer for each token took a third of the time spent on forwarding the token, and a
timeout of several seconds does not need that precision. A waiting task stores the time at which its wait
began, and a periodic check cancels the waits that have exceeded their timeout.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

CHECK_INTERVAL = 0.1  # seconds between two checks; a timeout may be detected this much late


@dataclass(slots=True, eq=False)
class WatchedWait:
    """The idle timeout of one task, which waits for its peer repeatedly.

    Attributes:
        timeout: Maximum duration of one wait, in tenths of a millisecond.
        on_timeout: Called when a wait has exceeded the timeout.
        waiting_since: Time at which the current wait began, in tenths of a millisecond; 0 between waits.
        timed_out: Set before `on_timeout` is called.
    """

    timeout: int
    on_timeout: Callable[[], None]
    waiting_since: int = 0
    timed_out: bool = False


class IdleWatchdog:
    """Calls `on_timeout` once for each wait that exceeds its timeout; times in tenths of a millisecond."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.watched: set[WatchedWait] = set()

    def watch(self, timeout: int, on_timeout: Callable[[], None]) -> WatchedWait:
        """Start a watch; the caller must pass the result to unwatch() in all cases."""
        wait = WatchedWait(timeout, on_timeout)
        self.watched.add(wait)
        return wait

    def unwatch(self, wait: WatchedWait) -> None:
        """End a watch; has no effect if the wait has timed out."""
        self.watched.discard(wait)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Time out every wait that has exceeded its timeout."""
        now = self.now()
        overdue = [
            wait for wait in self.watched if wait.waiting_since and now - wait.waiting_since > wait.timeout
        ]
        for wait in overdue:
            wait.timed_out = True
            self.unwatch(wait)
            wait.on_timeout()
