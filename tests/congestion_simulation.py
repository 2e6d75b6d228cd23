"""A discrete-event simulation of prefill congestion, with the real schedulers of many fronts.

Prefill engines process prompts first come, first served, at a fixed rate, including prompts whose attempt
the front has given up. Decode engines start each stream after a fixed delay. No other part of a fleet is
simulated.
"""

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

# Durations are in tenths of a millisecond unless a name says otherwise.
START = SECOND
WINDOW = 5 * SECOND  # new sessions arrive at one rate during a window
DRAIN_WINDOWS = 4  # windows that are simulated after the last new session

FIRST_TOKEN_OBJECTIVE = 15_000  # from submission; a later first token does not count as in time
TIME_LIMIT = 60_000  # from submission, after which a client gives up
MAX_OUTPUT_TOKENS, EXPECTED_OUTPUT_TOKENS = 400, 100

PREFILL_RATE = 1.5  # tokens per tenth of a millisecond
CACHE_TOKENS = 150_000  # the capacity of each prefill engine's prefix cache
FIRST_TOKEN_DELAY = 200  # from the start of a decode attempt to its first token
STREAM_DURATION = SECOND

ZONE_COUNT = 3
ENGINES_PER_RACK = 6
CROSS_ZONE_PRICE = 0.011
UNLIMITED_RATE = 1e6  # the tenant's quota, so high that it never limits requests

TURNS = [1, 2, 3]  # possible numbers of requests of a session
TURN_GAP_SECONDS = (8, 14)  # from one request of a session to the next
TOKENS_ADDED_BY_TURN = (300, 900)  # by which the next prompt of a session is longer
MIN_PREFIX_TOKENS = 1_000  # length of the shortest prefix that sessions share


class PrefillEngine:
    """An engine that prefills first come, first served, and keeps a least-recently-used cache of prefixes."""

    def __init__(self) -> None:
        self.free_at = 0
        # The number of cached tokens by kind and number of the text, the least recently used first.
        self.cache: OrderedDict[tuple[str, int], int] = OrderedDict()

    def prefill(self, now: int, request: Request) -> tuple[int, int]:
        """Queue a prompt; return when its prefill will complete and how many of its tokens were cached."""
        texts = [
            ("session", request.session or 0, request.prompt_tokens),
            ("prefix", request.prefix or 0, request.prefix_tokens),
        ]
        cached_tokens = max(min(self.cache.get((kind, name), 0), tokens) for kind, name, tokens in texts)
        for kind, name, tokens in texts:
            self.cache[kind, name] = tokens
            self.cache.move_to_end((kind, name))
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        duration = int((request.prompt_tokens - cached_tokens) / PREFILL_RATE)
        self.free_at = max(now, self.free_at) + duration
        return self.free_at, cached_tokens


class CongestedFront:
    """One front: its scheduler's driver, its requests and their attempts.

    `answered` holds the requests that received a first token, in time or late.
    """

    def __init__(self, simulation: CongestionSimulation, index: int, settings: RoutingSettings) -> None:
        self.simulation = simulation
        self.requests: list[Request] = []
        self.submitted_at: list[int] = []
        self.answered: set[int] = set()
        self.attempt_counts: Counter[int] = Counter()
        self.driver = SchedulerDriver(settings, index, self, simulation.now)
        self.driver.update_endpoints(simulation.now, EndpointUpdate(True, simulation.engine_records))

    def submit(self, request: Request) -> None:
        """Submit a client's request to the scheduler."""
        now = self.simulation.now
        request.index = len(self.requests)
        self.requests.append(request)
        self.submitted_at.append(now)
        self.simulation.submitted[now // WINDOW] += 1
        self.driver.submit(now, request)

    # Actions of the scheduler.

    def start_attempt(self, request_index: int, engine: int, timeout: int) -> None:
        """Send a request to an engine."""
        self.attempt_counts[request_index] += 1
        if engine < len(self.simulation.prefill_engines):
            self._start_prefill(request_index, engine, timeout)
        else:
            self._start_decode(request_index)

    def reject(self, request_index: int, retry_after: int) -> None:
        """Count a rejection."""
        self.simulation.rejected += 1

    def set_timer(self, token: str, at: int) -> None:
        """Schedule the driver's timer."""
        self.simulation.schedule(at, lambda: self.driver.timer_fired(self.simulation.now, token))

    def fail_indeterminate(self, request_index: int) -> None:
        """Do nothing."""

    def release_state(self, request_index: int) -> None:
        """Do nothing: the simulated engines do not limit reserved states."""

    def migrate_stream(self, request_index: int) -> None:
        """Do nothing: the simulated engines do not limit streams."""

    def subscribe_to_endpoints(self) -> None:
        """Do nothing: the list never changes."""

    def log_message(self, text: str) -> None:
        """Do nothing."""

    def forget_request(self, request_index: int) -> None:
        """Do nothing: requests are kept for the statistics."""

    # Simulated attempts.

    def _start_prefill(self, request_index: int, engine: int, timeout: int) -> None:
        simulation, sent_at = self.simulation, self.simulation.now
        simulation.prefills += 1
        end_attempt = self._attempt_end(request_index)
        request = self.requests[request_index]
        done_at, cached_tokens = simulation.prefill_engines[engine].prefill(sent_at, request)
        gives_up_at = min(
            sent_at + timeout if timeout else TIME_LIMIT + sent_at,
            self.submitted_at[request_index] + TIME_LIMIT,
        )
        if done_at <= gives_up_at:
            simulation.schedule(done_at, lambda: end_attempt(AttemptStatus.PREFILL_COMPLETE, cached_tokens))
        else:
            simulation.timed_out += 1
            simulation.schedule(gives_up_at, lambda: end_attempt(AttemptStatus.TIMED_OUT))

    def _start_decode(self, request_index: int) -> None:
        simulation, sent_at = self.simulation, self.simulation.now
        attempt = self.attempt_counts[request_index]
        end_attempt = self._attempt_end(request_index)

        def start_stream() -> None:
            self._count_answer(request_index)
            self.driver.stream_started(simulation.now, request_index, attempt, simulation.now - sent_at)
            simulation.schedule(
                simulation.now + STREAM_DURATION,
                lambda: end_attempt(AttemptStatus.SUCCEEDED, finished=True),
            )

        simulation.schedule(sent_at + FIRST_TOKEN_DELAY, start_stream)

    def _attempt_end(self, request_index: int) -> Callable[..., None]:
        """Return a function that ends the attempt that starts now."""
        simulation, sent_at = self.simulation, self.simulation.now
        attempt = self.attempt_counts[request_index]

        def end_attempt(status: AttemptStatus, cached_tokens: int = 0, finished: bool = False) -> None:
            outcome = AttemptOutcome(status, simulation.now - sent_at, cached_tokens)
            self.driver.attempt_ended(simulation.now, request_index, attempt, outcome, finished)

        return end_attempt

    def _count_answer(self, request_index: int) -> None:
        self.answered.add(request_index)
        submitted_at = self.submitted_at[request_index]
        if self.simulation.now - submitted_at <= FIRST_TOKEN_OBJECTIVE:
            self.simulation.answered_in_time[submitted_at // WINDOW] += 1


class CongestionSimulation:
    """A simulated clock, fronts in three zones, prefill engines and the same number of decode engines.

    `submitted` and `answered_in_time` count requests by the window in which they were submitted.
    """

    def __init__(self, front_count: int, prefill_engine_count: int, seed: int) -> None:
        self.now = START
        self.event_count = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.prefill_engines = [PrefillEngine() for _ in range(prefill_engine_count)]
        self.engine_records = [
            EngineRecord(
                index,
                PREFILL if index < prefill_engine_count else DECODE,
                index % ZONE_COUNT,
                index // ENGINES_PER_RACK,
                0,
                EngineState.READY,
                stable_hash(f"e{index}"),
            )
            for index in range(2 * prefill_engine_count)
        ]
        self.submitted: Counter[int] = Counter()
        self.answered_in_time: Counter[int] = Counter()
        self.prefills = self.timed_out = self.rejected = 0
        self.random = Random(seed)
        self.fronts = [
            CongestedFront(self, index, _front_settings(index, front_count)) for index in range(front_count)
        ]

    def schedule(self, at: int, callback: Callable[[], None]) -> None:
        """Schedule a call; calls for the same time run in the order in which they were scheduled."""
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, callback))

    def submit_turn(
        self, session: int, prompt_tokens: int, prefix: int, prefix_tokens: int, turns: int, zone: int
    ) -> None:
        """Submit a session's next request at a front of the zone, and schedule the following one, if any."""
        fronts = [front for front in self.fronts if front.driver.scheduler.settings.zone == zone]
        front = self.random.choice(fronts)
        front.submit(_request(session, prompt_tokens, prefix, prefix_tokens))
        if turns > 1:
            next_at = self.now + int(self.random.uniform(*TURN_GAP_SECONDS) * SECOND)
            self.schedule(
                next_at,
                lambda: self.submit_turn(
                    session,
                    prompt_tokens + int(self.random.uniform(*TOKENS_ADDED_BY_TURN)),
                    prefix,
                    prefix_tokens,
                    turns - 1,
                    zone,
                ),
            )

    def run(
        self, session_rates: Sequence[float], zone_weights: Sequence[float], prefix_count: int = 200
    ) -> list[float]:
        """Simulate sessions that arrive at the given rates, in new sessions per second for each window.

        Return the fraction of requests answered in time, for each of these windows and the two after them.
        """
        prefix_weights = [1 / (1 + index) for index in range(prefix_count)]
        for window, rate in enumerate(session_rates):
            at = START + window * WINDOW
            end = START + (window + 1) * WINDOW
            while (at := at + int(self.random.expovariate(rate) * SECOND)) < end:
                self._schedule_session(at, prefix_weights, zone_weights)
        end = START + (len(session_rates) + DRAIN_WINDOWS) * WINDOW
        while self.events and self.now < end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return [
            self.answered_in_time[window] / max(1, self.submitted[window])
            for window in range(len(session_rates) + 2)
        ]

    def _schedule_session(
        self, at: int, prefix_weights: Sequence[float], zone_weights: Sequence[float]
    ) -> None:
        prefix = self.random.choices(range(len(prefix_weights)), prefix_weights)[0]
        prefix_tokens = MIN_PREFIX_TOKENS + prefix * 7919 % 1_500
        zone = self.random.choices(range(ZONE_COUNT), zone_weights)[0]
        prompt_tokens = prefix_tokens + int(self.random.lognormvariate(6, 1))
        turns = self.random.choice(TURNS)
        session = self.event_count
        self.schedule(
            at, partial(self.submit_turn, session, prompt_tokens, prefix, prefix_tokens, turns, zone)
        )

    def requests(self) -> list[tuple[Request, bool]]:
        """Return all requests, each with whether it was answered."""
        return [
            (request, request.index in front.answered) for front in self.fronts for request in front.requests
        ]


def _front_settings(index: int, front_count: int) -> RoutingSettings:
    settings = routing_settings(
        front_count=front_count,
        zone=index % ZONE_COUNT,
        front_index=index,
        cross_zone_price=CROSS_ZONE_PRICE,
        tenants=[TenantSettings(UNLIMITED_RATE)],
    )
    settings.request_classes[0].first_token_objective = FIRST_TOKEN_OBJECTIVE
    return settings


def _request(session: int, prompt_tokens: int, prefix: int, prefix_tokens: int) -> Request:
    return Request(
        0,
        0,
        0,
        session,
        prefix,
        prompt_tokens,
        prefix_tokens,
        MAX_OUTPUT_TOKENS,
        EXPECTED_OUTPUT_TOKENS,
        TIME_LIMIT,
        False,
        False,
        session_hash=stable_hash(f"s{session}"),
        prefix_hash=stable_hash(f"b{prefix}"),
    )
