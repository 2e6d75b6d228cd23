"""One HTTP exchange on a pooled connection: the request is sent and its response read, within a time limit.

Subclasses of HttpExchangeClient know the protocol of their peer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress

import anyio

from runspool.engines.connection_pool import (
    Address,
    ClientSettings,
    ConnectionLimitError,
    ConnectionPool,
    PooledConnection,
)
from runspool.engines.exchange_timer import ExchangeTimer
from runspool.engines.failure_classification import ExchangeAbortedError, FailureCause
from runspool.engines.idle_watchdog import IdleWatchdog, WatchedWait
from runspool.engines.response_parser import MalformedHttpResponseError, ResponseParser
from runspool.engines.send_permit import UNRESTRICTED, SendPermit
from runspool.transport.tcp import ConnectionClosedError
from runspool.units import UNITS_PER_SECOND, tenths

# An idle connection is observed for its round trip before the last byte is sent, but for no longer than this,
# in tenths of a millisecond: connecting may have been slow for other reasons.
MAX_OBSERVATION_TIME = 50

# Encodes a request; the argument is the time that is left for it, in tenths of a millisecond.
RequestEncoder = Callable[[int], bytes]


class Exchange:
    """The state of one exchange; `connection` and `timer` are set once a connection has been acquired."""

    __slots__ = ("connection", "permit", "reached_engine", "timer")

    def __init__(self, permit: SendPermit = UNRESTRICTED) -> None:
        self.permit = permit
        self.connection: PooledConnection
        self.timer: ExchangeTimer
        self.reached_engine = False

    @property
    def response(self) -> ResponseParser:
        """The response that is being read."""
        return self.connection.response


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a whole request; the caller must have checked the headers' names and values."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode("latin-1") + body


class HttpExchangeClient:
    """Base of clients that carry out exchanges on pooled connections.

    An exchange that is cancelled, or that fails, closes its connection.
    """

    def __init__(
        self,
        settings: ClientSettings,
        now: Callable[[], int],
        idle_timeout_ms: float,
        max_connections: int = 0,
        quiet_ms: float = 0,
    ) -> None:
        """Create a client without connections.

        Args:
            settings: Limits and timeouts.
            now: The time in tenths of a millisecond.
            idle_timeout_ms: How long a stream that has started may be silent.
            max_connections: The limit for the connections to all peers together; 0 sets none.
            quiet_ms: How long after an exchange its peer may still send bytes that belong to it.
        """
        self.settings = settings
        self.now = now
        self.idle_timeout = tenths(idle_timeout_ms)
        self.watchdog = IdleWatchdog(now)
        self.pool = ConnectionPool(settings, now, max_connections, tenths(quiet_ms))

    def classify_response(self, response: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Return what a response with an unexpected status means, and a detail for the log."""
        raise NotImplementedError

    def _start_timer(self, timeout: int) -> ExchangeTimer:
        if timeout <= 0:
            raise ExchangeAbortedError(FailureCause.NO_TIME_LEFT)
        return ExchangeTimer(timeout)

    @contextmanager
    def _managed_connection(self, exchange: Exchange) -> Iterator[None]:
        """At the end release the exchange's connection, if it has one; discard it if it was cut short."""
        try:
            yield
        finally:
            connection = getattr(exchange, "connection", None)
            if connection is not None and connection.response.complete:
                self.pool.release(connection)
            elif connection is not None:
                self.pool.discard(connection)

    @contextmanager
    def _watched_stream(self, timer: ExchangeTimer) -> Iterator[WatchedWait]:
        """Replace the exchange's time limit by the idle timeout, while a stream that has started is read.

        The body sets `waiting_since` of the wait that it is given at the start of each read, and sets it to 0
        afterwards. A read past the timeout ends the exchange with the cause STREAM_INTERRUPTED.
        """
        timer.remove_limit(FailureCause.STREAM_INTERRUPTED)
        wait = self.watchdog.watch(self.idle_timeout, timer.cancel)
        try:
            yield wait
        finally:
            self.watchdog.unwatch(wait)

    async def _send_request(
        self,
        exchange: Exchange,
        timer: ExchangeTimer,
        address: Address,
        encode: RequestEncoder,
        connect_ms: float | None = None,
    ) -> None:
        """Acquire a connection for the exchange, as the pool does, and send the whole request on it."""
        try:
            exchange.connection = await self.pool.acquire(address, connect_ms)
        except ConnectionLimitError as error:
            raise ExchangeAbortedError(FailureCause.CONNECTION_LIMIT_REACHED, str(error)) from None
        except Exception as error:  # noqa: BLE001 - whatever the event loop raises, nothing has been sent
            raise ExchangeAbortedError(
                FailureCause.CONNECT_FAILED, str(error) or type(error).__name__
            ) from None
        exchange.connection.exchanges_begun += 1
        exchange.timer = timer
        timer.timeout_cause = FailureCause.TIMED_OUT_WHILE_SENDING
        await self._transmit(exchange, timer, encode)
        timer.timeout_cause = FailureCause.TIMED_OUT_BEFORE_RESPONSE

    async def _transmit(self, exchange: Exchange, timer: ExchangeTimer, encode: RequestEncoder) -> None:
        connection = exchange.connection
        self._require_permission(exchange.permit.deny_first_byte())
        encoded_at = self.now()
        observation_time = self._observation_time(connection)
        # Encoded only now: the time that is left has shrunk while the connection was established.
        request = encode(max(1, timer.remaining() - observation_time))
        # The last byte is held back: the engine cannot have started before it is sent, so that a connection
        # that broke while it was idle leaves no doubt about what was executed.
        await self._send_all_but_last_byte(connection, request, observation_time)
        self._require_permission(exchange.permit.deny_last_byte(encoded_at))
        try:
            await connection.tcp.send(request[-1:])
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(FailureCause.CLOSED_BEFORE_RESPONSE, str(error)) from None
        exchange.permit.request_written()

    def _require_permission(self, denial: str | None) -> None:
        if denial is not None:
            raise ExchangeAbortedError(FailureCause.NOT_PERMITTED, denial)

    async def _send_all_but_last_byte(
        self, connection: PooledConnection, request: bytes, observation_time: int
    ) -> None:
        try:
            await connection.tcp.send(request[:-1])
            if observation_time:
                await connection.tcp.stays_silent(observation_time / UNITS_PER_SECOND)
            if connection.has_unsolicited_data():
                raise ExchangeAbortedError(
                    FailureCause.CLOSED_WHILE_SENDING, "closed or answered before it had the request"
                )
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(FailureCause.CLOSED_WHILE_SENDING, str(error)) from None

    def _observation_time(self, connection: PooledConnection) -> int:
        """Return how long to observe the connection before the last byte, in tenths of a millisecond.

        A connection that its engine dropped silently is reset when the first bytes reach it, which takes a
        round trip to be seen. Without the wait the last byte would be sent sooner, and it would be unknown
        whether the request was executed. Also, a surplus response may come some milliseconds after the
        previous one, and would be taken for the response to this request.
        """
        if not connection.idle_since:
            return 0
        return max(
            min(connection.round_trip, MAX_OBSERVATION_TIME),
            self.pool.quiet_time - self.now() + connection.idle_since,
        )

    async def _read_head(self, exchange: Exchange, expected_status: int = 200) -> ResponseParser:
        """Read the head of a response with the expected status; any other status ends the exchange."""
        response = exchange.response
        while not response.head_complete:
            await self._read_more(exchange, FailureCause.CLOSED_BEFORE_RESPONSE)
        if response.status == expected_status:
            return response
        body = b""
        # The status alone decides what is promised: a body that breaks off or never ends changes nothing.
        with suppress(ExchangeAbortedError), anyio.move_on_after(self.settings.connect_ms / 1000):
            body = await self._read_body(exchange)
        cause, detail = self.classify_response(response, body)
        raise ExchangeAbortedError(cause, f"status {response.status} {detail}".strip())

    async def _read_body(self, exchange: Exchange) -> bytes:
        """Read the whole body, of `read_answer_bytes` at most."""
        response = exchange.response
        body = bytearray(response.take_body())
        while not response.complete:
            await self._read_more(exchange, FailureCause.CLOSED_DURING_RESPONSE)
            body += response.take_body()
            if len(body) > self.settings.read_answer_bytes:
                raise ExchangeAbortedError(
                    FailureCause.MALFORMED_RESPONSE,
                    f"an answer of over {self.settings.read_answer_bytes} bytes",
                )
        return bytes(body)

    async def _read_more(self, exchange: Exchange, cause_if_closed: FailureCause) -> None:
        """Feed the next bytes that come to the response; a connection lost here has `cause_if_closed`."""
        try:
            data = await exchange.connection.tcp.receive()
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(cause_if_closed, str(error) or "closed") from None
        if not exchange.reached_engine:
            exchange.reached_engine = True
            exchange.permit.response_started()
        try:
            exchange.response.feed(data)
        except MalformedHttpResponseError as error:
            raise ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, str(error)) from None
