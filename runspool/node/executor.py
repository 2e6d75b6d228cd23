"""Accepts a front node's requests, and executes the decisions of its single scheduler."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from weakref import ReferenceType, ref

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.send_permit import SendPermit
from runspool.node.config import NodeConfig
from runspool.node.engine_client import EngineClient
from runspool.node.guard_delays import GuardDelays
from runspool.node.request_ids import RequestIds
from runspool.node.request_parser import ClientRequest
from runspool.node.state_releaser import PendingRelease, StateReleaser
from runspool.node.submission_queue import SubmissionQueue
from runspool.runtime.scheduler_driver import SHUTDOWN_TASK
from runspool.scheduling.request_lifecycle import PREFILL_MAY_HAVE_RUN, InvariantViolation, RequestLifecycle
from runspool.scheduling.types import EngineState, Role
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now
from runspool.service.event_recorder import EventRecorder
from runspool.service.pending_request import Endpoint, PendingRequest, RequestNotAcceptedError
from runspool.service.request_executor import RequestExecutor
from runspool.service.response_relay import ResponseRelay
from runspool.units import TENTHS_PER_SECOND, ms_to_tenths
from runspool.wire.fields import InvalidRequestError

# Maximum number of session and prefix names that are interned. Beyond it, the least recently used is dropped.
MAX_INTERNED_NAMES = 20_000
# Idle timeout of a stream after an event. By the platform's page a client waits for 5 s after an event, and
# every time limit is 50 ms longer; the difference is for this process to end the stream in time.
STREAM_IDLE_TIMEOUT_MS = 4_950
# Time after a response within which an engine may send a surplus second response on the same connection,
# according to the platform.
SURPLUS_RESPONSE_WINDOW_MS = 25
MAX_BODY_BYTES = 262_144  # maximum size of a body, according to the platform
MAX_EVENT_BYTES = 65_536  # maximum size of an event of a stream, and of the response to a prefill
# How long a prefill waits at most for the release of the state that an earlier prefill of its request left.
RELEASE_WAIT_SECONDS = 0.05
DEFAULT_RELEASE_TIMEOUT_MS = 1_000  # used if the platform's settings contain no release timeout
CELL_NAME = "node"  # each scheduler serves a cell of engines; all engines of a node form a single cell


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How a node connects to its engines or to the discovery agent.

    Attributes:
        connect_ms: The timeout of establishing a connection, in milliseconds.
        idle_ms: How long an idle connection is kept, in milliseconds.
        connections_each: The maximum number of connections to one peer.
        idle_each: The maximum number of idle connections to one peer.
        read_answer_bytes: The maximum size of the body of a response that is not a stream.
        line_bytes: The maximum size of an event of a stream.
        source_address: The local address of the connections; None for any.
    """

    connect_ms: float
    idle_ms: float
    connections_each: int
    idle_each: int
    read_answer_bytes: int = MAX_EVENT_BYTES
    line_bytes: int = MAX_EVENT_BYTES
    source_address: str | None = None


@dataclass(slots=True, kw_only=True, weakref_slot=True)
class PendingNodeRequest(PendingRequest):
    """A client's request to which this node must send a final response.

    Attributes:
        client_request: The request as received from the client.
        possible_prefill_endpoint: The engine that may hold state because of an attempt that was lost or
            cancelled; None if there is none.
    """

    client_request: ClientRequest
    possible_prefill_endpoint: Endpoint | None = None


class NodeExecutor(RequestExecutor[PendingNodeRequest]):
    """Accepts a node's requests, runs their attempts and releases the state that engines reserve for them.

    Attributes:
        platform_settings: The platform's settings.
        engine_client: Sends attempts and release calls to engines.
        state_releaser: Runs the releases until an engine confirms them.
        request_ids: The ids, given by the clients, that no new request may have.
        guard_delays: The delays from the arrival of requests until their deadlines were guarded.
        submissions: The accepted requests that wait for their submission to the scheduler.
        scheduler: The scheduler of this node.
    """

    def __init__(self, config: NodeConfig, max_connections: int) -> None:
        """Create an executor without requests.

        Args:
            config: The configuration of the node.
            max_connections: The maximum number of connections to all engines together.
        """
        settings = config.settings
        super().__init__(settings.routing, settings.engine_types, settings.zones, MAX_INTERNED_NAMES)
        self.platform_settings = settings
        # Close idle connections before the engine does. If an engine closes a connection while a request is
        # being sent on it, the node cannot tell whether the request was executed.
        idle_ms = settings.idle_timeout / 10 * 0.75 or 10_000.0
        self.engine_client = EngineClient(
            ConnectionSettings(
                settings.connect_timeout / 10 or 250.0, idle_ms, max_connections, max_connections
            ),
            now,
            STREAM_IDLE_TIMEOUT_MS,
            max_connections,
            SURPLUS_RESPONSE_WINDOW_MS,
            self.connection_resources,
            MAX_BODY_BYTES,
        )
        self.state_releaser = StateReleaser(
            self.engine_client,
            self.settings.state_release_timeout or ms_to_tenths(DEFAULT_RELEASE_TIMEOUT_MS),
            self._engines_by_last_response,
            self._count_release,
        )
        self.request_ids = RequestIds()
        self.guard_delays = GuardDelays(self.rate_limited_log, self.counts)
        self.submissions = SubmissionQueue(self)
        self.scheduler = CellScheduler(CELL_NAME, settings.routing, config.seed, self, EventRecorder(None))

    @property
    def is_ready(self) -> bool:
        """Whether new clients may come: the endpoint list is current, and no shutdown has begun."""
        return not (self.submissions.is_held or self.shutdown_deadline)

    # Requests and events from outside.

    def submit(
        self, client_request: ClientRequest, listener: ResponseListener[bytes], received_at: int
    ) -> PendingNodeRequest:
        """Accept a request, and submit it to the scheduler in its turn. It must get one final response.

        Args:
            client_request: The request.
            listener: Receives the response's stream.
            received_at: When the head of the request was received, in tenths of a millisecond.

        Returns:
            The accepted request, whose final response the caller waits for.

        Raises:
            RequestNotAcceptedError: The node is shutting down.
            InvalidRequestError: A request with the same id is open at this node, or may still have an effect.
        """
        if self.closing:
            raise RequestNotAcceptedError("closing", "this node is stopping; ask another")
        accepted_at, index = now(), self.accepted_count
        if self.request_ids.is_known(client_request.id, accepted_at):
            self.counts["ids_repeated"] += 1
            raise InvalidRequestError("Req-Id", "a request with this id is open here, or may have run", 409)
        self.accepted_count += 1
        deadline = min(
            received_at + client_request.time_limit,
            self.shutdown_deadline or received_at + client_request.time_limit,
        )
        pending = PendingNodeRequest(
            index, client_request.id, received_at, deadline, listener, client_request=client_request
        )
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
        self.request_ids.opened(client_request.id)
        self.accept(pending)
        self.submissions.add(pending)
        return pending

    def submit_to_scheduler(self, pending: PendingNodeRequest) -> None:
        """Submit an accepted request to the scheduler, with what is left of its time."""
        client_request, at = pending.client_request, now()
        # Reserve some of the time for sending the response to the client.
        time_budget = max(0, pending.deadline - self.settings.response_slack - at)
        request = client_request.to_request(
            pending.index,
            self.intern_name("s", client_request.session, at),
            self.intern_name("b", client_request.prefix, at),
            time_budget,
        )
        self.notify_scheduler(self.scheduler, pending.index, CellScheduler.submit, request)

    def submission_expired(self, request: int) -> None:
        """Reject a request that has not been submitted to the scheduler in time."""
        self.submissions.expire(request)

    def cancel_remaining_work(self, pending: PendingNodeRequest) -> None:
        """Cancel the attempt of a request that has its final response, and notify the scheduler.

        The scheduler does not know a request that waits for its submission, which is forgotten at once.
        """
        if self.submissions.discard(pending):
            self.forget_request(pending.index)
        else:
            super().cancel_remaining_work(pending)

    def begin_shutdown(self, deadline: int) -> None:
        """Start the shutdown: requests accepted from now on must be answered before `deadline`.

        `deadline` is in tenths of a millisecond on the node's clock; the process may be killed after it.
        """
        self.shutdown_deadline = deadline
        self.notify_scheduler(self.scheduler, SHUTDOWN_TASK, CellScheduler.begin_shutdown, deadline)

    def publish_engines(self) -> None:
        """Pass the engines on the endpoint list, except removed ones, to the scheduler."""
        self.scheduler.update_engines(
            {
                record.engine: record
                for record in self.engine_records.values()
                if record.state != EngineState.REMOVED
            }
        )

    # Execution of the scheduler's decisions.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        """Return the single scheduler of this node."""
        return self.scheduler

    def scheduler_for(self, pending: PendingNodeRequest) -> CellScheduler | None:
        """Return the single scheduler of this node."""
        return self.scheduler

    def request_class_of(self, pending: PendingNodeRequest) -> int:
        """Return the index of the request's class in the settings."""
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
        """Run one attempt of a request; cancellation closes its connection without a result.

        Args:
            pending: The request.
            endpoint: The engine.
            attempt: The number of the attempt within the request.
            sent_at: When the attempt started, in tenths of a millisecond.
            limit: The time limit until the first event, in tenths of a millisecond.
            permit: Decides whether the request may still be sent.
        """
        if endpoint.role is Role.PREFILL:
            return await self.engine_client.prefill(endpoint.address, pending.client_request, limit, permit)
        relay = ResponseRelay(self, pending, attempt, sent_at)
        return await self.engine_client.decode(endpoint.address, pending.client_request, limit, permit, relay)

    def release_prefill_state(self, pending: PendingNodeRequest) -> None:
        """Start the release of all state that engines reserve, or may reserve, for the request."""
        self.release_even_if_in_use(pending)
        pending.prefill_endpoint = pending.possible_prefill_endpoint = None

    def release_even_if_in_use(self, pending: PendingNodeRequest) -> bool:
        """Start the release of the request's state, although an attempt may be in progress.

        Engines keep state that an attempt they have received waits for. Therefore the engines that may hold
        state stay recorded in the request, and the state can be released again after the attempt.

        The release may go on long after the request has ended, until an engine confirms it. It must not keep
        the request with its client's connection, which are charged to nobody by then.

        Returns:
            Whether there was any state to release.
        """
        endpoint = pending.prefill_endpoint or pending.possible_prefill_endpoint
        if endpoint is None:
            return False
        reserved_since = pending.lifecycle.release_started()
        lifecycle = pending.lifecycle
        release = PendingRelease(
            pending.id,
            endpoint,
            on_confirmed=partial(self._release_confirmed, pending.id, lifecycle, reserved_since),
            attempt_may_leave_state=partial(_attempt_may_leave_state, lifecycle, ref(pending)),
        )
        self.spawn(self.state_releaser.release, release)
        return True

    async def before_attempt(self, pending: PendingNodeRequest, endpoint: Endpoint) -> None:
        """Before a prefill, wait for a release of the request's state that is in progress.

        A release covers all state of a request, so it would also release the state of the new prefill. The
        wait is limited to RELEASE_WAIT_SECONDS.

        For the same reason, this method does not start a release for an earlier prefill that was cancelled,
        although the earlier prefill's engine may still execute it and leave state. Releases that were started
        at this point released the state of the new prefill in three cases out of four. Instead,
        `ReleaseCheck` starts the release shortly before the release timeout of the settings expires, unless
        the engine of the new prefill has responded by then.
        """
        if endpoint.role is Role.PREFILL:
            # Do not wait beyond the time limit for attempts: the scheduler would learn too late that the
            # prefill cannot be started, and the deadline guard would have to respond to the client instead.
            remaining = (self.deadline_guard.attempt_deadline(pending) - now()) / TENTHS_PER_SECOND
            await self.state_releaser.wait_until_done(
                pending.id, max(0.0, min(RELEASE_WAIT_SECONDS, remaining))
            )

    def after_attempt(
        self, pending: PendingNodeRequest, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Record the state that a lost or cancelled attempt may have left, and release unused state."""
        if endpoint.role is Role.PREFILL and result.status in PREFILL_MAY_HAVE_RUN:
            pending.possible_prefill_endpoint = endpoint
        elif pending.lifecycle.may_still_run_on_engine and not pending.stream_started:
            # This node ended an attempt that may have continued at its engine and left state, which the
            # attempt that ends now may have taken over. Record an engine, so that the state is released.
            # Which one does not matter much: any engine accepts the release of all state of a request.
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint
        # A release covers all state of the request. While the state of a completed prefill waits for its
        # decode (`prefill_endpoint` is set), no release is started here. When that state is released, the
        # release covers the remaining state too. If a later attempt has already started, none is started here
        # either: `ReleaseCheck` starts it when it is due, unless that attempt's engine has responded by then.
        if (
            pending.possible_prefill_endpoint is not None
            and pending.attempt_count == attempt
            and pending.prefill_endpoint is None
        ):
            self.release_prefill_state(pending)

    def set_prefill_endpoint(
        self, pending: PendingNodeRequest, endpoint: Endpoint | None, state: object
    ) -> None:
        """Record the engine that holds the state of a completed prefill; None if none does any more."""
        super().set_prefill_endpoint(pending, endpoint, state)
        # A pending release of an earlier prefill's state would release this state too, so withdraw it. Record
        # an engine, so that the earlier state is still released later; any engine accepts that release.
        if endpoint is not None and self.state_releaser.withdraw(pending.id):
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint

    def after_request(self, pending: PendingNodeRequest) -> None:
        """Forget a request, and start the release of the state that is still reserved for it."""
        ended_at = now()
        self.request_ids.closed(pending.id, ended_at, pending.lifecycle.effect_known_until(ended_at))
        self.release_prefill_state(pending)

    def _release_confirmed(
        self, request: str, lifecycle: RequestLifecycle, reserved_since: int | None
    ) -> None:
        if not lifecycle.release_confirmed(now(), reserved_since):
            self.invariants.record(
                InvariantViolation.STATE_RELEASED_LATE,
                request=request,
                reason="the release was confirmed late",
                held_for=now() - (reserved_since or 0),
            )

    def _count_release(self, change: int) -> None:
        self.releases_in_progress += change

    def _engines_by_last_response(self) -> list[Endpoint]:
        """Return the ready engines, those first from which this node received a response most recently."""
        idle_connections = self.engine_client.pool.idle

        def last_response_at(endpoint: Endpoint) -> int:
            return max(
                (connection.idle_since for connection in idle_connections.get(endpoint.address, ())),
                default=0,
            )

        ready = [
            self.endpoints[record.engine]
            for record in self.engine_records.values()
            if record.state == EngineState.READY
        ]
        return sorted(ready, key=last_response_at, reverse=True)


def _attempt_may_leave_state(
    lifecycle: RequestLifecycle, pending_reference: ReferenceType[PendingNodeRequest]
) -> bool:
    """Return whether an attempt that this node ended may leave state that nothing else would release."""
    attempt, pending = lifecycle.last_attempt, pending_reference()
    return (
        lifecycle.may_still_run_on_engine
        and (pending is None or pending.prefill_endpoint is None)
        and not (attempt is not None and attempt.in_progress)
    )
