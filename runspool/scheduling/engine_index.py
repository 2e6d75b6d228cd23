"""The engines that are on, by role, and those that one request's decisions look at.

A pick that looks at every engine costs time by the size of the fleet, while a front's traffic does not grow
with it. Up to `WIDE` engines of a role all are looked at. Beyond that a request sees a part: a run of engines
from an order of this front's own, another run for each look, beside those that its texts or its state give a
reason to look at. Free of I/O and of draws: what a front of a small fleet picks stays as it was.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

from runspool.scheduling.types import Role

WIDE = 96  # engines of a role that one request looks at
MARKS = 0xFFFFFFFF  # the largest mark
SPREAD = 2_654_435_761  # 2^32 by the golden ratio, a prime: spreads numbers that lie close over all marks


class Member(Protocol):
    """What is asked of an engine here."""

    @property
    def mark(self) -> int: ...
    @property
    def role(self) -> Role: ...
    @property
    def rack(self) -> int: ...
    @property
    def memory(self) -> int: ...
    @property
    def on(self) -> bool: ...


M = TypeVar("M", bound=Member)


class EngineIndex(Generic[M]):
    """Made anew from the list of engines when that has changed."""

    def __init__(self, engines: Iterable[M], salt: int) -> None:
        """`salt` is this front's own: it orders the runs that its requests see."""
        self.salt = salt & MARKS
        self.on: dict[Role, list[M]] = {role: [] for role in Role}
        for engine in engines:
            if engine.on:
                self.on[engine.role].append(engine)
        self.largest = max((e.memory for role in Role for e in self.on[role]), default=0)
        self.writers_memory = sum(e.memory or 1 for e in self.writers())
        self._orders: dict[Role, list[M]] = {}
        self._rings: dict[Role, tuple[list[int], list[M]]] = {}
        self._racks: dict[Role, dict[int, list[M]]] = {}

    def writers(self) -> list[M]:
        """All that answer."""
        return self.on[Role.MIXED] + self.on[Role.DECODE]

    def peers(self, role: Role) -> int:
        """How many there are that do the work of a role: readers, or all that answer."""
        readers = len(self.on[Role.PREFILL])
        return readers if role is Role.PREFILL else len(self.on[Role.MIXED]) + len(self.on[Role.DECODE])

    def wide(self, role: Role) -> bool:
        """Whether there are more of a role than one request looks at."""
        return len(self.on[role]) > WIDE

    def run(self, role: Role, turn: int) -> list[M]:
        """Engines of a role for one look: all, or a run of this front's order, another for each turn."""
        engines = self.on[role]
        if len(engines) <= WIDE:
            return list(engines)
        if role not in self._orders:
            self._orders[role] = sorted(engines, key=lambda e: (e.mark ^ self.salt) * SPREAD & MARKS)
        start = (turn * SPREAD & MARKS) * len(engines) >> 32
        return _cyclic(self._orders[role], start, WIDE)

    def ring(self, role: Role, mark: int, span: int, within: int) -> list[M]:
        """Engines of a role that every front finds alike for a text: the `span` of them that follow its mark;
        of these, if there are more than one request looks at, the ones that `within` points to."""
        engines = self.on[role]
        if role not in self._rings:
            order = sorted(engines, key=attrgetter("mark"))
            self._rings[role] = [e.mark for e in order], order
        marks, order = self._rings[role]
        start = bisect_left(marks, mark * SPREAD & MARKS)
        span = min(span, len(order))
        offset = (within * SPREAD & MARKS) * max(1, span - WIDE + 1) >> 32
        return _cyclic(order, start + offset, min(span, WIDE))

    def in_rack(self, role: Role, rack: int) -> list[M]:
        """Engines of a role in a rack, no more than one request looks at."""
        if role not in self._racks:
            racks = self._racks[role] = defaultdict(list)
            for engine in self.on[role]:
                racks[engine.rack].append(engine)
        return self._racks[role].get(rack, [])[:WIDE]


def _cyclic(order: list[M], start: int, count: int) -> list[M]:
    """`count` of them from a place on, beginning anew at the end."""
    start %= max(1, len(order))
    found = order[start : start + count]
    return found + order[: count - len(found)]
