"""Engines that state sizes which cannot be true, and sound engines whose responses look similar."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tests.node_platform.client import post
from tests.node_platform.engine import Script
from tests.node_platform.http_messages import EVENTS, STREAM_HEAD, ReceivedRequest, chunked
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
TEXT_EVENT = EVENTS[0]
END = b"".join(EVENTS[1:])  # the events that end a stream
EVENT_INTERVAL = 0.12  # seconds between two events of an engine
MAX_SPOILT_TIME = (
    5.0  # seconds from spoilt bytes to the end of the client's connection, by the platform's page
)
MAX_BODY_BYTES = 262_144  # maximum size of a body, by the platform's page

# Size lines of chunks that cannot be true, and whether the final event comes inside the chunk.
UNTRUE_CHUNKS = {
    "3 GB": (b"b2d05e00\r\n", False),
    "3 GB with the end inside": (b"b2d05e00\r\n", True),
    "a byte more than a body": (b"%x\r\n" % (MAX_BODY_BYTES + 1), False),
}


def goes_on_inside(size_line: bytes, has_end: bool) -> Script:
    """Return a script that sends 4 events, a size line, and sound events until the node closes."""

    async def script(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(TEXT_EVENT) * 4 + size_line)
        closed = asyncio.ensure_future(request.wait_until_closed())
        for _ in range(24):
            if not closed.done():
                await request.send(TEXT_EVENT)
                await asyncio.wait([closed], timeout=EVENT_INTERVAL)
        if has_end and not closed.done():
            await request.send(END)
        while not closed.done():
            if not has_end:
                await request.send(TEXT_EVENT)
            await asyncio.wait([closed], timeout=EVENT_INTERVAL)

    return script


# c6e7e6: events inside a chunk of 3 GB counted as progress, and the client waited for its end past 5 s.
@pytest.mark.parametrize("form", UNTRUE_CHUNKS)
async def test_a_chunk_that_cannot_be_true_ends_the_stream_within_5_s(form: str, tmp_path: Path) -> None:
    loop = asyncio.get_running_loop()
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [goes_on_inside(*UNTRUE_CHUNKS[form])]
        client = await platform.client()
        client.send(post("q1", req_extra="prompt_len=40,max_out=800"))
        response = await client.read_head()
        spoilt_at = loop.time()
        response = await client.read_body(response)
        assert loop.time() - spoilt_at < MAX_SPOILT_TIME
    assert not response.complete
    assert len(platform.attempts("q1", "decode")) == 1


def attempt_ended(platform: Platform) -> dict[str, object]:
    """Return the logged line on the end of an attempt that failed."""
    lines = [json.loads(line) for line in platform.log.splitlines() if b'"event":"attempt_ended"' in line]
    assert len(lines) == 1
    found: dict[str, object] = lines[0]
    return found


async def test_the_log_says_what_was_awaited_and_what_a_response_had_stated(tmp_path: Path) -> None:
    async def stops_within_a_chunk(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(TEXT_EVENT) + b"c8\r\n" + TEXT_EVENT[:20])
        await request.wait_until_closed()

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [stops_within_a_chunk]
        response = await platform.send_request(post("q1"))
        await platform.wait_for_log_event("attempt_ended")
        line = attempt_ended(platform)
    assert not response.complete
    assert line["awaited"] == "rest_of_event"
    framing = line["framing"]
    assert isinstance(framing, dict)
    assert (framing["part_number"], framing["part_bytes"], framing["remaining_bytes"]) == (2, 200, 180)
    assert framing["stated_for"] >= 45_000
