"""The front node: what it takes from clients, its one desk, its shots. Decides nothing itself."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from runspool.decisions.interface import Ending, Role
from runspool.engines.exchange import Barred, Ended, Listener
from runspool.front.desk import LEAVING
from runspool.node.asks import Ask
from runspool.node.calls import Calls
from runspool.node.posting import Posting
from runspool.service.carrying import Carrying, Hearing
from runspool.service.clock import now
from runspool.service.owed import Owed, Refused, Site
from runspool.service.quarter import Quarter
from runspool.service.tape import Tape
from runspool.units import TENTHS, tenths
from runspool.wire.fields import Misworded

NAMES_KNOWN = 20_000  # texts' names remembered before the one unseen for longest is forgotten
STREAM_SILENCE_MS = 4_000  # after a stream's last event; its client is to be told before 5 s
REST_MS = 25  # after an answer, in which another may come: the platform says some milliseconds late
EVENT_BYTES = 65_536  # of one event, and of a read's answer
RELEASE_TRIES = 6  # engines asked to let go of a state within half the time there is for it
RELEASE_MS = 1_000  # that time where the settings grant none
LATEST_TRIES = 64  # and how many are asked in all, while none of them has taken the call
READ_MAYBE = frozenset({Ending.OVERDUE, Ending.RECALLED, Ending.SEVERED, Ending.ERRORED})
DESK = "node"


@dataclass(frozen=True, slots=True)
class Speech:
    """How a node speaks to engines or to the list; times in milliseconds."""

    connect_ms: float
    idle_ms: float
    connections_each: int
    idle_each: int
    read_answer_bytes: int = EVENT_BYTES
    line_bytes: int = EVENT_BYTES
    source_address: str | None = None


@dataclass(slots=True, kw_only=True)
class Held(Owed):
    ask: Ask
    maybe_read: Site | None = None  # where a read that was lost or given up may have left a state
    letting_go: set[anyio.CancelScope] = field(default_factory=set)  # of calls that let go of what it holds


class Node(Carrying[Held]):
    def __init__(self, posting: Posting, connections: int) -> None:
        """`connections` bounds those to all engines together."""
        granted = posting.granted
        super().__init__(granted.terms, granted.kinds, granted.zones, NAMES_KNOWN)
        self.granted = granted
        # An engine closes what has been idle for its time: a request that crosses that may count as run.
        idle_ms = granted.idle_for / 10 * 0.75 or 10_000.0
        self.calls = Calls(Speech(granted.connect_within / 10 or 250.0, idle_ms, connections, connections),
                           now, STREAM_SILENCE_MS, connections, REST_MS)
        self.open: set[str] = set()  # ids of the queries held
        self.leaves_by = 0  # 0 while nobody has asked this node to stop
        self.quarter = Quarter(DESK, granted.terms, posting.seed, self, Tape(None))

    # What comes in.

    def take(self, ask: Ask, reply: Listener[bytes], came: int) -> Held:
        """Takes a query: from here on it is owed one final answer. Raises Refused or Misworded."""
        if self.closing:
            raise Refused("closing", "this node is stopping; ask another")
        if ask.id in self.open:
            raise Misworded("Req-Id", "a request with this id is open here", 409)
        at, index = now(), self.arrived
        self.arrived += 1
        limit = min(came + ask.limit, self.leaves_by or came + ask.limit)
        taken = Held(index, ask.id, came, limit, reply, ask=ask)
        # The answer still has to reach the client within its time.
        budget = max(0, taken.limit - self.house.answer_slack - at)
        self.counts["again"] += ask.again
        self.counts["resent"] += ask.resent
        self.log.debug("query_taken", query=ask.id, tariff=ask.tariff, prompt=ask.prompt, limit=ask.limit,
                       again=ask.again, resent=ask.resent)
        self.open.add(ask.id)
        self.owe(taken)
        query = ask.query(index, self.text("s", ask.session, at), self.text("b", ask.beginning, at), budget)
        self._tell(self.quarter, index, Quarter.arrive, query)
        return taken

    def leave(self, by: int) -> None:
        """This node may be killed after `by`: what is taken from now on must be answered sooner."""
        self.leaves_by = by
        self._tell(self.quarter, LEAVING, Quarter.leave, by)

    def relisted(self) -> None:
        self.quarter.told({line.engine: line for line in self.lines.values() if line.state != "gone"})

    # How it is carried out.

    def desk_named(self, name: str) -> Quarter | None:
        return self.quarter

    def desk_of(self, taken: Held) -> Quarter | None:
        return self.quarter

    async def speak(self, taken: Held, site: Site, shot: int, sent: int, limit: int, barred: Barred) -> Ended:
        def out() -> bool:
            # Against letting go of what this shot will read; what is left is seen to when none is out again.
            # Only now, as its last byte goes: while no connection comes up, what is held is still let go.
            for call in taken.letting_go:
                call.cancel()
                taken.maybe_read = taken.maybe_read or site
            # A cancelled shot runs on to its next wait, and between the dial's end and the last byte is none.
            return taken.final is not None or barred()

        if site.role is Role.READER:
            return await self.calls.read(site.address, taken.ask, limit, out)
        hearing = Hearing(self, taken, shot, sent)
        return await self.calls.write(site.address, taken.ask, limit, out, hearing)

    def let_go(self, taken: Held) -> None:
        site = taken.state_at or taken.maybe_read
        taken.state_at = taken.maybe_read = None
        if site is not None:
            self.spawn_release(self._let_go, taken, site)

    def shot_over(self, taken: Held, site: Site, shot: int, ended: Ended) -> None:
        """A read lost or given up may have ended well: what it left counts as held once no shot is out."""
        if site.role is Role.READER and ended.ending in READ_MAYBE:
            taken.maybe_read = site
        # A state that still waits goes with its own release: one call lets go of everything.
        if taken.maybe_read is not None and taken.shots == shot and taken.state_at is None:
            self.let_go(taken)

    def gone(self, taken: Held) -> None:
        self.open.discard(taken.id)
        self.let_go(taken)

    async def _let_go(self, taken: Held, site: Site) -> None:
        """Against a call lost on its way pinning the state: any engine takes it, so after a while without an
        answer another is asked beside, those first that this node has heard from last."""
        within = self.house.release_within or tenths(RELEASE_MS)
        patience = within // (2 * RELEASE_TRIES)
        idle = self.calls.pool.idle

        def heard(other: Site) -> int:
            return max((link.idle_since for link in idle.get(other.address, ())), default=0)

        listed = (self.sites[line.engine] for line in self.lines.values() if line.state == "on")
        others = sorted((other for other in listed if other.address != site.address), key=heard, reverse=True)
        over = anyio.Event()
        with anyio.CancelScope() as scope:
            taken.letting_go.add(scope)
            async with anyio.create_task_group() as calls:

                async def call(at: Site, next_now: anyio.Event) -> None:
                    if await self.calls.release(at.address, taken.id, within) is None:
                        over.set()
                        calls.cancel_scope.cancel()
                    next_now.set()

                for at in [site, *others[:LATEST_TRIES - 1]]:
                    failed = anyio.Event()
                    calls.start_soon(call, at, failed)
                    with anyio.move_on_after(patience / (1000 * TENTHS)):
                        await failed.wait()
        taken.letting_go.discard(scope)
        if not over.is_set() and not scope.cancel_called:
            self.log.warning("release_failed", query=taken.id, engine=site.name)
