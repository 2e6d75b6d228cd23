"""One front's cells: where a query is let in, whether it is at all, and which engines each cell has now.

Free of I/O; times in tenths of a millisecond, moments in unix milliseconds. It puts together what the map
says (chart, placing, moving) and what this front has seen (ruling). It picks no engine: the module does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.cells.admission_policy import (
    Budget,
    BudgetDecision,
    OverflowPolicy,
    PoisonDetector,
    is_panicking,
)
from runspool.cells.cell_map import CellMap
from runspool.cells.engine_placement import EnginePlace, Placement, place_engines
from runspool.cells.tenant_migration import TenantMigrations


class AdmissionRefusal(Enum):
    """Why a query is not let in. Nothing has been done for it."""

    CELL_FULL = auto()
    FRONT_FULL = auto()
    POISONOUS = auto()  # it brought down each engine that it met
    EARLIER_CELL_UNKNOWN = auto()  # a later try whose first may have run in another cell


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What of a query bears on its cell. `ticket` only where its repeats a group smaller than all drops, and
    `binds` then says for how long: the tariff's window and the longest hard limit."""

    tenant: str | None
    session: str | None
    ticket: str | None
    is_retry: bool
    binding_time: int
    size_bytes: int  # bytes it holds at the front
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CellAdmission:
    """A query let in: the cell that serves it, to its end, and the cell on whose account it is."""

    cell: str
    home_cell: str
    request: AdmissionRequest

    @property
    def overflowed(self) -> bool:
        return self.cell != self.home_cell


@dataclass
class CellRouter:
    """`draw` is a bound method of the front's seeded random numbers."""

    cell_map: CellMap
    max_requests: int
    max_bytes: int
    draw_random: Callable[[], float]
    adopted_unix_ms: int = 0
    placement: Placement = field(default_factory=lambda: Placement({}))
    panicking_cells: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        self.migrations = TenantMigrations(self.cell_map, self.adopted_unix_ms)
        self.overflow_policy = OverflowPolicy(self.cell_map)
        self.poison_detector = PoisonDetector(self.cell_map.poison_after)
        self.request_budget = Budget(self.max_requests, {})
        self.byte_budget = Budget(self.max_bytes, {})
        self.engines: list[EnginePlace] = []
        self.unavailable: set[str] = set()
        self._weigh()

    def adopt(self, chart: CellMap, unix_ms: int) -> bool:
        """Takes a newer map; False, with nothing changed, for an older one or the same. What has been let in
        stays where it is."""
        if not self.migrations.adopt(chart, unix_ms):
            return False
        self.cell_map = self.overflow_policy.cell_map = chart
        self.adopted_unix_ms = unix_ms
        self.poison_detector.loss_threshold = chart.poison_after
        # A cell that is no more cannot overflow; what it lent comes back by itself.
        for name in self.overflow_policy.states.keys() - set(chart.names()):
            if not self.overflow_policy.states[name].requests_at_reserve:
                del self.overflow_policy.states[name]
        self._weigh()
        self.update_engines(self.engines, self.unavailable)
        return True

    def update_engines(self, engines: list[EnginePlace], off: set[str]) -> Placement:
        """Places the engines of a list; those in `off` are drained or gone: they only tell its former size.

        A cell takes no engine that is off: its place goes to another, so that every role stays served.
        """
        self.engines, self.unavailable = engines, off
        on = [one for one in engines if one.name not in off]
        self.placement = place_engines(self.cell_map, on)
        whole = place_engines(self.cell_map, engines).cells if off else self.placement.cells
        self.panicking_cells = frozenset(
            name
            for name, there in self.placement.cells.items()
            if is_panicking(self.cell_map, len(there), len(whole[name]))
        )
        return self.placement

    def cells_per_engine(self) -> float:
        """In how many cells an engine is on average, 1 where cells are apart. A cell's decisions must take
        the others' for so many more fronts, or engines in two cells would be filled twice."""
        count = Counter(engine for there in self.placement.cells.values() for engine in there)
        return max(1.0, count.total() / len(count)) if count else 1.0

    def admit(self, now: int, unix_ms: int, asked: AdmissionRequest) -> CellAdmission | AdmissionRefusal:
        """Where a query is served, or why it is not. Let in, it is on a cell's account until ended()."""
        if self.poison_detector.is_poisonous(now, asked.fingerprint):
            return AdmissionRefusal.POISONOUS
        way = self.migrations.choose_cell(
            now, unix_ms, asked.tenant, asked.session, asked.ticket, asked.is_retry, asked.binding_time
        )
        names = self.cell_map.names()
        if way.earlier_cell_unknown or (
            way.cell not in names and asked.ticket is not None and asked.is_retry
        ):
            return AdmissionRefusal.EARLIER_CELL_UNKNOWN
        home = (
            way.cell if way.cell in names else self.migrations.home_cell(unix_ms, asked.tenant, asked.session)
        )
        for budget, amount in ((self.request_budget, 1), (self.byte_budget, asked.size_bytes)):
            verdict = budget.check(home, amount)
            if verdict is not BudgetDecision.ADMITTED:
                return (
                    AdmissionRefusal.CELL_FULL
                    if verdict is BudgetDecision.CELL_FULL
                    else AdmissionRefusal.FRONT_FULL
                )
        cell = home
        # A later try of a ticketed query stays with those who know its ticket.
        bound = asked.ticket is not None and asked.is_retry
        if (
            self.cell_map.reserve is not None
            and not bound
            and (
                home in self.panicking_cells
                or self.overflow_policy.use_reserve(now, home, self.draw_random())
            )
        ):
            cell = self.cell_map.reserve
        self.request_budget.acquire(home)
        self.byte_budget.acquire(home, asked.size_bytes)
        self.migrations.record_admission(now, asked.tenant, cell, asked.ticket, asked.binding_time)
        return CellAdmission(cell, home, asked)

    def finish(self, now: int, stay: CellAdmission, turned_away: bool | None) -> None:
        """A query let in is over; `turned_away` where its cell could not serve it, None where that is not
        known, as with one whose client left."""
        self.request_budget.release(stay.home_cell)
        self.byte_budget.release(stay.home_cell, stay.request.size_bytes)
        self.migrations.record_finish(stay.request.tenant, stay.cell)
        if turned_away is not None:
            self.overflow_policy.record_outcome(now, stay.home_cell, turned_away, stay.overflowed)
        elif stay.overflowed:
            self.overflow_policy.state(stay.home_cell).requests_at_reserve -= 1
        if turned_away is False:
            self.poison_detector.record_success(stay.request.fingerprint)

    def record_engine_loss(self, now: int, stay: CellAdmission, engine: int) -> bool:
        """A connection broke with the query at the engine; True where it may be sent nowhere any more."""
        return self.poison_detector.record_loss(now, stay.request.fingerprint, engine)

    def _weigh(self) -> None:
        names = [name for name in self.cell_map.names() if name != self.cell_map.reserve]
        weights = {
            name: self.cell_map.cells[name].weight if name in self.cell_map.cells else 1.0 for name in names
        }
        self.request_budget.weights = self.byte_budget.weights = weights
