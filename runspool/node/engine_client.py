"""A node's HTTP client for engines: prefill, decode and the release of state."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import msgspec

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, ExchangeAbortedError, FailureCause
from runspool.engines.http_exchange import Exchange, HttpExchangeClient, encode_request
from runspool.engines.idle_watchdog import WatchedWait
from runspool.engines.response_parser import ResponseParser
from runspool.engines.send_permit import SendPermit
from runspool.engines.stream_wait import StreamWait
from runspool.limits.answer_progress import AnswerProgress
from runspool.limits.memory_account import MemoryCharge, MemoryKind
from runspool.limits.peer_limits import PeerLimit
from runspool.node.event_stream import EventStreamParser, MalformedEventStreamError
from runspool.node.request_parser import ClientRequest
from runspool.scheduling.types import AttemptStatus
from runspool.units import TENTHS_PER_MS
from runspool.wire.fields import JSON_DECODE_ERRORS

# Status codes of successful responses to the three requests.
PREFILL_COMPLETE_STATUS = 202
STREAM_STATUS = 200
RELEASED_STATUS = 204
MAX_EVENT_BYTES_IF_SHORT = 16_384  # maximum size of an incomplete event while there is no memory left
HOST = "origin.svc"  # value of the Host header in requests to engines


class _PrefillSummary(msgspec.Struct):
    cached_tokens: int = 0


_prefill_decoder: msgspec.json.Decoder[_PrefillSummary] = msgspec.json.Decoder(_PrefillSummary)


def classify_http_status(status: int, declined: bool) -> FailureCause:
    """Return the cause of failure that a response with an unexpected status reports.

    Only an explicit statement of the engine that it `declined` the request guarantees that the attempt was
    not executed. After any other response it may have been executed.
    """
    if declined and status in (503, 504):
        return FailureCause.OVERLOADED
    if declined and status == 410:
        return FailureCause.STATE_MISSING
    return FailureCause.SERVER_ERROR


@dataclass(slots=True)
class _Stream:
    """A stream that has started.

    Attributes:
        exchange: The exchange whose response it is.
        events: The parser of its events.
        partial_event: The charge for the bytes of an event that is not complete.
        watched: The wait as the watchdog sees it.
        wait: Decides until when the client may be kept waiting.
    """

    exchange: Exchange
    events: EventStreamParser
    partial_event: MemoryCharge
    watched: WatchedWait
    wait: StreamWait


class EngineClient(HttpExchangeClient):
    """Sends a node's attempts and release calls to engines. It neither selects engines nor retries."""

    def classify_response(self, response: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Return the cause that a response with an unexpected status reports, and an empty detail."""
        return classify_http_status(response.status, response.headers.get("srv-declined") == "1"), ""

    async def prefill(
        self, address: Address, request: ClientRequest, limit: int, permit: SendPermit
    ) -> AttemptResult:
        """Request a prefill of the prompt.

        Cancellation closes the connection, and no result is returned.

        Args:
            address: The address of the engine.
            request: The client's request.
            limit: The time limit of the whole exchange, in tenths of a millisecond.
            permit: As for decode().

        Returns:
            A result with the status PREFILL_COMPLETE, or one that describes the failure.
        """
        exchange = Exchange(permit)
        try:
            with self._start_timer(limit) as timer, self._managed_connection(exchange):
                await self._send_request(exchange, timer, address, partial(_encode_request, request))
                await self._read_head(exchange, PREFILL_COMPLETE_STATUS)
                body = await self._read_body(exchange)
        except ExchangeAbortedError as error:
            return AttemptResult(
                STATUS_BY_CAUSE[error.cause],
                error.cause,
                error.detail,
                reached_engine=exchange.reached_engine,
            )
        try:
            cached_tokens = _prefill_decoder.decode(body).cached_tokens
        except JSON_DECODE_ERRORS:
            cached_tokens = 0  # the body is informative only: the status has already confirmed the prefill
        return AttemptResult(
            AttemptStatus.PREFILL_COMPLETE, cached_tokens=max(0, cached_tokens), reached_engine=True
        )

    async def decode(
        self,
        address: Address,
        request: ClientRequest,
        limit: int,
        permit: SendPermit,
        listener: ResponseListener[bytes],
    ) -> AttemptResult:
        """Request a decode and stream its events to a listener.

        Cancellation closes the connection, and no result is returned.

        Args:
            address: The address of the engine.
            request: The client's request.
            limit: The time limit until the first event, in tenths of a millisecond. After that, only the idle
                timeout applies.
            permit: Asked for permission before the first and the last byte of the request are sent, and
                notified when the first byte of the response is received.
            listener: Receives the events as they arrive, complete events only.

        Returns:
            A result with the status SUCCEEDED, or one that describes the failure.
        """
        result = AttemptResult(AttemptStatus.SUCCEEDED)
        progress = AnswerProgress(request.max_output_tokens, request.choice_count, self.max_stream_part_bytes)
        events = EventStreamParser(self.settings.line_bytes, progress)
        exchange = Exchange(permit)
        partial_event = self.resources.memory.charge(MemoryKind.RESPONSE)
        stream_started = False
        wait: StreamWait | None = None
        try:
            with self._start_timer(limit) as timer, self._managed_connection(exchange):
                await self._send_request(exchange, timer, address, partial(_encode_request, request))
                await self._read_head(exchange, STREAM_STATUS, is_stream=True)
                first_events = await self._read_first_events(exchange, events, partial_event)
                with self._watched_stream(timer, exchange) as watched:
                    stream_started = True
                    await listener.stream_started()
                    await listener.data_received(first_events)
                    wait = StreamWait(self.idle_timeout, self.now(), exchange.response.framing, events.done)
                    stream = _Stream(exchange, events, partial_event, watched, wait)
                    await self._forward_events(stream, listener)
        except ExchangeAbortedError as error:
            result.record_failure(error.cause, error.detail, stream_started)
        except MalformedEventStreamError as error:
            if error.limit is not None:
                self._limit_reached(error.limit, exchange)
            result.record_failure(FailureCause.MALFORMED_RESPONSE, str(error), stream_started)
        finally:
            partial_event.release()
        result.cached_tokens = events.cached_tokens
        result.prompt_tokens = events.prompt_tokens
        result.output_tokens = events.output_tokens
        result.event_count = events.event_count
        if wait is not None:
            result.idle_time = self.now() - wait.progress_at
            result.awaited = wait.awaited
        result.framing = exchange.framing_state(self.now())
        result.reached_engine = exchange.reached_engine
        return result

    async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None:
        """Release all state that engines hold for a request; any engine accepts the call.

        Cancellation closes the connection.

        Args:
            address: The address of the engine that is called.
            request: The id of the request.
            limit: The time limit, including that of connecting, in tenths of a millisecond.

        Returns:
            None if the engine has confirmed the release, otherwise the cause of failure.
        """
        exchange = Exchange()
        try:
            with self._start_timer(limit) as timer, self._managed_connection(exchange):
                await self._send_request(
                    exchange,
                    timer,
                    address,
                    lambda remaining: encode_request("DELETE", f"/state/{request}", {"Host": HOST}),
                    connect_ms=limit / TENTHS_PER_MS,
                )
                await self._read_head(exchange, RELEASED_STATUS)
                await self._read_body(exchange)
        except ExchangeAbortedError as error:
            return error.cause
        return None

    async def _read_first_events(
        self, exchange: Exchange, events: EventStreamParser, partial_event: MemoryCharge
    ) -> bytes:
        """Read until at least one event with data is complete, and return all bytes up to its end.

        Comments and blank lines alone must not commit the node to a stream that may never have an event.
        """
        data = events.feed(exchange.response.take_body())
        while not events.event_count:
            if len(data) > self.settings.line_bytes:
                self._limit_reached(PeerLimit.EVENT_BYTES, exchange)
                raise ExchangeAbortedError(
                    FailureCause.MALFORMED_RESPONSE, "the first event is preceded by too much else"
                )
            if exchange.response.complete:
                raise ExchangeAbortedError(
                    FailureCause.MALFORMED_RESPONSE, "the response ended without an event"
                )
            await self._read_more(exchange, FailureCause.CLOSED_DURING_RESPONSE)
            data += events.feed(exchange.response.take_body())
            self._charge_partial_event(events, partial_event, exchange)
        # Raise before anything is forwarded, so that another engine can still provide the whole stream.
        events.raise_fault()
        return data

    async def _forward_events(self, stream: _Stream, listener: ResponseListener[bytes]) -> None:
        """Forward all further events until the end of the response."""
        response, events = stream.exchange.response, stream.events
        self._set_end_of_wait(stream)
        while not response.complete:
            try:
                await self._read_more(stream.exchange, FailureCause.STREAM_INTERRUPTED)
            except ExchangeAbortedError:
                # Forward the complete events that were received before the connection failed.
                if data := events.feed(response.take_body()):
                    await listener.data_received(data)
                raise
            former_progress = events.progress.count
            if data := events.feed(response.take_body()):
                await self._forward(data, stream, listener)
            if events.progress.count > former_progress:
                stream.wait.record_progress(self.now(), response.framing, events.done)
            self._set_end_of_wait(stream)
            events.raise_fault()
            self._charge_partial_event(events, stream.partial_event, stream.exchange)
        events.check_complete()

    def _set_end_of_wait(self, stream: _Stream) -> None:
        """Tell the watchdog until when the stream may keep its client waiting."""
        exchange = stream.exchange
        ends_at = stream.wait.ends_at(
            self.now(), exchange.response.framing, exchange.part_stated_at, stream.events.has_partial_data
        )
        stream.watched.waiting_since = ends_at - self.idle_timeout

    def _charge_partial_event(
        self, events: EventStreamParser, partial_event: MemoryCharge, exchange: Exchange
    ) -> None:
        """Charge the bytes of an incomplete event; end the stream if there is no memory for a large one."""
        partial_event.set(events.partial_bytes)
        if events.partial_bytes > MAX_EVENT_BYTES_IF_SHORT and self.resources.memory.is_exceeded:
            self._limit_reached(PeerLimit.MEMORY, exchange)
            raise ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, "no memory for a large event")

    async def _forward(self, data: bytes, stream: _Stream, listener: ResponseListener[bytes]) -> None:
        """Forward events. Until the client takes them, the engine is not waited for.

        If they bring no part of the answer, the time counts all the same: an engine that sends such events
        without end, faster than the client takes them, must not prolong the client's wait.
        """
        stream.watched.waiting_since = 0
        await listener.data_received(data)


def _encode_request(request: ClientRequest, remaining: int) -> tuple[bytes, bytes]:
    """Encode the client's request for the engine, with target, body and id unchanged.

    Args:
        request: The client's request.
        remaining: The time left until the deadline, in tenths of a millisecond.
    """
    return encode_request(
        "POST",
        request.target,
        {
            "Host": HOST,
            "Content-Type": "application/json",
            "Req-Id": request.id,
            "Req-Deadline": f"{max(1, remaining) * 1000 // TENTHS_PER_MS}u",
        },
        request.body.data,
    )
