"""The raw client with which tests read the responses of a node."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import pytest

from tests.node_platform.client import Client

pytestmark = pytest.mark.anyio


# A soak waited for ever: its client lost the end of its time when a chunk arrived in the same moment.
@pytest.mark.parametrize("iterations", range(5))
async def test_a_client_whose_time_ends_as_a_chunk_arrives_stops_reading(iterations: int) -> None:
    reader = asyncio.StreamReader()
    client = Client(reader, Mock())

    async def read_on() -> None:
        while True:
            await client.read_chunk()

    reading = asyncio.ensure_future(read_on())
    await asyncio.sleep(0.001)  # the client waits for data
    reader.feed_data(b"1\r\na\r\n")
    for _ in range(iterations):  # of the event loop, from the data to the end of the client's time
        await asyncio.sleep(0)
    reading.cancel()
    await asyncio.sleep(0.01)
    is_cancelled = reading.done()
    reading.cancel()
    assert is_cancelled
