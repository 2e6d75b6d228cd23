"""What a front rules about its cells: who is let in, what overflows, which cell panics, who is poisonous.

Free of I/O; times are tenths of a millisecond. Each front rules alone by what it has seen itself.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp2

from runspool.cells.cell_map import CellMap
from runspool.units import tenths

HALF_LIFE = 20_000  # of what a cell's outcomes tell
EVIDENCE = 4.0  # faded outcomes before they are taken for a cell's state: under 1.4 a second tell nothing
GUARANTEE = 0.6  # of a front's bounds that is shared out to cells; the rest goes to whoever comes
STEP_UP = 0.1  # by which the part that overflows grows at each settling time
POISON_KEPT = 2_000  # fingerprints of queries remembered
POISON_TIME = 600_000  # after which a fingerprint is forgotten


class Verdict(Enum):
    IN = auto()
    CELL_FULL = auto()  # over the cell's budget while others' guarantees need the rest
    FRONT_FULL = auto()


@dataclass(slots=True)
class Budget:
    """What a front bears of one kind (queries, bytes), shared out to cells.

    Each cell is guaranteed a part by weight; what nobody's guarantee needs is open to all. A cell that floods
    takes its guarantee and the open part, never another's guarantee.
    """

    most: int
    weights: dict[str, float]
    held: dict[str, int] = field(default_factory=dict)

    def guarantee(self, cell: str) -> int:
        total = sum(self.weights.values()) or 1.0
        return int(self.most * GUARANTEE * self.weights.get(cell, 0.0) / total)

    def asks(self, cell: str, amount: int = 1) -> Verdict:
        """Whether `amount` more would be let in for a cell; nothing is taken by asking."""
        held = self.held.get(cell, 0)
        if sum(self.held.values()) + amount > self.most:
            return Verdict.FRONT_FULL
        if held + amount <= self.guarantee(cell):
            return Verdict.IN
        kept = sum(max(self.guarantee(name), self.held.get(name, 0)) for name in self.weights if name != cell)
        return Verdict.IN if kept + held + amount <= self.most else Verdict.CELL_FULL

    def take(self, cell: str, amount: int = 1) -> None:
        self.held[cell] = self.held.get(cell, 0) + amount

    def give_back(self, cell: str, amount: int = 1) -> None:
        left = self.held.get(cell, 0) - amount
        if left > 0:
            self.held[cell] = left
        else:
            self.held.pop(cell, None)


@dataclass(slots=True)
class Standing:
    """One cell as this front sees it."""

    turned_away: float = 0.0  # faded count of queries that the cell could not serve
    ended: float = 0.0  # faded count of all
    heard: int = 0
    overflowing: bool = False
    part: float = 0.0  # of its new queries that go to the reserve
    stepped: int = 0
    lent: int = 0  # its queries out at the reserve

    def fade(self, now: int) -> None:
        part = exp2((self.heard - now) / HALF_LIFE) if self.heard else 1.0
        self.turned_away *= part
        self.ended *= part
        self.heard = now

    @property
    def share(self) -> float:
        return self.turned_away / self.ended if self.ended >= EVIDENCE else 0.0


@dataclass(slots=True)
class Overflows:
    """When a cell's queries go to the reserve, and how many.

    A cell begins to overflow when the share of its queries that it turned away is over one line and ends
    when it is under a lower one (hysteresis). The part that overflows grows by steps and is halved when the
    reserve turns away too, so that one cell's trouble takes what the reserve can spare and no more. Queries
    at the reserve are capped for each cell.
    """

    chart: CellMap
    standings: dict[str, Standing] = field(default_factory=dict)

    def standing(self, cell: str) -> Standing:
        return self.standings.setdefault(cell, Standing())

    def ended(self, now: int, cell: str, turned_away: bool, lent: bool) -> None:
        """A query of a cell has ended; `lent` where it was at the reserve."""
        one = self.standing(cell)
        if lent:
            one.lent = max(0, one.lent - 1)
            if turned_away:
                one.part /= 2
            return
        one.fade(now)
        one.ended += 1
        one.turned_away += turned_away
        self._step(now, one)

    def lends(self, now: int, cell: str, luck: float) -> bool:
        """Whether a new query of a cell goes to the reserve; `luck` is one draw from 0 to 1."""
        rules = self.chart.overflow
        if self.chart.reserve is None or cell == self.chart.reserve:
            return False
        one = self.standing(cell)
        one.fade(now)
        self._step(now, one)
        if luck >= one.part or one.lent >= rules.most_queries:
            return False
        one.lent += 1
        return True

    def _step(self, now: int, one: Standing) -> None:
        rules = self.chart.overflow
        if not one.overflowing and one.share > rules.from_turned_away:
            one.overflowing = True
            one.stepped = now - tenths(rules.settle_ms)
        elif one.overflowing and one.share < rules.until_turned_away:
            one.overflowing, one.part = False, 0.0
        if one.overflowing and now - one.stepped >= tenths(rules.settle_ms):
            one.part = min(rules.most_share, one.part + STEP_UP)
            one.stepped = now


def panics(chart: CellMap, on: int, placed: int) -> bool:
    """Whether so much of a cell is gone that what is left cannot be taken for a cell: fewer engines on than
    the panic share of those that the map gives it. Its queries then go to the reserve as to their home."""
    return placed > 0 and on < chart.panic_under * placed


@dataclass(slots=True)
class Poison:
    """Queries that bring down each engine they meet, known by a fingerprint of who asks what.

    A loss at one engine is the engine's; losses at `after` different ones by the same query are the query's.
    Such a query is sent nowhere any more, this time or the next.
    """

    after: int
    losses: OrderedDict[str, tuple[int, frozenset[int]]] = field(default_factory=OrderedDict)

    def lost(self, now: int, fingerprint: str, engine: int) -> bool:
        """An engine was lost with this query out; True where the query now counts as poisonous."""
        engines = self._engines(now, fingerprint) | {engine}
        self.losses[fingerprint] = (now, engines)
        self.losses.move_to_end(fingerprint)
        while len(self.losses) > POISON_KEPT:
            self.losses.popitem(last=False)
        return len(engines) >= self.after

    def served(self, fingerprint: str) -> None:
        """It was answered: what was lost before was not its doing."""
        self.losses.pop(fingerprint, None)

    def poisonous(self, now: int, fingerprint: str) -> bool:
        return len(self._engines(now, fingerprint)) >= self.after

    def _engines(self, now: int, fingerprint: str) -> frozenset[int]:
        since, engines = self.losses.get(fingerprint, (now, frozenset()))
        return engines if now - since < POISON_TIME else frozenset()
