"""Client connections to a node: many at once, silent, pipelining, and beyond the descriptor limit."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.node_platform.client import post
from tests.node_platform.engine import responds, streams_until
from tests.node_platform.http_messages import COMPLETE_STREAM, PREFILL_RESPONSE, WAIT_TIMEOUT, ReceivedRequest
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}


async def test_a_request_id_in_use_is_rejected_and_the_first_request_continues(tmp_path: Path) -> None:
    proceed = asyncio.Event()

    async def responds_later(request: ReceivedRequest) -> None:
        await proceed.wait()
        await request.send(COMPLETE_STREAM)

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [responds_later]
        first = await platform.client()
        first.send(post("q1"))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) == 1)
        assert (await platform.send_request(post("q1"))).status == 409
        proceed.set()
        assert (await first.read_response()).complete
        assert len(platform.attempts("q1")) == 2


async def test_hundreds_of_silent_clients_block_no_other_client_and_are_closed(tmp_path: Path) -> None:
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        silent_clients = [await platform.client() for _ in range(400)]
        partial = await platform.client()
        partial.send(post("h1")[:-10])
        assert (await platform.send_request(post("q1"))).complete
        for client in [*silent_clients, partial]:
            await client.read_to_close()
        assert platform.attempts("h1") == []
        assert (await platform.send_request(post("q2"))).complete


async def test_a_client_that_sends_excess_data_before_its_response_still_gets_it(tmp_path: Path) -> None:
    proceed = asyncio.Event()
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process() as server:
        platform.engines["r"].scripts = [responds(PREFILL_RESPONSE, proceed)]
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: len(platform.attempts("q1")) == 1)
        client.send(b"x" * 400_000)
        await asyncio.wait_for(client.writer.drain(), WAIT_TIMEOUT)
        (handler,) = server.connections.handlers
        await wait_until(lambda: handler.tcp.discarded_bytes)
        proceed.set()
        response = await client.read_response()
        assert response.complete and response.headers["connection"] == "close"


async def test_open_descriptors_stay_within_the_limit_and_every_request_is_answered(tmp_path: Path) -> None:
    proceed = asyncio.Event()
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    platform.sockets = 64
    async with platform.open():
        platform.engines["w"].scripts = [streams_until(proceed)] * 100
        descriptors = Path(f"/proc/{platform.process.pid}/fd")
        most_open = 0
        responses = []
        for index in range(40):
            client = await platform.client()
            client.send(post(f"q{index}"))
            responses.append((client, await client.read_head()))
            most_open = max(most_open, sum(1 for _ in descriptors.iterdir()))
        proceed.set()
        assert {response.status for _, response in responses} == {200, 503}
        for client, response in responses:
            if response.status == 200:
                await client.read_body(response)  # frees descriptors for the last request
        assert most_open <= 64
        assert (await platform.send_request(post("last"))).status == 200


# Clients for which there was no room lost their connections without an answer.
@pytest.mark.parametrize("seconds_before_request", [0.0, 0.1])
async def test_every_client_of_a_crowd_beyond_the_places_gets_an_answer(
    seconds_before_request: float, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open():
        clients = await asyncio.gather(*(platform.client() for _ in range(600)))
        await asyncio.sleep(seconds_before_request)
        for index, client in enumerate(clients):
            client.send(post(f"q{index}"))
        statuses = [(await client.read_response()).status for client in clients]
        assert set(statuses) <= {200, 503}
