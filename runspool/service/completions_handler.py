"""One client's connection to a front: HTTP/1.1 in, one final answer out for each request accepted from it."""

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
from runspool.units import TENTHS
from runspool.wire import completions as wire
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import CHUNKS_END, HttpRequest, chunk, head

# A rejection invites another try; an indeterminate answer must not look like one of the statuses that client
# libraries repeat by themselves, or they would run an exclusive request twice.
REJECTED_STATUS = 503
INDETERMINATE_STATUS = 424


class CompletionsHandler(HttpConnection):
    """Serves the front's paths on one client connection."""

    def __init__(self, front: Front, connection: TcpConnection, count_active: Callable[[int], None]) -> None:
        """`count_active` is called with +1 when a request has come and with -1 when its answer is out."""
        super().__init__(front.config.front.bounds, connection, count_active)
        self.front = front

    @property
    def closing(self) -> bool:
        """True once the front is stopping: no further request is read."""
        return self.front.closing

    def error_body(self, code: str, message: str) -> bytes:
        """The body of a refusal before a request is accepted."""
        return wire.error_body("invalid_request_error", code, message)

    async def route(self, request: HttpRequest, received_at: int) -> None:
        """Answers a whole request; `received_at` is when its head was there, on the front's clock.

        Raises ConnectionClosedError or TimeoutError where the client cannot be answered. Cancelled, an
        accepted request counts as one whose client disconnected.
        """
        path, method = request.path, request.method
        if path == "/v1/completions":
            if method == "POST":
                await self._complete(request, received_at)
            else:
                await self.send_response(405, self.error_body("method", "POST it"), [("Allow", "POST")])
        elif path == "/healthz" and method == "GET":
            await self.send_response(503 if self.front.closing else 200, b"{}")
        elif path == "/cells" and method == "GET":
            await self.send_response(200, msgspec.json.encode(self.front.cells()))
        elif path == "/v1/models" and method == "GET":
            await self.send_response(200, msgspec.json.encode(self._models()))
        else:
            await self.send_response(404, self.error_body("path", "no such path"))

    def _models(self) -> dict[str, object]:
        model = {
            "id": self.front.config.front.model,
            "object": "model",
            "created": 0,
            "owned_by": "runspool",
        }
        return {"object": "list", "data": [model]}

    async def _complete(self, request: HttpRequest, received_at: int) -> None:
        try:
            completion = wire.parse_completion_request(
                request.headers, bytes(request.body), self.front.config
            )
            if completion.stream and request.version == "1.0":
                raise InvalidRequestError("stream", "an answer in parts needs HTTP/1.1", 505)
        except InvalidRequestError as invalid:
            await self.send_response(invalid.status, self.error_body(invalid.field_name, str(invalid)))
            return
        response = _EventStreamResponse(self) if completion.stream else _CollectedResponse()
        try:
            pending = self.front.submit(completion, response, received_at)
        except RequestNotAcceptedError as refused:
            await self._send_not_accepted(refused)
            return
        response.request_id = pending.id
        stream = response if isinstance(response, _EventStreamResponse) else None
        final = await self.final_response(self.front, pending, stream)
        await self._answer(pending, response, final)

    async def _send_not_accepted(self, refused: RequestNotAcceptedError) -> None:
        if refused.kind is ResponseKind.INDETERMINATE:
            await self.send_response(
                INDETERMINATE_STATUS,
                wire.error_body("scrapped", refused.code, refused.message),
                [("X-Should-Retry", "false")],
            )
            return
        await self.send_response(
            REJECTED_STATUS,
            wire.error_body("dismissed", refused.code, refused.message),
            [("Retry-After", "1"), ("X-Should-Retry", "true")],
        )

    async def _answer(
        self,
        pending: PendingCompletion,
        response: _EventStreamResponse | _CollectedResponse,
        final: FinalResponse,
    ) -> None:
        headers = [("Runspool-Query", pending.id), ("Runspool-Shots", str(pending.attempt_count))]
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client left")
        succeeded = final.kind is ResponseKind.SUCCEEDED
        if isinstance(response, _EventStreamResponse):
            if response.opened or succeeded:
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
        self, pending: PendingCompletion, response: _CollectedResponse, result: AttemptResult
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
    """Headers for a wait in tenths of a millisecond; none for 0."""
    wait_ms = retry_after / TENTHS
    if not wait_ms:
        return []
    return [
        ("Retry-After", str(max(1, math.ceil(wait_ms / 1000)))),
        ("Retry-After-Ms", f"{wait_ms:.0f}"),
    ]


class _CollectedResponse:
    """A whole answer, gathered until it is complete. Its size is bounded by the tokens asked for."""

    def __init__(self) -> None:
        self.request_id = ""
        self.texts: list[str] = []

    async def stream_started(self) -> None:
        return

    async def data_received(self, text: str) -> None:
        self.texts.append(text)


class _EventStreamResponse(StreamingResponse):
    """A completion sent on as server-sent events while it comes."""

    def __init__(self, handler: CompletionsHandler) -> None:
        super().__init__(handler, handler.front.engine_client.watchdog)
        self.handler = handler
        self.request_id = ""
        self.created_at = int(time.time())
        self.model = handler.front.config.front.model

    async def stream_started(self) -> None:
        self.opened = True
        self.chunks = wire.CompletionChunks(self.request_id, self.model, self.created_at)
        fields = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
            ("Runspool-Query", self.request_id),
        ]
        if not self.handler.keeps_alive:
            fields.append(("Connection", "close"))
        await self.forward(head(200, fields))

    async def data_received(self, text: str) -> None:
        await self.forward(self.chunks.text(text))

    async def finish(self, final: FinalResponse) -> None:
        """Sends the last event; raises ConnectionClosedError where an earlier one was cut short."""
        if self.write_interrupted:
            self.handler.tcp.close()
            raise ConnectionClosedError("a send was cut short")
        if not self.opened:
            await self.stream_started()
        if final.kind is ResponseKind.SUCCEEDED:
            reason = final.result.finish_reason if final.result else "stop"
            last = wire.chunk(self.request_id, self.model, self.created_at, "", reason) + wire.DONE
        else:
            last = wire.error_event(final.code, final.message)
        with anyio.fail_after(self.handler.write_timeout_seconds):
            await self.forward(chunk(last) + CHUNKS_END)
