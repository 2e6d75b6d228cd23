"""Clients that send at full speed, in a process of their own: `python -m tests.node_platform.flood ...`.

Arguments: the port of the node, a form, the number of clients and the seconds until the end. A client whose
connection has ended opens a new one. Clients read what they are sent.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from dataclasses import dataclass

from tests.fault_proxy import HOST

PIECE = b"a" * 65_536
MAX_BODY_BYTES = 262_144  # largest body that the platform's protocol allows
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
CLOSE_WAIT = 8.0  # seconds for which a client that has sent everything waits for the end of its connection
PAUSE = 0.01  # seconds before a client connects again
ENDLESS = 60_000_000  # bytes that a client sends at most, by the page of the platform's days


@dataclass(frozen=True)
class Form:
    """What a client sends: the beginning once, then the piece until `total` bytes have been sent."""

    beginning: bytes
    piece: bytes
    total: int = ENDLESS


def _head(fields: bytes) -> bytes:
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: o\r\nReq-Id: flood\r\nReq-Kind: ask\r\n"
        b"Req-Deadline: 4000m\r\n" + fields + b"\r\n\r\n"
    )


_CHUNKED = _head(b"Transfer-Encoding: chunked")
_WITH_LENGTH = _head(b"Content-Length: %d" % MAX_BODY_BYTES)
FORMS = {
    "value of a trailer field": Form(_CHUNKED + b"2\r\n{}\r\n0\r\nX-Note: ", PIECE),
    "chunk extension": Form(_CHUNKED + b"2;note=", PIECE),
    "chunks of data": Form(_CHUNKED, CHUNK),
    "chunks of one byte": Form(_CHUNKED, b"1\r\na\r\n" * 10_000),
    "body that stops before its end": Form(_WITH_LENGTH, PIECE, MAX_BODY_BYTES - 1),
    "requests without a path": Form(b"", b"GET /none HTTP/1.1\r\nHost: o\r\n\r\n" * 900),
    "requests in small chunks": Form(
        b"",
        (
            b"PUT /none HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\na\r\n" * 100
            + b"0\r\n\r\n"
        )
        * 900,
    ),
    "health checks": Form(b"", b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n" * 900),
    "data behind an open request": Form(
        _head(b"Req-Owner: one\r\nReq-Extra: prompt_len=40,max_out=40\r\nContent-Length: 2") + b"{}", PIECE
    ),
}


async def _send(form: Form, writer: asyncio.StreamWriter, reading: asyncio.Task[None], until: float) -> None:
    writer.write(form.beginning)
    sent = 0
    while sent < form.total and not reading.done() and time.monotonic() < until:
        piece = form.piece[: form.total - sent]
        writer.write(piece)
        sent += len(piece)
        await writer.drain()
    await asyncio.wait([reading], timeout=min(CLOSE_WAIT, max(0.0, until - time.monotonic())))


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(ConnectionError):
        while await reader.read(len(PIECE)):
            pass


async def _run_client(port: int, form: Form, until: float) -> None:
    while time.monotonic() < until:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            reading = asyncio.create_task(_discard(reader))
            try:
                await _send(form, writer, reading, until)
            finally:
                reading.cancel()
                writer.transport.abort()
        await asyncio.sleep(PAUSE)


async def main() -> None:
    """Run the clients until the end."""
    port, form, count, seconds = sys.argv[1:5]
    until = time.monotonic() + float(seconds)
    await asyncio.gather(*(_run_client(int(port), FORMS[form], until) for _ in range(int(count))))


if __name__ == "__main__":
    asyncio.run(main())
