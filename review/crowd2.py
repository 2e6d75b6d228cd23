"""Bad clients in a process of their own: each sends one large request at full speed, again in each wave.

Its deadline is no number. Each client reads its answer, and stays connected until the next wave.

Arguments: the port of the node, the number of clients, the bytes of a body, the waves, and the seconds from
one wave to the next.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from contextlib import suppress

HOST = "127.0.0.1"


def large_request(name: str, body_bytes: int) -> bytes:
    """Return a request whose deadline is no number."""
    message = {"role": "user", "content": "x" * body_bytes}
    body = json.dumps({"model": "chat", "messages": [message]}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
        f"Req-Id: {name}\r\nReq-Kind: staff-ask\r\nReq-Owner: stol-razem\r\nReq-Key: k{name}\r\n"
        "Req-Deadline: soon\r\nReq-Extra: prompt_len=40,max_out=60\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def send_and_read(port: int, data: bytes, seconds: float) -> None:
    """Send a request on a new connection, read what is sent, and stay until the time is over."""
    until = time.monotonic() + seconds
    with suppress(OSError), socket.create_connection((HOST, port)) as connection:
        reading = threading.Thread(target=read, args=(connection,), daemon=True)
        reading.start()
        connection.sendall(data)
        time.sleep(max(0.0, until - time.monotonic()))


def read(connection: socket.socket) -> None:
    """Read and discard until the connection ends."""
    with suppress(OSError):
        while connection.recv(65_536):
            pass


def main() -> None:
    """Play the waves."""
    port, clients, body_bytes, waves = map(int, sys.argv[1:5])
    interval = float(sys.argv[5])
    for wave in range(waves):
        began = time.monotonic()
        requests = [large_request(f"b{wave}-{number}", body_bytes) for number in range(clients)]
        threads = [
            threading.Thread(target=send_and_read, args=(port, data, interval - 0.2), daemon=True)
            for data in requests
        ]
        for thread in threads:
            thread.start()
        time.sleep(max(0.0, began + interval - time.monotonic()))


if __name__ == "__main__":
    main()
