"""Live moves: in which cell a query is taken, while its tenant may be on the way from one to another. Free
of I/O.

What keeps the rules without any talk among fronts: a query belongs to one cell from its intake to its end.
A move changes only where *new* queries are taken, at a moment that the map states, so a front needs no
message to begin or end one; one that was killed comes back and finds the same answer in map and clock. What
was outstanding ends where it is: an exclusive query that may have run is never sent in the new cell, since
no shot of it ever leaves the old. Two fronts with different maps take a tenant's queries in different cells
for a while, each whole.

One thing does reach over queries: a later try of a ticketed query, whose repeat only the group that has
seen its ticket would drop. Such tries go to the cell where the ticket was seen, until nothing
of it can bind any more.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.cells.cell_map import SPREAD, CellMap, Move
from runspool.cells.engine_placement import home

TICKETS_KEPT = 50_000
HOMES_KEPT = 20_000  # homes drawn, of sessions mostly, until they are drawn anew


class MigrationStage(Enum):
    """Where a move stands at this front."""

    AHEAD = auto()  # its moment has not come
    SETTLING = auto()  # new queries go to the new cell, old ones or tickets still bind the old
    SETTLED = auto()  # nothing binds the old cell any more
    BACK = auto()  # turned back: new queries go to the old cell again


@dataclass(frozen=True, slots=True)
class Way:
    """Where a query is taken. `unsure` marks a later try whose ticket this front cannot place."""

    cell: str
    unsure: bool = False


@dataclass(slots=True)
class TenantMigrations:
    """A front's moves under its map; times in tenths of a millisecond, moments in unix milliseconds."""

    chart: CellMap
    adopted_unix_ms: int = 0
    # (tenant, cell): queries that have not ended
    out: Counter[tuple[str, str]] = field(default_factory=Counter)
    tickets: OrderedDict[str, tuple[str, int]] = field(default_factory=OrderedDict)  # ticket: cell, until
    homes: dict[tuple[str | None, str | None], str] = field(default_factory=dict)

    def adopt(self, chart: CellMap, unix_ms: int) -> bool:
        """Takes a newer map; False, with nothing changed, for an older one or the same. The moment is to be
        kept with the map: a front that has just learned of an old move has itself just moved."""
        if chart.version <= self.chart.version:
            return False
        self.chart, self.adopted_unix_ms = chart, unix_ms
        self.homes.clear()
        return True

    def home(self, unix_ms: int, tenant: str | None, session: str | None) -> str:
        """Where new queries of a tenant are taken at a moment."""
        cell = self._drawn(tenant, session)
        for move in self.chart.moves:
            if move.tenant == tenant:
                over = move.step == "turned_back" and unix_ms >= move.turned_unix_ms
                cell = move.target if unix_ms >= move.starts_unix_ms and not over else move.source
        return cell

    def _drawn(self, tenant: str | None, session: str | None) -> str:
        """The map's home, remembered: drawn among 128 shards it cost as much as all the module's picks."""
        known = tenant is not None and self.chart.tenants.get(tenant) != SPREAD
        key = (tenant, None if known else session)
        found = self.homes.get(key)
        if found is None:
            if len(self.homes) >= HOMES_KEPT:
                self.homes.clear()
            found = self.homes[key] = home(self.chart, tenant, session)
        return found

    def way(
        self,
        now: int,
        unix_ms: int,
        tenant: str | None,
        session: str | None,
        ticket: str | None,
        later_try: bool,
        binds: int,
    ) -> Way:
        """Where a query is taken. `ticket` only for tariffs whose repeats a group smaller than all drops.

        A later try with a ticket seen here goes where it was seen. One whose ticket this front has not seen
        is unsure while a move of its tenant began less than `binds` ago: it may have run in either cell.
        `binds` is the tariff's window and the longest hard limit together: a query taken just before a move
        may be sent up to its limit, and is remembered for a window from then.
        """
        cell = self.home(unix_ms, tenant, session)
        if ticket is None:
            return Way(cell)
        known = self.tickets.get(ticket)
        if known is not None and now < known[1]:
            return Way(known[0])
        if later_try and self._moved_lately(unix_ms, tenant, binds):
            return Way(cell, unsure=True)
        return Way(cell)

    def taken(self, now: int, tenant: str | None, cell: str, ticket: str | None, binds: int) -> None:
        """A query has been taken in a cell."""
        self.out[tenant or "", cell] += 1
        if ticket is not None:
            self.tickets[ticket] = (cell, now + binds)
            self.tickets.move_to_end(ticket)
            while len(self.tickets) > TICKETS_KEPT:
                self.tickets.popitem(last=False)

    def ended(self, tenant: str | None, cell: str) -> None:
        key = (tenant or "", cell)
        self.out[key] -= 1
        if self.out[key] <= 0:
            del self.out[key]

    def stage(self, now: int, unix_ms: int, move: Move) -> MigrationStage:
        """Where a move stands at this front."""
        if move.step == "turned_back" and unix_ms >= move.turned_unix_ms:
            return MigrationStage.BACK
        if unix_ms < move.starts_unix_ms:
            return MigrationStage.AHEAD
        if self.out[move.tenant, move.source]:
            return MigrationStage.SETTLING
        bound = any(cell == move.source and now < until for cell, until in self.tickets.values())
        return MigrationStage.SETTLING if bound else MigrationStage.SETTLED

    def _moved_lately(self, unix_ms: int, tenant: str | None, binds: int) -> bool:
        """Whether new queries of the tenant may have changed cells here less than `binds` ago: by a moment
        of its moves, or because this front took a new map, which may have dropped what the old one said."""
        moments = [
            self.adopted_unix_ms,
            *(
                moment
                for move in self.chart.moves
                if move.tenant == tenant
                for moment in (move.starts_unix_ms, move.turned_unix_ms)
            ),
        ]
        return any(0 <= unix_ms - moment < binds // 10 for moment in moments if moment)


class MigrationRefusedError(Exception):
    """A change of the map that must not be made; the reason says why."""


def planned(chart: CellMap, move: Move, lacks: list[str]) -> CellMap:
    """The next map with a move planned. `lacks` is what the placing says of the target's cells.

    Raises Refused where the tenant is being moved already, the target is none, is the reserve or lacks a
    role.
    """
    if any(one.tenant == move.tenant and one.step == "planned" for one in chart.moves):
        raise MigrationRefusedError(f"{move.tenant} is already being moved; finish or undo that first")
    if move.target not in chart.names():
        raise MigrationRefusedError(f"there is no cell {move.target}; there are {', '.join(chart.names())}")
    if move.target == chart.reserve:
        raise MigrationRefusedError(
            f"{move.target} is the reserve: a tenant there would leave overflow no room"
        )
    missing = [lack for lack in lacks if lack.startswith(f"{move.target}: 0 of")]
    if missing:
        raise MigrationRefusedError(f"{move.target} lacks a role: {missing[0]}")
    if move.source == move.target:
        raise MigrationRefusedError(f"{move.tenant} is in {move.target} already")
    # A move that was finished or turned back before says nothing more once another is planned.
    return _next(chart, [*(one for one in chart.moves if one.tenant != move.tenant), move])


def turned_back(chart: CellMap, move_id: str, unix_ms: int) -> CellMap:
    """The next map with a move undone from a moment on; raises Refused where it is none or is done with."""
    found = _under_way(chart, move_id)
    return _next(
        chart,
        [
            one.model_copy(update={"step": "turned_back", "turned_unix_ms": unix_ms}) if one is found else one
            for one in chart.moves
        ],
    )


def done(chart: CellMap, move_id: str, unix_ms: int, binds: int) -> CellMap:
    """The next map with a move folded into the tenants' homes. Raises Refused where it is not under way, or
    began less than `binds` (tenths of a millisecond) ago: its tickets still bind the old cell."""
    found = _under_way(chart, move_id)
    left = found.starts_unix_ms + binds // 10 - unix_ms
    if left > 0:
        raise MigrationRefusedError(
            f"{move_id} can be finished in {left} ms, when no ticket binds {found.source} any more"
        )
    moves = [one.model_copy(update={"step": "done"}) if one is found else one for one in chart.moves]
    return _next(chart, moves, chart.tenants | {found.tenant: found.target})


def _under_way(chart: CellMap, move_id: str) -> Move:
    found = next((one for one in chart.moves if one.id == move_id), None)
    if found is None:
        raise MigrationRefusedError(f"there is no move {move_id}")
    if found.step != "planned":
        raise MigrationRefusedError(f"{move_id} is {found.step}; plan a move the other way")
    return found


def _next(chart: CellMap, moves: list[Move], tenants: dict[str, str] | None = None) -> CellMap:
    said = chart.model_dump() | {"version": chart.version + 1, "moves": [one.model_dump() for one in moves]}
    return CellMap.model_validate(said if tenants is None else said | {"tenants": tenants})
