"""A node with a fault built in, which the judge of a soak has to refuse: `-m tests.soak.sabotage RULE`."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any

from runspool.decisions.interface import Effect
from runspool.decisions.lifecycle import Lifecycle
from runspool.decisions.rules import Rules
from runspool.engines import exchange
from runspool.node import __main__ as program, calls, running
from runspool.node.releasing import Releases
from runspool.service.carrying import Carrying
from runspool.service.owed import Kind


def loses_refusals() -> None:
    """Never gives the answers that are no stream."""
    sound = Carrying._settle

    def settle(self: Any, taken: Any, final: Any) -> bool:
        return final.kind not in (Kind.DISMISSED, Kind.SCRAPPED) and sound(self, taken, final)

    Carrying._settle = settle  # type: ignore[method-assign]


def repeats_effects() -> None:
    """Takes every class for one that may be repeated."""
    sound = Rules.__init__

    def init(self: Rules, terms: Any, seed: int) -> None:
        for row in terms.tariffs:
            row.effect = Effect.RERUNNABLE
        sound(self, terms, seed)

    Rules.__init__ = init  # type: ignore[method-assign]
    Lifecycle.refuses_attempt = lambda *said: None  # type: ignore[method-assign]
    Lifecycle.refuses_refusal = lambda *said: None  # type: ignore[method-assign]


def hears_no_drains() -> None:
    """Keeps the list that it began with."""
    sound = Carrying.engines_changed
    heard: list[Any] = []

    def changed(self: Any, entries: Any) -> None:
        if not heard:
            sound(self, entries)
        heard.append(entries)

    Carrying.engines_changed = changed  # type: ignore[method-assign, assignment]


def lets_nothing_go() -> None:
    """Makes no call that lets go of what is held."""

    async def let_go(self: Releases, release: Any) -> None:
        self.withdraw(release.request)

    Releases.let_go = let_go  # type: ignore[method-assign]


def serves_who_has_gone() -> None:
    """Takes no notice of clients that leave."""
    Carrying.left = lambda *said: None  # type: ignore[method-assign]


def tells_long_deadlines() -> None:
    """Tells engines a second more than is left."""
    sound = calls._request
    calls._request = lambda ask, left: sound(ask, left + 10_000)


def changes_bodies() -> None:
    """Sends on what no client has sent, now and then."""
    sound = exchange.worded
    count = [0]

    def worded(method: str, target: str, headers: Any, body: bytes = b"") -> bytes:
        count[0] += 1
        body = body.replace(b"prompt", b"promqt") if count[0] % 20 == 0 else body
        return sound(method, target, headers, body)

    calls.worded = worded  # type: ignore[attr-defined]


def ends_by_itself() -> None:
    """Ends after some seconds."""
    sound = running.Running._client
    began = time.monotonic()

    async def client(self: Any, line: Any) -> None:
        if time.monotonic() - began > 3.0:
            os._exit(3)
        await sound(self, line)

    running.Running._client = client  # type: ignore[method-assign]


SABOTAGES: dict[str, Callable[[], None]] = {
    "lost": loses_refusals,
    "twice": repeats_effects,
    "drain": hears_no_drains,
    "held": lets_nothing_go,
    "gone": serves_who_has_gone,
    "deadline": tells_long_deadlines,
    "foreign": changes_bodies,
    "alive": ends_by_itself,
}

if __name__ == "__main__":
    SABOTAGES[sys.argv[1]]()
    sys.exit(program.main())
