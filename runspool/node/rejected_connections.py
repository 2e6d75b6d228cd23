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
REJECTION_RESPONSE = encode_response_head(503, [("Connection", "close"), ("Content-Length", "0")])


class RejectedConnections:
    """Sends rejections, and discards what their clients still send.

    Closing a socket with unread bytes resets the connection, and its client may lose the response. Therefore
    what has arrived is read before a connection is closed.
    """

    def __init__(self) -> None:
        self._open: dict[TcpConnection, anyio.CancelScope] = {}  # those rejected first come first

    async def reject(self, connection: TcpConnection) -> None:
        """Send the rejection, and close the connection a while later."""
        await self.close_later(connection, REJECTION_RESPONSE)

    async def close_later(self, connection: TcpConnection, response: bytes = b"") -> None:
        """Send `response`, discard input until the client has closed or there is no room, and close."""
        self._make_room()
        with anyio.move_on_after(OPEN_SECONDS) as scope:
            self._open[connection] = scope
            try:
                with suppress(ConnectionClosedError):
                    await connection.send(response)
                    connection.send_eof()
                    while True:
                        await connection.receive()
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
