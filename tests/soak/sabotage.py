"""A node with a fault built in, which the judge of a soak has to refuse: `-m tests.soak.sabotage RULE`."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any

from runspool.engines import http_exchange as exchange
from runspool.node import __main__ as program
from runspool.node import engine_client as calls
from runspool.node.client_connections import ClientConnections
from runspool.node.state_releaser import StateReleaser
from runspool.scheduling.request_lifecycle import RequestLifecycle
from runspool.scheduling.scheduler import Scheduler
from runspool.scheduling.types import Idempotency
from runspool.service.pending_request import ResponseKind
from runspool.service.request_executor import RequestExecutor


def loses_refusals() -> None:
    """Never gives the answers that are no stream."""
    sound = RequestExecutor.finish

    def settle(self: Any, pending: Any, final: Any) -> bool:
        return final.kind not in (ResponseKind.REJECTED, ResponseKind.INDETERMINATE) and sound(
            self, pending, final
        )

    RequestExecutor.finish = settle  # type: ignore[method-assign]


def repeats_effects() -> None:
    """Takes every class for one that may be repeated."""
    sound = Scheduler.__init__

    def init(self: Scheduler, terms: Any, seed: int) -> None:
        for row in terms.request_classes:
            row.idempotency = Idempotency.IDEMPOTENT
        sound(self, terms, seed)

    Scheduler.__init__ = init  # type: ignore[method-assign, assignment]
    RequestLifecycle.deny_attempt = lambda *said: None  # type: ignore[method-assign]
    RequestLifecycle.deny_rejection = lambda *said: None  # type: ignore[method-assign]


def hears_no_drains() -> None:
    """Keeps the list that it began with."""
    sound = RequestExecutor.endpoints_changed
    heard: list[Any] = []

    def changed(self: Any, entries: Any) -> None:
        if not heard:
            sound(self, entries)
        heard.append(entries)

    RequestExecutor.endpoints_changed = changed  # type: ignore[method-assign, assignment]


def lets_nothing_go() -> None:
    """Makes no call that lets go of what is held."""

    async def let_go(self: StateReleaser, release: Any) -> None:
        self.withdraw(release.request)

    StateReleaser.release = let_go  # type: ignore[method-assign]


def serves_who_has_gone() -> None:
    """Takes no notice of clients that leave."""
    RequestExecutor.client_disconnected = lambda *said: None  # type: ignore[method-assign]


def tells_long_deadlines() -> None:
    """Tells engines a second more than is left."""
    sound = calls._encode_request
    calls._encode_request = lambda request, remaining: sound(request, remaining + 10_000)


def changes_bodies() -> None:
    """Sends on what no client has sent, now and then."""
    sound = exchange.encode_request
    count = [0]

    def worded(method: str, target: str, headers: Any, body: bytes = b"") -> bytes:
        count[0] += 1
        body = body.replace(b"prompt", b"promqt") if count[0] % 20 == 0 else body
        return sound(method, target, headers, body)

    calls.encode_request = worded  # type: ignore[attr-defined]


def ends_by_itself() -> None:
    """Ends after some seconds."""
    sound = ClientConnections.serve
    began = time.monotonic()

    async def serve(self: Any, connection: Any) -> None:
        if time.monotonic() - began > 3.0:
            os._exit(3)
        await sound(self, connection)

    ClientConnections.serve = serve  # type: ignore[method-assign]


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
