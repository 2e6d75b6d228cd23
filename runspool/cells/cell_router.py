"""Admit requests to cells at one front, and track which engines each cell has.

A map may designate one cell as the reserve. It has no tenants of its own, and serves requests of cells that
are overloaded or have lost too many engines.

The router combines the cell map (`cell_map`, `engine_placement`, `tenant_migration`) with the front's own
observations (`admission_policy`). It does not select engines; the scheduler of each cell does.

The module does no I/O. `now` is the front's clock in tenths of a millisecond; `unix_ms` is the wall clock in
milliseconds since the epoch.
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
from runspool.cells.engine_placement import EngineDescriptor, Placement, place_engines
from runspool.cells.tenant_migration import TenantMigrations


class AdmissionRefusal(Enum):
    """The reason why a request is not admitted. A refused request has not been sent to any engine."""

    CELL_FULL = auto()  # over its home cell's budget
    FRONT_FULL = auto()  # over the limit of the whole front
    # `CellMap.poison_after` or more engines went down while they executed the request.
    POISONOUS = auto()
    EARLIER_CELL_UNKNOWN = auto()  # a client retry whose earlier try may have executed in another cell


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request that its admission depends on.

    Attributes:
        tenant: the tenant's name, if known.
        session: the session's name, if known.
        idempotency_key: the key by which engines recognize a duplicate, if its deduplication scope is smaller
            than the whole fleet; otherwise None, because then any cell drops a duplicate.
        is_retry: whether the client has sent the request before.
        key_binding_time: how long the idempotency key binds retries to the cell, in tenths of a millisecond:
            the deduplication window plus the longest deadline.
        size_bytes: the memory that the front holds for the request until it ends.
        fingerprint: a hash of the tenant and the prompt, the same for every repetition of the request.
    """

    tenant: str | None
    session: str | None
    idempotency_key: str | None
    is_retry: bool
    key_binding_time: int
    size_bytes: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CellAdmission:
    """An admitted request.

    Attributes:
        cell: the cell that serves the request until it ends.
        home_cell: the cell in whose budget the request counts.
        request: the properties that the admission was based on.
    """

    cell: str
    home_cell: str
    request: AdmissionRequest

    @property
    def overflowed(self) -> bool:
        """Whether the reserve cell serves the request in place of its home cell."""
        return self.cell != self.home_cell


@dataclass
class CellRouter:
    """Admits a front's requests to cells.

    Attributes:
        cell_map: the map that the front has adopted.
        max_requests: the maximum number of requests in progress at the front.
        max_bytes: the maximum memory for requests in progress at the front.
        draw_random: returns a number from the front's seeded random generator, between 0 and 1.
        adopted_unix_ms: when the front adopted the map, in milliseconds since the epoch.
        placement: the engines of each cell, without the unavailable ones.
        panicking_cells: the cells that have lost so many engines that the reserve serves their requests.
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
        self.engines: list[EngineDescriptor] = []
        self.unavailable: set[str] = set()
        self._update_weights()

    def adopt(self, cell_map: CellMap, unix_ms: int) -> bool:
        """Adopt a map if its version is higher than the current one; return whether it was adopted.

        Requests that were admitted before stay in their cells.
        """
        if not self.migrations.adopt(cell_map, unix_ms):
            return False
        self.cell_map = self.overflow_policy.cell_map = cell_map
        self.adopted_unix_ms = unix_ms
        self.poison_detector.loss_threshold = cell_map.poison_after
        # A removed cell can no longer overflow, but requests of it that are still at the reserve must be
        # counted until they end.
        for name in self.overflow_policy.states.keys() - set(cell_map.cell_names()):
            if not self.overflow_policy.states[name].requests_at_reserve:
                del self.overflow_policy.states[name]
        self._update_weights()
        self.update_engines(self.engines, self.unavailable)
        return True

    def update_engines(self, engines: list[EngineDescriptor], unavailable: set[str]) -> Placement:
        """Assign the available engines to the cells, and return the placement.

        `engines` also lists those in `unavailable`, which are draining or have disappeared. A cell receives
        other engines in their place, so that every role stays served. A cell panics if it has too few
        engines in comparison with those that it would have if none were unavailable (see is_panicking()).
        """
        self.engines = engines
        self.unavailable = unavailable
        available = [engine for engine in engines if engine.name not in unavailable]
        self.placement = place_engines(self.cell_map, available)
        undisturbed = place_engines(self.cell_map, engines).cells if unavailable else self.placement.cells
        self.panicking_cells = frozenset(
            name
            for name, members in self.placement.cells.items()
            if is_panicking(self.cell_map, len(members), len(undisturbed[name]))
        )
        return self.placement

    def cells_per_engine(self) -> float:
        """Return the average number of cells that an engine belongs to; 1 if the cells are disjoint.

        The scheduler of each cell multiplies the number of fronts by it. Otherwise an engine that belongs to
        two cells would receive the load that is intended for one engine twice.
        """
        count = Counter(engine for members in self.placement.cells.values() for engine in members)
        return max(1.0, count.total() / len(count)) if count else 1.0

    def admit(self, now: int, unix_ms: int, request: AdmissionRequest) -> CellAdmission | AdmissionRefusal:
        """Admit a request to a cell, or return the reason why it is refused.

        An admitted request counts in its home cell's budget until `finish` is called.
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
        self.migrations.record_admission(
            now, request.tenant, cell, request.idempotency_key, request.key_binding_time
        )
        return CellAdmission(cell, home, request)

    def finish(self, now: int, admission: CellAdmission, rejected: bool | None) -> None:
        """Record that an admitted request has ended; must be called exactly once per admission.

        `rejected` is true if the cell could not serve the request, and None if that is unknown, for example
        because the client disconnected.
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
        """Record that an engine went down while it executed the request.

        Return true if the request now counts as poisonous and must not be sent to another engine.
        """
        return self.poison_detector.record_loss(now, admission.request.fingerprint, engine)

    def _home_cell(self, now: int, unix_ms: int, request: AdmissionRequest) -> str | None:
        """Return the cell in whose budget a request counts.

        Return None for a client retry whose earlier try may have executed in a cell that is not known.
        """
        choice = self.migrations.choose_cell(
            now,
            unix_ms,
            request.tenant,
            request.session,
            request.idempotency_key,
            request.is_retry,
            request.key_binding_time,
        )
        if choice.earlier_cell_unknown:
            return None
        if choice.cell in self.cell_map.cell_names():
            return choice.cell
        # The cell has been removed from the map. The earlier try of a retry may have executed there, and no
        # other cell would recognize the idempotency key.
        if request.idempotency_key is not None and request.is_retry:
            return None
        return self.migrations.home_cell(unix_ms, request.tenant, request.session)

    def _home_or_reserve(self, now: int, home: str, reserve: str, request: AdmissionRequest) -> str:
        """Return the cell that serves a request.

        Draw one random number, unless the request is a retry with an idempotency key or the cell panics.
        """
        # Only the cell that executed the earlier try can recognize the idempotency key of a retry. As far as
        # this front knows, that cell is `home`.
        if request.idempotency_key is not None and request.is_retry:
            return home
        if home in self.panicking_cells or self.overflow_policy.use_reserve(now, home, self.draw_random()):
            return reserve
        return home

    def _update_weights(self) -> None:
        cells = self.cell_map.cells
        names = [name for name in self.cell_map.cell_names() if name != self.cell_map.reserve]
        weights = {name: cells[name].weight if name in cells else 1.0 for name in names}
        self.request_budget.weights = self.byte_budget.weights = weights
