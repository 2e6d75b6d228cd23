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

NAMES_KNOWN = 200_000  # texts' names remembered before the one unseen for longest is forgotten
RELEASE_LIMIT = 5_000  # tenths of a millisecond for one call, or the house's time to let go if that is less
RELEASE_RESTS = (0.002, 0.004, 0.05, 0.25)  # seconds before such a call is made again
LOOK_LIMIT = 0.1  # seconds for the look whether an engine is down
TAKEN_BYTES = 256 << 20  # of queries held at once, shared out to cells


TURNED = {
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
BROKE = {
    FailureCause.CLOSED_BEFORE_RESPONSE,
    FailureCause.CLOSED_DURING_RESPONSE,
    FailureCause.STREAM_INTERRUPTED,
}

# An engine's word that it does not know the call: it frees states by its own time-out; to ask again is vain.
WONT = {FailureCause.UNSUPPORTED_ENDPOINT, FailureCause.REQUEST_REJECTED}


class Front(RequestExecutor[PendingCompletion]):
    """The house's own way in and out, and its cells' desks."""

    def __init__(
        self,
        terms: FrontConfig,
        tape: Path | None = None,
        seed: int | None = None,
        cell_map: CellMap | None = None,
        adopted_unix_ms: int = 0,
    ) -> None:
        self.config = terms
        super().__init__(
            terms.routing_settings(),
            {name: at for at, name in enumerate(terms.house.kinds)},
            {name: at for at, name in enumerate(terms.house.zones)},
            NAMES_KNOWN,
        )
        self.tape_file = tape
        self.tariffs = {name: at for at, name in enumerate(terms.house.tariffs)}
        self.tenants = {name: at for at, name in enumerate(terms.house.tenants)}
        self.engine_client = CompletionsEngineClient(
            terms.front.engines, now, terms.front.bounds.stream_silence_ms
        )
        self.life = now()
        self.seed = terms.front.seed if seed is None else seed
        self.cell_router = CellRouter(
            cell_map or CellMap(version=0, way="fixed"),
            terms.front.bounds.queries,
            TAKEN_BYTES,
            Random(self.seed ^ 0x5EED).random,
            adopted_unix_ms,
        )
        self.quarters: dict[str, CellScheduler] = {}
        self.quarter(self.cell_router.cell_map.names()[0])

    # What comes in.

    def submit(self, wish: CompletionRequest, reply: ResponseListener[str], came: int) -> PendingCompletion:
        """Takes a query: from here on it is owed one final answer. Raises Refused where it is not taken."""
        if self.closing:
            raise RequestNotAcceptedError("closing", "this front is stopping; ask another")
        stay = self._let_in(wish)
        index = self.accepted_count
        self.accepted_count += 1
        at = now()
        limit = came + wish.time_limit
        name = f"{self.config.front.name}-{self.life:x}-{index}"
        pending = PendingCompletion(
            index, name, came, limit, reply, completion=wish, headers=self._passed_on(wish), admission=stay
        )
        query = Request(
            index=index,
            request_class=self.tariffs[wish.request_class],
            tenant=None if wish.tenant is None else self.tenants[wish.tenant],
            session=self.intern_text("s", wish.session, at),
            prefix=self.intern_text("b", wish.prefix, at),
            prompt_tokens=wish.prompt_tokens,
            prefix_tokens=wish.prefix_tokens,
            max_output_tokens=wish.max_output_tokens,
            expected_output_tokens=wish.expected_output_tokens,
            # The answer still has to reach the client within its time.
            time_budget=first_token_budget(
                limit - self.settings.response_slack - at,
                not wish.stream,
                wish.expected_output_tokens,
                self.settings.request_classes[self.tariffs[wish.request_class]],
            ),
            is_client_retry=wish.is_client_retry,
            is_continuation=wish.is_continuation,
            session_hash=stable_hash(wish.session or ""),
            prefix_hash=stable_hash(wish.prefix or ""),
        )
        self.log.debug(
            "request_accepted",
            request=name,
            request_class=wish.request_class,
            tenant=wish.tenant,
            prompt_tokens=wish.prompt_tokens,
            time_limit=wish.time_limit,
            client_attempt=wish.client_attempt,
        )
        self.accept(pending)
        self.quarter(stay.cell)
        self.notify_scheduler(self.scheduler_for(pending), index, CellScheduler.submit, query)
        return pending

    def _let_in(self, wish: CompletionRequest) -> CellAdmission:
        row = self.config.house.tariffs[wish.request_class]
        # A ticket that all engines know binds no cell.
        bound = row.effect == "ticketed" and row.group != "all"
        print_ = xxhash.xxh64_hexdigest(f"{wish.tenant}\0".encode() + bytes(wish.body["prompt"]))
        asked = AdmissionRequest(
            wish.tenant,
            wish.session,
            wish.idempotency_key if bound else None,
            wish.is_client_retry or wish.is_continuation,
            tenths(row.window_ms + self.config.front.bounds.longest_limit_ms) if bound else 0,
            wish.body_bytes,
            print_,
        )
        stay = self.cell_router.admit(now(), unix_ms(), asked)
        if isinstance(stay, AdmissionRefusal):
            code, message, kind = TURNED[stay]
            self.counts[f"turned_{code}"] += 1
            raise RequestNotAcceptedError(code, message, kind)
        return stay

    def cell_map_changed(self, chart: CellMap, since: int) -> None:
        """A newer cell map. What has been taken stays where it is."""
        if not self.cell_router.adopt(chart, since):
            return
        self.log.info("cell_map_adopted", version=chart.version, cells=len(chart.names()))
        self.publish_engines()
        for name, quarter in list(self.quarters.items()):
            self._close_if_left(name, quarter)

    def cells(self) -> dict[str, Any]:
        """Where this front stands with its cells and moves, for operators."""
        keeping, at, wall = self.cell_router, now(), unix_ms()
        return {
            "front": self.config.front.name,
            "version": keeping.cell_map.version,
            "adopted_unix_ms": keeping.adopted_unix_ms,
            "lacks": keeping.placement.shortages,
            "panicking": sorted(keeping.panicking_cells),
            "moves": [
                {
                    "id": move.id,
                    "tenant": move.tenant,
                    "source": move.source,
                    "target": move.target,
                    "stage": keeping.migrations.stage(at, wall, move).name.lower(),
                    "out": keeping.migrations.in_flight[move.tenant, move.source],
                }
                for move in keeping.cell_map.moves
            ],
            "cells": {
                name: {
                    "engines": sorted(there),
                    "queries": keeping.request_budget.used.get(name, 0),
                    "overflow": round(keeping.overflow_policy.state(name).overflow_share, 3),
                    "lent": keeping.overflow_policy.state(name).requests_at_reserve,
                }
                for name, there in keeping.placement.cells.items()
            },
        }

    def publish_engines(self) -> None:
        """Tells each cell's desk what engines it has. One that the map has no more keeps those it had."""
        zones = self.config.house.zones
        places = [
            EnginePlace(
                name, self.endpoints[line.engine].role, zones[line.zone] if line.zone >= 0 else "", line.rack
            )
            for name, line in self.engine_records.items()
        ]
        before = self.cell_router.placement.shortages
        off = {name for name, line in self.engine_records.items() if line.state != EngineState.READY}
        placed = self.cell_router.update_engines(places, off)
        if placed.shortages != before and self.cell_router.cell_map.version:
            self.log.warning(
                "cells_incomplete", what=placed.shortages[:20], more=max(0, len(placed.shortages) - 20)
            )
        for name, quarter in self.quarters.items():
            quarter.update_engines(self._engines_of(name, quarter))

    def _engines_of(self, name: str, quarter: CellScheduler) -> dict[int, EngineRecord]:
        there = self.cell_router.placement.cells.get(name)
        if there is None:
            return {
                line.engine: line
                for line in self.engine_records.values()
                if line.engine in quarter.engines and line.state == EngineState.READY
            }
        # In one order everywhere: a set's changes from life to life, and with it what is drawn for whom.
        return {self.engine_records[engine].engine: self.engine_records[engine] for engine in sorted(there)}

    def quarter(self, name: str) -> CellScheduler:
        """A cell's desk, made when its first query comes."""
        found = self.quarters.get(name)
        if found is None:
            # One cell of several that share engines is to the others like another front.
            terms = replace(
                self.settings,
                front_count=round(self.settings.front_count * self.cell_router.cells_per_engine()),
            )
            first = not self.quarters and name == self.cell_router.cell_map.names()[0]
            file = self.tape_file and (
                self.tape_file if first else self.tape_file.with_name(f"{self.tape_file.name}.{name}")
            )
            found = CellScheduler(
                name, terms, self.seed if first else self.seed ^ stable_hash(name), self, EventRecorder(file)
            )
            self.quarters[name] = found
            found.update_engines(self._engines_of(name, found))
        return found

    def _close_if_left(self, name: str, quarter: CellScheduler) -> None:
        if not quarter.open_requests and name not in self.cell_router.cell_map.names():
            quarter.recorder.close()
            del self.quarters[name]

    @property
    def desk(self) -> SchedulerDriver:
        """That of the only cell, or of the first."""
        return next(iter(self.quarters.values())).driver

    def list_lost(self) -> None:
        for quarter in self.quarters.values():
            quarter.subscription_lost()

    # How it is carried out.

    def scheduler_named(self, name: str) -> CellScheduler | None:
        return self.quarters.get(name)

    def scheduler_for(self, pending: PendingCompletion) -> CellScheduler | None:
        return self.quarters.get(pending.admission.cell)

    def request_class_of(self, pending: PendingCompletion) -> int:
        return self.tariffs[pending.completion.request_class]

    async def run_exchange(
        self,
        pending: PendingCompletion,
        endpoint: Endpoint,
        attempt: int,
        sent_at: int,
        limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
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
        if result.failure_cause in BROKE:
            await self._look_for_poison(pending, endpoint)
        return result

    def set_prefill_endpoint(
        self, pending: PendingCompletion, endpoint: Endpoint | None, state: PrefillState | None
    ) -> None:
        pending.prefill_endpoint, pending.state = endpoint, state

    def after_attempt(
        self, pending: PendingCompletion, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        if endpoint.role is Role.PREFILL and result.status in ENDED_LOCALLY:
            # The read may have ended while its answer was given up; named by its request, its state goes.
            self.spawn_release(self._let_go, endpoint, None, f"{pending.id}.{attempt}")

    def release_prefill_state(self, pending: PendingCompletion) -> None:
        if pending.state is not None and pending.prefill_endpoint is not None:
            self.spawn_release(self._let_go, pending.prefill_endpoint, pending.state, pending.id)
        pending.state = pending.prefill_endpoint = None

    def is_guarded(self, pending: PendingCompletion) -> bool:
        return not (pending.stream_started and pending.completion.stream)

    def after_request(self, pending: PendingCompletion) -> None:
        kind = (
            pending.final_response.kind
            if pending.final_response is not None
            else ResponseKind.CLIENT_DISCONNECTED
        )
        self.cell_router.finish(
            now(), pending.admission, {ResponseKind.SUCCEEDED: False, ResponseKind.REJECTED: True}.get(kind)
        )
        quarter = self.quarters.get(pending.admission.cell)
        if quarter is not None:
            self._close_if_left(quarter.name, quarter)

    async def _look_for_poison(self, pending: PendingCompletion, endpoint: Endpoint) -> None:
        """An engine that is down since the query was there counts against the query; it may be its doing.

        The query waits for it, and its state does: no longer than LOOK_LIMIT, nor once its client has left.
        """
        up = False
        with anyio.move_on_after(LOOK_LIMIT):
            up = await self.engine_client.accepts_connections(endpoint.address)
        if (
            up
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
            FinalResponse(ResponseKind.INDETERMINATE, "poisonous", TURNED[AdmissionRefusal.POISONOUS][1]),
        )

    async def _let_go(self, endpoint: Endpoint, state: PrefillState | None, request: str) -> None:
        """Against a call lost on its way pinning the state: it is repeated, soon at first."""
        for rest in (*RELEASE_RESTS, 0.0):
            limit = min(RELEASE_LIMIT, self.settings.state_release_timeout)
            mishap = await self.engine_client.release_state(endpoint.address, state, request, limit)
            if mishap is None or mishap in WONT:
                return
            await anyio.sleep(rest)
        self.log.warning("release_failed", request=request, engine=endpoint.name)

    def _passed_on(self, wish: CompletionRequest) -> dict[str, str]:
        said = {
            "Runspool-Mark": wish.client_attempt,
            "Runspool-Tariff": wish.request_class,
            "Runspool-Tenant": wish.tenant,
            "Runspool-Ticket": wish.idempotency_key,
            "Runspool-Front": self.config.front.name,
        }
        return {name: value for name, value in said.items() if value}
