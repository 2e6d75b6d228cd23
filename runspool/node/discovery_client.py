"""Follows the platform's endpoint list by concurrent calls to its discovery agent."""

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
from runspool.limits.connection_resources import ConnectionResources
from runspool.limits.peer_limits import PeerLimitMonitor
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.discovery_call_log import CallOutcome, DiscoveryCallLog
from runspool.node.discovery_call_planner import DiscoveryCallPlanner, DiscoveryState
from runspool.node.endpoint_list import InvalidEndpointListError, decode_endpoint_list, request_target
from runspool.units import TENTHS_PER_MS, TENTHS_PER_SECOND
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

# Timeout of a call to the discovery agent, in tenths of a millisecond: one hour. It only ends calls to a peer
# that has disappeared without closing the connection; a slow agent may still respond after minutes.
MAX_CALL_DURATION = 36_000_000
MAX_LOGGED_PROBLEMS = 3  # maximum number of invalid endpoints that are logged for each response


class WatchOverdueError(RunspoolError):
    """The response to a watch has not come within the time that is expected from earlier responses."""


class _DiscoveryExchange(Exchange):
    """The HTTP exchange of a call to the discovery agent."""

    __slots__ = ("call",)

    def __init__(self, call: DiscoveryCall) -> None:
        super().__init__()
        self.call = call


class DiscoveryClient(HttpExchangeClient):
    """Follows the endpoint list of the platform's discovery agent.

    The planner decides when calls are made; this class makes them and applies their responses.

    Attributes:
        planner: Decides when calls are made and which responses are applied.
        listener: Applies the received messages to the endpoint tracker.
        snapshot_received: Set after the first whole list has been applied.
        snapshot_count: The number of whole lists applied; each one starts a new epoch of version numbers.
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
        """Create a client that has made no calls.

        Args:
            settings: The limits and timeouts of connections to the agent.
            planner: Plans the calls.
            tracker: Holds the endpoint list.
            now: Returns the current time in tenths of a millisecond.
            on_changed: Called with the changed entries whenever a response has changed the list.
            on_lost: Called once for each interruption of the watch.
            counts: Counts the calls by how they ended.
        """
        super().__init__(settings, now, 0, resources=ConnectionResources(PeerLimitMonitor(counts)))
        self.planner = planner
        self.listener = WatchListener(tracker, now, on_changed, on_lost)
        self.log = structlog.get_logger()
        self.call_log = DiscoveryCallLog(tracker, counts)
        self.snapshot_count = 0
        self.snapshot_received = anyio.Event()
        self._state = DiscoveryState.SEARCHING
        self._call_scopes: dict[int, anyio.CancelScope] = {}  # cancel the open calls, by call number
        self._open_exchanges: set[Exchange] = set()
        self._replan = anyio.Event()  # set when the time of the next call may have changed

    def classify_response(self, response: ResponseParser, body: bytes) -> tuple[FailureCause, str]:
        """Treat every response with an unexpected status as a server error."""
        return FailureCause.SERVER_ERROR, ""

    def change_address(self, address: Address) -> None:
        """Follow the endpoint list at another address from now on."""
        if address == self.planner.address:
            return
        self._cancel(self.planner.change_address(address), CallOutcome.SUPERSEDED)
        self._replan.set()

    async def follow(self) -> None:
        """Make calls until cancelled; the known endpoint list is kept through failures and cancellation."""
        self.planner.reset()
        try:
            async with anyio.create_task_group() as calls:
                while True:
                    await self._wait_for_next_call()
                    planned = self.planner.make_call(self.now())
                    if planned.call_to_cancel is not None:
                        self._cancel([planned.call_to_cancel], CallOutcome.GIVEN_UP)
                    scope = self._call_scopes[planned.call.number] = anyio.CancelScope()
                    calls.start_soon(self._run_call, planned.call, scope)
                    self._update_state()
        finally:
            self.planner.reset()
            self._call_scopes.clear()
            self.pool.close()

    async def _wait_for_next_call(self) -> None:
        while (due := self.planner.next_call_at(self.now()) - self.now()) > 0:
            self._replan = anyio.Event()
            with anyio.move_on_after(due / TENTHS_PER_SECOND):
                await self._replan.wait()

    def _plan_changed(self) -> None:
        self._update_state()
        self._replan.set()

    def _update_state(self) -> None:
        """Log a change of the discovery state, and report the loss of the watch once per interruption."""
        now = self.now()
        state = self.planner.state(now)
        former, self._state = self._state, state
        if state is former:
            return
        self.call_log.log_state_change(former, state, now, self.planner)
        if former is DiscoveryState.WATCHING:
            self.listener.on_lost()
        if state is DiscoveryState.SUSPECT:
            self.listener.connection_lost(WatchOverdueError("the watch is overdue"))
            if self.planner.watch is not None:
                self.call_log.log_overdue_watch(self.planner.watch, now, self.planner)

    async def _run_call(self, call: DiscoveryCall, scope: anyio.CancelScope) -> None:
        """Make one call and process its response; cancelling `scope` ends it without a reported result."""
        with scope:
            try:
                self._process_response(call, await self._exchange(call))
            except (ExchangeAbortedError, InvalidEndpointListError) as error:
                given_up = self.planner.record_failure(call, self.now())
                self.listener.connection_lost(error)
                self.call_log.log_end(call, CallOutcome.FAILED, self.now(), self.planner, str(error))
                if given_up is not None:
                    self._cancel([given_up], CallOutcome.GIVEN_UP)
        self._call_scopes.pop(call.number, None)
        self._plan_changed()

    def _cancel(self, calls: list[DiscoveryCall], outcome: CallOutcome) -> None:
        for call in calls:
            self._call_scopes.pop(call.number, anyio.CancelScope()).cancel()
            self.call_log.log_end(call, outcome, self.now(), self.planner)

    def _process_response(self, call: DiscoveryCall, body: bytes) -> None:
        """Apply the response to a call, unless the response to a later call was at least as recent.

        Raises:
            InvalidEndpointListError: The body is not an endpoint list, or it is not a response to this call.
        """
        message, problems = decode_endpoint_list(body, call.after_version)
        _check_matches_call(call, message)
        decision = self.planner.record_response(call, message.version, self.now())
        self._cancel(decision.superseded, CallOutcome.SUPERSEDED)
        # Wake the task that makes calls first, so that the next watch is not delayed by work on the changes.
        self._replan.set()
        for problem in problems[:MAX_LOGGED_PROBLEMS]:
            self.log.warning("endpoint_list_line_unusable", fault=problem)
        if decision.is_usable:
            self._apply(message)
        self.call_log.log_end(call, CallOutcome.ANSWERED, self.now(), self.planner)

    def _apply(self, message: EndpointListMessage) -> None:
        """Apply a message; a whole list starts a new epoch, because the versions may have restarted."""
        self.snapshot_count += message.is_snapshot
        self.listener.receive(msgspec.structs.replace(message, epoch=str(self.snapshot_count)))
        self.snapshot_received.set()

    async def _exchange(self, call: DiscoveryCall) -> bytes:
        """Carry out the HTTP exchange of a call and return the body of the response.

        Raises:
            ExchangeAbortedError: There was no successful response.
        """
        exchange = _DiscoveryExchange(call)
        self._open_exchanges.add(exchange)
        try:
            return await self._run_exchange(exchange, call)
        finally:
            self._open_exchanges.discard(exchange)

    def _max_body_bytes(self, exchange: Exchange) -> int:
        """Return what the bodies of the other open calls leave of the limit for all of them."""
        others = sum(other.body_bytes for other in self._open_exchanges if other is not exchange)
        return self.settings.read_answer_bytes - others

    async def _run_exchange(self, exchange: Exchange, call: DiscoveryCall) -> bytes:
        host, port = call.address
        target = request_target(call.after_version, call.wait // TENTHS_PER_MS)
        request = encode_request("GET", target, {"Host": f"{host}:{port}"})
        with self._start_timer(MAX_CALL_DURATION) as timer, self._managed_connection(exchange):
            await self._send_request(
                exchange,
                timer,
                call.address,
                lambda _remaining: request,
                connect_ms=MAX_CALL_DURATION / TENTHS_PER_MS,
            )
            call.local_port = exchange.connection.tcp.local_port
            call.position_on_connection = exchange.connection.exchange_count
            await self._read_head(exchange)
            return await self._read_body(exchange)
        raise ExchangeAbortedError(FailureCause.CANCELLED)

    async def _read_more(self, exchange: Exchange, cause_if_closed: FailureCause) -> None:
        await super()._read_more(exchange, cause_if_closed)
        if isinstance(exchange, _DiscoveryExchange):
            exchange.call.record_received_bytes(self.now())
            self._plan_changed()


def _check_matches_call(call: DiscoveryCall, message: EndpointListMessage) -> None:
    """Check that a message can be the response to a call.

    Raises:
        InvalidEndpointListError: The message contains changes although the whole list was requested, or its
            version is lower than the one after which changes were requested.
    """
    if message.is_snapshot:
        return
    if call.after_version is None:
        raise InvalidEndpointListError("the response contains changes instead of the whole list")
    if message.version < call.after_version:
        raise InvalidEndpointListError(
            f"the response contains changes up to version {message.version}, but changes after version "
            f"{call.after_version} were requested: the agent has restarted its version numbers"
        )
