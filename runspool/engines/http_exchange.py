"""One request on a pooled connection: sent, its answer read, its time kept. Knows no protocol's words."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import anyio

from runspool.engines.connection_pool import (
    Address,
    ClientSettings,
    ConnectionLimitError,
    ConnectionPool,
    PooledConnection,
)
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.idle_watchdog import IdleWatchdog
from runspool.engines.response_parser import MalformedHttpResponseError, ResponseParser
from runspool.scheduling.types import AttemptStatus, LoadReport
from runspool.transport.tcp import ConnectionClosedError
from runspool.units import TENTHS, tenths

LONGEST_LOOK = 50  # tenths of a millisecond: a connect may have been slow for other reasons

RequestEncoder = Callable[
    [int], bytes
]  # a request's bytes, from the tenths of a millisecond that are left for it
Piece = TypeVar("Piece", contravariant=True)


class ResponseListener(Protocol[Piece]):
    """Hears a streamed answer while it comes, in the protocol's own pieces."""

    async def stream_started(self) -> None: ...
    async def data_received(self, piece: Piece, /) -> None: ...


@dataclass(slots=True)
class AttemptResult:
    """How a shot ended; `mishap` is None where it did what it was sent for."""

    status: AttemptStatus
    failure_cause: FailureCause | None = None
    detail: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    reached_engine: bool = False  # the engine has said something: it had the request, or its head at least
    state: Any = None  # what names the state that waits, in the protocol's own form
    load_report: LoadReport | None = None

    def fail(self, mishap: FailureCause, detail: str, begun: bool) -> None:
        """Whatever breaks an answer once its client has seen some of it is a stream cut."""
        self.failure_cause, self.detail = FailureCause.STREAM_INTERRUPTED if begun else mishap, detail
        self.status = STATUS_BY_CAUSE[self.failure_cause]


class ExchangeAbortedError(Exception):
    """An exchange that ended early, and what was seen."""

    def __init__(self, mishap: FailureCause, detail: str = "") -> None:
        super().__init__(detail)
        self.cause, self.detail = mishap, detail


class SendPermit(Protocol):
    """Says whether an exchange may go on, and hears how far it has come."""

    def deny_last_byte(self, worded: int) -> str | None:
        """Why the last byte may not go now; None where it may. `worded`: when the request was worded."""

    def request_written(self) -> None:
        """The kernel has all of it, which says nothing of the engine."""

    def response_started(self) -> None:
        """The engine has said something."""


class UnrestrictedPermit:
    """Permits everything and hears nothing."""

    def deny_last_byte(self, worded: int) -> str | None:
        return None

    def request_written(self) -> None:
        return

    def response_started(self) -> None:
        return


UNRESTRICTED = UnrestrictedPermit()


class Exchange:
    """One exchange: its link, once it stands, and how far it has come."""

    __slots__ = ("connection", "permit", "reached_engine", "timer")

    def __init__(self, permit: SendPermit = UNRESTRICTED) -> None:
        self.permit = permit
        self.connection: PooledConnection
        self.timer: ExchangeTimer
        self.reached_engine = False

    @property
    def response(self) -> ResponseParser:
        return self.connection.response


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A whole request; names and values are checked where they came in."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode("latin-1") + body


class HttpExchangeClient:
    """Carries out exchanges on pooled connections."""

    def __init__(
        self,
        terms: ClientSettings,
        now: Callable[[], int],
        silence_ms: float,
        most: int = 0,
        rest_ms: float = 0,
    ) -> None:
        """`most` bounds the connections to all peers together, 0 sets no bound; `rest_ms` is how long after
        an exchange its peer may still say what belongs to it."""
        self.settings = terms
        self.now = now
        self.silence = tenths(silence_ms)
        self.watchdog = IdleWatchdog(now)
        self.pool = ConnectionPool(terms, now, most, tenths(rest_ms))

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """What an answer of another status than the wanted one means, and a detail for the log."""
        raise NotImplementedError

    def _start_timer(self, limit: int) -> ExchangeTimer:
        if limit <= 0:
            raise ExchangeAbortedError(FailureCause.NO_TIME_LEFT)
        return ExchangeTimer(limit)

    @contextmanager
    def _managed_connection(self, call: Exchange) -> Iterator[None]:
        """At the end gives the call's link back or drops it, if it has one."""
        try:
            yield
        finally:
            link = getattr(call, "connection", None)
            if link is not None and link.response.complete:
                self.pool.release(link)
            elif link is not None:
                self.pool.discard(link)

    async def _send_request(
        self, call: Exchange, clock: ExchangeTimer, address: Address, words: RequestEncoder
    ) -> None:
        """Gives the call a link on which the request has been sent whole."""
        try:
            call.connection = await self.pool.acquire(address)
        except ConnectionLimitError as fault:
            raise ExchangeAbortedError(FailureCause.CONNECTION_LIMIT_REACHED, str(fault)) from None
        except Exception as fault:  # whatever the loop raises, nothing has been sent
            raise ExchangeAbortedError(
                FailureCause.CONNECT_FAILED, str(fault) or type(fault).__name__
            ) from None
        call.timer = clock
        clock.timeout_cause = FailureCause.TIMED_OUT_WHILE_SENDING
        await self._transmit(call, clock, words)
        clock.timeout_cause = FailureCause.TIMED_OUT_BEFORE_RESPONSE

    async def _transmit(self, call: Exchange, clock: ExchangeTimer, words: RequestEncoder) -> None:
        link, worded = call.connection, self.now()
        look = self._observation_time(link)
        # In words only now: what is left has shrunk while the connection came up.
        request = words(max(1, clock.remaining() - look))
        try:
            # The last byte is held back: until it goes the engine cannot have begun, so a connection
            # that broke while idle costs no doubt about what ran.
            await link.tcp.send(request[:-1])
            if look:
                await link.tcp.stays_silent(look / (1000 * TENTHS))
            if link.has_unsolicited_data():
                raise ExchangeAbortedError(
                    FailureCause.CLOSED_WHILE_SENDING, "closed or answered before it had the request"
                )
        except ConnectionClosedError as fault:
            raise ExchangeAbortedError(FailureCause.CLOSED_WHILE_SENDING, str(fault)) from None
        reason = call.permit.deny_last_byte(worded)
        if reason is not None:
            raise ExchangeAbortedError(FailureCause.NOT_PERMITTED, reason)
        try:
            await link.tcp.send(request[-1:])
        except ConnectionClosedError as fault:
            raise ExchangeAbortedError(FailureCause.CLOSED_BEFORE_RESPONSE, str(fault)) from None
        call.permit.request_written()

    def _observation_time(self, link: PooledConnection) -> int:
        """How long the link is looked at before the last byte goes, in tenths of a millisecond.

        A connection that its engine gave up without a word is reset by the first bytes to reach it, which
        takes a round trip to be seen: sooner the last byte would go, and with it all certainty. And an answer
        too many may come some milliseconds after the one before, and would be taken for this request's.
        """
        if not link.idle_since:
            return 0
        return max(min(link.round_trip, LONGEST_LOOK), self.pool.quiet_time - self.now() + link.idle_since)

    async def _read_head(self, call: Exchange, wanted: int = 200) -> ResponseParser:
        """The head of an answer of the wanted status; any other status ends the exchange."""
        reply = call.response
        while not reply.head_complete:
            await self._read_more(call, FailureCause.CLOSED_BEFORE_RESPONSE)
        if reply.status == wanted:
            return reply
        body = b""
        # The status alone has said what it promises: a body that breaks or never ends changes nothing.
        with suppress(ExchangeAbortedError), anyio.move_on_after(self.settings.connect_ms / 1000):
            body = await self._read_body(call)
        mishap, detail = self.classify_response(reply, body)
        raise ExchangeAbortedError(mishap, f"status {reply.status} {detail}".strip())

    async def _read_body(self, call: Exchange) -> bytes:
        body = bytearray(call.response.take_body())
        while not call.response.complete:
            await self._read_more(call, FailureCause.CLOSED_DURING_RESPONSE)
            body += call.response.take_body()
            if len(body) > self.settings.read_answer_bytes:
                raise ExchangeAbortedError(
                    FailureCause.MALFORMED_RESPONSE,
                    f"an answer of over {self.settings.read_answer_bytes} bytes",
                )
        return bytes(body)

    async def _read_more(self, call: Exchange, cut: FailureCause) -> None:
        """Reads what comes next; `cut` is what a connection lost here means."""
        try:
            come = await call.connection.tcp.receive()
        except ConnectionClosedError as fault:
            raise ExchangeAbortedError(cut, str(fault) or "closed") from None
        if not call.reached_engine:
            call.reached_engine = True
            call.permit.response_started()
        try:
            call.response.feed(come)
        except MalformedHttpResponseError as fault:
            raise ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, str(fault)) from None


class ExchangeTimer:
    """A shot's time; `mishap` is what its running out means at the point which the shot has come to."""

    __slots__ = ("scope", "timeout_cause")

    def __init__(self, limit: int) -> None:
        self.scope = anyio.CancelScope(deadline=anyio.current_time() + limit / (1000 * TENTHS))
        self.timeout_cause = FailureCause.CONNECT_FAILED

    def remove_limit(self, mishap: FailureCause) -> None:
        """From here on only cancel() ends the shot."""
        self.timeout_cause, self.scope.deadline = mishap, math.inf

    def extend(self, time: int) -> None:
        """Puts it off until so many tenths of a millisecond from now, if that is later."""
        self.scope.deadline = max(self.scope.deadline, anyio.current_time() + time / (1000 * TENTHS))

    def remaining(self) -> int:
        """Tenths of a millisecond until it runs out."""
        return int((self.scope.deadline - anyio.current_time()) * 1000 * TENTHS)

    def cancel(self) -> None:
        self.scope.cancel()

    def __enter__(self) -> ExchangeTimer:
        self.scope.__enter__()
        return self

    def __exit__(self, *exc: object) -> bool:
        swallowed = self.scope.__exit__(*exc)  # type: ignore[arg-type]
        if self.scope.cancelled_caught:
            raise ExchangeAbortedError(self.timeout_cause, "time ran out")
        return bool(swallowed)


def effective_timeout(cap: int, left: int) -> int:
    """A shot's time: its cap, 0 for none, cut to what the client leaves; both in tenths of a millisecond."""
    return min(cap, left) if cap else left
