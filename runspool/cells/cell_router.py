"""One front's cells: where a query is let in, whether it is at all, and which engines each cell has now.

Free of I/O; times in tenths of a millisecond, moments in unix milliseconds. It puts together what the map
says (chart, placing, moving) and what this front has seen (ruling). It picks no engine: the module does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.cells.admission_policy import Budget, Overflows, Poison, Verdict, panics
from runspool.cells.cell_map import CellMap
from runspool.cells.engine_placement import EnginePlace, Placement, place
from runspool.cells.tenant_migration import TenantMigrations


class AdmissionRefusal(Enum):
    """Why a query is not let in. Nothing has been done for it."""

    CELL_FULL = auto()
    FRONT_FULL = auto()
    POISONOUS = auto()  # it brought down each engine that it met
    UNSURE = auto()  # a later try whose first may have run in another cell


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What of a query bears on its cell. `ticket` only where its repeats a group smaller than all drops, and
    `binds` then says for how long: the tariff's window and the longest hard limit."""

    tenant: str | None
    session: str | None
    ticket: str | None
    later_try: bool
    binds: int
    size: int  # bytes it holds at the front
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CellAdmission:
    """A query let in: the cell that serves it, to its end, and the cell on whose account it is."""

    cell: str
    home: str
    asked: AdmissionRequest

    @property
    def lent(self) -> bool:
        return self.cell != self.home


@dataclass
class CellRouter:
    """`draw` is a bound method of the front's seeded random numbers."""

    chart: CellMap
    most_queries: int
    most_bytes: int
    draw: Callable[[], float]
    adopted_unix_ms: int = 0
    placed: Placement = field(default_factory=lambda: Placement({}))
    panicking: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        self.moves = TenantMigrations(self.chart, self.adopted_unix_ms)
        self.overflows = Overflows(self.chart)
        self.poison = Poison(self.chart.poison_after)
        self.queries = Budget(self.most_queries, {})
        self.bytes = Budget(self.most_bytes, {})
        self.engines: list[EnginePlace] = []
        self.off: set[str] = set()
        self._weigh()

    def adopt(self, chart: CellMap, unix_ms: int) -> bool:
        """Takes a newer map; False, with nothing changed, for an older one or the same. What has been let in
        stays where it is."""
        if not self.moves.adopt(chart, unix_ms):
            return False
        self.chart = self.overflows.chart = chart
        self.adopted_unix_ms = unix_ms
        self.poison.after = chart.poison_after
        # A cell that is no more cannot overflow; what it lent comes back by itself.
        for name in self.overflows.standings.keys() - set(chart.names()):
            if not self.overflows.standings[name].lent:
                del self.overflows.standings[name]
        self._weigh()
        self.listed(self.engines, self.off)
        return True

    def listed(self, engines: list[EnginePlace], off: set[str]) -> Placement:
        """Places the engines of a list; those in `off` are drained or gone: they only tell its former size.

        A cell takes no engine that is off: its place goes to another, so that every role stays served.
        """
        self.engines, self.off = engines, off
        on = [one for one in engines if one.name not in off]
        self.placed = place(self.chart, on)
        whole = place(self.chart, engines).cells if off else self.placed.cells
        self.panicking = frozenset(
            name
            for name, there in self.placed.cells.items()
            if panics(self.chart, len(there), len(whole[name]))
        )
        return self.placed

    def overlap(self) -> float:
        """In how many cells an engine is on average, 1 where cells are apart. A cell's decisions must take
        the others' for so many more fronts, or engines in two cells would be filled twice."""
        count = Counter(engine for there in self.placed.cells.values() for engine in there)
        return max(1.0, count.total() / len(count)) if count else 1.0

    def let_in(self, now: int, unix_ms: int, asked: AdmissionRequest) -> CellAdmission | AdmissionRefusal:
        """Where a query is served, or why it is not. Let in, it is on a cell's account until ended()."""
        if self.poison.poisonous(now, asked.fingerprint):
            return AdmissionRefusal.POISONOUS
        way = self.moves.way(
            now, unix_ms, asked.tenant, asked.session, asked.ticket, asked.later_try, asked.binds
        )
        names = self.chart.names()
        if way.unsure or (way.cell not in names and asked.ticket is not None and asked.later_try):
            return AdmissionRefusal.UNSURE
        home = way.cell if way.cell in names else self.moves.home(unix_ms, asked.tenant, asked.session)
        for budget, amount in ((self.queries, 1), (self.bytes, asked.size)):
            verdict = budget.asks(home, amount)
            if verdict is not Verdict.IN:
                return (
                    AdmissionRefusal.CELL_FULL
                    if verdict is Verdict.CELL_FULL
                    else AdmissionRefusal.FRONT_FULL
                )
        cell = home
        # A later try of a ticketed query stays with those who know its ticket.
        bound = asked.ticket is not None and asked.later_try
        if (
            self.chart.reserve is not None
            and not bound
            and (home in self.panicking or self.overflows.lends(now, home, self.draw()))
        ):
            cell = self.chart.reserve
        self.queries.take(home)
        self.bytes.take(home, asked.size)
        self.moves.taken(now, asked.tenant, cell, asked.ticket, asked.binds)
        return CellAdmission(cell, home, asked)

    def ended(self, now: int, stay: CellAdmission, turned_away: bool | None) -> None:
        """A query let in is over; `turned_away` where its cell could not serve it, None where that is not
        known, as with one whose client left."""
        self.queries.give_back(stay.home)
        self.bytes.give_back(stay.home, stay.asked.size)
        self.moves.ended(stay.asked.tenant, stay.cell)
        if turned_away is not None:
            self.overflows.ended(now, stay.home, turned_away, stay.lent)
        elif stay.lent:
            self.overflows.standing(stay.home).lent -= 1
        if turned_away is False:
            self.poison.served(stay.asked.fingerprint)

    def engine_lost(self, now: int, stay: CellAdmission, engine: int) -> bool:
        """A connection broke with the query at the engine; True where it may be sent nowhere any more."""
        return self.poison.lost(now, stay.asked.fingerprint, engine)

    def _weigh(self) -> None:
        names = [name for name in self.chart.names() if name != self.chart.reserve]
        weights = {name: self.chart.cells[name].weight if name in self.chart.cells else 1.0 for name in names}
        self.queries.weights = self.bytes.weights = weights
