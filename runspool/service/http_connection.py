"""One client's HTTP/1.1 connection: reads requests, writes responses and keeps the time limits.

Free of the paths and bodies of any one protocol, which its subclasses add.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

import anyio
import structlog

from runspool.service.clock import now
from runspool.service.pending_request import FinalResponse, RequestT
from runspool.service.request_executor import RequestExecutor
from runspool.service.streaming_response import StreamingResponse
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.http_requests import (
    CONTINUE,
    HttpRequest,
    HttpRequestParser,
    InvalidHttpRequestError,
    head,
)

# A refused client's unread bytes are read and dropped within these bounds: closing with bytes unread resets
# the connection, and the client would not see the response.
LINGER_SECONDS = 1.0
LINGER_BYTES = 8 << 20


class ConnectionLimits(Protocol):
    """The limits on one connection."""

    @property
    def head_bytes(self) -> int:
        """The size of a request's head."""

    @property
    def query_bytes(self) -> int:
        """The size of a request's body."""

    @property
    def head_ms(self) -> float:
        """From the first byte of a head to its end."""

    @property
    def body_ms(self) -> float:
        """From the end of the head to that of the body."""

    @property
    def idle_ms(self) -> float:
        """From the opening, or from a response, to the first byte of the next request."""

    @property
    def answer_write_ms(self) -> float:
        """That a client may leave a response unread."""


class HttpConnection(ABC):
    """Serves the requests of one connection, one after another.

    A subclass answers them in route(). Every request read whole is passed to it, also where the connection is
    to be closed.
    """

    # Beginnings of the lower-case names of headers that a request may have only once.
    UNREPEATABLE_HEADERS: tuple[str, ...] = ("runspool-",)

    def __init__(
        self, limits: ConnectionLimits, connection: TcpConnection, count_busy: Callable[[int], None]
    ) -> None:
        """`count_busy` is called with +1 when a request's head is there and with -1 after its response."""
        self.limits = limits
        self.tcp = connection
        self.requests = HttpRequestParser(limits.head_bytes, limits.query_bytes, self.UNREPEATABLE_HEADERS)
        self.write_timeout_seconds = limits.answer_write_ms / 1000
        self.keeps_alive = True
        self.response_started = False  # something of the response under way has been written
        self._count_busy = count_busy
        self._head_wait: anyio.CancelScope | None = None  # set while the next request's head is waited for
        self._head_begun = False  # something of that head has been read
        self._body_wait: anyio.CancelScope | None = None  # set while the rest of a body is waited for
        self._refuses_incomplete = False  # the request of which a part has come is not waited for any longer

    @property
    @abstractmethod
    def closing(self) -> bool:
        """True once no further request is to be waited for."""

    @property
    def closes_after_response(self) -> bool:
        """True where the connection ends with the response under way, which says so."""
        return self.closing or not self.keeps_alive or self.tcp.discarded_bytes > 0

    @abstractmethod
    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Responds to a request that has been read whole.

        `received_at` is when its head was there, in tenths of a millisecond. Raising ConnectionClosedError or
        TimeoutError ends the connection, InvalidHttpRequestError after an error response.
        """

    def error_body(self, code: str, message: str) -> bytes:
        """The body of an error response."""
        return b"{}"

    def head_wait_ms(self) -> float:
        """Milliseconds that the next request may take to begin."""
        return self.limits.idle_ms

    def close_if_waiting(self, even_if_begun: bool = False) -> bool:
        """Ends the wait for the next request, and with it the connection.

        Returns False, and does nothing, where no request is waited for, or something of it has come, be it to
        this process or to its kernel. With `even_if_begun` a request is refused of whose head a part has been
        read.

        The client's task is not cancelled: a request read at that moment would be lost with it.
        """
        wait = self._head_wait
        if (
            wait is None
            or wait.cancel_called
            or (self._head_begun and not even_if_begun)
            or self.tcp.has_unsolicited_data()
        ):
            return False
        wait.cancel()
        return True

    def refuse_incomplete(self) -> None:
        """Ends the wait for the rest of a request of which only a part has come; its client is told so.

        Nothing is done where something has come that was not read yet: it may be the rest.
        """
        if self._body_wait is not None:
            if not self.tcp.has_unsolicited_data():
                self._refuses_incomplete = True
                self._body_wait.cancel()
        elif self._head_begun and self.close_if_waiting(even_if_begun=True):
            self._refuses_incomplete = True

    async def run(self) -> None:
        """Serves until the client disconnects, asks to close or sends an invalid request, or until `closing`.

        The caller closes the socket. Cancelled, it reports a request in progress as left by its client.
        """
        try:
            # What has been read is answered, also where the connection ends with the response before it.
            while self.keeps_alive and (not self.closing or self._has_read_more()):
                await self._serve_one()
        except (ConnectionClosedError, TimeoutError):
            return
        finally:
            self.requests.close()

    def _has_read_more(self) -> bool:
        return bool(self.requests.ready) or self.tcp.has_buffered_data

    async def _serve_one(self) -> None:
        try:
            request = await self._read_head()
            if request is None:
                self.keeps_alive = False
                return
            received_at = now()
            self._count_busy(1)
            try:
                await self._read_body(request)
                self.requests.ready.popleft()
                self.keeps_alive = request.keeps_alive
                await self.route(request, received_at)
            finally:
                self._count_busy(-1)
        except InvalidHttpRequestError as error:
            await self._refuse(error.status, error.code, error.message)

    async def _read_head(self) -> HttpRequest | None:
        """The next request, as soon as its head is there; None where the connection ends without one."""
        ready = self.requests.ready
        if ready and ready[0].head_complete:
            return ready[0]
        self.requests.raise_pending_error()
        self._head_begun = bool(ready)
        wait = self.limits.head_ms if self._head_begun else self.head_wait_ms()
        with anyio.CancelScope(deadline=self._deadline_after(wait)) as scope:
            self._head_wait = scope
            try:
                while not (ready and ready[0].head_complete):
                    try:
                        self.requests.feed(await self.tcp.receive())
                    except ConnectionClosedError:
                        if self._head_begun:
                            raise InvalidHttpRequestError(400, "malformed", "the head ends early") from None
                        return None
                    if not self._head_begun:
                        self._head_begun, scope.deadline = True, self._deadline_after(self.limits.head_ms)
            finally:
                self._head_wait = None
        if scope.cancelled_caught:
            if self._head_begun:
                raise self._incomplete_request_error("head_time", "the request's head took too long")
            # A request may have come just as the wait ended. It has been received, so it must be answered.
            return await self._read_head() if self.tcp.has_buffered_data else None
        return ready[0]

    def _deadline_after(self, wait_ms: float) -> float:
        """The end, on the event loop's clock, of a wait that begins now."""
        return anyio.current_time() + wait_ms / 1000

    async def _read_body(self, request: HttpRequest) -> None:
        if request.complete:
            return
        if request.expects_continue:
            await self.send(CONTINUE)
        with anyio.CancelScope(deadline=self._deadline_after(self.limits.body_ms)) as self._body_wait:
            try:
                while not request.complete:
                    try:
                        self.requests.feed(await self.tcp.receive())
                    except ConnectionClosedError:
                        raise InvalidHttpRequestError(400, "malformed", "the body ends early") from None
                return
            finally:
                self._body_wait = None
        raise self._incomplete_request_error("body_time", "the body took too long")

    def _incomplete_request_error(self, code: str, message: str) -> InvalidHttpRequestError:
        if self._refuses_incomplete:
            return InvalidHttpRequestError(503, "closing", "this server is stopping; ask another")
        return InvalidHttpRequestError(408, code, message)

    async def send_response(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Sends a whole response with a JSON body; raises as send() does."""
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *(headers or [])]
        if self.closes_after_response:
            fields.append(("Connection", "close"))
        await self.send(head(status, fields) + body)

    async def _refuse(self, status: int, code: str, message: str) -> None:
        """Responds to a request that was not accepted; the connection ends with it."""
        structlog.get_logger().debug("request_refused", status=status, code=code)
        self.keeps_alive = False
        await self.send_response(status, self.error_body(code, message))
        with anyio.move_on_after(LINGER_SECONDS):
            self.tcp.send_eof()
            remaining = LINGER_BYTES
            while remaining > 0:
                remaining -= len(await self.tcp.receive())

    async def send(self, data: bytes) -> None:
        """Writes a part of the response, and waits for the client to read enough of it.

        Raises TimeoutError after `write_timeout_seconds`, and ConnectionClosedError.
        """
        self.response_started = True
        if not self.tcp.write(data):
            with anyio.fail_after(self.write_timeout_seconds):
                await self.tcp.drained()

    async def final_response(
        self, executor: RequestExecutor[RequestT], pending: RequestT, streaming: StreamingResponse | None
    ) -> FinalResponse:
        """Waits for the final response to an accepted request, and watches for its client to disconnect.

        A client that does not read a streaming response in time counts as disconnected, and so does one whose
        connection's task is cancelled.
        """
        if streaming is not None:
            streaming.watch(lambda: executor.client_disconnected(pending))
        # What the client sends ahead stays with the connection for its next request, within bounds.
        self.tcp.on_lost(lambda: executor.client_disconnected(pending))
        try:
            if self.tcp.closed:
                executor.client_disconnected(pending)
            await pending.done.wait()
        except BaseException:
            executor.client_disconnected(pending)  # this task is being cancelled: nobody will send a response
            raise
        finally:
            self.tcp.lost_callback = None
            if streaming is not None:
                streaming.unwatch()
        assert pending.final_response is not None
        return pending.final_response
