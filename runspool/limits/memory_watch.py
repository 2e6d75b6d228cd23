"""Compares the resident memory of the process with its limit, and corrects the budget of its account.

The account knows what peers make the process hold, but not what the allocator keeps of it, nor what nobody
has thought of. While the resident memory is close to the limit, the account therefore gets a smaller budget.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog

from runspool.limits.memory_account import MemoryAccount
from runspool.limits.memory_budget import MemoryBudget
from runspool.limits.process_memory import BYTES_PER_MB, resident_bytes, return_free_memory

CHECK_INTERVAL_SECONDS = 0.05
# Part of the memory beside the idle process that is kept free; from there on the budget is reduced.
RESERVE_SHARE = 0.2
MIN_BUDGET_SHARE = 0.25  # part of the account's budget that is left in any case
RETURN_INTERVAL_CHECKS = 20  # checks between two times at which free memory is returned to the system


class MemoryWatch:
    """Checks the resident memory of the process.

    Attributes:
        account: The account whose budget is corrected.
        budget: How the memory limit is divided.
        peak_bytes: The highest resident memory seen, in bytes.
    """

    def __init__(
        self,
        account: MemoryAccount,
        budget: MemoryBudget,
        measure: Callable[[], int] = resident_bytes,
        return_memory: Callable[[], None] = return_free_memory,
    ) -> None:
        """Create a watch.

        Args:
            account: The account whose budget is corrected.
            budget: How the memory limit is divided.
            measure: Returns the resident memory of the process in bytes.
            return_memory: Returns memory that is no longer used to the system.
        """
        self.account = account
        self.budget = budget
        self.peak_bytes = 0
        self._measure = measure
        self._return_memory = return_memory
        self._checks_since_return = RETURN_INTERVAL_CHECKS
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Reduce the budget while the resident memory is close to the limit, and restore it afterwards."""
        self._checks_since_return += 1
        resident = self._measure()
        excess = resident - self._threshold()
        if excess > 0 and self._checks_since_return > RETURN_INTERVAL_CHECKS:
            self._checks_since_return = 0
            self._return_memory()
            resident = self._measure()
            excess = resident - self._threshold()
        self._record_peak(resident)
        full_budget = self.budget.charged_bytes
        self.account.change_budget(max(int(full_budget * MIN_BUDGET_SHARE), full_budget - max(0, excess)))

    def _threshold(self) -> int:
        """Return the resident memory from which the budget is reduced, in bytes."""
        headroom = self.budget.limit_bytes - self.budget.idle_bytes
        return self.budget.limit_bytes - int(max(0, headroom) * RESERVE_SHARE)

    def _record_peak(self, resident: int) -> None:
        """Record the highest resident memory; log it for each MB that it has come closer to the limit."""
        grown = resident // BYTES_PER_MB > self.peak_bytes // BYTES_PER_MB
        self.peak_bytes = max(self.peak_bytes, resident)
        if grown and resident > self._threshold():
            self._log.warning(
                "memory_short",
                resident_mb=round(resident / BYTES_PER_MB, 1),
                limit_mb=round(self.budget.limit_bytes / BYTES_PER_MB, 1),
                **self.account.details(),
            )
