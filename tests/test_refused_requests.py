"""What a node holds of requests that it has refused or answered, while their clients stay connected.

A charge of the memory account is given back together with the memory: no body that can still be reached is
uncharged.
"""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from unittest.mock import patch

import pytest

from runspool.engines.failure_classification import FailureCause
from runspool.limits.memory_account import MemoryAccount, MemoryKind
from runspool.node.executor import PendingNodeRequest
from runspool.node.request_handler import RequestHandler
from runspool.node.server import NodeServer
from runspool.transport import tcp
from runspool.wire.http_requests import HttpRequest
from tests.node_platform.client import Client, post, post_chunks
from tests.node_platform.engine import never_responds
from tests.node_platform.http_messages import EVENTS, LAST_CHUNK, STREAM_HEAD, ReceivedRequest, chunked
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
BODY_BYTES = 200_000
MARK = b"part of a body "
BODY = b'{"text":"' + MARK * (BODY_BYTES // len(MARK)) + b'"}'
MIN_PART_BYTES = 256  # size from which a part of a body is searched for
CLIENTS_OWN_DATA = b"POST "  # what the request starts with as its client sends it
CHUNKED_BODY = chunked(BODY) + LAST_CHUNK


# Requests that are refused after their body, or a part of it, has been read; the connection then lingers.
REFUSED_REQUESTS: dict[str, bytes] = {
    "unknown class": post("h1", req_kind="nobody", body=BODY),
    "unknown owner": post("h2", body=BODY, req_owner="nobody"),
    "no id": post("h3", body=BODY, req_id=None),
    "no JSON": post("h4", body=b"{oops" + BODY),
    "no UTF-8": post("h5", body=BODY.replace(b"text", b"\xff\xfe")),
    "a list": post("h6", body=b"[" + BODY + b"]"),
    "extra said twice": post("h7", body=BODY, req_extra="max_out=4,max_out=4"),
    "no deadline": post("h8", body=BODY, req_deadline="soon"),
    "bad cost": post("h9", body=BODY, req_cost="inf"),
    "bad retry": post("h10", body=BODY, req_retry="maybe"),
    "HTTP/1.0": post("h11", body=BODY).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "id of an open request": post("open", body=BODY),
    "in chunks": post_chunks("h12", CHUNKED_BODY, "nobody"),
    "request behind it": post("h13", body=BODY, req_kind="nobody") + post("behind", body=BODY),
    "noise behind the body": post_chunks("h14", CHUNKED_BODY.removesuffix(LAST_CHUNK) + b"zz\r\n"),
    "too large": post_chunks("h15", chunked(BODY * 2)),
}


def held_parts() -> Iterator[bytes | bytearray]:
    """Yield every part of a body that an object or a suspended coroutine of this process refers to."""
    seen: set[int] = set()
    for tracked in gc.get_objects():
        level = [tracked]
        while level:
            # Containers that hold nothing but bytes and text are not tracked themselves.
            referents = [each for each in gc.get_referents(*level) if id(each) not in seen]
            level = [
                each for each in referents if isinstance(each, (dict, tuple)) and not gc.is_tracked(each)
            ]
            for each in referents:
                if isinstance(each, (bytes, bytearray)) and len(each) >= MIN_PART_BYTES:
                    seen.add(id(each))
                    yield each


def held_body_bytes() -> int:
    """Return the number of bytes of bodies that this process holds beside those of the clients."""
    own = {id(part) for part in (BODY, CHUNKED_BODY, tcp._read_buffer.obj, tcp._discard_buffer.obj)}
    return sum(
        len(part)
        for part in held_parts()
        if MARK in part and id(part) not in own and not part.startswith(CLIENTS_OWN_DATA)
    )


def count_objects(kind: type[object]) -> int:
    """Return the number of objects of a type that this process holds."""
    return sum(type(each) is kind for each in gc.get_objects())


def charged_bytes(memory: MemoryAccount) -> int:
    """Return the number of bytes that are charged for requests."""
    return memory.held_by_kind[MemoryKind.REQUEST.value] + memory.held_by_kind[MemoryKind.RECEIVED.value]


@pytest.fixture(autouse=True)
def _without_garbage() -> None:
    """Collect what earlier tests have left, so that it does not disappear between two counts of a test."""
    gc.collect()


def fail_releases(server: NodeServer) -> None:
    """Let no engine confirm a release."""

    async def release_fails(*arguments: object) -> FailureCause:
        await asyncio.sleep(0.1)
        return FailureCause.CONNECT_FAILED

    server.executor.engine_client.release_state = release_fails  # type: ignore[method-assign, assignment]


def lingering_count(server: NodeServer) -> int:
    return sum(handler.is_lingering for handler in server.connections.handlers)


# Each refused client kept its body, charged to nobody, until it left: 440 of them took a node over its limit
# (review/8).
@pytest.mark.parametrize("form", REFUSED_REQUESTS)
async def test_nothing_is_held_of_a_refused_request_while_its_client_stays(form: str, tmp_path: Path) -> None:
    platform, held_before = Platform(tmp_path, PREFILL_AND_DECODE), held_body_bytes()
    async with platform.open_in_process() as server:
        platform.engines["w"].scripts = [never_responds]
        open_client = await platform.client()
        open_client.send(post("open", "book"))
        await platform.wait_until(lambda: len(platform.attempts("open", "decode")) == 1)
        memory = server.executor.connection_resources.memory
        charged_before, heads_before = charged_bytes(memory), count_objects(HttpRequest)
        client = await platform.client()
        client.send(REFUSED_REQUESTS[form])
        assert 400 <= (await client.read_head()).status < 600
        await wait_until(lambda: lingering_count(server) == 1)
        assert (held_body_bytes(), charged_bytes(memory)) == (held_before, charged_before)
        assert count_objects(HttpRequest) == heads_before  # that of the open request; a head has up to 32 KB


# Ways in which a well-formed request ends without having been served.
async def end_by_deadline(platform: Platform, server: NodeServer) -> Client:
    """Let the time of a request end during its attempt; the connection stays open."""
    platform.engines["w"].scripts = [never_responds]
    client = await platform.client()
    client.send(post("q1", "book", BODY, req_deadline="600m"))
    assert (await client.read_response()).status == 500
    return client


async def end_for_memory(platform: Platform, server: NodeServer) -> Client:
    """Let the memory be exceeded while a part of a request has been received."""
    client = await platform.client()
    client.send(post("q1", body=BODY)[:-10])
    memory = server.executor.connection_resources.memory
    await wait_until(lambda: charged_bytes(memory) > BODY_BYTES / 2)
    memory.change_budget(BODY_BYTES // 4)
    assert (await client.read_response()).status == 503
    return client


async def end_whole_for_memory(platform: Platform, server: NodeServer) -> Client:
    """Let the memory be exceeded when a whole request has been received; the connection stays open."""
    client = await platform.client()
    with patch.object(RequestHandler, "holds_open_request", return_value=False):
        client.send(post("q1", body=BODY))
        assert (await client.read_response()).status == 503
    return client


async def end_by_internal_error(platform: Platform, server: NodeServer) -> Client:
    """Let the acceptance of a request fail with an unexpected error."""

    def fail(*arguments: object) -> None:
        raise ValueError("of this test")

    server.executor.submit = fail  # type: ignore[method-assign, assignment]
    client = await platform.client()
    client.send(post("q1", body=BODY))
    assert (await client.read_response()).status == 500
    return client


async def end_by_answer(platform: Platform, server: NodeServer) -> Client:
    """Let a request be served; the connection stays open."""
    client = await platform.client()
    client.send(post("q1", body=BODY))
    assert (await client.read_response()).status == 200
    return client


async def end_by_stream_cut(platform: Platform, server: NodeServer) -> Client:
    """Let a stream break off, so that the node closes the connection."""

    async def breaks_off(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await asyncio.sleep(0.1)
        request.reset()

    platform.engines["w"].scripts = [breaks_off]
    client = await platform.client()
    client.send(post("q1", body=BODY))
    assert not (await client.read_response()).complete
    return client


ENDS = (
    end_by_deadline,
    end_for_memory,
    end_whole_for_memory,
    end_by_internal_error,
    end_by_answer,
    end_by_stream_cut,
)


# A request's record outlives its answer while a release of its state goes on, and kept the uncharged body.
@pytest.mark.parametrize("end", ENDS)
async def test_no_body_is_held_after_the_answer_even_if_no_engine_confirms_the_release(
    end: Callable[[Platform, NodeServer], Awaitable[Client]], tmp_path: Path
) -> None:
    platform, held_before = Platform(tmp_path, PREFILL_AND_DECODE), held_body_bytes()
    async with platform.open_in_process() as server:
        fail_releases(server)
        client = await end(platform, server)
        await asyncio.sleep(0.05)  # a cancelled attempt ends some iterations of the event loop later
        for request in platform.received:
            request.body = b""
        assert held_body_bytes() == held_before
        assert charged_bytes(server.executor.connection_resources.memory) == 0
        client.close()


# A pending release kept the request with its target and its client's connection, charged to nobody.
async def test_a_pending_release_keeps_neither_its_request_nor_the_connection(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process() as server:
        fail_releases(server)
        client = await end_by_deadline(platform, server)
        (handler,) = map(weakref.ref, server.connections.handlers)
        client.close()
        await wait_until(lambda: not server.connections.handlers)
        await wait_until(lambda: "q1" in server.executor.state_releaser.overdue)
        gc.collect()
        assert handler() is None
        assert count_objects(PendingNodeRequest) == 0


async def test_a_body_is_charged_for_as_long_as_its_request_is_served(tmp_path: Path) -> None:
    platform, held_before = Platform(tmp_path, PREFILL_AND_DECODE), held_body_bytes()
    async with platform.open_in_process() as server:
        platform.engines["w"].scripts = [never_responds]
        client = await platform.client()
        client.send(post("q1", body=BODY))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) == 1)
        for request in platform.received:
            request.body = b""
        memory = server.executor.connection_resources.memory
        assert len(BODY) <= held_body_bytes() - held_before <= charged_bytes(memory)
        client.close()
        await wait_until(lambda: not server.connections.handlers)
        assert charged_bytes(memory) == 0


# The error of a malformed event was stored and raised: a cycle held its request until garbage collection.
async def test_no_cycle_keeps_a_request_whose_stream_is_malformed_behind_an_event(tmp_path: Path) -> None:
    async def sends_malformed_remainder(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await asyncio.sleep(0.1)
        await request.send(chunked(EVENTS[1] + b"data: {oops\n\n"))
        await request.wait_until_closed()

    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process() as server:
        platform.engines["w"].scripts = [sends_malformed_remainder]
        gc.collect()
        gc.disable()
        try:
            assert not (await platform.send_request(post("q1"))).complete
            await wait_until(lambda: not server.connections.handlers)
            await asyncio.sleep(0.05)  # the attempt ends some iterations of the event loop later
            assert count_objects(PendingNodeRequest) == 0
        finally:
            gc.enable()
