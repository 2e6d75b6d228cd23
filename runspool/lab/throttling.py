"""The limits of rate that a fault sets for a tenant or a request class at a stand-in engine."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from runspool.lab.plan import SECOND
from runspool.service.clock import now

BURST = 2.0  # requests that a bucket holds at most
INITIAL_LEVEL = 1.0


class RateLimit(NamedTuple):
    """Requests that may be sent per second, and how long a rejection takes (tenths of a millisecond)."""

    requests_per_second: float
    rejection_delay: int


class Throttle:
    """Token buckets by tenant or request class; a bucket keeps its level while its limit is switched off."""

    def __init__(self) -> None:
        self.limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, tuple[float, int]] = {}  # level, and when it was that

    async def rejects(self, request_class: str, tenant: str) -> bool:
        """Return whether a request is over the limit of its class or its tenant, after the limit's delay."""
        for name in (request_class, tenant):
            limit = self.limits.get(name)
            if limit is not None and not self._take(name, limit):
                await anyio.sleep(limit.rejection_delay / SECOND)
                return True
        return False

    def _take(self, name: str, limit: RateLimit) -> bool:
        level, updated_at = self._buckets.get(name, (INITIAL_LEVEL, now()))
        level = min(BURST, level + limit.requests_per_second * (now() - updated_at) / SECOND)
        self._buckets[name] = (max(0.0, level - 1), now())
        return level >= 1
