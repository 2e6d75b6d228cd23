"""Engines that read large requests slowly: the requests still get their final answers in time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from tests.fault_proxy import HOST
from tests.node_platform.client import post
from tests.node_platform.http_messages import COMPLETE_STREAM, PREFILL_RESPONSE
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
BODY = b'{"a":"' + b"a" * 250_000 + b'"}'
READ_BYTES = 1_500  # of each read of the slow engine, which makes 15 kB a second
READ_INTERVAL = 0.1  # seconds between two of its reads
RECEIVE_BUFFER_BYTES = 4_096
FASTER_READ_BYTES = 9_000  # of an engine that has read a body after 2.8 s
DEADLINE = 1.0  # seconds
LATE_ALLOWED = 0.55  # seconds for an answer after its time, by the platform's page, with its slack


@asynccontextmanager
async def slow_engine(read_bytes: int = READ_BYTES, response: bytes = b"") -> AsyncIterator[int]:
    """Run an engine that reads slowly; yield its port.

    Args:
        read_bytes: The number of bytes that it reads at once.
        response: What it sends when it has read a whole request; empty if it never answers.
    """

    async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received = b""
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(read_bytes):
                received += data
                if response and received.endswith(BODY):
                    writer.write(response)
                    received = b""
                await asyncio.sleep(READ_INTERVAL)
        writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind((HOST, 0))
    server = await asyncio.start_server(read_slowly, sock=listener, limit=read_bytes)
    try:
        yield listener.getsockname()[1]
    finally:
        server.close()


# The final answer of a request whose engine reads slowly was reported to come seconds after its time.
@pytest.mark.parametrize("role", ["r", "w"])
@pytest.mark.parametrize("kind", ["ask", "book"])
async def test_a_request_that_its_engine_reads_slowly_gets_its_answer_in_time(
    role: str, kind: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, {"r": "prefill", "w": "decode"})
    async with slow_engine() as port:
        platform.engines[role].announced_port = port
        async with platform.open():
            async with asyncio.timeout(DEADLINE + LATE_ALLOWED):
                responses = await asyncio.gather(
                    *(
                        platform.send_request(post(f"q{index}", kind, BODY, req_deadline="1000m"))
                        for index in range(20)
                    )
                )
    assert {response.status for response in responses} <= {500, 503}


# The deadline is told before the body is sent, and is too old once a slow engine has read the body: 503.
@pytest.mark.parametrize("role", ["r", "w"])
async def test_a_large_request_with_time_left_is_served_by_an_engine_that_reads_it_slowly(
    role: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, {"r": "prefill", "w": "decode"})
    response = PREFILL_RESPONSE if role == "r" else COMPLETE_STREAM
    async with slow_engine(FASTER_READ_BYTES, response) as port:
        platform.engines[role].announced_port = port
        async with platform.open():
            served = await platform.send_request(post("q0", "ask", BODY, req_deadline="6000m"))
    assert (served.status, served.complete) == (200, True)
