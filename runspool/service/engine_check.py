"""Checks whether an engine is still up after a connection to it broke while a request was in progress."""

from __future__ import annotations

import anyio

from runspool.engines.completions_client import CompletionsEngineClient
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause

ENGINE_CHECK_TIMEOUT = 0.1  # timeout, in seconds, of the connection attempt that checks an engine

# Failures in which a connection broke after the request was sent. The engine may have crashed, and the
# request may have caused the crash.
BROKEN_CONNECTION_CAUSES = {
    FailureCause.CLOSED_BEFORE_RESPONSE,
    FailureCause.CLOSED_DURING_RESPONSE,
    FailureCause.STREAM_INTERRUPTED,
}


async def is_engine_up(client: CompletionsEngineClient, address: Address) -> bool:
    """Return whether the engine accepts a connection within ENGINE_CHECK_TIMEOUT."""
    with anyio.move_on_after(ENGINE_CHECK_TIMEOUT):
        return await client.accepts_connections(address)
    return False
