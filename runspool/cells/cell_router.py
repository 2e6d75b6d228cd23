"""A front's cells: which cell serves a request, whether it is admitted, and each cell's present engines.

Free of I/O; times in tenths of a millisecond, moments in Unix milliseconds. It puts together what the map
says (cell_map, engine_placement, tenant_migration) and what this front has seen (admission_policy). It picks
no engine: the scheduler does.
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
    """Why a request is not admitted. Nothing has been done for it."""

    CELL_FULL = auto()
    FRONT_FULL = auto()
    POISONOUS = auto()  # it brought down each engine that it met
    EARLIER_CELL_UNKNOWN = auto()  # a retry whose first attempt may have executed in another cell


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What of a request matters for its cell.

    `ticket` is given only where its repeats are dropped by a group smaller than all; `binding_time` then says
    for how long: the deduplication window and the longest deadline together.
    """

    tenant: str | None
    session: str | None
    ticket: str | None
    is_retry: bool
    binding_time: int
    size_bytes: int  # held at the front until it ends
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CellAdmission:
    """An admitted request: the cell that serves it, to its end, and the cell in whose budget it counts."""

    cell: str
    home_cell: str
    request: AdmissionRequest

    @property
    def overflowed(self) -> bool:
        """Whether it is served at the reserve for its home cell."""
        return self.cell != self.home_cell


@dataclass
class CellRouter:
    """A front's admission to cells under its map.

    `draw_random` is a bound method of the front's seeded random numbers, from 0 to 1.
    """

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
        self._update_weights()

    def adopt(self, cell_map: CellMap, unix_ms: int) -> bool:
        """Takes a newer map; False, with nothing changed, for an older one or the same.

        Admitted requests stay where they are.
        """
        if not self.migrations.adopt(cell_map, unix_ms):
            return False
        self.cell_map = self.overflow_policy.cell_map = cell_map
        self.adopted_unix_ms = unix_ms
        self.poison_detector.loss_threshold = cell_map.poison_after
        # A removed cell cannot overflow; its state is kept while it has requests at the reserve.
        for name in self.overflow_policy.states.keys() - set(cell_map.names()):
            if not self.overflow_policy.states[name].requests_at_reserve:
                del self.overflow_policy.states[name]
        self._update_weights()
        self.update_engines(self.engines, self.unavailable)
        return True

    def update_engines(self, engines: list[EnginePlace], unavailable: set[str]) -> Placement:
        """Places the engines of a list in the cells.

        Those in `unavailable` are drained or gone: they only tell the former size of a cell. A cell takes no
        unavailable engine: its place goes to another, so that every role stays served.
        """
        self.engines = engines
        self.unavailable = unavailable
        available = [engine for engine in engines if engine.name not in unavailable]
        self.placement = place_engines(self.cell_map, available)
        configured = place_engines(self.cell_map, engines).cells if unavailable else self.placement.cells
        self.panicking_cells = frozenset(
            name
            for name, members in self.placement.cells.items()
            if is_panicking(self.cell_map, len(members), len(configured[name]))
        )
        return self.placement

    def cells_per_engine(self) -> float:
        """In how many cells an engine is on average, 1 where cells are disjoint.

        Each cell's scheduler must count the others as so many more fronts, or engines in two cells would be
        filled twice.
        """
        count = Counter(engine for members in self.placement.cells.values() for engine in members)
        return max(1.0, count.total() / len(count)) if count else 1.0

    def admit(self, now: int, unix_ms: int, request: AdmissionRequest) -> CellAdmission | AdmissionRefusal:
        """The cell that serves a request, or why none does.

        An admitted request counts in its home cell's budget until finish().
        """
        if self.poison_detector.is_poisonous(now, request.fingerprint):
            return AdmissionRefusal.POISONOUS
        home = self._home_cell(now, unix_ms, request)
        if home is None:
            return AdmissionRefusal.EARLIER_CELL_UNKNOWN
        decision = self.request_budget.check(home)
        if decision is BudgetDecision.ADMITTED:
            decision = self.byte_budget.check(home, request.size_bytes)
        if decision is not BudgetDecision.ADMITTED:
            cell_full = decision is BudgetDecision.CELL_FULL
            return AdmissionRefusal.CELL_FULL if cell_full else AdmissionRefusal.FRONT_FULL
        reserve = self.cell_map.reserve
        cell = home if reserve is None else self._home_or_reserve(now, home, reserve, request)
        self.request_budget.acquire(home)
        self.byte_budget.acquire(home, request.size_bytes)
        self.migrations.record_admission(now, request.tenant, cell, request.ticket, request.binding_time)
        return CellAdmission(cell, home, request)

    def finish(self, now: int, admission: CellAdmission, rejected: bool | None) -> None:
        """Ends an admission; to be called once for each.

        `rejected` tells whether its cell could not serve it; None where that is not known, as with one whose
        client disconnected.
        """
        home = admission.home_cell
        self.request_budget.release(home)
        self.byte_budget.release(home, admission.request.size_bytes)
        self.migrations.record_finish(admission.request.tenant, admission.cell)
        if rejected is not None:
            self.overflow_policy.record_outcome(now, home, rejected, admission.overflowed)
        elif admission.overflowed:
            self.overflow_policy.state(home).requests_at_reserve -= 1
        if rejected is False:
            self.poison_detector.record_success(admission.request.fingerprint)

    def record_engine_loss(self, now: int, admission: CellAdmission, engine: int) -> bool:
        """Records that an engine went down with the request; True where it may be sent nowhere any more."""
        return self.poison_detector.record_loss(now, admission.request.fingerprint, engine)

    def _home_cell(self, now: int, unix_ms: int, request: AdmissionRequest) -> str | None:
        """The cell in whose budget a request counts; None where an earlier try may be in a cell not known."""
        choice = self.migrations.choose_cell(
            now,
            unix_ms,
            request.tenant,
            request.session,
            request.ticket,
            request.is_retry,
            request.binding_time,
        )
        if choice.earlier_cell_unknown:
            return None
        if choice.cell in self.cell_map.names():
            return choice.cell
        # Its cell is no longer in the map: a retry of a ticketed request may have executed there.
        if request.ticket is not None and request.is_retry:
            return None
        return self.migrations.home_cell(unix_ms, request.tenant, request.session)

    def _home_or_reserve(self, now: int, home: str, reserve: str, request: AdmissionRequest) -> str:
        """The cell that serves a request; makes one random draw unless the answer does not depend on it."""
        # A retry of a ticketed request stays with the engines that know its ticket.
        if request.ticket is not None and request.is_retry:
            return home
        if home in self.panicking_cells or self.overflow_policy.use_reserve(now, home, self.draw_random()):
            return reserve
        return home

    def _update_weights(self) -> None:
        cells = self.cell_map.cells
        names = [name for name in self.cell_map.names() if name != self.cell_map.reserve]
        weights = {name: cells[name].weight if name in cells else 1.0 for name in names}
        self.request_budget.weights = self.byte_budget.weights = weights
