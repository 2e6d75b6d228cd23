"""One shot at one engine: sends it, follows it, and says how it ended. Picks nothing, repeats nothing."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import msgspec

from runspool.decisions.interface import Ending, Report
from runspool.engines.connections import Address
from runspool.engines.endings import ENDINGS, Mishap, of_status
from runspool.engines.exchange import Call, Ended, Exchanges, Listener, Permit, Stopped, worded
from runspool.engines.replies import Reply
from runspool.engines.vigil import Watched
from runspool.sockets.lines import dial
from runspool.wire import engine as wire

State = dict[str, msgspec.Raw]


class Caller(Exchanges):
    """Carries out shots on pooled connections."""

    def said_no(self, reply: Reply, body: bytes) -> tuple[Mishap, str]:
        code = wire.error_code(body)
        return of_status(reply.status, code), code

    def _posted(
        self, address: Address, headers: Mapping[str, str], body: bytes, path: str = "/v1/completions"
    ) -> bytes:
        return worded(
            "POST",
            path,
            {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json", **headers},
            body,
        )

    async def read(
        self, address: Address, query: State, headers: Mapping[str, str], limit: int, permit: Permit
    ) -> Ended:
        """Has a prompt read; READ with the waiting state, or what else it came to. Arguments as in write().

        Cancelled, the connection is closed and nothing is told.
        """
        report: Report | None = None
        call = Call(permit)
        try:
            with self._clock(limit) as clock, self._carried(call):
                words = self._posted(address, headers, wire.read_body(query))
                await self._asked(call, clock, address, lambda left: words)
                head = await self._head(call)
                report = wire.load_report(head.headers.get(wire.REPORT_HEADER))
                answer = wire.answer(await self._whole(call))
                if not answer.kv_transfer_params:
                    raise Stopped(Mishap.GARBLED, "a read without kv_transfer_params")
        except Stopped as stop:
            return Ended(ENDINGS[stop.mishap], stop.mishap, stop.detail, arrived=call.arrived, report=report)
        except wire.Garbled as fault:
            return Ended(ENDINGS[Mishap.GARBLED], Mishap.GARBLED, str(fault), arrived=True, report=report)
        usage = answer.usage or wire.Usage()
        return Ended(
            Ending.READ,
            kept=usage.kept,
            read=usage.prompt_tokens,
            arrived=True,
            state=answer.kv_transfer_params,
            report=report,
        )

    async def write(
        self,
        address: Address,
        query: State,
        state: State | None,
        headers: Mapping[str, str],
        limit: int,
        permit: Permit,
        most_out: int,
        listener: Listener[str],
    ) -> Ended:
        """Has a query answered, telling `listener` as the answer comes.

        `permit` is asked before the last byte goes, and hears of the first that comes back.
        `limit`, in tenths of a millisecond, holds to the first token; from then on only the bound of silence.
        Cancelled, the connection is closed and nothing is told.
        """
        told = Ended(Ending.SUCCEEDED)
        answer, call = _Answer(self, told, most_out, listener), Call(permit)
        try:
            with self._clock(limit) as clock, self._carried(call):
                words = self._posted(address, headers, wire.write_body(query, state))
                await self._asked(call, clock, address, lambda left: words)
                head = await self._head(call)
                told.report = wire.load_report(head.headers.get(wire.REPORT_HEADER))
                texts = await answer.first(call)
                clock.unbounded(Mishap.CUT_IN_STREAM)
                watched = self.vigil.watch(self.silence, clock.cancel)
                try:
                    await answer.rest(call, texts, watched)
                finally:
                    self.vigil.forget(watched)
                if not answer.finished:
                    raise Stopped(
                        Mishap.CUT_IN_STREAM if answer.begun else Mishap.GARBLED, "ends without a finish"
                    )
                await self._rest(call)
        except Stopped as stop:
            # Past its finish an answer is whole: only its last lines are missing.
            if not (answer.finished and stop.mishap is Mishap.CUT_IN_STREAM):
                told.broke(stop.mishap, stop.detail, answer.begun)
        except wire.Garbled as fault:
            told.broke(Mishap.GARBLED, str(fault), answer.begun)
        told.arrived = call.arrived
        return told

    async def release(self, address: Address, state: State | None, request: str, limit: int) -> Mishap | None:
        """Lets a waiting state go, named by itself or by its read's request; None, or what came between."""
        call = Call()
        try:
            with self._clock(limit) as clock, self._carried(call):
                words = self._posted(address, {}, wire.release_body(state, request), wire.RELEASE_PATH)
                await self._asked(call, clock, address, lambda left: words)
                await self._head(call)
                await self._whole(call)
        except Stopped as stop:
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

    async def _rest(self, call: Call) -> None:
        """What stands after the answer's end, so that the link can serve again; not waited for long."""
        with anyio.move_on_after(self.terms.connect_ms / 1000):
            try:
                for _ in range(8):
                    if call.reply.complete:
                        return
                    await self._more(call, Mishap.CUT_IN_STREAM)
                    call.reply.take()
            except Stopped:
                return


class _Answer:
    """A streamed answer as it is read off a link."""

    def __init__(self, caller: Caller, told: Ended, most_out: int, listener: Listener[str]) -> None:
        self.caller = caller
        self.told = told
        self.most_out = most_out
        self.listener = listener
        self.events = wire.Events(caller.terms.line_bytes)
        self.begun = self.finished = self.over = False

    async def first(self, call: Call) -> str:
        """The first text, or empty where the answer ends without any."""
        while not self.over:
            if texts := await self._texts(call, Mishap.CUT_IN_ANSWER):
                return texts
        return ""

    async def rest(self, call: Call, texts: str, watched: Watched) -> None:
        """Passes on what has come and all that follows; what came together goes on together."""
        if texts:
            self.begun = True
            await self.listener.begun()
            await self.listener.said(texts)
        while not self.over:
            watched.since = self.caller.now()
            try:
                texts = await self._texts(call, Mishap.CUT_IN_STREAM)
            except Stopped:
                if self.finished:  # the answer is whole; only its last lines are missing
                    return
                raise
            watched.since = 0
            if texts:
                await self.listener.said(texts)

    async def _texts(self, call: Call, cut: Mishap) -> str:
        reply, told = call.reply, self.told
        body = reply.take()
        if not body:
            if reply.complete:
                self.over = True
                return ""
            await self.caller._more(call, cut)
            body = reply.take()
        texts = []
        for raw in self.events.feed(body):
            if raw == b"[DONE]":
                self.over = True
                break
            said = wire.answer(raw)
            if said.error is not None:
                raise Stopped(Mishap.FAILED, str(said.error))
            if said.usage is not None:
                told.kept, told.read = said.usage.kept, said.usage.prompt_tokens
            for choice in said.choices:
                if choice.text and not self.finished:
                    told.made += 1
                    texts.append(choice.text)
                if choice.finish_reason:
                    self.finished, told.finish = True, choice.finish_reason
        if told.made > self.most_out:
            raise Stopped(Mishap.GARBLED, f"more than {self.most_out} tokens")
        return "".join(texts)
