"""Following the platform's list: the whole list, then a watch on one connection; again after a break."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec
import structlog

from runspool.engines.endings import Mishap
from runspool.engines.connections import Address, Speaking
from runspool.engines.exchange import Exchanges, Stopped, never, worded
from runspool.engines.replies import Reply
from runspool.node.members import BadList, read_list, target
from runspool.roster.following import Following
from runspool.roster.hearing import Hearer
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
        self.hearer = Hearer(following, now, changed, lost)
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
        while True:
            with anyio.CancelScope() as self.scope:
                try:
                    await self._watch(self.address)
                except (Stopped, BadList) as fault:
                    self.hearer.broke(fault)
                self.pool.close()
                self.hearer.lost()
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
        news, faults = read_list(raw, since)
        self.lists += news.whole
        for fault in faults[:3]:
            self.log.warning("list_line_unusable", fault=fault)
        self.hearer.hear(msgspec.structs.replace(news, epoch=str(self.lists)))
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


