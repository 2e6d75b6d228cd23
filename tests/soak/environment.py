"""The environment of a soak's nodes: engines that hold states, an agent for each node, recorded events.

A state belongs to a request and can be released at any engine. Everything is observed from here alone: the
judge reads these events and never what a node reports of itself.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
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
from tests.soak.conditions import Conditions

Event = dict[str, Any]
KINDS = ("prefill", "decode", "mixed")
EVENT_INTERVAL = 0.1  # seconds between two events of a long stream
LEFT = "left"  # the status of an engine that is not on the list
PREFILL_ENGINES, DECODE_ENGINES, MIXED_ENGINES = 8, 7, 3  # in a soak


@dataclass
class Recording:
    """Events as they were observed, by the machine's monotonic clock."""

    events: list[Event] = field(default_factory=list)

    def record(self, what: str, **details: Any) -> None:
        """Append an event with the present time."""
        self.events.append({"t": asyncio.get_running_loop().time(), "what": what, **details})


@dataclass(eq=False)
class State:
    """Prefill state that an engine holds for a request, and how many attempts wait for it."""

    engine: str
    waiting_attempts: int = 0


def expected_stream(request: str, duration: float) -> list[bytes]:
    """Return the events that any engine answers a request with: a client can tell whether it got them all."""
    count = max(4 + len(request) % 3, int(duration / EVENT_INTERVAL))
    words = [sha256(f"{request}.{index}".encode()).hexdigest()[:8] for index in range(count)]
    events = [
        b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n' % word.encode()
        for word in words
    ]
    return [*events, b"data: [DONE]\n\n"]


class SoakEngine:
    """One engine: prefills, decodes, or does both; slow now and then, failing now and then."""

    def __init__(self, environment: Environment, name: str, kind: str) -> None:
        self.environment, self.name, self.kind = environment, name, kind
        self.random_share = Random(f"{environment.seed}.{name}").random
        self.slowdown = 1.0
        self.failing_share = 0.0  # share of attempts that end in an error or a reset after they ran
        self.running = asyncio.Event()  # while clear, nothing is received on any connection
        self.running.set()
        self.server: asyncio.Server
        self.port = free_port()  # while it restarts, no outgoing connection may take it
        self.started_unix_ms = 0  # 0: long ago
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def restart(self, down: float) -> None:
        """Lose all connections and states, and start anew; the list does not tell it yet.

        Nothing is done where that is going on already.
        """
        if not self.server.is_serving():
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.environment.lose_states(self.name)
        await asyncio.sleep(down)
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
        self.environment.take_state(name)
        writer.write(STREAM_HEAD)
        duration = self.environment.conditions.stream_duration(name)
        events = expected_stream(name, duration)
        for event in events:
            await self.running.wait()
            writer.write(chunked(event))
            await asyncio.sleep(duration / len(events) * self.slowdown)
        writer.write(LAST_CHUNK)


class Environment:
    """All engines of a soak, their states, and the endpoint list."""

    def __init__(self, seed: int, conditions: Conditions, mixed_engines: int = MIXED_ENGINES) -> None:
        self.seed = seed
        self.conditions = conditions
        self.recording = Recording()
        self.record = self.recording.record
        self.states: dict[str, State] = {}
        self.engines: dict[str, SoakEngine] = {}
        for kind, count in zip(KINDS, (PREFILL_ENGINES, DECODE_ENGINES, mixed_engines), strict=True):
            for index in range(count):
                name = f"{kind}-{index}"
                self.engines[name] = SoakEngine(self, name, kind)
        self.status = dict.fromkeys(self.engines, "active")
        self.changed_in = dict.fromkeys(self.engines, 1)  # the revision of each engine's last change
        self.revision = 1  # of the list
        self.agent_turn = asyncio.Lock()  # all agents are one process
        self.list_changed = asyncio.Condition()

    async def start(self) -> None:
        """Start all engines."""
        for engine in self.engines.values():
            await engine.start()

    async def newer_than(self, revision: int) -> None:
        """Wait until the list has changed since."""
        async with self.list_changed:
            await self.list_changed.wait_for(lambda: self.revision != revision)

    async def set_status(self, engine: str, status: str) -> None:
        """Change an engine's status in a new revision of the list."""
        self.status[engine] = status
        self.revision += 1
        self.changed_in[engine] = self.revision
        self.record("status", engine=engine, status=status, revision=self.revision)
        async with self.list_changed:
            self.list_changed.notify_all()

    def hold_state(self, engine: str, request: str) -> None:
        """A prefill has ended: its state is held."""
        self.states[request] = State(engine)
        self.record("held", engine=engine, request=request)

    def lose_states(self, engine: str) -> None:
        """An engine's process has ended, and with it what it held."""
        for request in [name for name, state in self.states.items() if state.engine == engine]:
            self.take_state(request)

    def take_state(self, request: str) -> None:
        """A stream has begun: its state is not held any more."""
        if self.states.pop(request, None) is not None:
            self.record("taken", request=request)

    def release_state(self, engine: str, request: str) -> None:
        """A release call has arrived; a state that an attempt waits for stays."""
        state = self.states.get(request)
        if state is not None and not state.waiting_attempts:
            del self.states[request]
            self.record("taken", request=request)
        self.record("released", engine=engine, request=request)
