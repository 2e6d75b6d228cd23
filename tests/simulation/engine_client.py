"""The client through which a simulated front calls the engines, in place of the service's HTTP client."""

from __future__ import annotations

import math
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, TypedDict, cast

import anyio
import anyio.lowlevel

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.completions_client import PrefillState
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.send_permit import SendPermit
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptStatus
from tests.simulated_clock import now
from tests.simulation import recorded_values as values
from tests.simulation.context import SimulationContext, sleep
from tests.simulation.engines import EngineDownError, SimulatedEngine

# Durations are in tenths of a millisecond; pairs are ranges of random durations.
CONNECT_TIMEOUT = 2_500
# Time after which a connection to an engine that is down fails: it is mostly refused, or else times out.
CONNECT_REFUSED_AFTER = [1, 1, CONNECT_TIMEOUT]
ERROR_RESPONSE_DURATION = 3  # until an engine rejects or fails an attempt
MAX_CONNECT_DURATION = 5
TRANSFER_DURATION = (10, 200)  # of a state from its prefill engine to the decode engine
FIRST_TOKEN_DURATION = (50, 300)  # from the state's arrival at the decode engine to the first token

PREFILL_DURATION_MULTIPLE = (1, 1.5)  # range of a prefill's duration as a multiple of the usual one
# Fraction of the prefills closed by the front that had just completed and thus reserve a state.
COMPLETED_WHEN_CLOSED_SHARE = 0.3
# Maximum number of lost release calls for one state; with more, it could not be released in time.
MAX_LOST_RELEASES = 2
TOKENS_BEFORE_STREAM_CUT = 2  # a cut stream delivers one token more than this


class AttemptFault(Enum):
    """A way in which an attempt fails at an engine that is up."""

    OVERLOADED = auto()
    SERVER_ERROR = auto()
    CONNECTION_CUT = auto()
    NO_RESPONSE = auto()
    SERVER_ERROR_AFTER_EXECUTION = auto()
    NO_RESPONSE_AFTER_EXECUTION = auto()
    STREAM_CUT = auto()


# The share of each fault among the failing attempts; `_draw_fault` depends on the order of the entries.
PREFILL_FAULT_SHARES = {
    AttemptFault.OVERLOADED: 0.3,
    AttemptFault.SERVER_ERROR: 0.3,
    AttemptFault.CONNECTION_CUT: 0.2,
    AttemptFault.NO_RESPONSE: 0.2,
}
DECODE_FAULT_SHARES = {
    AttemptFault.OVERLOADED: 0.25,
    AttemptFault.SERVER_ERROR: 0.1,
    AttemptFault.SERVER_ERROR_AFTER_EXECUTION: 0.1,
    AttemptFault.CONNECTION_CUT: 0.2,
    AttemptFault.NO_RESPONSE: 0.1,
    AttemptFault.NO_RESPONSE_AFTER_EXECUTION: 0.1,
    AttemptFault.STREAM_CUT: 0.15,
}
# Faults that occur before the engine does any work on the attempt.
IMMEDIATE_FAULTS = (AttemptFault.OVERLOADED, AttemptFault.SERVER_ERROR)

PREFILL_FAULT_CAUSES = {
    AttemptFault.OVERLOADED: FailureCause.OVERLOADED,
    AttemptFault.SERVER_ERROR: FailureCause.SERVER_ERROR,
    AttemptFault.CONNECTION_CUT: FailureCause.CLOSED_DURING_RESPONSE,
}
DECODE_FAULT_CAUSES = {
    AttemptFault.OVERLOADED: FailureCause.OVERLOADED,
    AttemptFault.SERVER_ERROR: FailureCause.SERVER_ERROR,
    AttemptFault.SERVER_ERROR_AFTER_EXECUTION: FailureCause.SERVER_ERROR,
    AttemptFault.CONNECTION_CUT: FailureCause.CLOSED_BEFORE_RESPONSE,
}


class ReservedState(TypedDict):
    """A reference to a prefill's state: the engine that reserves it and the id of the prefill's request."""

    engine: SimulatedEngine
    request: str


@dataclass
class EngineAttempt:
    """An attempt at an engine; `scope` enforces its time limit, `result` is returned to the front."""

    engine: SimulatedEngine
    request_id: str
    client_attempt: str
    result: AttemptResult
    scope: anyio.CancelScope

    def succeed(self, status: AttemptStatus) -> None:
        """Mark the result as successful with this status."""
        self.result.failure_cause = None
        self.result.status = status


# Serves an attempt at its engine and returns how it ended, as one of the ENDED_ constants of recorded_values.
Serve = Callable[[EngineAttempt], Coroutine[Any, Any, str]]


class SimulatedEngineClient:
    """One front's client for the engines; `source_address` is the address from which the front connects."""

    def __init__(
        self, context: SimulationContext, engines: list[SimulatedEngine], source_address: str
    ) -> None:
        self.context = context
        self.engines = engines
        self.source_address = source_address

    # The interface of the service's client.

    async def prefill(
        self,
        address: Address,
        request: PrefillState,
        headers: Mapping[str, str],
        time_limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Prefill a prompt."""
        return await self._run_attempt(
            address, values.STAGE_PREFILL, headers, time_limit, self._serve_prefill
        )

    async def decode(
        self,
        address: Address,
        request: PrefillState,
        state: PrefillState | None,
        headers: Mapping[str, str],
        time_limit: int,
        permit: SendPermit,
        max_output_tokens: int,
        listener: ResponseListener[str],
    ) -> AttemptResult:
        """Generate a response and stream it to the listener."""

        async def serve(attempt: EngineAttempt) -> str:
            return await self._serve_decode(attempt, cast("ReservedState | None", state), listener)

        return await self._run_attempt(address, values.STAGE_DECODE, headers, time_limit, serve)

    async def release_state(
        self, address: Address, state: PrefillState | None, request: str, time_limit: int
    ) -> FailureCause | None:
        """Release a state; some calls are lost and return a failure cause."""
        engine = self._engine_at(address)
        request_id = cast(ReservedState, state)["request"] if state is not None else request
        await anyio.lowlevel.checkpoint()
        if not engine.is_up or self._loses_release(engine, request_id):
            engine.lost_releases[request_id] += 1
            return FailureCause.CONNECT_FAILED
        engine.remove_state(request_id, "released", told=now())
        return None

    async def accepts_connections(self, address: Address) -> bool:
        """Return whether the engine is up."""
        await sleep(self.context.random.uniform(0, MAX_CONNECT_DURATION))
        return self._engine_at(address).is_up

    # Random draws.

    def _draw_fault(self, shares: Mapping[AttemptFault, float]) -> AttemptFault | None:
        """Return the fault of an attempt, or None, from one random draw."""
        failing_share = max(self.context.settings.failing_attempt_share, 1e-9)
        remaining = self.context.random.random() / failing_share
        for fault, share in shares.items():
            remaining -= share
            if remaining < 0:
                return fault
        return None

    def _loses_release(self, engine: SimulatedEngine, request_id: str) -> bool:
        return (
            engine.lost_releases[request_id] < MAX_LOST_RELEASES
            and self.context.random.random() < self.context.settings.lost_release_share
        )

    # Attempts.

    def _engine_at(self, address: Address) -> SimulatedEngine:
        """Return the engine at an address; its port is its index plus 1."""
        return self.engines[address[1] - 1]

    async def _run_attempt(
        self, address: Address, stage: str, headers: Mapping[str, str], time_limit: int, serve: Serve
    ) -> AttemptResult:
        """Run an attempt, and record its arrival and its end."""
        if time_limit <= 0:
            return AttemptResult(STATUS_BY_CAUSE[FailureCause.NO_TIME_LEFT], FailureCause.NO_TIME_LEFT)
        engine = self._engine_at(address)
        was_up = engine.is_up
        result = AttemptResult(
            AttemptStatus.TIMED_OUT, FailureCause.TIMED_OUT_BEFORE_RESPONSE, reached_engine=True
        )
        request_id, client_attempt = headers["X-Request-Id"], headers["Runspool-Mark"]
        engine.record_for_attempt(
            "arrived",
            client_attempt,
            request=request_id,
            head=now(),
            peer=self.source_address,
            stage=stage if was_up else values.STAGE_CONNECT,
            tariff=headers["Runspool-Tariff"],
        )
        how = values.ENDED_FRONT_CLOSED
        try:
            with anyio.CancelScope(deadline=anyio.current_time() + time_limit / SECOND) as scope:
                attempt = EngineAttempt(engine, request_id, client_attempt, result, scope)
                how = await (serve if was_up else self._refuse_connection)(attempt)
        except EngineDownError:
            how = values.ENDED_ENGINE_DOWN
            result.failure_cause = (
                FailureCause.STREAM_INTERRUPTED
                if result.output_tokens
                else FailureCause.CLOSED_BEFORE_RESPONSE
            )
        finally:
            closed_prefill = stage == values.STAGE_PREFILL and how == values.ENDED_FRONT_CLOSED
            if closed_prefill and was_up and engine.is_up:
                self._maybe_complete_closed_prefill(engine, request_id, client_attempt)
            engine.record_for_attempt("ended", client_attempt, request=request_id, how=how)
        if result.failure_cause:
            result.status = STATUS_BY_CAUSE[result.failure_cause]
        return result

    def _maybe_complete_closed_prefill(
        self, engine: SimulatedEngine, request_id: str, client_attempt: str
    ) -> None:
        """Reserve the state of some prefills that the front gave up, as if they had just completed."""
        if self.context.random.random() < COMPLETED_WHEN_CLOSED_SHARE:
            engine.reserve_state(request_id, 1, client_attempt)

    async def _refuse_connection(self, attempt: EngineAttempt) -> str:
        attempt.result.failure_cause = FailureCause.CONNECT_FAILED
        await sleep(self.context.random.choice(CONNECT_REFUSED_AFTER))
        return values.ENDED_CONNECT_REFUSED

    async def _serve_prefill(self, attempt: EngineAttempt) -> str:
        fault = self._draw_fault(PREFILL_FAULT_SHARES)
        engine, result = attempt.engine, attempt.result
        prompt_tokens = self.context.token_counts[attempt.client_attempt].prompt
        if fault in IMMEDIATE_FAULTS:
            await engine.work(ERROR_RESPONSE_DURATION)
        else:
            usual = prompt_tokens / engine.spec.prefill_rate * engine.slowdown / engine.speed_fraction
            await engine.work(usual * self.context.random.uniform(*PREFILL_DURATION_MULTIPLE))
        if fault is AttemptFault.NO_RESPONSE:
            await anyio.sleep_forever()
        if fault:
            result.failure_cause = PREFILL_FAULT_CAUSES[fault]
            return values.ENDED_OVERLOADED if fault is AttemptFault.OVERLOADED else values.ENDED_FAILED
        engine.reserve_state(attempt.request_id, prompt_tokens, attempt.client_attempt)
        attempt.succeed(AttemptStatus.PREFILL_COMPLETE)
        result.prompt_tokens = prompt_tokens
        reserved = ReservedState(engine=engine, request=attempt.request_id)
        result.state = cast(PrefillState, reserved)
        return values.ENDED_PREFILLED

    async def _serve_decode(
        self, attempt: EngineAttempt, state: ReservedState | None, listener: ResponseListener[str]
    ) -> str:
        fault = self._draw_fault(DECODE_FAULT_SHARES)
        engine, result = attempt.engine, attempt.result
        tokens = self.context.token_counts[attempt.client_attempt]
        await engine.work(ERROR_RESPONSE_DURATION)
        if fault is AttemptFault.NO_RESPONSE:
            await anyio.sleep_forever()
        if fault in IMMEDIATE_FAULTS:
            result.failure_cause = DECODE_FAULT_CAUSES[fault]
            return values.ENDED_OVERLOADED if fault is AttemptFault.OVERLOADED else values.ENDED_FAILED
        if not await self._obtain_state(engine, state, tokens.prompt):
            result.failure_cause = FailureCause.STATE_MISSING
            return values.ENDED_STATE_MISSING
        first_token = self.context.random.uniform(*FIRST_TOKEN_DURATION)
        await engine.work(first_token * engine.slowdown / engine.speed_fraction)
        engine.record_for_attempt("ran", attempt.client_attempt, request=attempt.request_id)
        if fault is AttemptFault.NO_RESPONSE_AFTER_EXECUTION:
            await anyio.sleep_forever()
        if fault in (AttemptFault.SERVER_ERROR_AFTER_EXECUTION, AttemptFault.CONNECTION_CUT):
            result.failure_cause = DECODE_FAULT_CAUSES[fault]
            return values.ENDED_FAILED
        attempt.scope.deadline = math.inf  # the time limit applies only until the first token
        return await self._stream(attempt, tokens.output, fault is AttemptFault.STREAM_CUT, listener)

    async def _obtain_state(
        self, engine: SimulatedEngine, state: ReservedState | None, prompt_tokens: int
    ) -> bool:
        """Transfer the state from its prefill engine, or have a mixed engine prefill the prompt itself."""
        if state is None:
            if engine.spec.role == "mixed":
                await engine.work(prompt_tokens / engine.spec.prefill_rate / engine.speed_fraction)
            return engine.spec.role == "mixed"
        if state["request"] not in state["engine"].reserved_states:
            return False
        await engine.work(self.context.random.uniform(*TRANSFER_DURATION))
        return state["engine"].remove_state(state["request"], "taken", by=engine.spec.name)

    async def _stream(
        self, attempt: EngineAttempt, output_tokens: int, is_cut: bool, listener: ResponseListener[str]
    ) -> str:
        engine, result = attempt.engine, attempt.result
        await listener.stream_started()
        for number in range(1, output_tokens + 1):
            result.output_tokens = number
            await listener.data_received(f"t{number} ")
            if is_cut and number > TOKENS_BEFORE_STREAM_CUT:
                result.failure_cause = FailureCause.STREAM_INTERRUPTED
                return values.ENDED_STREAM_CUT
            await engine.work(engine.spec.step_time * engine.slowdown / engine.speed_fraction)
        attempt.succeed(AttemptStatus.SUCCEEDED)
        result.finish_reason = "stop"
        return values.ENDED_COMPLETED
