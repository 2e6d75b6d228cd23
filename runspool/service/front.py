"""One front: tells the decisions what happens, and carries out what they decide. Decides nothing itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
import structlog

from runspool.decisions.interface import Ending, Listed, Outcome, Query, Role, Roster
from runspool.engines import Caller, Ended
from runspool.engines.endings import ENDINGS, Mishap
from runspool.engines.shots import Address, limit_of
from runspool.front import Desk
from runspool.front.door import Door, mark
from runspool.roster.following import Following
from runspool.roster.watching import started
from runspool.service.budget import first_token_budget
from runspool.service.clock import now, unix_ms_at_zero
from runspool.service.tape import Tape
from runspool.service.taken import Final, Kind, Reply, Taken
from runspool.service.timers import Timers
from runspool.terms import Terms
from runspool.wire.completions import Wish
from runspool.wire.listing import Entry, address_of

NAMES_KNOWN = 200_000  # texts' names remembered before the one unseen for longest is forgotten
NAME_KEPT = 6_000_000  # tenths of a millisecond: a text unseen for so long is kept by no engine any more
RELEASE_LIMIT = 5_000
GUARD = "guard."


class Refused(Exception):
    """A query not taken: nothing has been done for it, and nothing will be."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code, self.message = code, message


class Front:
    """The outbox of a desk, on sockets. All of it runs in one event loop; no method blocks."""

    def __init__(self, terms: Terms, tape: Tape | None = None, seed: int | None = None) -> None:
        self.terms = terms
        self.house = terms.house_terms()
        self.tape = tape or Tape(None)
        self.log = structlog.get_logger()
        self.tariffs = {name: at for at, name in enumerate(terms.house.tariffs)}
        self.tenants = {name: at for at, name in enumerate(terms.house.tenants)}
        self.kinds = {name: at for at, name in enumerate(terms.house.kinds)}
        self.zones = {name: at for at, name in enumerate(terms.house.zones)}
        self.wall_at_zero = unix_ms_at_zero()
        self.engine_door = Door()
        self.text_door = Door(NAMES_KNOWN, NAME_KEPT)
        self.addresses: list[Address] = []
        self.names: list[str] = []
        self.roles: list[Role] = []
        self.following = Following()
        self.caller = Caller(terms.front.engines, now, terms.front.bounds.stream_silence_ms)
        self.timers = Timers(self._ring)
        self.queries: dict[int, Taken] = {}
        self.arrived = 0
        self.life = now()
        self.closing = False
        self.empty = anyio.Event()
        self.counts: Counter[str] = Counter()
        self.tasks: TaskGroup | None = None
        seed = terms.front.seed if seed is None else seed
        self.tape.line(self.life, "start", seed, self.house)
        self.desk = Desk(self.house, seed, self, self.life)

    # What comes in.

    def take(self, wish: Wish, reply: Reply, came: int) -> Taken:
        """Takes a query: from here on it is owed one final answer. Raises Refused where it is not taken."""
        if self.closing:
            raise Refused("closing", "this front is stopping; ask another")
        if len(self.queries) >= self.terms.front.bounds.queries:
            raise Refused("front_full", "this front holds all the queries it may; come later or ask another")
        index = self.arrived
        self.arrived += 1
        at = now()
        limit = came + wish.limit
        name = f"{self.terms.front.name}-{self.life:x}-{index}"
        taken = Taken(index, name, wish, reply, came, limit, self._passed_on(wish))
        self.queries[index] = taken
        query = Query(
            index=index,
            tariff=self.tariffs[wish.tariff],
            tenant=None if wish.tenant is None else self.tenants[wish.tenant],
            session=None if wish.session is None else self.text_door.index("s" + wish.session, at),
            beginning=None if wish.beginning is None else self.text_door.index("b" + wish.beginning, at),
            prompt=wish.prompt,
            beginning_length=wish.beginning_length,
            most_out=wish.most_out,
            likely_out=wish.likely_out,
            # The answer still has to reach the client within its time.
            budget=first_token_budget(limit - self.house.answer_slack - at, not wish.stream,
                                      wish.likely_out, self.house.tariffs[self.tariffs[wish.tariff]]),
            resent=wish.resent,
            again=wish.again,
            session_mark=mark(wish.session or ""),
            beginning_mark=mark(wish.beginning or ""),
        )
        self.counts["taken"] += 1
        self.log.debug("query_taken", query=name, tariff=wish.tariff, tenant=wish.tenant, prompt=wish.prompt,
                       limit=wish.limit, mark=wish.mark)
        self.timers.at(limit - self.house.answer_slack // 2, f"{GUARD}{index}")
        self.tape.line(at, "arrive", query)
        self._tell(taken, self.desk.arrive, at, query)
        return taken

    def left(self, taken: Taken) -> None:
        """The client has gone: whatever is out for it is called back."""
        if not taken.settle(Final(Kind.LEFT)):
            return
        self.counts["left"] += 1
        self._leave(taken)

    def engines_changed(self, changed: list[Entry]) -> None:
        """News of the list, as soon as it is known."""
        lines = [line for entry in changed if (line := self._listed(entry)) is not None]
        at = now()
        self.tape.line(at, "roster", False, lines)
        self.desk.roster(at, Roster(False, lines))

    def list_lost(self) -> None:
        at = now()
        self.tape.line(at, "list_failed")
        self.desk.list_failed(at)

    def scrap_all(self) -> None:
        """The stop's last resort: whoever still waits gets the answer that promises nothing."""
        for taken in list(self.queries.values()):
            if taken.settle(Final(Kind.SCRAPPED, "stopped", "the front stopped; it may or may not have run")):
                self.counts["scrapped"] += 1
                self._leave(taken)

    # What the decisions ask for.

    def send(self, query: int, engine: int, cap: int) -> None:
        taken = self.queries[query]
        taken.shots += 1
        self.tape.line(now(), "send", query, engine, cap)
        self._spawn(self._shot, taken, engine, cap)

    def dismiss(self, query: int, hold_off: int) -> None:
        self.tape.line(now(), "dismiss", query, hold_off)
        self._settle(self.queries[query], Final(
            Kind.DISMISSED, "dismissed", "not run; trying again is harmless", hold_off))

    def scrap(self, query: int) -> None:
        self.tape.line(now(), "scrap", query)
        self._settle(self.queries[query], Final(
            Kind.SCRAPPED, "scrapped", "nothing is promised: it may or may not have run"))

    def release(self, query: int) -> None:
        self.tape.line(now(), "release", query)
        taken = self.queries[query]
        if taken.state is not None:
            self._spawn(self._let_go, taken, taken.state_at, taken.state)
            taken.state = None

    def move(self, query: int) -> None:
        self.tape.line(now(), "move", query)

    def subscribe(self) -> None:
        self.tape.line(now(), "subscribe")

    def wake(self, token: str, at: int) -> None:
        self.tape.line(now(), "wake", token, at)
        self.timers.at(at, token)

    def note(self, text: str) -> None:
        self.tape.line(now(), "note", text)
        self.log.info("note", text=text)

    def forget(self, query: int) -> None:
        self.tape.line(now(), "forget", query)
        del self.queries[query]
        if not self.queries:
            self.empty.set()
            self.empty = anyio.Event()

    # How it is carried out.

    async def _shot(self, taken: Taken, engine: int, cap: int) -> None:
        sent = now()
        headers = taken.headers | {"X-Request-Id": f"{taken.id}.{taken.shots}"}
        limit = limit_of(cap, taken.limit - self.house.answer_slack - sent)
        address, reads = self.addresses[engine], self.roles[engine] is Role.READER
        ended = Ended(ENDINGS[Mishap.CALLED_BACK], Mishap.CALLED_BACK)
        if taken.final is None:
            with anyio.CancelScope() as scope:
                taken.scope = scope
                try:
                    if reads:
                        ended = await self.caller.read(address, taken.wish.body, headers, limit)
                    else:
                        ended = await self.caller.write(address, taken.wish.body, taken.state, headers, limit,
                                                        taken.wish.most_out, _Hearing(self, taken, sent))
                except Exception as fault:
                    # A fault in one query's shot must not take the others' front down; it may have run.
                    self.log.exception("shot_failed", query=taken.id, fault=repr(fault))
                    ended = Ended(ENDINGS[Mishap.GARBLED], Mishap.GARBLED, repr(fault))
            taken.scope = None
        self._ended(taken, engine, sent, ended)
        if reads and ended.ending in (Ending.OVERDUE, Ending.RECALLED, Ending.SEVERED):
            # The read may have ended while its answer was given up; named by its request, its state goes.
            await self.caller.release(address, None, headers["X-Request-Id"], RELEASE_LIMIT)

    def _ended(self, taken: Taken, engine: int, sent: int, ended: Ended) -> None:
        at = now()
        if ended.ending is Ending.READ:
            taken.state, taken.state_at = ended.state, engine
        elif ended.ending is Ending.STATELESS:
            taken.state = None
        over = taken.final is not None
        if ended.ending is Ending.SUCCEEDED:
            over = True
            if taken.settle(Final(Kind.SUCCEEDED, ended=ended)):
                self.counts["succeeded"] += 1
        elif taken.begun:
            over = True
            if taken.settle(Final(Kind.SCRAPPED, "stream_cut", "the answer broke off; nothing is promised")):
                self.counts["scrapped"] += 1
        self.counts[f"shot_{ended.ending.name.lower()}"] += 1
        self.log.debug("shot_ended", query=taken.id, shot=taken.shots, engine=self.names[engine],
                       ending=ended.ending.name, mishap=ended.mishap and ended.mishap.name,
                       detail=ended.detail, took=at - sent, kept=ended.kept)
        outcome = Outcome(ended.ending, at - sent, ended.kept, ended.report)
        self.tape.line(at, "closed", taken.index, outcome, over)
        self._tell(taken, self.desk.closed, at, taken.index, outcome, over)

    async def _let_go(self, taken: Taken, engine: int, state: Any) -> None:
        if not await self.caller.release(self.addresses[engine], state, taken.id, RELEASE_LIMIT):
            self.log.warning("release_failed", query=taken.id, engine=self.names[engine])

    def _settle(self, taken: Taken, final: Final) -> None:
        if taken.settle(final):
            self.counts[final.kind.value] += 1

    def _leave(self, taken: Taken) -> None:
        at = now()
        self.tape.line(at, "left", taken.index)
        if taken.scope is not None:
            taken.scope.cancel()
        self._tell(taken, self.desk.left, at, taken.index)

    def _tell(self, taken: Taken | None, news: Callable[..., None], *said: Any) -> None:
        """Against a fault in the decisions on one query ending all others: it alone is scrapped."""
        try:
            news(*said)
        except Exception as fault:
            self.log.exception("decisions_failed", query=taken and taken.id, fault=repr(fault))
            if taken is not None and self.desk.drop(taken.index):
                self._settle(taken, Final(Kind.SCRAPPED, "scrapped", "nothing is promised"))
                self.release(taken.index)
                self.forget(taken.index)

    def _ring(self, token: str) -> None:
        if token.startswith(GUARD):
            taken = self.queries.get(int(token.removeprefix(GUARD)))
            # A begun stream is its client's; a whole answer not complete by now comes too late.
            if taken is not None and not (taken.begun and taken.wish.stream) and taken.settle(
                    Final(Kind.SCRAPPED, "out_of_time", "nothing is promised: it may or may not have run")):
                if not taken.begun:
                    # The module answers before this; if it ever does not, the client must not wait in vain.
                    self.log.error("answered_by_guard", query=taken.id)
                self.counts["scrapped"] += 1
                self._leave(taken)
            return
        at = now()
        self.tape.line(at, "rang", token)
        self._tell(self.queries.get(int(token.partition(".")[0])), self.desk.rang, at, token)

    def _spawn(self, work: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        assert self.tasks is not None, "a front acts only while it runs"
        self.tasks.start_soon(work, *args)

    def _listed(self, entry: Entry) -> Listed | None:
        kind, address = self.kinds.get(entry.kind), address_of(entry.address)
        if kind is None or address is None:
            self.log.warning("engine_unusable", engine=entry.engine, kind=entry.kind, address=entry.address)
            return None
        index = self.engine_door.index(entry.engine)
        if index == len(self.addresses):
            self.addresses.append(address)
            self.names.append(entry.engine)
            self.roles.append(self.house.kinds[kind].role)
        self.addresses[index] = address
        return Listed(index, kind, self.zones.get(entry.zone, -2), entry.rack,
                      started(entry, self.wall_at_zero), entry.state, mark(entry.engine))

    def _passed_on(self, wish: Wish) -> dict[str, str]:
        said = {"Runspool-Mark": wish.mark, "Runspool-Tariff": wish.tariff, "Runspool-Tenant": wish.tenant,
                "Runspool-Ticket": wish.ticket, "Runspool-Front": self.terms.front.name}
        return {name: value for name, value in said.items() if value}


class _Hearing:
    """Passes a streamed answer on; its first token is the decisions' news before it is the client's."""

    __slots__ = ("front", "sent", "taken")

    def __init__(self, front: Front, taken: Taken, sent: int) -> None:
        self.front, self.taken, self.sent = front, taken, sent

    async def begun(self) -> None:
        taken, at = self.taken, now()
        if taken.final is not None:
            return await anyio.lowlevel.checkpoint()  # answered while this was on its way: nothing after it
        taken.begun, taken.state = True, None
        self.front.tape.line(at, "begun", taken.index, at - self.sent)
        self.front._tell(taken, self.front.desk.begun, at, taken.index, at - self.sent)
        await self._passed(taken.reply.begun())

    async def said(self, text: str) -> None:
        if self.taken.final is not None:
            return await anyio.lowlevel.checkpoint()
        await self._passed(self.taken.reply.said(text))

    async def _passed(self, sending: Awaitable[None]) -> None:
        try:
            await sending
        except (OSError, TimeoutError):
            # A client that does not read its answer in time counts as one that left.
            self.front.left(self.taken)
            await anyio.lowlevel.checkpoint()
