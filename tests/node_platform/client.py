"""A raw client of a node, which sends requests as bytes on one connection and parses the responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.node_platform.http_messages import WAIT_TIMEOUT, parse_headers

BODY = b'{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hi"}]}'


def post(name: str, kind: str = "ask", body: bytes = BODY, **fields: str | None) -> bytes:
    """Return a request as bytes; `fields` replace default header fields, None leaves one out."""
    headers: dict[str, str | None] = {
        "host": "origin.svc",
        "req-id": name,
        "req-kind": kind,
        "req-owner": "one",
        "req-key": f"k{name}",
        "req-deadline": "4000m",
        "req-extra": "prefix=5c0f,prompt_len=40,prefix_len=8,max_out=40",
        "content-length": str(len(body)),
    }
    headers |= {key.replace("_", "-"): value for key, value in fields.items()}
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items() if value is not None)
    return f"POST /v1/chat/completions?v=1 HTTP/1.1\r\n{lines}\r\n".encode() + body


def post_chunks(name: str, chunks: bytes, kind: str = "ask") -> bytes:
    """Return a request whose body consists of chunks, given as they are sent."""
    return post(name, kind, chunks, content_length=None, transfer_encoding="chunked")


@dataclass
class Response:
    """The part of a response that has been read."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool  # whether the body ended as its head announced


class Client:
    """A raw client connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        """Write bytes to the connection, without waiting for them to be sent."""
        self.writer.write(data)

    async def read_head(self) -> Response:
        """Read a response's status and headers."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        return Response(int(lines[0].split(" ")[1]), parse_headers(lines[1:-2]), b"", False)

    async def read_chunk(self) -> bytes:
        """Return the data of the next chunk; it is empty for the last chunk."""
        # Not asyncio.wait_for(): in Python 3.11 it drops a cancellation if data arrives at the same time.
        async with asyncio.timeout(WAIT_TIMEOUT):
            size = int(await self.reader.readuntil(b"\r\n"), 16)
        async with asyncio.timeout(WAIT_TIMEOUT):
            data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def read_body(self, response: Response) -> Response:
        """Read the rest of the body, up to its end or to the close of the connection."""
        try:
            if "transfer-encoding" in response.headers:
                while data := await self.read_chunk():
                    response.body += data
            else:
                length = int(response.headers.get("content-length", "0"))
                async with asyncio.timeout(WAIT_TIMEOUT):
                    response.body = await self.reader.readexactly(length)
            response.complete = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        return response

    async def read_response(self) -> Response:
        """Read a response, head and body."""
        return await self.read_body(await self.read_head())

    async def read_to_close(self) -> bytes:
        """Return all bytes received until the node closes the connection; none if it resets it."""
        try:
            async with asyncio.timeout(WAIT_TIMEOUT):
                return await self.reader.read()
        except ConnectionError:
            return b""

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()
