"""Serves the connections of a node's clients and limits their number."""

from __future__ import annotations

from collections import Counter, deque
from heapq import nsmallest

import structlog

from runspool.node.executor import NodeExecutor
from runspool.node.rejected_connections import RejectedConnections
from runspool.node.request_handler import Claim, RequestHandler
from runspool.service.clock import now
from runspool.transport.tcp import TcpConnection
from runspool.units import TENTHS_PER_MS

# Shortest time between two searches for connections that may lose their place, in tenths of a millisecond.
SEARCH_INTERVAL = 100
# Connections beyond `max_clients` that may be open while others, which have lost their place, end. Each uses
# one of the reserved file descriptors.
MAX_ENDING_CLIENTS = 8
MAX_CANDIDATES = 32  # number of connections that one search finds at most


class ClientConnections:
    """Serves client connections, at most `max_clients` of them at the same time.

    Attributes:
        executor: Executes the requests.
        max_clients: The maximum number of connections that are served at the same time.
        handlers: One handler for each connection that is open.
        memory: The account of what connections hold.
        busy_handler_count: The number of handlers that are processing a request.
        rejected: The connections for which there was no room.
    """

    def __init__(self, executor: NodeExecutor, max_clients: int) -> None:
        self.executor = executor
        self.max_clients = max_clients
        self.memory = executor.connection_resources.memory
        self.handlers: set[RequestHandler] = set()
        self.busy_handler_count = 0
        self.rejected = RejectedConnections()
        self._candidates: deque[RequestHandler] = deque()
        self._searched_at = 0
        self.log = structlog.get_logger()
        self.rate_limited_log = executor.rate_limited_log

    async def serve(self, connection: TcpConnection) -> None:
        """Serve a connection until it ends, then close it, also on cancellation.

        If `max_clients` connections are open and none of them can be closed, the new connection is rejected
        with status 503.
        """
        if len(self.handlers) >= self.max_clients and not self._make_room():
            self.executor.counts["clients_rejected"] += 1
            await self.rejected.reject(connection)
            return
        handler = RequestHandler(self.executor, connection, self._count_busy)
        self.handlers.add(handler)
        try:
            await self._run(handler)
            if handler.ended_for_room_unanswered:
                await self.rejected.reject(connection)
        finally:
            connection.close()

    async def _run(self, handler: RequestHandler) -> None:
        try:
            await handler.run()
        except Exception as error:  # an internal error while one client is served must not end the node
            self.log.exception("client_failed", fault=repr(error))
        finally:
            self.handlers.discard(handler)

    def _make_room(self) -> bool:
        """End one connection that may lose its place to a new one; return False if there is none.

        The order is that of `Claim`. A connection that is told to end frees its place shortly afterwards, so
        each may be told only once.
        """
        if len(self.handlers) >= self.max_clients + MAX_ENDING_CLIENTS:
            return False
        at = now()
        if not self._candidates and at - self._searched_at >= SEARCH_INTERVAL:
            self._search_candidates(at)
        while self._candidates:
            handler = self._candidates.popleft()
            claim, since = handler.claim(at)
            if claim < Claim.KEEPS_PLACE and handler in self.handlers and handler.give_up_place(claim):
                self.executor.counts[f"clients_ended_{claim.name.lower()}"] += 1
                self.rate_limited_log.info(
                    "client_ended_for_room", claim=claim.name.lower(), age_ms=(at - since) / TENTHS_PER_MS
                )
                return True
        return False

    def _search_candidates(self, at: int) -> None:
        """Search the connections that may lose their place, the first of them for the next new connections.

        One search serves several new connections: a crowd that is turned away and comes again at once would
        otherwise cost a search each time.
        """
        self._searched_at = at
        claims = [(*handler.claim(at), id(handler), handler) for handler in self.handlers]
        self._candidates.extend(
            handler for claim, _, _, handler in nsmallest(MAX_CANDIDATES, claims) if claim < Claim.KEEPS_PLACE
        )
        if not self._candidates:
            claim_counts = Counter(claim.name.lower() for claim, *_ in claims)
            self.rate_limited_log.info("clients_keep_places", claims=dict(claim_counts))

    def _count_busy(self, change: int) -> None:
        self.busy_handler_count += change
