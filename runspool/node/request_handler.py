"""One client's connection to a node: requests in, one final answer out for each query taken from it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from runspool.node.executor import NodeExecutor, PendingNodeRequest
from runspool.node.request_parser import parse_client_request
from runspool.scheduling.request_lifecycle import InvariantViolation
from runspool.service.clock import now
from runspool.service.http_connection import HttpConnection, StreamingResponse
from runspool.service.pending_request import FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import CHUNKS_END, HttpRequest, InvalidHttpRequestError, chunk, head

READY, SERVED = "/_health", "/v1/chat/completions"
DISMISSED, SCRAPPED = 503, 500  # 429 and 503 promise that trying again is harmless, any other nothing


@dataclass(frozen=True, slots=True)
class NodeConnectionLimits:
    """What a client's connection bears; times in milliseconds.

    Who sends what cannot be read is owed an error or a close within 3 s of connecting, and the protocol lets
    a connection with no open request be closed after 2 s.
    """

    head_bytes: int = 32_768
    query_bytes: int = 262_144  # the protocol's largest body
    head_ms: float = 2_200
    body_ms: float = 2_200
    idle_ms: float = 2_500
    answer_write_ms: float = 5_000


BOUNDS = NodeConnectionLimits()
FIRST_MS = 2_400.0  # from the connection to its first whole request
KEPT_MS = 20_000.0  # that a connection which has served may stand idle


class RequestHandler(HttpConnection):
    ONCE_ONLY = ("req-", "host", "content-length", "transfer-encoding")

    def __init__(self, node: NodeExecutor, line: TcpConnection, working: Callable[[int], None]) -> None:
        super().__init__(BOUNDS, line, working)
        self.node = node
        self.served = False
        self.first = True  # no whole request has come yet
        self.first_by = super()._time_limit(FIRST_MS)
        self.idle_since = 0  # 0 while a request is open

    @property
    def closing(self) -> bool:
        # Not from SIGTERM on: clients go on using what they have open, and where every other node is down too
        # it is all they have. Closed early, 11% of an incident's requests found nobody.
        return self.node.closing and not self.first

    def head_wait(self) -> float:
        return KEPT_MS if self.served else self.limits.idle_ms

    def _time_limit(self, wait_ms: float) -> float:
        by = super()._time_limit(wait_ms)
        return min(by, self.first_by) if self.first else by

    async def _read_head(self) -> HttpRequest | None:
        self.idle_since = now()
        found = await super()._read_head()
        self.idle_since = 0
        return found

    def error(self, code: str, message: str) -> bytes:
        return msgspec.json.encode({"error": {"code": code, "message": message}})

    async def route(self, request: HttpRequest, came: int) -> None:
        self.answering = False
        try:
            await self._route(request, came)
        except (ConnectionClosedError, TimeoutError, InvalidHttpRequestError):
            raise
        except Exception as fault:
            # What has been read is owed an answer, also by a program with a fault in it.
            structlog.get_logger().exception("client_failed", fault=repr(fault))
            if self.answering:
                self.node.invariants.record(InvariantViolation.CLOSED_UNANSWERED, reason=repr(fault))
                raise ConnectionClosedError("a fault in the middle of an answer") from None
            self.keeps_alive = False
            await self.send_response(
                SCRAPPED, self.error("fault", "nothing is promised: it may or may not have run")
            )

    async def _route(self, request: HttpRequest, came: int) -> None:
        self.first = False
        if request.path == READY and request.method == "GET":
            await self.send_response(503 if self.node.shutdown_deadline else 200, b"{}")
        elif request.path != SERVED:
            await self.send_response(404, self.error("path", "no such path"))
        elif request.method != "POST":
            await self.send_response(405, self.error("method", "POST it"), [("Allow", "POST")])
        else:
            await self._query(request, came)

    async def _query(self, request: HttpRequest, came: int) -> None:
        try:
            ask = parse_client_request(
                request.target, request.headers, bytes(request.body), self.node.platform_settings
            )
            if request.version == "1.0":
                raise InvalidRequestError("version", "an answer in parts needs HTTP/1.1", 505)
            reply = EventStreamResponse(self)
            taken = self.node.submit(ask, reply, came)
        except InvalidRequestError as bad:
            # Whoever sends this once may send it without end: each costs a connection.
            raise InvalidHttpRequestError(bad.status, "misworded", str(bad)) from None
        except RequestNotAcceptedError as refused:
            await self.send_response(DISMISSED, self.error(refused.code, refused.message))
            return
        self.served = True
        await self._answer(taken, reply, await self.final_response(self.node, taken, reply))

    async def _answer(
        self, taken: PendingNodeRequest, reply: EventStreamResponse, final: FinalResponse
    ) -> None:
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client left")
        if reply.opened:
            if final.kind is not ResponseKind.SUCCEEDED or reply.torn:
                # No last chunk: the client sees that its stream is not whole, and may ask for the rest.
                self.tcp.close()
                raise ConnectionClosedError("the stream broke off")
            await reply.forward(CHUNKS_END)
        elif final.kind is ResponseKind.REJECTED:
            hold = [("Retry-After", f"{final.retry_after / 10_000:.3f}")] if final.retry_after else []
            await self.send_response(DISMISSED, self.error(final.code, final.message), hold)
        else:
            await self.send_response(SCRAPPED, self.error(final.code, final.message))


class EventStreamResponse(StreamingResponse):
    """An engine's events sent on unchanged."""

    def __init__(self, intake: RequestHandler) -> None:
        super().__init__(intake, intake.node.engine_client.watchdog)

    async def stream_started(self) -> None:
        self.opened = True
        fields = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        if self.connection.last:
            fields.append(("Connection", "close"))
        self.head = head(200, fields)

    async def data_received(self, data: bytes) -> None:
        # Head and first events in one piece: a head alone would promise what may never come.
        first, self.head = self.head, b""
        await self.forward(first + chunk(data))
