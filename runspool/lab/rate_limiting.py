"""Rate limits that a fault sets for tenants or request classes at a stand-in engine."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from runspool.lab.plan import SECOND
from runspool.service.clock import now

BURST = 2.0  # capacity of a bucket in requests
INITIAL_LEVEL = 1.0  # requests in a bucket when its limit is first applied


class RateLimit(NamedTuple):
    """The allowed requests per second, and the time that a rejection takes in tenths of a millisecond."""

    requests_per_second: float
    rejection_delay: int


class RateLimiter:
    """Token buckets by the name of a tenant or request class.

    A bucket keeps its level while its limit is switched off.

    Attributes:
        limits: the limits that are switched on.
    """

    def __init__(self) -> None:
        self.limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, tuple[float, int]] = {}  # (level, time of its last update)

    async def rejects(self, request_class: str, tenant: str) -> bool:
        """Return whether a request exceeds the limit of its class or tenant; wait the limit's delay if so."""
        for name in (request_class, tenant):
            limit = self.limits.get(name)
            if limit is not None and not self._take(name, limit):
                await anyio.sleep(limit.rejection_delay / SECOND)
                return True
        return False

    def _take(self, name: str, limit: RateLimit) -> bool:
        """Refill a bucket and take one request from it; return False if it held less than one."""
        level, updated_at = self._buckets.get(name, (INITIAL_LEVEL, now()))
        level = min(BURST, level + limit.requests_per_second * (now() - updated_at) / SECOND)
        self._buckets[name] = (max(0.0, level - 1), now())
        return level >= 1
