"""One tiny fake host: a front's desk, a clock, and engines that do what the story says."""

from __future__ import annotations

import heapq

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

READER, WRITER, MIXED = 0, 1, 2


def terms(
    effect: Idempotency = Idempotency.IDEMPOTENT,
    group: DeduplicationScope = DeduplicationScope.ALL,
    **said: object,
) -> RoutingSettings:
    row = RequestClassSettings(SECOND, 0, 500, 1.0, 0.1, effect, group, 5 * SECOND)
    house = RoutingSettings(
        front_index=0,
        front_count=1,
        zone=0,
        request_classes=[row],
        tenants=[TenantSettings(5.0)],
        engine_types=[
            EngineTypeSettings(Role.PREFILL, 90_000),
            EngineTypeSettings(Role.DECODE, 90_000),
            EngineTypeSettings(Role.MIXED, 90_000),
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
    for name, value in said.items():
        setattr(house, name, value)
    return house


class FakeHost:
    def __init__(self, kinds: list[int], house: RoutingSettings | None = None) -> None:
        self.now = 1_000 * SECOND
        self.said: list[tuple[str, int]] = []  # what was asked, of which query
        self.shots: list[tuple[int, int, int]] = []  # query, engine, cap
        self.timers: list[tuple[int, str]] = []
        self.desk = SchedulerDriver(house or terms(), 7, self, self.now)
        self.luck = 0.0  # no story hangs on a draw
        self.desk.scheduler.random = lambda: self.luck
        self.lines = [
            EngineRecord(at, kind, 0, 0, 0, EngineState.READY, 1 + at * 2654435761 % 4294967291)
            for at, kind in enumerate(kinds)
        ]
        self.desk.update_endpoints(self.now, EndpointUpdate(True, list(self.lines)))
        self.asked = self.hold_off = 0

    def start_attempt(self, query: int, engine: int, cap: int) -> None:
        self.said.append(("send", query))
        self.shots.append((query, engine, cap))

    def reject(self, query: int, hold_off: int) -> None:
        self.said.append(("dismiss", query))
        self.hold_off = hold_off

    def fail_indeterminate(self, query: int) -> None:
        self.said.append(("scrap", query))

    def release_state(self, query: int) -> None:
        self.said.append(("release", query))

    def migrate_stream(self, query: int) -> None:
        self.said.append(("move", query))

    def subscribe_to_endpoints(self) -> None:
        self.said.append(("subscribe", -1))

    def set_timer(self, token: str, at: int) -> None:
        heapq.heappush(self.timers, (at, token))

    def log_message(self, text: str) -> None: ...

    def forget_request(self, query: int) -> None: ...

    def ask(
        self, prompt: int = 2_000, budget: int = 4 * SECOND, session: int | None = None, **said: int
    ) -> int:
        """A client's query; returns its index."""
        self.asked += 1
        tariff = said.get("tariff", 0)
        self.desk.submit(
            self.now,
            Request(
                self.asked,
                tariff if tariff >= 0 else None,
                said.get("tenant"),
                session,
                said.get("beginning"),
                prompt,
                said.get("beginning_length", 0),
                400,
                said.get("likely_out", 50),
                budget,
                bool(said.get("resent")),
                bool(said.get("again")),
                prefix_hash=said.get("mark", 0),
            ),
        )
        return self.asked

    def end(
        self,
        query: int,
        ending: AttemptStatus,
        over: bool = False,
        took: int = 500,
        kept: int = 0,
        report: LoadReport | None = None,
        shot: int = 0,
    ) -> None:
        """The end of a shot, the last one where none is named."""
        self.desk.attempt_ended(
            self.now, query, shot or self.shots_of(query), AttemptOutcome(ending, took, kept, report), over
        )

    def begin(self, query: int, took: int = 300, shot: int = 0) -> None:
        self.desk.stream_started(self.now, query, shot or self.shots_of(query), took)

    def shots_of(self, query: int) -> int:
        return sum(shot == query for shot, _, _ in self.shots)

    def serve(self, query: int) -> None:
        """The shot that is out, and what follows it, as a healthy engine would end it."""
        if self.lines[self.at(query)].engine_type == READER:
            self.end(query, AttemptStatus.PREFILL_COMPLETE)
        self.begin(query)
        self.end(query, AttemptStatus.SUCCEEDED, over=True, took=10_000)

    def tell(self, engine: int, state: str = "on", started: int = 0) -> None:
        line = self.lines[engine]
        told = EngineRecord(
            engine, line.engine_type, line.zone, line.rack, started, EngineState(state), line.stable_hash
        )
        self.desk.update_endpoints(self.now, EndpointUpdate(False, [told]))

    def wait(self, time: int) -> None:
        """Lets time pass, ringing what falls due."""
        until = self.now + time
        while self.timers and self.timers[0][0] <= until:
            self.now, token = heapq.heappop(self.timers)
            self.desk.timer_fired(self.now, token)
        self.now = until

    def at(self, query: int) -> int:
        return [engine for shot, engine, _ in self.shots if shot == query][-1]

    def of(self, query: int) -> list[str]:
        return [word for word, whose in self.said if whose == query]
