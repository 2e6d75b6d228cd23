"""A fake host for the scheduler, with the real driver and decisions.

The test sets the clock, plays the part of the engines, submits requests and ends attempts; the host records
every action that the scheduler requests.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.settings import (
    EngineTypeSettings,
    RequestClassSettings,
    RoutingSettings,
    TenantSettings,
)
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import (
    AttemptOutcome,
    AttemptStatus,
    DeduplicationScope,
    EndpointUpdate,
    EngineRecord,
    EngineState,
    Idempotency,
    LoadReport,
    Request,
    Role,
)

# Indices of the engine types in `routing_settings`.
PREFILL, DECODE, MIXED = 0, 1, 2

START = 1_000 * SECOND  # the time at which the host starts
SEED = 7
ENGINE_MEMORY_TOKENS = 90_000
MAX_OUTPUT_TOKENS = 400
# Default durations of attempts in `FakeSchedulerHost`, in tenths of a millisecond.
PREFILL_DURATION = 500
FIRST_TOKEN_DURATION = 300
STREAM_DURATION = 10_000

# Spread the engines' stable hashes over 32 bits.
HASH_MULTIPLIER, HASH_MODULUS = 2654435761, 4294967291


def routing_settings(
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
    **overrides: object,
) -> RoutingSettings:
    """Return settings with one front, request class and tenant; `overrides` set attributes by their names."""
    request_class = RequestClassSettings(
        SECOND, 0, 500, 1.0, 0.1, idempotency, deduplication_scope, 5 * SECOND
    )
    settings = RoutingSettings(
        front_index=0,
        front_count=1,
        zone=0,
        request_classes=[request_class],
        tenants=[TenantSettings(5.0)],
        engine_types=[
            EngineTypeSettings(Role.PREFILL, ENGINE_MEMORY_TOKENS),
            EngineTypeSettings(Role.DECODE, ENGINE_MEMORY_TOKENS),
            EngineTypeSettings(Role.MIXED, ENGINE_MEMORY_TOKENS),
        ],
        over_quota_value=0.1,
        response_slack=80,
        slow_start_initial_fraction=0.25,
        slow_start_duration=10 * SECOND,
        slow_start_overload_multiple=2.0,
        slow_start_overload_window=SECOND,
        state_release_timeout=3000,
        max_attempts=5,
        may_hedge=False,
        may_cancel=True,
        may_probe=False,
        may_reserve=False,
        may_send_retry_after=True,
        max_retry_after=SECOND,
        streams_can_resume=True,
        decode_engines_prefill=False,
        must_subscribe=False,
        subscribe_interval=0,
        cross_rack_price=0.03,
        cross_zone_price=0.02,
        late_failure_price=0.04,
        wasted_work_price=0.1,
    )
    for name, value in overrides.items():
        setattr(settings, name, value)
    return settings


class StartedAttempt(NamedTuple):
    """An attempt that the scheduler started; with `timeout` 0, only the client's deadline limits it."""

    request: int
    engine: int
    timeout: int


class FakeSchedulerHost:
    """A host that drives a scheduler with one engine for each entry of `engine_types`.

    It only records the scheduler's actions; the test decides what becomes of them.
    """

    def __init__(self, engine_types: list[int], settings: RoutingSettings | None = None) -> None:
        self.now = START
        self.actions: list[tuple[str, int]] = []  # the action's name and the request's index
        self.attempts: list[StartedAttempt] = []
        self.timers: list[tuple[int, str]] = []
        self.driver = SchedulerDriver(settings or routing_settings(), SEED, self, self.now)
        self.random_draw = 0.0  # returned by each of the scheduler's random draws
        self.driver.scheduler.random = lambda: self.random_draw
        self.engine_records = [
            EngineRecord(
                index, engine_type, 0, 0, 0, EngineState.READY, 1 + index * HASH_MULTIPLIER % HASH_MODULUS
            )
            for index, engine_type in enumerate(engine_types)
        ]
        self.driver.update_endpoints(self.now, EndpointUpdate(True, list(self.engine_records)))
        self.submitted_count = 0
        self.retry_after = 0

    # Actions of the scheduler.

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Record the start of an attempt."""
        self.actions.append(("start_attempt", request))
        self.attempts.append(StartedAttempt(request, engine, timeout))

    def reject(self, request: int, retry_after: int) -> None:
        """Record a rejection and the time after which the client may retry."""
        self.actions.append(("reject", request))
        self.retry_after = retry_after

    def fail_indeterminate(self, request: int) -> None:
        """Record a failure after which the request may have been executed."""
        self.actions.append(("fail_indeterminate", request))

    def release_state(self, request: int) -> None:
        """Record the release of a prefill's state."""
        self.actions.append(("release_state", request))

    def migrate_stream(self, request: int) -> None:
        """Record that a stream is to be moved to another engine."""
        self.actions.append(("migrate_stream", request))

    def subscribe_to_endpoints(self) -> None:
        """Record a subscription to the endpoint list."""
        self.actions.append(("subscribe_to_endpoints", -1))

    def set_timer(self, token: str, at: int) -> None:
        """Store the timer until `advance` reaches its time."""
        heapq.heappush(self.timers, (at, token))

    def log_message(self, text: str) -> None:
        """Do nothing: no test checks these messages."""

    def forget_request(self, request: int) -> None:
        """Do nothing: requests are kept for the assertions."""

    # Events that the test triggers.

    def submit(
        self,
        prompt_tokens: int = 2_000,
        time_budget: int = 4 * SECOND,
        session: int | None = None,
        *,
        request_class: int | None = 0,
        tenant: int | None = None,
        prefix: int | None = None,
        prefix_tokens: int = 0,
        prefix_hash: int = 0,
        expected_output_tokens: int = 50,
        is_client_retry: bool = False,
        is_continuation: bool = False,
    ) -> int:
        """Submit a client's request and return its index."""
        self.submitted_count += 1
        request = Request(
            self.submitted_count,
            request_class,
            tenant,
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            MAX_OUTPUT_TOKENS,
            expected_output_tokens,
            time_budget,
            is_client_retry,
            is_continuation,
            prefix_hash=prefix_hash,
        )
        self.driver.submit(self.now, request)
        return request.index

    def end_attempt(
        self,
        request: int,
        status: AttemptStatus,
        finished: bool = False,
        *,
        duration: int = PREFILL_DURATION,
        cached_tokens: int = 0,
        load_report: LoadReport | None = None,
        attempt: int = 0,
    ) -> None:
        """End an attempt of a request; `attempt` 0 means the last one.

        `finished` says that the client has received its final response.
        """
        outcome = AttemptOutcome(status, duration, cached_tokens, load_report)
        self.driver.attempt_ended(
            self.now, request, attempt or self.attempt_count(request), outcome, finished
        )

    def start_stream(self, request: int, *, duration: int = FIRST_TOKEN_DURATION, attempt: int = 0) -> None:
        """Report the first token of an attempt; `attempt` 0 means the last one."""
        self.driver.stream_started(self.now, request, attempt or self.attempt_count(request), duration)

    def complete(self, request: int) -> None:
        """Complete the request: end its prefill, if one is in progress, then start and end its decode."""
        if self.engine_records[self.engine_of(request)].engine_type == PREFILL:
            self.end_attempt(request, AttemptStatus.PREFILL_COMPLETE)
        self.start_stream(request)
        self.end_attempt(request, AttemptStatus.SUCCEEDED, finished=True, duration=STREAM_DURATION)

    def update_engine(
        self, engine: int, state: EngineState = EngineState.READY, *, started_at: int = 0
    ) -> None:
        """Notify the scheduler of an engine's state and start time."""
        listed = self.engine_records[engine]
        update = EngineRecord(
            engine,
            listed.engine_type,
            listed.zone,
            listed.rack,
            started_at,
            state,
            listed.stable_hash,
        )
        self.driver.update_endpoints(self.now, EndpointUpdate(False, [update]))

    def advance(self, duration: int) -> None:
        """Advance the clock and fire each timer that is due at its time."""
        end = self.now + duration
        while self.timers and self.timers[0][0] <= end:
            self.now, token = heapq.heappop(self.timers)
            self.driver.timer_fired(self.now, token)
        self.now = end

    # Results that the test checks.

    def attempt_count(self, request: int) -> int:
        """Return how many attempts of the request were started."""
        return sum(attempt.request == request for attempt in self.attempts)

    def engine_of(self, request: int) -> int:
        """Return the engine of the request's last attempt."""
        return [attempt.engine for attempt in self.attempts if attempt.request == request][-1]

    def actions_of(self, request: int) -> list[str]:
        """Return the names of the actions for the request, in order."""
        return [action for action, action_request in self.actions if action_request == request]
