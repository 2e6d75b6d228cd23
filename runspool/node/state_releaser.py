"""Letting go of what engines hold for a request: owed until some engine has confirmed the call.

Any engine takes the call. Where one says nothing for a while another is asked beside it, those first that
this node has heard from last. Requests that no engine of the first round has confirmed wait in a list, asked
about again and again while the process lives: while connections fail to come up, the time goes on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

import anyio
import structlog

from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause
from runspool.service.pending_request import Endpoint
from runspool.units import TENTHS

TRIES_IN_HALF = 6  # engines asked within half of the time that the settings grant
MOST_ENGINES = 64  # asked in a first round
AGAIN_ENGINES = 8  # and in each later one, other ones each time
AGAIN_TOGETHER = 16  # requests asked about at once, as soon as one call has been confirmed
REST, LONGEST_REST = 0.1, 1.0  # seconds between two rounds that nobody confirmed
MOST_OWED = 10_000  # requests that wait for a later round; past them the oldest is given up, and said so
REPEATS = (0.1, 0.4)  # seconds after which the call is made again where an attempt may have ended there since


class ReleaseClient(Protocol):
    """Makes the call at one engine."""

    async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None: ...


@dataclass(slots=True, eq=False)
class PendingRelease:
    """One request's call: where its state waits, what is told when an engine has confirmed it, and whether
    an attempt may still end after that."""

    request: str
    site: Endpoint
    confirmed: Callable[[], None]
    unsure: Callable[[], bool]
    scope: anyio.CancelScope | None = None
    done: anyio.Event = field(default_factory=anyio.Event)  # confirmed, withdrawn or given up


class StateReleaser:
    """The calls that are owed, by request. The newest for a request replaces those before it."""

    def __init__(
        self,
        caller: ReleaseClient,
        within: int,
        engines: Callable[[], list[Endpoint]],
        count: Callable[[int], None],
    ) -> None:
        """`within`: the time granted, in tenths of a millisecond. `engines`: whom to ask, the likeliest to
        answer first. `count` hears +1 and -1 for each that is owed."""
        self.caller, self.within, self.engines, self.count = caller, within, engines, count
        self.owed: dict[str, PendingRelease] = {}
        self.overdue: dict[str, PendingRelease] = {}  # those of them that a first round has not settled
        self.waiting = anyio.Event()
        self.turn = 0
        self.log = structlog.get_logger()

    async def let_go(self, release: PendingRelease) -> None:
        """Makes the call until it is confirmed, withdrawn, or left to later rounds."""
        self.withdraw(release.request)
        self.owed[release.request] = release
        self.count(1)
        confirmed = False
        with anyio.CancelScope() as release.scope:
            confirmed = await self._round(release, self._first_round(release.site))
        if self.owed.get(release.request) is not release:
            return  # withdrawn meanwhile
        if not confirmed:
            self._put_off(release)
            return
        self._settled(release)
        release.confirmed()
        await self._repeat(release)

    def withdraw(self, request: str) -> bool:
        """Stops the call for a request, owed anew by whoever withdraws it; False where there is none."""
        release = self.owed.get(request)
        if release is None:
            return False
        self._settled(release)
        if release.scope is not None:
            release.scope.cancel()
        return True

    async def run(self) -> None:
        """Asks about what is overdue, until cancelled."""
        rest, together = REST, 1
        while True:
            if not self.overdue:
                self.waiting = anyio.Event()
                await self.waiting.wait()
            if await self._later_round(together):
                rest, together = REST, AGAIN_TOGETHER
                continue
            await anyio.sleep(rest)
            rest, together = min(2 * rest, LONGEST_REST), 1

    async def _later_round(self, together: int) -> bool:
        """Whether any of the oldest was confirmed."""
        oldest = list(self.overdue.values())[:together]
        done: list[PendingRelease] = []

        async def again(release: PendingRelease) -> None:
            if await self._round(release, self._next_engines()):
                done.append(release)

        async with anyio.create_task_group() as calls:
            for release in oldest:
                calls.start_soon(again, release)
        for release in oldest:
            if self.overdue.pop(release.request, None) is release and release not in done:
                self.overdue[release.request] = release  # behind those that have waited longer since
        for release in done:
            if self.owed.get(release.request) is release:
                self._settled(release)
                release.confirmed()
        return bool(done)

    async def _repeat(self, release: PendingRelease) -> None:
        """An attempt whose connection was closed here may end there after the call: it is made again."""
        for rest in REPEATS:
            if not release.unsure():
                return
            await anyio.sleep(rest)
            if release.unsure():
                await self._round(release, self._first_round(release.site))

    async def _round(self, release: PendingRelease, engines: Iterable[Endpoint]) -> bool:
        """Asks one engine beside the other, each a while after the one before; whether any confirmed it."""
        patience = self.within // (2 * TRIES_IN_HALF) / (1000 * TENTHS)
        confirmed = False
        async with anyio.create_task_group() as calls:

            async def call(at: Endpoint, failed: anyio.Event) -> None:
                nonlocal confirmed
                if await self.caller.release_state(at.address, release.request, self.within) is None:
                    confirmed = True
                    calls.cancel_scope.cancel()
                failed.set()

            for at in engines:
                failed = anyio.Event()
                calls.start_soon(call, at, failed)
                with anyio.move_on_after(patience):
                    await failed.wait()
        return confirmed

    def _first_round(self, site: Endpoint) -> Iterator[Endpoint]:
        """The others are put in order only where the state's own engine has not confirmed at once."""
        yield site
        others = (other for other in self.engines() if other.address != site.address)
        yield from islice(others, MOST_ENGINES - 1)

    def _next_engines(self) -> list[Endpoint]:
        """Others each time, so that no part of the fleet that is cut off is all that is ever asked."""
        engines = self.engines()
        likeliest, rest = engines[: AGAIN_ENGINES // 2], engines[AGAIN_ENGINES // 2 :]
        if rest:
            self.turn = (self.turn + AGAIN_ENGINES // 2) % len(rest)
        return likeliest + (rest[self.turn :] + rest[: self.turn])[: AGAIN_ENGINES // 2]

    def _put_off(self, release: PendingRelease) -> None:
        self.log.warning(
            "release_overdue",
            request=release.request,
            engine=release.site.name,
            overdue=len(self.overdue) + 1,
        )
        self.overdue[release.request] = release
        if len(self.overdue) > MOST_OWED:
            oldest = next(iter(self.overdue.values()))
            self.log.error("release_abandoned", request=oldest.request, engine=oldest.site.name)
            self._settled(oldest)
        self.waiting.set()

    async def settled_within(self, request: str, seconds: float) -> None:
        """Until nothing is owed for a request, but no longer than that."""
        release = self.owed.get(request)
        if release is not None:
            with anyio.move_on_after(seconds):
                await release.done.wait()

    def _settled(self, release: PendingRelease) -> None:
        release.done.set()
        if self.owed.get(release.request) is release:
            del self.owed[release.request]
            self.count(-1)
        if self.overdue.get(release.request) is release:
            del self.overdue[release.request]
