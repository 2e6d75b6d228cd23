"""Admission policies of a front for its cells: budgets, overflow, panic mode and poisonous requests.

The module does no I/O. Times are in tenths of a millisecond. Each front decides independently, based on its
own observations.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp2

from runspool.cells.cell_map import CellMap
from runspool.units import ms_to_tenths

OUTCOME_HALF_LIFE = 20_000  # half-life of a recorded request outcome, in tenths of a millisecond
# The rejected share of a cell counts as 0 while the decayed number of its outcomes is below this number. With
# the half-life above, it is reached at about 1.4 requests per second.
MIN_OUTCOMES = 4.0
GUARANTEED_SHARE = 0.6  # fraction of a front's limit that is guaranteed to cells; all cells share the rest
OVERFLOW_STEP = 0.1  # increase of a cell's overflow share after each settling time
MAX_FINGERPRINTS = 2_000  # request fingerprints remembered; the oldest are dropped
FINGERPRINT_TTL = 600_000  # lifetime of a request fingerprint, in tenths of a millisecond


class BudgetDecision(Enum):
    """The result of checking a request against a budget."""

    ADMITTED = auto()
    CELL_FULL = auto()  # over the cell's guarantee, and the rest is used by or guaranteed to other cells
    FRONT_FULL = auto()  # over the limit of the whole front


@dataclass(slots=True)
class Budget:
    """A front's limit on one resource (requests or bytes), divided among cells.

    Each cell is guaranteed a part in proportion to its weight. All cells share the part that is not
    guaranteed. An overloaded cell can use its guarantee and the shared part, but not another cell's
    guarantee.

    Attributes:
        limit: the amount that all cells together can use.
        weights: the weight of each cell.
        used: the amount that each cell uses; cells that use nothing are absent.
    """

    limit: int
    weights: dict[str, float]
    used: dict[str, int] = field(default_factory=dict)

    def guarantee(self, cell: str) -> int:
        """Return the amount that a cell can use regardless of the other cells."""
        total = sum(self.weights.values()) or 1.0
        return int(self.limit * GUARANTEED_SHARE * self.weights.get(cell, 0.0) / total)

    def check(self, cell: str, amount: int = 1) -> BudgetDecision:
        """Return whether a cell may use `amount` more; nothing is reserved."""
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
        """Count `amount` as used by a cell, without a check."""
        self.used[cell] = self.used.get(cell, 0) + amount

    def release(self, cell: str, amount: int = 1) -> None:
        """Release an amount that `acquire` has counted."""
        remaining = self.used.get(cell, 0) - amount
        if remaining > 0:
            self.used[cell] = remaining
        else:
            self.used.pop(cell, None)


@dataclass(slots=True)
class CellOverflowState:
    """The recent outcomes of one cell's requests and its overflow, as observed by this front.

    Attributes:
        rejected: the decayed number of requests that the cell could not serve.
        finished: the decayed number of all requests that ended in the cell.
        updated_at: the time up to which the two numbers are decayed; 0 before the first update.
        overflowing: whether the cell sends requests to the reserve.
        overflow_share: the fraction of the cell's new requests that go to the reserve.
        share_increased_at: the time of the last increase of `overflow_share`.
        requests_at_reserve: the number of the cell's requests in progress at the reserve.
    """

    rejected: float = 0.0
    finished: float = 0.0
    updated_at: int = 0
    overflowing: bool = False
    overflow_share: float = 0.0
    share_increased_at: int = 0
    requests_at_reserve: int = 0

    def decay(self, now: int) -> None:
        """Decay the numbers of outcomes up to `now`."""
        factor = exp2((self.updated_at - now) / OUTCOME_HALF_LIFE) if self.updated_at else 1.0
        self.rejected *= factor
        self.finished *= factor
        self.updated_at = now

    @property
    def rejected_share(self) -> float:
        """The fraction of recent requests that the cell rejected; 0 below `MIN_OUTCOMES` requests."""
        return self.rejected / self.finished if self.finished >= MIN_OUTCOMES else 0.0


@dataclass(slots=True)
class OverflowPolicy:
    """Decides which requests of a cell go to the reserve.

    A cell starts to overflow when its rejected share exceeds one threshold, and stops when the share falls
    below a lower threshold (hysteresis). The overflow share grows in steps and is halved each time the
    reserve rejects a request, so that one overloaded cell does not overload the reserve. The number of
    requests at the reserve is limited per cell.
    """

    cell_map: CellMap
    states: dict[str, CellOverflowState] = field(default_factory=dict)

    def state(self, cell: str) -> CellOverflowState:
        """Return the state of a cell; create it if there is none."""
        return self.states.setdefault(cell, CellOverflowState())

    def record_outcome(self, now: int, cell: str, rejected: bool, overflowed: bool) -> None:
        """Record the end of a request of a cell; `overflowed` is true if the reserve served it."""
        state = self.state(cell)
        if overflowed:
            state.requests_at_reserve = max(0, state.requests_at_reserve - 1)
            if rejected:
                state.overflow_share /= 2
            return
        state.decay(now)
        state.finished += 1
        state.rejected += rejected
        self._update_share(now, state)

    def use_reserve(self, now: int, cell: str, random_draw: float) -> bool:
        """Return whether a new request of a cell goes to the reserve, and count it there if so.

        `random_draw` is a random number between 0 and 1.
        """
        rules = self.cell_map.overflow
        if self.cell_map.reserve is None or cell == self.cell_map.reserve:
            return False
        state = self.state(cell)
        state.decay(now)
        self._update_share(now, state)
        if random_draw >= state.overflow_share or state.requests_at_reserve >= rules.most_queries:
            return False
        state.requests_at_reserve += 1
        return True

    def _update_share(self, now: int, state: CellOverflowState) -> None:
        """Start or end the overflow of a cell, and increase its overflow share after each settling time."""
        rules = self.cell_map.overflow
        settle_time = ms_to_tenths(rules.settle_ms)
        if not state.overflowing and state.rejected_share > rules.from_turned_away:
            state.overflowing = True
            state.share_increased_at = now - settle_time
        elif state.overflowing and state.rejected_share < rules.until_turned_away:
            state.overflowing = False
            state.overflow_share = 0.0
        if state.overflowing and now - state.share_increased_at >= settle_time:
            state.overflow_share = min(rules.most_share, state.overflow_share + OVERFLOW_STEP)
            state.share_increased_at = now


def is_panicking(cell_map: CellMap, available: int, configured: int) -> bool:
    """Return whether a cell has too few available engines to serve its requests.

    This is the case if fewer than the map's fraction `panic_under` of its configured engines are available.
    The reserve then serves all requests of the cell.
    """
    return configured > 0 and available < cell_map.panic_under * configured


@dataclass(slots=True)
class PoisonDetector:
    """Finds poisonous requests, which bring down every engine that executes them.

    A request is identified by a fingerprint of its tenant and prompt. The loss of one engine is attributed to
    the engine. If `loss_threshold` different engines were lost while they executed the same request, the loss
    is attributed to the request. It is then not sent to any engine again, neither in this try nor in a later
    one.

    Attributes:
        loss_threshold: the number of lost engines from which on a request counts as poisonous.
        losses: for each fingerprint, the time of the last loss and the lost engines; the fingerprint that
            was updated least recently comes first.
    """

    loss_threshold: int
    losses: OrderedDict[str, tuple[int, frozenset[int]]] = field(default_factory=OrderedDict)

    def record_loss(self, now: int, fingerprint: str, engine: int) -> bool:
        """Record an engine lost while it executed a request; return whether the request is now poisonous."""
        engines = self._lost_engines(now, fingerprint) | {engine}
        self.losses[fingerprint] = (now, engines)
        self.losses.move_to_end(fingerprint)
        while len(self.losses) > MAX_FINGERPRINTS:
            self.losses.popitem(last=False)
        return len(engines) >= self.loss_threshold

    def record_success(self, fingerprint: str) -> None:
        """Remove the losses of a request that was served: it did not cause them."""
        self.losses.pop(fingerprint, None)

    def is_poisonous(self, now: int, fingerprint: str) -> bool:
        """Return whether a request is poisonous and must not be sent to any engine."""
        return len(self._lost_engines(now, fingerprint)) >= self.loss_threshold

    def _lost_engines(self, now: int, fingerprint: str) -> frozenset[int]:
        last_loss_at, engines = self.losses.get(fingerprint, (now, frozenset()))
        return engines if now - last_loss_at < FINGERPRINT_TTL else frozenset()
