"""HTTP messages that the engines, agents and clients of tests send, and a parser of received requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

WAIT_TIMEOUT = 15.0  # seconds after which a wait of a test fails

EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"vh"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":40,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":8}}}\n\n',
    b"data: [DONE]\n\n",
]
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
MAX_BODY_BYTES = 262_144  # maximum size of a body, by the platform's page
UNTRUE_SIZE_LINE = b"c0000000\r\n"  # of a chunk of 3 GB
FORWARDED_AFTER = 0.3  # seconds after which a node has forwarded an event that it has received
DECLINED = b"Srv-Declined: 1"  # header line of a response to an attempt that was not executed


def chunked(data: bytes) -> bytes:
    """Return one chunk with this data."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def http_response(status: int, body: bytes = b"", *fields: bytes) -> bytes:
    """Return a complete response with these header lines, and a content length unless its status is 204."""
    length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
    headers = b"".join(line + b"\r\n" for line in fields)
    return b"HTTP/1.1 %d X\r\n%b%b\r\n" % (status, length, headers) + body


COMPLETE_STREAM = STREAM_HEAD + b"".join(map(chunked, EVENTS)) + LAST_CHUNK
STREAM_REMAINDER = b"".join(map(chunked, EVENTS[1:])) + LAST_CHUNK  # what follows a stream's first event
PREFILL_RESPONSE = http_response(202, b'{"cached_tokens":8}')


@dataclass
class ReceivedRequest:
    """A request that a peer of the node has received, and the connection on which it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    engine: str = ""
    reader: asyncio.StreamReader = field(default=None, repr=False)  # type: ignore[assignment]
    writer: asyncio.StreamWriter = field(default=None, repr=False)  # type: ignore[assignment]
    stop_listening: Callable[[], None] = field(default=lambda: None, repr=False)  # of the engine

    async def send(self, data: bytes) -> None:
        """Send bytes of the response."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()

    async def wait_until_closed(self) -> None:
        """Wait until the node has closed this connection."""
        with suppress(OSError):
            await asyncio.wait_for(self.reader.read(), WAIT_TIMEOUT)


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return header values by lower-case name."""
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request with its body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = parse_headers(lines[1:-2])
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)
