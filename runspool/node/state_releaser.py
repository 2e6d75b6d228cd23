"""Releases the state that engines hold for a request; each release is pending until an engine confirms it.

Any engine accepts the call. Where one does not respond for a while, another is asked concurrently, those
that this node has heard from last come first. Requests that no engine has confirmed in the first round wait
in a list and are retried as long as the process lives, because time goes on while connections fail. Where no
engine confirms any, calls become rare (`ReleaseBudget`).
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

import anyio
import structlog
from anyio.abc import TaskGroup

from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause
from runspool.node.release_budget import ReleaseBudget
from runspool.service.pending_request import Endpoint
from runspool.units import UNITS_PER_SECOND

ENGINES_IN_HALF_TIMEOUT = 6  # engines asked one after another within half of the release timeout
MAX_ENGINES_FIRST_ROUND = 64
MAX_ENGINES_LATER_ROUND = 8  # half of them the likeliest to respond, the others different each time
MAX_CONCURRENT_RETRIES = 16  # requests retried at once after a confirmation; one at a time before it
MIN_RETRY_DELAY = 0.1  # seconds after a round that nobody confirmed; doubled after each further one
MAX_RETRY_DELAY = 1.0  # seconds
MAX_OVERDUE = 10_000  # requests that wait for a later round; past them the oldest is abandoned and logged
# Seconds after a confirmation at which the call is repeated, where an attempt may have ended there since.
REPEAT_DELAYS = (0.1, 0.4)
# After these the engine may still read the call.
LEAVES_CALL_UNREAD = {FailureCause.TIMED_OUT_WHILE_SENDING, FailureCause.TIMED_OUT_BEFORE_RESPONSE}
MAX_PATIENT_CALLS = 4  # calls at once beside the rounds
MAX_PATIENCE = 600_000  # tenths of a millisecond that one call beside the rounds may take


class ReleaseClient(Protocol):
    """Makes the release call at one engine."""

    async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None:
        """Release a request's state within `limit` tenths of a millisecond; None once it is confirmed."""


@dataclass(slots=True, eq=False)
class PendingRelease:
    """The release of one request's state, kept at `endpoint`.

    `on_confirmed` is called when an engine has confirmed it. `remote_end_unknown` says whether an attempt may
    still end at its engine after that. `done` is set once it is confirmed, withdrawn or abandoned.

    `patience` is the limit of the latest call that was made beside the rounds, tenths of a millisecond, and
    `patient_scope` cancels that call, None where it has ended.
    """

    request: str
    endpoint: Endpoint
    on_confirmed: Callable[[], None]
    remote_end_unknown: Callable[[], bool]
    scope: anyio.CancelScope | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    patience: int = 0
    patient_scope: anyio.CancelScope | None = None


class StateReleaser:
    """The pending releases, by request. The newest for a request replaces the one before it."""

    def __init__(
        self,
        client: ReleaseClient,
        timeout: int,
        engines: Callable[[], list[Endpoint]],
        count: Callable[[int], None],
    ) -> None:
        """Create a releaser without pending releases.

        Args:
            client: Makes the calls.
            timeout: The time granted for a release, in tenths of a millisecond.
            engines: Returns the engines to ask, the likeliest to respond first.
            count: Called with +1 and -1 as the number of pending releases changes.
        """
        self.client = client
        self.timeout = timeout
        self.engines = engines
        self.count = count
        self.pending: dict[str, PendingRelease] = {}
        self.overdue: dict[str, PendingRelease] = {}  # those that the first round has not settled
        self.overdue_added = anyio.Event()
        self.rotation = 0  # where the next later round begins among the engines less likely to respond
        self._patient_calls = 0
        self._budget = ReleaseBudget(time.monotonic)
        self.log = structlog.get_logger()

    async def release(self, release: PendingRelease) -> None:
        """Make the call until it is confirmed, withdrawn, or left to later rounds."""
        self.withdraw(release.request)
        self.pending[release.request] = release
        self.count(1)
        confirmed = False
        with anyio.CancelScope() as release.scope:
            confirmed = await self._run_round(release, self._first_round_engines(release.endpoint))
        if self.pending.get(release.request) is not release:
            return  # withdrawn meanwhile
        if not confirmed:
            self._add_overdue(release)
            return
        self._settle(release)
        release.on_confirmed()
        # Counted, as a shutdown waits for what is: the state may be held until the last of these calls.
        self.count(1)
        try:
            await self._repeat(release)
        finally:
            self.count(-1)

    def withdraw(self, request: str) -> bool:
        """Stop the release of a request's state; False where none is pending.

        Whoever withdraws it must release the state later.
        """
        release = self.pending.get(request)
        if release is None:
            return False
        self._settle(release)
        if release.scope is not None:
            release.scope.cancel()
        return True

    async def run(self) -> None:
        """Retry overdue releases until cancelled."""
        async with anyio.create_task_group() as patient_calls:
            await self._retry_overdue(patient_calls)

    async def _retry_overdue(self, patient_calls: TaskGroup) -> None:
        delay = MIN_RETRY_DELAY
        concurrency = 1
        while True:
            if not self.overdue:
                self.overdue_added = anyio.Event()
                await self.overdue_added.wait()
            oldest = next(iter(self.overdue.values()))
            if oldest.patient_scope is None and self._patient_calls < MAX_PATIENT_CALLS:
                oldest.patient_scope = anyio.CancelScope()
                patient_calls.start_soon(self._call_patiently, oldest, oldest.patient_scope)
            if await self._retry_oldest(concurrency):
                delay = MIN_RETRY_DELAY
                concurrency = MAX_CONCURRENT_RETRIES
                continue
            await anyio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
            concurrency = 1

    async def wait_settled(self, request: str, seconds: float) -> None:
        """Wait until no release is pending for a request, but for `seconds` at most."""
        release = self.pending.get(request)
        if release is not None:
            with anyio.move_on_after(seconds):
                await release.done.wait()

    async def _call_patiently(self, release: PendingRelease, scope: anyio.CancelScope) -> None:
        """Make one call beside the rounds: engines may be slower than a round waits, which others need short.

        Each such call of a release is given twice the time of the one before.
        """
        self._patient_calls += 1
        release.patience = min(max(2 * release.patience, 2 * self.timeout), MAX_PATIENCE)
        engines = self._later_round_engines() or [release.endpoint]
        failure: FailureCause | None = FailureCause.CANCELLED
        try:
            with scope:
                failure = await self.client.release_state(
                    engines[0].address, release.request, release.patience
                )
        finally:
            self._patient_calls -= 1
            release.patient_scope = None
        if failure is None:
            self._budget.confirmed()
        if failure is None and self.pending.get(release.request) is release:
            self._settle(release)
            release.on_confirmed()

    async def _retry_oldest(self, concurrency: int) -> bool:
        """Retry the oldest overdue releases, so many at once; return whether any was confirmed."""
        oldest = list(self.overdue.values())[:concurrency]
        confirmed: list[PendingRelease] = []

        async def retry(release: PendingRelease) -> None:
            if await self._run_round(release, self._later_round_engines()):
                confirmed.append(release)

        async with anyio.create_task_group() as tasks:
            for release in oldest:
                tasks.start_soon(retry, release)
        for release in oldest:
            if self.overdue.pop(release.request, None) is release and release not in confirmed:
                self.overdue[release.request] = release  # behind those that were not retried since
        for release in confirmed:
            if self.pending.get(release.request) is release:
                self._settle(release)
                release.on_confirmed()
        return bool(confirmed)

    async def _repeat(self, release: PendingRelease) -> None:
        """Repeat the call: an attempt whose connection was closed here may end at its engine after it."""
        for delay in REPEAT_DELAYS:
            if not release.remote_end_unknown():
                return
            await anyio.sleep(delay)
            if release.remote_end_unknown():
                await self._run_round(release, self._first_round_engines(release.endpoint))

    async def _run_round(self, release: PendingRelease, engines: Iterable[Endpoint]) -> bool:
        """Ask the engines, each a while after the one before; return whether any confirmed."""
        interval = self.timeout // (2 * ENGINES_IN_HALF_TIMEOUT) / UNITS_PER_SECOND  # seconds
        confirmed = False
        async with anyio.create_task_group() as tasks:

            async def call(engine: Endpoint, failed: anyio.Event) -> None:
                nonlocal confirmed
                failure = await self.client.release_state(engine.address, release.request, self.timeout)
                if failure is None:
                    confirmed = True
                    self._budget.confirmed()
                    tasks.cancel_scope.cancel()
                elif failure not in LEAVES_CALL_UNREAD:
                    self._budget.put_back()
                failed.set()

            for engine in engines:
                is_own = engine is release.endpoint and release.request not in self.overdue
                if not self._budget.take() and not is_own:
                    break
                failed = anyio.Event()
                tasks.start_soon(call, engine, failed)
                with anyio.move_on_after(interval):
                    await failed.wait()
        return confirmed

    def _first_round_engines(self, endpoint: Endpoint) -> Iterator[Endpoint]:
        """Yield the state's own engine, then others, sorted only if the first has not confirmed at once."""
        yield endpoint
        others = (engine for engine in self.engines() if engine.address != endpoint.address)
        yield from islice(others, MAX_ENGINES_FIRST_ROUND - 1)

    def _later_round_engines(self) -> list[Endpoint]:
        """Return different engines each time: not always an unreachable part of the fleet."""
        half = MAX_ENGINES_LATER_ROUND // 2
        engines = self.engines()
        likeliest = engines[:half]
        others = engines[half:]
        if others:
            self.rotation = (self.rotation + half) % len(others)
        return likeliest + (others[self.rotation :] + others[: self.rotation])[:half]

    def _add_overdue(self, release: PendingRelease) -> None:
        self.log.warning(
            "release_overdue",
            request=release.request,
            engine=release.endpoint.name,
            overdue=len(self.overdue) + 1,
        )
        self.overdue[release.request] = release
        if len(self.overdue) > MAX_OVERDUE:
            oldest = next(iter(self.overdue.values()))
            self.log.error("release_abandoned", request=oldest.request, engine=oldest.endpoint.name)
            self._settle(oldest)
        self.overdue_added.set()

    def _settle(self, release: PendingRelease) -> None:
        """Remove a release that is no longer pending."""
        release.done.set()
        if release.patient_scope is not None:
            release.patient_scope.cancel()
        if self.pending.get(release.request) is release:
            del self.pending[release.request]
            self.count(-1)
        if self.overdue.get(release.request) is release:
            del self.overdue[release.request]
