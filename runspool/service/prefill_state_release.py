"""Releases prefill states at engines through the completions API."""

from __future__ import annotations

import anyio
from structlog.typing import FilteringBoundLogger

from runspool.engines.completions_client import CompletionsEngineClient, PrefillState
from runspool.engines.failure_classification import FailureCause
from runspool.service.pending_request import Endpoint

RELEASE_TIMEOUT = 5_000  # upper bound for the timeout of one release call, in tenths of a millisecond
RELEASE_RETRY_DELAYS = (0.002, 0.004, 0.05, 0.25)  # seconds between a failed release call and the next

# Failures that mean that the engine does not support release calls. Such an engine frees states after its own
# timeout, so the call is not repeated.
RELEASE_UNSUPPORTED_CAUSES = {FailureCause.UNSUPPORTED_ENDPOINT, FailureCause.REQUEST_REJECTED}


async def release_with_retries(
    client: CompletionsEngineClient,
    endpoint: Endpoint,
    state: PrefillState | None,
    request: str,
    max_timeout: int,
    log: FilteringBoundLogger,
) -> None:
    """Release a state at an engine, repeating the call until the engine confirms it.

    The call is repeated because a lost call would leave the state reserved. The first retries follow quickly.
    If no call is confirmed, a warning is logged.

    Args:
        client: Makes the calls.
        endpoint: The engine that keeps the state.
        state: The state as named in the prefill's response; None if it is unknown.
        request: The id of the request, or of the prefill attempt whose response was not received.
        max_timeout: The configured release timeout, in tenths of a millisecond, which limits the timeout of
            one call in addition to RELEASE_TIMEOUT.
        log: Receives the warning.
    """
    for delay in (*RELEASE_RETRY_DELAYS, 0.0):
        timeout = min(RELEASE_TIMEOUT, max_timeout)
        failure = await client.release_state(endpoint.address, state, request, timeout)
        if failure is None or failure in RELEASE_UNSUPPORTED_CAUSES:
            return
        await anyio.sleep(delay)
    log.warning("release_failed", request=request, engine=endpoint.name)
