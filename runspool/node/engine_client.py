"""What a front node says to engines and makes of their answers: read, write, let go."""

from __future__ import annotations

from functools import partial

import msgspec

from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.http_exchange import (
    AttemptResult,
    Exchange,
    ExchangeAbortedError,
    HttpExchangeClient,
    ResponseListener,
    SendPermit,
    encode_request,
)
from runspool.engines.idle_watchdog import WatchedWait
from runspool.engines.response_parser import ResponseParser
from runspool.node.event_stream import EventStreamParser, MalformedEventStreamError
from runspool.node.request_parser import ClientRequest
from runspool.scheduling.types import AttemptStatus
from runspool.units import TENTHS
from runspool.wire.fields import JSON_DECODE_ERRORS

READ_DONE, WRITING, LET_GO = 202, 200, 204
HOST = "origin.svc"


class _Kept(msgspec.Struct):
    cached_tokens: int = 0


_kept: msgspec.json.Decoder[_Kept] = msgspec.json.Decoder(_Kept)


def classify_http_status(status: int, declined: bool) -> FailureCause:
    """What another status than the wanted one says. Only an engine's own word that it declined promises that
    the shot never ran; whatever else comes, it may have."""
    if declined and status in (503, 504):
        return FailureCause.OVERLOADED
    if declined and status == 410:
        return FailureCause.STATE_MISSING
    return FailureCause.SERVER_ERROR


class EngineClient(HttpExchangeClient):
    """Carries out a node's shots. Picks nothing, repeats nothing."""

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        return classify_http_status(reply.status, reply.headers.get("srv-declined") == "1"), ""

    async def prefill(
        self, address: Address, ask: ClientRequest, limit: int, permit: SendPermit
    ) -> AttemptResult:
        """Has a prompt read; READ, or what else it came to. Arguments as in write().

        Cancelled, the connection is closed and nothing is told.
        """
        call = Exchange(permit)
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                await self._send_request(call, clock, address, partial(_request, ask))
                await self._read_head(call, READ_DONE)
                body = await self._read_body(call)
        except ExchangeAbortedError as stop:
            return AttemptResult(
                STATUS_BY_CAUSE[stop.cause], stop.cause, stop.detail, reached_engine=call.reached_engine
            )
        try:
            kept = _kept.decode(body).cached_tokens
        except JSON_DECODE_ERRORS:
            kept = 0  # the status has said that it was read; what was found kept is only good to know
        return AttemptResult(AttemptStatus.PREFILL_COMPLETE, cached_tokens=max(0, kept), reached_engine=True)

    async def decode(
        self,
        address: Address,
        ask: ClientRequest,
        limit: int,
        permit: SendPermit,
        hearing: ResponseListener[bytes],
    ) -> AttemptResult:
        """Has a query answered, telling `hearing` as its events come, whole ones only.

        `permit` is asked before the last byte goes, and hears of the first that comes back.
        `limit`, in tenths of a millisecond, holds to the first event; from then on only the bound of silence.
        Cancelled, the connection is closed and nothing is told.
        """
        told, events, call = (
            AttemptResult(AttemptStatus.SUCCEEDED),
            EventStreamParser(self.settings.line_bytes),
            Exchange(permit),
        )
        begun = False
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                await self._send_request(call, clock, address, partial(_request, ask))
                await self._read_head(call, WRITING)
                first = await self._first(call, events)
                clock.remove_limit(FailureCause.STREAM_INTERRUPTED)
                watched = self.watchdog.watch(self.silence, clock.cancel)
                begun = True
                try:
                    await hearing.stream_started()
                    await hearing.data_received(first)
                    await self._follow(call, events, watched, hearing)
                finally:
                    self.watchdog.unwatch(watched)
        except ExchangeAbortedError as stop:
            told.fail(stop.cause, stop.detail, begun)
        except MalformedEventStreamError as fault:
            told.fail(FailureCause.MALFORMED_RESPONSE, str(fault), begun)
        told.cached_tokens, told.prompt_tokens, told.output_tokens, told.reached_engine = (
            events.kept,
            events.read,
            events.made,
            call.reached_engine,
        )
        return told

    async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None:
        """Lets go of all that is held for a request, at whatever engine; None, or what came between."""
        call = Exchange()
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                await self._send_request(
                    call,
                    clock,
                    address,
                    lambda left: encode_request("DELETE", f"/state/{request}", {"Host": HOST}),
                )
                await self._read_head(call, LET_GO)
                await self._read_body(call)
        except ExchangeAbortedError as stop:
            return stop.cause
        return None

    async def _first(self, call: Exchange, events: EventStreamParser) -> bytes:
        """The first whole events."""
        while not (come := events.feed(call.response.take_body())):
            if call.response.complete:
                raise ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, "an answer without any event")
            await self._read_more(call, FailureCause.CLOSED_DURING_RESPONSE)
        _sound(events)  # nothing has been passed on: another engine may still give the whole stream
        return come

    async def _follow(
        self,
        call: Exchange,
        events: EventStreamParser,
        watched: WatchedWait,
        hearing: ResponseListener[bytes],
    ) -> None:
        """Passes on all that follows, to the answer's last chunk."""
        reply = call.response
        while not reply.complete:
            watched.waiting_since = self.now()
            try:
                await self._read_more(call, FailureCause.STREAM_INTERRUPTED)
            except ExchangeAbortedError:
                # What came whole ahead of bytes that cannot be read is the client's.
                if come := events.feed(reply.take_body()):
                    await hearing.data_received(come)
                raise
            watched.waiting_since = 0
            if come := events.feed(reply.take_body()):
                await hearing.data_received(come)
            _sound(events)
        events.ended()


def _sound(events: EventStreamParser) -> None:
    if events.fault is not None:
        raise events.fault


def _request(ask: ClientRequest, left: int) -> bytes:
    """The client's request as it goes on: method, target, body and id unchanged."""
    return encode_request(
        "POST",
        ask.target,
        {
            "Host": HOST,
            "Content-Type": "application/json",
            "Req-Id": ask.id,
            "Req-Deadline": f"{max(1, left) * 1000 // TENTHS}u",
        },
        ask.body,
    )
