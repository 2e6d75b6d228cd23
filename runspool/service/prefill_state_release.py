"""Has an engine release the state that a prefill left there, for a front with the completions API."""

from __future__ import annotations

import anyio
from structlog.typing import FilteringBoundLogger

from runspool.engines.completions_client import CompletionsEngineClient, PrefillState
from runspool.engines.failure_classification import FailureCause
from runspool.service.pending_request import Endpoint

RELEASE_TIMEOUT = 5_000  # tenths of a millisecond for one call, or the house's time to let go if that is less
RELEASE_RETRY_DELAYS = (0.002, 0.004, 0.05, 0.25)  # seconds before such a call is made again

# An engine's word that it does not know the call: it frees states by its own time-out; to ask again is vain.
RELEASE_UNSUPPORTED = {FailureCause.UNSUPPORTED_ENDPOINT, FailureCause.REQUEST_REJECTED}


async def release_with_retries(
    client: CompletionsEngineClient,
    endpoint: Endpoint,
    state: PrefillState | None,
    request: str,
    max_timeout: int,
    log: FilteringBoundLogger,
) -> None:
    """Releases a state; repeated, soon at first, as a call lost on its way would leave it reserved.

    Args:
        client: Makes the calls.
        endpoint: The engine that keeps the state.
        state: The state as its prefill named it; None where that is unknown.
        request: The id of the request, or of the prefill whose response was given up.
        max_timeout: The most time for one call, in tenths of a millisecond.
        log: Told where no call was confirmed.
    """
    for delay in (*RELEASE_RETRY_DELAYS, 0.0):
        timeout = min(RELEASE_TIMEOUT, max_timeout)
        failure = await client.release_state(endpoint.address, state, request, timeout)
        if failure is None or failure in RELEASE_UNSUPPORTED:
            return
        await anyio.sleep(delay)
    log.warning("release_failed", request=request, engine=endpoint.name)
