"""The HTTP/1.1 endpoints of a front, served on one client connection.

Each accepted completion request receives exactly one final response.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import anyio
import msgspec

from runspool.engines.attempt_result import AttemptResult
from runspool.service.front import Front
from runspool.service.http_connection import HttpConnection
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.streaming_response import StreamingResponse
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import TENTHS_PER_MS
from runspool.wire import completions as wire
from runspool.wire.completions import CompletionRequest
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import (
    LAST_CHUNK,
    HttpRefusal,
    HttpRequest,
    encode_chunk,
    encode_response_head,
)

# A rejection invites a retry. An indeterminate response needs a status that client libraries do not retry
# automatically: a retry could execute a request twice that must run at most once.
REJECTED_STATUS = 503
INDETERMINATE_STATUS = 424


class CompletionsHandler(HttpConnection):
    """Serves the front's HTTP endpoints on one client connection."""

    def __init__(self, front: Front, connection: TcpConnection, count_active: Callable[[int], None]) -> None:
        """Initialize the handler.

        `count_active` is called with +1 when the connection starts to serve a request whose head is complete,
        and with -1 after the response, or when the request's body turns out to be late or invalid.
        """
        super().__init__(front.config.front.bounds, connection, count_active, front.connection_resources)
        self.front = front

    @property
    def closing(self) -> bool:
        """True once the front is shutting down; the connection then waits for no further requests."""
        return self.front.closing

    def error_body(self, code: str, message: str) -> bytes:
        """Return the response body for a request that is refused before it is accepted."""
        return wire.error_body("invalid_request_error", code, message)

    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Respond to a request that has been read completely.

        `received_at` is when the request's head was complete and the previous request had ended, in tenths of
        a millisecond on the front's clock. If this method is cancelled, an accepted request is treated as if
        its client had disconnected.

        Raises:
            ConnectionClosedError: The client has disconnected.
            TimeoutError: The client does not read the response.
        """
        path, method = request.path, request.method
        if path == "/v1/completions":
            if method == "POST":
                await self._serve_completion(request, received_at)
            else:
                await self.send_response(405, self.error_body("method", "POST it"), [("Allow", "POST")])
        elif path == "/healthz" and method == "GET":
            await self.send_response(503 if self.front.closing else 200, b"{}")
        elif path == "/cells" and method == "GET":
            await self.send_response(200, msgspec.json.encode(self.front.status_page()))
        elif path == "/v1/models" and method == "GET":
            await self.send_response(200, msgspec.json.encode(self._model_list()))
        else:
            await self.send_response(404, self.error_body("path", "no such path"))

    def _model_list(self) -> dict[str, object]:
        model = {
            "id": self.front.config.front.model,
            "object": "model",
            "created": 0,
            "owned_by": "runspool",
        }
        return {"object": "list", "data": [model]}

    async def _serve_completion(self, request: HttpRequest, received_at: int) -> None:
        completion = self._parse_completion(request)
        if isinstance(completion, HttpRefusal):
            await self.send_response(completion.status, self.error_body(completion.code, completion.message))
            return
        response = _EventStreamResponse(self) if completion.stream else _BufferedResponse()
        pending = self._submit(completion, response, received_at)
        if isinstance(pending, FinalResponse):
            await self._send_not_accepted(pending)
            return
        response.request_id = pending.id
        stream = response if isinstance(response, _EventStreamResponse) else None
        final = await self.wait_for_final_response(self.front, pending, stream)
        await self._send_final_response(pending, response, final)

    def _parse_completion(self, request: HttpRequest) -> CompletionRequest | HttpRefusal:
        """Parse a request. Nothing is sent here, as the traceback of an error refers to the body."""
        try:
            completion = wire.parse_completion_request(
                request.headers, request.take_body(), self.front.config
            )
            if completion.stream and request.version == "1.0":
                raise InvalidRequestError("stream", "an answer in parts needs HTTP/1.1", 505)
        except InvalidRequestError as error:
            return HttpRefusal(error.status, error.field_name, str(error))
        return completion

    def _submit(
        self,
        completion: CompletionRequest,
        response: _EventStreamResponse | _BufferedResponse,
        received_at: int,
    ) -> PendingCompletion | FinalResponse:
        """Submit a request to the front; return the accepted request, or the final response without one."""
        try:
            return self.front.submit(completion, response, received_at)
        except RequestNotAcceptedError as refusal:
            return FinalResponse(refusal.kind, refusal.code, refusal.message)

    async def _send_not_accepted(self, final: FinalResponse) -> None:
        if final.kind is ResponseKind.INDETERMINATE:
            await self.send_response(
                INDETERMINATE_STATUS,
                wire.error_body("scrapped", final.code, final.message),
                [("X-Should-Retry", "false")],
            )
            return
        await self.send_response(
            REJECTED_STATUS,
            wire.error_body("dismissed", final.code, final.message),
            [("Retry-After", "1"), ("X-Should-Retry", "true")],
        )

    async def _send_final_response(
        self,
        pending: PendingCompletion,
        response: _EventStreamResponse | _BufferedResponse,
        final: FinalResponse,
    ) -> None:
        headers = [("Runspool-Query", pending.id), ("Runspool-Shots", str(pending.attempt_count))]
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client disconnected before the final response")
        succeeded = final.kind is ResponseKind.SUCCEEDED
        if isinstance(response, _EventStreamResponse):
            if response.head_sent or succeeded:
                await response.finish(final)
                return
        elif succeeded and final.result is not None:
            await self.send_response(200, self._completion_body(pending, response, final.result), headers)
            return
        if final.kind is ResponseKind.REJECTED:
            await self.send_response(
                REJECTED_STATUS,
                wire.error_body("dismissed", final.code, final.message),
                [*headers, *_retry_after_headers(final.retry_after), ("X-Should-Retry", "true")],
            )
        else:
            await self.send_response(
                INDETERMINATE_STATUS,
                wire.error_body("scrapped", final.code, final.message),
                [*headers, ("X-Should-Retry", "false")],
            )

    def _completion_body(
        self, pending: PendingCompletion, response: _BufferedResponse, result: AttemptResult
    ) -> bytes:
        return wire.completion_body(
            pending.id,
            self.front.config.front.model,
            int(time.time()),
            "".join(response.texts),
            result.finish_reason,
            result.prompt_tokens,
            result.cached_tokens,
            result.output_tokens,
        )


def _retry_after_headers(retry_after: int) -> list[tuple[str, str]]:
    """Return the headers that ask a client to wait before it retries; none for 0.

    `retry_after` is in tenths of a millisecond.
    """
    retry_after_ms = retry_after / TENTHS_PER_MS
    if not retry_after_ms:
        return []
    return [
        ("Retry-After", str(max(1, math.ceil(retry_after_ms / 1000)))),
        ("Retry-After-Ms", f"{retry_after_ms:.0f}"),
    ]


class _BufferedResponse:
    """A response that is buffered until it is complete; the requested output tokens bound its size."""

    def __init__(self) -> None:
        self.request_id = ""
        self.texts: list[str] = []

    async def stream_started(self) -> None:
        return

    async def data_received(self, text: str) -> None:
        self.texts.append(text)


class _EventStreamResponse(StreamingResponse):
    """A completion that is forwarded as server-sent events while the engine generates it."""

    def __init__(self, handler: CompletionsHandler) -> None:
        super().__init__(handler, handler.front.engine_client.watchdog)
        self.handler = handler
        self.request_id = ""
        self.created_at = int(time.time())
        self.model = handler.front.config.front.model

    async def stream_started(self) -> None:
        self.head_sent = True
        self.encoder = wire.CompletionEventEncoder(self.request_id, self.model, self.created_at)
        fields = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
            ("Runspool-Query", self.request_id),
        ]
        if not self.handler.keeps_alive:
            fields.append(("Connection", "close"))
        await self.forward(encode_response_head(200, fields))

    async def data_received(self, text: str) -> None:
        await self.forward(self.encoder.text(text))

    async def finish(self, final: FinalResponse) -> None:
        """Send the last event of the stream and end the response.

        Raises:
            ConnectionClosedError: An earlier write was interrupted, so the stream cannot be continued.
            TimeoutError: The client does not read the end of the stream.
        """
        if self.write_interrupted:
            self.handler.tcp.close()
            raise ConnectionClosedError("an earlier write of the response was interrupted")
        if not self.head_sent:
            await self.stream_started()
        if final.kind is ResponseKind.SUCCEEDED:
            reason = final.result.finish_reason if final.result else "stop"
            last_event = (
                wire.completion_event(self.request_id, self.model, self.created_at, "", reason)
                + wire.DONE_EVENT
            )
        else:
            last_event = wire.error_event(final.code, final.message)
        with anyio.fail_after(self.handler.write_timeout_seconds):
            await self.forward(encode_chunk(last_event) + LAST_CHUNK)
