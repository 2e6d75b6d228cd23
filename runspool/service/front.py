"""The house's front: what it takes from clients and says to engines, and its cells. Decides nothing."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
import xxhash

from runspool.cells.cell_map import CellMap
from runspool.cells.cell_router import AdmissionRefusal, AdmissionRequest, CellAdmission, CellRouter
from runspool.cells.engine_placement import EnginePlace
from runspool.config import FrontConfig
from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.completions_client import CompletionsEngineClient, PrefillState
from runspool.engines.failure_classification import FailureCause
from runspool.engines.send_permit import SendPermit
from runspool.runtime.interning import stable_hash
from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.request_lifecycle import ENDED_LOCALLY
from runspool.scheduling.types import EngineRecord, EngineState, Request, Role
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now, unix_ms
from runspool.service.deadlines import first_token_budget
from runspool.service.event_recorder import EventRecorder
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import Endpoint, FinalResponse, RequestNotAcceptedError, ResponseKind
from runspool.service.request_executor import RequestExecutor
from runspool.service.response_relay import ResponseRelay
from runspool.units import tenths
from runspool.wire.completions import CompletionRequest

MAX_INTERNED_NAMES = 200_000  # texts' names remembered before the one unseen for longest is forgotten
RELEASE_TIMEOUT = 5_000  # tenths of a millisecond for one call, or the house's time to let go if that is less
RELEASE_RETRY_DELAYS = (0.002, 0.004, 0.05, 0.25)  # seconds before such a call is made again
ENGINE_CHECK_SECONDS = 0.1  # seconds for the look whether an engine is down
MAX_REQUEST_BYTES = 256 << 20  # of queries held at once, shared out to cells


REFUSALS = {
    AdmissionRefusal.CELL_FULL: (
        "cell_full",
        "this cell has all the queries here it may; come later",
        ResponseKind.REJECTED,
    ),
    AdmissionRefusal.FRONT_FULL: (
        "front_full",
        "this front holds all the queries it may; come later or ask another",
        ResponseKind.REJECTED,
    ),
    AdmissionRefusal.POISONOUS: (
        "poisonous",
        "engines were lost with this query; it is sent nowhere",
        ResponseKind.INDETERMINATE,
    ),
    AdmissionRefusal.EARLIER_CELL_UNKNOWN: (
        "unsure",
        "its tenant moves, and an earlier try may have run elsewhere",
        ResponseKind.INDETERMINATE,
    ),
}
# A connection that broke with the query out: the engine may have gone down, and may have by this query.
CONNECTION_BROKEN = {
    FailureCause.CLOSED_BEFORE_RESPONSE,
    FailureCause.CLOSED_DURING_RESPONSE,
    FailureCause.STREAM_INTERRUPTED,
}

# An engine's word that it does not know the call: it frees states by its own time-out; to ask again is vain.
RELEASE_UNSUPPORTED = {FailureCause.UNSUPPORTED_ENDPOINT, FailureCause.REQUEST_REJECTED}


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
        self.recording_path = recording_path
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
        self.cell_schedulers: dict[str, CellScheduler] = {}
        self.cell_scheduler(self.cell_router.cell_map.names()[0])

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
        deadline = received_at + completion.time_limit
        name = f"{self.config.front.name}-{self.started_at:x}-{index}"
        pending = PendingCompletion(
            index,
            name,
            received_at,
            deadline,
            listener,
            completion=completion,
            headers=self._forwarded_headers(completion),
            admission=admission,
        )
        request = Request(
            index=index,
            request_class=self.request_class_indices[completion.request_class],
            tenant=None if completion.tenant is None else self.tenant_indices[completion.tenant],
            session=self.intern_text("s", completion.session, accepted_at),
            prefix=self.intern_text("b", completion.prefix, accepted_at),
            prompt_tokens=completion.prompt_tokens,
            prefix_tokens=completion.prefix_tokens,
            max_output_tokens=completion.max_output_tokens,
            expected_output_tokens=completion.expected_output_tokens,
            # The response still has to reach the client within its time.
            time_budget=first_token_budget(
                deadline - self.settings.response_slack - accepted_at,
                not completion.stream,
                completion.expected_output_tokens,
                self.settings.request_classes[self.request_class_indices[completion.request_class]],
            ),
            is_client_retry=completion.is_client_retry,
            is_continuation=completion.is_continuation,
            session_hash=stable_hash(completion.session or ""),
            prefix_hash=stable_hash(completion.prefix or ""),
        )
        self.log.debug(
            "request_accepted",
            request=name,
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

    def _admit(self, completion: CompletionRequest) -> CellAdmission:
        class_config = self.config.house.tariffs[completion.request_class]
        # An idempotency key that all engines know binds the request to no cell.
        is_bound = class_config.effect == "ticketed" and class_config.group != "all"
        fingerprint = xxhash.xxh64_hexdigest(
            f"{completion.tenant}\0".encode() + bytes(completion.body["prompt"])
        )
        admission_request = AdmissionRequest(
            completion.tenant,
            completion.session,
            completion.idempotency_key if is_bound else None,
            completion.is_client_retry or completion.is_continuation,
            tenths(class_config.window_ms + self.config.front.bounds.longest_limit_ms) if is_bound else 0,
            completion.body_bytes,
            fingerprint,
        )
        admission = self.cell_router.admit(now(), unix_ms(), admission_request)
        if isinstance(admission, AdmissionRefusal):
            code, message, kind = REFUSALS[admission]
            self.counts[f"turned_{code}"] += 1
            raise RequestNotAcceptedError(code, message, kind)
        return admission

    def cell_map_changed(self, cell_map: CellMap, adopted_unix_ms: int) -> None:
        """Adopts a newer cell map. Requests that were accepted stay in their cells."""
        if not self.cell_router.adopt(cell_map, adopted_unix_ms):
            return
        self.log.info("cell_map_adopted", version=cell_map.version, cells=len(cell_map.names()))
        self.publish_engines()
        for name, scheduler in list(self.cell_schedulers.items()):
            self._close_if_unused(name, scheduler)

    def cells(self) -> dict[str, Any]:
        """Where this front stands with its cells and moves, for operators."""
        router, at, wall = self.cell_router, now(), unix_ms()
        return {
            "front": self.config.front.name,
            "version": router.cell_map.version,
            "adopted_unix_ms": router.adopted_unix_ms,
            "lacks": router.placement.shortages,
            "panicking": sorted(router.panicking_cells),
            "moves": [
                {
                    "id": move.id,
                    "tenant": move.tenant,
                    "source": move.source,
                    "target": move.target,
                    "stage": router.migrations.stage(at, wall, move).name.lower(),
                    "out": router.migrations.in_flight[move.tenant, move.source],
                }
                for move in router.cell_map.moves
            ],
            "cells": {
                name: {
                    "engines": sorted(there),
                    "queries": router.request_budget.used.get(name, 0),
                    "overflow": round(router.overflow_policy.state(name).overflow_share, 3),
                    "lent": router.overflow_policy.state(name).requests_at_reserve,
                }
                for name, there in router.placement.cells.items()
            },
        }

    def publish_engines(self) -> None:
        """Gives each cell's scheduler its engines. A cell that is no longer on the map keeps those it had."""
        zones = self.config.house.zones
        places = [
            EnginePlace(
                name,
                self.endpoints[record.engine].role,
                zones[record.zone] if record.zone >= 0 else "",
                record.rack,
            )
            for name, record in self.engine_records.items()
        ]
        before = self.cell_router.placement.shortages
        not_ready = {
            name for name, record in self.engine_records.items() if record.state != EngineState.READY
        }
        placement = self.cell_router.update_engines(places, not_ready)
        if placement.shortages != before and self.cell_router.cell_map.version:
            self.log.warning(
                "cells_incomplete", what=placement.shortages[:20], more=max(0, len(placement.shortages) - 20)
            )
        for name, scheduler in self.cell_schedulers.items():
            scheduler.update_engines(self._engines_in_cell(name, scheduler))

    def _engines_in_cell(self, name: str, scheduler: CellScheduler) -> dict[int, EngineRecord]:
        names = self.cell_router.placement.cells.get(name)
        if names is None:
            return {
                record.engine: record
                for record in self.engine_records.values()
                if record.engine in scheduler.engines and record.state == EngineState.READY
            }
        # In one order in every process: that of a set changes, and with it which request gets which draw.
        return {self.engine_records[engine].engine: self.engine_records[engine] for engine in sorted(names)}

    def cell_scheduler(self, name: str) -> CellScheduler:
        """A cell's scheduler, made when its first request comes."""
        scheduler = self.cell_schedulers.get(name)
        if scheduler is None:
            # To the other cells that share its engines, a cell is like another front.
            settings = replace(
                self.settings,
                front_count=round(self.settings.front_count * self.cell_router.cells_per_engine()),
            )
            is_first = not self.cell_schedulers and name == self.cell_router.cell_map.names()[0]
            path = self.recording_path and (
                self.recording_path
                if is_first
                else self.recording_path.with_name(f"{self.recording_path.name}.{name}")
            )
            scheduler = CellScheduler(
                name,
                settings,
                self.seed if is_first else self.seed ^ stable_hash(name),
                self,
                EventRecorder(path),
            )
            self.cell_schedulers[name] = scheduler
            scheduler.update_engines(self._engines_in_cell(name, scheduler))
        return scheduler

    def _close_if_unused(self, name: str, scheduler: CellScheduler) -> None:
        if not scheduler.open_requests and name not in self.cell_router.cell_map.names():
            scheduler.recorder.close()
            del self.cell_schedulers[name]

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
        scheduler = self.cell_schedulers.get(pending.admission.cell)
        if scheduler is not None:
            self._close_if_unused(scheduler.name, scheduler)

    async def _check_for_poison(self, pending: PendingCompletion, endpoint: Endpoint) -> None:
        """Counts an engine that went down with the request in progress against it: it may be the cause.

        The request waits for the check, and so does its state: at most ENGINE_CHECK_SECONDS, and not once its
        client has disconnected.
        """
        is_up = False
        with anyio.move_on_after(ENGINE_CHECK_SECONDS):
            is_up = await self.engine_client.accepts_connections(endpoint.address)
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
        self.finish(
            pending,
            FinalResponse(ResponseKind.INDETERMINATE, "poisonous", REFUSALS[AdmissionRefusal.POISONOUS][1]),
        )

    async def _release(self, endpoint: Endpoint, state: PrefillState | None, request: str) -> None:
        """Releases a state; repeated, soon at first, as a call lost on its way would leave it reserved."""
        for delay in (*RELEASE_RETRY_DELAYS, 0.0):
            timeout = min(RELEASE_TIMEOUT, self.settings.state_release_timeout)
            failure = await self.engine_client.release_state(endpoint.address, state, request, timeout)
            if failure is None or failure in RELEASE_UNSUPPORTED:
                return
            await anyio.sleep(delay)
        self.log.warning("release_failed", request=request, engine=endpoint.name)

    def _forwarded_headers(self, completion: CompletionRequest) -> dict[str, str]:
        headers = {
            "Runspool-Mark": completion.client_attempt,
            "Runspool-Tariff": completion.request_class,
            "Runspool-Tenant": completion.tenant,
            "Runspool-Ticket": completion.idempotency_key,
            "Runspool-Front": self.config.front.name,
        }
        return {name: value for name, value in headers.items() if value}
