"""One client's connection to a node: reads requests and sends one final response for each one accepted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from runspool.node.executor import NodeExecutor
from runspool.node.request_parser import parse_client_request
from runspool.scheduling.request_lifecycle import InvariantViolation
from runspool.service.clock import now
from runspool.service.http_connection import HttpConnection
from runspool.service.pending_request import FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.streaming_response import StreamingResponse
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import UNITS_PER_SECOND
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import CHUNKS_END, HttpRequest, InvalidHttpRequestError, chunk, head

HEALTH_PATH = "/_health"
COMPLETIONS_PATH = "/v1/chat/completions"
# The protocol takes 429 and 503 as a promise that a retry is harmless, and any other status as none.
REJECTED_STATUS = 503
INDETERMINATE_STATUS = 500


@dataclass(frozen=True, slots=True)
class NodeConnectionLimits:
    """The limits on a client's connection; times in milliseconds.

    The protocol demands that a client which sends something unreadable gets an error or a close within 3 s of
    connecting, and allows that a connection without an open request is closed after 2 s.
    """

    head_bytes: int = 32_768
    query_bytes: int = 262_144  # the protocol's largest body
    head_ms: float = 2_200
    body_ms: float = 2_200
    idle_ms: float = 2_500
    answer_write_ms: float = 5_000


LIMITS = NodeConnectionLimits()
FIRST_REQUEST_MS = 2_400.0  # from the connection to its first whole request
KEPT_IDLE_MS = 20_000.0  # that a connection which has served a request may be idle


class RequestHandler(HttpConnection):
    """Serves one client's connection to a node.

    `has_served` is set once a request has been accepted from it, and `first` until a whole request has come.
    `idle_since`, in tenths of a millisecond, is when the wait for the next request began, and 0 while a
    request is open.
    """

    UNREPEATABLE_HEADERS = ("req-", "host", "content-length", "transfer-encoding")

    def __init__(
        self, executor: NodeExecutor, connection: TcpConnection, count_busy: Callable[[int], None]
    ) -> None:
        """`count_busy` is called with +1 when a request begins and with -1 when it ends."""
        super().__init__(LIMITS, connection, count_busy)
        self.executor = executor
        self.has_served = False
        self.first = True
        self.first_request_deadline = super()._deadline_after(FIRST_REQUEST_MS)
        self.idle_since = 0

    @property
    def closing(self) -> bool:
        """True once the node has ended accepting; a new connection may still send its first request.

        Not from SIGTERM on: clients go on using the connections they have, and where every other node is down
        too they have no others. Closing them early left 11% of an incident's requests without a node.
        """
        return self.executor.closing and not self.first

    def head_wait_ms(self) -> float:
        """Milliseconds that the next request may take to begin."""
        return KEPT_IDLE_MS if self.has_served else self.limits.idle_ms

    def _deadline_after(self, wait_ms: float) -> float:
        deadline = super()._deadline_after(wait_ms)
        return min(deadline, self.first_request_deadline) if self.first else deadline

    async def _read_head(self) -> HttpRequest | None:
        self.idle_since = now()
        request = await super()._read_head()
        self.idle_since = 0
        return request

    def error_body(self, code: str, message: str) -> bytes:
        """The body of an error response: an object with the code and the message."""
        return msgspec.json.encode({"error": {"code": code, "message": message}})

    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Responds to a request; raises as HttpConnection.route() does.

        A fault in the program is answered too, unless a response has been started.
        """
        self.response_started = False
        try:
            await self._route(request, received_at)
        except (ConnectionClosedError, TimeoutError, InvalidHttpRequestError):
            raise
        except Exception as fault:  # a request that has been read must be answered
            logger = structlog.get_logger()
            logger.exception("client_failed", fault=repr(fault))
            await self._respond_to_fault(fault)

    async def _respond_to_fault(self, fault: Exception) -> None:
        if self.response_started:
            self.executor.invariants.record(InvariantViolation.CLOSED_UNANSWERED, reason=repr(fault))
            raise ConnectionClosedError("a fault in the middle of an answer") from None
        self.keeps_alive = False
        await self.send_response(
            INDETERMINATE_STATUS, self.error_body("fault", "nothing is promised: it may or may not have run")
        )

    async def _route(self, request: HttpRequest, received_at: int) -> None:
        self.first = False
        if request.path == HEALTH_PATH and request.method == "GET":
            await self.send_response(503 if self.executor.shutdown_deadline else 200, b"{}")
        elif request.path != COMPLETIONS_PATH:
            await self.send_response(404, self.error_body("path", "no such path"))
        elif request.method != "POST":
            await self.send_response(405, self.error_body("method", "POST it"), [("Allow", "POST")])
        else:
            await self._complete(request, received_at)

    async def _complete(self, request: HttpRequest, received_at: int) -> None:
        try:
            client_request = parse_client_request(
                request.target, request.headers, bytes(request.body), self.executor.platform_settings
            )
            if request.version == "1.0":
                raise InvalidRequestError("version", "an answer in parts needs HTTP/1.1", 505)
            streaming = EventStreamResponse(self)
            pending = self.executor.submit(client_request, streaming, received_at)
        except InvalidRequestError as error:
            # The connection ends with it: a client that sends this may do so endlessly, and a connection for
            # each slows it down.
            raise InvalidHttpRequestError(error.status, "misworded", str(error)) from None
        except RequestNotAcceptedError as refusal:
            await self.send_response(REJECTED_STATUS, self.error_body(refusal.code, refusal.message))
            return
        self.has_served = True
        final = await self.final_response(self.executor, pending, streaming)
        await self._send_final(streaming, final)

    async def _send_final(self, streaming: EventStreamResponse, final: FinalResponse) -> None:
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client left")
        if streaming.opened:
            if final.kind is not ResponseKind.SUCCEEDED or streaming.write_interrupted:
                # Without a last chunk the client sees that its stream is incomplete, and may ask for more.
                self.tcp.close()
                raise ConnectionClosedError("the stream broke off")
            await streaming.forward(CHUNKS_END)
        elif final.kind is ResponseKind.REJECTED:
            seconds = final.retry_after / UNITS_PER_SECOND
            headers = [("Retry-After", f"{seconds:.3f}")] if final.retry_after else []
            await self.send_response(REJECTED_STATUS, self.error_body(final.code, final.message), headers)
        else:
            await self.send_response(INDETERMINATE_STATUS, self.error_body(final.code, final.message))


class EventStreamResponse(StreamingResponse):
    """An engine's event stream, sent on unchanged as a chunked response."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler, handler.executor.engine_client.watchdog)
        self._unsent_head = b""

    async def stream_started(self) -> None:
        """Prepares the head, which is sent with the first events."""
        self.opened = True
        fields = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        if self.connection.closes_after_response:
            fields.append(("Connection", "close"))
        self._unsent_head = head(200, fields)

    async def data_received(self, data: bytes) -> None:
        """Sends events on; raises as forward() does."""
        # The head goes out together with the first events: alone it would promise events that may never come.
        unsent_head, self._unsent_head = self._unsent_head, b""
        await self.forward(unsent_head + chunk(data))
