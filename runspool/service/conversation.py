"""One client's connection: HTTP/1.1 in, one final answer out for each query taken from it."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import anyio
import msgspec

from runspool.service.front import Front
from runspool.service.owed import Final, Kind, Refused
from runspool.service.taken import Taken
from runspool.service.talk import Sending, Talk
from runspool.sockets.lines import Gone, Line
from runspool.wire import completions as wire
from runspool.wire.fields import Misworded
from runspool.wire.requests import CHUNKS_END, Request, chunk, head

# A dismissal invites another try; a scrapping must not look like one of the statuses that client
# libraries repeat by themselves, or they would run an exclusive query twice.
DISMISSED, SCRAPPED = 503, 424


class Conversation(Talk):
    def __init__(self, front: Front, line: Line, working: Callable[[int], None]) -> None:
        super().__init__(front.terms.front.bounds, line, working)
        self.front = front

    @property
    def closing(self) -> bool:
        return self.front.closing

    def error(self, code: str, message: str) -> bytes:
        return wire.error_body("invalid_request_error", code, message)

    async def route(self, request: Request, came: int) -> None:
        path, method = request.path, request.method
        if path == "/v1/completions":
            if method != "POST":
                await self.plain(
                    405, wire.error_body("invalid_request_error", "method", "POST it"), [("Allow", "POST")]
                )
                return
            await self._query(request, came)
        elif path == "/healthz" and method == "GET":
            await self.plain(503 if self.front.closing else 200, b"{}")
        elif path == "/cells" and method == "GET":
            await self.plain(200, msgspec.json.encode(self.front.cells()))
        elif path == "/v1/models" and method == "GET":
            models = {
                "object": "list",
                "data": [
                    {
                        "id": self.front.terms.front.model,
                        "object": "model",
                        "created": 0,
                        "owned_by": "runspool",
                    }
                ],
            }
            await self.plain(200, msgspec.json.encode(models))
        else:
            await self.plain(404, wire.error_body("invalid_request_error", "path", "no such path"))

    async def _query(self, request: Request, came: int) -> None:
        try:
            wish = wire.read_wish(request.headers, bytes(request.body), self.front.terms)
            if wish.stream and request.version == "1.0":
                raise Misworded("stream", "an answer in parts needs HTTP/1.1", 505)
        except Misworded as bad:
            await self.plain(bad.status, wire.error_body("invalid_request_error", bad.where, str(bad)))
            return
        reply = _Streamed(self) if wish.stream else _Gathered()
        try:
            taken = self.front.take(wish, reply, came)
        except Refused as refused:
            if refused.kind is Kind.SCRAPPED:
                await self.plain(
                    SCRAPPED,
                    wire.error_body("scrapped", refused.code, refused.message),
                    [("X-Should-Retry", "false")],
                )
                return
            await self.plain(
                DISMISSED,
                wire.error_body("dismissed", refused.code, refused.message),
                [("Retry-After", "1"), ("X-Should-Retry", "true")],
            )
            return
        reply.query = taken.id
        final = await self.final(self.front, taken, reply if isinstance(reply, _Streamed) else None)
        await self._answer(taken, reply, final)

    async def _answer(self, taken: Taken, reply: _Streamed | _Gathered, final: Final) -> None:
        marks = [("Runspool-Query", taken.id), ("Runspool-Shots", str(taken.shots))]
        if final.kind is Kind.LEFT:
            self.line.drop()
            raise Gone("the client left")
        elif isinstance(reply, _Streamed) and (reply.opened or final.kind is Kind.SUCCEEDED):
            await reply.finish(final)
        elif final.kind is Kind.SUCCEEDED and isinstance(reply, _Gathered) and final.ended is not None:
            ended = final.ended
            await self.plain(
                200,
                wire.whole_answer(
                    taken.id,
                    self.front.terms.front.model,
                    int(time.time()),
                    "".join(reply.texts),
                    ended.finish,
                    ended.read,
                    ended.kept,
                    ended.made,
                ),
                marks,
            )
        elif final.kind is Kind.DISMISSED:
            wait_ms = final.hold_off / 10
            hold = (
                [
                    ("Retry-After", str(max(1, math.ceil(wait_ms / 1000)))),
                    ("Retry-After-Ms", f"{wait_ms:.0f}"),
                ]
                if wait_ms
                else []
            )
            await self.plain(
                DISMISSED,
                wire.error_body("dismissed", final.code, final.message),
                [*marks, *hold, ("X-Should-Retry", "true")],
            )
        else:
            await self.plain(
                SCRAPPED,
                wire.error_body("scrapped", final.code, final.message),
                [*marks, ("X-Should-Retry", "false")],
            )


class _Gathered:
    """A whole answer, gathered until it is complete. Its size is bounded by the tokens asked for."""

    def __init__(self) -> None:
        self.query = ""
        self.texts: list[str] = []

    async def begun(self) -> None:
        return

    async def said(self, text: str) -> None:
        self.texts.append(text)


class _Streamed(Sending):
    """A completion sent on as it comes."""

    def __init__(self, conversation: Conversation) -> None:
        super().__init__(conversation, conversation.front.caller.vigil)
        self.conversation = conversation
        self.query = ""
        self.made_at = int(time.time())
        self.model = conversation.front.terms.front.model

    async def begun(self) -> None:
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
        await self.pass_on(head(200, fields))

    async def said(self, text: str) -> None:
        await self.pass_on(self.chunks.text(text))

    async def finish(self, final: Final) -> None:
        if self.torn:
            self.conversation.line.drop()
            raise Gone("a send was cut short")
        if not self.opened:
            await self.begun()
        if final.kind is Kind.SUCCEEDED:
            finish = final.ended.finish if final.ended else "stop"
            last = wire.chunk(self.query, self.model, self.made_at, "", finish) + wire.DONE
        else:
            last = wire.broken_event(final.code, final.message)
        with anyio.fail_after(self.conversation.write_time):
            await self.pass_on(chunk(last) + CHUNKS_END)
