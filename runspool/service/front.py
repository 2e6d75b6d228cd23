"""One front: tells the decisions what happens, and carries out what they decide. Decides nothing itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
import structlog
import xxhash

from runspool.cells.chart import CellMap
from runspool.cells.keeping import Asked, Keeping, Stay, Turned
from runspool.cells.placing import Place
from runspool.decisions.interface import Ending, Listed, Outcome, Query, Role
from runspool.engines import Caller, Ended
from runspool.engines.endings import ENDINGS, Mishap
from runspool.engines.shots import State, limit_of
from runspool.front import Desk
from runspool.front.door import Door, mark
from runspool.roster.following import GONE_KEPT, Following
from runspool.roster.watching import started
from runspool.service.budget import first_token_budget
from runspool.service.clock import now, unix_ms, unix_ms_at_zero
from runspool.service.quarter import Quarter
from runspool.service.tape import Tape
from runspool.service.taken import Final, Kind, Reply, Site, Taken
from runspool.service.timers import Timers
from runspool.terms import Terms
from runspool.terms.checked import tenths
from runspool.wire.completions import Wish
from runspool.wire.listing import Entry, address_of

NAMES_KNOWN = 200_000  # texts' names remembered before the one unseen for longest is forgotten
NAME_KEPT = 6_000_000  # tenths of a millisecond: a text unseen for so long is kept by no engine any more
RELEASE_LIMIT = 5_000  # tenths of a millisecond for one call, or the house's time to let go if that is less
RELEASE_RESTS = (0.002, 0.004, 0.05, 0.25)  # seconds before such a call is made again
LOOK_LIMIT = 0.1  # seconds for the look whether an engine is down
TAKEN_BYTES = 256 << 20  # of queries held at once, shared out to cells
GUARD = "guard."


class Refused(Exception):
    """A query not taken: nothing has been done for it, and nothing will be. A scrapping where an earlier try
    of it may have run."""

    def __init__(self, code: str, message: str, kind: Kind = Kind.DISMISSED) -> None:
        super().__init__(message)
        self.code, self.message, self.kind = code, message, kind


TURNED = {
    Turned.CELL_FULL: ("cell_full", "this cell has all the queries here it may; come later", Kind.DISMISSED),
    Turned.FRONT_FULL: ("front_full", "this front holds all the queries it may; come later or ask another",
                        Kind.DISMISSED),
    Turned.POISONOUS: ("poisonous", "engines were lost with this query; it is sent nowhere", Kind.SCRAPPED),
    Turned.UNSURE: ("unsure", "its tenant moves, and an earlier try may have run elsewhere", Kind.SCRAPPED),
}
# A connection that broke with the query out: the engine may have gone down, and may have by this query.
BROKE = {Mishap.CUT_AFTER_LAST_BYTE, Mishap.CUT_IN_ANSWER, Mishap.CUT_IN_STREAM}

# An engine's word that it does not know the call: it frees states by its own time-out; to ask again is vain.
WONT = {Mishap.NOT_AN_ENGINE, Mishap.NOT_FOR_ENGINE}


class Front:
    """Carries out what the cells' desks ask, on sockets. It runs in one event loop; no method blocks."""

    def __init__(self, terms: Terms, tape: Path | None = None, seed: int | None = None,
                 chart: CellMap | None = None, adopted_unix_ms: int = 0) -> None:
        self.terms = terms
        self.house = terms.house_terms()
        self.tape_file = tape
        self.log = structlog.get_logger()
        self.tariffs = {name: at for at, name in enumerate(terms.house.tariffs)}
        self.tenants = {name: at for at, name in enumerate(terms.house.tenants)}
        self.kinds = {name: at for at, name in enumerate(terms.house.kinds)}
        self.zones = {name: at for at, name in enumerate(terms.house.zones)}
        self.engine_door = Door()
        self.text_door = Door(NAMES_KNOWN, NAME_KEPT)
        self.sites: dict[int, Site] = {}
        self.following = Following()
        self.caller = Caller(terms.front.engines, now, terms.front.bounds.stream_silence_ms)
        self.timers = Timers(self._ring)
        self.queries: dict[int, Taken] = {}
        self.arrived = 0
        self.life = now()
        self.closing = False
        self.empty = anyio.Event()
        self.releasing = 0  # calls under way that let a state go
        self.counts: Counter[str] = Counter()
        self.tasks: TaskGroup | None = None
        self.seed = terms.front.seed if seed is None else seed
        self.keeping = Keeping(chart or CellMap(version=0, way="fixed"), terms.front.bounds.queries,
                               TAKEN_BYTES, Random(self.seed ^ 0x5EED).random, adopted_unix_ms)
        self.lines: dict[str, Listed] = {}
        self.quarters: dict[str, Quarter] = {}
        self.quarter(self.keeping.chart.names()[0])

    # What comes in.

    # What comes in.

    def take(self, wish: Wish, reply: Reply, came: int) -> Taken:
        """Takes a query: from here on it is owed one final answer. Raises Refused where it is not taken."""
        if self.closing:
            raise Refused("closing", "this front is stopping; ask another")
        stay = self._let_in(wish)
        index = self.arrived
        self.arrived += 1
        at = now()
        limit = came + wish.limit
        name = f"{self.terms.front.name}-{self.life:x}-{index}"
        taken = Taken(index, name, wish, reply, came, limit, self._passed_on(wish), stay)
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
        self.quarter(stay.cell)
        self._tell(stay.cell, index, Quarter.arrive, query)
        return taken

    def _let_in(self, wish: Wish) -> Stay:
        row = self.terms.house.tariffs[wish.tariff]
        # A ticket that all engines know binds no cell.
        bound = row.effect == "ticketed" and row.group != "all"
        print_ = xxhash.xxh64_hexdigest(f"{wish.tenant}\0".encode() + bytes(wish.body["prompt"]))
        asked = Asked(wish.tenant, wish.session, wish.ticket if bound else None, wish.resent or wish.again,
                      tenths(row.window_ms + self.terms.front.bounds.longest_limit_ms) if bound else 0,
                      wish.size, print_)
        stay = self.keeping.let_in(now(), unix_ms(), asked)
        if isinstance(stay, Turned):
            code, message, kind = TURNED[stay]
            self.counts[f"turned_{code}"] += 1
            raise Refused(code, message, kind)
        return stay

    def left(self, taken: Taken) -> None:
        """The client has gone: whatever is out for it is called back."""
        if self._settle(taken, Final(Kind.LEFT)):
            self._leave(taken)

    def engines_changed(self, changed: list[Entry]) -> None:
        """News of the list, as soon as it is known."""
        for entry in changed:
            line = self._listed(entry)
            if line is not None:
                self.lines.pop(entry.engine, None)
                self.lines[entry.engine] = line
        gone = [name for name, line in self.lines.items() if line.state == "gone"]
        for name in gone[: max(0, len(gone) - GONE_KEPT)]:
            # Against weeks of engines that come and go. A shot or state still out there knows its address.
            del self.sites[self.lines.pop(name).engine]
            self.engine_door.forget(name)
        self._place()

    def map_changed(self, chart: CellMap, since: int) -> None:
        """A newer cell map. What has been taken stays where it is."""
        if not self.keeping.adopt(chart, since):
            return
        self.log.info("cells_adopted", version=chart.version, cells=len(chart.names()))
        self._place()
        for name, quarter in list(self.quarters.items()):
            self._close_if_left(name, quarter)

    def cells(self) -> dict[str, Any]:
        """Where this front stands with its cells and moves, for operators."""
        keeping, at, wall = self.keeping, now(), unix_ms()
        return {
            "front": self.terms.front.name, "version": keeping.chart.version,
            "adopted_unix_ms": keeping.adopted_unix_ms, "lacks": keeping.placed.lacks,
            "panicking": sorted(keeping.panicking),
            "moves": [{"id": move.id, "tenant": move.tenant, "source": move.source, "target": move.target,
                       "stage": keeping.moves.stage(at, wall, move).name.lower(),
                       "out": keeping.moves.out[move.tenant, move.source]} for move in keeping.chart.moves],
            "cells": {name: {"engines": sorted(there), "queries": keeping.queries.held.get(name, 0),
                             "overflow": round(keeping.overflows.standing(name).part, 3),
                             "lent": keeping.overflows.standing(name).lent}
                      for name, there in keeping.placed.cells.items()},
        }

    def _place(self) -> None:
        """Tells each cell's desk what engines it has. One that the map has no more keeps those it had."""
        zones = self.terms.house.zones
        places = [Place(name, self.sites[line.engine].role, zones[line.zone] if line.zone >= 0 else "",
                        line.rack)
                  for name, line in self.lines.items()]
        before = self.keeping.placed.lacks
        off = {name for name, line in self.lines.items() if line.state != "on"}
        placed = self.keeping.listed(places, off)
        if placed.lacks != before and self.keeping.chart.version:
            self.log.warning("cells_lack", what=placed.lacks[:20], more=max(0, len(placed.lacks) - 20))
        for name, quarter in self.quarters.items():
            quarter.told(self._engines_of(name, quarter))

    def _engines_of(self, name: str, quarter: Quarter) -> dict[int, Listed]:
        there = self.keeping.placed.cells.get(name)
        if there is None:
            return {line.engine: line for line in self.lines.values()
                    if line.engine in quarter.engines and line.state == "on"}
        # In one order everywhere: a set's changes from life to life, and with it what is drawn for whom.
        return {self.lines[engine].engine: self.lines[engine] for engine in sorted(there)}

    def quarter(self, name: str) -> Quarter:
        """A cell's desk, made when its first query comes."""
        found = self.quarters.get(name)
        if found is None:
            # One cell of several that share engines is to the others like another front.
            terms = replace(self.house, fronts=round(self.house.fronts * self.keeping.overlap()))
            first = not self.quarters and name == self.keeping.chart.names()[0]
            file = self.tape_file and (self.tape_file if first else
                                       self.tape_file.with_name(f"{self.tape_file.name}.{name}"))
            found = Quarter(name, terms, self.seed if first else self.seed ^ mark(name), self, Tape(file))
            self.quarters[name] = found
            found.told(self._engines_of(name, found))
        return found

    def _close_if_left(self, name: str, quarter: Quarter) -> None:
        if not quarter.queries and name not in self.keeping.chart.names():
            quarter.tape.close()
            del self.quarters[name]

    @property
    def desk(self) -> Desk:
        """That of the only cell, or of the first."""
        return next(iter(self.quarters.values())).desk

    def list_lost(self) -> None:
        for quarter in self.quarters.values():
            quarter.list_lost()

    def scrap_all(self) -> None:
        """The stop's last resort: whoever still waits gets the answer that promises nothing."""
        for taken in list(self.queries.values()):
            if self._settle(taken, Final(Kind.SCRAPPED, "stopped",
                                         "the front stopped; it may or may not have run")):
                self._leave(taken)

    # What the decisions ask for.

    def send(self, query: int, engine: int, cap: int) -> None:
        taken = self.queries[query]
        taken.shots += 1
        self._spawn(self._shot, taken, self.sites[engine], cap)

    def dismiss(self, query: int, hold_off: int) -> None:
        self._settle(self.queries[query], Final(
            Kind.DISMISSED, "dismissed", "not run; trying again is harmless", hold_off))

    def scrap(self, query: int) -> None:
        self._settle(self.queries[query], Final(
            Kind.SCRAPPED, "scrapped", "nothing is promised: it may or may not have run"))

    def release(self, query: int) -> None:
        taken = self.queries[query]
        if taken.state is not None and taken.state_at is not None:
            self._spawn(self._let_go, taken.state_at, taken.state, taken.id)
            taken.state = None

    def wake(self, token: str, at: int) -> None:
        self.timers.at(at, token)

    def note(self, text: str) -> None:
        self.log.info("note", text=text)

    def forget(self, query: int) -> None:
        taken = self.queries.pop(query)
        kind = taken.final.kind if taken.final is not None else Kind.LEFT
        self.keeping.ended(now(), taken.stay, {Kind.SUCCEEDED: False, Kind.DISMISSED: True}.get(kind))
        quarter = self.quarters.get(taken.stay.cell)
        if quarter is not None:
            self._close_if_left(quarter.name, quarter)
        if not self.queries:
            self.empty.set()
            self.empty = anyio.Event()

    # How it is carried out.

    async def _shot(self, taken: Taken, site: Site, cap: int) -> None:
        sent, shot = now(), taken.shots
        headers = taken.headers | {"X-Request-Id": f"{taken.id}.{shot}"}
        limit = limit_of(cap, taken.limit - self.house.answer_slack - sent)
        reads = site.role is Role.READER
        ended = Ended(ENDINGS[Mishap.CALLED_BACK], Mishap.CALLED_BACK)
        if taken.final is None:
            with anyio.CancelScope() as scope:
                taken.scope = scope
                try:
                    barred = partial(self._barred, site)
                    if reads:
                        ended = await self.caller.read(site.address, taken.wish.body, headers, limit, barred)
                    else:
                        ended = await self.caller.write(site.address, taken.wish.body, taken.state, headers,
                                                        limit, barred, taken.wish.most_out,
                                                        _Hearing(self, taken, shot, sent))
                except Exception as fault:
                    # A fault in one query's shot must not take the others' front down; it may have run.
                    self.log.exception("shot_failed", query=taken.id, fault=repr(fault))
                    ended = Ended(ENDINGS[Mishap.GARBLED], Mishap.GARBLED, repr(fault))
                if ended.mishap in BROKE:
                    await self._look_for_poison(taken, site)
            taken.scope = None
        self._ended(taken, site, shot, sent, ended)
        if reads and ended.ending in (Ending.OVERDUE, Ending.RECALLED, Ending.SEVERED):
            # The read may have ended while its answer was given up; named by its request, its state goes.
            await self._let_go(site, None, headers["X-Request-Id"])

    def _barred(self, site: Site) -> bool:
        """Whether the list has taken an engine out since it was picked: a connection may take longer than a
        drain's grace."""
        line = self.lines.get(site.name)
        return line is None or line.engine != site.engine or line.state != "on"

    def _ended(self, taken: Taken, site: Site, shot: int, sent: int, ended: Ended) -> None:
        at = now()
        if ended.ending is Ending.READ:
            taken.state, taken.state_at = ended.state, site
        elif ended.ending is Ending.STATELESS:
            taken.state = None
        over = taken.final is not None
        if ended.ending is Ending.SUCCEEDED:
            over = True
            self._settle(taken, Final(Kind.SUCCEEDED, ended=ended))
        elif taken.begun:
            over = True
            self._settle(taken, Final(Kind.SCRAPPED, "stream_cut",
                                      "the answer broke off; nothing is promised"))
        self.counts[f"shot_{ended.ending.name.lower()}"] += 1
        self.log.debug("shot_ended", query=taken.id, shot=shot, engine=site.name,
                       ending=ended.ending.name, mishap=ended.mishap and ended.mishap.name,
                       detail=ended.detail, took=at - sent, kept=ended.kept)
        outcome = Outcome(ended.ending, at - sent, ended.kept, ended.report)
        if taken.index in self.queries:
            self._tell(taken.stay.cell, taken.index, Quarter.closed, taken.index, shot, outcome, over)
        elif taken.state is not None:
            # Its decisions failed while it was out: nobody else lets go what has been read since.
            self._spawn(self._let_go, site, taken.state, taken.id)

    async def _look_for_poison(self, taken: Taken, site: Site) -> None:
        """An engine that is down since the query was there counts against the query; it may be its doing.

        The query waits for it, and its state does: no longer than LOOK_LIMIT, nor once its client has left.
        """
        up = False
        with anyio.move_on_after(LOOK_LIMIT):
            up = await self.caller.answers(site.address)
        if up or taken.final is not None or not self.keeping.engine_lost(now(), taken.stay, site.engine):
            return
        self.log.error("query_poisonous", query=taken.id, tenant=taken.wish.tenant, engine=site.name)
        self.counts["poisonous"] += 1
        self._settle(taken, Final(Kind.SCRAPPED, "poisonous", TURNED[Turned.POISONOUS][1]))

    async def _let_go(self, site: Site, state: State | None, request: str) -> None:
        """Against a call lost on its way pinning the state: it is repeated, soon at first."""
        self.releasing += 1
        try:
            for rest in (*RELEASE_RESTS, 0.0):
                limit = min(RELEASE_LIMIT, self.house.release_within)
                mishap = await self.caller.release(site.address, state, request, limit)
                if mishap is None or mishap in WONT:
                    return
                await anyio.sleep(rest)
            self.log.warning("release_failed", query=request, engine=site.name)
        finally:
            self.releasing -= 1

    def _settle(self, taken: Taken, final: Final) -> bool:
        """Gives and counts the final answer; False where there already is one."""
        if not taken.settle(final):
            return False
        self.counts[final.kind.value] += 1
        return True

    def _leave(self, taken: Taken) -> None:
        taken.call_back()
        self._tell(taken.stay.cell, taken.index, Quarter.left, taken.index)

    def _tell(self, cell: str, index: int, news: Callable[..., None], *said: Any) -> None:
        """Against a fault in the decisions on one query ending all others: it alone is scrapped. A cell whose
        desk is closed is told nothing."""
        quarter = self.quarters.get(cell)
        if quarter is None:
            return
        try:
            news(quarter, *said)
        except Exception as fault:
            taken = self.queries.get(index)
            self.log.exception("decisions_failed", query=taken and taken.id, fault=repr(fault))
            if taken is not None:
                self._settle(taken, Final(Kind.SCRAPPED, "scrapped", "nothing is promised"))
                taken.call_back()
                self.release(index)
            quarter.drop(index)

    def _ring(self, token: str) -> None:
        if token.startswith(GUARD):
            taken = self.queries.get(int(token.removeprefix(GUARD)))
            # A begun stream is its client's; a whole answer not complete by now comes too late.
            if taken is not None and not (taken.begun and taken.wish.stream) and self._settle(taken, Final(
                    Kind.SCRAPPED, "out_of_time", "nothing is promised: it may or may not have run")):
                if not taken.begun:
                    # The module answers before this; if it ever does not, the client must not wait in vain.
                    self.log.error("answered_by_guard", query=taken.id)
                self._leave(taken)
            return
        token, _, cell = token.rpartition("@")
        self._tell(cell, int(token.partition(".")[0]), Quarter.rang, token)

    def _spawn(self, work: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        assert self.tasks is not None, "a front acts only while it runs"
        self.tasks.start_soon(work, *args)

    def _listed(self, entry: Entry) -> Listed | None:
        kind, address = self.kinds.get(entry.kind), address_of(entry.address)
        before = self.lines.get(entry.engine)
        if kind is None or address is None:
            self.log.warning("engine_unusable", engine=entry.engine, kind=entry.kind, address=entry.address)
            # Against going on as before with an engine that may be draining, or be another by now.
            return before and replace(before, state="gone")
        index = self.engine_door.index(entry.engine)
        if before is not None and self.sites[index].started_unix_ms == entry.started_unix_ms:
            since = before.started  # the wall clock may have been set since: still the same start
        else:
            since = started(entry, unix_ms_at_zero())
        self.sites[index] = Site(index, entry.engine, address, self.house.kinds[kind].role,
                                 entry.started_unix_ms)
        return Listed(index, kind, self.zones.get(entry.zone, -2), entry.rack, since, entry.state,
                      mark(entry.engine))

    def _passed_on(self, wish: Wish) -> dict[str, str]:
        said = {"Runspool-Mark": wish.mark, "Runspool-Tariff": wish.tariff, "Runspool-Tenant": wish.tenant,
                "Runspool-Ticket": wish.ticket, "Runspool-Front": self.terms.front.name}
        return {name: value for name, value in said.items() if value}


class _Hearing:
    """Passes a streamed answer on; its first token is the decisions' news before it is the client's."""

    __slots__ = ("front", "sent", "shot", "taken")

    def __init__(self, front: Front, taken: Taken, shot: int, sent: int) -> None:
        self.front, self.taken, self.shot, self.sent = front, taken, shot, sent

    async def begun(self) -> None:
        taken, at = self.taken, now()
        if taken.final is not None:
            return await anyio.lowlevel.checkpoint()  # answered while this was on its way: nothing after it
        taken.begun, taken.state = True, None
        self.front._tell(taken.stay.cell, taken.index, Quarter.begun, taken.index, self.shot, at - self.sent)
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
