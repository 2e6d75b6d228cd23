"""The look whether an engine went down, after the connection to it broke with a request in progress."""

from __future__ import annotations

import anyio

from runspool.engines.completions_client import CompletionsEngineClient
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause

ENGINE_CHECK_SECONDS = 0.1  # seconds for the look whether an engine is down

# Causes of a connection that broke with the request out: the engine may have gone down, and may have by it.
CONNECTION_BROKEN = {
    FailureCause.CLOSED_BEFORE_RESPONSE,
    FailureCause.CLOSED_DURING_RESPONSE,
    FailureCause.STREAM_INTERRUPTED,
}


async def is_engine_up(client: CompletionsEngineClient, address: Address) -> bool:
    """Whether the engine accepts a connection within ENGINE_CHECK_SECONDS."""
    with anyio.move_on_after(ENGINE_CHECK_SECONDS):
        return await client.accepts_connections(address)
    return False
