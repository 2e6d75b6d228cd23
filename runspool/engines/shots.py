"""One shot at one engine: sends it, follows it, and says how it ended. Picks nothing, repeats nothing."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec

from runspool.decisions.interface import Ending, Report
from runspool.engines.connections import Full, Link, Pool
from runspool.engines.endings import ENDINGS, Mishap, of_status
from runspool.terms import EnginesTerms
from runspool.engines.replies import BadReply, Reply
from runspool.engines.vigil import Vigil, Watched
from runspool.sockets.lines import Gone, dial
from runspool.terms.checked import TENTHS, tenths
from runspool.wire import engine as wire

Address = tuple[str, int]
State = dict[str, msgspec.Raw]


@dataclass(slots=True)
class Ended:
    """How a shot ended; `mishap` is None where it did what it was sent for."""

    ending: Ending
    mishap: Mishap | None = None
    detail: str = ""
    kept: int = 0
    read: int = 0
    made: int = 0
    finish: str = ""
    state: State | None = None
    report: Report | None = None


Barred = Callable[[], bool]


def _never() -> bool:
    return False


class Listener(Protocol):
    """Hears a streamed answer while it comes."""

    async def begun(self) -> None: ...
    async def said(self, text: str) -> None: ...


class _Stopped(Exception):
    def __init__(self, mishap: Mishap, detail: str = "") -> None:
        super().__init__(detail)
        self.mishap, self.detail = mishap, detail


class Caller:
    """Carries out shots on pooled connections."""

    def __init__(self, terms: EnginesTerms, now: Callable[[], int], silence_ms: float) -> None:
        self.terms = terms
        self.now = now
        self.silence = tenths(silence_ms)
        self.vigil = Vigil(now)
        self.pool = Pool(terms, now)

    async def read(self, address: Address, query: State, headers: Mapping[str, str], limit: int,
                   barred: Barred) -> Ended:
        """Has a prompt read; READ with the waiting state, or what else it came to. Arguments as in write().

        Cancelled, the connection is closed and nothing is told.
        """
        report: Report | None = None
        try:
            with self._clock(limit) as clock, self._link() as held:
                link = await self._asked(held, clock, address, wire.read_body(query), headers, barred)
                head = await self._head(link)
                report = wire.load_report(head.headers.get(wire.REPORT_HEADER))
                answer = wire.answer(await self._whole(link))
                if not answer.kv_transfer_params:
                    raise _Stopped(Mishap.GARBLED, "a read without kv_transfer_params")
        except _Stopped as stop:
            return Ended(ENDINGS[stop.mishap], stop.mishap, stop.detail, report=report)
        except wire.Garbled as fault:
            return Ended(ENDINGS[Mishap.GARBLED], Mishap.GARBLED, str(fault), report=report)
        usage = answer.usage or wire.Usage()
        return Ended(Ending.READ, kept=usage.kept, read=usage.prompt_tokens, state=answer.kv_transfer_params,
                     report=report)

    async def write(self, address: Address, query: State, state: State | None, headers: Mapping[str, str],
                    limit: int, barred: Barred, most_out: int, listener: Listener) -> Ended:
        """Has a query answered, telling `listener` as the answer comes.

        `barred` says whether the engine may no longer be sent it; it is asked before the last byte goes.
        `limit`, in tenths of a millisecond, holds to the first token; from then on only the bound of silence.
        Cancelled, the connection is closed and nothing is told.
        """
        told = Ended(Ending.SUCCEEDED)
        answer = _Answer(self, told, most_out, listener)
        try:
            with self._clock(limit) as clock, self._link() as held:
                link = await self._asked(held, clock, address, wire.write_body(query, state), headers, barred)
                head = await self._head(link)
                told.report = wire.load_report(head.headers.get(wire.REPORT_HEADER))
                texts = await answer.first(link)
                clock.unbounded(Mishap.CUT_IN_STREAM)
                watched = self.vigil.watch(self.silence, clock.cancel)
                try:
                    await answer.rest(link, texts, watched)
                finally:
                    self.vigil.forget(watched)
                if not answer.finished:
                    raise _Stopped(Mishap.CUT_IN_STREAM if answer.begun else Mishap.GARBLED,
                                   "ends without a finish")
                await self._rest(link)
        except _Stopped as stop:
            # Past its finish an answer is whole: only its last lines are missing.
            if not (answer.finished and stop.mishap is Mishap.CUT_IN_STREAM):
                told.mishap, told.detail = stop.mishap, stop.detail
        except wire.Garbled as fault:
            told.mishap, told.detail = Mishap.GARBLED, str(fault)
        if told.mishap is not None:
            # Whatever breaks an answer once its client has seen some of it is a stream cut.
            told.mishap = Mishap.CUT_IN_STREAM if answer.begun else told.mishap
            told.ending = ENDINGS[told.mishap]
        return told

    async def release(self, address: Address, state: State | None, request: str,
                      limit: int) -> Mishap | None:
        """Lets a waiting state go, named by itself or by its read's request; None, or what came between."""
        try:
            with self._clock(limit) as clock, self._link() as held:
                body = wire.release_body(state, request)
                link = await self._asked(held, clock, address, body, {}, _never, wire.RELEASE_PATH)
                await self._head(link)
                await self._whole(link)
        except _Stopped as stop:
            return stop.mishap
        return None

    async def answers(self, address: Address) -> bool:
        """Whether an engine still takes connections; asked when one broke, to tell a reset from its end."""
        try:
            with anyio.fail_after(self.terms.connect_ms / 1000):
                line = await dial(address, self.terms.source_address)
        except (OSError, TimeoutError):
            return False
        line.drop()
        return True

    def _clock(self, limit: int) -> _Clock:
        if limit <= 0:
            raise _Stopped(Mishap.NO_TIME)
        return _Clock(limit)

    @contextmanager
    def _link(self) -> Iterator[list[Link]]:
        """Takes the link that is put into the list and, at the end, gives it back or drops it."""
        held: list[Link] = []
        try:
            yield held
        finally:
            for link in held:
                if link.reply.complete:
                    self.pool.give_back(link)
                else:
                    self.pool.drop(link)

    async def _asked(self, held: list[Link], clock: _Clock, address: Address, body: bytes,
                     headers: Mapping[str, str], barred: Barred, path: str = "/v1/completions") -> Link:
        """A link on which the request has been sent whole, put into `held` as soon as it stands."""
        try:
            link = await self.pool.take(address)
        except Full as fault:
            raise _Stopped(Mishap.OWN_CAP, str(fault)) from None
        except (OSError, TimeoutError) as fault:
            raise _Stopped(Mishap.REFUSED, str(fault) or type(fault).__name__) from None
        held.append(link)
        clock.mishap = Mishap.SILENT_BEFORE_LAST_BYTE
        await self._send(link, path, headers, body, barred)
        clock.mishap = Mishap.SILENT_AFTER_LAST_BYTE
        return link

    async def _send(self, link: Link, path: str, headers: Mapping[str, str], body: bytes,
                    barred: Barred) -> None:
        fields = {"Host": f"{link.address[0]}:{link.address[1]}", "Content-Type": "application/json",
                  "Content-Length": str(len(body)), **headers}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1")
        try:
            # The last byte is held back: until it goes the engine cannot have begun, so a connection
            # that broke while idle costs no doubt about what ran.
            await link.line.send(head + body[:-1])
            if link.spoke():
                raise _Stopped(Mishap.CUT_BEFORE_LAST_BYTE, "closed or answered before it had the request")
            if barred():
                raise _Stopped(Mishap.BARRED, "taken off the list before it had the request")
        except Gone as fault:
            raise _Stopped(Mishap.CUT_BEFORE_LAST_BYTE, str(fault)) from None
        try:
            await link.line.send(body[-1:])
        except Gone as fault:
            raise _Stopped(Mishap.CUT_AFTER_LAST_BYTE, str(fault)) from None

    async def _head(self, link: Link) -> Reply:
        """The head of a 200; any other status ends the shot."""
        reply = link.reply
        while not reply.head_done:
            await self._more(link, Mishap.CUT_AFTER_LAST_BYTE)
        if reply.status == 200:
            return reply
        code = ""
        with suppress(_Stopped):  # the status alone has said what it promises
            code = wire.error_code(await self._whole(link))
        raise _Stopped(of_status(reply.status, code), f"status {reply.status} {code}".strip())

    async def _whole(self, link: Link) -> bytes:
        body = bytearray(link.reply.take())
        while not link.reply.complete:
            await self._more(link, Mishap.CUT_IN_ANSWER)
            body += link.reply.take()
            if len(body) > self.terms.read_answer_bytes:
                raise _Stopped(Mishap.GARBLED, f"an answer of over {self.terms.read_answer_bytes} bytes")
        return bytes(body)

    async def _more(self, link: Link, cut: Mishap) -> None:
        """Reads what comes next; `cut` is what a connection lost here means."""
        try:
            link.reply.feed(await link.line.receive())
        except BadReply as fault:
            raise _Stopped(Mishap.GARBLED, str(fault)) from None
        except Gone as fault:
            raise _Stopped(cut, str(fault) or "closed") from None

    async def _rest(self, link: Link) -> None:
        """What stands after the answer's end, so that the link can serve again; not waited for long."""
        with anyio.move_on_after(self.terms.connect_ms / 1000):
            try:
                for _ in range(8):
                    if link.reply.complete:
                        return
                    await self._more(link, Mishap.CUT_IN_STREAM)
                    link.reply.take()
            except _Stopped:
                return


class _Answer:
    """A streamed answer as it is read off a link."""

    def __init__(self, caller: Caller, told: Ended, most_out: int, listener: Listener) -> None:
        self.caller = caller
        self.told = told
        self.most_out = most_out
        self.listener = listener
        self.events = wire.Events(caller.terms.line_bytes)
        self.begun = self.finished = self.over = False

    async def first(self, link: Link) -> str:
        """The first text, or empty where the answer ends without any."""
        while not self.over:
            if texts := await self._texts(link, Mishap.CUT_IN_ANSWER):
                return texts
        return ""

    async def rest(self, link: Link, texts: str, watched: Watched) -> None:
        """Passes on what has come and all that follows; what came together goes on together."""
        if texts:
            self.begun = True
            await self.listener.begun()
            await self.listener.said(texts)
        while not self.over:
            watched.since = self.caller.now()
            try:
                texts = await self._texts(link, Mishap.CUT_IN_STREAM)
            except _Stopped:
                if self.finished:  # the answer is whole; only its last lines are missing
                    return
                raise
            watched.since = 0
            if texts:
                await self.listener.said(texts)

    async def _texts(self, link: Link, cut: Mishap) -> str:
        reply, told = link.reply, self.told
        body = reply.take()
        if not body:
            if reply.complete:
                self.over = True
                return ""
            await self.caller._more(link, cut)
            body = reply.take()
        texts = []
        for raw in self.events.feed(body):
            if raw == b"[DONE]":
                self.over = True
                break
            said = wire.answer(raw)
            if said.error is not None:
                raise _Stopped(Mishap.FAILED, str(said.error))
            if said.usage is not None:
                told.kept, told.read = said.usage.kept, said.usage.prompt_tokens
            for choice in said.choices:
                if choice.text and not self.finished:
                    told.made += 1
                    texts.append(choice.text)
                if choice.finish_reason:
                    self.finished, told.finish = True, choice.finish_reason
        if told.made > self.most_out:
            raise _Stopped(Mishap.GARBLED, f"more than {self.most_out} tokens")
        return "".join(texts)


class _Clock:
    """A shot's time; `mishap` is what its running out means at the point which the shot has come to."""

    __slots__ = ("mishap", "scope")

    def __init__(self, limit: int) -> None:
        self.scope = anyio.CancelScope(deadline=anyio.current_time() + limit / (1000 * TENTHS))
        self.mishap = Mishap.REFUSED

    def unbounded(self, mishap: Mishap) -> None:
        """From here on only cancel() ends the shot."""
        self.mishap, self.scope.deadline = mishap, math.inf

    def cancel(self) -> None:
        self.scope.cancel()

    def __enter__(self) -> _Clock:
        self.scope.__enter__()
        return self

    def __exit__(self, *exc: object) -> bool:
        swallowed = self.scope.__exit__(*exc)  # type: ignore[arg-type]
        if self.scope.cancelled_caught:
            raise _Stopped(self.mishap, "time ran out")
        return bool(swallowed)


def limit_of(cap: int, left: int) -> int:
    """A shot's time: its cap, 0 for none, cut to what the client leaves; both in tenths of a millisecond."""
    return min(cap, left) if cap else left


__all__ = ["Address", "Caller", "Ended", "Listener", "State", "limit_of"]
