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
from runspool.service.request_executor import RequestExecutor, ResponseRelay
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
        taken = PendingNodeRequest(index, ask.id, came, limit, reply, client_request=ask)
        # The answer still has to reach the client within its time.
        budget = max(0, taken.deadline - self.settings.response_slack - at)
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
        self.accept(taken)
        query = ask.to_request(
            index, self.intern_text("s", ask.session, at), self.intern_text("b", ask.prefix, at), budget
        )
        self._notify(self.scheduler, index, CellScheduler.submit, query)
        return taken

    def begin_shutdown(self, by: int) -> None:
        """This node may be killed after `by`: what is taken from now on must be answered sooner."""
        self.shutdown_deadline = by
        self._notify(self.scheduler, SHUTDOWN_TASK, CellScheduler.begin_shutdown, by)

    def publish_engines(self) -> None:
        self.scheduler.update_engines(
            {line.engine: line for line in self.engine_records.values() if line.state != EngineState.REMOVED}
        )

    # How it is carried out.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        return self.scheduler

    def scheduler_for(self, taken: PendingNodeRequest) -> CellScheduler | None:
        return self.scheduler

    def request_class_of(self, taken: PendingNodeRequest) -> int:
        return taken.client_request.request_class

    async def run_exchange(
        self, taken: PendingNodeRequest, site: Endpoint, shot: int, sent: int, limit: int, permit: SendPermit
    ) -> AttemptResult:
        if site.role is Role.PREFILL:
            return await self.engine_client.prefill(site.address, taken.client_request, limit, permit)
        hearing = ResponseRelay(self, taken, shot, sent)
        return await self.engine_client.decode(site.address, taken.client_request, limit, permit, hearing)

    def release_prefill_state(self, taken: PendingNodeRequest) -> None:
        self.release_unclaimed_state(taken)
        taken.prefill_endpoint = taken.possible_prefill_endpoint = None

    def release_unclaimed_state(self, taken: PendingNodeRequest) -> bool:
        site = taken.prefill_endpoint or taken.possible_prefill_endpoint
        if site is None:
            return False
        since = taken.lifecycle.release_started()
        release = PendingRelease(
            taken.id,
            site,
            on_confirmed=lambda: self._let_go_confirmed(taken, since),
            remote_end_unknown=lambda: self._may_still_read(taken),
        )
        self._spawn(self.state_releaser.release, release)
        return True

    async def before_attempt(self, taken: PendingNodeRequest, site: Endpoint) -> None:
        """Against a call that lets go taking what the next read leaves: one that is under way goes first.

        None is begun for a read that was given up, as its engine may still be at it: made then, the call
        took the next read's state three times in four. It is made when its time comes, unless the next read
        is known to have arrived.
        """
        if site.role is Role.PREFILL:
            await self.state_releaser.wait_settled(taken.id, RELEASE_FIRST)

    def after_attempt(
        self, taken: PendingNodeRequest, site: Endpoint, shot: int, ended: AttemptResult
    ) -> None:
        """A read lost or given up may have ended well: what it left counts as held from its end on."""
        if site.role is Role.PREFILL and ended.status in PREFILL_MAY_HAVE_RUN:
            taken.possible_prefill_endpoint = site
        elif taken.lifecycle.remote_end_unknown and not taken.stream_started:
            # An earlier attempt ended here alone: what it left may have been taken up by this.
            taken.possible_prefill_endpoint = taken.possible_prefill_endpoint or site
        # A state that still waits goes with its own release: one call lets go of everything. What is behind
        # another attempt goes when its time comes, unless that attempt has arrived.
        if (
            taken.possible_prefill_endpoint is not None
            and taken.attempt_count == shot
            and taken.prefill_endpoint is None
        ):
            self.release_prefill_state(taken)

    def set_prefill_endpoint(self, taken: PendingNodeRequest, site: Endpoint | None, state: object) -> None:
        super().set_prefill_endpoint(taken, site, state)
        # Against a call for what an earlier read left taking this state too. What it was for is owed still.
        if site is not None and self.state_releaser.withdraw(taken.id):
            taken.possible_prefill_endpoint = taken.possible_prefill_endpoint or site

    def after_request(self, taken: PendingNodeRequest) -> None:
        self.open_request_ids.discard(taken.id)
        self.release_prefill_state(taken)

    def _let_go_confirmed(self, taken: PendingNodeRequest, since: int | None) -> None:
        if not taken.lifecycle.release_confirmed(now(), since):
            self.invariants.record(
                InvariantViolation.STATE_RELEASED_LATE,
                request=taken.id,
                reason="the call to let go was confirmed late",
                held_for=now() - (since or 0),
            )

    def _may_still_read(self, taken: PendingNodeRequest) -> bool:
        """Whether an attempt that has ended here may leave something that nothing else would let go of."""
        attempt = taken.lifecycle.last_attempt
        return (
            taken.lifecycle.remote_end_unknown
            and taken.prefill_endpoint is None
            and not (attempt is not None and attempt.in_progress)
        )

    def _count_release(self, change: int) -> None:
        self.releases_in_progress += change

    def _likeliest(self) -> list[Endpoint]:
        """Engines on the list, those first that this node has heard from last."""
        idle = self.engine_client.pool.idle

        def heard(site: Endpoint) -> int:
            return max((link.idle_since for link in idle.get(site.address, ())), default=0)

        listed = [
            self.endpoints[line.engine]
            for line in self.engine_records.values()
            if line.state == EngineState.READY
        ]
        return sorted(listed, key=heard, reverse=True)
