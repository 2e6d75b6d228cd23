"""Index of the ready engines by role, and samples of them for single scheduling decisions.

A decision that examined every engine would cost time in proportion to the size of the fleet, although a
front's share of the traffic does not grow with it. For roles with up to `SAMPLE_SIZE` ready engines, a
decision examines all of them. For larger roles it examines a sample: consecutive engines of an order that is
specific to this front, from another offset for each decision. The callers add engines that may have the
prompt cached or that are near its prefill state.

The module does no I/O and draws no random numbers.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

from runspool.scheduling.types import Role

# Engines of a role that one scheduling decision examines at most.
SAMPLE_SIZE = 96
# The largest value of a stable hash, which has 32 bits.
HASH_MASK = 0xFFFFFFFF
# A prime near 2^32 divided by the golden ratio (Fibonacci hashing): it distributes close numbers evenly.
HASH_MULTIPLIER = 2_654_435_761


class IndexedEngine(Protocol):
    """The attributes of an engine that the index reads."""

    @property
    def stable_hash(self) -> int:
        """A hash from 0 to `HASH_MASK` that is the same at every front."""
        ...

    @property
    def role(self) -> Role:
        """The stages that the engine carries out."""
        ...

    @property
    def rack(self) -> int:
        """The index of the engine's rack."""
        ...

    @property
    def memory_tokens(self) -> int:
        """Tokens that fit in its memory; 0 where the capacity is not known."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the engine accepts new requests."""
        ...


EngineT = TypeVar("EngineT", bound=IndexedEngine)


class EngineIndex(Generic[EngineT]):
    """The ready engines by role; replaced by a new index whenever the list of engines changes."""

    def __init__(self, engines: Iterable[EngineT], seed: int) -> None:
        """Index the ready ones of `engines`; `seed`, unique to this front, determines its sample order."""
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
        """Return all ready engines that can decode: the mixed engines, then the decode engines."""
        return self.ready[Role.MIXED] + self.ready[Role.DECODE]

    def peer_count(self, role: Role) -> int:
        """Return how many engines share the work of a role: the prefill engines, or all that can decode."""
        if role is Role.PREFILL:
            return len(self.ready[Role.PREFILL])
        return len(self.ready[Role.MIXED]) + len(self.ready[Role.DECODE])

    def is_large(self, role: Role) -> bool:
        """Return whether a role has more ready engines than one decision examines."""
        return len(self.ready[role]) > SAMPLE_SIZE

    def sample(self, role: Role, sample_number: int) -> list[EngineT]:
        """Return the engines of a role that one decision examines.

        These are all, or `SAMPLE_SIZE` consecutive ones of an order that is specific to this front. They
        start at an offset that `sample_number` determines; successive numbers give offsets that are spread
        over the order.
        """
        engines = self.ready[role]
        if len(engines) <= SAMPLE_SIZE:
            return list(engines)
        if role not in self._sample_orders:
            self._sample_orders[role] = sorted(
                engines, key=lambda e: (e.stable_hash ^ self.seed) * HASH_MULTIPLIER & HASH_MASK
            )
        start = (sample_number * HASH_MULTIPLIER & HASH_MASK) * len(engines) >> 32
        return _cyclic_slice(self._sample_orders[role], start, SAMPLE_SIZE)

    def ring_successors(self, role: Role, text_hash: int, span: int, offset_hash: int) -> list[EngineT]:
        """Return the engines on a hash ring of a role that follow the hash of a text.

        Every front gets the same engines. The `span` engines after `text_hash` are eligible. If these are
        more than `SAMPLE_SIZE`, `offset_hash` selects that many consecutive ones among them.
        """
        engines = self.ready[role]
        if role not in self._rings:
            order = sorted(engines, key=attrgetter("stable_hash"))
            self._rings[role] = [e.stable_hash for e in order], order
        hashes, order = self._rings[role]
        start = bisect_left(hashes, text_hash * HASH_MULTIPLIER & HASH_MASK)
        span = min(span, len(order))
        offset = (offset_hash * HASH_MULTIPLIER & HASH_MASK) * max(1, span - SAMPLE_SIZE + 1) >> 32
        return _cyclic_slice(order, start + offset, min(span, SAMPLE_SIZE))

    def in_rack(self, role: Role, rack: int) -> list[EngineT]:
        """Return the engines of a role in a rack, at most `SAMPLE_SIZE` of them."""
        if role not in self._racks:
            racks = self._racks[role] = defaultdict(list)
            for engine in self.ready[role]:
                racks[engine.rack].append(engine)
        return self._racks[role].get(rack, [])[:SAMPLE_SIZE]


def _cyclic_slice(order: list[EngineT], start: int, count: int) -> list[EngineT]:
    """Return `count` engines of `order` from index `start` on, wrapping around at its end."""
    start %= max(1, len(order))
    found = order[start : start + count]
    return found + order[: count - len(found)]
