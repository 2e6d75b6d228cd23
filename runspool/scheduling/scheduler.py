"""The decisions of one front. How to call it: make a Rules from the house terms and a seed; set now before
each call; feed roster(); drive query(q) and watch(), generators that yield what they want done and are
resumed with its result. The interface is runspool/scheduling/types.py.

Mechanisms beside the design (docs/design.md says when each acts):
1 Overdue age: the oldest unanswered shot is a floor under an engine's predicted wait, and a shot that another
  may follow is given up past a multiple of what was foreseen.
2 Distrust: failures shun an engine for a doubling time, then it is tried with one shot at a time.
3 Line: reads wait at the front while the best queue is long (beyond a tenant's share sooner) or all writers
  are full, and are dismissed once they cannot begin in time.
4 Spill: where the line of every stream-free server is full, a mixed one that carries streams may read.
5 Cold share: a starting engine is offered a part of this front's traffic, by one draw a query.
6 Distance: leaving rack, zone or a text's home counts as wait for readers, as load for writers.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter, defaultdict
from collections.abc import Generator
from math import exp2, log
from random import Random
from typing import Any, cast

from runspool.scheduling.actions import (
    Action,
    AwaitCompletion,
    FailIndeterminate,
    MigrateStream,
    Reject,
    ReleaseState,
    Sleep,
    StartAttempt,
    SubscribeToEndpoints,
)
from runspool.scheduling.engine_index import MARKS, EngineIndex
from runspool.scheduling.engine_state import Engine, Known, Tariff
from runspool.scheduling.request_lifecycle import reservation_time
from runspool.scheduling.request_progress import RequestProgress
from runspool.scheduling.settings import EngineTypeSettings, RoutingSettings
from runspool.scheduling.types import (
    NOT_EXECUTED,
    AttemptOutcome,
    AttemptStatus,
    DeduplicationScope,
    EndpointUpdate,
    EngineState,
    Idempotency,
    LoadReport,
    Request,
    Role,
)

NEVER_SENT = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})  # as if there had been no shot
MILLI, SECOND = 10, 10_000
DISPATCH = 0.8  # fraction of a mixed server's cap up to which streams are packed on it
CEILING = 1.2  # fraction of a writer's cap above which a stream is stopped
FRESH = 2 * SECOND  # a report older than this says nothing of now
FADES = 12 * SECOND  # half-life of what an unheard engine has taught
STANDS = 3 * SECOND  # half-life of a queue: older lessons weigh little beside what is timed now
FIRST_RATE = 1.0  # tokens a tenth of a millisecond, before any read has been timed
LEAST_WAIT = 150 * MILLI  # a shorter one dismisses nothing
BACKOFF = 200 * MILLI
JAM_PASSES = 4  # times the soonest first token that a dismissed client is told to stay away for
LONGEST_BACKOFF = 6 * SECOND
RETRY = 25 * MILLI  # between looks for an engine while none can be had
MARGIN = 15 * MILLI  # kept before the hard limit
LINE = 0.2  # of the shortest due time: behind a longer queue the hurried are late on the patient's account
OVER_SHARE_LINE = 0.1
PACE_ROOM = 0.4  # of the time allowed for their tokens: streams that take less can wait for reads
PATIENCE = 0.6  # of the time to the due time: a first token foreseen later is not waited for
BLIND_PATIENCE = 0.45  # the same where no own streams tell anything of the engines
LATER_PATIENCE = 0.3  # of it, for a client's later try: part of its due time has gone before it came
SPILL_READ = 0.25  # part of an answer's time that a read beside streams may take
SHOT_PART = 0.8  # of the time left, for an answer's shot after which another may follow
LEAST_CAP = 300 * MILLI
REPEATS = 0.3  # reads that may be sent again for each that ends well, against an overload kept up by them
MOST_REPEATS = 10.0
SLOW = 4  # times the predicted wait before a shot counts as hung
COLD_SAFETY = 0.4
GOLDEN = 0.618034  # spreads one draw over many engines
PRICE_WAIT = 4.0  # due times of waiting that a full gain's price of distance counts for
PRICE_LOAD = 12.0  # shares of load that it counts for
WAIT_LOAD = SECOND  # wait at a writer or for a rack's link that counts as a full load
ZONE_LINK = 2.5  # times a move to another zone weighs beside one to another rack
KEPT_TEXTS = 500  # an engine; what an engine read that many texts ago it has given up
LEFT_KEPT = 50  # engines that left, of which what was learned is kept should they come back
READ_WEIGHT = 3  # times a read's own time that its tokens count for in the pick
HOMES = 3.0  # readers' fair parts that a popular beginning is spread over
USUAL_PART = 0.015  # of all queries, that begin alike: what a beginning counts for before it has been seen
CHEAP = 0.17  # of the due time: a beginning read sooner has more homes before it is known to be popular
SEEN = 64  # last queries, of which beginnings are counted; the usual part weighs as many
READER_ROOM = 1.6  # times its usual part that a reader takes where its rack has writers to spare
LEAST_PART = 0.2  # of it, where its rack has none
LINK_JAM = 300 * MILLI  # beside it and the readers' lag, what leaving a rack adds weighs in the balance
BALANCE_REST = SECOND  # in a large fleet, between two counts of what racks can write
HOMES_LOOKED_AT = 8  # in a large fleet, of a text's homes
EVIDENCE = 4  # own streams that weigh as much, of what others have at an engine, as the fleet's mean


class Scheduler:
    def __init__(self, terms: RoutingSettings, seed: int) -> None:
        self.terms = terms
        self.draw = Random(seed).random
        self.now = 0
        self.engines: dict[int, Engine] = {}
        self.salt = seed
        self.field: EngineIndex[Engine] = EngineIndex((), seed)
        self.looks = 0  # runs of engines that requests of a large fleet have looked at
        self.touched: dict[int, Engine] = {}  # engines with something of this front's out
        self.balanced = -BALANCE_REST
        self.tariffs = [Tariff(row) for row in terms.request_classes]
        self.arrivals = [(0.0, 0)] * len(terms.tenants)  # faded count, and when
        self.reserved_reader = self.reserved_writer = cast(Engine | None, None)
        self.subscribed, self.surveyed = False, -1
        self.links: defaultdict[int, Known] = defaultdict(Known)  # rack: what leaving it adds to a wait
        self.leaving = Known()
        self.rates = dict.fromkeys(Role, FIRST_RATE)  # read rates
        self.lags = {role: Known() for role in Role}  # what is usual with engines of a role
        self.waits = {role: Known() for role in Role}
        self.taken = self.allowed = 0.0  # time of answers at mixed servers, and what their tariffs allow
        self.carried = self.borne = 0.0  # own streams a writer, and their part of the writers' memory
        self.beginnings: list[int] = []  # those of the last queries
        self.balance: dict[int, float] = {}  # rack: its writers under the threshold a reader, 1 is usual
        self.repeats = 2.0  # reads after one given up or turned away that are allowed now
        self.room: list[tuple[bool, int, int]] = []  # reads held at the front, the most pressing first

    def query(self, q: Request) -> Generator[Action, Any, None]:
        """One query to its end. However that comes, nothing of it stays in the books."""
        try:
            yield from self.serve(q)
        except BaseException:
            # Against a read or stream that nobody ends: its engine would look ever more overdue.
            for e in list(self.touched.values()):
                e.waiting.pop(q.index, None)
                e.unread -= e.reads.pop(q.index, (0, 0, 0))[1]
                e.tokens -= e.streams.pop(q.index, 0)
                self.let_be(e)
            raise
        finally:
            self.room = [place for place in self.room if place[2] != q.index]

    def serve(self, request: Request) -> Generator[Action, Any, None]:
        """Take a request through prefill and decode, with repeats, to its final response."""
        if request.request_class is None or 0 < self.field.largest < request.prompt_tokens:
            yield FailIndeterminate()  # no later try would go better
            return
        progress = self.begin_request(request)
        while self.may_continue(progress):
            if self.reservation_ends_before_connect(progress):
                yield ReleaseState()
                progress.prefill_engine = None
                # Without the pause a prefill sent at once would overtake the release.
                yield Sleep(min(self.now + RETRY, progress.deadline))
                continue
            if self.must_wait_in_queue(progress):
                yield Sleep(min(self.now + RETRY, progress.latest_queueing))
                continue
            engine = self.select_engine(progress)
            if progress.is_given_up:
                break
            if engine is None:
                wake_at = self.next_look(progress)
                if wake_at is None:
                    break
                if (
                    progress.prefill_engine
                    and wake_at > progress.reserved_since + progress.reservation_duration
                ):
                    yield ReleaseState()
                    progress.prefill_engine = None
                yield Sleep(wake_at)
                continue
            self.leave_queue(progress)
            if not self.take_retry_token(progress):
                break
            prefill_engine, sent_at = progress.prefill_engine, self.now
            outcome: AttemptOutcome = yield self.prepare_attempt(progress, engine)
            self.ended(request, engine, outcome, prefill_engine)
            if outcome.status is AttemptStatus.STREAM_STARTED:
                completion: AttemptOutcome = yield AwaitCompletion()
                self.streamed(request, engine, completion, 0 if prefill_engine else outcome.duration)
                return
            if self.record_attempt(progress, engine, outcome, sent_at):
                yield ReleaseState()
                progress.prefill_engine = None
        if progress.prefill_engine:
            yield ReleaseState()
        if not request.finished:
            yield self.final_response(progress)

    def begin_request(self, request: Request) -> RequestProgress:
        """Draw for a request, find where its prompt may be cached, and fix its limits."""
        request.request_draw, request.affinity_candidates = self.draw(), self.homes(request)
        class_state = self.row(request)
        deadline = self.now + request.time_budget - MARGIN
        due = self.first_token_due(request, deadline)
        self.survey()
        # A front that sees little of the queues relies less on its estimates.
        evidence = self.carried / (EVIDENCE + self.carried)
        patience = (BLIND_PATIENCE + (PATIENCE - BLIND_PATIENCE) * evidence) * (
            LATER_PATIENCE if request.is_client_retry else 1
        )
        is_over_share = self.over_share(request)
        shortest_objective = min(t.terms.first_token_objective for t in self.tariffs)
        # Gain brings a request forward; time spent waiting does too, so that no class starves.
        weight = max(class_state.terms.priority_weight, 0.1)
        priority_time = self.now + int((due - self.now) * (not request.is_continuation) / weight)
        return RequestProgress(
            request=request,
            class_state=class_state,
            deadline=deadline,
            first_token_due=due,
            patience=patience,
            latest_queueing=self.now + int((due - self.now) * patience),
            queue_limit=int(shortest_objective * (OVER_SHARE_LINE if is_over_share else LINE)),
            queue_position=(is_over_share, priority_time, request.index),
            # Where the platform grants no time of its own, as long as the request has.
            reservation_duration=reservation_time(self.terms.state_release_timeout, request.time_budget),
        )

    def first_token_due(self, request: Request, deadline: int) -> int:
        """The time by which a request's first token is worth having."""
        # The rest of a stream is not given up before the deadline: its beginning would be lost too.
        if request.is_continuation:
            return deadline
        terms = self.row(request).terms
        per_prompt = terms.first_token_objective_per_1000_tokens * request.prompt_tokens // 1000
        return min(deadline, self.now + terms.first_token_objective + per_prompt)

    def may_continue(self, progress: RequestProgress) -> bool:
        """Whether another attempt of a request is still wanted and allowed."""
        if (
            progress.request.finished
            or progress.attempts >= self.terms.max_attempts
            or self.now >= progress.deadline
        ):
            return False
        if not progress.first_executed:
            return True
        terms = progress.class_state.terms
        if terms.idempotency is Idempotency.KEYED:
            return self.now < progress.first_executed_at + terms.deduplication_window
        return terms.idempotency is not Idempotency.AT_MOST_ONCE

    def reservation_ends_before_connect(self, progress: RequestProgress) -> bool:
        """Whether a prefill's state may expire while another connection is tried."""
        # Decode engines to which no connection comes up would pin the state one after the other: the next
        # attempt may take as long as the last, and the release takes its time too.
        return progress.prefill_engine is not None and (
            self.now + progress.connect_time_lost >= progress.reserved_since + progress.reservation_duration
        )

    def must_wait_in_queue(self, progress: RequestProgress) -> bool:
        """Whether more pressing requests are queued here; queues this one if so."""
        if progress.prefill_engine or not self.room or self.now >= progress.latest_queueing:
            return False
        if self.room[0] >= progress.queue_position:
            return False
        # Only the foremost looks at the engines, which saves CPU time.
        self.enter_queue(progress)
        return True

    def enter_queue(self, progress: RequestProgress) -> None:
        """Queue a request for prefill, once."""
        if progress.queue_position not in self.room:
            insort(self.room, progress.queue_position)

    def leave_queue(self, progress: RequestProgress) -> None:
        """Take a request out of the queue for prefill."""
        self.room = [other for other in self.room if other != progress.queue_position]

    def select_engine(self, progress: RequestProgress) -> Engine | None:
        """The engine for the next attempt, or None while none can be had; may give the request up."""
        if progress.prefill_engine:
            return self.pick_writer(
                progress.request, progress.prefill_engine, progress.failed, progress.first_executed
            )
        engine = self.pick_reader(
            progress.request, progress.failed, progress.first_executed, progress.queue_limit
        )
        return self.admit_prefill(progress, engine) if engine else None

    def admit_prefill(self, progress: RequestProgress, engine: Engine) -> Engine | None:
        """The engine if its queue is short enough for this request, else None; may give the request up."""
        request = progress.request
        writers = self.seen(request, Role.MIXED) + self.seen(request, Role.DECODE)
        own_time = self.to_read(engine, request) / self.pace(engine)
        wait = self.predicted(engine, request) - own_time + min(map(self.wait, writers), default=0)
        # Patience differs by chance, or all fronts would dismiss, and admit, everything at one time.
        spare = max(LEAST_WAIT, (progress.first_token_due - self.now - own_time) * progress.patience)
        if not progress.attempts and wait * (0.5 + request.request_draw) > spare:
            progress.is_given_up = True
            return None
        # States prefilled ahead of full decode engines only wait, or are given up and prefilled again.
        if self.queue(engine) > progress.queue_limit:
            return None
        if min((self.strain(e, request) for e in writers), default=0.0) > 1:
            return None
        return engine

    def next_look(self, progress: RequestProgress) -> int | None:
        """When to look for an engine again; None once the first token is due."""
        is_prefill = not progress.prefill_engine
        if is_prefill:
            self.enter_queue(progress)
        # In a long queue each request past its latest time looks by itself: rarer looks save CPU time.
        intervals = 1
        if is_prefill and self.room[0] != progress.queue_position:
            intervals = max(1, len(self.room) // 4)
        if self.now >= progress.first_token_due:
            return None
        end = progress.first_token_due if is_prefill else progress.deadline
        return min(self.now + RETRY * intervals, end)

    def take_retry_token(self, progress: RequestProgress) -> bool:
        """Charge a repeated prefill to the retry budget; False where that is used up."""
        if progress.needs_retry_token:
            if self.repeats < 1:
                return False
            self.repeats -= 1
            progress.needs_retry_token = False
        return True

    def prepare_attempt(self, progress: RequestProgress, engine: Engine) -> StartAttempt:
        """Count an attempt and enter it at its engine; returns the action that starts it."""
        progress.attempts += 1
        timeout = self.attempt_timeout(progress, engine)
        self.sent(progress.request, engine, progress.prefill_engine)
        return StartAttempt(engine.id, timeout)

    def attempt_timeout(self, progress: RequestProgress, engine: Engine) -> int:
        """After what time an attempt is given up; 0 for one that no other may follow."""
        request, state = progress.request, progress.prefill_engine
        decodes = engine.role is not Role.PREFILL
        wait = self.wait(engine) if state else self.predicted(engine, request)
        wait += int(self.link(state.rack)) if state and state.rack != engine.rack else 0
        # Without a repeat what is given up is only wasted.
        may_repeat = self.repeats >= 1 or state or request.is_continuation
        if not may_repeat or progress.attempts >= self.terms.max_attempts:
            return 0
        if decodes and progress.class_state.terms.idempotency is not Idempotency.IDEMPOTENT:
            return 0
        # Work given up may go on there: what is merely slow, as far as foreseen, is left alone; a prefill
        # until it is due, for in a jam one repeated prefill makes two of one that comes as late.
        due = progress.first_token_due
        left = (due if self.now < due - 2 * LEAST_CAP else progress.deadline) - self.now
        return max(LEAST_CAP, int(left * (SHOT_PART if decodes else 1)), SLOW * wait)

    def record_attempt(
        self, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome, sent_at: int
    ) -> bool:
        """Take in the end of an attempt; True where the prefill's state has to be released."""
        must_release = False
        if not (outcome.reached_engine or outcome.status is AttemptStatus.NOT_SENT):
            progress.unreached.append(engine.id)
        if outcome.status is AttemptStatus.PREFILL_COMPLETE:
            progress.prefill_engine, progress.reserved_since = engine, self.now
            progress.failed, progress.connect_time_lost = list(progress.unreached), 0
            self.repeats = min(MOST_REPEATS, self.repeats + REPEATS)
        elif outcome.status is AttemptStatus.STATE_MISSING:
            progress.prefill_engine = None
        elif outcome.status is not AttemptStatus.SUCCEEDED:
            must_release = self.record_failed_attempt(progress, engine, outcome)
        if (
            engine.role is not Role.PREFILL
            and not progress.first_executed
            and outcome.status not in NOT_EXECUTED
        ):
            progress.first_executed, progress.first_executed_at = engine, sent_at
        return must_release

    def record_failed_attempt(
        self, progress: RequestProgress, engine: Engine, outcome: AttemptOutcome
    ) -> bool:
        """Take in a failed attempt; True where the prefill's state has to be released."""
        # A decode attempt without a response has not stopped the state's time limit.
        progress.connect_time_lost = outcome.duration if outcome.status in NEVER_SENT else 0
        if outcome.reached_engine:
            progress.reserved_since = self.now
        progress.failed.append(engine.id)
        progress.needs_retry_token = (
            not progress.prefill_engine
            and not progress.request.is_continuation
            and outcome.status in (AttemptStatus.TIMED_OUT, AttemptStatus.OVERLOADED)
        )
        # A released state is gone, or goes with the attempt that it waited for: the rest is released too.
        return progress.prefill_engine is not None and outcome.state_released

    def final_response(self, progress: RequestProgress) -> Action:
        """The response to a request that was not completed: a retry is harmless, or may not be."""
        terms = progress.class_state.terms
        is_retry_harmful = progress.first_executed is not None and (
            terms.idempotency is Idempotency.AT_MOST_ONCE
            or (
                terms.idempotency is Idempotency.KEYED
                and terms.deduplication_scope is not DeduplicationScope.ALL
            )
        )
        return FailIndeterminate() if is_retry_harmful else Reject(self.hold_off(progress.request))

    def watch(self) -> Generator[Action, Any, None]:
        while True:
            if self.terms.must_subscribe and not self.subscribed:
                self.subscribed = True
                yield SubscribeToEndpoints()
            yield Sleep(self.now + SECOND)
            # One stream a second is stopped by all fronts together, as far as each can tell.
            mine = self.terms.streams_can_resume and self.draw() * self.terms.front_count < 1
            if mine and (victim := self.overload()) is not None:
                yield MigrateStream(victim)

    def leave(self, by: int) -> Generator[Action, Any, None]:
        """This front is killed after `by`: its streams go on elsewhere before that, or they would break. As
        late as can be, for others may be restarting too, the newest first and spread over a second."""
        yield Sleep(max(self.now, by - SECOND))
        while self.terms.streams_can_resume:
            # Those at engines that drain too: nothing else would end them in time.
            begun = [i for e in self.engines.values() for i in e.streams if i not in e.waiting]
            late = self.now >= by
            for i in begun if late else [max(begun)] if begun else []:
                yield MigrateStream(i)
            rest = max(RETRY, (by - self.now) // (len(begun) + 1))
            yield Sleep(self.now + RETRY if late else min(by, self.now + rest))

    def roster(self, roster: EndpointUpdate) -> None:
        named = {line.engine for line in roster.engines}
        for line in roster.engines:
            e = self.engines.get(line.engine)
            kind = [
                *self.terms.engine_types[line.engine_type : line.engine_type + 1],
                EngineTypeSettings(Role.MIXED, 0),
            ][0]
            # A line older than what is known must not make a busy engine look idle, or a cold one warm.
            if e is None or e.started < line.started_at or e.role is not kind.role:
                e = Engine(
                    line.engine,
                    line.stable_hash,
                    kind.role,
                    line.zone,
                    line.rack,
                    kind.memory_tokens,
                    line.started_at,
                )
                self.engines[line.engine] = e
                self.touched.pop(line.engine, None)
            e.on = line.state == EngineState.READY
        for e in self.engines.values() if roster.is_snapshot else ():
            e.on = e.on and e.id in named
        # Against weeks of engines that come and go: those that have left are scanned at every pick.
        left = [e.id for e in self.engines.values() if not (e.on or e.reads or e.streams)]
        for gone in left[: max(0, len(left) - LEFT_KEPT)]:
            del self.engines[gone]
        for rack in self.links.keys() - {e.rack for e in self.engines.values()}:
            del self.links[rack]
        self.field = EngineIndex(self.engines.values(), self.salt)
        readers = self.pool(Role.PREFILL) or self.pool(Role.MIXED)
        if self.reserved_reader not in readers:
            self.reserved_reader = self.elect(readers, None)
        writers = self.pool(Role.MIXED) or self.pool(Role.DECODE)
        if self.reserved_writer not in writers:
            self.reserved_writer = self.elect(writers, self.reserved_reader)

    def elect(self, among: list[Engine], other: Engine | None) -> Engine | None:
        able = [e for e in among if e is not other] or among
        return min(able, key=lambda e: (e.unread + e.tokens, self.draw()), default=None)

    def pick_reader(self, q: Request, failed: list[int], ran: Engine | None, line: int) -> Engine | None:
        mixed, row = self.seen(q, Role.MIXED), self.row(q)
        # A state that nobody can take would only be read to be let go.
        able = self.seen(q, Role.PREFILL) if mixed or self.pool(Role.DECODE) else []
        # Against reads that stop streams which this front does not see: only where answers leave room for it.
        roomy = q.expected_output_tokens > 0 and self.taken <= PACE_ROOM * self.allowed
        if roomy or not self.blind():
            able += [e for e in mixed if not self.seen_to_carry(e)]
        best = self.soonest(q, self.usable(q, able, failed, ran))
        if best and self.queue(best) + self.lag(best) <= 2 * line:
            return best
        # A read stops the streams beside it: only one short against an answer may join them.
        able += [
            e
            for e in mixed
            if self.carries(e)
            and self.load(e, q) < DISPATCH
            and self.to_read(e, q) / self.pace(e) < SPILL_READ * row.out * row.terms.time_per_output_token
        ]
        able = able or mixed or (self.seen(q, Role.DECODE) if self.terms.decode_engines_prefill else [])
        return self.soonest(q, self.usable(q, able, failed, ran))

    def soonest(self, q: Request, able: list[Engine]) -> Engine | None:
        # What is read again delays all that come after.
        return min(
            able,
            key=lambda e: (
                self.predicted(e, q)
                + self.distance(e, q)
                + (READ_WEIGHT - 1) * self.to_read(e, q) / self.pace(e),
                e is not self.reserved_reader,
                self.draw(),
            ),
            default=None,
        )

    def pick_writer(self, q: Request, state: Engine, failed: list[int], ran: Engine | None) -> Engine | None:
        mixed, pure = (self.usable(q, self.seen(q, r, state), failed, ran) for r in (Role.MIXED, Role.DECODE))
        cost = {e.id: self.strain(e, q) + self.far(e, state) for e in mixed + pure}
        line = [e for e in mixed if self.strain(e, q) < DISPATCH]
        packed = [e for e in line if self.carries(e) or e is self.reserved_writer]
        best = max(
            packed,
            default=None,
            key=lambda e: (
                e is self.reserved_writer and e.rack == state.rack,
                self.load(e, q) - self.far(e, state),
                self.draw(),
            ),
        )
        fewest = min(
            (e for e in pure if self.strain(e, q) < DISPATCH),
            default=None,
            key=lambda e: (cost[e.id], self.draw()),
        )
        if fewest and (not best or cost[fewest.id] < cost[best.id]):
            return fewest
        free = [e for e in line if not self.carries(e) and e is not self.reserved_reader]
        best = best or min(free, default=None, key=lambda e: (self.predicted(e, q), self.draw()))
        return best or min(mixed + pure, default=None, key=lambda e: (cost[e.id], self.draw()))

    def overload(self) -> int | None:
        writers = [e for e in self.touched.values() if e.on and e.role is not Role.PREFILL]
        over = [e for e in writers if e.streams and self.load(e) > CEILING]
        worst = max(over, key=self.load, default=None)
        if worst is None or not any(self.load(e) < DISPATCH for e in self.pool(worst.role)):
            return None
        begun = (i for i in worst.streams if i not in worst.waiting)
        return min(begun, key=worst.streams.__getitem__, default=None)

    def pool(self, role: Role) -> list[Engine]:
        """All of a role that are on; not to be changed."""
        return self.field.on[role]

    def seen(self, q: Request, role: Role, state: Engine | None = None) -> list[Engine]:
        """Those of a role that one look for a query takes in: all, unless the fleet is large."""
        if not self.field.wide(role):
            return list(self.field.on[role])
        self.looks += 1
        found = {e.id: e for e in self.field.run(role, self.looks)}
        if role is Role.PREFILL:
            found |= {
                home: self.engines[home]
                for home in q.affinity_candidates[:HOMES_LOOKED_AT]
                if home in self.engines
            }
        elif state is not None:
            found |= {e.id: e for e in self.field.in_rack(role, state.rack)}
        found |= {e.id: e for e in self.touched.values() if e.on and e.role is role}
        return [e for e in found.values() if e.on and e.role is role]

    def usable(self, q: Request, able: list[Engine], failed: list[int], ran: Engine | None) -> list[Engine]:
        row = self.row(q).terms
        if (
            ran
            and row.idempotency is Idempotency.KEYED
            and row.deduplication_scope is not DeduplicationScope.ALL
        ):
            able = [
                e
                for e in able
                if e.zone == ran.zone
                and (row.deduplication_scope is DeduplicationScope.ZONE or e.rack == ran.rack)
            ]
        able = [
            e for e in able if (not e.memory or e.memory > q.prompt_tokens) and self.bears(e, q.request_draw)
        ]
        able = [e for e in able if e.id not in failed] or able
        trusted = [e for e in able if e.shunned <= self.now and not (e.strikes and (e.reads or e.waiting))]
        return trusted or [e for e in able if e.shunned <= self.now]

    def carries(self, e: Engine) -> bool:
        return self.seen_to_carry(e) or self.blind()

    def blind(self) -> bool:
        """With under one own stream a writer, none of mine at one says nothing of the other fronts' there."""
        self.survey()
        return self.terms.front_count > 1 > self.carried

    def seen_to_carry(self, e: Engine) -> bool:
        seen = self.fresh(e)
        return bool(e.streams or (seen and seen.requests_in_flight))

    def fresh(self, e: Engine) -> LoadReport | None:
        return e.report if e.report and self.now - e.reported < FRESH else None

    def predicted(self, e: Engine, q: Request) -> int:
        return self.queue(e) + int(self.to_read(e, q) / self.pace(e) + self.lag(e))

    def queue(self, e: Engine) -> int:
        seen = self.fresh(e)
        # What a report saw waiting is read meanwhile: an old one must not make a reader look full.
        told = (seen.queued_prompt_tokens or 0) - self.pace(e) * (self.now - e.reported) if seen else 0
        ahead = e.unread + max(0.0, told)
        oldest = next(iter(e.reads.values()))[0] if e.reads else self.now
        return max(int(ahead / self.pace(e)), self.now - oldest)

    def pace(self, e: Engine) -> float:
        return self.rates[e.role] * self.warmth(e)

    def to_read(self, e: Engine, q: Request) -> int:
        session = e.kept.get(2 * q.session, 0) if q.session is not None else 0
        shared = e.kept.get(2 * q.prefix + 1, 0) if q.prefix is not None else 0
        if e.id in q.affinity_candidates:
            shared = q.prefix_tokens
            if e.id == q.affinity_candidates[0]:
                session = max(session, int(q.prompt_tokens * self.row(q).kept))
        return max(1, q.prompt_tokens - max(min(session, q.prompt_tokens), min(shared, q.prefix_tokens)))

    def homes(self, q: Request) -> list[int]:
        """The readers at which every front supposes a text to be kept, the session's own first: one of many
        fronts has hardly ever read a text itself. A beginning has the more homes the more ask for it."""
        if self.field.wide(Role.PREFILL):
            return self.homes_of_many(q)
        able = list(self.pool(Role.PREFILL))
        if q.prefix is not None:
            # Against a front that sees little taking one home, or half of all, by a single query, each front
            # another: all of a beginning's texts drown one reader, and no session finds its reader again.
            able.sort(key=lambda e: self.turn(e, q.prefix_hash))
            able = able[: self.homes_of_beginning(q, len(able))]
        return self.in_turn(able, q)

    def homes_of_many(self, q: Request) -> list[int]:
        """The same in a large fleet, where not all readers are put in order: those that follow its mark."""
        readers = len(self.pool(Role.PREFILL))
        span = readers if q.prefix is None else self.homes_of_beginning(q, readers)
        first = q.session_hash if q.prefix is None else q.prefix_hash
        return self.in_turn(self.field.ring(Role.PREFILL, first, span, q.session_hash), q)

    def homes_of_beginning(self, q: Request, readers: int) -> int:
        """How many homes a query's beginning has, by how often it is asked for; counts the query."""
        seen = sum(b == q.prefix for b in self.beginnings)
        dear = q.prefix_tokens / self.rates[Role.PREFILL] > CHEAP * self.row(q).terms.first_token_objective
        usual = 0.0 if dear else USUAL_PART
        part = (seen + SEEN * usual) / (len(self.beginnings) + SEEN)
        self.beginnings = [*self.beginnings[1 - SEEN :], cast(int, q.prefix)]
        return 1 + int(HOMES * part * readers)

    def in_turn(self, able: list[Engine], q: Request) -> list[int]:
        """The ids of homes, the session's own first."""
        able.sort(key=lambda e: (e.zone != self.terms.zone, self.turn(e, q.session_hash)))
        return [e.id for e in able]

    def turn(self, e: Engine, mark: int) -> float:
        """The place of a reader in the order all fronts draw alike for a text, by what its rack can write."""
        drawn = (e.mark * (2 * mark + 1) & MARKS) + 1
        return -log(drawn / (MARKS + 2)) / self.balance.get(e.rack, 1.0)

    def lag(self, e: Engine) -> float:
        """What other fronts' reads, or slowness, cost there; an unheard engine counts as its peers."""
        # Against jammed peers making a starting engine look jammed too: its queue began with its start.
        return self.expected(e.lag, self.lags[e.role] if self.warmth(e) == 1.0 else Known())

    def expected(self, own: Known, peers: Known) -> float:
        usual = peers.time * self.faded(peers.heard)
        return usual + (own.time - usual) * self.faded(own.heard)

    def learn(self, own: Known, peers: Known, time: float) -> None:
        usual, before = peers.time * self.faded(peers.heard), self.expected(own, peers)
        # Against a front that hears of one read in some seconds going on in a jam by what was so before it: a
        # sample weighs the more the older what it meets.
        part, own_part = (1 - self.faded(k.heard, STANDS) for k in (peers, own))
        # One counts so far only: a few engines that hang must not make all look slow.
        sample = min(time, 3 * usual + 2 * LEAST_CAP)
        peers.time = usual + (sample - usual) * max(1 / 8, min(1 / 4, part))
        own.time = before + (time - before) * max(1 / 4, own_part)
        peers.heard = own.heard = self.now

    def faded(self, since: int, half: int = FADES) -> float:
        return exp2((since - self.now) / half)

    def wait(self, e: Engine) -> int:
        oldest = next(iter(e.waiting.values())) if e.waiting else self.now
        return max(int(self.expected(e.wait, self.waits[e.role])), self.now - oldest)

    def load(self, e: Engine, q: Request | None = None) -> float:
        """Own streams, and the other fronts' as this front's: by this engine's as far as they are evidence,
        else by the fleet's, or one stream of a hundred fronts' would look like a full engine."""
        mine = e.tokens + (self.weight(q) if q else 0)
        cap = e.cap or e.memory
        told = (
            max(seen.memory_utilization or 0.0, seen.slot_utilization or 0.0)
            if (seen := self.fresh(e))
            else 0.0
        )
        return max(told, (mine + self.others(e)) / cap if cap else float(len(e.streams))) / self.warmth(e)

    def others(self, e: Engine) -> float:
        self.survey()
        usual = self.borne * (e.memory or 1)
        told = (self.terms.front_count - 1) * usual * (EVIDENCE + len(e.streams)) / (EVIDENCE + self.carried)
        if self.carried >= 1 or not e.memory:
            return told
        # Against a front of several times the mean traffic taking all writers for full: with so few streams
        # it knows nothing of the rest, and only an engine's own word says that it is over.
        return min(told, DISPATCH * (e.cap or e.memory))

    def strain(self, e: Engine, q: Request) -> float:
        """Load, and the wait for a first token there: a hung or jammed writer must not look roomy."""
        return self.load(e, q) + self.wait(e) / WAIT_LOAD

    def row(self, q: Request) -> Tariff:
        return self.tariffs[q.request_class or 0]

    def weight(self, q: Request) -> int:
        return q.prompt_tokens + int(self.row(q).out)

    def distance(self, e: Engine, q: Request) -> float:
        due = min(
            t.terms.first_token_objective for t in self.tariffs
        )  # those in the most hurry wait behind this one
        self.survey()
        leaves = max(0.0, 1 - self.balance.get(e.rack, 1.0)) if e.role is Role.PREFILL else 0.0
        return PRICE_WAIT * due * self.terms.cross_zone_price * (e.zone != self.terms.zone) + leaves * (
            PRICE_WAIT * due * self.terms.cross_rack_price + self.link(e.rack)
        )

    def link(self, rack: int) -> float:
        """What leaving a reader's rack adds to the wait, as timed of late."""
        return self.expected(self.links[rack], self.leaving)

    def survey(self) -> None:
        """Figures over all engines, once a moment: a fleet times a burst would cost too much CPU."""
        if self.surveyed == self.now:
            return
        self.surveyed = self.now
        mine = [e for e in self.touched.values() if e.on and e.role is not Role.PREFILL]
        self.carried = sum(len(e.streams) for e in mine) / max(1, self.field.peers(Role.DECODE))
        self.borne = sum(e.tokens for e in mine) / max(1, self.field.writers_memory)
        if self.field.wide(Role.PREFILL) and self.now < self.balanced + BALANCE_REST:
            return
        self.balanced = self.now
        writers = self.field.writers()
        able = Counter(e.rack for e in writers if self.load(e) < DISPATCH)
        reads = Counter(e.rack for e in self.pool(Role.PREFILL))
        usual = max(1, able.total()) / max(1, reads.total())
        move, lag = (k.time * self.faded(k.heard) for k in (self.leaving, self.lags[Role.PREFILL]))
        jam = 1.5 * move / (move + lag + LINK_JAM)
        self.balance = {
            rack: min(max(able[rack] / count / usual, LEAST_PART), READER_ROOM) ** jam
            for rack, count in reads.items()
        }

    def far(self, e: Engine, state: Engine) -> float:
        price = self.terms.cross_zone_price * (e.zone != self.terms.zone)
        if e.rack == state.rack:
            return PRICE_LOAD * price
        times = 1.0 if e.zone == state.zone else ZONE_LINK  # it holds the link for so much longer
        return PRICE_LOAD * (price + self.terms.cross_rack_price * times) + self.link(state.rack) / WAIT_LOAD

    def warmth(self, e: Engine) -> float:
        if not e.started or self.now >= e.started + self.terms.slow_start_duration:
            return 1.0
        grown = (self.now - e.started) / self.terms.slow_start_duration
        return self.terms.slow_start_initial_fraction + (1 - self.terms.slow_start_initial_fraction) * max(
            0.0, grown
        )

    def bears(self, e: Engine, luck: float) -> bool:
        """Against pushing over a cold engine, all fronts together: it is offered a part of what each has.
        One draw a query, or waiting would be trying again."""
        warmth = self.warmth(e)
        if warmth == 1.0:
            return True  # peers counted for warm ones too made the cost grow by the square of the fleet
        peers = self.field.peers(e.role)
        part = COLD_SAFETY * self.terms.slow_start_overload_multiple * warmth / max(1, peers)
        return (luck + e.id * GOLDEN) % 1 < part

    def over_share(self, q: Request) -> bool:
        if q.tenant is None:
            return False
        seen, at = self.arrivals[q.tenant]
        seen = seen * self.faded(at, 2 * SECOND) + 1
        self.arrivals[q.tenant] = seen, self.now
        usual = self.terms.tenants[q.tenant].requests_per_second / self.terms.front_count * 2 / 0.693
        return 0 < 1.3 * usual + 2 < seen

    def hold_off(self, q: Request) -> int:
        soonest = min((self.predicted(e, q) for e in self.seen(q, Role.PREFILL)), default=0)
        # Against all coming back within the jam that turned them away, where they only add to it.
        rest = max(BACKOFF, JAM_PASSES * soonest)
        return min(self.terms.max_retry_after, rest) if self.terms.may_send_retry_after else 0

    def sent(self, q: Request, e: Engine, state: Engine | None) -> None:
        self.touched[e.id] = e
        if state is None:
            tokens = self.to_read(e, q)
            e.unread += tokens
            e.reads[q.index] = self.now, tokens, e.unread
        if e.role is not Role.PREFILL:
            e.waiting[q.index] = self.now
            e.streams[q.index] = self.weight(q)
            e.tokens += e.streams[q.index]

    def ended(self, q: Request, e: Engine, out: AttemptOutcome, state: Engine | None) -> None:
        e.report, e.reported = (out.load_report, self.now) if out.load_report else (e.report, e.reported)
        if (
            state
            and state.rack != e.rack
            and out.status in (AttemptStatus.STREAM_STARTED, AttemptStatus.TIMED_OUT)
        ):
            extra = out.duration - self.expected(e.wait, self.waits[e.role])
            self.learn(self.links[state.rack], self.leaving, max(0.0, extra))
        e.waiting.pop(q.index, None)
        _, tokens, queue = e.reads.pop(q.index, (0, 0, 0))
        e.unread -= tokens
        if out.status in (
            AttemptStatus.PREFILL_COMPLETE,
            AttemptStatus.STREAM_STARTED,
            AttemptStatus.SUCCEEDED,
        ):
            e.strikes = e.shunned = 0
            if tokens:
                if out.status is AttemptStatus.PREFILL_COMPLETE:
                    if q.affinity_candidates and e.id == q.affinity_candidates[0]:
                        row = self.row(q)
                        row.kept += (self.cached(q, out) / max(1, q.prompt_tokens) - row.kept) / 16
                    queue += max(1, q.prompt_tokens - self.cached(q, out)) - tokens
                if out.status is not AttemptStatus.STREAM_STARTED:
                    self.paced(e, queue, out.duration)
                self.learn(e.lag, self.lags[e.role], max(0.0, out.duration - queue / self.rates[e.role]))
                self.keep(e, q)
            elif state and state.rack == e.rack:
                self.learn(e.wait, self.waits[e.role], out.duration)
        elif out.status is AttemptStatus.OVERLOADED:
            if tokens:  # against hundreds of fronts asking it again: its queue cannot be read in time
                self.learn(
                    e.lag, self.lags[e.role], max(out.duration, self.row(q).terms.first_token_objective)
                )
            if e.role is not Role.PREFILL and not e.cap:
                e.cap = max(e.tokens + int(self.others(e)), e.memory // 2)
        elif out.status not in (AttemptStatus.STATE_MISSING, AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED):
            late = out.status is AttemptStatus.TIMED_OUT
            if late and tokens:  # else only the lucky would tell how long one takes
                self.learn(e.lag, self.lags[e.role], out.duration)
            elif late and state and state.rack == e.rack:
                self.learn(e.wait, self.waits[e.role], out.duration)
            if not late or e.strikes:
                self.distrust(e)
            e.strikes = max(e.strikes, 1)  # one shot overdue may be a jam, which shunning would only move
        if out.status is not AttemptStatus.STREAM_STARTED:
            e.tokens -= e.streams.pop(q.index, 0)
        self.let_be(e)

    def streamed(self, q: Request, e: Engine, out: AttemptOutcome, read: int) -> None:
        e.report, e.reported = (out.load_report, self.now) if out.load_report else (e.report, e.reported)
        e.tokens -= e.streams.pop(q.index, 0)
        self.let_be(e)
        if out.status is AttemptStatus.SUCCEEDED:
            if read:
                # Against taking a prompt found cached for one read fast: only the end of an answer tells.
                self.paced(e, q.prompt_tokens - self.cached(q, out), read)
            row = self.row(q)
            if q.expected_output_tokens and e.role is Role.MIXED:
                # A client's guess is rough: what is allowed begins twice as long, or one answer would decide.
                allowed = q.expected_output_tokens * row.terms.time_per_output_token
                self.allowed += allowed - self.allowed / 32 if self.allowed else 2 * allowed
                self.taken += out.duration - self.taken / 32
            tokens = q.expected_output_tokens or out.duration / max(1, row.terms.time_per_output_token)
            row.out = tokens if not row.out else row.out + (tokens - row.out) / 16
        elif out.status is AttemptStatus.CONNECTION_LOST:
            self.distrust(e)

    def let_be(self, e: Engine) -> None:
        """Forgets that something is out at an engine, once nothing is."""
        if not (e.reads or e.waiting or e.streams) and self.touched.get(e.id) is e:
            del self.touched[e.id]

    @staticmethod
    def cached(q: Request, out: AttemptOutcome) -> int:
        """Against an engine's count that cannot be, which would spoil what is learned from it for long."""
        return min(max(0, out.cached_tokens), q.prompt_tokens)

    def paced(self, e: Engine, tokens: int, took: int) -> None:
        """A rate is the best seen of late, as unseen waits only slow a read; what is over it is lag."""
        rate, seen = self.rates[e.role], max(1, tokens) / max(1, took)
        self.rates[e.role] = max(seen, rate + (seen - rate) / 16, 0.01)

    def distrust(self, e: Engine) -> None:
        e.shunned, e.strikes = self.now + min(LONGEST_BACKOFF, BACKOFF << min(e.strikes, 10)), e.strikes + 1

    def keep(self, e: Engine, q: Request) -> None:
        for key, parity, length in ((q.session, 0, q.prompt_tokens), (q.prefix, 1, q.prefix_tokens)):
            if key is not None:
                e.kept.pop(2 * key + parity, None)
                e.kept[2 * key + parity] = length
        while len(e.kept) > KEPT_TEXTS:
            del e.kept[next(iter(e.kept))]
