"""A front's watch on an endpoint list service that is slow or answers several watches at once."""

from __future__ import annotations

import asyncio

import pytest

from runspool.config.schema import EndpointListConfig
from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.discovery.watch_client import MAX_OPENING_ATTEMPTS, WatchClient
from runspool.service.clock import now
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, encode_message
from tests.fault_proxy import HOST
from tests.node_platform.http_messages import WAIT_TIMEOUT, read_request

pytestmark = pytest.mark.anyio
QUIET_MS = 100
LIST = encode_message(
    EndpointListMessage(
        1, is_snapshot=True, engines=[EndpointEntry("e1", "127.0.0.1:9", "prefill", "a", 0, "on")]
    )
)


def watch_client(server: asyncio.Server, heard: asyncio.Event) -> WatchClient:
    """Return a client of a list service that sets `heard` when the list has been received."""
    port = server.sockets[0].getsockname()[1]
    config = EndpointListConfig(host=HOST, port=port, quiet_ms=QUIET_MS, retry_ms=20, line_bytes=65_536)
    return WatchClient(
        config, "front-0", EndpointTracker(), now, lambda changed: heard.set(), lambda: None, None
    )


@pytest.mark.parametrize("delay", [0.25, 1.5])
async def test_the_list_is_received_from_a_service_slower_than_the_quiet_time(delay: float) -> None:
    # Each watch was given up after the quiet time, so that the list was never received.
    open_watches = most_open = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal open_watches, most_open
        open_watches += 1
        most_open = max(most_open, open_watches)
        try:
            await read_request(reader)
            end = asyncio.ensure_future(reader.read())
            await asyncio.wait([end], timeout=delay)
            if not end.done():
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (len(LIST), LIST))
                await end
        finally:
            open_watches -= 1
            writer.transport.abort()

    heard = asyncio.Event()
    server = await asyncio.start_server(serve, HOST, 0)
    following = asyncio.ensure_future(watch_client(server, heard).follow())
    try:
        await asyncio.wait_for(heard.wait(), WAIT_TIMEOUT)
        assert most_open <= MAX_OPENING_ATTEMPTS + 1  # one more may be closing
    finally:
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        server.close()


async def test_one_of_two_watches_that_receive_data_together_is_closed() -> None:
    # When two watches received their first data at the same moment, the later connection stayed open, unread.
    readers: list[asyncio.StreamReader] = []
    two_are_open = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        readers.append(reader)
        if len(readers) == 2:
            two_are_open.set()
        await two_are_open.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(LIST), LIST))
        await reader.read()
        writer.transport.abort()

    heard = asyncio.Event()
    server = await asyncio.start_server(serve, HOST, 0)
    following = asyncio.ensure_future(watch_client(server, heard).follow())
    try:
        await asyncio.wait_for(heard.wait(), WAIT_TIMEOUT)
        async with asyncio.timeout(QUIET_MS / 1000 / 2):  # before the watch that is used counts as lost
            while sum(reader.at_eof() for reader in readers) < 1:
                await asyncio.sleep(0.001)
    finally:
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        server.close()


# Any bytes counted as a message: a service that sent blank lines for ever kept the front on an old list.
async def test_a_watch_that_goes_on_without_messages_counts_as_lost() -> None:
    second_watch = asyncio.Event()
    connections: list[asyncio.Task[None] | None] = []
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(asyncio.current_task())
        writers.append(writer)
        await read_request(reader)
        if len(connections) > 1:
            second_watch.set()
        end = asyncio.ensure_future(reader.read())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(LIST), LIST))
        while not end.done():
            writer.write(b"1\r\n\n\r\n")
            await asyncio.wait([end], timeout=QUIET_MS / 5_000)

    server = await asyncio.start_server(serve, HOST, 0)
    following = asyncio.ensure_future(watch_client(server, asyncio.Event()).follow())
    try:
        await asyncio.wait_for(second_watch.wait(), WAIT_TIMEOUT)
    finally:
        following.cancel()
        for writer in writers:
            writer.transport.abort()
        await asyncio.gather(following, *filter(None, connections), return_exceptions=True)
        server.close()
        await asyncio.sleep(0)  # the event loop closes aborted transports in its next iteration
