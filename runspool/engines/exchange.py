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

Barred = Callable[[], bool]
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


def never() -> bool:
    return False


def worded(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A whole request; names and values are checked where they came in."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode("latin-1") + body


class Exchanges:
    """Carries out exchanges on pooled connections."""

    def __init__(self, terms: Speaking, now: Callable[[], int], silence_ms: float, most: int = 0,
                 rest_ms: float = 0) -> None:
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

    async def _asked(self, held: list[Link], clock: Clock, address: Address, request: bytes,
                     barred: Barred) -> Link:
        """A link on which the request has been sent whole, put into `held` as soon as it stands."""
        try:
            link = await self.pool.take(address)
        except Full as fault:
            raise Stopped(Mishap.OWN_CAP, str(fault)) from None
        except (OSError, TimeoutError) as fault:
            raise Stopped(Mishap.REFUSED, str(fault) or type(fault).__name__) from None
        held.append(link)
        clock.mishap = Mishap.SILENT_BEFORE_LAST_BYTE
        await self._send(link, request, barred)
        clock.mishap = Mishap.SILENT_AFTER_LAST_BYTE
        return link

    async def _send(self, link: Link, request: bytes, barred: Barred) -> None:
        try:
            # The last byte is held back: until it goes the engine cannot have begun, so a connection
            # that broke while idle costs no doubt about what ran.
            await link.line.send(request[:-1])
            # A connection that its engine gave up without a word is reset by the first bytes to reach it,
            # which takes a round trip to be seen: sooner the last byte would go, and with it all certainty.
            # And an answer too many may come some milliseconds after the one before, and would be taken for
            # this request's.
            if link.idle_since:
                look = max(min(link.round_trip, LONGEST_LOOK), self.pool.rest - self.now() + link.idle_since)
                await link.line.silent_for(look / (1000 * TENTHS))
            if link.spoke():
                raise Stopped(Mishap.CUT_BEFORE_LAST_BYTE, "closed or answered before it had the request")
            if barred():
                raise Stopped(Mishap.BARRED, "taken off the list before it had the request")
        except Gone as fault:
            raise Stopped(Mishap.CUT_BEFORE_LAST_BYTE, str(fault)) from None
        try:
            await link.line.send(request[-1:])
        except Gone as fault:
            raise Stopped(Mishap.CUT_AFTER_LAST_BYTE, str(fault)) from None

    async def _head(self, link: Link, wanted: int = 200) -> Reply:
        """The head of an answer of the wanted status; any other status ends the exchange."""
        reply = link.reply
        while not reply.head_done:
            await self._more(link, Mishap.CUT_AFTER_LAST_BYTE)
        if reply.status == wanted:
            return reply
        body = b""
        # The status alone has said what it promises: a body that breaks or never ends changes nothing.
        with suppress(Stopped), anyio.move_on_after(self.terms.connect_ms / 1000):
            body = await self._whole(link)
        mishap, detail = self.said_no(reply, body)
        raise Stopped(mishap, f"status {reply.status} {detail}".strip())

    async def _whole(self, link: Link) -> bytes:
        body = bytearray(link.reply.take())
        while not link.reply.complete:
            await self._more(link, Mishap.CUT_IN_ANSWER)
            body += link.reply.take()
            if len(body) > self.terms.read_answer_bytes:
                raise Stopped(Mishap.GARBLED, f"an answer of over {self.terms.read_answer_bytes} bytes")
        return bytes(body)

    async def _more(self, link: Link, cut: Mishap) -> None:
        """Reads what comes next; `cut` is what a connection lost here means."""
        try:
            link.reply.feed(await link.line.receive())
        except BadReply as fault:
            raise Stopped(Mishap.GARBLED, str(fault)) from None
        except Gone as fault:
            raise Stopped(cut, str(fault) or "closed") from None


class Clock:
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
