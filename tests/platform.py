"""The platform as a front node sees it: a scripted agent with the list, scripted engines, raw clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from runspool.node.config import read_node_config
from runspool.node.server import NodeServer
from tests.faults import FaultProxy

HOST = "127.0.0.1"
WAIT = 15.0  # seconds before a test that waits for something gives up

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "aim-us": 1_500_000,
            "deadline-us": 6_000_000,
            "credit": 1.0,
            "late-value": 0.2,
            "effect": effect,
            "key-scope": "all",
            "window-us": 5_000_000,
            "stream": True,
        }
        for name, effect in (("ask", "idempotent"), ("book", "at_most_once"))
    ],
    "family-info": {
        "ahead": False,
        "aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0],
        "cross-cell-price": 0.03,
        "kind-role": ["read", "write", "both"],
        "memory-tokens": [150_000, 110_000, 280_000],
        "read-in-place": False,
        "release-within-us": 300_000,
        "resume": True,
        "token-aim-us": [60_000.0, 60_000.0],
    },
    "host-types": ["prefill", "decode", "mixed"],
    "limits": {
        "cancel": True,
        "conn-idle-us": 30_000_000,
        "dial-timeout-us": 250_000,
        "max-attempts": 5,
        "max-retry-after-us": 2_000_000,
        "retry-after": True,
        "second-copies": True,
    },
    "locality": "a",
    "me": 0,
    "over-share-worth": 0.1,
    "prices": {"cross-zone": 0.011, "late-fail": 0.034, "waste": 0.08},
    "realms": [{"name": "one", "fraction": 1.0, "quota-rps": 100.0}],
    "rules": {
        "answer-slack-us": 8_000,
        "cold-from": 0.27,
        "cold-us": 14_000_000,
        "drain-grace-us": 250_000,
        "fall-us": 1_500_000,
        "tip-multiple": 2.5,
    },
    "siblings": 1,
    "zones": ["a", "b"],
}

EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"vh"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":40,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":8}}}\n\n',
    b"data: [DONE]\n\n",
]
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def whole(status: int, body: bytes = b"", *fields: bytes) -> bytes:
    """An answer's bytes."""
    length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n%b%b\r\n" % (status, length, b"".join(one + b"\r\n" for one in fields)) + body


GOOD = STREAM + b"".join(map(chunked, EVENTS)) + b"0\r\n\r\n"
REST = b"".join(map(chunked, EVENTS[1:])) + b"0\r\n\r\n"  # what follows a stream's first event
READ = whole(202, b'{"cached_tokens":8}')


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    engine: str = ""
    reader: asyncio.StreamReader = field(default=None, repr=False)  # type: ignore[assignment]
    writer: asyncio.StreamWriter = field(default=None, repr=False)  # type: ignore[assignment]

    down: Callable[[], None] = field(default=lambda: None, repr=False)  # the engine takes no more connections

    async def say(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()

    async def closed(self) -> None:
        """Until the node has closed this connection."""
        with suppress(OSError):
            await asyncio.wait_for(self.reader.read(), WAIT)


Script = Callable[[Request], Awaitable[None]]


def _fields(lines: list[str]) -> dict[str, str]:
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def request_of(reader: asyncio.StreamReader) -> Request:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = _fields(lines[1:-2])
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def says(data: bytes, go: asyncio.Event | None = None) -> Script:
    """Answers with these bytes, where `go` is given once that is set."""

    async def script(asked: Request) -> None:
        if go is not None:
            await go.wait()
        await asked.say(data)

    return script


def waits_for(go: asyncio.Event) -> Script:
    """Begins a stream at once, and ends it when `go` is set."""

    async def script(asked: Request) -> None:
        await asked.say(STREAM + chunked(EVENTS[0]))
        await go.wait()
        await asked.say(REST)

    return script


async def resets(asked: Request) -> None:
    asked.reset()


async def silent(asked: Request) -> None:
    await asked.closed()


class Engine:
    """Answers as its role does, unless a script is due first."""

    def __init__(self, platform: Platform, name: str, kind: str) -> None:
        self.platform, self.name, self.kind = platform, name, kind
        self.scripts: list[Script] = []  # one a request but DELETE, then the usual again
        self.server: asyncio.Server
        self.port = 0
        self.proxy: FaultProxy | None = None  # where the list sends nodes, if there is one

    @property
    def listed_port(self) -> int:
        return self.port if self.proxy is None else self.proxy.port

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.proxy is not None:
            await self.proxy.start()

    async def close(self) -> None:
        self.server.close()
        if self.proxy is not None:
            await self.proxy.close()

    def behind_proxy(self) -> FaultProxy:
        """Puts a proxy before it; to be called before the start."""
        self.proxy = FaultProxy(lambda: self.port)
        return self.proxy

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with self.platform.serving(writer):
            while not writer.transport.is_closing():
                asked = await request_of(reader)
                asked.engine, asked.reader, asked.writer = self.name, reader, writer
                asked.down = self.server.close
                self.platform.note(asked)
                if asked.method == "DELETE":
                    await asked.say(whole(204))
                elif self.scripts:
                    await self.scripts.pop(0)(asked)
                else:
                    await asked.say(READ if self.kind == "prefill" else GOOD)


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool  # ended as its head said


class Client:
    """One raw connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def head(self) -> Answer:
        lines = (await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), WAIT)).decode().split("\r\n")
        return Answer(int(lines[0].split(" ")[1]), _fields(lines[1:-2]), b"", False)

    async def chunk(self) -> bytes:
        size = int(await asyncio.wait_for(self.reader.readuntil(b"\r\n"), WAIT), 16)
        data = await asyncio.wait_for(self.reader.readexactly(size + 2), WAIT)
        return data[:-2]

    async def rest(self, answer: Answer) -> Answer:
        """The answer to its end, or as far as it came."""
        try:
            if "transfer-encoding" in answer.headers:
                while data := await self.chunk():
                    answer.body += data
            else:
                length = int(answer.headers.get("content-length", "0"))
                answer.body = await asyncio.wait_for(self.reader.readexactly(length), WAIT)
            answer.whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        return answer

    async def answer(self) -> Answer:
        return await self.rest(await self.head())

    async def end(self) -> bytes:
        """All that still comes, to the close."""
        try:
            return await asyncio.wait_for(self.reader.read(), WAIT)
        except ConnectionError:
            return b""

    def close(self) -> None:
        self.writer.transport.abort()


BODY = b'{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hi"}]}'


def post(name: str, kind: str = "ask", body: bytes = BODY, **fields: str | None) -> bytes:
    """A request's bytes; a field of None is left out."""
    said: dict[str, str | None] = {
        "host": "origin.svc",
        "req-id": name,
        "req-kind": kind,
        "req-owner": "one",
        "req-key": f"k{name}",
        "req-deadline": "4000m",
        "req-extra": "prefix=5c0f,prompt_len=40,prefix_len=8,max_out=40",
        "content-length": str(len(body)),
    }
    said |= {key.replace("_", "-"): value for key, value in fields.items()}
    lines = "".join(f"{key}: {value}\r\n" for key, value in said.items() if value is not None)
    return f"POST /v1/chat/completions?v=1 HTTP/1.1\r\n{lines}\r\n".encode() + body


class Platform:
    def __init__(self, folder: Path, kinds: dict[str, str]) -> None:
        self.folder = folder
        self.engines = {name: Engine(self, name, kind) for name, kind in kinds.items()}
        self.states = dict.fromkeys(kinds, "active")
        self.version = 1
        self.seen: list[Request] = []
        self.lists: list[str] = []  # targets asked of the agent
        self.list_scripts: list[bytes | None] = []  # the agent's answers that come first; None for silence
        self.list_gate = asyncio.Event()  # while clear, the agent hears and says nothing
        self.list_gate.set()
        self.news = asyncio.Condition()
        self.process: asyncio.subprocess.Process
        self.run: asyncio.Future[None]  # of a node inside this process
        self.tasks: set[asyncio.Task[Any]] = set()
        self.clients: list[Client] = []
        self.port = self.agent_port = 0
        self.log = b""
        self.settings = SETTINGS
        self.sockets = 256
        self.redirection = ""  # of the node's standard files, as a shell words it
        self.reads_log = asyncio.Event()  # while clear, the node's standard error is not read
        self.reads_log.set()

    @asynccontextmanager
    async def serving(self, writer: asyncio.StreamWriter) -> AsyncIterator[None]:
        """Around one connection's work: whatever ends it, nothing of it stays open."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                yield
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def note(self, asked: Request) -> None:
        self.seen.append(asked)
        self.changed()

    def changed(self) -> None:
        async def tell() -> None:
            async with self.news:
                self.news.notify_all()

        self.telling = asyncio.ensure_future(tell())

    async def until(self, true: Callable[[], bool]) -> None:
        """Until something that is seen here makes it true."""
        async with self.news:
            await asyncio.wait_for(self.news.wait_for(true), WAIT)

    def shots(self, name: str, role: str = "") -> list[Request]:
        """The requests that engines got for a query, without the calls that let go."""
        return [
            one
            for one in self.seen
            if one.headers.get("req-id") == name
            and (not role or (self.engines[one.engine].kind == "prefill") == (role == "read"))
        ]

    def let_go(self, name: str) -> list[Request]:
        return [one for one in self.seen if one.target == f"/state/{name}"]

    # The list.

    def listed(self, snapshot: bool = True) -> bytes:
        return json.dumps(
            {
                "index": self.version,
                "snapshot": snapshot,
                "endpoints": [
                    {
                        "name": name,
                        "address": f"{HOST}:{engine.listed_port}",
                        "zone": "a",
                        "type": engine.kind,
                        "group": 1,
                        "status": self.states[name],
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for name, engine in self.engines.items()
                ],
            }
        ).encode()

    def tell(self, **states: str) -> None:
        """News of the list."""
        self.states |= states
        self.version += 1
        self.changed()

    @asynccontextmanager
    async def agent(self) -> AsyncIterator[int]:
        """The agent, and its port."""
        agent = await asyncio.start_server(self._agent, HOST, 0)
        try:
            yield int(agent.sockets[0].getsockname()[1])
        finally:
            agent.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await asyncio.sleep(0)  # aborted transports are closed by the loop's next round

    async def _agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with self.serving(writer):
            while True:
                asked = await request_of(reader)
                self.lists.append(asked.target)
                self.changed()
                await self.list_gate.wait()
                body: bytes | None = self.listed()
                if self.list_scripts:
                    body = self.list_scripts.pop(0)
                elif "after=" in asked.target:
                    after = int(asked.target.partition("after=")[2].partition("&")[0])
                    async with self.news:
                        with suppress(TimeoutError):
                            await asyncio.wait_for(
                                self.news.wait_for(lambda a=after: self.version != a),  # type: ignore[misc]
                                int(asked.target.partition("wait_ms=")[2]) / 1000,
                            )
                    body = self.listed(snapshot=False)
                if body is None:
                    await reader.read()
                    return
                writer.write(body if body.startswith(b"HTTP/") else whole(200, body))

    # The node.

    def write_config(self, **said: Any) -> Path:
        file = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.agent_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": json.loads(self.listed()),
            "settings": self.settings,
        } | said
        file.write_text(json.dumps(config))
        return file

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Platform]:
        """Engines, agent and a node that says it is ready; the node is ended at the end."""
        async with self._around(), self._node():
            yield self

    @asynccontextmanager
    async def _around(self) -> AsyncIterator[None]:
        """Engines and agent; whatever a test left open to the node is closed at the end."""
        async with self.agent() as self.agent_port:
            for engine in self.engines.values():
                await engine.start()
            try:
                yield
            finally:
                for engine in self.engines.values():
                    await engine.close()
                for client in self.clients:
                    client.close()

    @asynccontextmanager
    async def inside(self, wait: bool = True) -> AsyncIterator[NodeServer]:
        """The same with the node in this process, to look into; with `wait` once it is ready."""
        async with self._around():
            posting = read_node_config({"BALANCER_CONFIG": str(self.write_config(listen="127.0.0.1:1"))})
            posting = replace(posting, listen=("127.0.0.1", 0))
            running, ready = NodeServer(posting, lambda: posting, self.sockets), _Ready()
            task = self.run = asyncio.ensure_future(running.run(task_status=ready))
            if wait:
                await ready.wait()
            while not running.port:
                await asyncio.sleep(0)
            self.port = running.port
            try:
                yield running
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    @asynccontextmanager
    async def _node(self) -> AsyncIterator[None]:
        self.port = free_port()
        file = self.write_config()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f'exec "$0" -m runspool.node {self.redirection}',
            sys.executable,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"BALANCER_CONFIG": str(file), "RUNSPOOL_LOG": "debug"},
        )
        logging = asyncio.ensure_future(self._keep_log())
        try:
            if self.redirection:
                await self._answers()
            else:
                await self.logged("node_listening")
            client = await self.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n")
            assert (await client.answer()).status == 200
            client.close()
            await self.until(lambda: any("after=" in one for one in self.lists) or bool(self.list_scripts))
            yield
            assert self.process.returncode in (None, 0), self.log.decode()
            for fault in (b"Traceback", b"_failed", b"invariant_violated"):
                assert fault not in self.log, self.log.decode()
        finally:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await logging

    async def _answers(self) -> None:
        """Until the node, of which no log is seen, takes connections."""
        async with asyncio.timeout(WAIT):
            while True:
                with suppress(OSError):
                    (await self.client()).close()
                    return
                await asyncio.sleep(0.01)

    async def _keep_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            await self.reads_log.wait()
            self.log += line
            self.changed()

    async def logged(self, event: str) -> None:
        await self.until(lambda: f'"event":"{event}"'.encode() in self.log)

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(HOST, self.port))
        self.clients.append(client)
        return client

    async def ask(self, data: bytes) -> Answer:
        """One request on a connection of its own."""
        client = await self.client()
        try:
            client.send(data)
            return await client.answer()
        finally:
            client.close()


class _Ready(asyncio.Event):
    def started(self, value: object = None) -> None:
        self.set()


CLAIMS: list[socket.socket] = []


def free_port() -> int:
    """One below those that the kernel takes for calls going out: a node that restarts finds it free again. As
    long as this process lives no other is given it: a claim is held, the UDP port of that number."""
    while True:
        port, claim = Random().randrange(12_000, 20_000), socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((HOST, port))
            with socket.socket() as one:
                one.bind((HOST, port))
        except OSError:
            claim.close()
            continue
        CLAIMS.append(claim)
        return port
