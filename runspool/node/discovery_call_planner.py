"""Plans when calls are made to the discovery agent, and decides which responses are applied. Does no I/O.

The discovery agent is the platform's service that provides the endpoint list. It is called over HTTP. A call
requests either the whole list or the changes after a version. A call for changes is a watch: the agent delays
its response until the list changes, or until a wait given in the request has passed.

Waiting for responses is independent of making further calls. A call is not given up because the agent is
slow, and its response is accepted whenever it arrives: an agent that queues the calls it receives during an
outage responds to them when it recovers. A call is given up only to make room for another one, and dropped
once a later call has been responded to.

During an outage, further calls for the whole list are made concurrently at a low rate. They detect the
recovery of an agent that has dropped the earlier calls. The rate is low because the agent may have to process
all calls of an outage, including those that the node has given up, before the next watch. After an outage,
backup watches (`backup_watch`) run concurrently with the first watch.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from runspool.discovery.concurrent_calls import age_ratio
from runspool.engines.connection_pool import Address
from runspool.node.agent_latency import AgentLatencyEstimator
from runspool.node.backup_watch import BackupWatch
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.search_backoff import SearchBackoff

# How long the agent may delay its response to a watch while nothing changes, in tenths of a millisecond.
WATCH_WAIT = 10_000
# A watch counts as overdue when a margin has passed after the end of its wait. The margin depends on the
# agent's response latency. This is its lower bound, in tenths of a millisecond.
MIN_OVERDUE_MARGIN = 4_000
# Upper bound of the same margin, in tenths of a millisecond. It applies to slow agents too, because an agent
# that has stopped responding must be detected within seconds.
MAX_OVERDUE_MARGIN = 20_000
# Shortest interval between two watches, in tenths of a millisecond, even if the agent responds to each at
# once.
MIN_WATCH_INTERVAL = 500
# A response counts as stalled if no further bytes of it arrive for this time, in tenths of a millisecond.
RECEIVE_TIMEOUT = 4_000
# A response that is incomplete for this time after its first byte, in tenths of a millisecond, counts as
# stalled even if bytes still come.
MAX_RECEIVE_DURATION = 30_000
MAX_OPEN_CALLS = 6  # maximum number of calls that are open at the same time
MAX_REMEMBERED_GIVEN_UP = 1_000  # maximum number of given-up calls that are remembered
# Lower bound of the replacement age, in tenths of a millisecond. If the agent refuses a further connection,
# the oldest open call is given up so that a new call can be made, provided that it has been open for its wait
# plus the replacement age.
MIN_REPLACEMENT_AGE = 20_000


class DiscoveryState(Enum):
    """The state of a node's watch on the endpoint list; the values are written to logs and metrics."""

    WATCHING = "watching"  # a watch is open and not overdue, or is to be opened after a response
    SUSPECT = "suspect"  # the watch is overdue; the whole list is requested concurrently
    SEARCHING = "searching"  # no watch is open or to be opened; the whole list is requested


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call to be made now.

    Attributes:
        call: The call.
        call_to_cancel: The open call that must be cancelled to make room for `call`; None if there is room.
    """

    call: DiscoveryCall
    call_to_cancel: DiscoveryCall | None


@dataclass(frozen=True, slots=True)
class ResponseDecision:
    """The decision on a response.

    Attributes:
        is_usable: Whether the list in the response may be applied, which must not be older than the applied
            one.
        superseded: The open calls that are no longer needed.
    """

    is_usable: bool
    superseded: list[DiscoveryCall]


class DiscoveryCallPlanner:
    """Plans the calls to the agent at one address, and tracks the open calls.

    Attributes:
        address: The address of the agent.
        random: Returns random numbers from 0 to 1.
        calls_made: The number of calls made by this process.
        open_calls: The open calls, oldest first.
        given_up_numbers: The numbers of the given-up calls that the agent may still have to process, because
            it has not responded to any later call.
    """

    def __init__(self, address: Address, random: Callable[[], float]) -> None:
        """Create a planner whose first call is due at once; `random` returns numbers from 0 to 1."""
        self.address = address
        self.random = random
        self.calls_made = 0
        self._latency_estimator = AgentLatencyEstimator()
        self.reset()

    def reset(self) -> None:
        """Forget the open calls; the next call is due at once."""
        self.open_calls: list[DiscoveryCall] = []
        self._watch: DiscoveryCall | None = None
        self._backup_watch = BackupWatch()
        # Whether the next regular call is a watch. It is set by a response after which no watch is open, and
        # cleared when the watch is opened. After a watch has failed, the whole list is called for first.
        self._watch_is_next = False
        self._version = 0  # the version after which the next watch requests changes
        self._applied_at: int | None = None  # when the latest response was applied; None at a new address
        self.given_up_numbers: deque[int] = deque(maxlen=MAX_REMEMBERED_GIVEN_UP)
        self._last_made_at: int | None = None
        self._last_watch_at: int | None = None
        self._backoff = SearchBackoff(self.random)
        self._replacement_age = MIN_REPLACEMENT_AGE

    def change_address(self, address: Address) -> list[DiscoveryCall]:
        """Direct all further calls to the agent at another address.

        An open watch at the former agent stays open until the new agent has responded.

        Returns:
            The open calls that are no longer needed.
        """
        former_watch = self._watch
        dropped = [call for call in self.open_calls if call is not former_watch]
        self.reset()
        self.address = address
        self._latency_estimator = AgentLatencyEstimator()
        if former_watch is not None:
            self.open_calls.append(former_watch)
        return dropped

    @property
    def agent_backlog(self) -> int:
        """The number of calls that the agent may still have to process, including those given up.

        An open watch at a former address is counted too.
        """
        return len(self.open_calls) + len(self.given_up_numbers)

    @property
    def agent_latency(self) -> int:
        """The estimated time that the agent takes to start a response; 0 if it is unknown."""
        return self._latency_estimator.estimate

    @property
    def watch(self) -> DiscoveryCall | None:
        """The open watch; None if there is none. Backup watches and one at a former address do not count."""
        return self._watch

    def state(self, now: int) -> DiscoveryState:
        """Return the state of the watch at `now`."""
        if self._watch_is_next:
            return DiscoveryState.WATCHING
        if self._watch is None:
            return DiscoveryState.SEARCHING
        return DiscoveryState.WATCHING if now < self._overdue_at(self._watch) else DiscoveryState.SUSPECT

    def next_call_at(self, now: int) -> int:
        """Return when the next call is due, provided that nothing happens before."""
        at = self._next_required_at(now)
        backup_watch_at = self._backup_watch.due_at()
        return at if backup_watch_at is None else min(at, backup_watch_at)

    def _next_required_at(self, now: int) -> int:
        """Return when the next call is due that is not a backup watch."""
        if self._watch_is_next:
            return now if self._last_watch_at is None else self._last_watch_at + MIN_WATCH_INTERVAL
        if self._last_made_at is None:
            return now
        list_call_at = self._last_made_at + self._backoff.interval
        return list_call_at if self._watch is None else max(list_call_at, self._overdue_at(self._watch))

    def make_call(self, now: int) -> PlannedCall:
        """Create the call that is due at `now` and record it as made.

        The call is a watch if the last response left no watch open and none has been opened since. Otherwise
        it is a backup watch if one is due, and else a call for the whole list. A backup watch is made on
        another connection, in case the first watch after an interruption is lost.
        """
        backup_watch_at = self._backup_watch.due_at()
        self.calls_made += 1
        call = DiscoveryCall(self.calls_made, self.address, None, 0, now)
        if self._watch_is_next and self._next_required_at(now) <= now:
            call.after_version, call.wait = self._version, WATCH_WAIT
            self._watch, self._watch_is_next, self._last_watch_at = call, False, now
        elif backup_watch_at is not None and backup_watch_at <= now:
            call.after_version = self._version
            self._backup_watch.record_call(call)
        given_up = self._least_useful(now) if len(self.open_calls) >= MAX_OPEN_CALLS else None
        if given_up is not None:
            self._give_up(given_up)
        self.open_calls.append(call)
        self._last_made_at = now
        self._backoff.record_call(now, self.agent_latency)
        return PlannedCall(call, given_up)

    def record_response(self, call: DiscoveryCall, version: int, now: int) -> ResponseDecision:
        """Record a valid response to a call, and decide whether it may be applied.

        A response is newer than everything that had been received when its call was made, whatever its
        version: an agent that has lost its version numbers restarts them at a low number. Between overlapping
        calls, the response with the higher version is the newer one.

        Args:
            call: The call.
            version: The version of the list in the response.
            now: When the response was received.
        """
        if call not in self.open_calls:
            return ResponseDecision(is_usable=False, superseded=[])
        was_interrupted = self.state(now) is not DiscoveryState.WATCHING
        is_backup_watch = call is self._backup_watch.call
        self.open_calls.remove(call)
        if call.address != self.address:
            # This is the watch at the former address; the agent at the new one has not responded yet.
            return ResponseDecision(is_usable=True, superseded=[])
        self._backoff.record_response(now)
        superseded = [
            other
            for other in self.open_calls
            if other.number < call.number
            and not (is_backup_watch and self._is_watch_from_version(other, version))
        ]
        for other in superseded:
            self._remove(other)
        if was_interrupted:
            self._backup_watch.start(now)
        self._backup_watch.record_response(call, now)
        self.given_up_numbers = deque(
            (number for number in self.given_up_numbers if number > call.number),
            maxlen=MAX_REMEMBERED_GIVEN_UP,
        )
        self._latency_estimator.measure(call, now)
        self._replacement_age = max(MIN_REPLACEMENT_AGE, 2 * self.agent_latency)
        is_newer = self._applied_at is None or call.made_at >= self._applied_at
        is_usable = is_newer or version > self._version
        if is_usable:
            self._version, self._applied_at = version, now
        if call is self._watch:
            self._watch = None
        self._watch_is_next = self._watch is None
        return ResponseDecision(is_usable, superseded)

    def record_failure(self, call: DiscoveryCall, now: int) -> DiscoveryCall | None:
        """Record that a call failed: its connection was refused or lost, or its response was invalid.

        Returns:
            An open call that must be cancelled so that the next call can succeed; None if there is none. An
            agent may limit the number of its connections and refuse new ones, although it has dropped the
            calls on the connections that it holds.
        """
        if call not in self.open_calls:
            return None
        self._remove(call)
        self._backoff.record_failure()
        # The connection was refused, or lost before the response started.
        failed_before_response = call.number == self.calls_made and call.first_byte_at is None
        if not failed_before_response or not self.open_calls or self.state(now) is DiscoveryState.WATCHING:
            return None
        given_up = self._least_useful(now) or self._oldest_call_to_replace(now)
        if given_up is not None:
            self._give_up(given_up)
        return given_up

    def _oldest_call_to_replace(self, now: int) -> DiscoveryCall | None:
        """Return the oldest open call if it has been open for its wait plus the replacement age, else None.

        The replacement age is doubled for each call returned.
        """
        oldest = self.open_calls[0]
        if now - oldest.made_at - oldest.wait < self._replacement_age:
            return None
        self._replacement_age *= 2
        return oldest

    def _is_watch_from_version(self, call: DiscoveryCall, version: int) -> bool:
        """Return whether a call is the open watch and requests the changes after `version`."""
        return call is self._watch and call.after_version == version

    def _give_up(self, call: DiscoveryCall) -> None:
        self._remove(call)
        self.given_up_numbers.append(call.number)

    def _remove(self, call: DiscoveryCall) -> None:
        self.open_calls.remove(call)
        self._backup_watch.record_loss(call)
        if call is self._watch:
            self._watch = None

    def _overdue_at(self, watch: DiscoveryCall) -> int:
        """Return when a watch counts as overdue.

        If its response has started, it is overdue at the latest MIN_OVERDUE_MARGIN after the first byte,
        because the list in a response that takes long to arrive is outdated.
        """
        overdue_margin = min(max(self.agent_latency * 3 // 2, MIN_OVERDUE_MARGIN), MAX_OVERDUE_MARGIN)
        overdue_at = watch.made_at + watch.wait + overdue_margin
        return (
            overdue_at
            if watch.first_byte_at is None
            else min(overdue_at, watch.first_byte_at + MIN_OVERDUE_MARGIN)
        )

    def _least_useful(self, now: int) -> DiscoveryCall | None:
        """Return the open call to give up; None if no call may be given up.

        It is chosen so that each of the remaining calls is older than the next one by about the same factor.
        The oldest call is never chosen, because a slow agent responds to it first, and neither is the watch.
        A call whose response is being received is chosen only if this is so for all candidates.
        """
        made_at = [*(call.made_at for call in self.open_calls), now]

        def usefulness(position: int) -> tuple[bool, float]:
            return _is_receiving(self.open_calls[position], now), age_ratio(made_at, position, now)

        candidates = [
            position
            for position in range(1, len(self.open_calls))
            if self.open_calls[position] is not self._watch
        ]
        return self.open_calls[min(candidates, key=usefulness)] if candidates else None


def _is_receiving(call: DiscoveryCall, now: int) -> bool:
    """Return whether the response to an open call has started and has not stalled."""
    if call.first_byte_at is None or call.last_byte_at is None:
        return False
    return now - call.last_byte_at < RECEIVE_TIMEOUT and now - call.first_byte_at < MAX_RECEIVE_DURATION
