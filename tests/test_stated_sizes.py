"""Engines that state sizes which cannot be true, and sound engines whose responses look similar."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tests.node_platform.client import post
from tests.node_platform.engine import Script
from tests.node_platform.http_messages import (
    DECLINED,
    EVENTS,
    FORWARDED_AFTER,
    LAST_CHUNK,
    MAX_BODY_BYTES,
    STREAM_HEAD,
    UNTRUE_SIZE_LINE,
    ReceivedRequest,
    chunked,
    http_response,
)
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
TEXT_EVENT = EVENTS[0]
END = b"".join(EVENTS[1:])  # the events that end a stream
EVENT_INTERVAL = 0.12  # seconds between two events of an engine
# Seconds from spoilt bytes to the end of the client's connection, by the platform's page.
MAX_SPOILT_TIME = 5.0
MAX_RETRY_TIME = 2.0  # seconds for a request with 4 s of time whose attempts fail by a stated size

# Size lines of chunks that cannot be true, and whether the final event comes inside the chunk.
UNTRUE_CHUNKS = {
    "3 GB": (UNTRUE_SIZE_LINE, False),
    "3 GB with the end inside": (UNTRUE_SIZE_LINE, True),
    "a byte more than a body": (b"%x\r\n" % (MAX_BODY_BYTES + 1), False),
}


def goes_on_inside(size_line: bytes, has_end: bool) -> Script:
    """Return a script that sends 4 events, a size line, and sound events until the node closes."""

    async def script(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(TEXT_EVENT) * 4)
        await asyncio.sleep(FORWARDED_AFTER)
        await request.send(size_line)
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
        spoilt_at = loop.time() + FORWARDED_AFTER
        response = await client.read_body(response)
        assert loop.time() - spoilt_at < MAX_SPOILT_TIME
    assert not response.complete
    assert len(platform.attempts("q1", "decode")) == 1


# Responses of an engine that state 3 GB before anything of them is passed on.
UNTRUE_PREFILL = b"HTTP/1.1 202 Accepted\r\nContent-Length: 3000000000\r\n\r\n{"
UNTRUE_RESPONSES = {
    "first chunk": ("w", STREAM_HEAD + UNTRUE_SIZE_LINE + TEXT_EVENT),
    "chunk behind the first event": ("w", STREAM_HEAD + chunked(TEXT_EVENT) + UNTRUE_SIZE_LINE + TEXT_EVENT),
    "length of a stream": (
        "w",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 3000000000\r\n\r\n"
        + TEXT_EVENT,
    ),
    "length of a prefill": ("r", UNTRUE_PREFILL),
    "chunk of a prefill": (
        "r",
        b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n" + UNTRUE_SIZE_LINE + b"{",
    ),
}


# Its bytes were waited for until the time of the request was over, or taken for the events of a sound stream.
@pytest.mark.parametrize("form", UNTRUE_RESPONSES)
async def test_a_size_that_cannot_be_true_fails_the_attempt_before_its_first_event(
    form: str, tmp_path: Path
) -> None:
    engine, untrue = UNTRUE_RESPONSES[form]

    async def states_too_much(request: ReceivedRequest) -> None:
        await request.send(untrue)
        await request.wait_until_closed()

    async with Platform(tmp_path, {"r": "prefill", "s": "prefill", "w": "decode", "v": "decode"}).open() as (
        platform
    ):
        for name in {"r": "rs", "w": "wv"}[engine]:
            platform.engines[name].scripts = [states_too_much]
        async with asyncio.timeout(MAX_RETRY_TIME):
            repeated = await platform.send_request(post("q1"))
        assert (repeated.status, repeated.complete, repeated.body) == (200, True, b"".join(EVENTS))
        assert len(platform.attempts("q1")) > 2
        if engine == "w":
            for name in "wv":
                platform.engines[name].scripts = [states_too_much]
            assert (await platform.send_request(post("q2", "book"))).status == 500
            assert len(platform.attempts("q2", "decode")) == 1


# The status of a response that is no success counts, whatever size it states.
async def test_a_declined_attempt_that_states_a_huge_body_was_not_executed(tmp_path: Path) -> None:
    async def declines(request: ReceivedRequest) -> None:
        await request.send(http_response(503, b"", DECLINED).replace(b"Length: 0", b"Length: 3000000000"))
        await request.wait_until_closed()

    async with Platform(tmp_path, {"r": "prefill", "w": "decode", "v": "decode"}).open() as platform:
        for name in "wv":
            platform.engines[name].scripts = [declines]
        response = await platform.send_request(post("q1", "book"))
    # A class that must not run twice is sent on, as nothing has run.
    assert (response.status, response.complete) == (200, True)


def packed(size: int) -> bytes:
    """Return events of this size in bytes."""
    count = size // len(TEXT_EVENT) - 1
    rest = size - count * len(TEXT_EVENT)
    return TEXT_EVENT * count + TEXT_EVENT.replace(b"oq", b"o" * (2 + rest - len(TEXT_EVENT)))


# Sound streams whose chunks hold as much as the platform's page allows.
LARGE_CHUNKS = {
    "one chunk of the largest body": chunked(packed(MAX_BODY_BYTES)),
    "leading zeros and an extension": b"0000%x;n=1\r\n" % MAX_BODY_BYTES + packed(MAX_BODY_BYTES) + b"\r\n",
    "all in a chunk": chunked(packed(100_000) + END),
    "chunks that are a whole body together": chunked(packed(MAX_BODY_BYTES // 2)) * 2,
}


@pytest.mark.parametrize("form", LARGE_CHUNKS)
@pytest.mark.parametrize("piece_bytes", [MAX_BODY_BYTES * 2, 10_000])
async def test_a_chunk_that_packs_many_events_and_fits_is_forwarded(
    form: str, piece_bytes: int, tmp_path: Path
) -> None:
    body = LARGE_CHUNKS[form]

    async def sends_large_chunks(request: ReceivedRequest) -> None:
        data = STREAM_HEAD + body + (chunked(END) if END not in body else b"") + LAST_CHUNK
        for start in range(0, len(data), piece_bytes):
            await request.send(data[start : start + piece_bytes])
            await asyncio.sleep(0.01)

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [sends_large_chunks]
        response = await platform.send_request(post("q1", req_extra="prompt_len=40,max_out=8000"))
    assert response.complete
    assert response.body.endswith(END)


LEFTOVER = b": nothing more\n\n"  # a comment, which a sound engine may send behind the final event


def ends_within_a_chunk(rest_after: float | None, last_chunk_after: float = 0.0) -> Script:
    """Return a script whose final event comes within a chunk.

    Args:
        rest_after: The seconds after which the rest of the chunk follows; None if it does not.
        last_chunk_after: The seconds after that until the last chunk.
    """

    async def script(request: ReceivedRequest) -> None:
        count = 30
        size = len(TEXT_EVENT) * count + len(END + LEFTOVER) + (0 if rest_after is not None else 10_000)
        await request.send(STREAM_HEAD + b"%x\r\n" % size)
        for _ in range(count):
            await request.send(TEXT_EVENT)
            await asyncio.sleep(EVENT_INTERVAL)
        await request.send(END + (LEFTOVER[:2] if rest_after is not None else b""))
        if rest_after is None:
            await request.wait_until_closed()
        else:
            await asyncio.sleep(rest_after)
            await request.send(LEFTOVER[2:] + b"\r\n")
            await asyncio.sleep(last_chunk_after)
            await request.send(LAST_CHUNK)

    return script


# The end within a chunk that was never complete began a second wait: the client waited for 4.95 s after it.
async def test_a_stream_that_has_ended_within_a_chunk_is_not_waited_for_twice(tmp_path: Path) -> None:
    loop = asyncio.get_running_loop()
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [ends_within_a_chunk(None)]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        spoilt_at = loop.time()
        response = await client.read_body(response)
        assert loop.time() - spoilt_at < MAX_SPOILT_TIME
        await platform.wait_for_log_event("attempt_ended")
        assert attempt_ended(platform)["awaited"] == "stated_bytes_after_end"
    assert response.body.endswith(END)
    assert not response.complete


@pytest.mark.parametrize(("rest_after", "last_chunk_after"), [(0.0, 0.0), (0.8, 0.0), (0.8, 3.0)])
async def test_a_stream_whose_last_chunks_come_late_is_forwarded_to_its_end(
    rest_after: float, last_chunk_after: float, tmp_path: Path
) -> None:
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [ends_within_a_chunk(rest_after, last_chunk_after)]
        response = await platform.send_request(post("q1"))
    assert response.complete
    assert response.body.endswith(END + LEFTOVER)


LARGE_EVENT = TEXT_EVENT.replace(b"oq", b"o" * 40_000)


def writes_event(
    duration: float,
    written_share: float = 1.0,
    chunk_bytes: int = MAX_BODY_BYTES,
    event: bytes = LARGE_EVENT,
) -> Script:
    """Return a script that writes one large event evenly.

    Args:
        duration: The seconds that the whole event would take.
        written_share: The share of the event that is written before the engine stops.
        chunk_bytes: The largest size of a chunk; the event is one chunk if it fits.
        event: The event.
    """

    async def script(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(TEXT_EVENT))
        chunks = (chunked(event[start : start + chunk_bytes]) for start in range(0, len(event), chunk_bytes))
        data = b"".join(chunks)
        piece_count = int(duration / EVENT_INTERVAL)
        piece_bytes = len(data) // piece_count + 1
        closed = asyncio.ensure_future(request.wait_until_closed())
        for start in range(0, int(len(data) * written_share), piece_bytes):
            if not closed.done():
                await request.send(data[start : start + piece_bytes])
                await asyncio.wait([closed], timeout=EVENT_INTERVAL)
        if written_share < 1.0 or closed.done():
            await closed
            return
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        await request.send(chunked(END) + LAST_CHUNK)

    return script


# Streams were cut 4.95 s after an event while the bytes of the next one still came.
@pytest.mark.parametrize("duration", [4.0, 8.0, 12.0])
async def test_a_large_event_that_is_written_slowly_in_one_chunk_is_forwarded(
    duration: float, tmp_path: Path
) -> None:
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [writes_event(duration)]
        response = await platform.send_request(post("q1"))
    assert response.complete
    assert response.body == TEXT_EVENT + LARGE_EVENT + END


# How an event is written that will not be complete in time, and the seconds after which its stream ends: the
# page's 5 s, or a second after the engine has stopped where it was on pace until then.
HOPELESS_EVENTS = {
    "too slowly": (writes_event(60.0), 5.05),
    "in chunks that state nothing of it": (writes_event(8.0, chunk_bytes=100), 5.05),
    "noise in one chunk": (writes_event(8.0, event=b"x" * 40_000), 5.05),
    "noise as data in one chunk": (writes_event(8.0, event=b"data: " + b"x" * 40_000), 5.05),
    "stops early": (writes_event(8.0, written_share=0.3), 5.05),
    "stops late": (writes_event(8.0, written_share=0.75), 6.0 + 1.2),
}


async def test_an_event_that_cannot_be_complete_in_time_ends_its_stream(tmp_path: Path) -> None:
    async def seconds_until_end(platform: Platform, name: str) -> float:
        loop, client = asyncio.get_running_loop(), await platform.client()
        client.send(post(name, req_key="one"))
        response = await client.read_head()
        started = loop.time()
        assert not (await client.read_body(response)).complete
        return loop.time() - started

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        waits = []
        for name, (script, _) in HOPELESS_EVENTS.items():
            platform.engines["w"].scripts = [script]
            waits.append(asyncio.ensure_future(seconds_until_end(platform, name.replace(" ", "-"))))
            await platform.wait_until(lambda: not platform.engines["w"].scripts)
        ended = await asyncio.gather(*waits)
    late = [
        (name, seconds)
        for (name, (_, limit)), seconds in zip(HOPELESS_EVENTS.items(), ended, strict=True)
        if seconds > limit
    ]
    assert not late


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
