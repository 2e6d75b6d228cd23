"""The front node: what it takes from clients, its one desk, its shots. Decides nothing itself."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.decisions.interface import Role
from runspool.decisions.lifecycle import MAY_HAVE_READ, Breach
from runspool.engines.exchange import Ended, Listener, Permit
from runspool.front.desk import LEAVING
from runspool.node.asks import Ask
from runspool.node.calls import Calls
from runspool.node.posting import Posting
from runspool.node.releasing import Release, Releases
from runspool.service.carrying import Carrying, Hearing
from runspool.service.clock import now
from runspool.service.owed import Owed, Refused, Site
from runspool.service.quarter import Quarter
from runspool.service.tape import Tape
from runspool.units import tenths
from runspool.wire.fields import Misworded

NAMES_KNOWN = 20_000  # texts' names remembered before the one unseen for longest is forgotten
STREAM_SILENCE_MS = 4_000  # after a stream's last event; its client is to be told before 5 s
REST_MS = 25  # after an answer, in which another may come: the platform says some milliseconds late
EVENT_BYTES = 65_536  # of one event, and of a read's answer
RELEASE_FIRST = 0.05  # seconds that a read waits for a call that lets go of what one before it left
RELEASE_MS = 1_000  # for letting go of a state, where the settings grant no time
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
    maybe_read: Site | None = None  # where an attempt that was lost or given up may have left a state


class Node(Carrying[Held]):
    def __init__(self, posting: Posting, connections: int) -> None:
        """`connections` bounds those to all engines together."""
        granted = posting.granted
        super().__init__(granted.terms, granted.kinds, granted.zones, NAMES_KNOWN)
        self.granted = granted
        # An engine closes what has been idle for its time: a request that crosses that may count as run.
        idle_ms = granted.idle_for / 10 * 0.75 or 10_000.0
        self.calls = Calls(
            Speech(granted.connect_within / 10 or 250.0, idle_ms, connections, connections),
            now,
            STREAM_SILENCE_MS,
            connections,
            REST_MS,
        )
        self.releases = Releases(
            self.calls, self.house.release_within or tenths(RELEASE_MS), self._likeliest, self._count_release
        )
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
        self.log.debug(
            "query_taken",
            query=ask.id,
            tariff=ask.tariff,
            prompt=ask.prompt,
            limit=ask.limit,
            again=ask.again,
            resent=ask.resent,
        )
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

    def tariff_of(self, taken: Held) -> int:
        return taken.ask.tariff

    async def speak(self, taken: Held, site: Site, shot: int, sent: int, limit: int, permit: Permit) -> Ended:
        if site.role is Role.READER:
            return await self.calls.read(site.address, taken.ask, limit, permit)
        hearing = Hearing(self, taken, shot, sent)
        return await self.calls.write(site.address, taken.ask, limit, permit, hearing)

    def let_go(self, taken: Held) -> None:
        self.let_go_behind(taken)
        taken.state_at = taken.maybe_read = None

    def let_go_behind(self, taken: Held) -> bool:
        site = taken.state_at or taken.maybe_read
        if site is None:
            return False
        since = taken.life.release_begins()
        release = Release(
            taken.id,
            site,
            confirmed=lambda: self._let_go_confirmed(taken, since),
            unsure=lambda: self._may_still_read(taken),
        )
        self._spawn(self.releases.let_go, release)
        return True

    async def before_attempt(self, taken: Held, site: Site) -> None:
        """Against a call that lets go taking what the next read leaves: one that is under way goes first.

        None is begun for a read that was given up, as its engine may still be at it: made then, the call
        took the next read's state three times in four. It is made when its time comes, unless the next read
        is known to have arrived.
        """
        if site.role is Role.READER:
            await self.releases.settled_within(taken.id, RELEASE_FIRST)

    def shot_over(self, taken: Held, site: Site, shot: int, ended: Ended) -> None:
        """A read lost or given up may have ended well: what it left counts as held from its end on."""
        if site.role is Role.READER and ended.ending in MAY_HAVE_READ:
            taken.maybe_read = site
        elif taken.life.unsure and not taken.begun:
            # An earlier attempt ended here alone: what it left may have been taken up by this.
            taken.maybe_read = taken.maybe_read or site
        # A state that still waits goes with its own release: one call lets go of everything. What is behind
        # another attempt goes when its time comes, unless that attempt has arrived.
        if taken.maybe_read is not None and taken.shots == shot and taken.state_at is None:
            self.let_go(taken)

    def waits_at(self, taken: Held, site: Site | None, state: object) -> None:
        super().waits_at(taken, site, state)
        # Against a call for what an earlier read left taking this state too. What it was for is owed still.
        if site is not None and self.releases.withdraw(taken.id):
            taken.maybe_read = taken.maybe_read or site

    def gone(self, taken: Held) -> None:
        self.open.discard(taken.id)
        self.let_go(taken)

    def _let_go_confirmed(self, taken: Held, since: int | None) -> None:
        if not taken.life.release_confirmed(now(), since):
            self.breaches.count(
                Breach.HELD,
                query=taken.id,
                reason="the call to let go was confirmed late",
                held_for=now() - (since or 0),
            )

    def _may_still_read(self, taken: Held) -> bool:
        """Whether an attempt that has ended here may leave something that nothing else would let go of."""
        attempt = taken.life.attempt
        return taken.life.unsure and taken.state_at is None and not (attempt is not None and attempt.out)

    def _count_release(self, change: int) -> None:
        self.releasing += change

    def _likeliest(self) -> list[Site]:
        """Engines on the list, those first that this node has heard from last."""
        idle = self.calls.pool.idle

        def heard(site: Site) -> int:
            return max((link.idle_since for link in idle.get(site.address, ())), default=0)

        listed = [self.sites[line.engine] for line in self.lines.values() if line.state == "on"]
        return sorted(listed, key=heard, reverse=True)
