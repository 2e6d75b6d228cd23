"""Well-formed and malformed engine streams, as a node forwards them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from runspool.limits.answer_progress import MAX_TEXTS_PER_TOKEN
from tests.node_platform.client import BODY, post
from tests.node_platform.engine import Script
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    EVENTS,
    FORWARDED_AFTER,
    LAST_CHUNK,
    MAX_BODY_BYTES,
    STREAM_HEAD,
    STREAM_REMAINDER,
    UNTRUE_SIZE_LINE,
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


# What an engine sends after the first event, what it then repeats, and the seconds between two pieces.
DRIBBLED_REMAINDERS = {
    "3 GB at the pace of events": (UNTRUE_SIZE_LINE, b"x" * 40, 0.1),
    "3 GB, a byte a second": (UNTRUE_SIZE_LINE, b"x", 1.0),
    "half an event in chunks": (b"", chunked(b"x"), 0.1),
    "comments": (b"", chunked(b": still here\n\n"), 0.1),
    "blank lines": (b"", chunked(b"\n\n"), 0.1),
    "other fields": (b"", chunked(b"id: 1\n\n"), 0.1),
    "repeated final event": (b"", chunked(b"data: [DONE]\n\n"), 0.1),
    "events after the final one": (chunked(b"data: [DONE]\n\n"), chunked(EVENTS[0]), 0.1),
    "extension": (b"5;a=", b"x" * 40, 0.1),
    "trailer section": (b"0\r\nA: ", b"x" * 40, 0.1),
}
FLOOD_EVENTS = 1_000  # events that an engine sends at once without end
MAX_WAIT_AFTER_EVENT = 5.05  # seconds for which a client may wait after an event, by the platform's page


OPENING = STREAM_HEAD + chunked(EVENTS[0])  # of a stream that is sound up to here


def dribbles(beginning: bytes, piece: bytes, interval: float = 0.1, opening: bytes = b"") -> Script:
    """Return a script that repeats a piece after a beginning until the node closes the connection.

    An opening is sent before. It reaches the client before a size that cannot be true reaches the node, which
    would otherwise make another attempt.
    """

    async def script(request: ReceivedRequest) -> None:
        await request.send(opening)
        if opening and beginning.startswith(UNTRUE_SIZE_LINE):
            await asyncio.sleep(FORWARDED_AFTER)
        await request.send(beginning)
        closed = asyncio.ensure_future(request.wait_until_closed())
        while not closed.done():
            await request.send(piece)
            await asyncio.wait([closed], timeout=interval)

    return script


# Any bytes counted as progress: clients waited for minutes for the end of a broken stream (review/3).
async def test_a_stream_that_goes_on_without_events_ends_within_5_s(tmp_path: Path) -> None:
    async def seconds_until_end(platform: Platform, name: str) -> float:
        loop, client = asyncio.get_running_loop(), await platform.client()
        client.send(post(name, req_key="one"))
        response = await client.read_head()
        assert (await client.read_chunk()).startswith(EVENTS[0])
        started = loop.time()
        assert not (await client.read_body(response)).complete
        return loop.time() - started

    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open():
        platform.engines["w"].scripts = [
            dribbles(beginning, piece, interval, OPENING)
            for beginning, piece, interval in DRIBBLED_REMAINDERS.values()
        ]
        waits = await asyncio.gather(
            *(seconds_until_end(platform, f"q{index}") for index in range(len(DRIBBLED_REMAINDERS)))
        )
    assert len(waits) == len(DRIBBLED_REMAINDERS)
    assert max(waits) <= MAX_WAIT_AFTER_EVENT


# Valid events that bring the client nothing of its answer: what precedes them, and what is repeated.
EMPTY_DELTA = EVENTS[0].replace(b'{"content":"oq"}', b"{}")
USAGE = EVENTS[2]
FRUITLESS_REMAINDERS = {
    "empty delta": (b"", chunked(EMPTY_DELTA)),
    "empty content": (b"", chunked(EVENTS[0].replace(b"oq", b""))),
    "role alone": (b"", chunked(EVENTS[0].replace(b"content", b"role"))),
    "empty parts": (b"", chunked(EVENTS[0].replace(b'"oq"', b'null,"tool_calls":[],"refusal":""'))),
    "no delta": (b"", chunked(EVENTS[0].replace(b'{"content":"oq"}', b"null"))),
    "no choices": (b"", chunked(b'data: {"choices":[]}\n\n')),
    "no choices in an endless chunk": (UNTRUE_SIZE_LINE, b'data: {"choices":[]}\n\n'),
    "repeated usage": (chunked(EVENTS[1]), chunked(USAGE)),
    "repeated usage with an empty delta": (chunked(USAGE), chunked(USAGE.replace(b"[]", b'[{"delta":{}}]'))),
    "repeated finish reason": (b"", chunked(EVENTS[1])),
    "texts after the finish reason": (chunked(EVENTS[1]), chunked(EVENTS[0])),
}


# Any valid event counted as progress: clients waited for ever for the end of an answer that did not go on.
async def test_a_stream_whose_events_bring_nothing_new_ends_within_5_s(tmp_path: Path) -> None:
    async def wait_for_end(platform: Platform, name: str) -> bool:
        client = await platform.client()
        client.send(post(name, req_extra="prompt_len=40,max_out=800", req_key="one"))
        response = await client.read_head()
        await client.read_chunk()
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_AFTER_EVENT):
                return not (await client.read_body(response)).complete
        return False

    forms = FRUITLESS_REMAINDERS.values()
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [
            dribbles(beginning, piece, 0.2, OPENING) for beginning, piece in forms
        ]
        ended = await asyncio.gather(*(wait_for_end(platform, f"q{index}") for index in range(len(forms))))
    assert all(ended), ended


# The time in which a client took what brings nothing was left out of its wait: a flood prolonged it.
@pytest.mark.parametrize("flood", [b'data: {"choices":[]}\n\n', b": x\n\n"])
async def test_a_flood_that_brings_nothing_ends_within_5_s(flood: bytes, tmp_path: Path) -> None:
    async def floods(request: ReceivedRequest) -> None:
        await request.send(OPENING)
        closed = asyncio.ensure_future(request.wait_until_closed())
        while not closed.done():
            request.writer.write(chunked(flood) * FLOOD_EVENTS)
            await asyncio.wait([closed, asyncio.ensure_future(request.writer.drain())], timeout=0.1)

    loop = asyncio.get_running_loop()
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [floods]
        client = await platform.client()
        client.send(post("q1", req_extra="prompt_len=40,max_out=800"))
        response = await client.read_head()
        await client.read_chunk()
        started = loop.time()
        assert not (await client.read_body(response)).complete
        assert loop.time() - started <= MAX_WAIT_AFTER_EVENT


# An engine that never ends: beyond four texts for each token of the request and the largest size of a body.
async def test_a_stream_that_goes_on_beyond_its_request_and_a_body_ends_within_5_s_of_that(
    tmp_path: Path,
) -> None:
    max_tokens, interval = 4, 0.1
    large_event = EVENTS[0].replace(b"oq", b"o" * 15_000)
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [dribbles(STREAM_HEAD, chunked(large_event), interval)]
        client = await platform.client()
        client.send(post("q1", req_extra=f"prompt_len=40,max_out={max_tokens}"))
        response = await client.read_head()
        body = b""
        while len(body) + len(large_event) <= MAX_BODY_BYTES:
            body += await client.read_chunk()
        assert body.count(b"data:") > max_tokens * MAX_TEXTS_PER_TOKEN
        async with asyncio.timeout(MAX_WAIT_AFTER_EVENT):
            assert not (await client.read_body(response)).complete


# A stream of 400 texts to a request of 60 tokens was cut off after 240 while its engine went on.
async def test_a_stream_with_more_texts_than_its_request_asked_for_is_forwarded_to_its_end(
    tmp_path: Path,
) -> None:
    max_tokens, texts, interval = 2, 100, 0.1

    async def says_more(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for _ in range(texts):
            await request.send(chunked(EVENTS[0]))
            await asyncio.sleep(interval)
        await request.send(STREAM_REMAINDER)

    assert texts > max_tokens * MAX_TEXTS_PER_TOKEN + MAX_WAIT_AFTER_EVENT / interval
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [says_more]
        response = await platform.send_request(post("q1", req_extra=f"prompt_len=40,max_out={max_tokens}"))
    assert response.complete
    assert response.body.count(EVENTS[0]) == texts


def _delta(fields: bytes, rest: bytes = b"") -> bytes:
    return b'data: {"choices":[{"index":0,"delta":{%b},"finish_reason":null}]%b}\n\n' % (fields, rest)


# Events that are each a part of the answer, although they are the same as the ones before them.
REPEATED_PARTS = {
    "content": [_delta(b'"content":"--- | "')],
    "blank content": [_delta(b'"content":"\\n"')],
    "refusal": [_delta(b'"refusal":"no"')],
    "reasoning": [_delta(b'"reasoning":"hm"')],
    "reasoning_content": [_delta(b'"reasoning_content":"hm"')],
    "tool_calls": [_delta(b'"tool_calls":[{"index":0,"function":{"arguments":" "}}]')],
    "function_call": [_delta(b'"function_call":{"arguments":" "}')],
    "audio": [_delta(b'"audio":{"data":"AAAA"}')],
    "a part of another name": [_delta(b'"content":null,"images":["AAAA"]')],
    "content and usage": [_delta(b'"content":"0"', b',"usage":{"prompt_tokens":40,"completion_tokens":2}')],
    "empty finish reason": [_delta(b'"content":"0"').replace(b"null", b'""')],
    "two choices in turn": [_delta(b'"content":"0"'), _delta(b'"content":"0"').replace(b":0,", b":1,")],
    "one choice finished": [EVENTS[1].replace(b":0,", b":1,"), *[_delta(b'"content":"0"')] * 23],
}
REPEATED_FOR = 24  # number of events
REPEATED_INTERVAL = 0.24  # seconds between two events; the whole takes longer than a client waits for one


# Streams were cut off 4.95 s after the first of several events with the same text (review/9).
async def test_a_stream_that_says_the_same_again_and_again_is_forwarded_to_its_end(tmp_path: Path) -> None:
    def says(events: list[bytes]) -> Script:
        async def script(request: ReceivedRequest) -> None:
            await request.send(STREAM_HEAD)
            for number in range(REPEATED_FOR):
                await request.send(chunked(events[number % len(events)]))
                await asyncio.sleep(REPEATED_INTERVAL)
            await request.send(STREAM_REMAINDER)

        return script

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [says(events) for events in REPEATED_PARTS.values()]
        responses = await asyncio.gather(
            *(platform.send_request(post(f"q{index}", req_key="one")) for index in range(len(REPEATED_PARTS)))
        )
    assert all(response.complete for response in responses), responses
    sent = {
        b"".join(events[number % len(events)] for number in range(REPEATED_FOR)) + b"".join(EVENTS[1:])
        for events in REPEATED_PARTS.values()
    }
    assert {response.body for response in responses} == sent


# A stream that said the same three times and then stopped was ended 1.95 s after its last event.
async def test_a_stream_that_stops_behind_repeated_events_is_left_its_5_s(tmp_path: Path) -> None:
    async def pauses(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for _ in range(3):
            await request.send(chunked(EVENTS[0]))
            await asyncio.sleep(1.0)
        await asyncio.sleep(3.8)
        await request.send(STREAM_REMAINDER)

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [pauses]
        response = await platform.send_request(post("q1"))
    assert (response.complete, response.body) == (True, EVENTS[0] * 2 + b"".join(EVENTS))


# With 8 choices of 5 tokens, an answer of 40 texts is whole: each choice may have what the request asked for.
async def test_an_answer_of_many_choices_is_forwarded_to_its_end(tmp_path: Path) -> None:
    choices, tokens = 8, 5

    async def answers(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for number in range(choices * tokens):
            index = b":%d," % (number % choices)
            await request.send(chunked(EVENTS[0].replace(b":0,", index)))
            await asyncio.sleep(0.26)
        await request.send(STREAM_REMAINDER)

    body = BODY.replace(b"{", b'{"n":%d,' % choices, 1)
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [answers]
        response = await platform.send_request(
            post("q1", body=body, req_extra=f"prompt_len=40,max_out={tokens}")
        )
    assert response.complete


# A stream was cut 4.1 s after its last event, but its client waits for 5 s.
async def test_a_stream_whose_events_come_nearly_5_s_apart_is_forwarded_to_its_end(tmp_path: Path) -> None:
    async def sends_slowly(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for event in EVENTS:
            await request.send(chunked(event))
            await asyncio.sleep(4.8)
        await request.send(LAST_CHUNK)

    async def sends_one_event_slowly(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        pieces = [EVENTS[1][start : start + 10] for start in range(0, len(EVENTS[1]), 10)]
        for piece in pieces:
            await asyncio.sleep(4.8 / len(pieces))
            await request.send(chunked(piece))
        await request.send(b"".join(map(chunked, EVENTS[2:])) + LAST_CHUNK)

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [sends_slowly, sends_one_event_slowly]
        responses = await asyncio.gather(*(platform.send_request(post(name)) for name in ("q1", "q2")))
    assert [response.body for response in responses] == [b"".join(EVENTS)] * 2
    assert all(response.complete for response in responses)


# A response without its first event, which goes on at the pace of events: what it begins with and repeats.
DRIBBLED_BEGINNINGS = {
    "head": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 40),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk": (STREAM_HEAD + b"c0000000\r\n", b"x" * 40),
    "blank lines": (STREAM_HEAD, chunked(b"\n")),
    "error": (b"HTTP/1.1 500 No\r\nContent-Length: 999999\r\n\r\n", b"x" * 40),
}
REQUEST_TIME = 1.0  # seconds
LATE_ALLOWED = 0.55  # seconds for an answer after its time, by the platform's page, with its slack


@pytest.mark.parametrize("role", ["r", "w"])
async def test_a_response_that_goes_on_without_its_first_event_leaves_the_request_its_answer(
    role: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open():
        platform.engines[role].scripts = [dribbles(*form) for form in DRIBBLED_BEGINNINGS.values()]
        async with asyncio.timeout(REQUEST_TIME + LATE_ALLOWED):
            responses = await asyncio.gather(
                *(
                    platform.send_request(post(f"q{index}", "book", req_deadline="1000m", req_key="one"))
                    for index in range(len(DRIBBLED_BEGINNINGS))
                )
            )
    assert {response.status for response in responses} <= {200, 500, 503}


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
