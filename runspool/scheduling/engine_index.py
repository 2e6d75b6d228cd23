"""The ready engines by role, and those that one request's decisions look at.

A selection that looks at every engine costs time by the size of the fleet, while a front's traffic does not
grow with it. Up to `SAMPLE_SIZE` engines of a role all are looked at. Beyond that a request sees a sample: a
run of engines from an order of this front's own, another run for each look, beside those that its texts or
its state give a reason to look at. Free of I/O and of random draws.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

from runspool.scheduling.types import Role

SAMPLE_SIZE = 96  # engines of a role that one request looks at
HASH_MASK = 0xFFFFFFFF  # the largest stable hash
HASH_MULTIPLIER = 2_654_435_761  # 2^32 by the golden ratio, a prime: spreads close numbers over all hashes


class IndexedEngine(Protocol):
    """What the index reads of an engine."""

    @property
    def stable_hash(self) -> int:
        """The same at every front, from 0 to `HASH_MASK`."""
        ...

    @property
    def role(self) -> Role:
        """What the engine does."""
        ...

    @property
    def rack(self) -> int:
        """The rack it is in."""
        ...

    @property
    def memory_tokens(self) -> int:
        """Tokens that its memory holds; 0 where it is not known."""
        ...

    @property
    def ready(self) -> bool:
        """Whether it takes requests."""
        ...


EngineT = TypeVar("EngineT", bound=IndexedEngine)


class EngineIndex(Generic[EngineT]):
    """The ready engines by role; built anew when the list of engines has changed."""

    def __init__(self, engines: Iterable[EngineT], seed: int) -> None:
        """`seed` is this front's own: it orders the samples that its requests see."""
        self.seed = seed & HASH_MASK
        self.ready: dict[Role, list[EngineT]] = {role: [] for role in Role}
        for engine in engines:
            if engine.ready:
                self.ready[engine.role].append(engine)
        self.largest_memory = max((e.memory_tokens for role in Role for e in self.ready[role]), default=0)
        self.decode_memory_tokens = sum(e.memory_tokens or 1 for e in self.decode_capable())
        self._sample_orders: dict[Role, list[EngineT]] = {}
        self._rings: dict[Role, tuple[list[int], list[EngineT]]] = {}
        self._racks: dict[Role, dict[int, list[EngineT]]] = {}

    def decode_capable(self) -> list[EngineT]:
        """All engines that answer: the mixed ones, then the decode engines."""
        return self.ready[Role.MIXED] + self.ready[Role.DECODE]

    def peer_count(self, role: Role) -> int:
        """How many engines do the work of a role: prefill engines, or all that answer."""
        if role is Role.PREFILL:
            return len(self.ready[Role.PREFILL])
        return len(self.ready[Role.MIXED]) + len(self.ready[Role.DECODE])

    def is_large(self, role: Role) -> bool:
        """Whether there are more engines of a role than one request looks at."""
        return len(self.ready[role]) > SAMPLE_SIZE

    def sample(self, role: Role, turn: int) -> list[EngineT]:
        """Engines of a role for one look: all, or a run of this front's order, another for each turn."""
        engines = self.ready[role]
        if len(engines) <= SAMPLE_SIZE:
            return list(engines)
        if role not in self._sample_orders:
            self._sample_orders[role] = sorted(
                engines, key=lambda e: (e.stable_hash ^ self.seed) * HASH_MULTIPLIER & HASH_MASK
            )
        start = (turn * HASH_MULTIPLIER & HASH_MASK) * len(engines) >> 32
        return _cyclic_slice(self._sample_orders[role], start, SAMPLE_SIZE)

    def ring(self, role: Role, text_hash: int, span: int, within: int) -> list[EngineT]:
        """Engines of a role that every front finds alike for a text: the `span` that follow its hash.

        Where these are more than one request looks at, the ones of them that the hash `within` points to.
        """
        engines = self.ready[role]
        if role not in self._rings:
            order = sorted(engines, key=attrgetter("stable_hash"))
            self._rings[role] = [e.stable_hash for e in order], order
        hashes, order = self._rings[role]
        start = bisect_left(hashes, text_hash * HASH_MULTIPLIER & HASH_MASK)
        span = min(span, len(order))
        offset = (within * HASH_MULTIPLIER & HASH_MASK) * max(1, span - SAMPLE_SIZE + 1) >> 32
        return _cyclic_slice(order, start + offset, min(span, SAMPLE_SIZE))

    def in_rack(self, role: Role, rack: int) -> list[EngineT]:
        """Engines of a role in a rack, no more than one request looks at."""
        if role not in self._racks:
            racks = self._racks[role] = defaultdict(list)
            for engine in self.ready[role]:
                racks[engine.rack].append(engine)
        return self._racks[role].get(rack, [])[:SAMPLE_SIZE]


def _cyclic_slice(order: list[EngineT], start: int, count: int) -> list[EngineT]:
    """`count` engines of an order from a place on, beginning anew at its end."""
    start %= max(1, len(order))
    found = order[start : start + count]
    return found + order[: count - len(found)]
