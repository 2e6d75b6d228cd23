"""The front for the completions API: admits requests to cells and runs their attempts at engines.

It makes no scheduling decisions; these are made by the cells' schedulers. Related modules are
`completion_admission` (admission requests and refusals), `cell_scheduler_registry` (the cells' schedulers),
`cell_status` (the status page), `prefill_state_release` (the release of prefill states) and `engine_check`
(the check whether an engine is still up).
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
from runspool.service.engine_check import BROKEN_CONNECTION_CAUSES, is_engine_up
from runspool.service.pending_completion import PendingCompletion, forwarded_headers
from runspool.service.pending_request import Endpoint, FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.prefill_state_release import release_with_retries
from runspool.service.request_executor import RequestExecutor
from runspool.service.response_relay import ResponseRelay
from runspool.wire.completions import CompletionRequest

# Maximum number of session and prompt prefix names to which the front assigns indices for the schedulers.
# Beyond it, the least recently used name is forgotten.
MAX_INTERNED_NAMES = 200_000
MAX_REQUEST_BYTES = 256 << 20  # total size of the open requests' bodies, a budget that the cells share
# Maximum number of shortages, which are cells with too few engines of a role, that one log line lists. For
# the rest only their number is logged.
MAX_LOGGED_SHORTAGES = 20


class Front(RequestExecutor[PendingCompletion]):
    """Admits completion requests to cells and carries out the decisions of the cells' schedulers."""

    def __init__(
        self,
        config: FrontConfig,
        recording_path: Path | None = None,
        seed: int | None = None,
        cell_map: CellMap | None = None,
        adopted_unix_ms: int = 0,
    ) -> None:
        """Initialize a front without requests.

        Args:
            config: The front's own configuration and that of the whole fleet (`config.house`).
            recording_path: Where the schedulers' events are recorded; None to record nothing.
            seed: Seed of the random numbers; None for that of the configuration.
            cell_map: The cell map; None if the whole fleet is one cell.
            adopted_unix_ms: When this front adopted the cell map, in milliseconds since the epoch.
        """
        self.config = config
        super().__init__(
            config.routing_settings(),
            {name: index for index, name in enumerate(config.house.kinds)},
            {name: index for index, name in enumerate(config.house.zones)},
            MAX_INTERNED_NAMES,
        )
        self.request_class_indices = {name: index for index, name in enumerate(config.house.tariffs)}
        self.tenant_indices = {name: index for index, name in enumerate(config.house.tenants)}
        self.engine_client = CompletionsEngineClient(
            config.front.engines,
            now,
            config.front.bounds.stream_silence_ms,
            resources=self.connection_resources,
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
        self.scheduler_registry = CellSchedulerRegistry(
            self.cell_router, self.endpoint_registry, config.house.zones, self, self.seed, recording_path
        )
        self.cell_schedulers = self.scheduler_registry.schedulers

    # Requests, cell maps and endpoint list updates.

    def submit(
        self, completion: CompletionRequest, listener: ResponseListener[str], received_at: int
    ) -> PendingCompletion:
        """Accept a request and submit it to its cell's scheduler.

        Every accepted request receives exactly one final response. Raise RequestNotAcceptedError if the
        front is shutting down or the cell router refuses the request.
        """
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
        """Return the scheduler's representation of the request."""
        completion = pending.completion
        request_class = self.request_class_of(pending)
        return Request(
            index=pending.index,
            request_class=request_class,
            tenant=None if completion.tenant is None else self.tenant_indices[completion.tenant],
            # The first argument distinguishes the names of sessions from those of prompt prefixes.
            session=self.intern_name("s", completion.session, accepted_at),
            prefix=self.intern_name("b", completion.prefix, accepted_at),
            prompt_tokens=completion.prompt_tokens,
            prefix_tokens=completion.prefix_tokens,
            max_output_tokens=completion.max_output_tokens,
            expected_output_tokens=completion.expected_output_tokens,
            # The response slack is subtracted because the response must reach the client before the deadline.
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
            error = not_accepted_error(admission)
            self.counts[f"turned_{error.code}"] += 1
            raise error
        return admission

    def cell_map_changed(self, cell_map: CellMap, adopted_unix_ms: int) -> None:
        """Adopt a newer cell map. Requests that have been accepted stay in their cells."""
        if not self.cell_router.adopt(cell_map, adopted_unix_ms):
            return
        self.log.info("cell_map_adopted", version=cell_map.version, cells=len(cell_map.cell_names()))
        self.publish_engines()
        self.scheduler_registry.close_unused()

    def status_page(self) -> dict[str, Any]:
        """Return the status page for operators: the state of this front's cells and tenant migrations."""
        return cell_status(self.config.front.name, self.cell_router, now(), unix_ms())

    def publish_engines(self) -> None:
        """Assign the engines to cells and update the cells' schedulers.

        A cell that is no longer on the cell map keeps those of its engines that the endpoint list still
        states as ready for requests.
        """
        before = self.cell_router.placement.shortages
        shortages = self.scheduler_registry.place_engines().shortages
        if shortages != before and self.cell_router.cell_map.version:
            self.log.warning(
                "cells_incomplete",
                what=shortages[:MAX_LOGGED_SHORTAGES],
                more=max(0, len(shortages) - MAX_LOGGED_SHORTAGES),
            )
        self.scheduler_registry.update_schedulers()

    def cell_scheduler(self, name: str) -> CellScheduler:
        """Return a cell's scheduler; create it if there is none."""
        return self.scheduler_registry.get_or_create(name)

    @property
    def first_driver(self) -> SchedulerDriver:
        """The driver of the oldest scheduler, which at startup is that of the cell map's first cell.

        A scheduler driver runs a scheduler and carries its actions out. Without a cell map there is only one.
        """
        return next(iter(self.cell_schedulers.values())).driver

    def subscription_lost(self) -> None:
        """Report a lost connection to discovery to the schedulers, which then subscribe again."""
        for scheduler in self.cell_schedulers.values():
            scheduler.subscription_lost()

    # Protocol hooks.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        """Return the scheduler of a cell, or None if it is closed."""
        return self.cell_schedulers.get(name)

    def scheduler_for(self, pending: PendingCompletion) -> CellScheduler | None:
        """Return the scheduler of the request's cell, or None if it is closed."""
        return self.cell_schedulers.get(pending.admission.cell)

    def request_class_of(self, pending: PendingCompletion) -> int:
        """Return the index of the request's class in the settings."""
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
        """Run one attempt and return its result. If it is cancelled, its connection is closed."""
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
        if result.failure_cause in BROKEN_CONNECTION_CAUSES:
            await self._check_for_poisonous_request(pending, endpoint)
        return result

    def set_prefill_endpoint(
        self, pending: PendingCompletion, endpoint: Endpoint | None, state: PrefillState | None
    ) -> None:
        """Record the prefill state and the engine that keeps it; both are None if there is no state."""
        pending.prefill_endpoint, pending.state = endpoint, state

    def after_attempt(
        self, pending: PendingCompletion, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Start the release of the state that an abandoned prefill attempt may have left at its engine."""
        if endpoint.role is Role.PREFILL and result.status in ENDED_LOCALLY:
            # The prefill may have completed at the engine although this front did not receive the response.
            # The state's name is unknown then, so it is released by the request id of the attempt.
            self.spawn_release(self._release, endpoint, None, f"{pending.id}.{attempt}")

    def release_prefill_state(self, pending: PendingCompletion) -> None:
        """Start the release of the request's prefill state, if there is one."""
        if pending.state is not None and pending.prefill_endpoint is not None:
            self.spawn_release(self._release, pending.prefill_endpoint, pending.state, pending.id)
        pending.state = pending.prefill_endpoint = None

    def deadline_guard_applies(self, pending: PendingCompletion) -> bool:
        """Return whether the deadline guard still applies.

        It does not apply to a response that is already being streamed to its client. It does apply to a
        response that is buffered until it is complete.
        """
        return not (pending.stream_started and pending.completion.stream)

    def after_request(self, pending: PendingCompletion) -> None:
        """Report to the cell router how the request ended, and close its cell's scheduler if it is unused."""
        kind = (
            pending.final_response.kind
            if pending.final_response is not None
            else ResponseKind.CLIENT_DISCONNECTED
        )
        self.cell_router.finish(
            now(), pending.admission, {ResponseKind.SUCCEEDED: False, ResponseKind.REJECTED: True}.get(kind)
        )
        if pending.admission.cell in self.cell_schedulers:
            self.scheduler_registry.close_if_unused(pending.admission.cell)

    async def _check_for_poisonous_request(self, pending: PendingCompletion, endpoint: Endpoint) -> None:
        """Count an engine that went down during the request against the request, which may be the cause.

        Once the number of engines that went down has reached `CellMap.poison_after`, the request is answered
        as poisonous and not attempted again. The request and the release of its state wait until the check
        has ended, which takes at most ENGINE_CHECK_TIMEOUT seconds (see `engine_check`). The check is
        cancelled when the client disconnects.
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
