"""The front node: what it takes from clients, its one desk, its shots. Decides nothing itself."""

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
from runspool.units import tenths
from runspool.wire.fields import InvalidRequestError

NAMES_KNOWN = 20_000  # texts' names remembered before the one unseen for longest is forgotten
STREAM_SILENCE_MS = 4_000  # after a stream's last event; its client is to be told before 5 s
REST_MS = 25  # after an answer, in which another may come: the platform says some milliseconds late
EVENT_BYTES = 65_536  # of one event, and of a read's answer
RELEASE_FIRST = 0.05  # seconds that a read waits for a call that lets go of what one before it left
RELEASE_MS = 1_000  # for letting go of a state, where the settings grant no time
DESK = "node"


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How a node speaks to engines or to the list; times in milliseconds."""

    connect_ms: float
    idle_ms: float
    connections_each: int
    idle_each: int
    read_answer_bytes: int = EVENT_BYTES
    line_bytes: int = EVENT_BYTES
    source_address: str | None = None


@dataclass(slots=True, kw_only=True)
class PendingNodeRequest(PendingRequest):
    client_request: ClientRequest
    possible_prefill_endpoint: Endpoint | None = (
        None  # where an attempt that was lost or given up may have left a state
    )


class NodeExecutor(RequestExecutor[PendingNodeRequest]):
    def __init__(self, posting: NodeConfig, connections: int) -> None:
        """`connections` bounds those to all engines together."""
        granted = posting.settings
        super().__init__(granted.routing, granted.engine_types, granted.zones, NAMES_KNOWN)
        self.platform_settings = granted
        # An engine closes what has been idle for its time: a request that crosses that may count as run.
        idle_ms = granted.idle_timeout / 10 * 0.75 or 10_000.0
        self.engine_client = EngineClient(
            ConnectionSettings(granted.connect_timeout / 10 or 250.0, idle_ms, connections, connections),
            now,
            STREAM_SILENCE_MS,
            connections,
            REST_MS,
        )
        self.state_releaser = StateReleaser(
            self.engine_client,
            self.settings.state_release_timeout or tenths(RELEASE_MS),
            self._likeliest,
            self._count_release,
        )
        self.open_request_ids: set[str] = set()  # ids of the queries held
        self.shutdown_deadline = 0  # 0 while nobody has asked this node to stop
        self.scheduler = CellScheduler(DESK, granted.routing, posting.seed, self, EventRecorder(None))

    # What comes in.

    def submit(self, ask: ClientRequest, reply: ResponseListener[bytes], came: int) -> PendingNodeRequest:
        """Takes a query: from here on it is owed one final answer. Raises Refused or Misworded."""
        if self.closing:
            raise RequestNotAcceptedError("closing", "this node is stopping; ask another")
        if ask.id in self.open_request_ids:
            raise InvalidRequestError("Req-Id", "a request with this id is open here", 409)
        at, index = now(), self.accepted_count
        self.accepted_count += 1
        limit = min(came + ask.time_limit, self.shutdown_deadline or came + ask.time_limit)
        pending = PendingNodeRequest(index, ask.id, came, limit, reply, client_request=ask)
        # The answer still has to reach the client within its time.
        budget = max(0, pending.deadline - self.settings.response_slack - at)
        self.counts["continuations"] += ask.is_continuation
        self.counts["client_retries"] += ask.is_client_retry
        self.log.debug(
            "request_accepted",
            request=ask.id,
            request_class=ask.request_class,
            prompt_tokens=ask.prompt_tokens,
            time_limit=ask.time_limit,
            is_continuation=ask.is_continuation,
            is_client_retry=ask.is_client_retry,
        )
        self.open_request_ids.add(ask.id)
        self.accept(pending)
        query = ask.to_request(
            index, self.intern_text("s", ask.session, at), self.intern_text("b", ask.prefix, at), budget
        )
        self.notify_scheduler(self.scheduler, index, CellScheduler.submit, query)
        return pending

    def begin_shutdown(self, by: int) -> None:
        """This node may be killed after `by`: what is taken from now on must be answered sooner."""
        self.shutdown_deadline = by
        self.notify_scheduler(self.scheduler, SHUTDOWN_TASK, CellScheduler.begin_shutdown, by)

    def publish_engines(self) -> None:
        self.scheduler.update_engines(
            {line.engine: line for line in self.engine_records.values() if line.state != EngineState.REMOVED}
        )

    # How it is carried out.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        return self.scheduler

    def scheduler_for(self, pending: PendingNodeRequest) -> CellScheduler | None:
        return self.scheduler

    def request_class_of(self, pending: PendingNodeRequest) -> int:
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
        if endpoint.role is Role.PREFILL:
            return await self.engine_client.prefill(endpoint.address, pending.client_request, limit, permit)
        hearing = ResponseRelay(self, pending, attempt, sent_at)
        return await self.engine_client.decode(
            endpoint.address, pending.client_request, limit, permit, hearing
        )

    def release_prefill_state(self, pending: PendingNodeRequest) -> None:
        self.release_unclaimed_state(pending)
        pending.prefill_endpoint = pending.possible_prefill_endpoint = None

    def release_unclaimed_state(self, pending: PendingNodeRequest) -> bool:
        endpoint = pending.prefill_endpoint or pending.possible_prefill_endpoint
        if endpoint is None:
            return False
        since = pending.lifecycle.release_started()
        release = PendingRelease(
            pending.id,
            endpoint,
            on_confirmed=lambda: self._let_go_confirmed(pending, since),
            remote_end_unknown=lambda: self._may_still_read(pending),
        )
        self._spawn(self.state_releaser.release, release)
        return True

    async def before_attempt(self, pending: PendingNodeRequest, endpoint: Endpoint) -> None:
        """Against a call that lets go taking what the next read leaves: one that is under way goes first.

        None is begun for a read that was given up, as its engine may still be at it: made then, the call
        took the next read's state three times in four. It is made when its time comes, unless the next read
        is known to have arrived.
        """
        if endpoint.role is Role.PREFILL:
            await self.state_releaser.wait_settled(pending.id, RELEASE_FIRST)

    def after_attempt(
        self, pending: PendingNodeRequest, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """A read lost or given up may have ended well: what it left counts as held from its end on."""
        if endpoint.role is Role.PREFILL and result.status in PREFILL_MAY_HAVE_RUN:
            pending.possible_prefill_endpoint = endpoint
        elif pending.lifecycle.remote_end_unknown and not pending.stream_started:
            # An earlier attempt ended here alone: what it left may have been taken up by this.
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint
        # A state that still waits goes with its own release: one call lets go of everything. What is behind
        # another attempt goes when its time comes, unless that attempt has arrived.
        if (
            pending.possible_prefill_endpoint is not None
            and pending.attempt_count == attempt
            and pending.prefill_endpoint is None
        ):
            self.release_prefill_state(pending)

    def set_prefill_endpoint(
        self, pending: PendingNodeRequest, endpoint: Endpoint | None, state: object
    ) -> None:
        super().set_prefill_endpoint(pending, endpoint, state)
        # Against a call for what an earlier read left taking this state too. What it was for is owed still.
        if endpoint is not None and self.state_releaser.withdraw(pending.id):
            pending.possible_prefill_endpoint = pending.possible_prefill_endpoint or endpoint

    def after_request(self, pending: PendingNodeRequest) -> None:
        self.open_request_ids.discard(pending.id)
        self.release_prefill_state(pending)

    def _let_go_confirmed(self, pending: PendingNodeRequest, since: int | None) -> None:
        if not pending.lifecycle.release_confirmed(now(), since):
            self.invariants.record(
                InvariantViolation.STATE_RELEASED_LATE,
                request=pending.id,
                reason="the call to let go was confirmed late",
                held_for=now() - (since or 0),
            )

    def _may_still_read(self, pending: PendingNodeRequest) -> bool:
        """Whether an attempt that has ended here may leave something that nothing else would let go of."""
        attempt = pending.lifecycle.last_attempt
        return (
            pending.lifecycle.remote_end_unknown
            and pending.prefill_endpoint is None
            and not (attempt is not None and attempt.in_progress)
        )

    def _count_release(self, change: int) -> None:
        self.releases_in_progress += change

    def _likeliest(self) -> list[Endpoint]:
        """Engines on the list, those first that this node has heard from last."""
        idle = self.engine_client.pool.idle

        def heard(endpoint: Endpoint) -> int:
            return max((link.idle_since for link in idle.get(endpoint.address, ())), default=0)

        listed = [
            self.endpoints[line.engine]
            for line in self.engine_records.values()
            if line.state == EngineState.READY
        ]
        return sorted(listed, key=heard, reverse=True)
