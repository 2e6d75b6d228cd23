"""Malformed requests and deeply nested JSON fail without affecting or smuggling other requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.node_platform.client import BODY, post
from tests.node_platform.engine import responds
from tests.node_platform.http_messages import STREAM_HEAD, chunked, http_response
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}


MALFORMED_REQUESTS: dict[str, bytes] = {
    "noise": b"\x16\x03\x01\x00\xff" * 20,
    "endless head": b"GET / HTTP/1.1\r\nA: " + b"x" * 70_000,
    "both lengths": post("h1", transfer_encoding="chunked"),
    "two lengths": post("h1").replace(b"content-length: ", b"content-length: 5\r\ncontent-length: "),
    "negative length": post("h1", content_length="-1"),
    "no number": post("h1", content_length="1e3"),
    "huge length": post("h1", content_length="9" * 30),
    "60 MB": post("h1", content_length="62914560"),
    "other coding": post("h1", content_length=None, transfer_encoding="gzip"),
    "folded": post("h1").replace(b"\r\n\r\n", b"\r\n folded\r\n\r\n", 1),
    "unknown class": post("h1", req_kind="nobody"),
    "no class": post("h1", req_kind=None),
    "unknown owner": post("h1", req_owner="nobody"),
    "no id": post("h1", req_id=None),
    "bad id": post("h1", req_id="a b"),
    "no deadline": post("h1", req_deadline=None),
    "nan": post("h1", req_deadline="nanm"),
    "negative": post("h1", req_deadline="-5m"),
    "no unit": post("h1", req_deadline="500"),
    "huge deadline": post("h1", req_deadline="9" * 12 + "m"),
    "zero": post("h1", req_deadline="0m"),
    "negative prompt": post("h1", req_extra="prompt_len=-4,max_out=4"),
    "huge prompt": post("h1", req_extra="prompt_len=999999999,max_out=4"),
    "nan prompt": post("h1", req_extra="prompt_len=nan,max_out=4"),
    "no pairs": post("h1", req_extra="===,,"),
    "bad cost": post("h1", req_cost="inf"),
    "no json": post("h1", body=b"{oops"),
    "a list": post("h1", body=b"[1]"),
    "twice": post("h1").replace(b"req-kind: ask\r\n", b"req-kind: ask\r\nReq-Kind: ask\r\n"),
    "elsewhere": post("h1").replace(b"/v1/chat", b"/v1/talk"),
    "http 9": post("h1").replace(b"HTTP/1.1", b"HTTP/9.1"),
}


async def test_malformed_requests_get_an_error_and_are_not_forwarded(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        for fault, data in MALFORMED_REQUESTS.items():
            hidden = post("hidden") if b"chunked" in data else b""
            client = await platform.client()
            client.send(data + hidden)
            response = await client.read_head()
            assert 400 <= response.status < 600, fault
            client.close()
        assert (await platform.send_request(post("q1"))).status == 200
        assert {request.headers.get("req-id") for request in platform.received} == {"q1"}


@pytest.mark.parametrize("order", ["length first", "coding first"])
async def test_conflicting_lengths_smuggle_no_second_request_wherever_the_bytes_are_split(
    order: str, tmp_path: Path
) -> None:
    fields = ["content-length: 5", "transfer-encoding: chunked"]
    lines = "\r\n".join(fields if order == "length first" else fields[::-1])
    data = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\n".encode()
        + b"0\r\n\r\n"
        + post("hidden")
    )
    async with Platform(tmp_path, PAIR).open() as platform:
        for split in range(20, 130, 3):
            client = await platform.client()
            client.send(data[:split])
            await asyncio.sleep(0.001)
            client.send(data[split:])
            assert (await client.read_head()).status == 400
            client.close()
        assert platform.received == []


@pytest.mark.parametrize("where", ["body", "event", "prefill"])
async def test_deeply_nested_json_fails_at_most_its_own_request(where: str, tmp_path: Path) -> None:
    deep = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process() as server:
        scripts = {
            "event": ("w", STREAM_HEAD + chunked(b'data: {"choices":' + b"[" * 20_000 + b"\n\n")),
            "prefill": ("r", http_response(202, deep[:30_000])),
        }
        if where in scripts:
            engine, data = scripts[where]
            platform.engines[engine].scripts = [responds(data)]
        response = await platform.send_request(post("q1", "book", body=deep if where == "body" else BODY))
        assert response.status == {"body": 400, "event": 500, "prefill": 200}[where]
        assert (await platform.send_request(post("q2"))).complete
        assert not platform.node_task.done() and not server.executor.requests
