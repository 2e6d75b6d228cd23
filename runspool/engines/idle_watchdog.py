"""Idle timeouts that are checked together instead of by one timer per token.

Setting and cancelling a timer for each token took a third of the time spent on forwarding the token. A
waiting task stores the time at which its wait began. One task sleeps until the earliest of these waits may
have exceeded its timeout, and cancels those that have.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from runspool.units import TENTHS_PER_SECOND

# Longest time between two checks, in seconds. A timeout of less may be detected late by this.
CHECK_INTERVAL = 0.1
# Shortest time between two checks, in seconds; a timeout is detected this much late at the most.
MIN_CHECK_INTERVAL = 0.005


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
            await anyio.sleep(self.seconds_until_check())
            self.check()

    def seconds_until_check(self) -> float:
        """Return the time until the next check is due, in seconds."""
        due_at = min(
            (wait.waiting_since + wait.timeout for wait in self.watched if wait.waiting_since),
            default=None,
        )
        if due_at is None:
            return CHECK_INTERVAL
        return min(CHECK_INTERVAL, max(MIN_CHECK_INTERVAL, (due_at - self.now()) / TENTHS_PER_SECOND))

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
