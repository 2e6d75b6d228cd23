"""Record the events of a stand-in engine.

The names of the events and of their fields are documented in docs/operators/recordings.md.
"""

from __future__ import annotations

from runspool.lab.engine_model import EngineSpec, Job
from runspool.lab.recording import Recorder
from runspool.lab.standin_messages import CompletionCall

ATTEMPT = "try"  # field with the id of the client attempt; not usable as a keyword argument in Python


class EngineEvents:
    """Records the events of one engine."""

    def __init__(self, spec: EngineSpec, recorder: Recorder) -> None:
        self._spec = spec
        self._recorder = recorder

    def started(self, cold: bool) -> None:
        """Record the engine's start, with the parameters of the slow start that the audit needs."""
        spec = self._spec
        self._record(
            "engine_up",
            role=spec.role,
            zone=spec.zone,
            rack=spec.rack,
            cold=cold,
            cold_from=spec.slow_start_initial_fraction,
            cold_time=spec.slow_start_duration,
            multiple=spec.slow_start_overload_multiple,
            fall_time=spec.slow_start_overload_window,
            work=spec.mean_work,
        )

    def fault_set(self, name: str, settings: dict[str, str | float | None]) -> None:
        """Record a command that switches a fault on or off."""
        self._record("fault", fault=name, **settings)

    def crashed_by_overload(self) -> None:
        """Record that the engine crashes because it was overloaded during its slow start."""
        self._record("fell")

    def crashed_by_poison(self) -> None:
        """Record that the engine crashes because of a poisonous request (one that crashes every engine)."""
        self._record("fell", poison=True)

    def reset_before_body(self, request_id: str) -> None:
        """Record that the engine resets the connection of a request before it has read the body."""
        self._record("cut_in", request=request_id)

    def arrived(self, call: CompletionCall, head_at: int) -> None:
        """Record that a request has been received completely.

        `head_at` is when its head had been read, in tenths of a millisecond.
        """
        self._record(
            "arrived",
            request=call.request_id,
            head=head_at,
            peer=call.received.peer,
            stage="read" if call.is_prefill else "write",
            fetches=call.fetches_state,
            tariff=call.request_class,
            tenant=call.tenant,
            ticket=call.idempotency_key,
            prompt=call.prompt_tokens,
            **{ATTEMPT: call.options.attempt},
        )

    def executed(self, call: CompletionCall) -> None:
        """Record that the engine has begun to execute a request; do nothing for a prefill."""
        if not call.is_prefill:
            self._record("ran", request=call.request_id, **{ATTEMPT: call.options.attempt})

    def ended(self, call: CompletionCall, ending: str) -> None:
        """Record that a request has ended; `ending` is the recorded word for how."""
        self._record("ended", request=call.request_id, how=ending, **{ATTEMPT: call.options.attempt})

    def state_held(self, job: Job, attempt: str) -> None:
        """Record that the engine holds the prefill state of a job, under the job's request id.

        `attempt` is the id of the client attempt that the prefill serves.
        """
        self._record("held", state=job.request_id, tokens=job.prompt_tokens, **{ATTEMPT: attempt})

    def state_dropped(self, state: str) -> None:
        """Record that the engine has freed a state because it could not send the response to its front."""
        self._record("dropped", state=state)

    def state_expired(self, state: str) -> None:
        """Record that the engine has freed a state at the end of its time to live."""
        self._record("expired", state=state)

    def state_released(self, state: str, received_at: int) -> None:
        """Record that the engine has freed a state because a front released it.

        `received_at` is when the call was received, in tenths of a millisecond.
        """
        self._record("released", state=state, told=received_at)

    def state_taken(self, state: str, by: str) -> None:
        """Record that another engine, `by`, has fetched a state."""
        self._record("taken", state=state, by=by)

    def _record(self, what: str, **fields: object) -> None:
        self._recorder.record_event(what, engine=self._spec.name, **fields)
