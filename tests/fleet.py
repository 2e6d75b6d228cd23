"""Many fronts' decisions, the module's own, against readers that read at a fixed rate, first come first,
and go on with what was given up; writers begin each answer at once. No more of a fleet than a jam of reads
takes."""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from runspool.runtime.interning import stable_hash
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import RoutingSettings, TenantSettings
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    EndpointUpdate,
    EngineRecord,
    EngineState,
    Request,
)
from tests.fake_scheduler_host import DECODE, PREFILL, routing_settings

RATE = 1.5  # tokens a tenth of a millisecond
MEMORY = 150_000  # tokens of texts that a reader keeps
WINDOW = 5 * SECOND
DUE, LIMIT = 15_000, 60_000


class Reader:
    def __init__(self) -> None:
        self.free = 0
        self.read = 0
        self.kept: OrderedDict[tuple[str, int], int] = OrderedDict()

    def take(self, now: int, q: Request) -> tuple[int, int]:
        """When the prompt will have been read, and what of it was found kept."""
        texts = [("session", q.session or 0, q.prompt_tokens), ("beginning", q.prefix or 0, q.prefix_tokens)]
        found = max(min(self.kept.get((kind, text), 0), length) for kind, text, length in texts)
        for kind, text, length in texts:
            self.kept[kind, text] = length
            self.kept.move_to_end((kind, text))
        while sum(self.kept.values()) > MEMORY:
            self.kept.popitem(last=False)
        self.read += q.prompt_tokens - found
        self.free = max(now, self.free) + int((q.prompt_tokens - found) / RATE)
        return self.free, found


class Front:
    """One front's desk and what is out for it."""

    def __init__(self, fleet: Fleet, me: int, house: RoutingSettings) -> None:
        self.fleet = fleet
        self.queries: list[Request] = []
        self.came: list[int] = []
        self.answered: set[int] = set()  # in time or late
        self.shots: Counter[int] = Counter()
        self.desk = SchedulerDriver(house, me, self, fleet.now)
        self.desk.update_endpoints(fleet.now, EndpointUpdate(True, fleet.lines))

    def arrive(self, q: Request) -> None:
        q.index = len(self.queries)
        self.queries.append(q)
        self.came.append(self.fleet.now)
        self.fleet.offered[self.fleet.now // WINDOW] += 1
        self.desk.submit(self.fleet.now, q)

    def start_attempt(self, query: int, engine: int, cap: int) -> None:
        fleet, q, at = self.fleet, self.queries[query], self.fleet.now
        self.shots[query] += 1
        shot = self.shots[query]

        def closed(ending: AttemptStatus, kept: int = 0, over: bool = False) -> None:
            self.desk.attempt_ended(
                fleet.now, query, shot, AttemptOutcome(ending, fleet.now - at, kept), over
            )

        def begun() -> None:
            self.answered.add(query)
            if fleet.now - self.came[query] <= DUE:
                fleet.served[self.came[query] // WINDOW] += 1
            self.desk.stream_started(fleet.now, query, shot, fleet.now - at)
            fleet.at(fleet.now + SECOND, lambda: closed(AttemptStatus.SUCCEEDED, over=True))

        if engine >= len(fleet.readers):
            fleet.at(at + 200, begun)
            return
        fleet.reads += 1
        done, kept = fleet.readers[engine].take(at, q)
        until = min(at + cap if cap else LIMIT + at, self.came[query] + LIMIT)
        if done <= until:
            fleet.at(done, lambda: closed(AttemptStatus.PREFILL_COMPLETE, kept))
        else:
            fleet.overdue += 1
            fleet.at(until, lambda: closed(AttemptStatus.TIMED_OUT))

    def reject(self, query: int, hold_off: int) -> None:
        self.fleet.dismissed += 1

    def set_timer(self, token: str, at: int) -> None:
        self.fleet.at(at, lambda: self.desk.timer_fired(self.fleet.now, token))

    def fail_indeterminate(self, query: int) -> None: ...
    def release_state(self, query: int) -> None: ...
    def migrate_stream(self, query: int) -> None: ...
    def subscribe_to_endpoints(self) -> None: ...
    def log_message(self, text: str) -> None: ...
    def forget_request(self, query: int) -> None: ...


class Fleet:
    """A clock, the readers, as many writers, and the fronts in three zones."""

    def __init__(self, fronts: int, readers: int, seed: int) -> None:
        self.now, self.set = SECOND, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.readers = [Reader() for _ in range(readers)]
        self.lines = [
            EngineRecord(
                at,
                PREFILL if at < readers else DECODE,
                at % 3,
                at // 6,
                0,
                EngineState.READY,
                stable_hash(f"e{at}"),
            )
            for at in range(2 * readers)
        ]
        self.offered: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.reads = self.overdue = self.dismissed = 0
        self.rng = Random(seed)
        self.fronts = []
        for me in range(fronts):
            house = routing_settings(
                front_count=fronts,
                zone=me % 3,
                front_index=me,
                cross_zone_price=0.011,
                tenants=[TenantSettings(1e6)],
            )
            house.request_classes[0].first_token_objective = DUE
            self.fronts.append(Front(self, me, house))

    def at(self, when: int, act: Callable[[], None]) -> None:
        self.set += 1
        heapq.heappush(self.heap, (when, self.set, act))

    def ask(self, session: int, prompt: int, beginning: int, length: int, turns: int, zone: int) -> None:
        front = self.rng.choice([f for f in self.fronts if f.desk.scheduler.settings.zone == zone])
        front.arrive(
            Request(
                0,
                0,
                0,
                session,
                beginning,
                prompt,
                length,
                400,
                100,
                LIMIT,
                False,
                False,
                session_hash=stable_hash(f"s{session}"),
                prefix_hash=stable_hash(f"b{beginning}"),
            )
        )
        if turns > 1:
            self.at(
                self.now + int(self.rng.uniform(8, 14) * SECOND),
                lambda: self.ask(
                    session, prompt + int(self.rng.uniform(300, 900)), beginning, length, turns - 1, zone
                ),
            )

    def play(self, rates: Sequence[float], zones: Sequence[float], beginnings: int = 200) -> list[float]:
        """New sessions a second, window by window; the part in time of what came in each window."""
        weights = [1 / (1 + at) for at in range(beginnings)]
        for window, rate in enumerate(rates):
            at = SECOND + window * WINDOW
            while (at := at + int(self.rng.expovariate(rate) * SECOND)) < SECOND + (window + 1) * WINDOW:
                beginning = self.rng.choices(range(beginnings), weights)[0]
                length = 1_000 + beginning * 7919 % 1_500
                zone = self.rng.choices(range(3), zones)[0]
                prompt = length + int(self.rng.lognormvariate(6, 1))
                turns = self.rng.choice([1, 2, 3])
                self.at(at, partial(self.ask, self.set, prompt, beginning, length, turns, zone))
        while self.heap and self.now < SECOND + (len(rates) + 4) * WINDOW:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        return [self.served[w] / max(1, self.offered[w]) for w in range(len(rates) + 2)]

    def asked(self) -> list[tuple[Request, bool]]:
        """All queries, and whether each was answered."""
        return [(q, q.index in front.answered) for front in self.fronts for q in front.queries]
