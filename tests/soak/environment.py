"""The environment of the nodes in a soak: engines that hold states, the endpoint list and recorded events.

A state belongs to a request and can be released at any engine. The check of the rules uses only the events
that are recorded here, never what a node reports about itself.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.fault_proxy import HOST
from tests.node_platform.http_messages import (
    DECLINED,
    LAST_CHUNK,
    PREFILL_RESPONSE,
    STREAM_HEAD,
    ReceivedRequest,
    chunked,
    http_response,
    read_request,
)
from tests.node_platform.ports import free_port
from tests.soak.answers import EVENT_INTERVAL, Answer
from tests.soak.conditions import Conditions

Event = dict[str, Any]
ENGINE_KINDS = ("prefill", "decode", "mixed")
NOT_LISTED = "left"  # the status of an engine that is not on the endpoint list
PREFILL_ENGINES, DECODE_ENGINES, MIXED_ENGINES = 8, 7, 3  # the number of engines of each kind in a soak


@dataclass
class Recording:
    """The observed events in order, each with its time `t` in seconds of the event loop's monotonic clock.

    The kinds of events are

    - of clients: `asked` (request sent), `begun` (head of a response with status 200 received), `answered`,
      `left` (client disconnected), `again` (its request was sent again) and `bad` (malformed request sent);
    - of the proxies between nodes and engines: `sent` (the node began to send a request), `sent_whole`,
      `node_got` (first bytes of the response) and `node_closed` (connection closed before a response);
    - of engines: `arrived`, `ran`, `declined` (state missing), `fruitless` (the stream has just brought its
      last part, and goes on without end), `spoilt` (it goes on with what is no sound response), `over` (the
      attempt ended), `held` and `taken` (a state is held, or not any more) and `released` (a release call
      arrived);
    - of agents: `agent_call`, `told` (answer written), `agent_pace`, `agent_down`, `agent_up`, `agent_reset`
      and `agent_moved`;
    - of node processes: `started`, `ready`, `not_started`, `told_to_end` (signal sent), `killed_late`,
      `ended`, `crashed`, `node_fault` (logged by the node), `memory` (highest resident memory) and `hung`;
    - of the soak itself: `fault`, `status` (change of the endpoint list) and `lag`.
    """

    events: list[Event] = field(default_factory=list)

    def record(self, what: str, **details: Any) -> None:
        """Append an event of the kind `what` with the present time."""
        self.events.append({"t": asyncio.get_running_loop().time(), "what": what, **details})


@dataclass(eq=False)
class State:
    """The prefill state that an engine holds for a request.

    Attributes:
        engine: the engine's name.
        waiting_attempts: the number of decode attempts that are about to use the state.
    """

    engine: str
    waiting_attempts: int = 0


class SoakEngine:
    """One engine, which prefills, decodes, or does both. Faults can make it slow, fail attempts or hang.

    Attributes:
        slowdown: the factor by which its work takes longer than usual.
        failing_share: the share of its attempts that end in an error or a reset after they ran.
        running: cleared while the engine hangs; it then reads and sends nothing.
        started_unix_ms: when its process started, in milliseconds of Unix time; 0 means long ago.
    """

    def __init__(self, environment: Environment, name: str, kind: str) -> None:
        self.environment, self.name, self.kind = environment, name, kind
        self.random_share = Random(f"{environment.seed}.{name}").random
        self.slowdown = 1.0
        self.failing_share = 0.0
        self.running = asyncio.Event()
        self.running.set()
        self.server: asyncio.Server
        # The port is not ephemeral, so that no outgoing connection can occupy it while the engine restarts.
        self.port = free_port()
        self.started_unix_ms = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the engine's port."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def restart(self, downtime: float) -> None:
        """Drop all connections and states, and listen again after `downtime` seconds.

        The endpoint list is not changed. Do nothing if a restart is in progress already.
        """
        if not self.server.is_serving():
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.environment.drop_states(self.name)
        await asyncio.sleep(downtime)
        self.started_unix_ms = max(int(time.time() * 1000), self.started_unix_ms + 1)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            while True:
                await self.running.wait()
                request = await read_request(reader)
                await self.running.wait()
                if request.method == "DELETE":
                    self.environment.release_state(self.name, request.target.removeprefix("/state/"))
                    writer.write(http_response(204))
                    continue
                await self._observe_attempt(request, reader, writer)
        writer.transport.abort()

    async def _observe_attempt(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve an attempt until it is complete or the node disconnects, and record both ends of it.

        Raises:
            ConnectionResetError: the node has disconnected.
        """
        name = request.headers.get("req-id", "")
        self.environment.record(
            "arrived",
            engine=self.name,
            kind=self.kind,
            request=name,
            body=request.body.decode(),
            target=request.target,
            deadline=request.headers.get("req-deadline", ""),
        )
        work = asyncio.ensure_future(self._serve_attempt(name, writer))
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([work, disconnect], return_when=asyncio.FIRST_COMPLETED)
        finally:
            completed = work.done()
            for task in (work, disconnect):
                task.cancel()
            await asyncio.gather(work, disconnect, return_exceptions=True)
            self.environment.record("over", engine=self.name, request=name, whole=completed)
        if disconnect.done() and not disconnect.cancelled():
            raise ConnectionResetError

    async def _serve_attempt(self, name: str, writer: asyncio.StreamWriter) -> None:
        if self.kind == "prefill":
            await self._prefill(name, writer)
            return
        state = self.environment.states.get(name)
        if state is None and self.kind == "decode":
            self.environment.record("declined", engine=self.name, request=name)
            writer.write(http_response(410, b"", DECLINED))
            return
        await self._decode(name, writer, state)

    async def _prefill(self, name: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.slowdown * (0.01 + 0.08 * self.random_share()))
        self.environment.hold_state(self.name, name)
        if self.random_share() < self.failing_share:
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(PREFILL_RESPONSE)

    async def _decode(self, name: str, writer: asyncio.StreamWriter, state: State | None) -> None:
        if state is not None:
            state.waiting_attempts += 1
        try:
            self.environment.record("ran", engine=self.name, request=name)
            extra_delay = 0.5 if self.random_share() < 0.05 else 0.0
            await asyncio.sleep(self.slowdown * (0.01 + 0.05 * self.random_share()) + extra_delay)
            if self.random_share() < self.failing_share:
                if self.random_share() < 0.5:
                    writer.transport.abort()
                    raise ConnectionResetError
                writer.write(http_response(500))
                return
        finally:
            if state is not None:
                state.waiting_attempts -= 1
        self.environment.drop_state(name)
        writer.write(STREAM_HEAD)
        answer = self.environment.conditions.answer(name)
        for number, event in enumerate(answer.events, 1):
            await self.running.wait()
            writer.write(chunked(event))
            if answer.repeated and number == len(answer.events):
                what = "spoilt" if answer.size_line else "fruitless"
                self.environment.record(what, engine=self.name, request=name)
            await asyncio.sleep(answer.interval * self.slowdown)
        if answer.repeated:
            await self._repeat_event(answer, writer)
        writer.write(LAST_CHUNK)

    async def _repeat_event(self, answer: Answer, writer: asyncio.StreamWriter) -> None:
        """Send the same event again and again, until the node closes the connection.

        The events lie inside one chunk if the answer states its size, otherwise in a chunk each.
        """
        event = answer.repeated if answer.size_line else chunked(answer.repeated)
        writer.write(answer.size_line)
        while not writer.transport.is_closing():
            await self.running.wait()
            writer.write(event)
            await asyncio.sleep(EVENT_INTERVAL)


class Environment:
    """All engines of a soak, their states, and the endpoint list.

    Attributes:
        states: the held prefill states by request.
        status: each engine's status on the endpoint list.
        changed_in: the list's revision in which each engine last changed.
        revision: the present revision of the list.
        agent_turn: held by the agent that is working on a call, if all agents share one process.
        list_changed: notified at each change of the list.
    """

    def __init__(self, seed: int, conditions: Conditions, mixed_engines: int = MIXED_ENGINES) -> None:
        self.seed = seed
        self.conditions = conditions
        self.recording = Recording()
        self.record = self.recording.record
        self.states: dict[str, State] = {}
        self.engines: dict[str, SoakEngine] = {}
        for kind, count in zip(ENGINE_KINDS, (PREFILL_ENGINES, DECODE_ENGINES, mixed_engines), strict=True):
            for index in range(count):
                name = f"{kind}-{index}"
                self.engines[name] = SoakEngine(self, name, kind)
        self.status = dict.fromkeys(self.engines, "active")
        self.changed_in = dict.fromkeys(self.engines, 1)
        self.revision = 1
        self.agent_turn = asyncio.Lock()
        self.list_changed = asyncio.Condition()

    async def start(self) -> None:
        """Start all engines."""
        for engine in self.engines.values():
            await engine.start()

    async def wait_for_change(self, revision: int) -> None:
        """Wait until the list's revision differs from `revision`."""
        async with self.list_changed:
            await self.list_changed.wait_for(lambda: self.revision != revision)

    async def set_status(self, engine: str, status: str) -> None:
        """Set an engine's status, which makes a new revision of the list even if the status is the same."""
        self.status[engine] = status
        self.revision += 1
        self.changed_in[engine] = self.revision
        self.record("status", engine=engine, status=status, revision=self.revision)
        async with self.list_changed:
            self.list_changed.notify_all()

    def hold_state(self, engine: str, request: str) -> None:
        """Hold the state of a prefill that has ended."""
        self.states[request] = State(engine)
        self.record("held", engine=engine, request=request)

    def drop_states(self, engine: str) -> None:
        """Drop all states of an engine whose process has ended."""
        for request in [name for name, state in self.states.items() if state.engine == engine]:
            self.drop_state(request)

    def drop_state(self, request: str) -> None:
        """Stop holding a state, because its stream has begun or its engine has lost it."""
        if self.states.pop(request, None) is not None:
            self.record("taken", request=request)

    def release_state(self, engine: str, request: str) -> None:
        """Execute a release call that has arrived; a state that an attempt is about to use is kept."""
        state = self.states.get(request)
        if state is not None and not state.waiting_attempts:
            del self.states[request]
            self.record("taken", request=request)
        self.record("released", engine=engine, request=request)
