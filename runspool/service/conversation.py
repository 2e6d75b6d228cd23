"""One client's connection: HTTP/1.1 in, one final answer out for each query taken from it."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import anyio
import msgspec
import structlog

from runspool.engines.vigil import Watched
from runspool.service.clock import now
from runspool.service.front import Front, Refused
from runspool.service.taken import Final, Kind, Taken
from runspool.sockets.lines import Gone, Line
from runspool.terms.checked import tenths
from runspool.wire import completions as wire
from runspool.wire.requests import CHUNKS_END, CONTINUE, BadRequest, Request, Requests, chunk, head

LINGER = 1.0  # seconds that a refused client's unread bytes are still swallowed, so that it sees the answer
LINGER_BYTES = 8 << 20

# A dismissal invites another try; a scrapping must not look like one of the statuses that client
# libraries repeat by themselves, or they would run an exclusive query twice.
DISMISSED, SCRAPPED = 503, 424


class Conversation:
    def __init__(self, front: Front, line: Line, working: Callable[[int], None]) -> None:
        """`working` is told +1 when a request is at hand and -1 when its answer is out."""
        self.front = front
        self.working = working
        self.bounds = front.terms.front.bounds
        self.line = line
        self.requests = Requests(self.bounds.head_bytes, self.bounds.query_bytes)
        self.write_time = self.bounds.answer_write_ms / 1000
        self.keeps_alive = True

    async def run(self) -> None:
        """Serves until the client goes, asks to close, sends what cannot be taken, or the front stops."""
        try:
            while self.keeps_alive and not self.front.closing:
                await self._one()
        except (Gone, TimeoutError):
            return
        finally:
            self.requests.free()

    async def _one(self) -> None:
        try:
            request = await self._head()
            if request is None:
                self.keeps_alive = False
                return
            came = now()
            self.working(1)
            try:
                await self._body(request)
                self.requests.ready.popleft()
                self.keeps_alive = request.keeps_alive
                await self._route(request, came)
            finally:
                self.working(-1)
        except BadRequest as bad:
            await self._refuse(bad.status, bad.code, bad.message)

    async def _head(self) -> Request | None:
        """The next request, as soon as its head is there; None where no further one comes."""
        ready = self.requests.ready
        if ready and ready[0].head_done:
            return ready[0]
        self.requests.put_off()
        started = bool(ready)
        wait = self.bounds.head_ms if started else self.bounds.idle_ms
        with anyio.CancelScope(deadline=self._in(wait)) as scope:
            while not (ready and ready[0].head_done):
                try:
                    self.requests.feed(await self.line.receive())
                except Gone:
                    if started:
                        raise BadRequest(400, "malformed", "the head ends early") from None
                    return None
                if not started:
                    started, scope.deadline = True, self._in(self.bounds.head_ms)
        if scope.cancelled_caught:
            if not started:
                return None
            raise BadRequest(408, "head_time", "the request's head took too long")
        return ready[0]

    @staticmethod
    def _in(wait_ms: float) -> float:
        return anyio.current_time() + wait_ms / 1000

    async def _body(self, request: Request) -> None:
        if request.complete:
            return
        if request.waits_to_be_told:
            await self._out(CONTINUE)
        with anyio.move_on_after(self.bounds.body_ms / 1000):
            while not request.complete:
                try:
                    self.requests.feed(await self.line.receive())
                except Gone:
                    raise BadRequest(400, "malformed", "the body ends early") from None
            return
        raise BadRequest(408, "body_time", "the body took too long")

    async def _route(self, request: Request, came: int) -> None:
        path, method = request.path, request.method
        if path == "/v1/completions":
            if method != "POST":
                await self._plain(405, wire.error_body("invalid_request_error", "method", "POST it"),
                                  [("Allow", "POST")])
                return
            await self._query(request, came)
        elif path == "/healthz" and method == "GET":
            await self._plain(503 if self.front.closing else 200, b"{}")
        elif path == "/cells" and method == "GET":
            await self._plain(200, msgspec.json.encode(self.front.cells()))
        elif path == "/v1/models" and method == "GET":
            models = {"object": "list", "data": [{"id": self.front.terms.front.model, "object": "model",
                                                  "created": 0, "owned_by": "runspool"}]}
            await self._plain(200, msgspec.json.encode(models))
        else:
            await self._plain(404, wire.error_body("invalid_request_error", "path", "no such path"))

    async def _query(self, request: Request, came: int) -> None:
        try:
            wish = wire.read_wish(request.headers, bytes(request.body), self.front.terms)
            if wish.stream and request.version == "1.0":
                raise wire.Misworded("stream", "an answer in parts needs HTTP/1.1", 505)
        except wire.Misworded as bad:
            await self._plain(bad.status, wire.error_body("invalid_request_error", bad.where, str(bad)))
            return
        reply = _Streamed(self) if wish.stream else _Gathered()
        try:
            taken = self.front.take(wish, reply, came)
        except Refused as refused:
            if refused.kind is Kind.SCRAPPED:
                await self._plain(SCRAPPED, wire.error_body("scrapped", refused.code, refused.message),
                                  [("X-Should-Retry", "false")])
                return
            await self._plain(DISMISSED, wire.error_body("dismissed", refused.code, refused.message),
                              [("Retry-After", "1"), ("X-Should-Retry", "true")])
            return
        reply.query = taken.id
        if isinstance(reply, _Streamed):
            reply.watch(taken)
        # What it sends ahead stays on the line for the next cycle, up to what a line keeps.
        self.line.lost = lambda: self.front.left(taken)
        try:
            if self.line.ended:
                self.front.left(taken)
            await taken.done.wait()
        except BaseException:
            self.front.left(taken)  # this connection is being ended: nobody is there to answer
            raise
        finally:
            self.line.lost = None
            if isinstance(reply, _Streamed) and reply.watched is not None:
                self.front.caller.vigil.forget(reply.watched)
                reply.unwatched()
        assert taken.final is not None
        await self._answer(taken, reply, taken.final)

    async def _answer(self, taken: Taken, reply: _Streamed | _Gathered, final: Final) -> None:
        marks = [("Runspool-Query", taken.id), ("Runspool-Shots", str(taken.shots))]
        if final.kind is Kind.LEFT:
            self.line.drop()
            raise Gone("the client left")
        elif isinstance(reply, _Streamed) and (reply.opened or final.kind is Kind.SUCCEEDED):
            await reply.finish(final)
        elif final.kind is Kind.SUCCEEDED and isinstance(reply, _Gathered) and final.ended is not None:
            ended = final.ended
            await self._plain(200, wire.whole_answer(
                taken.id, self.front.terms.front.model, int(time.time()), "".join(reply.texts),
                ended.finish, ended.read, ended.kept, ended.made), marks)
        elif final.kind is Kind.DISMISSED:
            wait_ms = final.hold_off / 10
            hold = [("Retry-After", str(max(1, math.ceil(wait_ms / 1000)))),
                    ("Retry-After-Ms", f"{wait_ms:.0f}")] if wait_ms else []
            await self._plain(DISMISSED, wire.error_body("dismissed", final.code, final.message),
                              [*marks, *hold, ("X-Should-Retry", "true")])
        else:
            await self._plain(SCRAPPED, wire.error_body("scrapped", final.code, final.message),
                              [*marks, ("X-Should-Retry", "false")])

    async def _plain(self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None) -> None:
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *(headers or [])]
        if self.front.closing or not self.keeps_alive:
            fields.append(("Connection", "close"))
        await self._out(head(status, fields) + body)

    async def _refuse(self, status: int, code: str, message: str) -> None:
        """A refusal before intake, after which the connection ends."""
        structlog.get_logger().info("refused", status=status, code=code)
        self.keeps_alive = False
        await self._plain(status, wire.error_body("invalid_request_error", code, message))
        with anyio.move_on_after(LINGER):
            self.line.say_end()
            left = LINGER_BYTES
            while left > 0:
                left -= len(await self.line.receive())

    async def _out(self, data: bytes) -> None:
        if not self.line.write(data):
            with anyio.fail_after(self.write_time):
                await self.line.drained()


class _Gathered:
    """A whole answer, gathered until it is complete. Its size is bounded by the tokens asked for."""

    def __init__(self) -> None:
        self.query = ""
        self.texts: list[str] = []

    async def begun(self) -> None:
        return

    async def said(self, text: str) -> None:
        self.texts.append(text)


class _Streamed:
    """An answer sent on as it comes."""

    def __init__(self, conversation: Conversation) -> None:
        self.conversation = conversation
        self.query = ""
        self.opened = False
        self.torn = False  # a send was cut short: what the client has is no longer known
        self.made_at = int(time.time())
        self.vigil = conversation.front.caller.vigil
        self.watched: Watched | None = None
        self.model = conversation.front.terms.front.model

    def watch(self, taken: Taken) -> None:
        """A client that does not read its answer in time counts as one that left."""
        patience = tenths(self.conversation.bounds.answer_write_ms)
        self.watched = self.vigil.watch(patience, lambda: self.conversation.front.left(taken))

    def unwatched(self) -> None:
        """Lets go of the query, which holds this: knots are left to the collector, and stop the front."""
        self.watched = None

    async def begun(self) -> None:
        self.opened = True
        self.chunks = wire.Chunks(self.query, self.model, self.made_at)
        fields = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"),
                  ("Transfer-Encoding", "chunked"), ("Runspool-Query", self.query)]
        if not self.conversation.keeps_alive:
            fields.append(("Connection", "close"))
        await self._pass(head(200, fields))

    async def said(self, text: str) -> None:
        await self._pass(self.chunks.text(text))

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
            await self._pass(chunk(last) + CHUNKS_END)

    async def _pass(self, data: bytes) -> None:
        if self.conversation.line.write(data):
            return
        self.torn = True
        if self.watched is not None:
            self.watched.since = now()
        await self.conversation.line.drained()
        self.torn = False
        if self.watched is not None:
            self.watched.since = 0
