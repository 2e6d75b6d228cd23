"""Serves one client's connection to a node: reads its requests and sends one final response to each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import anyio
import msgspec
import structlog

from runspool.limits.peer_limits import PeerLimit
from runspool.node.executor import MAX_BODY_BYTES, NodeExecutor, PendingNodeRequest
from runspool.node.request_parser import parse_client_request, parse_time_limit
from runspool.scheduling.request_lifecycle import InvariantViolation
from runspool.service.clock import now
from runspool.service.http_connection import SLOW_READER_TIME, HttpConnection, RequestWait
from runspool.service.pending_request import FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.streaming_response import StreamingResponse
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import TENTHS_PER_SECOND
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import (
    LAST_CHUNK,
    HttpRefusal,
    HttpRequest,
    InvalidHttpRequestError,
    encode_chunk,
    encode_response_head,
)

HEALTH_PATH = "/_health"
COMPLETIONS_PATH = "/v1/chat/completions"
# By the platform's protocol, the statuses 429 and 503 guarantee that the request was not executed and may be
# retried. No other status does.
REJECTED_STATUS = 503
INDETERMINATE_STATUS = 500

NO_ROOM = HttpRefusal(
    503, "connections", "this server has no room for incomplete requests; ask again", PeerLimit.CLIENTS
)
OUT_OF_TIME = HttpRefusal(503, "out_of_time", "not run: the time of the request is over")
# A connection that waits for its first request, or for the rest of one, keeps its place for this time, in
# tenths of a millisecond.
INCOMPLETE_REQUEST_TIME = 500


# Number of units of work after which a request counts as large. A smaller one that has arrived keeps its
# place until it has been read.
LARGE_REQUEST_UNITS = 16


class Claim(IntEnum):
    """What a connection is kept for; where there is no room, those with the lowest are ended first."""

    LINGERS = 0  # it has been refused, and what its client still sends is discarded
    NEVER_SERVED = 1  # its client has sent no whole request yet
    IDLE = 2  # it waits for a further request
    INCOMPLETE_REQUEST = 3  # a further request has come in part
    SLOW_READER = 4  # its client does not take its stream
    KEEPS_PLACE = 5


@dataclass(frozen=True, slots=True)
class NodeConnectionLimits:
    """The limits on a client's connection.

    The platform's protocol requires that a client which sends malformed data gets an error response, or is
    disconnected, within 3 s of connecting. It allows a connection without an open request to be closed after
    2 s.

    Attributes:
        head_bytes: The maximum size of the head of a request.
        query_bytes: The maximum size of the body of a request, as defined by the protocol.
        head_ms: The time limit from the first byte of a head to its end, in milliseconds.
        body_ms: The time limit from the end of the head to the end of the body, in milliseconds.
        idle_ms: The time limit until the next request begins on a connection that has not served any, in
            milliseconds.
        answer_write_ms: How long a client may leave a response unread, in milliseconds.
    """

    head_bytes: int = 32_768
    query_bytes: int = MAX_BODY_BYTES
    head_ms: float = 2_200
    body_ms: float = 2_200
    idle_ms: float = 2_500
    answer_write_ms: float = 5_000


LIMITS = NodeConnectionLimits()
# Time limit from the start of a connection to the end of its first request.
FIRST_REQUEST_TIMEOUT_MS = 2_400.0
REUSED_IDLE_TIMEOUT_MS = 20_000.0  # how long a connection that has served a request may be idle


class RequestHandler(HttpConnection):
    """Serves one client's connection to a node.

    Attributes:
        executor: Executes the requests.
        has_accepted_request: Whether a request from the connection has been accepted.
        awaits_first_request: Whether the connection still waits for its first complete request.
        first_request_deadline: The time limit of the first request, on the event loop's clock.
        idle_since: When the wait for the next request began, in tenths of a millisecond; 0 while a request is
            open.
        request_since: The same; it is kept while a request is open.
    """

    UNIQUE_HEADER_PREFIXES = ("req-", "host", "content-length", "transfer-encoding")

    def __init__(
        self, executor: NodeExecutor, connection: TcpConnection, count_active: Callable[[int], None]
    ) -> None:
        """Create a handler.

        Args:
            executor: Executes the requests.
            connection: The client's connection.
            count_active: Called with +1 when a request begins and with -1 when it ends.
        """
        super().__init__(LIMITS, connection, count_active, executor.connection_resources)
        self.executor = executor
        self.has_accepted_request = False
        self.awaits_first_request = True
        self.first_request_deadline = super()._deadline_after(FIRST_REQUEST_TIMEOUT_MS)
        self.idle_since = 0
        self.request_since = now()
        self._has_given_up_place = False

    def claim(self, at: int) -> tuple[Claim, int]:
        """Return what the connection is kept for at a time, and since when that is so.

        Times are in tenths of a millisecond on the node's clock.
        """
        if self._has_given_up_place:
            return Claim.KEEPS_PLACE, at
        if self.is_lingering:
            return Claim.LINGERS, self.request_since
        if 0 < self.blocked_since < at - SLOW_READER_TIME:
            return Claim.SLOW_READER, self.blocked_since
        if not self.waits_for_client:
            return Claim.KEEPS_PLACE, at
        if self.tcp.has_buffered_data and self.units < LARGE_REQUEST_UNITS:
            return Claim.KEEPS_PLACE, at  # what has arrived waits for this process, not for the client
        if self.has_accepted_request and not self.has_partial_request:
            return Claim.IDLE, self.request_since
        if at - self.request_since < INCOMPLETE_REQUEST_TIME:
            return Claim.KEEPS_PLACE, at
        claim = Claim.INCOMPLETE_REQUEST if self.has_accepted_request else Claim.NEVER_SERVED
        return claim, self.request_since

    def give_up_place(self, claim: Claim) -> bool:
        """End the connection for the sake of a new one; return False if it is needed after all."""
        match claim:
            case Claim.LINGERS:
                self.stop_lingering()
            case Claim.SLOW_READER:
                self.disconnect_reader()
            case _ if self.has_partial_request:
                self.refuse_part(NO_ROOM, lingers=False)
            case _ if not self.stop_waiting_for_request():
                return False
        self._has_given_up_place = True
        return True

    @property
    def ended_for_room_unanswered(self) -> bool:
        """Whether the connection has lost its place before its client got any response.

        Its client may be about to send a request, and would take the end of the connection for its answer.
        """
        return self._has_given_up_place and self.awaits_first_request and not self.response_started

    @property
    def closing(self) -> bool:
        """Whether the node has stopped accepting requests and this connection has had its first request.

        Connections stay open for a while after SIGTERM, because clients continue to use those they have. If
        every other node is down too, they cannot open others: when connections were closed at SIGTERM, 11% of
        the requests during an incident reached no node.
        """
        return self.executor.closing and not self.awaits_first_request

    def head_wait_ms(self) -> float:
        """Return the time limit until the next request begins, in milliseconds."""
        return REUSED_IDLE_TIMEOUT_MS if self.has_accepted_request else self.limits.idle_ms

    def _deadline_after(self, wait_ms: float) -> float:
        deadline = super()._deadline_after(wait_ms)
        return min(deadline, self.first_request_deadline) if self.awaits_first_request else deadline

    def request_wait(self, request: HttpRequest, received_at: int) -> RequestWait:
        """Return how long a request may wait until it is accepted: not beyond its own deadline.

        The deadline counts from the end of the head. Beside a crowd, a request that has arrived may wait long
        for its turns, so the deadline is guarded from here on.
        """
        try:
            time_limit = parse_time_limit(request.headers.get("req-deadline"))
        except InvalidRequestError:
            return super().request_wait(request, received_at)  # the error is reported once all has been read
        self.executor.guard_delays.record(
            request.headers.get("req-id", ""), now() - received_at if request.complete else 0
        )
        time_left = received_at + time_limit - self.executor.settings.response_slack - now()
        deadline = anyio.current_time() + time_left / TENTHS_PER_SECOND
        return RequestWait(deadline, OUT_OF_TIME)

    async def _read_head(self) -> HttpRequest | None:
        self.idle_since = self.request_since = now()
        request = await super()._read_head()
        self.idle_since = 0
        return request

    def error_body(self, code: str, message: str) -> bytes:
        """Return the body of an error response, a JSON object with the code and the message."""
        return msgspec.json.encode({"error": {"code": code, "message": message}})

    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Respond to a request.

        An internal error is reported to the client, unless a response has been started.

        Raises:
            ConnectionClosedError: The connection must end.
            TimeoutError: The client did not read the response in time.
            InvalidHttpRequestError: The request is invalid.
        """
        self.response_started = False
        fault = await self._route_or_report(request, received_at)
        if fault:
            await self._respond_to_internal_error(fault)

    async def _route_or_report(self, request: HttpRequest, received_at: int) -> str:
        """Respond to a request; log an internal error and return its description, otherwise return ""."""
        try:
            await self._route(request, received_at)
        except (ConnectionClosedError, TimeoutError, InvalidHttpRequestError):
            raise
        except Exception as error:  # every request that has been read must get a response
            logger = structlog.get_logger()
            logger.exception("client_failed", fault=repr(error))
            return repr(error)
        return ""

    async def _respond_to_internal_error(self, fault: str) -> None:
        if self.response_started:
            self.executor.invariants.record(InvariantViolation.CLOSED_UNANSWERED, reason=fault)
            raise ConnectionClosedError("an internal error occurred after the response had started")
        self.release_body()
        self.keeps_alive = False
        await self.send_response(
            INDETERMINATE_STATUS, self.error_body("fault", "nothing is promised: it may or may not have run")
        )

    async def _route(self, request: HttpRequest, received_at: int) -> None:
        self.awaits_first_request = False
        if request.path == HEALTH_PATH and request.method == "GET":
            await self.send_response(200 if self.executor.is_ready else 503, b"{}")
        elif request.path != COMPLETIONS_PATH:
            await self.send_response(404, self.error_body("path", "no such path"))
        elif request.method != "POST":
            await self.send_response(405, self.error_body("method", "POST it"), [("Allow", "POST")])
        else:
            await self._handle_completion(request, received_at)

    async def _handle_completion(self, request: HttpRequest, received_at: int) -> None:
        if self.tcp.has_peer_left():
            self.executor.counts["clients_left_early"] += 1
            raise ConnectionClosedError("the client has closed the connection behind its request")
        streaming = EventStreamResponse(self)
        submitted = self._submit(request, streaming, received_at)
        if isinstance(submitted, FinalResponse):
            final = submitted
        else:
            self.has_accepted_request = True
            final = await self.wait_for_final_response(self.executor, submitted, streaming)
        self.release_body()
        await self._send_final(streaming, final)

    def _submit(
        self, request: HttpRequest, streaming: EventStreamResponse, received_at: int
    ) -> PendingNodeRequest | FinalResponse:
        """Parse a request and submit it to the executor.

        Returns:
            The accepted request, or the rejection of a valid one.

        Raises:
            InvalidHttpRequestError: The request is invalid, and the connection must be closed. A client that
                keeps sending invalid requests is slowed down because it needs a new connection for each.
        """
        try:
            client_request = parse_client_request(
                request.target, request.headers, self.take_body(request), self.executor.platform_settings
            )
            if request.version == "1.0":
                raise InvalidRequestError("version", "an answer in parts needs HTTP/1.1", 505)
            if not self.holds_open_request():
                self.limit_monitor.reached(PeerLimit.MEMORY, code="memory", **self.memory.details())
                raise RequestNotAcceptedError("memory", "this server holds too many requests; ask again")
            return self.executor.submit(client_request, streaming, received_at)
        except InvalidRequestError as error:
            refusal = HttpRefusal(error.status, "misworded", str(error))
        except RequestNotAcceptedError as rejection:
            return FinalResponse(ResponseKind.REJECTED, rejection.code, rejection.message)
        # Raised outside the handler, so that the first error is not the context of this one.
        raise InvalidHttpRequestError(refusal)

    async def _send_final(self, streaming: EventStreamResponse, final: FinalResponse) -> None:
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client has disconnected")
        if streaming.head_sent:
            if final.kind is not ResponseKind.SUCCEEDED or streaming.write_interrupted:
                # Close without the last chunk. The client detects the incomplete stream and may resume it.
                self.tcp.close()
                raise ConnectionClosedError("the stream was interrupted")
            await streaming.forward(LAST_CHUNK)
        elif final.kind is ResponseKind.REJECTED:
            seconds = final.retry_after / TENTHS_PER_SECOND
            headers = [("Retry-After", f"{seconds:.3f}")] if final.retry_after else []
            await self.send_response(REJECTED_STATUS, self.error_body(final.code, final.message), headers)
        else:
            await self.send_response(INDETERMINATE_STATUS, self.error_body(final.code, final.message))


class EventStreamResponse(StreamingResponse):
    """An engine's event stream, forwarded unchanged as a chunked response."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler, handler.executor.engine_client.watchdog)
        self._unsent_head = b""

    async def stream_started(self) -> None:
        """Prepare the head of the response, which is sent together with the first events."""
        self.head_sent = True
        fields = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        if self.connection.closes_after_response:
            fields.append(("Connection", "close"))
        self._unsent_head = encode_response_head(200, fields)

    async def data_received(self, data: bytes) -> None:
        """Forward events to the client.

        Raises:
            ConnectionClosedError: The client's connection is closed.
        """
        # Send the head together with the first events: sent alone, it would commit the node to a stream of
        # which no event may ever arrive.
        unsent_head, self._unsent_head = self._unsent_head, b""
        await self.forward(unsent_head + encode_chunk(data))
