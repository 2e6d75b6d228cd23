"""The time limit of an exchange that ends at the moment at which the awaited data arrives."""

from __future__ import annotations

import pytest

from runspool.engines.exchange_timer import ExchangeTimer
from runspool.engines.failure_classification import ExchangeAbortedError, FailureCause

pytestmark = pytest.mark.anyio


async def test_a_limit_that_has_expired_is_not_removed() -> None:
    """After its expiry it would cancel a stream at its first await, although the client was promised one."""
    has_begun = False
    with pytest.raises(ExchangeAbortedError) as aborted, ExchangeTimer(10_000) as timer:
        timer.timeout_cause = FailureCause.TIMED_OUT_BEFORE_RESPONSE
        timer.cancel()
        timer.remove_limit(FailureCause.STREAM_INTERRUPTED)
        has_begun = True
    assert (has_begun, aborted.value.cause) == (False, FailureCause.TIMED_OUT_BEFORE_RESPONSE)
