"""One client's HTTP/1.1 connection: requests off it, answers onto it, its clocks. Knows no paths."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

import anyio
import structlog

from runspool.engines.idle_watchdog import IdleWatchdog, WatchedWait
from runspool.service.clock import now
from runspool.service.pending_request import FinalResponse
from runspool.service.request_executor import RequestExecutor, T
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import tenths
from runspool.wire.http_requests import (
    CONTINUE,
    HttpRequest,
    HttpRequestParser,
    InvalidHttpRequestError,
    head,
)

LINGER = 1.0  # seconds that a refused client's unread bytes are still swallowed, so that it sees the answer
LINGER_BYTES = 8 << 20


class ConnectionLimits(Protocol):
    """What a connection bears; times in milliseconds."""

    @property
    def head_bytes(self) -> int: ...
    @property
    def query_bytes(self) -> int: ...
    @property
    def head_ms(self) -> float: ...
    @property
    def body_ms(self) -> float: ...
    @property
    def idle_ms(self) -> float: ...
    @property
    def answer_write_ms(self) -> float: ...


class HttpConnection(ABC):
    ONCE_ONLY: tuple[str, ...] = ("runspool-",)  # headers that may not be said twice, by how they begin

    def __init__(self, bounds: ConnectionLimits, line: TcpConnection, working: Callable[[int], None]) -> None:
        """`working` is told +1 when a request is at hand and -1 when its answer is out."""
        self.working = working
        self.limits = bounds
        self.tcp = line
        self.requests = HttpRequestParser(bounds.head_bytes, bounds.query_bytes, self.ONCE_ONLY)
        self.write_time = bounds.answer_write_ms / 1000
        self.keeps_alive = True
        self.answering = False  # something of the answer under way has been written
        self._wait: anyio.CancelScope | None = None  # for the next request's head
        self._begun = False  # some of that head has come

    @property
    @abstractmethod
    def closing(self) -> bool:
        """True once no further request is to be waited for."""

    @property
    def last(self) -> bool:
        """True where the answer under way says that the connection ends with it."""
        return self.closing or not self.keeps_alive or self.tcp.discarded_bytes > 0

    @abstractmethod
    async def route(self, request: HttpRequest, came: int) -> None:
        """Answers a whole request; `came` is when its head was there."""

    def error(self, code: str, message: str) -> bytes:
        """The body of a refusal."""
        return b"{}"

    def head_wait(self) -> float:
        """Milliseconds that the next request may take to begin."""
        return self.limits.idle_ms

    def close_if_waiting(self, begun: bool = False) -> bool:
        """Ends the wait for a next request; False where none is waited for, or something of it has come, to
        this process or to its kernel. With `begun` one whose head has begun is refused too.

        Not by cancelling the client's task: a request that came just then was read and lost with it.
        """
        wait = self._wait
        if (
            wait is None
            or wait.cancel_called
            or (self._begun and not begun)
            or self.tcp.has_unsolicited_data()
        ):
            return False
        wait.cancel()
        return True

    async def run(self) -> None:
        """Serves until the client goes, asks to close, sends what cannot be taken, or the front stops."""
        try:
            while self.keeps_alive and not self.closing:
                await self._serve_one()
        except (ConnectionClosedError, TimeoutError):
            return
        finally:
            self.requests.close()

    async def _serve_one(self) -> None:
        try:
            request = await self._read_head()
            if request is None:
                self.keeps_alive = False
                return
            came = now()
            self.working(1)
            try:
                await self._read_body(request)
                self.requests.ready.popleft()
                self.keeps_alive = request.keeps_alive
                await self.route(request, came)
            finally:
                self.working(-1)
        except InvalidHttpRequestError as bad:
            await self._refuse(bad.status, bad.code, bad.message)

    async def _read_head(self) -> HttpRequest | None:
        """The next request, as soon as its head is there; None where no further one comes."""
        ready = self.requests.ready
        if ready and ready[0].head_complete:
            return ready[0]
        self.requests.raise_pending_error()
        self._begun = bool(ready)
        wait = self.limits.head_ms if self._begun else self.head_wait()
        with anyio.CancelScope(deadline=self._time_limit(wait)) as scope:
            self._wait = scope
            try:
                while not (ready and ready[0].head_complete):
                    try:
                        self.requests.feed(await self.tcp.receive())
                    except ConnectionClosedError:
                        if self._begun:
                            raise InvalidHttpRequestError(400, "malformed", "the head ends early") from None
                        return None
                    if not self._begun:
                        self._begun, scope.deadline = True, self._time_limit(self.limits.head_ms)
            finally:
                self._wait = None
        if scope.cancelled_caught:
            if self._begun:
                raise InvalidHttpRequestError(408, "head_time", "the request's head took too long")
            # Against a request that came in the moment the wait ended: it has been received, so it is taken.
            return await self._read_head() if self.tcp.has_buffered_data else None
        return ready[0]

    def _time_limit(self, wait_ms: float) -> float:
        """When a wait that begins now ends."""
        return anyio.current_time() + wait_ms / 1000

    async def _read_body(self, request: HttpRequest) -> None:
        if request.complete:
            return
        if request.expects_continue:
            await self.send(CONTINUE)
        with anyio.CancelScope(deadline=self._time_limit(self.limits.body_ms)):
            while not request.complete:
                try:
                    self.requests.feed(await self.tcp.receive())
                except ConnectionClosedError:
                    raise InvalidHttpRequestError(400, "malformed", "the body ends early") from None
            return
        raise InvalidHttpRequestError(408, "body_time", "the body took too long")

    async def send_response(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *(headers or [])]
        if self.last:
            fields.append(("Connection", "close"))
        await self.send(head(status, fields) + body)

    async def _refuse(self, status: int, code: str, message: str) -> None:
        """A refusal before intake, after which the connection ends."""
        structlog.get_logger().debug("request_refused", status=status, code=code)
        self.keeps_alive = False
        await self.send_response(status, self.error(code, message))
        with anyio.move_on_after(LINGER):
            self.tcp.send_eof()
            left = LINGER_BYTES
            while left > 0:
                left -= len(await self.tcp.receive())

    async def send(self, data: bytes) -> None:
        self.answering = True
        if not self.tcp.write(data):
            with anyio.fail_after(self.write_time):
                await self.tcp.drained()

    async def final_response(
        self, front: RequestExecutor[T], taken: T, sending: StreamingResponse | None
    ) -> FinalResponse:
        """Waits for a taken query's final answer; whoever goes before counts as having left."""
        if sending is not None:
            sending.watch(lambda: front.client_disconnected(taken))
        # What it sends ahead stays on the line for the next cycle, up to what a line keeps.
        self.tcp.on_lost(lambda: front.client_disconnected(taken))
        try:
            if self.tcp.closed:
                front.client_disconnected(taken)
            await taken.done.wait()
        except BaseException:
            front.client_disconnected(taken)  # this connection is being ended: nobody is there to answer
            raise
        finally:
            self.tcp.lost_callback = None
            if sending is not None:
                sending.unwatch()
        assert taken.final_response is not None
        return taken.final_response


class StreamingResponse:
    """An answer sent on as it comes, to a client that must keep reading."""

    def __init__(self, talk: HttpConnection, vigil: IdleWatchdog) -> None:
        self.connection, self.vigil = talk, vigil
        self.opened = False
        self.torn = False  # a send was cut short: what the client has is no longer known
        self.watched: WatchedWait | None = None

    def watch(self, out: Callable[[], None]) -> None:
        """A client that does not read its answer in time counts as one that left."""
        self.watched = self.vigil.watch(tenths(self.connection.limits.answer_write_ms), out)

    def unwatch(self) -> None:
        """Lets go of the query, which holds this: knots are left to the collector, and stop the front."""
        if self.watched is not None:
            self.vigil.unwatch(self.watched)
            self.watched = None

    async def forward(self, data: bytes) -> None:
        self.connection.answering = True
        if self.connection.tcp.write(data):
            return
        self.torn = True
        if self.watched is not None:
            self.watched.waiting_since = now()
        await self.connection.tcp.drained()
        self.torn = False
        if self.watched is not None:
            self.watched.waiting_since = 0
