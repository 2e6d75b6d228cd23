"""One client's connection: HTTP/1.1 in, one final answer out for each query taken from it."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping

import anyio
import h11
import msgspec
import structlog

from runspool.engines.vigil import Watched
from runspool.service.clock import now
from runspool.service.front import Front, Refused
from runspool.service.taken import Final, Kind, Taken
from runspool.sockets.lines import Gone, Line
from runspool.terms.checked import tenths
from runspool.wire import completions as wire

LINGER = 1.0  # seconds that a refused client's unread bytes are still swallowed, so that it sees the answer
LINGER_BYTES = 8 << 20

# A dismissal invites another try; a scrapping must not look like one of the statuses that client
# libraries repeat by themselves, or they would run an exclusive query twice.
DISMISSED, SCRAPPED = 503, 424


class _Bad(Exception):
    """A request refused before intake; the connection ends with it."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status, self.code, self.message = status, code, message


class Conversation:
    def __init__(self, front: Front, line: Line, working: Callable[[int], None]) -> None:
        """`working` is told +1 when a request is at hand and -1 when its answer is out."""
        self.front = front
        self.working = working
        self.bounds = front.terms.front.bounds
        self.line = line
        self.state = h11.Connection(h11.SERVER, max_incomplete_event_size=self.bounds.head_bytes)
        self.write_time = self.bounds.answer_write_ms / 1000

    async def run(self) -> None:
        """Serves until the client goes, asks to close, sends what cannot be taken, or the front stops."""
        try:
            while await self._one():
                self.state.start_next_cycle()
        except (Gone, TimeoutError):
            return

    async def _one(self) -> bool:
        try:
            request = await self._head()
            if request is None:
                return False
            came = now()
            self.working(1)
            try:
                body = await self._body(request)
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
                await self._route(request, headers, body, came)
            finally:
                self.working(-1)
        except _Bad as bad:
            await self._refuse(bad.status, bad.code, bad.message)
        except h11.RemoteProtocolError as fault:
            await self._refuse(fault.error_status_hint or 400, "malformed", str(fault))
        return (self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
                and not self.front.closing)

    async def _head(self) -> h11.Request | None:
        wait = self.bounds.idle_ms
        while (event := self.state.next_event()) is h11.NEED_DATA:
            try:
                with anyio.fail_after(wait / 1000):
                    data = await self.line.receive()
            except Gone:
                data = b""
            except TimeoutError:
                if wait == self.bounds.idle_ms:
                    return None
                raise _Bad(408, "head_time", "the request's head took too long") from None
            self.state.receive_data(data)
            wait = self.bounds.head_ms
        return event if isinstance(event, h11.Request) else None

    async def _body(self, request: h11.Request) -> bytes:
        most = self.bounds.query_bytes
        for name, value in request.headers:
            if name == b"content-length" and int(value) > most:
                raise _Bad(413, "query_bytes", f"a body of {int(value)} bytes, {most} are taken")
        if self.state.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        try:
            with anyio.fail_after(self.bounds.body_ms / 1000):
                while True:
                    event = self.state.next_event()
                    if event is h11.NEED_DATA:
                        try:
                            self.state.receive_data(await self.line.receive())
                        except Gone:
                            self.state.receive_data(b"")
                    elif isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > most:
                            raise _Bad(413, "query_bytes", f"a body of over {most} bytes")
                    else:
                        return bytes(body)
        except TimeoutError:
            raise _Bad(408, "body_time", "the body took too long") from None

    async def _route(self, request: h11.Request, headers: Mapping[str, str], body: bytes, came: int) -> None:
        target = request.target.partition(b"?")[0]
        if target == b"/v1/completions":
            if request.method != b"POST":
                await self._plain(405, wire.error_body("invalid_request_error", "method", "POST it"),
                                  [("Allow", "POST")])
                return
            await self._query(headers, body, came)
        elif target == b"/healthz" and request.method == b"GET":
            await self._plain(503 if self.front.closing else 200, b"{}")
        elif target == b"/v1/models" and request.method == b"GET":
            models = {"object": "list", "data": [{"id": self.front.terms.front.model, "object": "model",
                                                  "created": 0, "owned_by": "runspool"}]}
            await self._plain(200, msgspec.json.encode(models))
        else:
            await self._plain(404, wire.error_body("invalid_request_error", "path", "no such path"))

    async def _query(self, headers: Mapping[str, str], body: bytes, came: int) -> None:
        try:
            wish = wire.read_wish(headers, body, self.front.terms)
        except wire.Misworded as bad:
            await self._plain(bad.status, wire.error_body("invalid_request_error", bad.where, str(bad)))
            return
        reply = _Streamed(self) if wish.stream else _Gathered()
        try:
            taken = self.front.take(wish, reply, came)
        except Refused as refused:
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
        if self.front.closing:
            fields.append(("Connection", "close"))
        head = self.state.send(h11.Response(status_code=status, headers=fields))
        data = self.state.send(h11.Data(data=body))
        end = self.state.send(h11.EndOfMessage())
        await self._out((head or b"") + (data or b"") + (end or b""))

    async def _refuse(self, status: int, code: str, message: str) -> None:
        """A refusal before intake, after which the connection ends."""
        structlog.get_logger().info("refused", status=status, code=code)
        if self.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = wire.error_body("invalid_request_error", code, message)
            await self._plain(status, body, [("Connection", "close")])
        with anyio.move_on_after(LINGER):
            self.line.say_end()
            left = LINGER_BYTES
            while left > 0:
                left -= len(await self.line.receive())

    async def _send(self, event: h11.Event) -> None:
        data = self.state.send(event)
        if data:
            await self._out(data)

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

    async def begun(self) -> None:
        head = h11.Response(status_code=200, headers=[
            ("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"), ("Runspool-Query", self.query)])
        self.opened = True
        self.chunks = wire.Chunks(self.query, self.model, self.made_at)
        await self._send(head)

    async def said(self, text: str) -> None:
        # Past h11: a chunk leaves its state as it is, and asking it cost more than making the event.
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
            await self._send(h11.Data(data=last))
            await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        data = self.conversation.state.send(event)
        if data:
            await self._pass(data)

    async def _pass(self, data: bytes) -> None:
        if self.watched is None:
            return
        if self.conversation.line.write(data):
            return
        self.torn, self.watched.since = True, now()
        await self.conversation.line.drained()
        self.torn, self.watched.since = False, 0
