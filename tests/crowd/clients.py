"""The clients of a crowd: `python -m tests.crowd.clients PORT BEHAVIOUR COUNT SECONDS`.

A client whose connection has ended opens a new one. Those that are not slow readers read what they are sent.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from tests.fault_proxy import HOST
from tests.node_platform.client import post, post_chunks
from tests.node_platform.http_messages import LAST_CHUNK, chunked

BODY_BYTES = 250_000
PIECE_BYTES = 16_384
SLOW_BYTES_PER_SECOND = 120_000
SLOW_INTERVAL = 0.05  # seconds between two pieces of a slow body
SMALL_CHUNK = b"32\r\n" + b"a" * 50 + b"\r\n"
READ_BYTES_PER_SECOND = 2_048
RECEIVE_BUFFER_BYTES = 4_096  # of a slow reader's socket
PAUSE = 0.05  # seconds before a client connects again
ANSWERED_STAY = 2.4  # seconds for which a client stays connected after it has sent a sound request
REFUSED_STAY = 2.2  # seconds for which a client stays connected after its request has been refused
FIELDS = 4_000  # short fields of a head
numbers = itertools.count()

Reading = asyncio.Task[None]
Behaviour = Callable[[asyncio.StreamWriter, Reading], Awaitable[None]]


def _name(kind: str) -> str:
    return f"{kind}{next(numbers)}"


def _large_body() -> bytes:
    return b'{"a":"' + b"a" * (BODY_BYTES - 8) + b'"}'


async def _stay(reading: Reading) -> None:
    await asyncio.wait([reading])


async def stop_within_body(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send two thirds of a large request."""
    writer.write(post(_name("half"), body=_large_body())[: 2 * BODY_BYTES // 3])
    await _stay(reading)


async def write_slowly(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a large request at SLOW_BYTES_PER_SECOND."""
    data = post(_name("slow"), body=_large_body())
    step = int(SLOW_BYTES_PER_SECOND * SLOW_INTERVAL)
    for start in range(0, len(data), step):
        writer.write(data[start : start + step])
        await asyncio.wait([reading], timeout=SLOW_INTERVAL)
        if reading.done():
            return
    await _stay(reading)


async def stop_within_small_chunks(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a large body in small chunks, without its end."""
    writer.write(post_chunks(_name("chunks"), SMALL_CHUNK * (BODY_BYTES // 50)))
    await _stay(reading)


async def send_behind_open_request(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a request on which an engine works for long, and a large part of another one behind it."""
    writer.write(post(_name("held")))
    await asyncio.wait([reading], timeout=0.2)
    writer.write(post(_name("behind"), body=_large_body()))
    await _stay(reading)


async def send_many_fields(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a head of thousands of short fields that does not end."""
    head = post(_name("fields"), body=b"")[:-2]
    writer.write(head + b"".join(b"a%d:b\r\n" % index for index in range(FIELDS))[:30_000])
    await _stay(reading)


async def stop_within_fields(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send as many fields as a head may have, and stop."""
    head = post(_name("few"), body=b"")[:-2]
    writer.write(head + b"".join(b"a%d:%b\r\n" % (index, b"b" * 300) for index in range(90)))
    await _stay(reading)


async def read_slowly(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Ask for a long answer; `reading` reads it slowly."""
    writer.write(post(_name("long"), req_extra="prompt_len=40,max_out=9000"))
    await _stay(reading)


async def read_slowly_after_large_request(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Ask for a long answer with a large request; `reading` reads it slowly."""
    writer.write(post(_name("long"), body=_large_body(), req_extra="prompt_len=40,max_out=9000"))
    await _stay(reading)


async def send_short_deadlines(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send requests with a millisecond left at full speed, each under a new id, session and prefix."""
    while not reading.done():
        for _ in range(50):
            name = _name("short")
            extra = f"prefix=p{name},prompt_len=40,prefix_len=8,max_out=40"
            writer.write(post(name, req_key=f"session{name}", req_deadline="1m", req_extra=extra))
        await writer.drain()
        await asyncio.sleep(0)


async def send_unsound_requests(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send requests at full speed whose class does not exist; the node closes after the first of them."""
    for _ in range(50):
        writer.write(post(_name("unsound"), kind="none"))
    await _stay(reading)


async def stay_after_refusal(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a large unsound request, read the error, and stay; another form of fault each time."""
    number, body = next(numbers), _large_body()
    name = f"refused{number}"
    forms = (
        lambda: post(name, "none", body),
        lambda: post(name, body=body, req_id=None),
        lambda: post(name, body=b"{" + body),
        lambda: post(name, body=body, req_extra="max_out=4,max_out=4"),
        lambda: post(name, body=body, req_deadline="soon"),
        lambda: post_chunks(name, chunked(body) + LAST_CHUNK, "none"),
        lambda: post(name, "none", body) + post(_name("behind"), body=body),
    )
    writer.write(forms[number % len(forms)]())
    await _stay(reading)
    await asyncio.sleep(REFUSED_STAY)


async def stay_after_answer(writer: asyncio.StreamWriter, reading: Reading) -> None:
    """Send a large sound request, read the answer, and stay on the idle connection."""
    writer.write(post(_name("sound"), body=_large_body()))
    await asyncio.wait([reading], timeout=ANSWERED_STAY)


BEHAVIOURS: dict[str, Behaviour] = {
    function.__name__: function
    for function in (
        stop_within_body,
        write_slowly,
        stop_within_small_chunks,
        send_behind_open_request,
        send_many_fields,
        stop_within_fields,
        read_slowly,
        read_slowly_after_large_request,
        send_short_deadlines,
        send_unsound_requests,
        stay_after_refusal,
        stay_after_answer,
    )
}
ALL = "all"  # each client has another behaviour


async def _read(reader: asyncio.StreamReader, is_slow: bool) -> None:
    with suppress(ConnectionError):
        while await reader.read(READ_BYTES_PER_SECOND if is_slow else PIECE_BYTES):
            await asyncio.sleep(1.0 if is_slow else 0)


async def _run_client(port: int, behaviour: Behaviour, until: float) -> None:
    is_slow = behaviour.__name__.startswith("read_slowly")
    while time.monotonic() < until:
        with suppress(OSError):
            connection = socket.socket()
            if is_slow:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.setblocking(False)
            await asyncio.get_running_loop().sock_connect(connection, (HOST, port))
            reader, writer = await asyncio.open_connection(sock=connection, limit=PIECE_BYTES)
            reading = asyncio.create_task(_read(reader, is_slow))
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await behaviour(writer, reading)
            except TimeoutError:
                pass
            finally:
                reading.cancel()
                writer.transport.abort()
        await asyncio.sleep(PAUSE)


async def main() -> None:
    """Run the clients until the end."""
    port, name, count, seconds = sys.argv[1:5]
    until = time.monotonic() + float(seconds)
    chosen = list(BEHAVIOURS.values()) if name == ALL else [BEHAVIOURS[name]]
    await asyncio.gather(
        *(_run_client(int(port), chosen[index % len(chosen)], until) for index in range(int(count)))
    )


if __name__ == "__main__":
    asyncio.run(main())
