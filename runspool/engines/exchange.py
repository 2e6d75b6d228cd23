"""One request on a pooled connection: sent, its answer read, its time kept. Knows no protocol's words."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import anyio

from runspool.decisions.interface import Ending, Report
from runspool.engines.connections import Address, Full, Link, Pool, Speaking
from runspool.engines.endings import ENDINGS, Mishap
from runspool.engines.replies import BadReply, Reply
from runspool.engines.vigil import Vigil
from runspool.sockets.lines import Gone
from runspool.units import TENTHS, tenths

LONGEST_LOOK = 50  # tenths of a millisecond: a connect may have been slow for other reasons

Worded = Callable[[int], bytes]  # a request's bytes, from the tenths of a millisecond that are left for it
Piece = TypeVar("Piece", contravariant=True)


class Listener(Protocol[Piece]):
    """Hears a streamed answer while it comes, in the protocol's own pieces."""

    async def begun(self) -> None: ...
    async def said(self, piece: Piece, /) -> None: ...


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
    arrived: bool = False  # the engine has said something: it had the request, or its head at least
    state: Any = None  # what names the state that waits, in the protocol's own form
    report: Report | None = None

    def broke(self, mishap: Mishap, detail: str, begun: bool) -> None:
        """Whatever breaks an answer once its client has seen some of it is a stream cut."""
        self.mishap, self.detail = Mishap.CUT_IN_STREAM if begun else mishap, detail
        self.ending = ENDINGS[self.mishap]


class Stopped(Exception):
    """An exchange that ended early, and what was seen."""

    def __init__(self, mishap: Mishap, detail: str = "") -> None:
        super().__init__(detail)
        self.mishap, self.detail = mishap, detail


class Permit(Protocol):
    """Says whether an exchange may go on, and hears how far it has come."""

    def refuses_last_byte(self, worded: int) -> str | None:
        """Why the last byte may not go now; None where it may. `worded`: when the request was worded."""

    def written(self) -> None:
        """The kernel has all of it, which says nothing of the engine."""

    def arrived(self) -> None:
        """The engine has said something."""


class Free:
    """Permits everything and hears nothing."""

    def refuses_last_byte(self, worded: int) -> str | None:
        return None

    def written(self) -> None:
        return

    def arrived(self) -> None:
        return


FREE = Free()


class Call:
    """One exchange: its link, once it stands, and how far it has come."""

    __slots__ = ("arrived", "clock", "link", "permit")

    def __init__(self, permit: Permit = FREE) -> None:
        self.permit = permit
        self.link: Link
        self.clock: Clock
        self.arrived = False

    @property
    def reply(self) -> Reply:
        return self.link.reply


def worded(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A whole request; names and values are checked where they came in."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode("latin-1") + body


class Exchanges:
    """Carries out exchanges on pooled connections."""

    def __init__(
        self, terms: Speaking, now: Callable[[], int], silence_ms: float, most: int = 0, rest_ms: float = 0
    ) -> None:
        """`most` bounds the connections to all peers together, 0 sets no bound; `rest_ms` is how long after
        an exchange its peer may still say what belongs to it."""
        self.terms = terms
        self.now = now
        self.silence = tenths(silence_ms)
        self.vigil = Vigil(now)
        self.pool = Pool(terms, now, most, tenths(rest_ms))

    def said_no(self, reply: Reply, body: bytes) -> tuple[Mishap, str]:
        """What an answer of another status than the wanted one means, and a detail for the log."""
        raise NotImplementedError

    def _clock(self, limit: int) -> Clock:
        if limit <= 0:
            raise Stopped(Mishap.NO_TIME)
        return Clock(limit)

    @contextmanager
    def _carried(self, call: Call) -> Iterator[None]:
        """At the end gives the call's link back or drops it, if it has one."""
        try:
            yield
        finally:
            link = getattr(call, "link", None)
            if link is not None and link.reply.complete:
                self.pool.give_back(link)
            elif link is not None:
                self.pool.drop(link)

    async def _asked(self, call: Call, clock: Clock, address: Address, words: Worded) -> None:
        """Gives the call a link on which the request has been sent whole."""
        try:
            call.link = await self.pool.take(address)
        except Full as fault:
            raise Stopped(Mishap.OWN_CAP, str(fault)) from None
        except Exception as fault:  # whatever the loop raises, nothing has been sent
            raise Stopped(Mishap.REFUSED, str(fault) or type(fault).__name__) from None
        call.clock = clock
        clock.mishap = Mishap.SILENT_BEFORE_LAST_BYTE
        await self._send(call, clock, words)
        clock.mishap = Mishap.SILENT_AFTER_LAST_BYTE

    async def _send(self, call: Call, clock: Clock, words: Worded) -> None:
        link, worded = call.link, self.now()
        look = self._look(link)
        # In words only now: what is left has shrunk while the connection came up.
        request = words(max(1, clock.left() - look))
        try:
            # The last byte is held back: until it goes the engine cannot have begun, so a connection
            # that broke while idle costs no doubt about what ran.
            await link.line.send(request[:-1])
            if look:
                await link.line.silent_for(look / (1000 * TENTHS))
            if link.spoke():
                raise Stopped(Mishap.CUT_BEFORE_LAST_BYTE, "closed or answered before it had the request")
        except Gone as fault:
            raise Stopped(Mishap.CUT_BEFORE_LAST_BYTE, str(fault)) from None
        reason = call.permit.refuses_last_byte(worded)
        if reason is not None:
            raise Stopped(Mishap.BARRED, reason)
        try:
            await link.line.send(request[-1:])
        except Gone as fault:
            raise Stopped(Mishap.CUT_AFTER_LAST_BYTE, str(fault)) from None
        call.permit.written()

    def _look(self, link: Link) -> int:
        """How long the link is looked at before the last byte goes, in tenths of a millisecond.

        A connection that its engine gave up without a word is reset by the first bytes to reach it, which
        takes a round trip to be seen: sooner the last byte would go, and with it all certainty. And an answer
        too many may come some milliseconds after the one before, and would be taken for this request's.
        """
        if not link.idle_since:
            return 0
        return max(min(link.round_trip, LONGEST_LOOK), self.pool.rest - self.now() + link.idle_since)

    async def _head(self, call: Call, wanted: int = 200) -> Reply:
        """The head of an answer of the wanted status; any other status ends the exchange."""
        reply = call.reply
        while not reply.head_done:
            await self._more(call, Mishap.CUT_AFTER_LAST_BYTE)
        if reply.status == wanted:
            return reply
        body = b""
        # The status alone has said what it promises: a body that breaks or never ends changes nothing.
        with suppress(Stopped), anyio.move_on_after(self.terms.connect_ms / 1000):
            body = await self._whole(call)
        mishap, detail = self.said_no(reply, body)
        raise Stopped(mishap, f"status {reply.status} {detail}".strip())

    async def _whole(self, call: Call) -> bytes:
        body = bytearray(call.reply.take())
        while not call.reply.complete:
            await self._more(call, Mishap.CUT_IN_ANSWER)
            body += call.reply.take()
            if len(body) > self.terms.read_answer_bytes:
                raise Stopped(Mishap.GARBLED, f"an answer of over {self.terms.read_answer_bytes} bytes")
        return bytes(body)

    async def _more(self, call: Call, cut: Mishap) -> None:
        """Reads what comes next; `cut` is what a connection lost here means."""
        try:
            come = await call.link.line.receive()
        except Gone as fault:
            raise Stopped(cut, str(fault) or "closed") from None
        if not call.arrived:
            call.arrived = True
            call.permit.arrived()
        try:
            call.reply.feed(come)
        except BadReply as fault:
            raise Stopped(Mishap.GARBLED, str(fault)) from None


class Clock:
    """A shot's time; `mishap` is what its running out means at the point which the shot has come to."""

    __slots__ = ("mishap", "scope")

    def __init__(self, limit: int) -> None:
        self.scope = anyio.CancelScope(deadline=anyio.current_time() + limit / (1000 * TENTHS))
        self.mishap = Mishap.REFUSED

    def unbounded(self, mishap: Mishap) -> None:
        """From here on only cancel() ends the shot."""
        self.mishap, self.scope.deadline = mishap, math.inf

    def extend(self, time: int) -> None:
        """Puts it off until so many tenths of a millisecond from now, if that is later."""
        self.scope.deadline = max(self.scope.deadline, anyio.current_time() + time / (1000 * TENTHS))

    def left(self) -> int:
        """Tenths of a millisecond until it runs out."""
        return int((self.scope.deadline - anyio.current_time()) * 1000 * TENTHS)

    def cancel(self) -> None:
        self.scope.cancel()

    def __enter__(self) -> Clock:
        self.scope.__enter__()
        return self

    def __exit__(self, *exc: object) -> bool:
        swallowed = self.scope.__exit__(*exc)  # type: ignore[arg-type]
        if self.scope.cancelled_caught:
            raise Stopped(self.mishap, "time ran out")
        return bool(swallowed)


def limit_of(cap: int, left: int) -> int:
    """A shot's time: its cap, 0 for none, cut to what the client leaves; both in tenths of a millisecond."""
    return min(cap, left) if cap else left
