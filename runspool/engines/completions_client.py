"""HTTP client for engines that serve the completions API. Each call makes one attempt at one engine."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import anyio
import msgspec

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import (
    STATUS_BY_CAUSE,
    ExchangeAbortedError,
    FailureCause,
    classify_http_status,
)
from runspool.engines.http_exchange import Exchange, HttpExchangeClient, encode_request
from runspool.engines.idle_watchdog import WatchedWait
from runspool.engines.response_parser import ResponseParser
from runspool.engines.send_permit import SendPermit
from runspool.limits.answer_progress import AnswerProgress, ChoicePart
from runspool.scheduling.types import AttemptStatus, LoadReport
from runspool.transport.tcp import connect
from runspool.wire import engine_messages as wire

# JSON object that identifies a prefill state (`kv_transfer_params`). Its values are passed on undecoded.
PrefillState = dict[str, msgspec.Raw]
# JSON object with the parameters of a client's request. Its values are passed on undecoded.
RequestParameters = dict[str, msgspec.Raw]

# Maximum number of socket reads after a response's last token. The connection can be reused only if the
# response ends within them.
MAX_TRAILING_READS = 8
ONLY_CHOICE = 0  # number of the choice of an answer; a request asks for one
STREAM_END = b"[DONE]"  # data of the last event of a stream


class CompletionsEngineClient(HttpExchangeClient):
    """Makes attempts on pooled connections. Engine selection and retries are left to the caller."""

    def classify_response(self, response: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Return the failure cause of a response with an unexpected status, and its error code."""
        code = wire.parse_error_code(body)
        return classify_http_status(response.status, code), code

    async def prefill(
        self,
        address: Address,
        parameters: RequestParameters,
        headers: Mapping[str, str],
        time_limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Make an attempt that only prefills the prompt.

        A cancelled call closes its connection.

        Args:
            address: Host and port of the engine.
            parameters: Parameters of the client's request body.
            headers: Additional headers of the request.
            time_limit: Time limit of the whole exchange, in tenths of a millisecond.
            permit: Asked before the first and the last byte of the request are sent, and notified when the
                request has been sent and when the first byte of the response arrives.

        Returns:
            The status PREFILL_COMPLETE with the prefill state, or the failure.
        """
        load_report: LoadReport | None = None
        exchange = Exchange(permit)
        try:
            with self._start_timer(time_limit) as timer, self._managed_connection(exchange):
                request = _encode_post(address, headers, wire.prefill_body(parameters))
                await self._send_request(exchange, timer, address, lambda remaining: request)
                head = await self._read_head(exchange)
                load_report = wire.parse_load_report(head.headers.get(wire.LOAD_REPORT_HEADER))
                response = wire.parse_response(await self._read_body(exchange))
                if not response.kv_transfer_params:
                    raise ExchangeAbortedError(
                        FailureCause.MALFORMED_RESPONSE, "prefill response without kv_transfer_params"
                    )
        except ExchangeAbortedError as error:
            return AttemptResult(
                STATUS_BY_CAUSE[error.cause],
                error.cause,
                error.detail,
                reached_engine=exchange.reached_engine,
                load_report=load_report,
            )
        except wire.MalformedResponseError as error:
            return AttemptResult(
                STATUS_BY_CAUSE[FailureCause.MALFORMED_RESPONSE],
                FailureCause.MALFORMED_RESPONSE,
                str(error),
                reached_engine=True,
                load_report=load_report,
            )
        usage = response.usage or wire.Usage()
        return AttemptResult(
            AttemptStatus.PREFILL_COMPLETE,
            cached_tokens=usage.cached_tokens,
            prompt_tokens=usage.prompt_tokens,
            reached_engine=True,
            state=response.kv_transfer_params,
            load_report=load_report,
        )

    async def decode(
        self,
        address: Address,
        parameters: RequestParameters,
        state: PrefillState | None,
        headers: Mapping[str, str],
        first_token_limit: int,
        permit: SendPermit,
        max_output_tokens: int,
        listener: ResponseListener[str],
    ) -> AttemptResult:
        """Make an attempt that generates the output, and forward its text while it arrives.

        A cancelled call closes its connection.

        Args:
            address: Host and port of the engine.
            parameters: Parameters of the client's request body.
            state: Prefill state to continue from; None to prefill at this engine.
            headers: Additional headers of the request.
            first_token_limit: Time limit until the first token, in tenths of a millisecond. After the first
                token only the idle timeout applies.
            permit: Asked before the first and the last byte of the request are sent, and notified when the
                request has been sent and when the first byte of the response arrives.
            max_output_tokens: The number of tokens that the request asks for. Engines usually send a piece of
                text for each; a response with many times more is malformed (see AnswerProgress).
            listener: Receives the text.

        Returns:
            The status SUCCEEDED with the token counts, or the failure.
        """
        result = AttemptResult(AttemptStatus.SUCCEEDED)
        stream = _TokenStream(self._read_more, result, self.settings.line_bytes, max_output_tokens)
        exchange = Exchange(permit)
        try:
            with self._start_timer(first_token_limit) as timer, self._managed_connection(exchange):
                request = _encode_post(address, headers, wire.decode_body(parameters, state))
                await self._send_request(exchange, timer, address, lambda remaining: request)
                head = await self._read_head(exchange, is_stream=True)
                result.load_report = wire.parse_load_report(head.headers.get(wire.LOAD_REPORT_HEADER))
                text = await stream.read_first(exchange)
                with self._watched_stream(timer, exchange) as wait:
                    await self._forward_text(exchange, stream, text, wait, listener)
                stream.check_finished()
                await self._read_trailing_bytes(exchange)
        except ExchangeAbortedError as error:
            # After the finish reason the text is complete; only the last lines of the response are missing.
            if not (stream.finished and error.cause is FailureCause.STREAM_INTERRUPTED):
                result.record_failure(error.cause, error.detail, stream.started)
        except wire.MalformedResponseError as error:
            result.record_failure(FailureCause.MALFORMED_RESPONSE, str(error), stream.started)
        result.reached_engine = exchange.reached_engine
        return result

    async def release_state(
        self, address: Address, state: PrefillState | None, request_id: str, time_limit: int
    ) -> FailureCause | None:
        """Release a prefill state.

        A cancelled call closes its connection.

        Args:
            address: Host and port of the engine.
            state: The prefill state; None if the prefill's response, which would identify it, was lost.
            request_id: Id of the front's request; with the number of the attempt if `state` is None, because
                the engine then identifies the state by the id that the prefill was sent with.
            time_limit: Time limit in tenths of a millisecond.

        Returns:
            None once the engine has confirmed the release, otherwise the cause of the failure.
        """
        exchange = Exchange()
        try:
            with self._start_timer(time_limit) as timer, self._managed_connection(exchange):
                request = _encode_post(address, {}, wire.release_body(state, request_id), wire.RELEASE_PATH)
                await self._send_request(exchange, timer, address, lambda remaining: request)
                await self._read_head(exchange)
                await self._read_body(exchange)
        except ExchangeAbortedError as error:
            return error.cause
        return None

    async def accepts_connections(self, address: Address) -> bool:
        """Return whether an engine accepts connections.

        This is called after a connection was lost, to distinguish a reset connection from a stopped engine.
        """
        try:
            with anyio.fail_after(self.settings.connect_ms / 1000):
                connection = await connect(address, self.settings.source_address)
        except (OSError, TimeoutError):
            return False
        connection.close()
        return True

    async def _forward_text(
        self,
        exchange: Exchange,
        stream: _TokenStream,
        text: str,
        wait: WatchedWait,
        listener: ResponseListener[str],
    ) -> None:
        """Forward `text` and the rest of the stream; text received in one read is forwarded in one call."""
        if text:
            stream.started = True
            await listener.stream_started()
            await listener.data_received(text)
        wait.waiting_since = self.now()
        while not stream.ended:
            former_progress = stream.progress.count
            try:
                text = await stream.read(exchange, FailureCause.STREAM_INTERRUPTED)
            except ExchangeAbortedError:
                if stream.finished:  # the text is complete; only the last lines of the response are missing
                    return
                raise
            if text:
                wait.waiting_since = 0  # the client may take its time
                await listener.data_received(text)
            if stream.progress.count > former_progress:  # other bytes and events may go on for ever
                wait.waiting_since = self.now()

    async def _read_trailing_bytes(self, exchange: Exchange) -> None:
        """Read the end of the response, so that the connection can be reused.

        It takes at most `connect_ms`, because opening a new connection would not take longer than that.
        """
        with anyio.move_on_after(self.settings.connect_ms / 1000):
            try:
                for _ in range(MAX_TRAILING_READS):
                    if exchange.response.complete:
                        return
                    await self._read_more(exchange, FailureCause.STREAM_INTERRUPTED)
                    exchange.response.take_body()
            except ExchangeAbortedError:
                return


class _TokenStream:
    """Reader of a streamed response; it stores the token counts in the attempt's result.

    Attributes:
        started: Set by the caller immediately before the first text is forwarded.
        finished: True once the finish reason was received, which completes the text.
        ended: True once the end of the stream was received.
        progress: Told of every choice of an event; it says which of them bring a part of the answer.
    """

    def __init__(
        self,
        read_more: Callable[[Exchange, FailureCause], Awaitable[None]],
        result: AttemptResult,
        max_line_bytes: int,
        max_output_tokens: int,
    ) -> None:
        self.started = False
        self.finished = False
        self.ended = False
        self.progress = AnswerProgress(max_output_tokens)
        self._read_more = read_more
        self._result = result
        self._events = wire.EventSplitter(max_line_bytes)

    async def read_first(self, exchange: Exchange) -> str:
        """Read until the first text and return it; return an empty string if the response has no text."""
        while not self.ended:
            if text := await self.read(exchange, FailureCause.CLOSED_DURING_RESPONSE):
                return text
        return ""

    async def read(self, exchange: Exchange, cause_if_closed: FailureCause) -> str:
        """Read from the connection once and return the text received, which may be empty.

        Raises:
            ExchangeAbortedError: The connection was lost (with the cause `cause_if_closed`), or the engine
                has sent an error or more pieces of text than a sound one sends.
            wire.MalformedResponseError: An event cannot be parsed.
        """
        response = exchange.response
        body = response.take_body()
        if not body:
            if response.complete:
                self.ended = True
                return ""
            await self._read_more(exchange, cause_if_closed)
            body = response.take_body()
        texts: list[str] = []
        for event in self._events.feed(body):
            if event == STREAM_END:
                self.ended = True
                break
            self._read_event(event, texts)
        if self._result.output_tokens > self.progress.max_texts:
            raise ExchangeAbortedError(
                FailureCause.MALFORMED_RESPONSE, f"response exceeds {self.progress.max_texts} pieces of text"
            )
        return "".join(texts)

    def check_finished(self) -> None:
        """Raise ExchangeAbortedError if the response has ended without a finish reason."""
        if not self.finished:
            raise ExchangeAbortedError(
                FailureCause.STREAM_INTERRUPTED if self.started else FailureCause.MALFORMED_RESPONSE,
                "response ended without a finish reason",
            )

    def _read_event(self, event: bytes, texts: list[str]) -> None:
        """Append the texts of an event to `texts`; store its usage and finish reason in the result."""
        result = self._result
        completion = wire.parse_response(event)
        if completion.error is not None:
            raise ExchangeAbortedError(FailureCause.SERVER_ERROR, str(completion.error))
        if completion.usage is not None:
            result.cached_tokens = completion.usage.cached_tokens
            result.prompt_tokens = completion.usage.prompt_tokens
        for choice in completion.choices:
            # The usage is no part that the client waits for: it is not forwarded.
            part = ChoicePart(ONLY_CHOICE, bool(choice.text), bool(choice.finish_reason))
            self.progress.record_event([part], has_usage=False)
            if choice.text and not self.finished:
                result.output_tokens += 1  # engines send each token as a piece of text of its own
                texts.append(choice.text)
            if choice.finish_reason:
                self.finished = True
                result.finish_reason = choice.finish_reason


def _encode_post(
    address: Address, headers: Mapping[str, str], body: bytes, path: str = "/v1/completions"
) -> tuple[bytes, bytes]:
    return encode_request(
        "POST",
        path,
        {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json", **headers},
        body,
    )
