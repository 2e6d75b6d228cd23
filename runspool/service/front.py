"""The house's front: what it takes from clients and says to engines, and its cells. Decides nothing.

`completion_admission` has what a request is admitted by, `cell_scheduler_registry` the cells' schedulers,
`cell_status` the status page, `prefill_state_release` the release of states and `engine_check` the look
whether an engine is down.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

from runspool.cells.cell_map import CellMap
from runspool.cells.cell_router import AdmissionRefusal, CellAdmission, CellRouter
from runspool.config import FrontConfig
from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.completions_client import CompletionsEngineClient, PrefillState
from runspool.engines.send_permit import SendPermit
from runspool.runtime.interning import stable_hash
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.request_lifecycle import ENDED_LOCALLY
from runspool.scheduling.types import Request, Role
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.cell_scheduler_registry import CellSchedulerRegistry
from runspool.service.cell_status import cell_status
from runspool.service.clock import now, unix_ms
from runspool.service.completion_admission import (
    POISONOUS_MESSAGE,
    admission_request,
    not_accepted_error,
)
from runspool.service.deadlines import first_token_budget
from runspool.service.engine_check import CONNECTION_BROKEN, is_engine_up
from runspool.service.pending_completion import PendingCompletion, forwarded_headers
from runspool.service.pending_request import Endpoint, FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.prefill_state_release import release_with_retries
from runspool.service.request_executor import RequestExecutor
from runspool.service.response_relay import ResponseRelay
from runspool.wire.completions import CompletionRequest

MAX_INTERNED_NAMES = 200_000  # texts' names remembered before the one unseen for longest is forgotten
MAX_REQUEST_BYTES = 256 << 20  # of queries held at once, shared out to cells
MAX_LOGGED_SHORTAGES = 20  # in one line; of the others only the number is logged


class Front(RequestExecutor[PendingCompletion]):
    """A front's requests by cell: admits and accepts them, carries out what the cells' schedulers decide."""

    def __init__(
        self,
        config: FrontConfig,
        recording_path: Path | None = None,
        seed: int | None = None,
        cell_map: CellMap | None = None,
        adopted_unix_ms: int = 0,
    ) -> None:
        self.config = config
        super().__init__(
            config.routing_settings(),
            {name: at for at, name in enumerate(config.house.kinds)},
            {name: at for at, name in enumerate(config.house.zones)},
            MAX_INTERNED_NAMES,
        )
        self.request_class_indices = {name: at for at, name in enumerate(config.house.tariffs)}
        self.tenant_indices = {name: at for at, name in enumerate(config.house.tenants)}
        self.engine_client = CompletionsEngineClient(
            config.front.engines, now, config.front.bounds.stream_silence_ms
        )
        self.started_at = now()
        self.seed = config.front.seed if seed is None else seed
        self.cell_router = CellRouter(
            cell_map or CellMap(version=0, way="fixed"),
            config.front.bounds.queries,
            MAX_REQUEST_BYTES,
            Random(self.seed ^ 0x5EED).random,
            adopted_unix_ms,
        )
        self.cell_registry = CellSchedulerRegistry(
            self.cell_router, self.registry, config.house.zones, self, self.seed, recording_path
        )
        self.cell_schedulers = self.cell_registry.schedulers

    # What comes in.

    def submit(
        self, completion: CompletionRequest, listener: ResponseListener[str], received_at: int
    ) -> PendingCompletion:
        """Accepts a request: from here on it is owed one final response. Raises RequestNotAcceptedError."""
        if self.closing:
            raise RequestNotAcceptedError("closing", "this front is stopping; ask another")
        admission = self._admit(completion)
        index = self.accepted_count
        self.accepted_count += 1
        accepted_at = now()
        pending = PendingCompletion(
            index,
            f"{self.config.front.name}-{self.started_at:x}-{index}",
            received_at,
            received_at + completion.time_limit,
            listener,
            completion=completion,
            headers=forwarded_headers(completion, self.config.front.name),
            admission=admission,
        )
        request = self._scheduler_request(pending, accepted_at)
        self.log.debug(
            "request_accepted",
            request=pending.id,
            request_class=completion.request_class,
            tenant=completion.tenant,
            prompt_tokens=completion.prompt_tokens,
            time_limit=completion.time_limit,
            client_attempt=completion.client_attempt,
        )
        self.accept(pending)
        self.cell_scheduler(admission.cell)
        self.notify_scheduler(self.scheduler_for(pending), index, CellScheduler.submit, request)
        return pending

    def _scheduler_request(self, pending: PendingCompletion, accepted_at: int) -> Request:
        """The request as its cell's scheduler sees it."""
        completion = pending.completion
        request_class = self.request_class_of(pending)
        return Request(
            index=pending.index,
            request_class=request_class,
            tenant=None if completion.tenant is None else self.tenant_indices[completion.tenant],
            session=self.intern_text("s", completion.session, accepted_at),
            prefix=self.intern_text("b", completion.prefix, accepted_at),
            prompt_tokens=completion.prompt_tokens,
            prefix_tokens=completion.prefix_tokens,
            max_output_tokens=completion.max_output_tokens,
            expected_output_tokens=completion.expected_output_tokens,
            # The response still has to reach the client within its time.
            time_budget=first_token_budget(
                pending.deadline - self.settings.response_slack - accepted_at,
                not completion.stream,
                completion.expected_output_tokens,
                self.settings.request_classes[request_class],
            ),
            is_client_retry=completion.is_client_retry,
            is_continuation=completion.is_continuation,
            session_hash=stable_hash(completion.session or ""),
            prefix_hash=stable_hash(completion.prefix or ""),
        )

    def _admit(self, completion: CompletionRequest) -> CellAdmission:
        request = admission_request(completion, self.config)
        admission = self.cell_router.admit(now(), unix_ms(), request)
        if isinstance(admission, AdmissionRefusal):
            refused = not_accepted_error(admission)
            self.counts[f"turned_{refused.code}"] += 1
            raise refused
        return admission

    def cell_map_changed(self, cell_map: CellMap, adopted_unix_ms: int) -> None:
        """Adopts a newer cell map. Requests that were accepted stay in their cells."""
        if not self.cell_router.adopt(cell_map, adopted_unix_ms):
            return
        self.log.info("cell_map_adopted", version=cell_map.version, cells=len(cell_map.names()))
        self.publish_engines()
        self.cell_registry.close_unused()

    def cells(self) -> dict[str, Any]:
        """Where this front stands with its cells and moves, for operators."""
        return cell_status(self.config.front.name, self.cell_router, now(), unix_ms())

    def publish_engines(self) -> None:
        """Gives each cell's scheduler its engines. A cell that is no longer on the map keeps those it had."""
        before = self.cell_router.placement.shortages
        shortages = self.cell_registry.place_engines().shortages
        if shortages != before and self.cell_router.cell_map.version:
            self.log.warning(
                "cells_incomplete",
                what=shortages[:MAX_LOGGED_SHORTAGES],
                more=max(0, len(shortages) - MAX_LOGGED_SHORTAGES),
            )
        self.cell_registry.update_schedulers()

    def cell_scheduler(self, name: str) -> CellScheduler:
        """A cell's scheduler, made when its first request comes."""
        return self.cell_registry.scheduler(name)

    @property
    def first_driver(self) -> SchedulerDriver:
        """The scheduler driver of the only cell, or of the first."""
        return next(iter(self.cell_schedulers.values())).driver

    def subscription_lost(self) -> None:
        """The connection to discovery was lost; schedulers that subscribe do so anew."""
        for scheduler in self.cell_schedulers.values():
            scheduler.subscription_lost()

    # How it is carried out.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        """The scheduler of a cell, None where it is closed."""
        return self.cell_schedulers.get(name)

    def scheduler_for(self, pending: PendingCompletion) -> CellScheduler | None:
        """The scheduler of the request's cell, None where it is closed."""
        return self.cell_schedulers.get(pending.admission.cell)

    def request_class_of(self, pending: PendingCompletion) -> int:
        """The index of the request's class in the settings."""
        return self.request_class_indices[pending.completion.request_class]

    async def run_exchange(
        self,
        pending: PendingCompletion,
        endpoint: Endpoint,
        attempt: int,
        sent_at: int,
        limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Runs one attempt; cancelled, its connection is closed and nothing is reported."""
        headers = pending.headers | {"X-Request-Id": f"{pending.id}.{attempt}"}
        body = pending.completion.body
        if endpoint.role is Role.PREFILL:
            result = await self.engine_client.prefill(endpoint.address, body, headers, limit, permit)
        else:
            result = await self.engine_client.decode(
                endpoint.address,
                body,
                pending.state,
                headers,
                limit,
                permit,
                pending.completion.max_output_tokens,
                ResponseRelay(self, pending, attempt, sent_at),
            )
        if result.failure_cause in CONNECTION_BROKEN:
            await self._check_for_poison(pending, endpoint)
        return result

    def set_prefill_endpoint(
        self, pending: PendingCompletion, endpoint: Endpoint | None, state: PrefillState | None
    ) -> None:
        """Notes where a prefill's state waits now, None where none does."""
        pending.prefill_endpoint, pending.state = endpoint, state

    def after_attempt(
        self, pending: PendingCompletion, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Starts the release of what a prefill that was given up may have left."""
        if endpoint.role is Role.PREFILL and result.status in ENDED_LOCALLY:
            # The prefill may have ended while its response was given up: its state is released
            # by the request's id.
            self.spawn_release(self._release, endpoint, None, f"{pending.id}.{attempt}")

    def release_prefill_state(self, pending: PendingCompletion) -> None:
        """Starts the release of the state that waits for the request."""
        if pending.state is not None and pending.prefill_endpoint is not None:
            self.spawn_release(self._release, pending.prefill_endpoint, pending.state, pending.id)
        pending.state = pending.prefill_endpoint = None

    def is_guarded(self, pending: PendingCompletion) -> bool:
        """Whether the deadline guard still applies: not to a stream that has started."""
        return not (pending.stream_started and pending.completion.stream)

    def after_request(self, pending: PendingCompletion) -> None:
        """Tells the cell router how the request ended, and closes a cell that is no longer used."""
        kind = (
            pending.final_response.kind
            if pending.final_response is not None
            else ResponseKind.CLIENT_DISCONNECTED
        )
        self.cell_router.finish(
            now(), pending.admission, {ResponseKind.SUCCEEDED: False, ResponseKind.REJECTED: True}.get(kind)
        )
        if pending.admission.cell in self.cell_schedulers:
            self.cell_registry.close_if_unused(pending.admission.cell)

    async def _check_for_poison(self, pending: PendingCompletion, endpoint: Endpoint) -> None:
        """Counts an engine that went down with the request in progress against it: it may be the cause.

        The request waits for the check, and so does its state: at most ENGINE_CHECK_SECONDS, and not once its
        client has disconnected.
        """
        is_up = await is_engine_up(self.engine_client, endpoint.address)
        if (
            is_up
            or pending.final_response is not None
            or not self.cell_router.record_engine_loss(now(), pending.admission, endpoint.index)
        ):
            return
        self.log.error(
            "request_poisonous", request=pending.id, tenant=pending.completion.tenant, engine=endpoint.name
        )
        self.counts["poisonous"] += 1
        self.finish(pending, FinalResponse(ResponseKind.INDETERMINATE, "poisonous", POISONOUS_MESSAGE))

    async def _release(self, endpoint: Endpoint, state: PrefillState | None, request: str) -> None:
        await release_with_retries(
            self.engine_client, endpoint, state, request, self.settings.state_release_timeout, self.log
        )
