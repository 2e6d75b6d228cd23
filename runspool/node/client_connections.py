"""The clients' connections of a node: how many there may be, and which give way to others."""

from __future__ import annotations

from contextlib import suppress

import anyio
import structlog

from runspool.node.executor import NodeExecutor
from runspool.node.request_handler import RequestHandler
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.http_requests import head

MAX_DRAINED_REJECTIONS = 8  # rejected connections that are read from at once
REJECTION_DRAIN_SECONDS = 0.5  # that each of them is read from

REJECTION = head(503, [("Connection", "close"), ("Content-Length", "0")])


class ClientConnections:
    """Serves each client's connection, up to `max_clients` of them at once.

    `handlers` has one handler for each connection that is open, and `busy_handlers` counts those that have a
    request in work.
    """

    def __init__(self, executor: NodeExecutor, max_clients: int) -> None:
        self.executor = executor
        self.max_clients = max_clients
        self.handlers: set[RequestHandler] = set()
        self.busy_handlers = 0
        self._rejections = 0  # connections that are being rejected now
        self.log = structlog.get_logger()

    async def serve(self, connection: TcpConnection) -> None:
        """Serves a connection to its end and closes it, also when cancelled.

        Where there are `max_clients` and none of them can be closed, the connection is rejected with a 503.
        """
        if len(self.handlers) >= self.max_clients and not self.make_room():
            await self._reject(connection)
            return
        handler = RequestHandler(self.executor, connection, self._count_busy)
        self.handlers.add(handler)
        try:
            await handler.run()
        except Exception as fault:  # a fault in serving one client must not end the node
            self.log.exception("client_failed", fault=repr(fault))
        finally:
            self.handlers.discard(handler)
            connection.close()

    def make_room(self) -> bool:
        """Closes one connection that waits for a request; False where there is none.

        Without this, silent connections would keep out clients that have requests. The one that has been idle
        for longest is closed, those that have served no request first; and where all have begun to send a
        request, one of which only part of the head has come.
        """
        idle = sorted(
            (handler for handler in self.handlers if handler.idle_since),
            key=lambda handler: (handler.has_served, handler.idle_since),
        )
        return any(handler.close_if_waiting() for handler in idle) or any(
            handler.close_if_waiting(even_if_begun=True) for handler in idle
        )

    async def _reject(self, connection: TcpConnection) -> None:
        """Answers 503 and closes.

        What the client sends is read and dropped for a moment, as closing with bytes unread resets the
        connection, and the client would lose the answer. Only a few connections get that, as each uses one of
        the reserved descriptors.
        """
        self._rejections += 1
        with anyio.move_on_after(REJECTION_DRAIN_SECONDS), suppress(ConnectionClosedError):
            await connection.send(REJECTION)
            connection.send_eof()
            while self._rejections <= MAX_DRAINED_REJECTIONS:
                await connection.receive()
        self._rejections -= 1
        connection.close()

    def _count_busy(self, change: int) -> None:
        self.busy_handlers += change
