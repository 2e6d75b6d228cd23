"""One client's HTTP/1.1 connection: reads requests, writes responses and enforces timeouts.

The paths and bodies of a particular API are implemented by subclasses.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol

import anyio
import structlog

from runspool.limits.charged_body import ChargedBody
from runspool.limits.connection_resources import ConnectionResources
from runspool.limits.memory_account import OPEN_REQUEST_BYTES, MemoryKind
from runspool.limits.peer_limits import PeerLimit
from runspool.limits.work_turns import Worker
from runspool.service.clock import now
from runspool.service.pending_request import FinalResponse, RequestT
from runspool.service.request_executor import RequestExecutor
from runspool.service.streaming_response import StreamingResponse
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import TENTHS_PER_SECOND
from runspool.wire.http_requests import (
    CONTINUE_RESPONSE,
    HttpRefusal,
    HttpRequest,
    HttpRequestParser,
    InvalidHttpRequestError,
    encode_response_head,
)

# A client that has not taken a part of its stream for this time may lose it, in tenths of a millisecond.
SLOW_READER_TIME = 10_000
# After a request was refused, further bytes from the client are read and discarded before the socket is
# closed. Closing a socket with unread bytes resets the connection, and the client might lose the response.
LINGER_SECONDS = 1.0  # maximum time for which bytes are discarded
PARSE_BYTES = 2_048  # maximum number of bytes that are parsed in one unit of work
HEAD_TOOK_TOO_LONG = HttpRefusal(
    408, "head_time", "the request's head took too long", PeerLimit.REQUEST_HEAD_TIME
)
BODY_TOOK_TOO_LONG = HttpRefusal(408, "body_time", "the body took too long", PeerLimit.REQUEST_BODY_TIME)
REFUSED_AT_SHUTDOWN = HttpRefusal(503, "closing", "this server is stopping; ask another")
REFUSED_FOR_MEMORY = HttpRefusal(
    503, "memory", "this server holds too many large requests; ask again", PeerLimit.MEMORY
)


class ConnectionLimits(Protocol):
    """The size limits and timeouts of one connection."""

    @property
    def head_bytes(self) -> int:
        """The maximum size of a request's head, in bytes."""

    @property
    def query_bytes(self) -> int:
        """The maximum size of a request's body, in bytes."""

    @property
    def head_ms(self) -> float:
        """The maximum time from the first byte of a request's head to its end, in milliseconds."""

    @property
    def body_ms(self) -> float:
        """The maximum time from the end of a request's head to the end of its body, in milliseconds."""

    @property
    def idle_ms(self) -> float:
        """The maximum time that the connection may be idle before the next request, in milliseconds."""

    @property
    def answer_write_ms(self) -> float:
        """The maximum time that a write may wait for the client to read, in milliseconds."""


@dataclass(frozen=True, slots=True)
class RequestWait:
    """The wait of a request whose head is complete, until it is served.

    Attributes:
        ends_at: When the wait ends, in seconds on the event loop's clock.
        refusal: The response if the request is not served by then.
    """

    ends_at: float
    refusal: HttpRefusal


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """The response to the request that a connection serves.

    Attributes:
        streaming: The response, if it is streamed.
        disconnect: Ends the request as if its client had disconnected.
    """

    streaming: StreamingResponse | None
    disconnect: Callable[[], None]

    @property
    def blocked_bytes(self) -> int:
        """The number of bytes that the client has not taken."""
        return self.streaming.blocked_bytes if self.streaming is not None else 0

    @property
    def blocked_since(self) -> int:
        """The time since which the client has not taken them; 0 if there are none."""
        return self.streaming.blocked_since if self.streaming is not None else 0


class HttpConnection(Worker, ABC):
    """Serves the requests of one connection, one after another.

    Subclasses respond to requests in route(). Requests that have arrived are still served after `closing` is
    set, but not after a request that asks to close the connection.

    Attributes:
        keeps_alive: False if no request is served after the current one, because the client has asked to
            close the connection, has disconnected or has sent an invalid request.
        response_started: True once anything has been sent to the client, `100 Continue` included. A subclass
            that uses it clears it at the start of each request.
    """

    # Prefixes of the lower-case names of headers that a request may contain only once.
    UNIQUE_HEADER_PREFIXES: tuple[str, ...] = ("runspool-",)

    def __init__(
        self,
        limits: ConnectionLimits,
        connection: TcpConnection,
        count_active: Callable[[int], None],
        resources: ConnectionResources,
    ) -> None:
        """Initialize the connection.

        `count_active` is called with +1 when the connection starts to serve a request whose head is complete,
        and with -1 after the response, or when the request's body turns out to be late or invalid.
        `resources` is shared by all connections.
        """
        super().__init__()
        self.limits = limits
        self.limit_monitor = resources.limit_monitor
        self.memory = resources.memory
        self.work_turns = resources.work_turns
        self.tcp = connection
        self.parser = HttpRequestParser(limits.head_bytes, limits.query_bytes, self.UNIQUE_HEADER_PREFIXES)
        self.write_timeout_seconds = limits.answer_write_ms / 1000
        self.keeps_alive = True
        self.response_started = False
        self._count_active = count_active
        self._head_scope: anyio.CancelScope | None = None  # set while waiting for the head of a request
        self._head_started = False  # whether a part of that head has been read
        self._body_scope: anyio.CancelScope | None = None  # set while waiting for the rest of a body
        # The response to the incomplete request if it is not its client's fault that the wait for it ends.
        self._refusal: HttpRefusal | None = None
        self._request_charge = resources.memory.charge(MemoryKind.REQUEST)
        self._open_body: ChargedBody | None = None  # of the request that is being served, once it is taken
        self._open_response: OpenResponse | None = None  # set while a request waits for its final response
        self._linger_scope: anyio.CancelScope | None = None  # set while input is discarded after a refusal
        self._lingers = True  # whether input is discarded after a refusal
        self._request_began_at = 0.0  # when the wait for the current request began, on the event loop's clock

    @property
    @abstractmethod
    def closing(self) -> bool:
        """True once the connection must not wait for further requests."""

    @property
    def closes_after_response(self) -> bool:
        """Whether a response sent now says `Connection: close`.

        If this is only because of `closing`, requests that have already arrived are still served.
        """
        return self.closing or not self.keeps_alive or self.tcp.discarded_bytes > 0

    @abstractmethod
    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Respond to a request that has been read completely.

        `received_at` is when the end of its head arrived at this host, in tenths of a millisecond on the
        front's clock. The request may have waited since for the previous one, or for its turn.

        Raises:
            ConnectionClosedError: The client has disconnected; the connection ends.
            TimeoutError: The client does not read the response; the connection ends.
            InvalidHttpRequestError: The connection ends after an error response.
        """

    def error_body(self, code: str, message: str) -> bytes:
        """Return the body of an error response."""
        return b"{}"

    def head_wait_ms(self) -> float:
        """Return the time to wait for the first byte of the next request, in milliseconds."""
        return self.limits.idle_ms

    def stop_waiting_for_request(self, even_if_head_started: bool = False) -> bool:
        """Stop waiting for a request, so that the connection closes, and return True.

        Return False without any effect if the connection is not waiting for a request's head, or if bytes of
        the next request have already arrived in this process or its kernel. With `even_if_head_started`, the
        wait for the rest of a head that has been read in part is ended too; such a request receives an error
        response.

        Only the wait is cancelled, not the task of the connection: cancelling the task would lose a request
        that is read at that moment.
        """
        scope = self._head_scope
        if (
            scope is None
            or scope.cancel_called
            or (self._head_started and not even_if_head_started)
            or self.tcp.has_unread_input()
        ):
            return False
        scope.cancel()
        return True

    def refuse_incomplete_request(self) -> None:
        """Stop waiting for the rest of a partially received request, and refuse it because of the shutdown.

        This has no effect if unread bytes have arrived, which may be the rest of the request.
        """
        if self._body_scope is not None:
            if not self.tcp.has_unread_input():
                self._refusal = REFUSED_AT_SHUTDOWN
                self._body_scope.cancel()
        elif self._head_started and self.stop_waiting_for_request(even_if_head_started=True):
            self._refusal = REFUSED_AT_SHUTDOWN

    @property
    def reclaimable_bytes(self) -> int:
        """The memory, in bytes, that give_up_memory() would free now."""
        if self._reads_too_slowly():
            return self.tcp.buffered_memory + self._open_request_bytes + self._blocked_bytes
        if self._open_response is not None:
            return self.tcp.buffered_memory
        return self.tcp.buffered_memory + self._request_charge.size if self.waits_for_client else 0

    @property
    def held_since(self) -> float:
        """The time since which the memory is held, in seconds on the event loop's clock."""
        if self._reads_too_slowly():
            return anyio.current_time() - (now() - self.blocked_since) / TENTHS_PER_SECOND
        return self._request_began_at

    def give_up_memory(self) -> None:
        """Free memory at once, because all connections together hold too much.

        An incomplete request is refused. What lies behind an open request is discarded, and a client that
        does not take its response loses it.
        """
        if self._reads_too_slowly():
            self.disconnect_reader()
        elif self._open_response is not None:
            self.tcp.discard_input()
        else:
            self.refuse_part(REFUSED_FOR_MEMORY)

    def holds_open_request(self) -> bool:
        """Charge what it takes to serve a complete request; return False if there is no memory for it."""
        self._request_charge.set(self._request_charge.size + OPEN_REQUEST_BYTES)
        return not self.memory.is_exceeded

    def take_body(self, request: HttpRequest) -> ChargedBody:
        """Take the body of the request that is being served, with its part of the request's charge.

        It is released when the request has been served, if not earlier.
        """
        body = request.take_body()
        self._open_body = ChargedBody(body, self._request_charge.split(len(body)))
        return self._open_body

    def release_body(self) -> None:
        """Give up the body of the request that is being served, if it has been taken, with its charge."""
        if self._open_body is not None:
            self._open_body.release()
            self._open_body = None

    @property
    def _open_request_bytes(self) -> int:
        """The memory that is charged for the request that is being served, in bytes."""
        body_bytes = self._open_body.charged_bytes if self._open_body is not None else 0
        return self._request_charge.size + body_bytes

    def _reads_too_slowly(self) -> bool:
        return 0 < self.blocked_since < now() - SLOW_READER_TIME

    def refuse_part(self, refusal: HttpRefusal, lingers: bool = True) -> None:
        """Refuse a request of which only a part has been received, whatever else has arrived.

        Args:
            refusal: The response.
            lingers: Whether the connection stays open for a while, so that the client can read the response.
        """
        scope = self._body_scope or self._head_scope
        if scope is None:
            return
        self._refusal, self._lingers = refusal, lingers
        self._head_started = True
        scope.cancel()
        self.tcp.discard_input()
        self.parser.discard_requests()
        self._request_charge.release()

    @property
    def waits_for_client(self) -> bool:
        """Whether the connection waits for a request or for the rest of one."""
        return self._head_scope is not None or self._body_scope is not None

    @property
    def has_partial_request(self) -> bool:
        """Whether a part of the next request has been read, but not all of it."""
        return self._body_scope is not None or (self._head_scope is not None and self._head_started)

    @property
    def is_lingering(self) -> bool:
        """Whether the connection has been refused and only discards its input."""
        return self._linger_scope is not None

    def stop_lingering(self) -> None:
        """Close the connection now, if it has been refused and only discards its input."""
        if self._linger_scope is not None:
            self._linger_scope.cancel()

    @property
    def blocked_since(self) -> int:
        """The time since which the client has not taken a part of its stream; 0 if it has.

        The time is in tenths of a millisecond on the front's clock.
        """
        return self._open_response.blocked_since if self._open_response is not None else 0

    def disconnect_reader(self) -> None:
        """End the response to a client that does not take it."""
        if self._open_response is not None:
            self.release_body()
            self._request_charge.release()
            self._open_response.disconnect()
            self.tcp.close()

    @property
    def _blocked_bytes(self) -> int:
        return self._open_response.blocked_bytes if self._open_response is not None else 0

    async def run(self) -> None:
        """Serve requests until the connection is to be closed; the caller closes the socket.

        This is the case when the client disconnects, asks to close, sends an invalid or incomplete request,
        sends no request for `idle_ms` or does not read a response in time. It is also the case when `closing`
        is set and no request is left that has already arrived. If the call is cancelled, a request in
        progress is treated as if its client had disconnected.
        """
        self.memory.add_holder(self)
        try:
            # Requests that have been read are answered even after `closing` is set.
            while self.keeps_alive and (not self.closing or self._has_buffered_request()):
                await self._serve_one()
        except (ConnectionClosedError, TimeoutError):
            return
        finally:
            self.memory.remove_holder(self)
            self.release_body()
            self._request_charge.release()
            self.parser.close()
            # These refer back to this object, and would be left to the garbage collector with all it holds.
            self._head_scope = self._body_scope = self._linger_scope = None

    def _has_buffered_request(self) -> bool:
        return bool(self.parser.ready) or self.tcp.has_buffered_data

    async def _serve_one(self) -> None:
        refusal = await self._answer_or_refuse()
        if refusal is not None:
            await self._refuse(refusal)

    async def _answer_or_refuse(self) -> HttpRefusal | None:
        """Serve the next request, or return the refusal of an invalid or incomplete one.

        The error ends here, before the refusal is sent: its traceback refers to the request.
        """
        try:
            await self._read_and_route()
        except InvalidHttpRequestError as error:
            return error.refusal
        return None

    async def _read_and_route(self) -> None:
        request = await self._read_head()
        if request is None:
            self.keeps_alive = False
            return
        received_at = now() - int(self.tcp.input_age() * TENTHS_PER_SECOND)
        self._count_active(1)
        try:
            wait = self.request_wait(request, received_at)
            if not request.complete:
                await self._read_body(request, wait)
            self.parser.ready.popleft()
            self.keeps_alive = request.keeps_alive
            await self._wait_for_turn(wait)
            await self.route(request, received_at)
        finally:
            self.release_body()
            self._request_charge.set(self.parser.held_bytes)
            self._count_active(-1)

    async def _read_head(self) -> HttpRequest | None:
        """Return the next request once its head is complete, or None if the connection ends without one."""
        ready = self.parser.ready
        if ready and ready[0].head_complete:
            return ready[0]
        self.parser.raise_pending_error()
        self._head_started = bool(ready)
        self._request_began_at = anyio.current_time()
        wait = self.limits.head_ms if self._head_started else self.head_wait_ms()
        with anyio.CancelScope(deadline=self._deadline_after(wait)) as scope:
            self._head_scope = scope
            try:
                while not (ready and ready[0].head_complete):
                    try:
                        await self._parse_more()
                    except ConnectionClosedError:
                        if self._head_started:
                            raise self._incomplete_request_error(_ends_early("head")) from None
                        return None
                    if not self._head_started:
                        self._head_started, scope.deadline = True, self._deadline_after(self.limits.head_ms)
            finally:
                self._head_scope = None
        if scope.cancelled_caught:
            if self._head_started:
                raise self._incomplete_request_error(HEAD_TOOK_TOO_LONG)
            # A request may have arrived just as the wait ended. It was received, so it must be answered.
            return await self._read_head() if self.tcp.has_buffered_data else None
        return ready[0]

    async def _parse_more(self) -> None:
        """Wait for input and parse a piece of it.

        Raises:
            ConnectionClosedError: The client has closed the connection.
            InvalidHttpRequestError: The input is not a valid request.
        """
        if not self.tcp.has_buffered_data:
            self.units = 0
        await self.tcp.wait_for_data()
        await self.work_turns.take(self)
        if data := self.tcp.take_data(PARSE_BYTES):
            self.parser.feed(data)
            self._request_charge.set(self.parser.held_bytes)

    def _deadline_after(self, wait_ms: float) -> float:
        """Return the end of a wait that starts now, in seconds on the event loop's clock."""
        return anyio.current_time() + wait_ms / 1000

    def request_wait(self, request: HttpRequest, received_at: int) -> RequestWait:
        """Return how long a request whose head is complete may wait until it is served; not limited here.

        `received_at` is when the end of its head arrived at this host, on the front's clock.
        """
        return RequestWait(inf, BODY_TOOK_TOO_LONG)

    async def _wait_for_turn(self, wait: RequestWait) -> None:
        """Wait until this connection may serve its request.

        Raises:
            InvalidHttpRequestError: The wait has ended before.
        """
        with anyio.CancelScope(deadline=wait.ends_at):
            await self.work_turns.take(self)
            return
        raise InvalidHttpRequestError(wait.refusal)

    async def _read_body(self, request: HttpRequest, wait: RequestWait) -> None:
        if request.expects_continue:
            await self.send(CONTINUE_RESPONSE)
        body_wait = RequestWait(self._deadline_after(self.limits.body_ms), BODY_TOOK_TOO_LONG)
        wait = min(body_wait, wait, key=lambda each: each.ends_at)
        with anyio.CancelScope(deadline=wait.ends_at) as self._body_scope:
            try:
                while not request.complete:
                    try:
                        await self._parse_more()
                    except ConnectionClosedError:
                        raise self._incomplete_request_error(_ends_early("body")) from None
                return
            finally:
                self._body_scope = None
        raise self._incomplete_request_error(wait.refusal)

    def _incomplete_request_error(self, refusal: HttpRefusal) -> InvalidHttpRequestError:
        """Return the error for an incomplete request; an earlier refusal of it takes precedence."""
        return InvalidHttpRequestError(self._refusal or refusal)

    async def send_response(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Send a complete response with a JSON body; raise the same errors as send()."""
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *(headers or [])]
        if self.closes_after_response:
            fields.append(("Connection", "close"))
        await self.send(encode_response_head(status, fields) + body)

    async def _refuse(self, refusal: HttpRefusal) -> None:
        """Respond to an invalid or incomplete request; the connection closes afterwards."""
        structlog.get_logger().debug("request_refused", status=refusal.status, code=refusal.code)
        if refusal.limit is not None:
            self.limit_monitor.reached(refusal.limit, code=refusal.code, message=refusal.message)
        self.parser.discard_requests()
        self._request_charge.release()
        self.tcp.discard_input()
        self.keeps_alive = False
        await self.send_response(refusal.status, self.error_body(refusal.code, refusal.message))
        if not self._lingers:
            return
        with anyio.move_on_after(LINGER_SECONDS) as self._linger_scope:
            self.tcp.send_eof()
            await self.tcp.discard_until_closed()

    async def send(self, data: bytes) -> None:
        """Write a part of the response and wait until the kernel has accepted it.

        Raises:
            TimeoutError: The client has not read enough within `write_timeout_seconds`.
            ConnectionClosedError: The connection is closed.
        """
        self.response_started = True
        if not self.tcp.write(data):
            with anyio.fail_after(self.write_timeout_seconds):
                await self.tcp.drained()

    async def wait_for_final_response(
        self, executor: RequestExecutor[RequestT], pending: RequestT, streaming: StreamingResponse | None
    ) -> FinalResponse:
        """Wait for the final response to an accepted request, and detect when its client disconnects.

        A client that does not read a streaming response in time is treated as disconnected, as is one whose
        connection task is cancelled.
        """

        def disconnect() -> None:
            executor.client_disconnected(pending)

        if streaming is not None:
            streaming.watch(disconnect)
        self._open_response = OpenResponse(streaming, disconnect)
        pending.has_client_left = self.tcp.has_peer_left
        # Bytes of pipelined requests stay buffered in the connection, up to a limit.
        self.tcp.on_disconnect(disconnect)
        try:
            if self.tcp.closed:
                disconnect()
            await pending.done.wait()
        except BaseException:
            disconnect()  # this task is being cancelled, so no response can be sent
            raise
        finally:
            self._open_response = None
            self.tcp.disconnect_callback = None
            if streaming is not None:
                streaming.unwatch()
        assert pending.final_response is not None
        return pending.final_response


def _ends_early(part: str) -> HttpRefusal:
    return HttpRefusal(400, "malformed", f"the {part} ends early")
