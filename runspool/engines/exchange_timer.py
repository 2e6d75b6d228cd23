"""The time limit of one exchange. Times are in tenths of a millisecond."""

from __future__ import annotations

import math
from types import TracebackType

import anyio

from runspool.engines.failure_classification import ExchangeAbortedError, FailureCause
from runspool.units import TENTHS_PER_MS, TENTHS_PER_SECOND


class ExchangeTimer:
    """A context manager that cancels its body at a deadline and then raises ExchangeAbortedError.

    A cancellation from outside passes through unchanged.

    Attributes:
        scope: The cancel scope that holds the deadline.
        timeout_cause: Cause of the error that is raised. The body sets it as the exchange proceeds, because
            the meaning of a timeout depends on how much was sent and received.
    """

    __slots__ = ("scope", "timeout_cause")

    def __init__(self, timeout: int) -> None:
        self.scope = anyio.CancelScope(deadline=anyio.current_time() + timeout / TENTHS_PER_SECOND)
        self.timeout_cause = FailureCause.CONNECT_FAILED

    def remove_limit(self, cause: FailureCause) -> None:
        """Remove the deadline. After this only cancel() ends the exchange, with the cause `cause`.

        Raises:
            ExchangeAbortedError: The deadline has passed.
        """
        # A requested cancellation is delivered at the next await even if the deadline is moved after it.
        if self.scope.cancel_called:
            raise ExchangeAbortedError(self.timeout_cause, "time limit exceeded")
        self.timeout_cause = cause
        self.scope.deadline = math.inf

    def extend(self, time: int) -> None:
        """Move the deadline to `time` from now, unless it is already later."""
        self.scope.deadline = max(self.scope.deadline, anyio.current_time() + time / TENTHS_PER_SECOND)

    def remaining(self) -> int:
        """Return the time until the deadline."""
        return int((self.scope.deadline - anyio.current_time()) * 1000 * TENTHS_PER_MS)

    def cancel(self) -> None:
        """End the exchange now, as if the deadline had passed."""
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
        suppressed = self.scope.__exit__(exc_type, exc_value, traceback)
        if self.scope.cancelled_caught:
            raise ExchangeAbortedError(self.timeout_cause, "time limit exceeded")
        return bool(suppressed)


def effective_timeout(max_timeout: int, remaining: int) -> int:
    """Return an attempt's timeout: the request's `remaining` time, at most `max_timeout` unless that is 0."""
    return min(max_timeout, remaining) if max_timeout else remaining
