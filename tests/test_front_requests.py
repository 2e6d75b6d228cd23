"""Requests to a real front on sockets: served, rejected, pipelined or incomplete."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import anyio
import msgspec
import pytest

from tests.small_fleet import SmallFleet, receive_response

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = ["prefill", "decode"]
REQUEST_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: ask\r\nRunspool-Limit-Ms: 5000\r\n"
)


async def test_a_response_is_streamed_or_sent_whole(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        streamed = await fleet.send_request(output_tokens=7)
        assert (streamed.status, streamed.text.split()) == (200, [f"t{at}" for at in range(1, 8)])
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        complete = await fleet.send_request(output_tokens=7, stream=False)
        completion = msgspec.json.decode(complete.body)
        assert completion["choices"][0]["text"] == streamed.text
        assert completion["usage"]["prompt_tokens"] == 50
        # Each state is held by the prefill engine and fetched by the decode engine, so that none is left.
        assert len(fleet.recorded_events("held")) == len(fleet.recorded_events("taken", by="e1")) == 2


async def test_invalid_requests_are_rejected_before_admission(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE, query_bytes=2000).open() as fleet:
        rejected = [
            (await fleet.send_request("none"), 400, "runspool-tariff"),
            (await fleet.send_request(body=b"{"), 400, "body"),
            (await fleet.send_request(body=b"{}"), 400, "prompt"),
            (await fleet.send_request(body=b'{"prompt": 7}'), 400, "prompt"),
            (await fleet.send_request(body=b'{"prompt": "x", "max_tokens": 0}'), 400, "max_tokens"),
            (await fleet.send_request(body=b'{"prompt": "x", "stream": 3}'), 400, "stream"),
            (await fleet.send_request(runspool_limit_ms="soon"), 400, "runspool-limit-ms"),
            (await fleet.send_request(runspool_limit_ms="-5"), 400, "runspool-limit-ms"),
            (await fleet.send_request(runspool_tenant="nobody"), 400, "runspool-tenant"),
            (await fleet.send_request("mark"), 400, "runspool-ticket"),
            (await fleet.send_request(runspool_session="s" * 300), 400, "runspool-session"),
            (await fleet.send_request(prompt_tokens=900), 413, "query_bytes"),
            (await fleet.send_raw(b"NONSENSE\r\n\r\n"), 400, "malformed"),
            (
                await fleet.send_raw(b"GET /healthz HTTP/1.1\r\n\r\n"),
                400,
                "malformed",
            ),  # without a host header
            (
                await fleet.send_raw(
                    b"GET /healthz HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: a\r\nRunspool-Tariff: b\r\n\r\n"
                ),
                400,
                "malformed",
            ),
            (
                await fleet.send_raw(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                ),
                400,
                "malformed",
            ),
            (
                await fleet.send_raw(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                    b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\n0\r\n\r\n"
                ),
                413,
                "query_bytes",
            ),
            (
                await fleet.send_raw(
                    b"GET /healthz HTTP/1.1\r\nHost: x\r\n"
                    + b"".join(b"A%d: b\r\n" % at for at in range(101))
                    + b"\r\n"
                ),
                431,
                "malformed",
            ),
            (await fleet.send_raw(b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 40_000), 431, "malformed"),
            (await fleet.send_raw(b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n"), 404, "path"),
        ]
        for response, status, code in rejected:
            assert (response.status, response.error["code"]) == (status, code)
        assert fleet.front_server.front.counts["accepted"] == 0
        assert not fleet.recorded_events("arrived")


async def test_an_incomplete_body_and_an_incomplete_head_are_rejected(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE, body_ms=100, head_ms=100).open() as fleet:
        partial = await fleet.send_raw(REQUEST_HEAD + b"Content-Length: 500\r\n\r\n{")
        assert (partial.status, partial.error["code"]) == (408, "body_time")
        incomplete_head = await fleet.send_raw(REQUEST_HEAD)
        assert (incomplete_head.status, incomplete_head.error["code"]) == (408, "head_time")


async def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        request = b"GET %b HTTP/1.1\r\nHost: x\r\n%b\r\n"
        async with await anyio.connect_tcp("127.0.0.1", fleet.port) as stream:
            await stream.send(
                request % (b"/healthz", b"")
                + request % (b"/nowhere", b"")
                + request % (b"/healthz", b"Connection: close\r\n")
                + request % (b"/healthz", b"")
            )
            received = bytearray()
            with anyio.fail_after(10), suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
        assert [int(part[:3]) for part in bytes(received).split(b"HTTP/1.1 ")[1:]] == [200, 404, 200]


async def test_a_client_that_ends_its_request_early_gets_an_error(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        for raw in (
            b"POST /v1/completions HT",
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
        ):
            async with await anyio.connect_tcp("127.0.0.1", fleet.port) as stream:
                await stream.send(raw)
                await stream.send_eof()
                response = await receive_response(stream)
            assert (response.status, response.error["code"]) == (400, "malformed")
        assert fleet.front_server.front.counts["accepted"] == 0


async def test_without_any_engine_a_request_is_rejected_in_time(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        fleet.publish_state(0, "gone")
        fleet.publish_state(1, "gone")
        while any(
            engine.ready for engine in fleet.front_server.front.first_driver.scheduler.engines.values()
        ):
            await anyio.sleep(0.005)
        response = await fleet.send_request(runspool_limit_ms="500")
        assert (response.status, response.error["type"]) == (503, "dismissed")
        assert response.headers["x-should-retry"] == "true"


async def test_a_response_that_misses_its_deadline_fails_at_the_deadline(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        started = anyio.current_time()
        response = await fleet.send_request(output_tokens=400, stream=False, runspool_limit_ms="700")
        assert (response.status, response.error["code"]) == (424, "out_of_time")
        assert anyio.current_time() - started < 0.75
        await fleet.wait_for_events("ended", how="left")


async def test_a_front_beyond_its_limits_rejects_requests_and_connections(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE, queries=1, connections=3).open() as fleet:
        fleet.engines[0].set_fault("hang", on=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.send_request)
            while not fleet.front_server.front.requests:
                await anyio.sleep(0.005)
            rejected_response = await fleet.send_request()
            assert (rejected_response.status, rejected_response.error["code"]) == (503, "front_full")
            idle = [await anyio.connect_tcp("127.0.0.1", fleet.port) for _ in range(2)]
            while fleet.front_server.open_connections < 3:
                await anyio.sleep(0.005)
            async with await anyio.connect_tcp("127.0.0.1", fleet.port) as stream:
                excess = await receive_response(stream)
            assert (excess.status, excess.error["code"]) == (503, "connections_full")
            for stream in idle:
                await stream.aclose()
            fleet.engines[0].set_fault("hang", on=False)
