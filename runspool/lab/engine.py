"""A stand-in engine: serves completions over HTTP, with timing from a model instead of a language model.

It speaks the published protocol for separate prefill and decode, in which a decode engine fetches the prefill
state from the prefill engine.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from functools import partial
from random import Random

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup, TaskStatus

from runspool.engines.failure_classification import STATE_GONE
from runspool.lab.active_faults import ActiveFaults, FaultSetting
from runspool.lab.engine_events import EngineEvents
from runspool.lab.engine_model import AdmissionResult, EngineModel, EngineSpec, Job, Phase, Step
from runspool.lab.http_server import PeerClosedError, ReceivedRequest, serve_connections, serve_requests
from runspool.lab.plan import SECOND
from runspool.lab.recording import Recorder
from runspool.lab.response_faults import (
    ERROR_EVENT,
    NO_FINISH,
    RESET_BEFORE_BODY,
    SILENT,
    STREAM_FAULTS,
    TOKENS_BEFORE_STREAM_FAULT,
    end_stream_abnormally,
    inject_response_fault,
    interrupt_stream,
)
from runspool.lab.standin_messages import (
    CompletionCall,
    block_hashes,
    decode_body,
    final_events,
    prefill_response,
    token_event,
)
from runspool.lab.state_transfer import FETCH_PATH, HeldStates, fetch_state
from runspool.service.clock import now
from runspool.wire.completions import error_body
from runspool.wire.engine_messages import LOAD_REPORT_FORMAT, LOAD_REPORT_HEADER, RELEASE_PATH

COMPLETIONS_PATH = "/v1/completions"
CRASH_EXIT_CODE = 3


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A completion request that the engine has accepted and not finished.

    Attributes:
        job: its job in the engine's model.
        call: the received request.
        progress: set at each generated token, at the end of the prefill, when fetching the prefill state has
            failed, and when the connection is lost.
        executed: whether its first token has been generated.
        state_lost: whether the prefill state could not be fetched.
    """

    job: Job
    call: CompletionCall
    progress: anyio.Event = field(default_factory=anyio.Event)
    executed: bool = False
    state_lost: bool = False


class StandInEngine:
    """Serves one engine on its own port and records what it receives and does.

    Attributes:
        spec: the engine's name, role, location and speed.
        model: the engine's queue, jobs, memory and prefix cache.
        faults: the faults that are injected into the engine.
        active_requests: the accepted completion requests, by the `id()` of their jobs.
        token_prefix: the text that each generated token starts with; the token's number follows.
        port: the port that it listens on; 0 until it does.
        tasks: the task group of the running engine; None before the start.
    """

    def __init__(self, spec: EngineSpec, recorder: Recorder, cold: bool, seed: int) -> None:
        self.spec = spec
        self.model = EngineModel(spec, now(), cold, seed)
        self.faults = ActiveFaults(self.model)
        self.active_requests: dict[int, ActiveRequest] = {}
        self.token_prefix = "t"
        self.port = 0
        self._events = EngineEvents(spec, recorder)
        self._draw = Random(seed + 1).random
        self._states = HeldStates(self.model, self.faults, self._events, self._resume_steps)
        self._work_available = anyio.Event()
        self._open_connections = 0
        self._host = "127.0.0.1"
        self.tasks: TaskGroup | None = None

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port to `task_status` once the engine listens."""
        self._host = host
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
            async with listeners:
                listener = listeners.listeners[0]
                assert isinstance(listener, SocketListener)
                self.port = int(listener.extra(SocketAttribute.local_port))
                self._events.started(cold=self.model.capacity_fraction(now()) < 1)
                tasks.start_soon(self._run_steps, tasks)
                task_status.started(self.port)
                await serve_connections(listener, self._serve_connection, tasks)

    def crash(self) -> None:
        """End the process at once, to simulate a crash by an overload during slow start or by a request."""
        os._exit(CRASH_EXIT_CODE)

    def set_fault(self, name: str, **settings: FaultSetting) -> None:
        """Record and apply a command that switches a fault on or off.

        Raises:
            ValueError: there is no fault of this name.
        """
        self._events.fault_set(name, settings)
        self.faults.apply(name, settings)

    # Running the model.

    async def _run_steps(self, tasks: TaskGroup) -> None:
        """Run the steps of the model in real time, until cancelled."""
        while True:
            await self.faults.wait_until_resumed()
            for job in self.model.start_waiting():
                tasks.start_soon(self._fetch, self.active_requests[id(job)])
            step = self.model.next_step(now())
            if step is None:
                self._work_available = anyio.Event()
                await self._work_available.wait()
                continue
            await anyio.sleep(step.duration / SECOND)
            await self.faults.wait_until_resumed()
            self._finish_step(step)

    def _finish_step(self, step: Step) -> None:
        """Apply the step's result and notify the requests that it concerns."""
        result = self.model.finish_step(step)
        for job in [*result.prefilled, *result.decoded]:
            request = self.active_requests.get(id(job))
            if request is None:
                continue
            if job.decodes and not request.executed:
                request.executed = True
                self._events.executed(request.call)
            request.progress.set()

    def _resume_steps(self) -> None:
        """Resume the steps, because a job was added or memory was freed."""
        self._work_available.set()

    async def _fetch(self, request: ActiveRequest) -> None:
        """Fetch a request's prefill state, so that its job can decode; mark the request if that fails."""
        params = request.call.body.kv_transfer_params
        assert params is not None
        if await fetch_state(self.spec, params, request.call.received.disconnected):
            self.model.state_fetched(request.job)
        else:
            request.state_lost = True
            request.progress.set()
        self._resume_steps()

    # Serving requests.

    async def _serve_connection(self, stream: SocketStream) -> None:
        """Serve the requests of a connection, or close it at once if too many are open."""
        if self._open_connections >= self.faults.max_connections:
            await anyio.aclose_forcefully(stream)
            return
        self._open_connections += 1
        try:
            await serve_requests(stream, self._handle)
        finally:
            self._open_connections -= 1

    async def _handle(self, received: ReceivedRequest) -> None:
        """Serve a request according to its path."""
        if received.target == COMPLETIONS_PATH:
            await self._complete(received)
        elif received.target == RELEASE_PATH:
            await self._states.handle_release(received)
        elif received.target == FETCH_PATH:
            await self._states.handle_fetch(received)
        else:
            await received.read_body()
            await received.respond(404, error_body("not_found", "path", "no such path"))

    async def _complete(self, received: ReceivedRequest) -> None:
        """Serve a completion request and record its arrival and its end."""
        arrived_at = now()
        request_class = received.headers.get("runspool-tariff", "")
        fault = self.faults.draw_response_fault(request_class, self._draw)
        if fault == RESET_BEFORE_BODY:
            self._events.reset_before_body(received.headers.get("x-request-id", ""))
            await received.reset()
            return
        body, options = decode_body(await received.read_body())
        call = CompletionCall(received, body, options, fault)
        self._events.arrived(call, arrived_at)
        if options.poison and not call.is_prefill:
            self._events.crashed_by_poison()
            self.crash()
        ending = "lost"
        try:
            ending = await self._serve(call)
        except PeerClosedError:
            ending = "left"
        finally:
            self._events.ended(call, ending)

    async def _serve(self, call: CompletionCall) -> str:
        """Serve a completion request, or inject its fault; return how it ended, as recorded in `ended`."""
        ending = await inject_response_fault(call.received, call.fault, partial(self._events.executed, call))
        if ending:
            return ending
        job = Job(
            request_id=call.request_id,
            request_class=call.request_class,
            prompt_tokens=max(1, call.prompt_tokens),
            block_hashes=block_hashes(call.body.prompt),
            output_tokens=call.options.output_tokens,
            decodes=not call.is_prefill,
            fetches_state=call.fetches_state,
        )
        if await self.faults.rate_limiter.rejects(call.request_class, call.tenant):
            await call.received.respond(503, error_body("overloaded", "throttled", "over its rate"))
            return "full"
        if not call.is_prefill and not call.fetches_state and self.spec.role == "writer":
            await call.received.respond(409, error_body("no_state", STATE_GONE, "a writer does not read"))
            return "stateless"
        return await self._process(ActiveRequest(job, call))

    async def _process(self, request: ActiveRequest) -> str:
        """Submit a request to the model and respond with its result; return how it ended."""
        job, received = request.job, request.call.received
        admission = self.model.submit(now(), job)
        if admission is AdmissionResult.OVERLOADED_COLD:
            self._events.crashed_by_overload()
            self.crash()
        if admission is not AdmissionResult.ACCEPTED:
            rejection = error_body("overloaded", "full", "no slot, no place")
            await received.respond(503, rejection, self._load_report())
            return "full"
        self.active_requests[id(job)] = request
        self._resume_steps()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._notify_on_disconnect, request)
                if request.call.fault == SILENT:
                    await received.disconnected.wait()
                ending = await (self._decode(request) if job.decodes else self._prefill(request))
                tasks.cancel_scope.cancel()
            return ending
        except BaseExceptionGroup as group:
            if group.split(PeerClosedError)[1] is not None:
                raise
            return "left"
        finally:
            self.active_requests.pop(id(job), None)
            self.model.remove(job)
            self._resume_steps()

    async def _notify_on_disconnect(self, request: ActiveRequest) -> None:
        """Notify a request when its connection is lost."""
        await request.call.received.wait_for_disconnect()
        request.progress.set()

    async def _wait_for_progress(self, request: ActiveRequest) -> None:
        """Wait for progress of a request; raise PeerClosedError if its connection is lost."""
        await request.progress.wait()
        request.progress = anyio.Event()
        if request.call.received.disconnected.is_set():
            raise PeerClosedError

    async def _prefill(self, request: ActiveRequest) -> str:
        """Wait for the prefill, hold its state and respond; return how the request ended."""
        job, received = request.job, request.call.received
        while job.prefill_remaining > 0 or job.phase in (Phase.WAITING, Phase.FETCHING):
            await self._wait_for_progress(request)
        self._states.hold(job, request.call.options.attempt)
        assert self.tasks is not None
        self.tasks.start_soon(self._states.expire, job.request_id)
        response = prefill_response(job, self.spec.name, self._host, self.port)
        try:
            await received.respond(200, response, self._load_report())
        except PeerClosedError:
            self._states.drop(job.request_id)
            raise
        return "read"

    async def _decode(self, request: ActiveRequest) -> str:
        """Stream the generated tokens; return how the request ended."""
        job, received, fault = request.job, request.call.received, request.call.fault
        length = min(job.output_tokens, request.call.body.max_tokens)
        tokens_sent = 0
        while True:
            await self._wait_for_progress(request)
            if request.state_lost:
                await received.respond(
                    409, error_body("no_state", STATE_GONE, "the state could not be fetched")
                )
                return "stateless"
            while tokens_sent < job.generated_tokens:
                if tokens_sent == 0:
                    await received.open_stream(self._load_report())
                if tokens_sent >= TOKENS_BEFORE_STREAM_FAULT and fault in STREAM_FAULTS:
                    await interrupt_stream(received, fault)
                    return "broken"
                tokens_sent += 1
                await received.send_chunk(token_event(job, f"{self.token_prefix}{tokens_sent} "))
            if job.generated_tokens >= length:
                return await self._end_stream(request)

    async def _end_stream(self, request: ActiveRequest) -> str:
        """End the stream, or inject a fault into its end; return how the request ended."""
        received, fault = request.call.received, request.call.fault
        if fault in (NO_FINISH, ERROR_EVENT):
            await end_stream_abnormally(received, fault)
            return "broken"
        await received.send_chunk(final_events(request.job, request.call.body.max_tokens))
        await received.end_stream()
        return "done"

    def _load_report(self) -> dict[str, str]:
        """Return the response header that reports the engine's load."""
        metrics = msgspec.json.encode({"named_metrics": self.model.load_report()}).decode()
        return {LOAD_REPORT_HEADER: f"{LOAD_REPORT_FORMAT} {metrics}"}
