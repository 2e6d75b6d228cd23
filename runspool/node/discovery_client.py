"""Following the platform's list: the whole list, then a watch on one connection; again after a break."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec
import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.discovery.watch_listener import WatchListener
from runspool.engines.connection_pool import Address, ClientSettings
from runspool.engines.failure_classification import ExchangeAbortedError, FailureCause
from runspool.engines.http_exchange import Exchange, HttpExchangeClient, encode_request
from runspool.engines.response_parser import ResponseParser
from runspool.node.endpoint_list import InvalidEndpointListError, read_list, target
from runspool.units import TENTHS, tenths
from runspool.wire.endpoint_list import EndpointEntry

# What a silent watch misses counts as told 6 s after it fell silent, or later; what an agent gets at its
# return counts at once, and what it was asked before that it never answers. So silence is to be known within
# the seconds that an outage lasts, and from then on asked into again and again.
WAIT_MS = 1_000  # that a watch may last
GRACE_MS = 400  # beyond it, and for a whole list, before the agent counts as silent; anew with each piece
RETRY = 0.1  # seconds between the beginnings of two tries; the first after a break comes at once
LONGEST_MS = 3_000  # that an answer may take piece by piece, before what it says is too old
SLOW_RETRY_MS = 1_000  # between two tries while an answer is coming: each makes the others slower


class DiscoveryClient(HttpExchangeClient):
    """Feeds `changed` with entries as they become known, and `lost` once for each break."""

    def __init__(
        self,
        terms: ClientSettings,
        address: Address,
        following: EndpointTracker,
        now: Callable[[], int],
        changed: Callable[[list[EndpointEntry]], None],
        lost: Callable[[], None],
    ) -> None:
        super().__init__(terms, now, 0)
        self.address = address
        self.hearer = WatchListener(following, now, changed, lost)
        self.log = structlog.get_logger()
        self.lists = 0  # whole ones, each the start of a count of its own
        self.scope: anyio.CancelScope | None = None
        self.began = 0  # the watch or the tries that are under way
        self.heard = anyio.Event()  # a first whole list
        self.progressed = 0  # when a piece of an answer came last

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        return FailureCause.SERVER_ERROR, ""

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
                self.began = self.now()
                try:
                    await self._watch(self.address)
                except (ExchangeAbortedError, InvalidEndpointListError) as fault:
                    self.hearer.connection_lost(fault)
                self.pool.close()
                self.hearer.lost()
                # No rest after what has stood for a while: a drain may be told meanwhile, and its grace run.
                await anyio.sleep(max(0.0, RETRY - (self.now() - self.began) / (1000 * TENTHS)))

    async def _watch(self, address: Address) -> None:
        # A new connection may count anew, so it begins with the whole list.
        after = self._heard(await self._whole_list(address), None)
        while True:
            after = self._heard(await self._get(address, after), after)

    async def _whole_list(self, address: Address) -> bytes:
        """By one try beside the other, for as long as none is answered."""
        told: list[bytes] = []

        async def ask() -> None:
            try:
                told.append(await self._get(address, None))
            except ExchangeAbortedError as fault:
                self.hearer.connection_lost(fault)
            else:
                tries.cancel_scope.cancel()

        async with anyio.create_task_group() as tries:
            while True:
                tries.start_soon(ask)
                await self._until_next_try(self.now())
        return told[0]

    async def _until_next_try(self, began: int) -> None:
        """For a while, and for longer as long as an answer is coming."""
        while True:
            await anyio.sleep(RETRY)
            coming = self.progressed >= began and self.now() - self.progressed < tenths(GRACE_MS)
            if not coming or self.now() - began >= tenths(SLOW_RETRY_MS):
                return

    def _heard(self, raw: bytes, since: int | None) -> int:
        """Takes an answer; the version to ask after next."""
        # A service that lost its numbers begins at a low one. Answers on one connection come in order, so
        # that a whole list is always the newest word, whatever its number.
        news, faults = read_list(raw, since)
        if since is None and not news.whole:
            raise InvalidEndpointListError("changes in place of the whole list")
        self.lists += news.whole
        for fault in faults[:3]:
            self.log.warning("endpoint_list_line_unusable", fault=fault)
        self.hearer.receive(msgspec.structs.replace(news, epoch=str(self.lists)))
        self.heard.set()
        return news.version

    async def _get(self, address: Address, after: int | None) -> bytes:
        limit = tenths((WAIT_MS if after is not None else 0) + GRACE_MS)
        call = Exchange()
        with self._start_timer(limit) as clock, self._managed_connection(call):
            words = encode_request("GET", target(after, WAIT_MS), {"Host": f"{address[0]}:{address[1]}"})
            await self._send_request(call, clock, address, lambda left: words)
            with anyio.move_on_after(LONGEST_MS / 1000 if after is None else (WAIT_MS + LONGEST_MS) / 1000):
                await self._read_head(call)
                return await self._read_body(call)
        raise ExchangeAbortedError(FailureCause.TIMED_OUT_BEFORE_RESPONSE, "an answer that does not end")

    async def _read_more(self, call: Exchange, cut: FailureCause) -> None:
        await super()._read_more(call, cut)
        self.progressed = self.now()
        call.timer.extend(tenths(GRACE_MS))
