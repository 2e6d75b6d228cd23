"""Following the platform's endpoint list by calls to its agent, of which several may be out at once."""

from __future__ import annotations

from collections import Counter
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
from runspool.errors import RunspoolError
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.discovery_call_log import CallEnd, DiscoveryCallLog
from runspool.node.discovery_call_planner import DiscoveryCallPlanner, DiscoveryState
from runspool.node.endpoint_list import InvalidEndpointListError, decode_endpoint_list, request_target
from runspool.units import TENTHS, UNITS_PER_SECOND
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

# A peer that is gone without a word is never heard of again; a call to it need not stay out for ever.
MAX_CALL_DURATION = 36_000_000  # tenths of a millisecond
MAX_LOGGED_FAULTS = 3  # unusable endpoints logged for each response


class WatchOverdueError(RunspoolError):
    """The answer to a watch has not come in the time that answers took before."""


class _DiscoveryExchange(Exchange):
    """The exchange that carries out a call."""

    __slots__ = ("call",)

    def __init__(self, call: DiscoveryCall) -> None:
        super().__init__()
        self.call = call


class DiscoveryClient(HttpExchangeClient):
    """Follows the endpoint list of the platform's discovery agent.

    Calls `on_changed` with the entries that changed as they become known, and `on_lost` once for each
    interruption.

    Attributes:
        planner: says when calls are made, and what their answers are worth.
        snapshot_received: set once a first whole list has been applied.
        snapshot_count: whole lists applied; each starts a count of versions of its own.
    """

    def __init__(
        self,
        settings: ClientSettings,
        planner: DiscoveryCallPlanner,
        tracker: EndpointTracker,
        now: Callable[[], int],
        on_changed: Callable[[list[EndpointEntry]], None],
        on_lost: Callable[[], None],
        counts: Counter[str],
    ) -> None:
        """`counts` counts the calls by how they ended."""
        super().__init__(settings, now, 0)
        self.planner = planner
        self.listener = WatchListener(tracker, now, on_changed, on_lost)
        self.log = structlog.get_logger()
        self.call_log = DiscoveryCallLog(tracker, counts)
        self.snapshot_count = 0
        self.snapshot_received = anyio.Event()
        self._state = DiscoveryState.SEARCHING
        self._scopes: dict[int, anyio.CancelScope] = {}  # of the calls that are out, by their numbers
        self._replan = anyio.Event()  # set when the time of the next call may have changed

    def classify_response(self, reply: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Every response that is not a success counts as a server error."""
        return FailureCause.SERVER_ERROR, ""

    def change_address(self, address: Address) -> None:
        """Follows the list at another address from now on."""
        if address == self.planner.address:
            return
        self._cancel(self.planner.change_address(address), CallEnd.SUPERSEDED)
        self._replan.set()

    async def follow(self) -> None:
        """Runs until cancelled; whatever the agent does, what is known of the list stays."""
        self.planner.restart()
        try:
            async with anyio.create_task_group() as calls:
                while True:
                    await self._wait_for_next_call()
                    planned = self.planner.make_call(self.now())
                    if planned.given_up is not None:
                        self._cancel([planned.given_up], CallEnd.GIVEN_UP)
                    scope = self._scopes[planned.call.number] = anyio.CancelScope()
                    calls.start_soon(self._carry_out, planned.call, scope)
                    self._state_may_have_changed()
        finally:
            self.planner.restart()
            self._scopes.clear()
            self.pool.close()

    async def _wait_for_next_call(self) -> None:
        while (due := self.planner.next_call_at(self.now()) - self.now()) > 0:
            self._replan = anyio.Event()
            with anyio.move_on_after(due / UNITS_PER_SECOND):
                await self._replan.wait()

    def _plan_changed(self) -> None:
        self._state_may_have_changed()
        self._replan.set()

    def _state_may_have_changed(self) -> None:
        """Reports a loss of the watch once, and logs each change of the state."""
        now = self.now()
        state = self.planner.state(now)
        former, self._state = self._state, state
        if state is former:
            return
        self.call_log.state_changed(former, state, now, self.planner)
        if former is DiscoveryState.WATCHING:
            self.listener.on_lost()
        if state is DiscoveryState.SUSPECT:
            self.listener.connection_lost(WatchOverdueError("the watch is overdue"))
            if self.planner.watch is not None:
                self.call_log.watch_overdue(self.planner.watch, now, self.planner)

    async def _carry_out(self, call: DiscoveryCall, scope: anyio.CancelScope) -> None:
        """Makes one call and takes in its answer; cancelled through `scope`, it leaves no trace."""
        with scope:
            try:
                self._take_in(call, await self._exchange(call))
            except (ExchangeAbortedError, InvalidEndpointListError) as fault:
                given_up = self.planner.failed(call, self.now())
                self.listener.connection_lost(fault)
                self.call_log.ended(call, CallEnd.FAILED, self.now(), self.planner, str(fault))
                if given_up is not None:
                    self._cancel([given_up], CallEnd.GIVEN_UP)
        self._scopes.pop(call.number, None)
        self._plan_changed()

    def _cancel(self, calls: list[DiscoveryCall], end: CallEnd) -> None:
        for call in calls:
            self._scopes.pop(call.number, anyio.CancelScope()).cancel()
            self.call_log.ended(call, end, self.now(), self.planner)

    def _take_in(self, call: DiscoveryCall, body: bytes) -> None:
        """Applies the answer to a call, unless a later one has brought as much.

        Raises:
            InvalidEndpointListError: the body is no list, or not one that answers the call.
        """
        message, faults = decode_endpoint_list(body, call.after_version)
        _check_answer(call, message)
        answer = self.planner.answered(call, message.version, self.now())
        self._cancel(answer.superseded, CallEnd.SUPERSEDED)
        # The next watch goes out ahead of any work that the changes cause.
        self._replan.set()
        for fault in faults[:MAX_LOGGED_FAULTS]:
            self.log.warning("endpoint_list_line_unusable", fault=fault)
        if answer.is_usable:
            self._apply(message)
        self.call_log.ended(call, CallEnd.ANSWERED, self.now(), self.planner)

    def _apply(self, message: EndpointListMessage) -> None:
        """Applies a message; a whole list starts an epoch of its own, as the versions may begin anew."""
        self.snapshot_count += message.is_snapshot
        self.listener.receive(msgspec.structs.replace(message, epoch=str(self.snapshot_count)))
        self.snapshot_received.set()

    async def _exchange(self, call: DiscoveryCall) -> bytes:
        """Carries out one call and returns the response's body.

        Raises:
            ExchangeAbortedError: there is no successful response.
        """
        exchange = _DiscoveryExchange(call)
        host, port = call.address
        target = request_target(call.after_version, call.wait // TENTHS)
        request = encode_request("GET", target, {"Host": f"{host}:{port}"})
        with self._start_timer(MAX_CALL_DURATION) as timer, self._managed_connection(exchange):
            await self._send_request(
                exchange,
                timer,
                call.address,
                lambda _remaining: request,
                connect_ms=MAX_CALL_DURATION / TENTHS,
            )
            call.local_port = exchange.connection.tcp.local_port
            call.position = exchange.connection.exchanges_begun
            await self._read_head(exchange)
            return await self._read_body(exchange)
        raise ExchangeAbortedError(FailureCause.CANCELLED)

    async def _read_more(self, exchange: Exchange, cut: FailureCause) -> None:
        await super()._read_more(exchange, cut)
        if isinstance(exchange, _DiscoveryExchange):
            exchange.call.received_bytes(self.now())
            self._plan_changed()


def _check_answer(call: DiscoveryCall, message: EndpointListMessage) -> None:
    """Raises InvalidEndpointListError where a message cannot be what was requested."""
    if message.is_snapshot:
        return
    if call.after_version is None:
        raise InvalidEndpointListError("changes in place of the whole list")
    if message.version < call.after_version:
        raise InvalidEndpointListError(
            f"changes up to version {message.version}, before {call.after_version}: versions began anew"
        )
