"""One shot at one engine: sends it, follows it, and says how it ended. Picks nothing, repeats nothing."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import msgspec

from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause, classify_http_status
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
from runspool.scheduling.types import AttemptStatus, LoadReport
from runspool.transport.tcp import connect
from runspool.wire import engine_messages as wire

PrefillState = dict[str, msgspec.Raw]


class CompletionsEngineClient(HttpExchangeClient):
    """Carries out shots on pooled connections."""

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        code = wire.error_code(body)
        return classify_http_status(reply.status, code), code

    def _posted(
        self, address: Address, headers: Mapping[str, str], body: bytes, path: str = "/v1/completions"
    ) -> bytes:
        return encode_request(
            "POST",
            path,
            {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json", **headers},
            body,
        )

    async def prefill(
        self,
        address: Address,
        query: PrefillState,
        headers: Mapping[str, str],
        limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Has a prompt read; READ with the waiting state, or what else it came to. Arguments as in write().

        Cancelled, the connection is closed and nothing is told.
        """
        report: LoadReport | None = None
        call = Exchange(permit)
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                words = self._posted(address, headers, wire.prefill_body(query))
                await self._send_request(call, clock, address, lambda left: words)
                head = await self._read_head(call)
                report = wire.load_report(head.headers.get(wire.LOAD_REPORT_HEADER))
                answer = wire.parse_response(await self._read_body(call))
                if not answer.kv_transfer_params:
                    raise ExchangeAbortedError(
                        FailureCause.MALFORMED_RESPONSE, "a read without kv_transfer_params"
                    )
        except ExchangeAbortedError as stop:
            return AttemptResult(
                STATUS_BY_CAUSE[stop.cause],
                stop.cause,
                stop.detail,
                reached_engine=call.reached_engine,
                load_report=report,
            )
        except wire.MalformedResponseError as fault:
            return AttemptResult(
                STATUS_BY_CAUSE[FailureCause.MALFORMED_RESPONSE],
                FailureCause.MALFORMED_RESPONSE,
                str(fault),
                reached_engine=True,
                load_report=report,
            )
        usage = answer.usage or wire.Usage()
        return AttemptResult(
            AttemptStatus.PREFILL_COMPLETE,
            cached_tokens=usage.cached_tokens,
            prompt_tokens=usage.prompt_tokens,
            reached_engine=True,
            state=answer.kv_transfer_params,
            load_report=report,
        )

    async def decode(
        self,
        address: Address,
        query: PrefillState,
        state: PrefillState | None,
        headers: Mapping[str, str],
        limit: int,
        permit: SendPermit,
        most_out: int,
        listener: ResponseListener[str],
    ) -> AttemptResult:
        """Has a query answered, telling `listener` as the answer comes.

        `permit` is asked before the last byte goes, and hears of the first that comes back.
        `limit`, in tenths of a millisecond, holds to the first token; from then on only the bound of silence.
        Cancelled, the connection is closed and nothing is told.
        """
        told = AttemptResult(AttemptStatus.SUCCEEDED)
        answer, call = _Answer(self, told, most_out, listener), Exchange(permit)
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                words = self._posted(address, headers, wire.decode_body(query, state))
                await self._send_request(call, clock, address, lambda left: words)
                head = await self._read_head(call)
                told.load_report = wire.load_report(head.headers.get(wire.LOAD_REPORT_HEADER))
                texts = await answer.first(call)
                clock.remove_limit(FailureCause.STREAM_INTERRUPTED)
                watched = self.watchdog.watch(self.silence, clock.cancel)
                try:
                    await answer.rest(call, texts, watched)
                finally:
                    self.watchdog.unwatch(watched)
                if not answer.finished:
                    raise ExchangeAbortedError(
                        FailureCause.STREAM_INTERRUPTED if answer.begun else FailureCause.MALFORMED_RESPONSE,
                        "ends without a finish",
                    )
                await self._rest(call)
        except ExchangeAbortedError as stop:
            # Past its finish an answer is whole: only its last lines are missing.
            if not (answer.finished and stop.cause is FailureCause.STREAM_INTERRUPTED):
                told.fail(stop.cause, stop.detail, answer.begun)
        except wire.MalformedResponseError as fault:
            told.fail(FailureCause.MALFORMED_RESPONSE, str(fault), answer.begun)
        told.reached_engine = call.reached_engine
        return told

    async def release_state(
        self, address: Address, state: PrefillState | None, request: str, limit: int
    ) -> FailureCause | None:
        """Lets a waiting state go, named by itself or by its read's request; None, or what came between."""
        call = Exchange()
        try:
            with self._start_timer(limit) as clock, self._managed_connection(call):
                words = self._posted(address, {}, wire.release_body(state, request), wire.RELEASE_PATH)
                await self._send_request(call, clock, address, lambda left: words)
                await self._read_head(call)
                await self._read_body(call)
        except ExchangeAbortedError as stop:
            return stop.cause
        return None

    async def answers(self, address: Address) -> bool:
        """Whether an engine still takes connections; asked when one broke, to tell a reset from its end."""
        try:
            with anyio.fail_after(self.settings.connect_ms / 1000):
                line = await connect(address, self.settings.source_address)
        except (OSError, TimeoutError):
            return False
        line.close()
        return True

    async def _rest(self, call: Exchange) -> None:
        """What stands after the answer's end, so that the link can serve again; not waited for long."""
        with anyio.move_on_after(self.settings.connect_ms / 1000):
            try:
                for _ in range(8):
                    if call.response.complete:
                        return
                    await self._read_more(call, FailureCause.STREAM_INTERRUPTED)
                    call.response.take_body()
            except ExchangeAbortedError:
                return


class _Answer:
    """A streamed answer as it is read off a link."""

    def __init__(
        self,
        caller: CompletionsEngineClient,
        told: AttemptResult,
        most_out: int,
        listener: ResponseListener[str],
    ) -> None:
        self.caller = caller
        self.told = told
        self.most_out = most_out
        self.listener = listener
        self.events = wire.EventSplitter(caller.settings.line_bytes)
        self.begun = self.finished = self.over = False

    async def first(self, call: Exchange) -> str:
        """The first text, or empty where the answer ends without any."""
        while not self.over:
            if texts := await self._texts(call, FailureCause.CLOSED_DURING_RESPONSE):
                return texts
        return ""

    async def rest(self, call: Exchange, texts: str, watched: WatchedWait) -> None:
        """Passes on what has come and all that follows; what came together goes on together."""
        if texts:
            self.begun = True
            await self.listener.stream_started()
            await self.listener.data_received(texts)
        while not self.over:
            watched.waiting_since = self.caller.now()
            try:
                texts = await self._texts(call, FailureCause.STREAM_INTERRUPTED)
            except ExchangeAbortedError:
                if self.finished:  # the answer is whole; only its last lines are missing
                    return
                raise
            watched.waiting_since = 0
            if texts:
                await self.listener.data_received(texts)

    async def _texts(self, call: Exchange, cut: FailureCause) -> str:
        reply, told = call.response, self.told
        body = reply.take_body()
        if not body:
            if reply.complete:
                self.over = True
                return ""
            await self.caller._read_more(call, cut)
            body = reply.take_body()
        texts = []
        for raw in self.events.feed(body):
            if raw == b"[DONE]":
                self.over = True
                break
            said = wire.parse_response(raw)
            if said.error is not None:
                raise ExchangeAbortedError(FailureCause.SERVER_ERROR, str(said.error))
            if said.usage is not None:
                told.cached_tokens, told.prompt_tokens = said.usage.cached_tokens, said.usage.prompt_tokens
            for choice in said.choices:
                if choice.text and not self.finished:
                    told.output_tokens += 1
                    texts.append(choice.text)
                if choice.finish_reason:
                    self.finished, told.finish_reason = True, choice.finish_reason
        if told.output_tokens > self.most_out:
            raise ExchangeAbortedError(FailureCause.MALFORMED_RESPONSE, f"more than {self.most_out} tokens")
        return "".join(texts)
