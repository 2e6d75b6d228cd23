"""The far ends of a soak: engines that hold states, an agent a node, and what both saw, in order of time.

A state belongs to a request and can be let go of at any engine. Everything is seen from here alone: the judge
reads these events and never a node's own word.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random
from typing import Any

from tests.fault_proxy import HOST
from tests.node_platform.http_messages import (
    PREFILL_RESPONSE,
    STREAM_HEAD,
    ReceivedRequest,
    chunked,
    http_response,
    read_request,
)

Event = dict[str, Any]
DECLINED = b"Srv-Declined: 1"
KINDS = ("prefill", "decode", "mixed")
MIXED_ENGINES = 3


@dataclass
class Recording:
    """What was seen, by the machine's monotonic clock."""

    events: list[Event] = field(default_factory=list)

    def say(self, what: str, **said: Any) -> None:
        self.events.append({"t": asyncio.get_running_loop().time(), "what": what, **said})


@dataclass(eq=False)
class State:
    """What an engine holds for a request, and how many attempts wait for it."""

    waiting: int = 0


def stream_of(request: str) -> list[bytes]:
    """The events that any engine answers a request with: a client can tell whether it got them all."""
    words = [sha256(f"{request}.{at}".encode()).hexdigest()[:8] for at in range(4 + len(request) % 3)]
    events = [
        b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n' % word.encode()
        for word in words
    ]
    return [*events, b"data: [DONE]\n\n"]


class SoakEngine:
    """One engine: reads, writes, or does both; slow now and then, failing now and then."""

    def __init__(self, world: World, name: str, kind: str) -> None:
        self.world, self.name, self.kind = world, name, kind
        self.draw = Random(f"{world.seed}.{name}").random
        self.slow = 1.0
        self.failing = 0.0  # share of attempts that end in an error or a reset after they ran
        self.hung: asyncio.Event = asyncio.Event()  # while clear, nothing is read off any connection
        self.hung.set()
        self.server: asyncio.Server
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            while True:
                await self.hung.wait()
                request = await read_request(reader)
                await self.hung.wait()
                if request.method == "DELETE":
                    self.world.released(self.name, request.target.removeprefix("/state/"))
                    writer.write(http_response(204))
                    continue
                await self._attempt(request, reader, writer)
        writer.transport.abort()

    async def _attempt(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers.get("req-id", "")
        self.world.say(
            "arrived",
            engine=self.name,
            kind=self.kind,
            request=name,
            body=request.body.decode(),
            target=request.target,
            deadline=request.headers.get("req-deadline", ""),
        )
        work = asyncio.ensure_future(self._work(name, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended = work.done()
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
            self.world.say("over", engine=self.name, request=name, whole=ended)
        if gone.done() and not gone.cancelled():
            raise ConnectionResetError

    async def _work(self, name: str, writer: asyncio.StreamWriter) -> None:
        if self.kind == "prefill":
            await asyncio.sleep(self.slow * (0.01 + 0.08 * self.draw()))
            self.world.hold(self.name, name)
            if self.draw() < self.failing:
                writer.transport.abort()
                raise ConnectionResetError
            writer.write(PREFILL_RESPONSE)
            return
        state = self.world.states.get(name)
        if state is None and self.kind == "decode":
            self.world.say("declined", engine=self.name, request=name)
            writer.write(http_response(410, b"", DECLINED))
            return
        await self._write(name, writer, state)

    async def _write(self, name: str, writer: asyncio.StreamWriter, state: State | None) -> None:
        if state is not None:
            state.waiting += 1
        try:
            self.world.say("ran", engine=self.name, request=name)
            late = 0.5 if self.draw() < 0.05 else 0.0
            await asyncio.sleep(self.slow * (0.01 + 0.05 * self.draw()) + late)
            if self.draw() < self.failing:
                if self.draw() < 0.5:
                    writer.transport.abort()
                    raise ConnectionResetError
                writer.write(http_response(500))
                return
        finally:
            if state is not None:
                state.waiting -= 1
        self.world.taken(name)
        writer.write(STREAM_HEAD)
        for event in stream_of(name):
            writer.write(chunked(event))
            await asyncio.sleep(self.slow * 0.01 * self.draw())
        writer.write(b"0\r\n\r\n")


class SoakAgent:
    """One node's agent: the list with that node's own addresses, and its silences."""

    def __init__(self, world: World, node: str, port_of: Callable[[str], int]) -> None:
        self.world, self.node, self.port_of = world, node, port_of
        self.gate = asyncio.Event()
        self.gate.set()
        self.port = 0
        self.server: asyncio.Server
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def listed(self) -> bytes:
        """The whole list, as it is told now."""
        return json.dumps(
            {
                "index": self.world.version,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": engine.name,
                        "address": f"{HOST}:{self.port_of(engine.name)}",
                        "zone": "a",
                        "type": engine.kind,
                        "group": 1,
                        "status": self.world.status[engine.name],
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for engine in self.world.engines.values()
                ],
            }
        ).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                await self.gate.wait()
                if "after=" in request.target:
                    after = int(request.target.partition("after=")[2].partition("&")[0])
                    with suppress(TimeoutError):
                        async with asyncio.timeout(int(request.target.partition("wait_ms=")[2]) / 1000):
                            await self.world.newer_than(after)
                await self.gate.wait()
                writer.write(http_response(200, self.listed()))
                self.world.say("told", node=self.node, version=self.world.version)
        writer.transport.abort()


class World:
    """All far ends of a soak."""

    def __init__(self, seed: int, readers: int = 8, writers: int = 7, mixed: int = MIXED_ENGINES) -> None:
        self.seed = seed
        self.recording = Recording()
        self.say = self.recording.say
        self.states: dict[str, State] = {}
        self.engines: dict[str, SoakEngine] = {}
        for kind, count in zip(KINDS, (readers, writers, mixed), strict=True):
            for at in range(count):
                self.engines[f"{kind}-{at}"] = SoakEngine(self, f"{kind}-{at}", kind)
        self.status = dict.fromkeys(self.engines, "active")
        self.version = 1
        self.news = asyncio.Condition()

    async def start(self) -> None:
        for engine in self.engines.values():
            await engine.start()

    async def newer_than(self, version: int) -> None:
        """Until the list has changed since."""
        async with self.news:
            await self.news.wait_for(lambda: self.version != version)

    async def set_status(self, engine: str, status: str) -> None:
        """A change of the list."""
        self.status[engine] = status
        self.version += 1
        self.say("status", engine=engine, status=status, version=self.version)
        async with self.news:
            self.news.notify_all()

    def hold(self, engine: str, request: str) -> None:
        """A read has ended: its state is held."""
        self.states[request] = State()
        self.say("held", engine=engine, request=request)

    def taken(self, request: str) -> None:
        """A stream has begun: nothing is held any more."""
        if self.states.pop(request, None) is not None:
            self.say("taken", request=request)

    def released(self, engine: str, request: str) -> None:
        """A call to let go has arrived; what an attempt waits for stays."""
        state = self.states.get(request)
        if state is not None and not state.waiting:
            del self.states[request]
            self.say("taken", request=request)
        self.say("released", engine=engine, request=request)
