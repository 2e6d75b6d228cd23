"""Releases the state that engines hold for requests; a release is pending until an engine confirms it.

Any engine accepts a release call for any state. If an engine does not respond for a while, another one is
called concurrently, those first from which this node has received a response most recently. Such a sequence
of calls is a round. A release that no engine has confirmed in its first round is overdue. Overdue releases
are retried in later rounds as long as the process lives, because the state stays reserved while connections
fail. While no engine confirms any call, the rate of calls is limited (`ReleaseBudget`).
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
from runspool.units import TENTHS_PER_SECOND

# A round calls one engine after another at such intervals that this many calls start within half of the
# release timeout.
ENGINES_IN_HALF_TIMEOUT = 6
MAX_ENGINES_FIRST_ROUND = 64  # maximum number of engines that the first round of a release calls
# Maximum number of engines that a later round calls. Half of them are the most likely to respond, and the
# others are different in each round.
MAX_ENGINES_LATER_ROUND = 8
# Maximum number of overdue releases that are retried concurrently after a confirmation. Without one, they are
# retried one at a time.
MAX_CONCURRENT_RETRIES = 16
# Bounds, in seconds, of the delay after a later round without a confirmation. It is doubled after each.
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 1.0
# Maximum number of overdue releases. Beyond it, the least recently retried one is abandoned and logged.
MAX_OVERDUE = 10_000
# Delays in seconds after a confirmation, and between further calls, after which a release call is repeated if
# an attempt may still be running at an engine.
REPEAT_DELAYS = (0.1, 0.4)
# Causes of failure after which the engine may still process the call.
CALL_MAY_BE_PROCESSED = {FailureCause.TIMED_OUT_WHILE_SENDING, FailureCause.TIMED_OUT_BEFORE_RESPONSE}
# Besides the rounds, long calls are made: calls whose timeout also suffices for engines that respond later
# than a round waits. These constants bound the number of concurrent long calls, and their timeout in tenths
# of a millisecond.
MAX_LONG_CALLS = 4
MAX_LONG_CALL_TIMEOUT = 600_000


class ReleaseClient(Protocol):
    """Makes release calls."""

    async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None:
        """Make a release call to one engine.

        Args:
            address: The address of the engine.
            request: The id of the request whose state is released.
            limit: The timeout in tenths of a millisecond.

        Returns:
            None if the engine has confirmed the release, otherwise the cause of failure.
        """


@dataclass(slots=True, eq=False)
class PendingRelease:
    """The release of one request's state.

    Attributes:
        request: The id of the request.
        endpoint: The engine that holds the state.
        on_confirmed: Called when an engine has confirmed the release.
        attempt_may_leave_state: Returns whether an attempt of the request may still be running at its engine,
            so that it may leave state there after the release.
        scope: Cancels the first round; None before it starts.
        done: Set when the release has been confirmed, withdrawn or abandoned.
        long_call_timeout: The timeout of the latest long call, in tenths of a millisecond; initially 0.
        long_call_scope: Cancels the long call that is in progress; None if there is none.
    """

    request: str
    endpoint: Endpoint
    on_confirmed: Callable[[], None]
    attempt_may_leave_state: Callable[[], bool]
    scope: anyio.CancelScope | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    long_call_timeout: int = 0
    long_call_scope: anyio.CancelScope | None = None


class StateReleaser:
    """Runs the pending releases, at most one for each request: a new one replaces the previous one.

    Attributes:
        client: Makes the calls.
        timeout: The release timeout of the platform's settings, within which an engine should have released
            state that is no longer needed, in tenths of a millisecond. It is the timeout of each call in a
            round and determines the interval between the calls.
        candidate_engines: Returns the engines that may be called, those most likely to respond first.
        on_pending_change: Called with +1 and -1 as the number of pending releases changes.
        pending: All pending releases, by the id of the request.
        overdue: Those that were not confirmed in their first round, the least recently retried first.
        overdue_added: Set when a release becomes overdue.
        rotation_offset: The position at which the next later round starts among the engines that are less
            likely to respond.
    """

    def __init__(
        self,
        client: ReleaseClient,
        timeout: int,
        candidate_engines: Callable[[], list[Endpoint]],
        on_pending_change: Callable[[int], None],
    ) -> None:
        """Create a releaser without pending releases; the arguments are described above."""
        self.client = client
        self.timeout = timeout
        self.candidate_engines = candidate_engines
        self.on_pending_change = on_pending_change
        self.pending: dict[str, PendingRelease] = {}
        self.overdue: dict[str, PendingRelease] = {}
        self.overdue_added = anyio.Event()
        self.rotation_offset = 0
        self._long_call_count = 0
        self._budget = ReleaseBudget(time.monotonic)
        self.log = structlog.get_logger()

    async def release(self, release: PendingRelease) -> None:
        """Run the first round of a release, and make it overdue if no engine confirms it.

        A confirmed release is repeated if an attempt may still leave state. If the release is withdrawn, the
        round is cancelled.
        """
        self.withdraw(release.request)
        self.pending[release.request] = release
        self.on_pending_change(1)
        confirmed = False
        with anyio.CancelScope() as release.scope:
            confirmed = await self._run_round(release, self._first_round_engines(release.endpoint))
        if self.pending.get(release.request) is not release:
            return  # withdrawn meanwhile
        if not confirmed:
            self._add_overdue(release)
            return
        self._remove(release)
        release.on_confirmed()
        # Count the repeated calls as pending, so that a shutdown waits for them: state may be reserved until
        # the last of them.
        self.on_pending_change(1)
        try:
            await self._repeat_release(release)
        finally:
            self.on_pending_change(-1)

    def withdraw(self, request: str) -> bool:
        """Cancel the pending release of a request's state; return False if there is none.

        The caller must release the state later.
        """
        release = self.pending.get(request)
        if release is None:
            return False
        self._remove(release)
        if release.scope is not None:
            release.scope.cancel()
        return True

    async def run(self) -> None:
        """Retry overdue releases until cancelled."""
        async with anyio.create_task_group() as long_calls:
            await self._retry_overdue(long_calls)

    async def _retry_overdue(self, long_calls: TaskGroup) -> None:
        delay = MIN_RETRY_DELAY
        concurrency = 1
        while True:
            if not self.overdue:
                self.overdue_added = anyio.Event()
                await self.overdue_added.wait()
            next_release = next(iter(self.overdue.values()))
            if next_release.long_call_scope is None and self._long_call_count < MAX_LONG_CALLS:
                next_release.long_call_scope = anyio.CancelScope()
                long_calls.start_soon(self._make_long_call, next_release, next_release.long_call_scope)
            if await self._retry_overdue_batch(concurrency):
                delay = MIN_RETRY_DELAY
                concurrency = MAX_CONCURRENT_RETRIES
                continue
            await anyio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
            concurrency = 1

    async def wait_until_done(self, request: str, seconds: float) -> None:
        """Wait until no release is pending for a request, at most for `seconds`."""
        release = self.pending.get(request)
        if release is not None:
            with anyio.move_on_after(seconds):
                await release.done.wait()

    async def _make_long_call(self, release: PendingRelease, scope: anyio.CancelScope) -> None:
        """Make one long call of a release, concurrently with the rounds.

        An engine may take longer to respond than the timeout of the calls in a round. That timeout must stay
        short, because the next round, and with it the calls to other engines, waits for the end of the round.
        The timeout of the long calls is doubled for each further one of a release.
        """
        self._long_call_count += 1
        release.long_call_timeout = min(
            max(2 * release.long_call_timeout, 2 * self.timeout), MAX_LONG_CALL_TIMEOUT
        )
        engines = self._later_round_engines() or [release.endpoint]
        failure: FailureCause | None = FailureCause.CANCELLED
        try:
            with scope:
                failure = await self.client.release_state(
                    engines[0].address, release.request, release.long_call_timeout
                )
        finally:
            self._long_call_count -= 1
            release.long_call_scope = None
        if failure is None:
            self._budget.refill()
        if failure is None and self.pending.get(release.request) is release:
            self._remove(release)
            release.on_confirmed()

    async def _retry_overdue_batch(self, concurrency: int) -> bool:
        """Retry overdue releases, the least recently retried first; return whether any was confirmed.

        `concurrency` is the number of releases that are retried concurrently.
        """
        batch = list(self.overdue.values())[:concurrency]
        confirmed: list[PendingRelease] = []

        async def retry(release: PendingRelease) -> None:
            if await self._run_round(release, self._later_round_engines()):
                confirmed.append(release)

        async with anyio.create_task_group() as tasks:
            for release in batch:
                tasks.start_soon(retry, release)
        for release in batch:
            if self.overdue.pop(release.request, None) is release and release not in confirmed:
                self.overdue[release.request] = release  # move it behind those not retried
        for release in confirmed:
            if self.pending.get(release.request) is release:
                self._remove(release)
                release.on_confirmed()
        return bool(confirmed)

    async def _repeat_release(self, release: PendingRelease) -> None:
        """Repeat a confirmed release call while an attempt may still be running at its engine.

        An attempt whose connection this node has closed may leave state after the release.
        """
        for delay in REPEAT_DELAYS:
            if not release.attempt_may_leave_state():
                return
            await anyio.sleep(delay)
            if release.attempt_may_leave_state():
                await self._run_round(release, self._first_round_engines(release.endpoint))

    async def _run_round(self, release: PendingRelease, engines: Iterable[Endpoint]) -> bool:
        """Call the engines one after another at a fixed interval, until one confirms the release.

        If a call fails sooner, the next engine is called at once.

        Returns:
            Whether an engine has confirmed the release.
        """
        interval = self.timeout // (2 * ENGINES_IN_HALF_TIMEOUT) / TENTHS_PER_SECOND  # seconds
        confirmed = False
        async with anyio.create_task_group() as tasks:

            async def call(engine: Endpoint, failed: anyio.Event) -> None:
                nonlocal confirmed
                failure = await self.client.release_state(engine.address, release.request, self.timeout)
                if failure is None:
                    confirmed = True
                    self._budget.refill()
                    tasks.cancel_scope.cancel()
                elif failure not in CALL_MAY_BE_PROCESSED:
                    self._budget.refund()
                failed.set()

            for engine in engines:
                # The engine that holds the state is called even without budget, except in later rounds.
                is_exempt = engine is release.endpoint and release.request not in self.overdue
                if not self._budget.try_acquire() and not is_exempt:
                    break
                failed = anyio.Event()
                tasks.start_soon(call, engine, failed)
                with anyio.move_on_after(interval):
                    await failed.wait()
        return confirmed

    def _first_round_engines(self, endpoint: Endpoint) -> Iterator[Endpoint]:
        """Yield the engine that holds the state, then others.

        The others are only determined if the first engine has not confirmed the release at once, because
        sorting them takes time.
        """
        yield endpoint
        others = (engine for engine in self.candidate_engines() if engine.address != endpoint.address)
        yield from islice(others, MAX_ENGINES_FIRST_ROUND - 1)

    def _later_round_engines(self) -> list[Endpoint]:
        """Return the engines that a later round calls.

        Some of them are different in each round, so that the rounds do not always call the same engines,
        which may be unreachable.
        """
        half = MAX_ENGINES_LATER_ROUND // 2
        engines = self.candidate_engines()
        most_likely = engines[:half]
        others = engines[half:]
        if others:
            self.rotation_offset = (self.rotation_offset + half) % len(others)
        return most_likely + (others[self.rotation_offset :] + others[: self.rotation_offset])[:half]

    def _add_overdue(self, release: PendingRelease) -> None:
        self.log.warning(
            "release_overdue",
            request=release.request,
            engine=release.endpoint.name,
            overdue=len(self.overdue) + 1,
        )
        self.overdue[release.request] = release
        if len(self.overdue) > MAX_OVERDUE:
            abandoned = next(iter(self.overdue.values()))
            self.log.error("release_abandoned", request=abandoned.request, engine=abandoned.endpoint.name)
            self._remove(abandoned)
        self.overdue_added.set()

    def _remove(self, release: PendingRelease) -> None:
        """Remove a release that is confirmed, withdrawn or abandoned."""
        release.done.set()
        if release.long_call_scope is not None:
            release.long_call_scope.cancel()
        if self.pending.get(release.request) is release:
            del self.pending[release.request]
            self.on_pending_change(-1)
        if self.overdue.get(release.request) is release:
            del self.overdue[release.request]
