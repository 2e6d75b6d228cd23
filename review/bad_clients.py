"""Bad clients in a process of their own: each sends hundreds of requests at once, and the same again.

Arguments: the port, the number of clients, the requests at once, and the seconds until the end.
"""

from __future__ import annotations

import asyncio
import sys
import time

REQUEST = b"GET /catalog HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 "
READ_BYTES = 1 << 18
PAUSE = 0.05  # seconds before a client connects again


async def send_bursts(port: int, at_once: int, until: float) -> int:
    """Send requests to a path that does not exist, read the answers, and begin again; return the answers."""
    answered = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=READ_BYTES)
        except OSError:
            await asyncio.sleep(PAUSE)
            continue
        try:
            while time.monotonic() < until:
                writer.write(REQUEST * at_once)
                missing = at_once
                while missing > 0:
                    data = await reader.read(READ_BYTES)
                    if not data:
                        raise ConnectionResetError
                    count = data.count(STATUS_LINE)
                    missing -= count
                    answered += count
        except ConnectionError:
            await asyncio.sleep(PAUSE)
        finally:
            writer.close()
    return answered


async def main() -> None:
    """Run the clients and print how many requests were answered."""
    port, clients, at_once = (int(text) for text in sys.argv[1:4])
    until = time.monotonic() + float(sys.argv[4])
    counts = await asyncio.gather(*(send_bursts(port, at_once, until) for _ in range(clients)))
    print(sum(counts))


asyncio.run(main())
