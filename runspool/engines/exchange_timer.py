"""The time limit of one exchange; times in tenths of a millisecond."""

from __future__ import annotations

import math
from types import TracebackType

import anyio

from runspool.engines.failure_classification import ExchangeAbortedError, FailureCause
from runspool.units import TENTHS, UNITS_PER_SECOND


class ExchangeTimer:
    """A context manager that cancels its body at the deadline.

    The body sets `timeout_cause` as the exchange proceeds: it says what running out of time means at the
    point reached. A body that was cut off raises ExchangeAbortedError with that cause; a cancellation from
    outside passes through.
    """

    __slots__ = ("scope", "timeout_cause")

    def __init__(self, timeout: int) -> None:
        self.scope = anyio.CancelScope(deadline=anyio.current_time() + timeout / UNITS_PER_SECOND)
        self.timeout_cause = FailureCause.CONNECT_FAILED

    def remove_limit(self, cause: FailureCause) -> None:
        """Remove the deadline: from now on only cancel() ends the exchange, with `cause`.

        Raises:
            ExchangeAbortedError: The deadline has passed.
        """
        # A cancellation that has been called is delivered at the next wait, whatever the deadline is then.
        if self.scope.cancel_called:
            raise ExchangeAbortedError(self.timeout_cause, "time ran out")
        self.timeout_cause = cause
        self.scope.deadline = math.inf

    def extend(self, time: int) -> None:
        """Move the deadline to `time` from now, if that is later."""
        self.scope.deadline = max(self.scope.deadline, anyio.current_time() + time / UNITS_PER_SECOND)

    def remaining(self) -> int:
        """Return the time until the deadline."""
        return int((self.scope.deadline - anyio.current_time()) * 1000 * TENTHS)

    def cancel(self) -> None:
        """End the exchange now, as if its time had run out."""
        self.scope.cancel()

    def __enter__(self) -> ExchangeTimer:
        self.scope.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        swallowed = self.scope.__exit__(exc_type, exc_value, traceback)
        if self.scope.cancelled_caught:
            raise ExchangeAbortedError(self.timeout_cause, "time ran out")
        return bool(swallowed)


def effective_timeout(max_timeout: int, remaining: int) -> int:
    """Return an attempt's timeout: `max_timeout`, 0 for none, cut to what `remaining` the client leaves."""
    return min(max_timeout, remaining) if max_timeout else remaining
