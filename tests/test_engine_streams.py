"""Well-formed and malformed engine streams, as a node forwards them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.node_platform.client import post
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    EVENTS,
    STREAM_HEAD,
    WAIT_TIMEOUT,
    ReceivedRequest,
    chunked,
    http_response,
)
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
TWO_DECODE_ENGINES = {"r": "prefill", "w": "decode", "v": "decode"}


MALFORMED_STREAMS = {
    "noise": b"\x00\x01\xfe" * 30,
    "no event": STREAM_HEAD + chunked(b"hello\n\n"),
    "no json": STREAM_HEAD + chunked(b"data: {oops\n\n"),
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000,
    "bad size": STREAM_HEAD + b"zz\r\n",
    "3 GB": STREAM_HEAD + b"c0000000\r\n" + b"x" * 70_000,
    "endless extension": STREAM_HEAD + b"5;a=" + b"x" * 300_000,
    "endless trailer": STREAM_HEAD + b"0\r\nA: " + b"x" * 300_000,
}


@pytest.mark.parametrize("fault", MALFORMED_STREAMS)
async def test_a_stream_malformed_before_its_first_event_counts_as_possibly_executed(
    fault: str, tmp_path: Path
) -> None:
    async def sends_malformed_stream(request: ReceivedRequest) -> None:
        await request.send(MALFORMED_STREAMS[fault])
        await request.wait_until_closed()  # the node closes the connection

    async with Platform(tmp_path, TWO_DECODE_ENGINES).open() as platform:
        for engine in "wv":
            platform.engines[engine].scripts = [sends_malformed_stream]
        repeated = await platform.send_request(post("q1"))
        assert (repeated.status, repeated.complete, len(platform.attempts("q1", "decode"))) == (200, True, 3)
        for engine in "wv":
            platform.engines[engine].scripts = [sends_malformed_stream]
        assert (await platform.send_request(post("q2", "book"))).status == 500
        assert len(platform.attempts("q2", "decode")) == 1


MALFORMED_REMAINDERS = {
    "bad size": b"zz\r\n",
    "does not fit": b"5\r\n" + EVENTS[1] + b"\r\n",
    "no json": chunked(b"data: {oops\n\n"),
    "3 GB": b"c0000000\r\n" + b"x" * 70_000,
    "endless extension": b"5;a=" + b"x" * 300_000,
    "endless trailer": b"0\r\nA: " + b"x" * 300_000,
    "endless trailer fields": b"0\r\n" + b"A: x\r\n" * 60_000,
    "half": chunked(EVENTS[1][:20]),
    "no end": b"0\r\n\r\n",
}


@pytest.mark.parametrize("fault", MALFORMED_REMAINDERS)
async def test_a_stream_malformed_after_its_first_event_ends_without_its_last_chunk(
    fault: str, tmp_path: Path
) -> None:
    async def sends_malformed_remainder(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await begun.wait()
        await request.send(MALFORMED_REMAINDERS[fault])
        await request.wait_until_closed()

    begun = asyncio.Event()
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [sends_malformed_remainder]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        assert await client.read_chunk() == EVENTS[0]
        begun.set()
        # After the fault "half" the engine sends nothing more, and the node ends the response within 5 s.
        response = await client.read_body(response)
        assert not response.complete and len(platform.attempts("q1", "decode")) == 1


STREAMS_WITH_EXTRA_BYTES = {
    "1xx": b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + COMPLETE_STREAM,
    "report": COMPLETE_STREAM.replace(b"Content-Type", b"Srv-Load: \xff;;=,{\r\nContent-Type"),
    "second response": COMPLETE_STREAM + COMPLETE_STREAM,
    "another response": COMPLETE_STREAM + http_response(500, b"no"),
    "trash": COMPLETE_STREAM + b"\x00\x01 trash",
}


@pytest.mark.parametrize("extra", STREAMS_WITH_EXTRA_BYTES)
@pytest.mark.parametrize("pieces", ["complete", "bytes"])
async def test_a_well_formed_stream_with_extra_bytes_is_forwarded(
    extra: str, pieces: str, tmp_path: Path
) -> None:
    data = STREAMS_WITH_EXTRA_BYTES[extra]

    async def sends_extra_bytes(request: ReceivedRequest) -> None:
        if pieces == "complete":
            await request.send(data)
        else:
            for index in range(len(data)):
                await request.send(data[index : index + 1])
                await asyncio.sleep(0)

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [sends_extra_bytes]
        for name in ("q1", "q2"):  # the connection with the extra bytes serves no other request
            response = await platform.send_request(post(name))
            assert (response.status, response.complete, response.body) == (200, True, b"".join(EVENTS))


@pytest.mark.parametrize("line_end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
async def test_events_are_forwarded_one_by_one_with_any_line_ending(line_end: bytes, tmp_path: Path) -> None:
    events = [event.replace(b"\n\n", line_end) for event in EVENTS]
    passed = [asyncio.Event() for _ in events]

    async def sends_one_by_one(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for event, seen in zip(events, passed, strict=True):
            await request.send(chunked(event))
            await asyncio.wait_for(
                seen.wait(), WAIT_TIMEOUT
            )  # send the next event only after the client has received this one
        await request.send(b"0\r\n\r\n")

    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process():
        platform.engines["w"].scripts = [sends_one_by_one]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        for event, seen in zip(events, passed, strict=True):
            assert await client.read_chunk() == event
            seen.set()
        assert (await client.read_body(response)).complete


REMAINDERS_MALFORMED_AFTER_AN_EVENT = {
    "no json": chunked(EVENTS[1] + b"data: {oops\n\n"),
    "deep": chunked(EVENTS[1] + b'data: {"choices":' + b"[" * 20_000 + b"\n\n"),
    "bad size": chunked(EVENTS[1]) + b"zz\r\n",
}


@pytest.mark.parametrize("fault", REMAINDERS_MALFORMED_AFTER_AN_EVENT)
async def test_well_formed_events_before_a_malformed_one_are_forwarded(fault: str, tmp_path: Path) -> None:
    seen = asyncio.Event()

    async def sends_malformed_remainder(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await asyncio.wait_for(seen.wait(), WAIT_TIMEOUT)
        await request.send(REMAINDERS_MALFORMED_AFTER_AN_EVENT[fault])
        await request.wait_until_closed()

    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process():
        platform.engines["w"].scripts = [sends_malformed_remainder]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        assert await client.read_chunk() == EVENTS[0]
        seen.set()
        response = await client.read_body(response)
        assert (response.body, response.complete) == (EVENTS[1], False)
