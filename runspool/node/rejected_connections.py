"""Rejects clients' connections for which there is no room, so that their clients get to read the response."""

from __future__ import annotations

from contextlib import suppress

import anyio

from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.http_requests import encode_response_head

# Rejected connections that stay open at the same time until their clients have sent all and have closed. Each
# uses one of the reserved file descriptors. Where there are more, those rejected first are closed.
MAX_OPEN_REJECTIONS = 8
OPEN_SECONDS = 0.5  # longest time for which a rejected connection stays open
# Number of bytes after which a client that still sends loses its connection. Most requests are smaller, and
# reading the large bodies of a crowd would take the time of other clients.
MAX_DISCARDED_BYTES = 16_384
REJECTION_RESPONSE = encode_response_head(503, [("Connection", "close"), ("Content-Length", "0")])


class RejectedConnections:
    """Sends rejections, and discards what their clients still send.

    Closing a socket with unread bytes resets the connection, and its client may lose the response. Therefore
    a request that has arrived is read before its connection is closed, unless it is large.
    """

    def __init__(self) -> None:
        self._open: dict[TcpConnection, anyio.CancelScope] = {}  # those rejected first come first

    async def reject(self, connection: TcpConnection) -> None:
        """Send the rejection, discard input until the client has closed or there is no room, and close."""
        self._make_room()
        with anyio.move_on_after(OPEN_SECONDS) as scope:
            self._open[connection] = scope
            try:
                with suppress(ConnectionClosedError):
                    await connection.send(REJECTION_RESPONSE)
                    connection.send_eof()
                    discarded = 0
                    while discarded < MAX_DISCARDED_BYTES:
                        discarded += len(await connection.receive())
            finally:
                self._open.pop(connection, None)
                connection.discard_arrived()
                connection.close()

    def close_all(self) -> None:
        """Close all rejected connections now, because their file descriptors are needed."""
        for scope in self._open.values():
            scope.cancel()

    def _make_room(self) -> None:
        while len(self._open) >= MAX_OPEN_REJECTIONS:
            earliest = next(iter(self._open))
            self._open.pop(earliest).cancel()
