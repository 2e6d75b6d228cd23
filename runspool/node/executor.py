"""The front node's requests: accepts them, and carries out what its one scheduler decides."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.send_permit import SendPermit
from runspool.node.config import NodeConfig
from runspool.node.engine_client import EngineClient
from runspool.node.request_parser import ClientRequest
from runspool.node.state_releaser import PendingRelease, StateReleaser
from runspool.runtime.scheduler_driver import SHUTDOWN_TASK
from runspool.scheduling.request_lifecycle import PREFILL_MAY_HAVE_RUN, InvariantViolation
from runspool.scheduling.types import EngineState, Role
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now
from runspool.service.event_recorder import EventRecorder
from runspool.service.pending_request import Endpoint, PendingRequest, RequestNotAcceptedError
from runspool.service.request_executor import RequestExecutor
from runspool.service.response_relay import ResponseRelay
from runspool.units import UNITS_PER_SECOND, tenths
from runspool.wire.fields import InvalidRequestError

MAX_INTERNED_NAMES = 20_000  # of sessions and prefixes, before the one unseen for longest is forgotten
STREAM_SILENCE_MS = 4_000  # after a stream's last event; the platform has its client told within 5 s
QUIET_TIME_MS = 25  # after a response, in which the platform says that a second one may come
MAX_EVENT_BYTES = 65_536  # of one event, and of a prefill's response
RELEASE_WAIT_SECONDS = 0.05  # that a prefill waits for the release of what an earlier one left
DEFAULT_RELEASE_TIMEOUT_MS = 1_000  # where the settings set no timeout
CELL_NAME = "node"


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How a node connects to engines or to discovery; times in milliseconds, sizes in bytes."""

    connect_ms: float
    idle_ms: float
    connections_each: int
    idle_each: int
    read_answer_bytes: int = MAX_EVENT_BYTES
    line_bytes: int = MAX_EVENT_BYTES
    source_address: str | None = None


@dataclass(slots=True, kw_only=True)
class PendingNodeRequest(PendingRequest):
    """A client's request that this node owes a final response.

    `possible_prefill_endpoint`: where an attempt that was lost or given up may have left a state.
    """

    client_request: ClientRequest
    possible_prefill_endpoint: Endpoint | None = None


class NodeExecutor(RequestExecutor[PendingNodeRequest]):
    """Accepts a node's requests, runs their attempts and releases what engines reserve for them."""

    def __init__(self, config: NodeConfig, max_connections: int) -> None:
        """`max_connections` bounds those to all engines together."""
        settings = config.settings
        super().__init__(settings.routing, settings.engine_types, settings.zones, MAX_INTERNED_NAMES)
        self.platform_settings = settings
        # An engine closes idle connections: a request that crosses the close may count as executed.
        idle_ms = settings.idle_timeout / 10 * 0.75 or 10_000.0
        self.engine_client = EngineClient(
            ConnectionSettings(
                settings.connect_timeout / 10 or 250.0, idle_ms, max_connections, max_connections
            ),
            now,
            STREAM_SILENCE_MS,
            max_connections,
            QUIET_TIME_MS,
        )
        self.state_releaser = StateReleaser(
            self.engine_client,
            self.settings.state_release_timeout or tenths(DEFAULT_RELEASE_TIMEOUT_MS),
            self._most_recently_heard,
            self._count_release,
        )
        self.open_request_ids: set[str] = set()  # by the ids that clients gave them
        self.scheduler = CellScheduler(CELL_NAME, settings.routing, config.seed, self, EventRecorder(None))

    # What comes in.

    def submit(
        self, client_request: ClientRequest, listener: ResponseListener[bytes], received_at: int
    ) -> PendingNodeRequest:
        """Accepts a request: from here on it is owed one final response.

        Raises RequestNotAcceptedError, or InvalidRequestError where its id is open here already.
        """
        if self.closing:
            raise RequestNotAcceptedError("closing", "this node is stopping; ask another")
        if client_request.id in self.open_request_ids:
            raise InvalidRequestError("Req-Id", "a request with this id is open here", 409)
        accepted_at, index = now(), self.accepted_count
        self.accepted_count += 1
        deadline = min(
            received_at + client_request.time_limit,
            self.shutdown_deadline or received_at + client_request.time_limit,
        )
        pending = PendingNodeRequest(
            index, client_request.id, received_at, deadline, listener, client_request=client_request
        )
        # The response still has to reach the client within its time.
        time_budget = max(0, pending.deadline - self.settings.response_slack - accepted_at)
        self.counts["continuations"] += client_request.is_continuation
        self.counts["client_retries"] += client_request.is_client_retry
        self.log.debug(
            "request_accepted",
            request=client_request.id,
            request_class=client_request.request_class,
            prompt_tokens=client_request.prompt_tokens,
            time_limit=client_request.time_limit,
            is_continuation=client_request.is_continuation,
            is_client_retry=client_request.is_client_retry,
        )
        self.open_request_ids.add(client_request.id)
        self.accept(pending)
        request = client_request.to_request(
            index,
            self.intern_text("s", client_request.session, accepted_at),
            self.intern_text("b", client_request.prefix, accepted_at),
            time_budget,
        )
        self.notify_scheduler(self.scheduler, index, CellScheduler.submit, request)
        return pending

    def begin_shutdown(self, deadline: int) -> None:
        """This node may be killed after `deadline`: what it accepts from now on must be answered sooner."""
        self.shutdown_deadline = deadline
        self.notify_scheduler(self.scheduler, SHUTDOWN_TASK, CellScheduler.begin_shutdown, deadline)

    def publish_engines(self) -> None:
        """Gives the scheduler the engines that are on the list."""
        self.scheduler.update_engines(
            {line.engine: line for line in self.engine_records.values() if line.state != EngineState.REMOVED}
        )

    # How it is carried out.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        """The one scheduler of this node."""
        return self.scheduler

    def scheduler_for(self, pending: PendingNodeRequest) -> CellScheduler | None:
        """The one scheduler of this node."""
        return self.scheduler

    def request_class_of(self, pending: PendingNodeRequest) -> int:
        """The index of the request's class in the settings."""
        return pending.client_request.request_class

    async def run_exchange(
        self,
        pending: PendingNodeRequest,
        endpoint: Endpoint,
        attempt: int,
        sent_at: int,
        limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Runs one attempt; cancelled, its connection is closed and nothing is reported."""
        if endpoint.role is Role.PREFILL:
            return await self.engine_client.prefill(endpoint.address, pending.client_request, limit, permit)
        relay = ResponseRelay(self, pending, attempt, sent_at)
        return await self.engine_client.decode(endpoint.address, pending.client_request, limit, permit, relay)

    def release_prefill_state(self, pending: PendingNodeRequest) -> None:
        """Starts the release of all that engines reserve, or may reserve, for the request."""
        self.release_unclaimed_state(pending)
        pending.prefill_endpoint = pending.possible_prefill_endpoint = None

    def release_unclaimed_state(self, pending: PendingNodeRequest) -> bool:
        """Starts the release of what no attempt at an engine waits for; False where nothing is reserved."""
        endpoint = pending.prefill_endpoint or pending.possible_prefill_endpoint
        if endpoint is None:
            return False
        since = pending.lifecycle.release_started()
        release = PendingRelease(
            pending.id,
            endpoint,
            on_confirmed=lambda: self._release_confirmed(pending, since),
            remote_end_unknown=lambda: self._remote_end_unknown(pending),
        )
        self._spawn(self.state_releaser.release, release)
        return True

    async def before_attempt(self, pending: PendingNodeRequest, endpoint: Endpoint) -> None:
        """Waits a moment for a release in progress, which would otherwise take the next prefill's state too.

        No release is started here for a prefill that was given up, as its engine may still be at it: that
        release took the next prefill's state three times in four. It is started when it is due, unless the
        next prefill is known to have been received.
        """
        if endpoint.role is Role.PREFILL:
            # A wait past the end of attempts would leave the answer to the deadline guard.
            left = (self.deadline_guard.attempts_end_at(pending) - now()) / UNITS_PER_SECOND
            await self.state_releaser.wait_settled(pending.id, max(0.0, min(RELEASE_WAIT_SECONDS, left)))

    def after_attempt(
        self, pending: PendingNodeRequest, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Counts what a lost or given up prefill may have left; releases what nothing waits for."""
        if endpoint.role is Role.PREFILL and result.status in PREFILL_MAY_HAVE_RUN:
            pending.possible_prefill_endpoint = endpoint
        elif pending.lifecycle.remote_end_unknown and not pending.stream_started:
            # An earlier attempt ended only here: this one may have taken up what it left.
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint
        # One release covers all that is reserved, so a state that still waits goes with its own. What was
        # left behind another attempt is released when it is due, unless that attempt has been received.
        if (
            pending.possible_prefill_endpoint is not None
            and pending.attempt_count == attempt
            and pending.prefill_endpoint is None
        ):
            self.release_prefill_state(pending)

    def set_prefill_endpoint(
        self, pending: PendingNodeRequest, endpoint: Endpoint | None, state: object
    ) -> None:
        """Notes where a prefill's state waits now, None where none does."""
        super().set_prefill_endpoint(pending, endpoint, state)
        # A release of what an earlier prefill left would take this state too. It stays owed.
        if endpoint is not None and self.state_releaser.withdraw(pending.id):
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint

    def after_request(self, pending: PendingNodeRequest) -> None:
        """Forgets the request, and starts the release of what is still reserved for it."""
        self.open_request_ids.discard(pending.id)
        self.release_prefill_state(pending)

    def _release_confirmed(self, pending: PendingNodeRequest, since: int | None) -> None:
        if not pending.lifecycle.release_confirmed(now(), since):
            self.invariants.record(
                InvariantViolation.STATE_RELEASED_LATE,
                request=pending.id,
                reason="the release was confirmed late",
                held_for=now() - (since or 0),
            )

    def _remote_end_unknown(self, pending: PendingNodeRequest) -> bool:
        """Whether an attempt that has ended here may leave a state that nothing else would release."""
        attempt = pending.lifecycle.last_attempt
        return (
            pending.lifecycle.remote_end_unknown
            and pending.prefill_endpoint is None
            and not (attempt is not None and attempt.in_progress)
        )

    def _count_release(self, change: int) -> None:
        self.releases_in_progress += change

    def _most_recently_heard(self) -> list[Endpoint]:
        """Ready engines, those first from which this node has had a response last."""
        idle = self.engine_client.pool.idle

        def heard(endpoint: Endpoint) -> int:
            return max((link.idle_since for link in idle.get(endpoint.address, ())), default=0)

        listed = [
            self.endpoints[line.engine]
            for line in self.engine_records.values()
            if line.state == EngineState.READY
        ]
        return sorted(listed, key=heard, reverse=True)
