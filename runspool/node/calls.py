"""What a front node says to engines and makes of their answers: read, write, let go."""

from __future__ import annotations

from functools import partial

import msgspec

from runspool.decisions.interface import Ending
from runspool.engines.connections import Address
from runspool.engines.endings import ENDINGS, Mishap
from runspool.engines.exchange import Call, Ended, Exchanges, Listener, Permit, Stopped, worded
from runspool.engines.replies import Reply
from runspool.engines.vigil import Watched
from runspool.node.asks import Ask
from runspool.node.events import Events, Spoilt
from runspool.units import TENTHS
from runspool.wire.fields import UNREADABLE

READ_DONE, WRITING, LET_GO = 202, 200, 204
HOST = "origin.svc"


class _Kept(msgspec.Struct):
    cached_tokens: int = 0


_kept: msgspec.json.Decoder[_Kept] = msgspec.json.Decoder(_Kept)


def of_status(status: int, declined: bool) -> Mishap:
    """What another status than the wanted one says. Only an engine's own word that it declined promises that
    the shot never ran; whatever else comes, it may have."""
    if declined and status in (503, 504):
        return Mishap.TURNED_AWAY
    if declined and status == 410:
        return Mishap.NO_STATE
    return Mishap.FAILED


class Calls(Exchanges):
    """Carries out a node's shots. Picks nothing, repeats nothing."""

    def said_no(self, reply: Reply, body: bytes) -> tuple[Mishap, str]:
        return of_status(reply.status, reply.headers.get("srv-declined") == "1"), ""

    async def read(self, address: Address, ask: Ask, limit: int, permit: Permit) -> Ended:
        """Has a prompt read; READ, or what else it came to. Arguments as in write().

        Cancelled, the connection is closed and nothing is told.
        """
        call = Call(permit)
        try:
            with self._clock(limit) as clock, self._carried(call):
                await self._asked(call, clock, address, partial(_request, ask))
                await self._head(call, READ_DONE)
                body = await self._whole(call)
        except Stopped as stop:
            return Ended(ENDINGS[stop.mishap], stop.mishap, stop.detail, arrived=call.arrived)
        try:
            kept = _kept.decode(body).cached_tokens
        except UNREADABLE:
            kept = 0  # the status has said that it was read; what was found kept is only good to know
        return Ended(Ending.READ, kept=max(0, kept), arrived=True)

    async def write(
        self, address: Address, ask: Ask, limit: int, permit: Permit, hearing: Listener[bytes]
    ) -> Ended:
        """Has a query answered, telling `hearing` as its events come, whole ones only.

        `permit` is asked before the last byte goes, and hears of the first that comes back.
        `limit`, in tenths of a millisecond, holds to the first event; from then on only the bound of silence.
        Cancelled, the connection is closed and nothing is told.
        """
        told, events, call = Ended(Ending.SUCCEEDED), Events(self.terms.line_bytes), Call(permit)
        begun = False
        try:
            with self._clock(limit) as clock, self._carried(call):
                await self._asked(call, clock, address, partial(_request, ask))
                await self._head(call, WRITING)
                first = await self._first(call, events)
                clock.unbounded(Mishap.CUT_IN_STREAM)
                watched = self.vigil.watch(self.silence, clock.cancel)
                begun = True
                try:
                    await hearing.begun()
                    await hearing.said(first)
                    await self._follow(call, events, watched, hearing)
                finally:
                    self.vigil.forget(watched)
        except Stopped as stop:
            told.broke(stop.mishap, stop.detail, begun)
        except Spoilt as fault:
            told.broke(Mishap.GARBLED, str(fault), begun)
        told.kept, told.read, told.made, told.arrived = events.kept, events.read, events.made, call.arrived
        return told

    async def release(self, address: Address, request: str, limit: int) -> Mishap | None:
        """Lets go of all that is held for a request, at whatever engine; None, or what came between."""
        call = Call()
        try:
            with self._clock(limit) as clock, self._carried(call):
                await self._asked(
                    call, clock, address, lambda left: worded("DELETE", f"/state/{request}", {"Host": HOST})
                )
                await self._head(call, LET_GO)
                await self._whole(call)
        except Stopped as stop:
            return stop.mishap
        return None

    async def _first(self, call: Call, events: Events) -> bytes:
        """The first whole events."""
        while not (come := events.feed(call.reply.take())):
            if call.reply.complete:
                raise Stopped(Mishap.GARBLED, "an answer without any event")
            await self._more(call, Mishap.CUT_IN_ANSWER)
        _sound(events)  # nothing has been passed on: another engine may still give the whole stream
        return come

    async def _follow(self, call: Call, events: Events, watched: Watched, hearing: Listener[bytes]) -> None:
        """Passes on all that follows, to the answer's last chunk."""
        reply = call.reply
        while not reply.complete:
            watched.since = self.now()
            try:
                await self._more(call, Mishap.CUT_IN_STREAM)
            except Stopped:
                # What came whole ahead of bytes that cannot be read is the client's.
                if come := events.feed(reply.take()):
                    await hearing.said(come)
                raise
            watched.since = 0
            if come := events.feed(reply.take()):
                await hearing.said(come)
            _sound(events)
        events.ended()


def _sound(events: Events) -> None:
    if events.fault is not None:
        raise events.fault


def _request(ask: Ask, left: int) -> bytes:
    """The client's request as it goes on: method, target, body and id unchanged."""
    return worded(
        "POST",
        ask.target,
        {
            "Host": HOST,
            "Content-Type": "application/json",
            "Req-Id": ask.id,
            "Req-Deadline": f"{max(1, left) * 1000 // TENTHS}u",
        },
        ask.body,
    )
