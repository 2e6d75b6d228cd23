"""When the next call for the endpoint list is made, and what the answer to each call is worth. Free of I/O.

Waiting and asking are separate. A call stays out as long as its connection lives, however slow the agent is,
and any answer is used: an agent that holds what it is asked in an outage answers it at its return. Further
calls are made beside it, slowly, only to notice the return of an agent that has dropped the earlier ones. An
agent may have to work off each of them after the outage, ahead of the next watch, also those given up.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from runspool.discovery.concurrent_calls import age_ratio
from runspool.engines.connection_pool import Address
from runspool.node.answer_time import AnswerTime
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.search_pace import SearchPace
from runspool.node.second_watch import SecondWatch

WATCH_WAIT = 10_000  # that the agent may hold a watch open
MIN_PATIENCE = 4_000  # beyond the wait, until other calls are made beside a watch that is not answered
MAX_PATIENCE = 20_000  # also for a slow agent: a silent one must be noticed within seconds
MIN_WATCH_INTERVAL = 500  # between two watches, also where each is answered at once
ARRIVAL_PAUSE = 4_000  # since the last piece of an answer, after which it is not arriving any more
MAX_ARRIVAL = 30_000  # since the first piece: one that goes on for longer does not delay other calls
MAX_CALLS_OUT = 6
MAX_COUNTED_GIVEN_UP = 1_000
MIN_ONLY_CALL_AGE = 20_000  # from which a call gives way to another where the agent refuses a second one


class DiscoveryState(Enum):
    """What a node is doing about its endpoint list."""

    WATCHING = "watching"  # a watch is out, and is not overdue
    SUSPECT = "suspect"  # the watch is overdue; the whole list is requested beside it
    SEARCHING = "searching"  # no watch is out; the whole list is requested


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call to make now.

    Attributes:
        call: the call.
        given_up: a call that is out and makes room for it, if one has to.
    """

    call: DiscoveryCall
    given_up: DiscoveryCall | None


@dataclass(frozen=True, slots=True)
class Answer:
    """What an answer is worth.

    Attributes:
        is_usable: whether it may be applied; an older one must not undo what a later call has brought.
        superseded: calls that are out and not needed any more.
    """

    is_usable: bool
    superseded: list[DiscoveryCall]


class DiscoveryCallPlanner:
    """Plans the calls to the agent at one address, and keeps track of those that are out.

    Attributes:
        address: the agent that is called.
        calls_out: the calls that are out, the oldest first.
        given_up: the numbers of calls given up that an agent may still have to work off: it has not answered
            any that was made later.
    """

    def __init__(self, address: Address, random: Callable[[], float]) -> None:
        """`random` returns numbers from 0 to 1."""
        self.address = address
        self.random = random
        self.calls_made = 0
        self._answer_time = AnswerTime()
        self.restart()

    def restart(self) -> None:
        """Forgets the calls that are out; the next one is made at once."""
        self.calls_out: list[DiscoveryCall] = []
        self._watch: DiscoveryCall | None = None
        self._second_watch = SecondWatch()
        self._needs_watch = False  # an answer has come, and no watch is out
        self._version = 0  # after which to watch
        self._applied_at: int | None = None  # when the last answer was applied; None at a new address
        self.given_up: deque[int] = deque(maxlen=MAX_COUNTED_GIVEN_UP)
        self._last_made_at: int | None = None
        self._last_watch_at: int | None = None
        self._pace = SearchPace(self.random)
        self._only_call_age = MIN_ONLY_CALL_AGE

    def change_address(self, address: Address) -> list[DiscoveryCall]:
        """Calls another agent from now on.

        A watch that is out at the former one stays out until the new one has answered.

        Returns:
            The calls that are not needed any more.
        """
        former_watch = self._watch
        dropped = [call for call in self.calls_out if call is not former_watch]
        self.restart()
        self.address = address
        self._answer_time = AnswerTime()
        if former_watch is not None:
            self.calls_out.append(former_watch)
        return dropped

    @property
    def calls_owed(self) -> int:
        """How many calls the agent may still have to answer, those given up among them."""
        return len(self.calls_out) + len(self.given_up)

    @property
    def answer_time(self) -> int:
        """How long the agent takes to begin an answer, as far as it is known."""
        return self._answer_time.estimate

    @property
    def watch(self) -> DiscoveryCall | None:
        """The watch that is out, None where none is."""
        return self._watch

    def state(self, now: int) -> DiscoveryState:
        """Returns what the calls that are out amount to."""
        if self._needs_watch:
            return DiscoveryState.WATCHING
        if self._watch is None:
            return DiscoveryState.SEARCHING
        return DiscoveryState.WATCHING if now < self._overdue_at(self._watch) else DiscoveryState.SUSPECT

    def next_call_at(self, now: int) -> int:
        """Returns when the next call is to be made, if nothing happens before."""
        at = self._next_needed_at(now)
        second_watch_at = self._second_watch.due_at()
        return at if second_watch_at is None else min(at, second_watch_at)

    def _next_needed_at(self, now: int) -> int:
        """Returns when the next call is to be made that is not a second watch."""
        if self._needs_watch:
            return now if self._last_watch_at is None else self._last_watch_at + MIN_WATCH_INTERVAL
        if self._last_made_at is None:
            return now
        search_at = self._last_made_at + self._pace.interval
        return search_at if self._watch is None else max(search_at, self._overdue_at(self._watch))

    def make_call(self, now: int) -> PlannedCall:
        """Counts the next call as made: a watch where an answer has come, else one for the whole list."""
        second_watch_at = self._second_watch.due_at()
        self.calls_made += 1
        call = DiscoveryCall(self.calls_made, self.address, None, 0, now)
        if self._needs_watch and self._next_needed_at(now) <= now:
            call.after_version, call.wait = self._version, WATCH_WAIT
            self._watch, self._needs_watch, self._last_watch_at = call, False, now
        elif second_watch_at is not None and second_watch_at <= now:
            call.after_version = self._version
            self._second_watch.made(call)
        given_up = self._least_useful(now) if len(self.calls_out) >= MAX_CALLS_OUT else None
        if given_up is not None:
            self._give_up(given_up)
        self.calls_out.append(call)
        self._last_made_at = now
        self._pace.called(now, self.answer_time)
        return PlannedCall(call, given_up)

    def answered(self, call: DiscoveryCall, version: int, now: int) -> Answer:
        """Counts a call as answered with the list, or its changes, at a version.

        An answer is newer than all that had come when its call was made, whatever its version: an agent that
        lost its version numbers begins at a low one. Where calls overlap, the higher version is the newer.
        """
        if call not in self.calls_out:
            return Answer(is_usable=False, superseded=[])
        was_interrupted = self.state(now) is not DiscoveryState.WATCHING
        is_second_watch = call is self._second_watch.call
        self.calls_out.remove(call)
        if call.address != self.address:
            return Answer(is_usable=True, superseded=[])  # the present agent has not answered yet
        self._pace.answered(now)
        superseded = [
            other
            for other in self.calls_out
            if other.number < call.number and not (is_second_watch and self._still_watches(other, version))
        ]
        for other in superseded:
            self._remove(other)
        if was_interrupted:
            self._second_watch.begin(now)
        self._second_watch.answered(call, now)
        self.given_up = deque(
            (number for number in self.given_up if number > call.number), maxlen=MAX_COUNTED_GIVEN_UP
        )
        self._answer_time.measure(call, now)
        self._only_call_age = max(MIN_ONLY_CALL_AGE, 2 * self.answer_time)
        is_newer = self._applied_at is None or call.made_at >= self._applied_at
        is_usable = is_newer or version > self._version
        if is_usable:
            self._version, self._applied_at = version, now
        if call is self._watch:
            self._watch = None
        self._needs_watch = self._watch is None
        return Answer(is_usable, superseded)

    def failed(self, call: DiscoveryCall, now: int) -> DiscoveryCall | None:
        """Counts a call as failed: its connection was refused or lost, or its answer is unusable.

        Returns:
            A call that is out and gives way to the next one, if one has to: an agent may refuse connections
            past a number, and have dropped the calls on those that it has.
        """
        if call not in self.calls_out:
            return None
        self._remove(call)
        self._pace.failed()
        is_refused = call.number == self.calls_made and call.first_byte_at is None
        if not is_refused or not self.calls_out or self.state(now) is DiscoveryState.WATCHING:
            return None
        given_up = self._least_useful(now) or self._worn_out_only_call(now)
        if given_up is not None:
            self._give_up(given_up)
        return given_up

    def _worn_out_only_call(self, now: int) -> DiscoveryCall | None:
        """Returns the oldest call if it has been out for long; each time, the next one is given longer."""
        oldest = self.calls_out[0]
        if now - oldest.made_at - oldest.wait < self._only_call_age:
            return None
        self._only_call_age *= 2
        return oldest

    def _still_watches(self, call: DiscoveryCall, version: int) -> bool:
        """Returns whether a call is a watch for what comes after this version."""
        return call is self._watch and call.after_version == version

    def _give_up(self, call: DiscoveryCall) -> None:
        self._remove(call)
        self.given_up.append(call.number)

    def _remove(self, call: DiscoveryCall) -> None:
        self.calls_out.remove(call)
        self._second_watch.dropped(call)
        if call is self._watch:
            self._watch = None

    def _overdue_at(self, watch: DiscoveryCall) -> int:
        """Returns from when a watch counts as overdue; one whose answer takes long to arrive is old."""
        patience = min(max(self.answer_time * 3 // 2, MIN_PATIENCE), MAX_PATIENCE)
        overdue_at = watch.made_at + watch.wait + patience
        return (
            overdue_at if watch.first_byte_at is None else min(overdue_at, watch.first_byte_at + MIN_PATIENCE)
        )

    def _least_useful(self, now: int) -> DiscoveryCall | None:
        """Returns the call to give up, so that the ages of the others grow by about the same factor.

        Neither the oldest, which a slow agent answers first, nor the watch. One that is arriving only where
        all are.
        """
        made_at = [*(call.made_at for call in self.calls_out), now]

        def usefulness(position: int) -> tuple[bool, float]:
            return _is_arriving(self.calls_out[position], now), age_ratio(made_at, position, now)

        inner = [
            position
            for position in range(1, len(self.calls_out))
            if self.calls_out[position] is not self._watch
        ]
        return self.calls_out[min(inner, key=usefulness)] if inner else None


def _is_arriving(call: DiscoveryCall, now: int) -> bool:
    """Returns whether the answer has begun, is not whole, and has not paused."""
    if call.first_byte_at is None or call.last_byte_at is None:
        return False
    return now - call.last_byte_at < ARRIVAL_PAUSE and now - call.first_byte_at < MAX_ARRIVAL
