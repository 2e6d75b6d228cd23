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
from runspool.node.discovery_call import CallEnd, DiscoveryCall, DiscoveryCallLog
from runspool.node.endpoint_list import InvalidEndpointListError, decode_endpoint_list, request_target
from runspool.units import TENTHS, UNITS_PER_SECOND, tenths
from runspool.wire.endpoint_list import EndpointEntry

# What a silent watch misses counts as announced 6 s after the silence began, or later; what an agent sends
# after its return counts at once, and what it was asked before it may never answer. So silence has to be
# noticed within the seconds that an outage lasts, and from then on new requests have to be repeated.
WATCH_WAIT_MS = 1_000  # that the agent may hold a watch request open
# Beyond that, and for a whole list, until the agent counts as silent; restarted by each piece of a response.
SILENCE_TIMEOUT_MS = 400
RETRY_INTERVAL_S = 0.1  # between the starts of two attempts; the first after an interruption starts at once
MAX_RESPONSE_MS = 3_000  # that a response may take piece by piece; what it says would be too old
SLOW_RETRY_MS = 1_000  # between two attempts while a response is arriving: each makes the others slower
MAX_LOGGED_FAULTS = 3  # unusable endpoints logged for each response
MS_PER_SECOND = 1_000


class _DiscoveryExchange(Exchange):
    """The exchange of a call."""

    __slots__ = ("call",)

    def __init__(self, call: DiscoveryCall) -> None:
        super().__init__()
        self.call = call


class DiscoveryClient(HttpExchangeClient):
    """Follows the endpoint list of the platform's discovery agent.

    Calls `on_changed` with the entries that changed as they become known, and `on_lost` once for each
    interruption.

    Attributes:
        address: the agent's address.
        snapshot_received: set once a first whole list has been applied.
        snapshot_count: whole lists received; each starts a count of versions of its own.
        round_started_at: when the current watch or its first attempt started, tenths of a millisecond.
        last_progress_at: when a piece of a response arrived last, tenths of a millisecond.
    """

    def __init__(
        self,
        settings: ClientSettings,
        address: Address,
        tracker: EndpointTracker,
        now: Callable[[], int],
        on_changed: Callable[[list[EndpointEntry]], None],
        on_lost: Callable[[], None],
    ) -> None:
        super().__init__(settings, now, 0)
        self.address = address
        self.listener = WatchListener(tracker, now, on_changed, on_lost)
        self.log = structlog.get_logger()
        self.snapshot_count = 0
        self.scope: anyio.CancelScope | None = None
        self.round_started_at = 0
        self.snapshot_received = anyio.Event()
        self.last_progress_at = 0
        self.call_log = DiscoveryCallLog(tracker)
        self.calls_made = 0
        self.calls_out = 0

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Every response that is not a success counts as a server error."""
        return FailureCause.SERVER_ERROR, ""

    def change_address(self, address: Address) -> None:
        """Follows the list at another address from now on; the current watch is cancelled."""
        if address == self.address:
            return
        self.address = address
        if self.scope is not None:
            self.scope.cancel()

    async def follow(self) -> None:
        """Runs until cancelled; whatever the agent does, what is known of the list stays."""
        while True:
            with anyio.CancelScope() as self.scope:
                self.round_started_at = self.now()
                try:
                    await self._watch(self.address)
                except (ExchangeAbortedError, InvalidEndpointListError) as fault:
                    self.listener.connection_lost(fault)
                self.pool.close()
                self.listener.on_lost()
                # No pause after a watch that lasted: a drain may be announced, and its grace pass, meanwhile.
                elapsed = (self.now() - self.round_started_at) / UNITS_PER_SECOND
                await anyio.sleep(max(0.0, RETRY_INTERVAL_S - elapsed))

    async def _watch(self, address: Address) -> None:
        """Requests the whole list, as a new connection may count anew; then changes until a request fails."""
        version = self._apply_response(await self._get_snapshot(address), None)
        while True:
            version = self._apply_response(await self._get(address, version), version)

    async def _get_snapshot(self, address: Address) -> bytes:
        """Requests the whole list by concurrent attempts, another at each interval, until one is answered."""
        bodies: list[bytes] = []

        async def attempt() -> None:
            try:
                bodies.append(await self._get(address, None))
            except ExchangeAbortedError as fault:
                self.listener.connection_lost(fault)
            else:
                attempts.cancel_scope.cancel()

        async with anyio.create_task_group() as attempts:
            while True:
                attempts.start_soon(attempt)
                await self._wait_for_next_attempt(self.now())
        return bodies[0]

    async def _wait_for_next_attempt(self, started_at: int) -> None:
        """Waits for the retry interval, and up to `SLOW_RETRY_MS` for as long as a response is arriving."""
        while True:
            await anyio.sleep(RETRY_INTERVAL_S)
            now = self.now()
            is_arriving = self.last_progress_at >= started_at and now - self.last_progress_at < tenths(
                SILENCE_TIMEOUT_MS
            )
            if not is_arriving or now - started_at >= tenths(SLOW_RETRY_MS):
                return

    def _apply_response(self, body: bytes, since: int | None) -> int:
        """Applies a response.

        An agent that lost its version numbers restarts at a low one. Responses on one connection come in
        order, so a whole list is always the newest state, whatever its number: each starts an epoch of its
        own.

        Returns:
            The version after which to request changes next.

        Raises:
            InvalidEndpointListError: the body is no list, or holds changes where the whole list was
            requested.
        """
        message, faults = decode_endpoint_list(body, since)
        if since is None and not message.is_snapshot:
            raise InvalidEndpointListError("changes in place of the whole list")
        self.snapshot_count += message.is_snapshot
        for fault in faults[:MAX_LOGGED_FAULTS]:
            self.log.warning("endpoint_list_line_unusable", fault=fault)
        self.listener.receive(msgspec.structs.replace(message, epoch=str(self.snapshot_count)))
        self.snapshot_received.set()
        return message.version

    async def _get(self, address: Address, after_version: int | None) -> bytes:
        """Makes one request and returns the response's body.

        Raises:
            ExchangeAbortedError: there is no successful response, the agent fell silent, or the response took
                longer than `MAX_RESPONSE_MS`.
        """
        wait_ms = 0 if after_version is None else WATCH_WAIT_MS
        self.calls_made += 1
        call = DiscoveryCall(self.calls_made, address, after_version, tenths(wait_ms), self.now())
        self.calls_out += 1
        end, reason = CallEnd.SUPERSEDED, ""
        try:
            body = await self._exchange(call)
            end = CallEnd.ANSWERED
            return body
        except ExchangeAbortedError as fault:
            end, reason = CallEnd.FAILED, str(fault)
            raise
        finally:
            self.calls_out -= 1
            self.call_log.ended(call, end, self.now(), self.calls_out, reason)

    async def _exchange(self, call: DiscoveryCall) -> bytes:
        """Carries out one call; as in `_get`."""
        wait_ms, address, after_version = call.wait / TENTHS, call.address, call.after_version
        exchange = _DiscoveryExchange(call)
        timeout = tenths(wait_ms + SILENCE_TIMEOUT_MS)
        with self._start_timer(timeout) as timer, self._managed_connection(exchange):
            headers = {"Host": f"{address[0]}:{address[1]}"}
            request = encode_request("GET", request_target(after_version, WATCH_WAIT_MS), headers)
            await self._send_request(exchange, timer, address, lambda _remaining: request)
            with anyio.move_on_after((wait_ms + MAX_RESPONSE_MS) / MS_PER_SECOND):
                await self._read_head(exchange)
                return await self._read_body(exchange)
        raise ExchangeAbortedError(FailureCause.TIMED_OUT_BEFORE_RESPONSE, "an answer that does not end")

    async def _read_more(self, exchange: Exchange, cut: FailureCause) -> None:
        await super()._read_more(exchange, cut)
        self.last_progress_at = self.now()
        if isinstance(exchange, _DiscoveryExchange):
            exchange.call.received_bytes(self.now())
        exchange.timer.extend(tenths(SILENCE_TIMEOUT_MS))
