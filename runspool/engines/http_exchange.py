"""HTTP exchanges on pooled connections: sending a request and reading its response within a time limit.

Subclasses of HttpExchangeClient implement the protocol of one kind of peer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress

import anyio

from runspool.engines.attempt_result import FramingState
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
from runspool.limits.connection_resources import ConnectionResources
from runspool.limits.peer_limits import PeerLimit, PeerLimitMonitor
from runspool.limits.work_turns import Worker
from runspool.transport.tcp import ConnectionClosedError
from runspool.units import TENTHS_PER_SECOND, ms_to_tenths

# Upper bound, in tenths of a millisecond, for the round-trip time for which a reused connection is observed
# before the last byte of a request is sent. The round-trip time is estimated by the time taken to connect,
# which may have been long for other reasons.
MAX_OBSERVATION_TIME = 50

# A body of up to this size, in bytes, is copied so that it is sent in one piece with its head. A larger one
# is not: all attempts in progress together would hold a second copy of their requests.
MAX_JOINED_BODY_BYTES = 4_096
# A read of up to this size, in bytes, is worked on without a turn: it costs little more than the turn.
MAX_READ_WITHOUT_TURN = 2_048

# Maximum size that a stream may state for a chunk of it, in bytes, where no protocol says less.
DEFAULT_MAX_STREAM_PART_BYTES = 16_777_216

# Returns the head and the body of the encoded request. The argument is the time remaining for it, in tenths
# of a millisecond.
RequestEncoder = Callable[[int], tuple[bytes, bytes]]


class Exchange(Worker):
    """The state of one exchange. It takes turns with all other peers of the process.

    Attributes:
        permit: Decides whether the request may be sent.
        connection: Set once a connection has been acquired.
        timer: Time limit of the exchange; set together with `connection`.
        reached_engine: True once any byte of the response has arrived.
        body_bytes: Number of bytes held of a body that is not a stream.
        part_number: Number of the last part of the body whose stated size has been read.
        part_stated_at: When that was, in tenths of a millisecond.
    """

    __slots__ = (
        "body_bytes",
        "connection",
        "part_number",
        "part_stated_at",
        "permit",
        "reached_engine",
        "timer",
    )

    def __init__(self, permit: SendPermit = UNRESTRICTED) -> None:
        super().__init__()
        self.permit = permit
        self.connection: PooledConnection
        self.timer: ExchangeTimer
        self.reached_engine = False
        self.body_bytes = 0
        self.part_number = 0
        self.part_stated_at = 0

    @property
    def response(self) -> ResponseParser:
        """The parser of the response."""
        return self.connection.response

    def framing_state(self, now: int) -> FramingState | None:
        """Return what the response has stated about its body; None if its head has not arrived.

        `now` is in tenths of a millisecond.
        """
        if not self.reached_engine or not self.response.head_complete:
            return None
        framing = self.response.framing
        return FramingState(
            framing.part_number, framing.part_bytes, framing.remaining_bytes, now - self.part_stated_at
        )


def encode_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes = b""
) -> tuple[bytes, bytes]:
    """Return the head of a request and its body. The caller must have validated the names and values."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode("latin-1"), body


class HttpExchangeClient:
    """Base class of clients that make HTTP exchanges on pooled connections.

    The connection of a failed or cancelled exchange is closed.
    """

    def __init__(
        self,
        settings: ClientSettings,
        now: Callable[[], int],
        idle_timeout_ms: float,
        max_connections: int = 0,
        quiet_ms: float = 0,
        resources: ConnectionResources | None = None,
        max_stream_part_bytes: int = DEFAULT_MAX_STREAM_PART_BYTES,
    ) -> None:
        """Create a client with an empty connection pool.

        Args:
            settings: Limits and timeouts.
            now: Returns the current time in tenths of a millisecond.
            idle_timeout_ms: Maximum duration of one read of a stream after its first token, in milliseconds.
            max_connections: Maximum number of connections to all peers together; 0 for no limit.
            quiet_ms: Time after an exchange, in milliseconds, within which the peer may still send surplus
                bytes on its connection.
            resources: What all connections of the process share; None if nothing is shared.
            max_stream_part_bytes: Maximum size that a stream may state for a chunk, or for the whole of it,
                in bytes. A chunk may hold any number of events.
        """
        self.resources = resources or ConnectionResources(PeerLimitMonitor())
        self.limit_monitor = self.resources.limit_monitor
        self.settings = settings
        self.now = now
        self.idle_timeout = ms_to_tenths(idle_timeout_ms)
        # Maximum size that a stream may state for a chunk of it, in bytes.
        self.max_stream_part_bytes = max_stream_part_bytes
        self.watchdog = IdleWatchdog(now)
        self.pool = ConnectionPool(
            settings, now, max_connections, ms_to_tenths(quiet_ms), self.resources.memory
        )

    def classify_response(self, response: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Return the failure cause of a response with an unexpected status, and a description for the log."""
        raise NotImplementedError

    def _start_timer(self, timeout: int) -> ExchangeTimer:
        if timeout <= 0:
            raise ExchangeAbortedError(FailureCause.NO_TIME_LEFT)
        return ExchangeTimer(timeout)

    @contextmanager
    def _managed_connection(self, exchange: Exchange) -> Iterator[None]:
        """On exit, return the connection to the pool if the response is complete, otherwise close it."""
        try:
            yield
        finally:
            connection = getattr(exchange, "connection", None)
            if connection is not None and connection.response.complete:
                self.pool.release(connection)
            elif connection is not None:
                self.pool.discard(connection)

    @contextmanager
    def _watched_stream(self, timer: ExchangeTimer, exchange: Exchange) -> Iterator[WatchedWait]:
        """Replace the exchange's time limit by the idle timeout while the body reads a started stream.

        The body must set `waiting_since` of the yielded wait whenever a part of the stream that its client
        waits for has arrived; bytes alone are no progress. It must be 0 while the body waits for anything
        else. A wait that exceeds the timeout ends the exchange with the cause STREAM_INTERRUPTED.
        """
        timer.remove_limit(FailureCause.STREAM_INTERRUPTED)
        wait = self.watchdog.watch(self.idle_timeout, timer.cancel)
        try:
            yield wait
        finally:
            self.watchdog.unwatch(wait)
            if wait.timed_out:
                self._limit_reached(PeerLimit.STREAM_IDLE_TIME, exchange)

    async def _send_request(
        self,
        exchange: Exchange,
        timer: ExchangeTimer,
        address: Address,
        encode: RequestEncoder,
        connect_ms: float | None = None,
    ) -> None:
        """Acquire a connection for the exchange and send the whole request on it.

        Args:
            exchange: The exchange, not yet connected.
            timer: Its time limit, already running.
            address: Host and port of the peer.
            encode: Encodes the request.
            connect_ms: Time limit for opening a connection, in milliseconds; None for that of the settings.

        Raises:
            ExchangeAbortedError: No connection was available, the request was not permitted, or sending it
                failed.
        """
        try:
            exchange.connection = await self.pool.acquire(address, connect_ms)
        except ConnectionLimitError as error:
            raise ExchangeAbortedError(FailureCause.CONNECTION_LIMIT_REACHED, str(error)) from None
        except Exception as error:  # noqa: BLE001 - nothing has been sent, so any exception is a failed connect
            raise ExchangeAbortedError(
                FailureCause.CONNECT_FAILED, str(error) or type(error).__name__
            ) from None
        exchange.connection.exchange_count += 1
        exchange.timer = timer
        timer.timeout_cause = FailureCause.TIMED_OUT_WHILE_SENDING
        await self._transmit(exchange, timer, encode)
        timer.timeout_cause = FailureCause.TIMED_OUT_BEFORE_RESPONSE

    async def _transmit(self, exchange: Exchange, timer: ExchangeTimer, encode: RequestEncoder) -> None:
        connection = exchange.connection
        self._require_permission(exchange.permit.deny_first_byte())
        encoded_at = self.now()
        observation_time = self._observation_time(connection)
        # Encoded only now, because the remaining time has decreased while the connection was established.
        head, body = encode(max(1, timer.remaining() - observation_time))
        # The last byte is sent separately, because the engine cannot execute the request without it. If a
        # stale idle connection fails before that, the request is known not to have executed.
        await self._send_all_but_last_byte(connection, head, body, observation_time)
        self._require_permission(exchange.permit.deny_last_byte(encoded_at))
        try:
            await connection.tcp.send((body or head)[-1:])
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(FailureCause.CLOSED_BEFORE_RESPONSE, str(error)) from None
        exchange.permit.request_written()

    def _limit_reached(self, limit: PeerLimit, exchange: Exchange) -> None:
        host, port = exchange.connection.address
        self.limit_monitor.reached(limit, peer=f"{host}:{port}")

    def _require_permission(self, denial: str | None) -> None:
        if denial is not None:
            raise ExchangeAbortedError(FailureCause.NOT_PERMITTED, denial)

    async def _send_all_but_last_byte(
        self, connection: PooledConnection, head: bytes, body: bytes, observation_time: int
    ) -> None:
        try:
            if len(body) > MAX_JOINED_BODY_BYTES:
                await connection.tcp.send(head)
                await connection.tcp.send(memoryview(body)[:-1])
            else:
                await connection.tcp.send((head + body)[:-1])
            if observation_time:
                await connection.tcp.stays_silent(observation_time / TENTHS_PER_SECOND)
            if connection.has_unread_input():
                raise ExchangeAbortedError(
                    FailureCause.CLOSED_WHILE_SENDING,
                    "peer closed the connection or sent data before it had the whole request",
                )
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(FailureCause.CLOSED_WHILE_SENDING, str(error)) from None

    def _observation_time(self, connection: PooledConnection) -> int:
        """Return how long to observe the connection before the last byte is sent, in tenths of a millisecond.

        If the engine has dropped an idle connection without closing it, it answers the first bytes with a
        reset, which arrives one round trip later. If the last byte were sent before that, it would be
        unknown whether the request was executed. The observation also covers the quiet time of the
        connection: a surplus response that arrives some milliseconds after the previous one would otherwise
        be taken for the response to this request. A new connection is not observed.
        """
        if not connection.idle_since:
            return 0
        return max(
            min(connection.round_trip, MAX_OBSERVATION_TIME),
            self.pool.quiet_time - self.now() + connection.idle_since,
        )

    async def _read_head(
        self, exchange: Exchange, expected_status: int = 200, is_stream: bool = False
    ) -> ResponseParser:
        """Read the response head.

        Args:
            exchange: The exchange.
            expected_status: The status of a successful response.
            is_stream: Whether a successful response is a stream.

        Raises:
            ExchangeAbortedError: The status is not the expected one, or the response states a size that such
                a response cannot have.
        """
        response = exchange.response
        response.max_part_bytes = self.max_stream_part_bytes if is_stream else self.settings.read_answer_bytes
        while not response.head_complete:
            await self._read_more(exchange, FailureCause.CLOSED_BEFORE_RESPONSE)
        if response.status == expected_status:
            self._check_stated_size(exchange)
            return response
        body = b""
        # The status alone decides whether the attempt may have executed. The body is read for `connect_ms` at
        # most, and may be incomplete.
        with suppress(ExchangeAbortedError), anyio.move_on_after(self.settings.connect_ms / 1000):
            body = await self._read_body(exchange)
        cause, detail = self.classify_response(response, body)
        raise ExchangeAbortedError(cause, f"status {response.status} {detail}".strip())

    async def _read_body(self, exchange: Exchange) -> bytes:
        """Read the whole body; raise ExchangeAbortedError if it exceeds `read_answer_bytes`."""
        response = exchange.response
        self._check_stated_size(exchange)
        body = bytearray(response.take_body())
        while not response.complete:
            await self._read_more(exchange, FailureCause.CLOSED_DURING_RESPONSE)
            body += response.take_body()
            exchange.body_bytes = len(body)
            if len(body) > (max_bytes := self._max_body_bytes(exchange)):
                self._limit_reached(PeerLimit.RESPONSE_BODY_BYTES, exchange)
                raise ExchangeAbortedError(
                    FailureCause.MALFORMED_RESPONSE, f"response body exceeds {max_bytes} bytes"
                )
        return bytes(body)

    def _max_body_bytes(self, exchange: Exchange) -> int:
        """Return the maximum size of the body of this exchange's response."""
        return self.settings.read_answer_bytes

    async def _read_more(self, exchange: Exchange, cause_if_closed: FailureCause) -> None:
        """Receive the next bytes and pass them to the response parser.

        Raises:
            ExchangeAbortedError: The connection was lost (with the cause `cause_if_closed`), or the response
                is not valid HTTP or states a size that it cannot have. Where the head has arrived only now,
                such a size is not reported: the status may count whatever the body is.
        """
        response = exchange.response
        had_head = response.head_complete
        tcp = exchange.connection.tcp
        if not tcp.has_buffered_data:
            exchange.units = 0
        try:
            await tcp.wait_for_data()
            if tcp.buffered_bytes > MAX_READ_WITHOUT_TURN:
                await self.resources.work_turns.take(exchange)
            data = tcp.take_data()
        except ConnectionClosedError as error:
            raise ExchangeAbortedError(cause_if_closed, str(error) or "closed") from None
        if not exchange.reached_engine:
            exchange.reached_engine = True
            exchange.permit.response_started()
        try:
            response.feed(data)
        except MalformedHttpResponseError as error:
            raise self._malformed_response(exchange, error) from None
        if response.framing.part_number != exchange.part_number:
            exchange.part_number = response.framing.part_number
            exchange.part_stated_at = self.now()
        if had_head and response.oversized:
            self._check_stated_size(exchange)

    def _check_stated_size(self, exchange: Exchange) -> None:
        """Raise ExchangeAbortedError if the response has stated a size that it cannot have."""
        try:
            exchange.response.raise_if_oversized()
        except MalformedHttpResponseError as error:
            raise self._malformed_response(exchange, error) from None

    def _malformed_response(
        self, exchange: Exchange, error: MalformedHttpResponseError
    ) -> ExchangeAbortedError:
        """Report the limit that a response has reached, if any, and return the error of its exchange."""
        if error.limit is not None:
            self._limit_reached(error.limit, exchange)
        return ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, str(error))
