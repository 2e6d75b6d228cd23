"""Following the platform's list: the whole list, then a watch on one connection; again after a break."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog

from runspool.engines.endings import Mishap
from runspool.engines.exchange import Address, Exchanges, Speaking, Stopped, never, worded
from runspool.engines.replies import Reply
from runspool.node.members import BadList, read_list, target
from runspool.roster.following import Following
from runspool.units import tenths
from runspool.wire.listing import Entry

WAIT_MS = 4_000  # that a watch may last: its news count as told 2 s after that, whatever came between
GRACE_MS = 1_000  # beyond it, before the agent counts as silent
RETRY = 0.1  # seconds after a break


class Catalog(Exchanges):
    """Feeds `changed` with entries as they become known, and `lost` once for each break."""

    def __init__(self, terms: Speaking, address: Address, following: Following, now: Callable[[], int],
                 changed: Callable[[list[Entry]], None], lost: Callable[[], None]) -> None:
        super().__init__(terms, now, 0)
        self.address = address
        self.following = following
        self.changed = changed
        self.lost = lost
        self.log = structlog.get_logger()
        self.lists = 0  # whole ones, each the start of a count of its own
        self.scope: anyio.CancelScope | None = None

    def said_no(self, reply: Reply, body: bytes) -> tuple[Mishap, str]:
        return Mishap.FAILED, ""

    def move(self, address: Address) -> None:
        """The list is at another address from now on; asked there at once."""
        if address == self.address:
            return
        self.address = address
        if self.scope is not None:
            self.scope.cancel()

    async def follow(self) -> None:
        """Runs until cancelled; whatever the service does, the last list stays."""
        losses = 0
        while True:
            before = self.lists
            with anyio.CancelScope() as self.scope:
                try:
                    await self._watch(self.address)
                except (Stopped, BadList) as fault:
                    losses = 1 if self.lists != before else losses + 1
                    if losses.bit_count() == 1:  # the 1st, 2nd, 4th, 8th: a long loss must not fill the log
                        self.log.warning("list_lost", reason=str(fault) or type(fault).__name__,
                                         losses=losses, version=self.following.version)
                self.pool.close()
                self.lost()
                await anyio.sleep(RETRY)

    async def _watch(self, address: Address) -> None:
        after: int | None = None  # a new connection may count anew, so it begins with the whole list
        while True:
            raw = await self._get(address, after)
            after = self._heard(raw, after)

    def _heard(self, raw: bytes, since: int | None) -> int:
        """Takes an answer; the version to ask after next."""
        # A service that lost its numbers begins at a low one. Answers on one connection come in order, so
        # that a whole list is always the newest word, whatever its number.
        news, faults = read_list(raw, str(self.lists), since)
        if news.whole:
            self.lists += 1
            news = type(news)(news.version, str(self.lists), True, False, news.engines)
        for fault in faults[:3]:
            self.log.warning("list_line_unusable", fault=fault)
        changed = self.following.heard(self.now(), news)
        if changed:
            self.log.info("list_changed", version=news.version, whole=news.whole, count=len(changed),
                          engines={entry.engine: entry.state for entry in changed[:20]})
            self.changed(changed)
        return news.version

    async def _get(self, address: Address, after: int | None) -> bytes:
        limit = tenths((WAIT_MS if after is not None else 0) + GRACE_MS)
        with self._clock(limit) as clock, self._link() as held:
            host = f"{address[0]}:{address[1]}"
            call = worded("GET", target(after, WAIT_MS), {"Host": host})
            link = await self._asked(held, clock, address, call, never)
            await self._head(link)
            told = await self._whole(link)
        return told


