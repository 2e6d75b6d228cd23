"""A front's admission decisions for its cells: budgets, overflow, panic and poisonous requests.

Free of I/O. Times are in tenths of a millisecond. Each front decides alone, by what it has seen itself.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp2

from runspool.cells.cell_map import CellMap
from runspool.units import tenths

OUTCOME_HALF_LIFE = 20_000  # tenths of a millisecond after which an outcome counts half
MIN_OUTCOMES = 4.0  # decayed outcomes needed to judge a cell: under 1.4 a second nothing is concluded
GUARANTEED_SHARE = 0.6  # of a front's limits that is guaranteed to cells; the rest is open to all
OVERFLOW_STEP = 0.1  # by which the overflow share grows at each settling time
MAX_FINGERPRINTS = 2_000  # fingerprints of requests remembered
FINGERPRINT_TTL = 600_000  # tenths of a millisecond after which a fingerprint is forgotten


class BudgetDecision(Enum):
    """Whether a budget has room for a cell's request."""

    ADMITTED = auto()
    CELL_FULL = auto()  # over the cell's budget while others' guarantees need the rest
    FRONT_FULL = auto()


@dataclass(slots=True)
class Budget:
    """A front's limit on one resource (requests or bytes), shared out to cells.

    Each cell is guaranteed a part by weight; what no guarantee needs is open to all. An overloaded cell gets
    its guarantee and the open part, never another cell's guarantee.
    """

    limit: int
    weights: dict[str, float]
    used: dict[str, int] = field(default_factory=dict)

    def guarantee(self, cell: str) -> int:
        """The amount that a cell can use whatever the other cells do."""
        total = sum(self.weights.values()) or 1.0
        return int(self.limit * GUARANTEED_SHARE * self.weights.get(cell, 0.0) / total)

    def check(self, cell: str, amount: int = 1) -> BudgetDecision:
        """Whether `amount` more would be admitted for a cell; nothing is reserved."""
        used = self.used.get(cell, 0)
        if sum(self.used.values()) + amount > self.limit:
            return BudgetDecision.FRONT_FULL
        if used + amount <= self.guarantee(cell):
            return BudgetDecision.ADMITTED
        needed_by_others = sum(
            max(self.guarantee(name), self.used.get(name, 0)) for name in self.weights if name != cell
        )
        if needed_by_others + used + amount <= self.limit:
            return BudgetDecision.ADMITTED
        return BudgetDecision.CELL_FULL

    def acquire(self, cell: str, amount: int = 1) -> None:
        """Counts `amount` as used by a cell, unchecked."""
        self.used[cell] = self.used.get(cell, 0) + amount

    def release(self, cell: str, amount: int = 1) -> None:
        """Gives back what acquire() counted; a cell that uses nothing is dropped."""
        remaining = self.used.get(cell, 0) - amount
        if remaining > 0:
            self.used[cell] = remaining
        else:
            self.used.pop(cell, None)


@dataclass(slots=True)
class CellOverflowState:
    """One cell's recent outcomes and its overflow, as this front sees them."""

    rejected: float = 0.0  # decayed count of requests that the cell could not serve
    finished: float = 0.0  # decayed count of all its requests
    updated_at: int = 0  # when the counts were decayed last
    overflowing: bool = False
    overflow_share: float = 0.0  # of its new requests that go to the reserve
    last_step_at: int = 0
    requests_at_reserve: int = 0

    def decay(self, now: int) -> None:
        """Decays the counts up to `now`."""
        factor = exp2((self.updated_at - now) / OUTCOME_HALF_LIFE) if self.updated_at else 1.0
        self.rejected *= factor
        self.finished *= factor
        self.updated_at = now

    @property
    def rejected_share(self) -> float:
        """The share of recent requests that the cell rejected; 0 while there are too few to judge."""
        return self.rejected / self.finished if self.finished >= MIN_OUTCOMES else 0.0


@dataclass(slots=True)
class OverflowPolicy:
    """Decides when a cell's requests go to the reserve, and how many.

    A cell begins to overflow when its rejected share is over one threshold and ends when it is under a lower
    one (hysteresis). The overflow share grows by steps and is halved when the reserve rejects too, so that
    one cell's trouble takes what the reserve can spare and no more. Requests at the reserve are capped for
    each cell.
    """

    cell_map: CellMap
    states: dict[str, CellOverflowState] = field(default_factory=dict)

    def state(self, cell: str) -> CellOverflowState:
        """The state of a cell, a new one where it has none yet."""
        return self.states.setdefault(cell, CellOverflowState())

    def record_outcome(self, now: int, cell: str, rejected: bool, overflowed: bool) -> None:
        """Counts a finished request of a cell; `overflowed` where it was at the reserve."""
        state = self.state(cell)
        if overflowed:
            state.requests_at_reserve = max(0, state.requests_at_reserve - 1)
            if rejected:
                state.overflow_share /= 2
            return
        state.decay(now)
        state.finished += 1
        state.rejected += rejected
        self._step(now, state)

    def use_reserve(self, now: int, cell: str, random_draw: float) -> bool:
        """Whether a new request of a cell goes to the reserve; if so it is counted there.

        `random_draw` is one draw from 0 to 1.
        """
        rules = self.cell_map.overflow
        if self.cell_map.reserve is None or cell == self.cell_map.reserve:
            return False
        state = self.state(cell)
        state.decay(now)
        self._step(now, state)
        if random_draw >= state.overflow_share or state.requests_at_reserve >= rules.most_queries:
            return False
        state.requests_at_reserve += 1
        return True

    def _step(self, now: int, state: CellOverflowState) -> None:
        rules = self.cell_map.overflow
        settle_time = tenths(rules.settle_ms)
        if not state.overflowing and state.rejected_share > rules.from_turned_away:
            state.overflowing = True
            state.last_step_at = now - settle_time
        elif state.overflowing and state.rejected_share < rules.until_turned_away:
            state.overflowing = False
            state.overflow_share = 0.0
        if state.overflowing and now - state.last_step_at >= settle_time:
            state.overflow_share = min(rules.most_share, state.overflow_share + OVERFLOW_STEP)
            state.last_step_at = now


def is_panicking(cell_map: CellMap, available: int, configured: int) -> bool:
    """Whether a cell has lost so many engines that the rest cannot serve as a cell.

    That is when fewer engines are available than the map's panic share of those configured. Its requests
    then go to the reserve as if that were their home.
    """
    return configured > 0 and available < cell_map.panic_under * configured


@dataclass(slots=True)
class PoisonDetector:
    """Finds requests that bring down each engine they meet, by a fingerprint of tenant and prompt.

    A loss at one engine is the engine's fault; losses of the same request at `loss_threshold` different
    engines are the request's. Such a request is sent nowhere any more, this time or the next.
    """

    loss_threshold: int
    # By fingerprint, the longest unchanged first: when an engine was lost last, and which ones were
    losses: OrderedDict[str, tuple[int, frozenset[int]]] = field(default_factory=OrderedDict)

    def record_loss(self, now: int, fingerprint: str, engine: int) -> bool:
        """Counts an engine lost while it had this request; True where the request now counts as poisonous."""
        engines = self._lost_engines(now, fingerprint) | {engine}
        self.losses[fingerprint] = (now, engines)
        self.losses.move_to_end(fingerprint)
        while len(self.losses) > MAX_FINGERPRINTS:
            self.losses.popitem(last=False)
        return len(engines) >= self.loss_threshold

    def record_success(self, fingerprint: str) -> None:
        """Forgets the losses of a request that was answered: it did not cause them."""
        self.losses.pop(fingerprint, None)

    def is_poisonous(self, now: int, fingerprint: str) -> bool:
        """Whether a request has lost enough engines to be sent nowhere any more."""
        return len(self._lost_engines(now, fingerprint)) >= self.loss_threshold

    def _lost_engines(self, now: int, fingerprint: str) -> frozenset[int]:
        last_loss_at, engines = self.losses.get(fingerprint, (now, frozenset()))
        return engines if now - last_loss_at < FINGERPRINT_TTL else frozenset()
