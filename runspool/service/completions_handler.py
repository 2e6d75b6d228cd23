"""One client's connection: HTTP/1.1 in, one final answer out for each query taken from it."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import anyio
import msgspec

from runspool.service.front import Front
from runspool.service.http_connection import HttpConnection, StreamingResponse
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire import completions as wire
from runspool.wire.fields import InvalidRequestError
from runspool.wire.http_requests import CHUNKS_END, HttpRequest, chunk, head

# A dismissal invites another try; a scrapping must not look like one of the statuses that client
# libraries repeat by themselves, or they would run an exclusive query twice.
DISMISSED, SCRAPPED = 503, 424


class CompletionsHandler(HttpConnection):
    def __init__(self, front: Front, line: TcpConnection, working: Callable[[int], None]) -> None:
        super().__init__(front.config.front.bounds, line, working)
        self.front = front

    @property
    def closing(self) -> bool:
        return self.front.closing

    def error_body(self, code: str, message: str) -> bytes:
        return wire.error_body("invalid_request_error", code, message)

    async def route(self, request: HttpRequest, received_at: int) -> None:
        path, method = request.path, request.method
        if path == "/v1/completions":
            if method != "POST":
                await self.send_response(
                    405, wire.error_body("invalid_request_error", "method", "POST it"), [("Allow", "POST")]
                )
                return
            await self._query(request, received_at)
        elif path == "/healthz" and method == "GET":
            await self.send_response(503 if self.front.closing else 200, b"{}")
        elif path == "/cells" and method == "GET":
            await self.send_response(200, msgspec.json.encode(self.front.cells()))
        elif path == "/v1/models" and method == "GET":
            models = {
                "object": "list",
                "data": [
                    {
                        "id": self.front.config.front.model,
                        "object": "model",
                        "created": 0,
                        "owned_by": "runspool",
                    }
                ],
            }
            await self.send_response(200, msgspec.json.encode(models))
        else:
            await self.send_response(404, wire.error_body("invalid_request_error", "path", "no such path"))

    async def _query(self, request: HttpRequest, came: int) -> None:
        try:
            wish = wire.read_wish(request.headers, bytes(request.body), self.front.config)
            if wish.stream and request.version == "1.0":
                raise InvalidRequestError("stream", "an answer in parts needs HTTP/1.1", 505)
        except InvalidRequestError as bad:
            await self.send_response(
                bad.status, wire.error_body("invalid_request_error", bad.where, str(bad))
            )
            return
        reply = _EventStreamResponse(self) if wish.stream else _CollectedResponse()
        try:
            taken = self.front.submit(wish, reply, came)
        except RequestNotAcceptedError as refused:
            if refused.kind is ResponseKind.INDETERMINATE:
                await self.send_response(
                    SCRAPPED,
                    wire.error_body("scrapped", refused.code, refused.message),
                    [("X-Should-Retry", "false")],
                )
                return
            await self.send_response(
                DISMISSED,
                wire.error_body("dismissed", refused.code, refused.message),
                [("Retry-After", "1"), ("X-Should-Retry", "true")],
            )
            return
        reply.query = taken.id
        final = await self.final_response(
            self.front, taken, reply if isinstance(reply, _EventStreamResponse) else None
        )
        await self._answer(taken, reply, final)

    async def _answer(
        self, taken: PendingCompletion, reply: _EventStreamResponse | _CollectedResponse, final: FinalResponse
    ) -> None:
        marks = [("Runspool-Query", taken.id), ("Runspool-Shots", str(taken.attempt_count))]
        if final.kind is ResponseKind.CLIENT_DISCONNECTED:
            self.tcp.close()
            raise ConnectionClosedError("the client left")
        elif isinstance(reply, _EventStreamResponse) and (
            reply.opened or final.kind is ResponseKind.SUCCEEDED
        ):
            await reply.finish(final)
        elif (
            final.kind is ResponseKind.SUCCEEDED
            and isinstance(reply, _CollectedResponse)
            and final.result is not None
        ):
            ended = final.result
            await self.send_response(
                200,
                wire.whole_answer(
                    taken.id,
                    self.front.config.front.model,
                    int(time.time()),
                    "".join(reply.texts),
                    ended.finish_reason,
                    ended.prompt_tokens,
                    ended.cached_tokens,
                    ended.output_tokens,
                ),
                marks,
            )
        elif final.kind is ResponseKind.REJECTED:
            wait_ms = final.retry_after / 10
            hold = (
                [
                    ("Retry-After", str(max(1, math.ceil(wait_ms / 1000)))),
                    ("Retry-After-Ms", f"{wait_ms:.0f}"),
                ]
                if wait_ms
                else []
            )
            await self.send_response(
                DISMISSED,
                wire.error_body("dismissed", final.code, final.message),
                [*marks, *hold, ("X-Should-Retry", "true")],
            )
        else:
            await self.send_response(
                SCRAPPED,
                wire.error_body("scrapped", final.code, final.message),
                [*marks, ("X-Should-Retry", "false")],
            )


class _CollectedResponse:
    """A whole answer, gathered until it is complete. Its size is bounded by the tokens asked for."""

    def __init__(self) -> None:
        self.query = ""
        self.texts: list[str] = []

    async def stream_started(self) -> None:
        return

    async def data_received(self, text: str) -> None:
        self.texts.append(text)


class _EventStreamResponse(StreamingResponse):
    """A completion sent on as it comes."""

    def __init__(self, conversation: CompletionsHandler) -> None:
        super().__init__(conversation, conversation.front.engine_client.watchdog)
        self.conversation = conversation
        self.query = ""
        self.made_at = int(time.time())
        self.model = conversation.front.config.front.model

    async def stream_started(self) -> None:
        self.opened = True
        self.chunks = wire.Chunks(self.query, self.model, self.made_at)
        fields = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
            ("Runspool-Query", self.query),
        ]
        if not self.conversation.keeps_alive:
            fields.append(("Connection", "close"))
        await self.forward(head(200, fields))

    async def data_received(self, text: str) -> None:
        await self.forward(self.chunks.text(text))

    async def finish(self, final: FinalResponse) -> None:
        if self.write_interrupted:
            self.conversation.tcp.close()
            raise ConnectionClosedError("a send was cut short")
        if not self.opened:
            await self.stream_started()
        if final.kind is ResponseKind.SUCCEEDED:
            finish = final.result.finish_reason if final.result else "stop"
            last = wire.chunk(self.query, self.model, self.made_at, "", finish) + wire.DONE
        else:
            last = wire.broken_event(final.code, final.message)
        with anyio.fail_after(self.conversation.write_timeout_seconds):
            await self.forward(chunk(last) + CHUNKS_END)
