"""Seeded histories: real fronts, decisions and list-following on one simulated clock, scripted engines.

Clients, list and engines write down what they see in the lab's words, so that the lab's auditor judges the
history as it would a day on sockets; and since no time is lost between the ends, it allows them none.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, cast
from zlib import crc32

import anyio
import anyio.lowlevel
import msgspec
from anyio.abc import TaskGroup
from msgspec.structs import replace

from runspool.config import parse_config
from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.completions_client import PrefillState
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.send_permit import SendPermit
from runspool.lab.front_configuration import front_configuration
from runspool.lab.plan import ClientsPlan, FrontPlan, RequestClassPlan, ScenarioPlan, TenantPlan
from runspool.lab.recording import Event
from runspool.lab.scripted_scenarios import plan_engine
from runspool.runtime.scheduler_driver import BACKGROUND_TASK
from runspool.scheduling.types import AttemptStatus
from runspool.service.front import Front
from runspool.service.pending_request import RequestNotAcceptedError, ResponseKind
from runspool.wire.completions import parse_completion_request
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage
from tests.clockwork import WALL_MS, now

SECOND = 10_000
CONNECT = 2_500  # until a connect that nobody answers is given up
KINDS = ["prefill", "prefill", "prefill", "decode", "decode", "decode", "mixed", "mixed"]
TARIFFS = [
    RequestClassPlan("ask", 0.5, "rerunnable", 1, 8_000, 0, 25_000, 1_000, 300, 12, 1.0, 0.0, 0),
    RequestClassPlan("book", 0.3, "exclusive", 2, 9_000, 0, 30_000, 1_000, 300, 12, 1.0, 0.0, 0),
    RequestClassPlan(
        "mark",
        0.2,
        "ticketed",
        1,
        8_000,
        0,
        25_000,
        1_000,
        300,
        12,
        1.0,
        0.0,
        0,
        0.1,
        "zone",
        deduplication_window=12_000,
    ),
]

# The words of recordings for final responses.
RECORDED_KINDS = {
    ResponseKind.SUCCEEDED: "succeeded",
    ResponseKind.REJECTED: "dismissed",
    ResponseKind.INDETERMINATE: "scrapped",
    ResponseKind.CLIENT_DISCONNECTED: "left",
}


@dataclass
class Days:
    """What a history holds: how much is asked for how long, and how much goes wrong."""

    length: int = 20 * SECOND
    rate: float = 40.0  # queries a second
    fronts: int = 3
    mishaps: float = 0.06  # part of the shots that go wrong by themselves
    leaving: float = 0.08  # part of the clients that leave early
    troubles: int = 12  # drains, crashes, hangs, restarts, killed fronts
    release_lost: float = 0.15  # part of the calls to let a state go whose connection breaks
    fall_multiple: float = 1.5
    kinds: list[str] = field(default_factory=lambda: list(KINDS))


class FellError(Exception):
    """The engine went down with the shot out."""


class Played:
    """One scripted engine: up, hung or down; what it holds; how long its work takes."""

    def __init__(self, world: World, at: int) -> None:
        self.world = world
        self.plan = world.plan.engines[at]
        self.make = self.plan.spec
        self.up = True
        self.slow = 1.0
        self.started = 0  # 0: long ago
        self.fell = anyio.Event()
        self.calm = anyio.Event()
        self.calm.set()
        self.states: set[str] = set()
        self.lost: Counter[str] = Counter()  # calls to let a state go

    @property
    def warmth(self) -> float:
        if not self.started:
            return 1.0
        part = min(1.0, (now() - self.started) / self.make.slow_start_duration)
        return self.make.slow_start_initial_fraction + (1 - self.make.slow_start_initial_fraction) * part

    def say(self, what: str, **said: Any) -> None:
        self.world.say(what, engine=self.make.name, **said)

    def begin(self, cold: bool) -> None:
        self.up, self.started, self.fell = True, now() if cold else 0, anyio.Event()
        make = self.make
        self.say(
            "engine_up",
            role=make.role,
            zone=make.zone,
            rack=make.rack,
            cold=cold,
            cold_from=make.slow_start_initial_fraction,
            cold_time=make.slow_start_duration,
            multiple=make.slow_start_overload_multiple,
            fall_time=make.slow_start_overload_window,
            work=make.mean_work,
        )

    def crash(self) -> None:
        self.up = False
        self.world.say("killed", process=self.make.name, engine=self.make.name)
        self.states.clear()
        self.fell.set()

    async def work(self, time: float) -> None:
        """Lets time pass at the engine; raises Fell where it goes down meanwhile."""
        fell = self.fell
        with anyio.move_on_after(max(0.0, time) / 10_000):
            await fell.wait()
            raise FellError
        while not self.calm.is_set() and not fell.is_set():
            with anyio.move_on_after(0.01):
                await fell.wait()
        if fell.is_set():
            raise FellError

    def hold(self, request: str, tokens: int, try_: str) -> None:
        self.states.add(request)
        self.say("held", state=request, tokens=tokens, **{"try": try_})
        self.world.spawn(self.expire, request)

    async def expire(self, request: str) -> None:
        await anyio.sleep(self.make.state_ttl / 10_000)
        self.let_go(request, "expired")

    def let_go(self, request: str, how: str, **said: Any) -> bool:
        if request not in self.states:
            return False
        self.states.discard(request)
        self.say(how, state=request, **said)
        return True


Work = Callable[["Played", str, str, AttemptResult, anyio.CancelScope], Coroutine[Any, Any, str]]


class Calls:
    """A front's way to the engines, in place of the one on sockets."""

    def __init__(self, world: World, source: str) -> None:
        self.world, self.source = world, source
        self.draw = world.rng.random
        self.spread = world.rng.uniform

    def _mishap(self, rows: dict[str, float]) -> str:
        luck = self.draw() / max(self.world.days.mishaps, 1e-9)
        for row, share in rows.items():
            luck -= share
            if luck < 0:
                return row
        return ""

    async def _shot(
        self, address: Address, stage: str, headers: Any, limit: int, work: Work
    ) -> AttemptResult:
        """One request from its first byte to its end; `work` returns how it ended for the engine."""
        if limit <= 0:
            return AttemptResult(STATUS_BY_CAUSE[FailureCause.NO_TIME_LEFT], FailureCause.NO_TIME_LEFT)
        one, told = (
            self.world.at(address),
            AttemptResult(
                AttemptStatus.TIMED_OUT, FailureCause.TIMED_OUT_BEFORE_RESPONSE, reached_engine=True
            ),
        )
        request, try_ = headers["X-Request-Id"], headers["Runspool-Mark"]
        up, how = one.up, "left"
        one.say(
            "arrived",
            request=request,
            head=now(),
            peer=self.source,
            stage=stage if up else "knock",
            tariff=headers["Runspool-Tariff"],
            **{"try": try_},
        )
        try:
            with anyio.CancelScope(deadline=anyio.current_time() + limit / 10_000) as scope:
                how = await (work if up else self._refused)(one, request, try_, told, scope)
        except FellError:
            how = "killed"
            told.failure_cause = (
                FailureCause.STREAM_INTERRUPTED if told.output_tokens else FailureCause.CLOSED_BEFORE_RESPONSE
            )
        finally:
            if stage == "read" and up and one.up and how == "left" and self.draw() < 0.3:
                one.hold(request, 1, try_)  # it had just ended when it was given up
            one.say("ended", request=request, how=how, **{"try": try_})
        if told.failure_cause:
            told.status = STATUS_BY_CAUSE[told.failure_cause]
        return told

    async def _refused(
        self, one: Played, request: str, try_: str, told: AttemptResult, scope: anyio.CancelScope
    ) -> str:
        told.failure_cause = FailureCause.CONNECT_FAILED
        await anyio.sleep(self.world.rng.choice([1, 1, CONNECT]) / 10_000)
        return "refused"

    async def prefill(
        self, address: Address, query: PrefillState, headers: Any, limit: int, permit: SendPermit
    ) -> AttemptResult:
        async def work(
            one: Played, request: str, try_: str, told: AttemptResult, scope: anyio.CancelScope
        ) -> str:
            row = self._mishap({"full": 0.3, "failed": 0.3, "cut": 0.2, "silent": 0.2})
            tokens = self.world.asked[try_][0]
            usual = tokens / one.make.prefill_rate * one.slow / one.warmth
            await one.work(3 if row in ("full", "failed") else usual * self.spread(1, 1.5))
            if row == "silent":
                await anyio.sleep_forever()
            if row:
                told.failure_cause = {
                    "full": FailureCause.OVERLOADED,
                    "failed": FailureCause.SERVER_ERROR,
                    "cut": FailureCause.CLOSED_DURING_RESPONSE,
                }[row]
                return "full" if row == "full" else "mishap"
            one.hold(request, tokens, try_)
            told.failure_cause, told.status, told.prompt_tokens = None, AttemptStatus.PREFILL_COMPLETE, tokens
            told.state = cast(PrefillState, {"engine": one, "request": request})
            return "read"

        return await self._shot(address, "read", headers, limit, work)

    async def decode(
        self,
        address: Address,
        query: PrefillState,
        state: PrefillState | None,
        headers: Any,
        limit: int,
        permit: SendPermit,
        most_out: int,
        listener: ResponseListener[str],
    ) -> AttemptResult:
        async def work(
            one: Played, request: str, try_: str, told: AttemptResult, scope: anyio.CancelScope
        ) -> str:
            row = self._mishap(
                {
                    "full": 0.25,
                    "failed": 0.1,
                    "failed_after": 0.1,
                    "cut": 0.2,
                    "silent": 0.1,
                    "silent_ran": 0.1,
                    "cut_stream": 0.15,
                }
            )
            tokens, out = self.world.asked[try_]
            await one.work(3)
            if row == "silent":
                await anyio.sleep_forever()
            if row in ("full", "failed"):
                told.failure_cause = FailureCause.OVERLOADED if row == "full" else FailureCause.SERVER_ERROR
                return "full" if row == "full" else "mishap"
            if not await self._fetched(one, cast("dict[str, Any] | None", state), tokens):
                told.failure_cause = FailureCause.STATE_MISSING
                return "stateless"
            await one.work(self.spread(50, 300) * one.slow / one.warmth)
            one.say("ran", request=request, **{"try": try_})
            if row == "silent_ran":
                await anyio.sleep_forever()
            if row in ("failed_after", "cut"):
                told.failure_cause = (
                    FailureCause.SERVER_ERROR
                    if row == "failed_after"
                    else FailureCause.CLOSED_BEFORE_RESPONSE
                )
                return "mishap"
            scope.deadline = math.inf  # the limit holds to the first token
            await listener.stream_started()
            for told.output_tokens in range(1, out + 1):
                await listener.data_received(f"t{told.output_tokens} ")
                if row == "cut_stream" and told.output_tokens > 2:
                    told.failure_cause = FailureCause.STREAM_INTERRUPTED
                    return "broken"
                await one.work(one.make.step_time * one.slow / one.warmth)
            told.failure_cause, told.status, told.finish_reason = None, AttemptStatus.SUCCEEDED, "stop"
            return "done"

        return await self._shot(address, "write", headers, limit, work)

    async def _fetched(self, one: Played, state: dict[str, Any] | None, tokens: int) -> bool:
        """A state brought from its reader, or a prompt read by a mixed engine itself."""
        if state is None:
            if one.make.role == "mixed":
                await one.work(tokens / one.make.prefill_rate / one.warmth)
            return one.make.role == "mixed"
        if state["request"] not in state["engine"].states:
            return False
        await one.work(self.spread(10, 200))
        return bool(state["engine"].let_go(state["request"], "taken", by=one.make.name))

    async def release_state(
        self, address: Address, state: PrefillState | None, request: str, limit: int
    ) -> FailureCause | None:
        one = self.world.at(address)
        name = cast("dict[str, Any]", state)["request"] if state is not None else request
        await anyio.lowlevel.checkpoint()
        # At most two are lost in a row: whom nothing reaches for long, nobody can tell anything in time.
        if not one.up or (one.lost[name] < 2 and self.draw() < self.world.days.release_lost):
            one.lost[name] += 1
            return FailureCause.CONNECT_FAILED
        one.let_go(name, "released", told=now())
        return None

    async def accepts_connections(self, address: Address) -> bool:
        await anyio.sleep(self.spread(0, 5) / 10_000)
        return self.world.at(address).up


class Ear:
    """A client's end of an answer."""

    def __init__(self, world: World, try_: str, stream: bool) -> None:
        self.world, self.try_, self.stream = world, try_, stream
        self.heard = 0
        self.over = False
        self.patience: anyio.CancelScope | None = None  # ends with the first token it can see

    async def stream_started(self) -> None:
        self._after("begun")

    async def data_received(self, text: str) -> None:
        self._after(text)
        for token in text.split():
            self.heard += 1
            if token != f"t{self.heard}":
                self.world.say("gap", said=token, wanted=self.heard, **{"try": self.try_})
        if self.stream and self.heard == 1:
            self.world.say("first", **{"try": self.try_})
            if self.patience is not None:
                self.patience.deadline = math.inf

    def _after(self, what: str) -> None:
        if self.over:
            self.world.say("extra", said=what, **{"try": self.try_})


class _Quiet:
    """A front's log: only what it did not expect counts."""

    def __init__(self, world: World) -> None:
        self.world = world

    def debug(self, event: str, **said: Any) -> None: ...

    info = warning = error = debug

    def exception(self, event: str, **said: Any) -> None:
        self.world.left_over.append(f"{event}: {said}")


class _Tasks:
    """A front's tasks, so that a kill ends them in the order in which they began. A task group keeps them in
    a set, whose order is another in each process."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.scopes: dict[anyio.CancelScope, None] = {}
        self.over = False

    def start_soon(self, work: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        self.tasks.start_soon(self._run, work, args)

    async def _run(self, work: Callable[..., Coroutine[Any, Any, Any]], args: tuple[Any, ...]) -> None:
        if self.over:
            return
        with anyio.CancelScope() as scope:
            self.scopes[scope] = None
            try:
                await work(*args)
            finally:
                del self.scopes[scope]

    def end(self) -> None:
        self.over = True
        for scope in list(self.scopes):
            scope.cancel()


class Life:
    """One front from its start to its stop or kill."""

    def __init__(self, world: World, at: int, number: int, told: bool = True) -> None:
        self.world, self.at, self.told = world, at, told
        plan = world.plan.fronts[at]
        terms = parse_config(front_configuration(world.plan, at, 1, Path(".")))
        self.front = Front(terms, seed=world.seed * 100 + number)
        self.front.engine_client = cast(Any, Calls(world, plan.source_address))
        self.front.log = self.front.registry.log = self.front.timers.log = cast(Any, _Quiet(world))
        self.scope = anyio.CancelScope()
        self.killed = anyio.Event()
        self.up = False

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.tasks = _Tasks(tasks)
                self.front.tasks = cast(TaskGroup, self.tasks)
                self.tasks.start_soon(self.front.timers.run)
                self.up = True
                if self.told:
                    self.hear(self.world.whole())
                await anyio.sleep_forever()

    def hear(self, news: EndpointListMessage) -> None:
        if not self.up:
            return
        self.world.say(
            "told",
            front=self.world.plan.fronts[self.at].name,
            version=news.version,
            whole=news.is_snapshot,
            engines=[[one.engine, one.state, one.started_unix_ms] for one in news.engines],
        )
        if changed := self.front.endpoint_tracker.apply(now(), news):
            self.front.endpoints_changed(changed)

    async def until_killed(self, scope: anyio.CancelScope) -> None:
        await self.killed.wait()
        scope.cancel()

    def kill(self) -> None:
        self.up = False
        self.killed.set()
        name = self.world.plan.fronts[self.at].name
        self.world.say("killed", process=name, front=name)
        self.tasks.end()
        self.scope.cancel()


class Shape(NamedTuple):
    """What one try asks for; `leaves` is when its client goes, in tenths after it asked, 0 for never."""

    prompt: int
    out: int
    stream: bool
    tenant: str
    leaves: float


class World:
    """Everything around the fronts, from one seed."""

    def __init__(self, seed: int, days: Days, plan: ScenarioPlan | None = None) -> None:
        self.seed, self.days, self.rng = seed, days, Random(seed)
        self.events: list[Event] = []
        self.asked: dict[str, tuple[int, int]] = {}  # try: prompt and answer, in tokens
        self.plan = plan or self._planned()
        for at, one in enumerate(self.plan.engines):
            one.port = at + 1
        self.engines = [Played(self, at) for at in range(len(self.plan.engines))]
        self.lives: list[Life] = []
        self.version, self.states = 0, ["on"] * len(self.engines)
        self.tasks: TaskGroup
        self.left_over: list[str] = []

    def _planned(self) -> ScenarioPlan:
        days, zones = self.days, ["a", "b"]
        engines = [
            plan_engine(f"e{at}", kind, zones[at % 2], at % 2, TARIFFS, self.rng)
            for at, kind in enumerate(days.kinds)
        ]
        for one in engines:
            one.spec = replace(one.spec, slow_start_overload_multiple=days.fall_multiple)
        return ScenarioPlan(
            name="history",
            seed=self.seed,
            duration=days.length,
            requests_per_second=days.rate,
            zones=zones,
            request_classes=TARIFFS,
            tenants=[TenantPlan("one", 0.5, days.rate), TenantPlan("two", 0.5, days.rate)],
            fronts=[
                FrontPlan(f"front-{at}", zones[at % 2], f"127.0.0.{11 + at}") for at in range(days.fronts)
            ],
            engines=engines,
            clients=ClientsPlan(),
            faults=[],
            slow_start_overload_multiple=days.fall_multiple,
        )

    def say(self, what: str, **said: Any) -> None:
        self.events.append({"t": now(), "what": what, **said})

    def spawn(self, work: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        self.tasks.start_soon(partial(work, *args))

    def at(self, address: Address) -> Played:
        return self.engines[address[1] - 1]

    # The list.

    def entry(self, at: int) -> EndpointEntry:
        one = self.engines[at]
        started = round(WALL_MS + one.started / 10) if one.started else 0
        return EndpointEntry(
            one.make.name,
            one.plan.address,
            one.plan.engine_type,
            one.make.zone,
            one.make.rack,
            cast(Any, self.states[at]),
            started,
        )

    def whole(self) -> EndpointListMessage:
        listed = [self.entry(at) for at, state in enumerate(self.states) if state != "gone"]
        return EndpointListMessage(self.version, "epoch", is_snapshot=True, engines=listed)

    def tell(self, at: int, state: str) -> None:
        """News of an engine, to each front at its own time, now and then twice or overtaken by newer news."""
        self.states[at] = state
        self.version += 1
        news = EndpointListMessage(self.version, "epoch", engines=[self.entry(at)])
        for life in self.lives:
            for _ in range(1 + (self.rng.random() < 0.2)):
                self.spawn(self._told, life, news, self.rng.uniform(0, 4_000))

    async def _told(self, life: Life, news: EndpointListMessage, delay: float) -> None:
        await anyio.sleep(delay / 10_000)
        life.hear(news)

    # What goes wrong.

    async def trouble(self, kind: str, at: int, length: float) -> None:
        one = self.engines[at]
        match kind:
            case "drain":
                self.tell(at, "draining")
                await anyio.sleep(length / 10_000)
                self.tell(at, "on")
            case "leave":
                self.tell(at, "draining")
                await anyio.sleep(length / 10_000)
                self.tell(at, "gone")
                one.crash()
                await anyio.sleep(0.5)
                one.begin(cold=True)
                self.tell(at, "on")
            case "crash":
                one.crash()
                if self.rng.random() < 0.5:
                    self.tell(at, "gone")
                await anyio.sleep(length / 10_000)
                one.begin(cold=True)
                self.tell(at, "on")
            case "hang":
                one.calm = anyio.Event()
                await anyio.sleep(length / 10_000)
                one.calm.set()
            case "slow":
                one.slow = self.rng.uniform(2, 6)
                await anyio.sleep(length / 10_000)
                one.slow = 1.0
            case "front":
                number = at % len(self.lives)
                self.lives[number].kill()
                await anyio.sleep(length / 40_000)
                self.lives[number] = Life(self, number, len(self.events))
                self.spawn(self.lives[number].run)

    async def _troubles(self) -> None:
        kinds = ["drain", "leave", "crash", "hang", "slow", "front"]
        free = list(range(len(self.engines)))  # one engine of a kind has no trouble at a time
        self.rng.shuffle(free)
        kept = {self.engines[at].make.role: at for at in free}
        free = [at for at in free if at not in kept.values()]
        gap = self.days.length / (self.days.troubles + 1)
        for number in range(self.days.troubles):
            await anyio.sleep(gap / 10_000)
            kind = kinds[number % len(kinds)]
            at = free[number % len(free)]
            self.spawn(self.trouble, kind, at, self.rng.uniform(0.3, 0.9) * gap)

    # Who asks.

    async def _client(self, item: str, row: RequestClassPlan) -> None:
        first, limit = now(), row.time_limit
        for number in range(1, 3):
            life = self.rng.choice(self.lives)
            left = limit - (now() - first)
            kind = await self.ask(life, f"{item}.{number}", item, row, left, self._shape(row, left))
            if kind not in ("dismissed", "refused") or now() - first > limit - 3_000:
                return
            await anyio.sleep(self.rng.uniform(0, 0.2))

    def _shape(self, row: RequestClassPlan, limit: int) -> Shape:
        prompt, out = int(self.rng.uniform(50, 900)), self.rng.randint(1, 2 * row.output_tokens)
        stream, tenant, leaves = self.rng.random() < 0.7, self.rng.choice(["one", "two"]), 0.0
        if self.rng.random() < self.days.leaving:
            leaves = self.rng.choice([limit, self.rng.uniform(0, limit), self.rng.uniform(0, 3_000)])
        return Shape(prompt, out, stream, tenant, leaves)

    async def ask(
        self, life: Life, try_: str, item: str, row: RequestClassPlan, limit: int, shape: Shape
    ) -> str:
        """One try to its end; returns the kind of its answer."""
        prompt, out, stream, tenant, leaves = shape
        self.asked[try_] = prompt, out
        self.say(
            "asked",
            item=item,
            front=self.plan.fronts[life.at].name,
            tariff=row.name,
            tenant=tenant,
            limit=limit,
            due=row.first_token_objective,
            prompt=prompt,
            out=out,
            number=1,
            stream=stream,
            **{"try": try_},
        )
        if not life.up:
            self.say("answer", kind="unreachable", code="", at=now(), **{"try": try_})
            return "unreachable"
        self.say("sent", **{"try": try_})
        headers = {
            "runspool-tariff": row.name,
            "runspool-tenant": tenant,
            "runspool-ticket": item,
            "runspool-session": f"s{crc32(item.encode()) % 50}",
            "runspool-prompt-tokens": str(prompt),
            "runspool-limit-ms": str(max(1, limit // 10)),
            "runspool-likely-tokens": str(out),
            "runspool-mark": try_,
            "runspool-try": try_.rpartition(".")[2],
        }
        ear = Ear(self, try_, stream)
        body = msgspec.json.encode({"prompt": item, "max_tokens": 500, "stream": stream})
        wish = parse_completion_request(headers, body, life.front.config)
        kind, code = "none", ""
        try:
            taken = life.front.submit(wish, ear, now())
        except RequestNotAcceptedError as refused:
            kind, code = "refused" if refused.kind is ResponseKind.REJECTED else "scrapped", refused.code
        else:
            # What still comes after the client's time is up is late; a client that leaves hears no more.
            with anyio.move_on_after((leaves or limit + SECOND) / 10_000) as patience:
                ear.patience = None if leaves else patience
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(life.until_killed, tasks.cancel_scope)
                    await taken.done.wait()
                    tasks.cancel_scope.cancel()
            if not life.up and taken.final_response is None:
                kind = "lost"
            elif taken.final_response is None:
                kind = "left" if leaves else "none"
                life.front.client_disconnected(taken)
            else:
                kind, code = RECORDED_KINDS[taken.final_response.kind], taken.final_response.code
        ear.over = True
        if kind == "succeeded":
            self.say("end" if stream else "first", tokens=ear.heard, finish="stop", **{"try": try_})
            if ear.heard != out:
                self.say("gap", said=ear.heard, wanted=out, **{"try": try_})
        self.say("answer", kind=kind, code=code, at=now(), **{"try": try_})
        return kind

    async def run(self) -> None:
        """The whole history; afterwards `events` holds what was seen and `left_over` what was left behind."""
        self.say("day", plan=msgspec.to_builtins(self.plan))
        async with anyio.create_task_group() as self.tasks:
            await self._play()
            await anyio.sleep(20)
            self.say("over")
            for life in self.lives:
                self.left_over += leftovers(life.front)
            self.tasks.cancel_scope.cancel()

    def _start(self, told: bool) -> None:
        self.lives = [Life(self, at, at, told) for at in range(len(self.plan.fronts))]
        for life in self.lives:
            self.spawn(life.run)

    async def _play(self) -> None:
        for one in self.engines:
            one.begin(cold=False)
        self._start(told=True)
        self.spawn(self._troubles)
        end, number = now() + self.days.length, 0
        while now() < end:
            await anyio.sleep(self.rng.expovariate(self.days.rate))
            row = self.rng.choices(TARIFFS, [row.share for row in TARIFFS])[0]
            number += 1
            self.spawn(self._client, str(number), row)


class Recorded(World):
    """A day that was recorded on sockets, played again: who asked and left, what the list told each front,
    which engines and fronts went and came, at their times. Engines' mishaps and paces come from the seed."""

    def __init__(self, seed: int, recording: list[Event]) -> None:
        plan: ScenarioPlan = msgspec.convert(
            next(one["plan"] for one in recording if one["what"] == "day"), ScenarioPlan
        )
        super().__init__(seed, Days(), plan)
        self.recording = recording
        self.rows = {row.name: row for row in plan.request_classes}
        self.numbers = {one.spec.name: at for at, one in enumerate(plan.engines)}
        self.front_numbers = {one.name: at for at, one in enumerate(plan.fronts)}
        self.left = {
            one["try"]: one["at"] for one in recording if one["what"] == "answer" and one["kind"] == "left"
        }

    async def _play(self) -> None:
        start, first = now(), next(one["at"] for one in self.recording if one["what"] == "begin")
        self._start(told=False)
        await anyio.sleep(0.001)
        for event in self.recording:
            wait = start + max(0, event["t"] - first) - now()
            if wait > 0:
                await anyio.sleep(wait / 10_000)
            self._again(event)
        await anyio.sleep(10)  # longer streams than the seeded ones

    def _again(self, event: Event) -> None:
        match event["what"]:
            case "asked":
                try_, life = event["try"], self.lives[self.front_numbers[event["front"]]]
                leaves = max(1, self.left[try_] - event["t"]) if try_ in self.left else 0
                shape = Shape(event["prompt"], event["out"], event["stream"], event["tenant"], leaves)
                row = self.rows[event["tariff"]]
                self.spawn(self.ask, life, try_, event["item"], row, event["limit"], shape)
            case "told":
                entries = []
                for name, state, started in event["engines"]:
                    at = self.numbers[name]
                    self.states[at] = state
                    entry = self.entry(at)
                    entries.append(entry if started else msgspec.structs.replace(entry, started_unix_ms=0))
                self.lives[self.front_numbers[event["front"]]].hear(
                    EndpointListMessage(
                        event["version"], "epoch", is_snapshot=event["whole"], engines=entries
                    )
                )
            case "engine_up":
                self.engines[self.numbers[event["engine"]]].begin(event["cold"])
            case "killed" if "engine" in event:
                self.engines[self.numbers[event["engine"]]].crash()
            case "killed" if "front" in event:
                self.lives[self.front_numbers[event["front"]]].kill()
            case "front_up" if event["life"] > 1:
                at = self.front_numbers[event["front"]]
                self.lives[at] = Life(self, at, len(self.events), told=False)
                self.spawn(self.lives[at].run)


def leftovers(front: Front) -> list[str]:
    """What a front still has in its books; nothing once every query has ended."""
    found = [f"query {index}" for index in front.requests]
    for quarter in front.cell_schedulers.values():
        rules = quarter.driver.scheduler
        found += [f"errand {index}" for index in quarter.driver.tasks if index != BACKGROUND_TASK]
        found += [f"{quarter.name} counts {quarter.open_requests} queries"] if quarter.open_requests else []
        found += [f"room {place}" for place in rules.prefill_queue]
        for one in rules.engines.values():
            books = {"prefills": one.prefills, "waiting_decodes": one.waiting_decodes, "streams": one.streams}
            found += [f"engine {one.id}: {name} {book}" for name, book in books.items() if book]
            found += (
                [f"engine {one.id}: prefill tokens {one.prefill_tokens}, stream tokens {one.stream_tokens}"]
                if one.prefill_tokens or one.stream_tokens
                else []
            )
    held = front.cell_router
    found += (
        [f"held {held.request_budget.used} {held.byte_budget.used}"]
        if held.request_budget.used or held.byte_budget.used
        else []
    )
    return found + [f"out {held.migrations.in_flight}"] * bool(held.migrations.in_flight)
