"""The events that a stand-in engine records, in the words of recordings (docs/operators/recordings.md)."""

from __future__ import annotations

from runspool.lab.model import EngineSpec, Job
from runspool.lab.recording import Recorder
from runspool.lab.standin_messages import CompletionCall

ATTEMPT = "try"  # the field with the client attempt's name; a Python keyword


class EngineEvents:
    """Records one engine's events."""

    def __init__(self, spec: EngineSpec, recorder: Recorder) -> None:
        self._spec = spec
        self._recorder = recorder

    def started(self, cold: bool) -> None:
        """Record the engine's start, with what the auditor must know of its slow start."""
        spec = self._spec
        self._line(
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

    def fault_switched(self, name: str, settings: dict[str, str | float | None]) -> None:
        """Record that a fault is switched on or off."""
        self._line("fault", fault=name, **settings)

    def crashed_by_overload(self) -> None:
        """Record a crash of an engine that was overloaded during its slow start."""
        self._line("fell")

    def crashed_by_poison(self) -> None:
        """Record a crash by a poisonous request."""
        self._line("fell", poison=True)

    def reset_before_body(self, request_id: str) -> None:
        """Record a request whose connection was reset before its body was read."""
        self._line("cut_in", request=request_id)

    def arrived(self, call: CompletionCall, head_at: int) -> None:
        """Record a whole request; `head_at` is when its head had been read."""
        self._line(
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
        """Record that a request has had an effect; a prefill has none."""
        if not call.is_prefill:
            self._line("ran", request=call.request_id, **{ATTEMPT: call.options.attempt})

    def ended(self, call: CompletionCall, ending: str) -> None:
        """Record how a request has ended."""
        self._line("ended", request=call.request_id, how=ending, **{ATTEMPT: call.options.attempt})

    def state_held(self, job: Job, attempt: str) -> None:
        """Record that a prefill's state is held under the job's request id, for a client's attempt."""
        self._line("held", state=job.request_id, tokens=job.prompt_tokens, **{ATTEMPT: attempt})

    def state_dropped(self, state: str) -> None:
        """Record that a state was freed because its front had gone."""
        self._line("dropped", state=state)

    def state_expired(self, state: str) -> None:
        """Record that a state was freed after its time to live."""
        self._line("expired", state=state)

    def state_released(self, state: str, received_at: int) -> None:
        """Record that a state was freed by a front's call, which came at `received_at`."""
        self._line("released", state=state, told=received_at)

    def state_taken(self, state: str, by: str) -> None:
        """Record that another engine has fetched a state."""
        self._line("taken", state=state, by=by)

    def _line(self, what: str, **fields: object) -> None:
        self._recorder.line(what, engine=self._spec.name, **fields)
