"""The house's front: what it takes from clients and says to engines, and its cells. Decides nothing."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
import xxhash

from runspool.cells.chart import CellMap
from runspool.cells.keeping import Asked, Keeping, Stay, Turned
from runspool.cells.placing import Place
from runspool.decisions.interface import Listed, Query, Role
from runspool.decisions.lifecycle import ENDED_HERE
from runspool.engines.endings import Mishap
from runspool.engines.exchange import Ended, Listener, Permit
from runspool.engines.shots import Caller, State
from runspool.front import Desk
from runspool.front.door import mark
from runspool.service.budget import first_token_budget
from runspool.service.carrying import Carrying, Hearing
from runspool.service.clock import now, unix_ms
from runspool.service.owed import Final, Kind, Refused, Site
from runspool.service.quarter import Quarter
from runspool.service.tape import Tape
from runspool.service.taken import Taken
from runspool.terms import Terms
from runspool.units import tenths
from runspool.wire.completions import Wish

NAMES_KNOWN = 200_000  # texts' names remembered before the one unseen for longest is forgotten
RELEASE_LIMIT = 5_000  # tenths of a millisecond for one call, or the house's time to let go if that is less
RELEASE_RESTS = (0.002, 0.004, 0.05, 0.25)  # seconds before such a call is made again
LOOK_LIMIT = 0.1  # seconds for the look whether an engine is down
TAKEN_BYTES = 256 << 20  # of queries held at once, shared out to cells


TURNED = {
    Turned.CELL_FULL: ("cell_full", "this cell has all the queries here it may; come later", Kind.DISMISSED),
    Turned.FRONT_FULL: (
        "front_full",
        "this front holds all the queries it may; come later or ask another",
        Kind.DISMISSED,
    ),
    Turned.POISONOUS: ("poisonous", "engines were lost with this query; it is sent nowhere", Kind.SCRAPPED),
    Turned.UNSURE: ("unsure", "its tenant moves, and an earlier try may have run elsewhere", Kind.SCRAPPED),
}
# A connection that broke with the query out: the engine may have gone down, and may have by this query.
BROKE = {Mishap.CUT_AFTER_LAST_BYTE, Mishap.CUT_IN_ANSWER, Mishap.CUT_IN_STREAM}

# An engine's word that it does not know the call: it frees states by its own time-out; to ask again is vain.
WONT = {Mishap.NOT_AN_ENGINE, Mishap.NOT_FOR_ENGINE}


class Front(Carrying[Taken]):
    """The house's own way in and out, and its cells' desks."""

    def __init__(
        self,
        terms: Terms,
        tape: Path | None = None,
        seed: int | None = None,
        chart: CellMap | None = None,
        adopted_unix_ms: int = 0,
    ) -> None:
        self.terms = terms
        super().__init__(
            terms.house_terms(),
            {name: at for at, name in enumerate(terms.house.kinds)},
            {name: at for at, name in enumerate(terms.house.zones)},
            NAMES_KNOWN,
        )
        self.tape_file = tape
        self.tariffs = {name: at for at, name in enumerate(terms.house.tariffs)}
        self.tenants = {name: at for at, name in enumerate(terms.house.tenants)}
        self.caller = Caller(terms.front.engines, now, terms.front.bounds.stream_silence_ms)
        self.life = now()
        self.seed = terms.front.seed if seed is None else seed
        self.keeping = Keeping(
            chart or CellMap(version=0, way="fixed"),
            terms.front.bounds.queries,
            TAKEN_BYTES,
            Random(self.seed ^ 0x5EED).random,
            adopted_unix_ms,
        )
        self.quarters: dict[str, Quarter] = {}
        self.quarter(self.keeping.chart.names()[0])

    # What comes in.

    def take(self, wish: Wish, reply: Listener[str], came: int) -> Taken:
        """Takes a query: from here on it is owed one final answer. Raises Refused where it is not taken."""
        if self.closing:
            raise Refused("closing", "this front is stopping; ask another")
        stay = self._let_in(wish)
        index = self.arrived
        self.arrived += 1
        at = now()
        limit = came + wish.limit
        name = f"{self.terms.front.name}-{self.life:x}-{index}"
        taken = Taken(index, name, came, limit, reply, wish=wish, headers=self._passed_on(wish), stay=stay)
        query = Query(
            index=index,
            tariff=self.tariffs[wish.tariff],
            tenant=None if wish.tenant is None else self.tenants[wish.tenant],
            session=self.text("s", wish.session, at),
            beginning=self.text("b", wish.beginning, at),
            prompt=wish.prompt,
            beginning_length=wish.beginning_length,
            most_out=wish.most_out,
            likely_out=wish.likely_out,
            # The answer still has to reach the client within its time.
            budget=first_token_budget(
                limit - self.house.answer_slack - at,
                not wish.stream,
                wish.likely_out,
                self.house.tariffs[self.tariffs[wish.tariff]],
            ),
            resent=wish.resent,
            again=wish.again,
            session_mark=mark(wish.session or ""),
            beginning_mark=mark(wish.beginning or ""),
        )
        self.log.debug(
            "query_taken",
            query=name,
            tariff=wish.tariff,
            tenant=wish.tenant,
            prompt=wish.prompt,
            limit=wish.limit,
            mark=wish.mark,
        )
        self.owe(taken)
        self.quarter(stay.cell)
        self._tell(self.desk_of(taken), index, Quarter.arrive, query)
        return taken

    def _let_in(self, wish: Wish) -> Stay:
        row = self.terms.house.tariffs[wish.tariff]
        # A ticket that all engines know binds no cell.
        bound = row.effect == "ticketed" and row.group != "all"
        print_ = xxhash.xxh64_hexdigest(f"{wish.tenant}\0".encode() + bytes(wish.body["prompt"]))
        asked = Asked(
            wish.tenant,
            wish.session,
            wish.ticket if bound else None,
            wish.resent or wish.again,
            tenths(row.window_ms + self.terms.front.bounds.longest_limit_ms) if bound else 0,
            wish.size,
            print_,
        )
        stay = self.keeping.let_in(now(), unix_ms(), asked)
        if isinstance(stay, Turned):
            code, message, kind = TURNED[stay]
            self.counts[f"turned_{code}"] += 1
            raise Refused(code, message, kind)
        return stay

    def map_changed(self, chart: CellMap, since: int) -> None:
        """A newer cell map. What has been taken stays where it is."""
        if not self.keeping.adopt(chart, since):
            return
        self.log.info("cells_adopted", version=chart.version, cells=len(chart.names()))
        self.relisted()
        for name, quarter in list(self.quarters.items()):
            self._close_if_left(name, quarter)

    def cells(self) -> dict[str, Any]:
        """Where this front stands with its cells and moves, for operators."""
        keeping, at, wall = self.keeping, now(), unix_ms()
        return {
            "front": self.terms.front.name,
            "version": keeping.chart.version,
            "adopted_unix_ms": keeping.adopted_unix_ms,
            "lacks": keeping.placed.lacks,
            "panicking": sorted(keeping.panicking),
            "moves": [
                {
                    "id": move.id,
                    "tenant": move.tenant,
                    "source": move.source,
                    "target": move.target,
                    "stage": keeping.moves.stage(at, wall, move).name.lower(),
                    "out": keeping.moves.out[move.tenant, move.source],
                }
                for move in keeping.chart.moves
            ],
            "cells": {
                name: {
                    "engines": sorted(there),
                    "queries": keeping.queries.held.get(name, 0),
                    "overflow": round(keeping.overflows.standing(name).part, 3),
                    "lent": keeping.overflows.standing(name).lent,
                }
                for name, there in keeping.placed.cells.items()
            },
        }

    def relisted(self) -> None:
        """Tells each cell's desk what engines it has. One that the map has no more keeps those it had."""
        zones = self.terms.house.zones
        places = [
            Place(name, self.sites[line.engine].role, zones[line.zone] if line.zone >= 0 else "", line.rack)
            for name, line in self.lines.items()
        ]
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
            return {
                line.engine: line
                for line in self.lines.values()
                if line.engine in quarter.engines and line.state == "on"
            }
        # In one order everywhere: a set's changes from life to life, and with it what is drawn for whom.
        return {self.lines[engine].engine: self.lines[engine] for engine in sorted(there)}

    def quarter(self, name: str) -> Quarter:
        """A cell's desk, made when its first query comes."""
        found = self.quarters.get(name)
        if found is None:
            # One cell of several that share engines is to the others like another front.
            terms = replace(self.house, fronts=round(self.house.fronts * self.keeping.overlap()))
            first = not self.quarters and name == self.keeping.chart.names()[0]
            file = self.tape_file and (
                self.tape_file if first else self.tape_file.with_name(f"{self.tape_file.name}.{name}")
            )
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

    # How it is carried out.

    def desk_named(self, name: str) -> Quarter | None:
        return self.quarters.get(name)

    def desk_of(self, taken: Taken) -> Quarter | None:
        return self.quarters.get(taken.stay.cell)

    def tariff_of(self, taken: Taken) -> int:
        return self.tariffs[taken.wish.tariff]

    async def speak(
        self, taken: Taken, site: Site, shot: int, sent: int, limit: int, permit: Permit
    ) -> Ended:
        headers = taken.headers | {"X-Request-Id": f"{taken.id}.{shot}"}
        body = taken.wish.body
        if site.role is Role.READER:
            ended = await self.caller.read(site.address, body, headers, limit, permit)
        else:
            ended = await self.caller.write(
                site.address,
                body,
                taken.state,
                headers,
                limit,
                permit,
                taken.wish.most_out,
                Hearing(self, taken, shot, sent),
            )
        if ended.mishap in BROKE:
            await self._look_for_poison(taken, site)
        return ended

    def waits_at(self, taken: Taken, site: Site | None, state: State | None) -> None:
        taken.state_at, taken.state = site, state

    def shot_over(self, taken: Taken, site: Site, shot: int, ended: Ended) -> None:
        if site.role is Role.READER and ended.ending in ENDED_HERE:
            # The read may have ended while its answer was given up; named by its request, its state goes.
            self.spawn_release(self._let_go, site, None, f"{taken.id}.{shot}")

    def let_go(self, taken: Taken) -> None:
        if taken.state is not None and taken.state_at is not None:
            self.spawn_release(self._let_go, taken.state_at, taken.state, taken.id)
        taken.state = taken.state_at = None

    def guarded(self, taken: Taken) -> bool:
        return not (taken.begun and taken.wish.stream)

    def gone(self, taken: Taken) -> None:
        kind = taken.final.kind if taken.final is not None else Kind.LEFT
        self.keeping.ended(now(), taken.stay, {Kind.SUCCEEDED: False, Kind.DISMISSED: True}.get(kind))
        quarter = self.quarters.get(taken.stay.cell)
        if quarter is not None:
            self._close_if_left(quarter.name, quarter)

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
        for rest in (*RELEASE_RESTS, 0.0):
            limit = min(RELEASE_LIMIT, self.house.release_within)
            mishap = await self.caller.release(site.address, state, request, limit)
            if mishap is None or mishap in WONT:
                return
            await anyio.sleep(rest)
        self.log.warning("release_failed", query=request, engine=site.name)

    def _passed_on(self, wish: Wish) -> dict[str, str]:
        said = {
            "Runspool-Mark": wish.mark,
            "Runspool-Tariff": wish.tariff,
            "Runspool-Tenant": wish.tenant,
            "Runspool-Ticket": wish.ticket,
            "Runspool-Front": self.terms.front.name,
        }
        return {name: value for name, value in said.items() if value}
