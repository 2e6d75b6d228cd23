"""One look now and then at all that may fall silent, instead of a timer for each token.

A timer set and cancelled for every token was a third of what passing a token on cost; a bound of seconds
needs no such care. Whoever waits notes since when; what has waited too long at a look is cancelled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

CHECK_INTERVAL = 0.1  # seconds between looks: a bound is kept to within this


@dataclass(slots=True, eq=False)
class WatchedWait:
    """Something that waits for a peer. `since` is the time the wait began, 0 while nothing is waited for."""

    timeout: int
    on_timeout: Callable[[], None]
    waiting_since: int = 0
    timed_out: bool = False


class IdleWatchdog:
    """Calls `out`, once, for what has waited past its patience; times in tenths of a millisecond."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.watched: set[WatchedWait] = set()

    def watch(self, patience: int, out: Callable[[], None]) -> WatchedWait:
        """To be handed back to forget(), whatever happens between."""
        one = WatchedWait(patience, out)
        self.watched.add(one)
        return one

    def unwatch(self, one: WatchedWait) -> None:
        self.watched.discard(one)

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        at = self.now()
        for one in [
            one for one in self.watched if one.waiting_since and at - one.waiting_since > one.timeout
        ]:
            one.timed_out = True
            self.unwatch(one)
            one.on_timeout()
