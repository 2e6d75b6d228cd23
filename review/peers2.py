"""Stand-ins of the second review: engines, discovery agents and clients around one real front node.

They keep to the operators' pages. The node is started with the command of `deploy/balancer.toml` as a process
of its own; everything else runs in the process of the case. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

MAX_RECORDED_ENTRIES = 20  # entries of a list that are recorded
BOTH_EFFECTS = (("staff-ask", "idempotent", 6.0), ("payout-close", "at_most_once", 15.0))


class CannotRunError(Exception):
    """The case could not be played."""


def settings(
    effects: tuple[tuple[str, str, float], ...] = BOTH_EFFECTS, resume: bool = True
) -> dict[str, Any]:
    """Return the settings of a small deployment; `effects` has name, effect and deadline of each class."""
    return {
        "classes": [
            {
                "name": name,
                "aim-us": 1_500_000,
                "deadline-us": int(deadline * 1_000_000),
                "credit": 1.0,
                "late-value": 0.2,
                "effect": effect,
                "key-scope": "all",
                "window-us": 5_000_000,
                "stream": True,
            }
            for name, effect, deadline in effects
        ],
        "clients": {"marks-retry": True},
        "discovery": "pushed",
        "family-info": {
            "ahead": False,
            "aim-us-per-1000-prompt-tokens": [40_000.0] * len(effects),
            "cross-cell-price": 0.03,
            "kind-role": ["read", "write", "both"],
            "memory-tokens": [150_000, 110_000, 280_000],
            "read-in-place": False,
            "release-within-us": 300_000,
            "resume": resume,
            "token-aim-us": [60_000.0] * len(effects),
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
        "locality": "waw-1",
        "me": 0,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.011, "late-fail": 0.034, "waste": 0.08},
        "realms": [{"name": "stol-razem", "fraction": 1.0, "quota-rps": 100.0}],
        "rules": {
            "answer-slack-us": 8_000,
            "cold-from": 0.27,
            "cold-us": 14_000_000,
            "drain-grace-us": 250_000,
            "fall-us": 1_500_000,
            "tip-multiple": 2.5,
        },
        "siblings": 1,
        "tier": 0,
        "tiers": ["model-fleet"],
        "zones": ["waw-1", "waw-2"],
    }


class Record:
    """Everything that was sent, answered and run, in memory and in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self._file = (folder / "record.txt").open("w")

    def add(self, what: str, **details: Any) -> float:  # noqa: ANN401 - written as it is
        """Add an event; return its time in seconds from the start."""
        at = time.monotonic() - self.began
        self.events.append({"t": at, "what": what, **details})
        said = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{at:8.3f} {what} {said}\n")
        self._file.flush()
        return at

    def all(self, what: str, **details: Any) -> list[dict[str, Any]]:  # noqa: ANN401 - compared only
        """Return the events of a kind with these details."""
        return [
            event
            for event in self.events
            if event["what"] == what and all(event.get(key) == value for key, value in details.items())
        ]

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class HttpMessage:
    """A request, or a response without its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a message with the body that its `Content-Length` announces."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return HttpMessage(lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def response(status: int, body: bytes = b"", declined: bool = False) -> bytes:
    """Return a response that is not a stream."""
    extra = "Srv-Declined: 1\r\n" if declined else ""
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} X\r\n{extra}{length}\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def text_event(text: str) -> bytes:
    """Return an event with a part of the answer."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return b"data: " + json.dumps({"choices": [choice]}, separators=(",", ":")).encode() + b"\n\n"


def ending(tokens: int) -> list[bytes]:
    """Return the last events of an answer."""
    finish = {"choices": [{"index": 0, "delta": {"content": "."}, "finish_reason": "stop"}]}
    usage = {
        "prompt_tokens": 400,
        "completion_tokens": tokens,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    last = [finish, {"choices": [], "usage": usage}]
    return [b"data: " + json.dumps(event).encode() + b"\n\n" for event in last] + [b"data: [DONE]\n\n"]


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def usual_answer(request: str) -> list[bytes]:
    """Return the events of a short answer, which differ by request."""
    return [text_event(f"{request}-{index} ") for index in range(6)] + ending(24)


@dataclass(eq=False)
class Engine:
    """One engine: reader (`prefill`), writer (`decode`) or both (`mixed`).

    Attributes:
        fleet: The fleet that it belongs to, with the states that all engines hold.
        name: Its name on the list.
        kind: What its process is now; the list may say so later.
        read_time: How long it reads a prompt, in seconds.
        event_time: The time between two events of an answer, in seconds.
        slowness: The factor by which both take longer.
        answer: Returns the events of the answer to a request.
    """

    fleet: Fleet
    name: str
    kind: str
    read_time: float = 0.03
    event_time: float = 0.05
    slowness: float = 1.0
    answer: Callable[[str], list[bytes]] = usual_answer
    since_ms: int = 0
    port: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen; after a restart on the same port."""
        self.server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a process that dies does: connections are reset, what it held is gone."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        for request in [request for request, holder in self.fleet.states.items() if holder is self]:
            del self.fleet.states[request]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                await self._serve(await read_message(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        method, target, _ = request.first_line.split(" ")
        record = self.fleet.record
        if method == "DELETE":
            name = target.removeprefix("/state/")
            record.add("released", engine=self.name, request=name)
            self.fleet.states.pop(name, None)
            writer.write(response(204))
            return
        name = request.headers.get("req-id", "")
        record.add(
            "arrived",
            engine=self.name,
            kind=self.kind,
            request=name,
            deadline=request.headers.get("req-deadline"),
        )
        if name not in self.fleet.known_requests:
            record.add("unknown", engine=self.name, request=name)
            writer.write(response(400 if name else 404))
        elif self.kind == "prefill":
            await asyncio.sleep(self.read_time * self.slowness)
            self.fleet.states[name] = self
            writer.write(response(202, b'{"cached_tokens":0}'))
        elif self.kind == "decode" and name not in self.fleet.states:
            record.add("declined", engine=self.name, request=name)
            writer.write(response(410, declined=True))
        else:
            await self._run(name, writer)

    async def _run(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Run a request: from here on it has taken effect, as engines need not stop given-up work."""
        record = self.fleet.record
        if self.fleet.states.pop(name, None) is None:
            await asyncio.sleep(self.read_time * self.slowness)
        record.add("ran", engine=self.name, kind=self.kind, request=name)
        writer.write(STREAM_HEAD)
        for event in self.answer(name):
            if writer.transport.is_closing():
                record.add("engine_saw_close", engine=self.name, request=name)
                raise ConnectionResetError
            record.add("event", engine=self.name, request=name, data=event.decode().strip()[:90])
            writer.write(chunk(event))
            await asyncio.sleep(self.event_time * self.slowness)
        writer.write(chunk(b""))
        record.add("engine_done", engine=self.name, request=name)


class Agent:
    """A discovery agent with its own view of the list; it answers at once what it has.

    Attributes:
        index: The version of its list.
        entries: The entries of its list by engine, each with the version in which it last changed.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.port = 0
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.before_answer: Callable[[], Awaitable[None]] | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def receive(self, index: int, entries: list[dict[str, Any]]) -> None:
        """Take in what discovery sends: the entries that changed in a version of the list."""
        self.index = index
        for entry in entries:
            self.entries[entry["name"]] = (index, entry)
        async with self.changed:
            self.changed.notify_all()

    def message(self, after: int | None) -> bytes:
        """Return the whole list, or what has changed after a version."""
        listed = [
            entry
            for index, entry in self.entries.values()
            if (entry["status"] != "left" if after is None else index > after)
        ]
        said = {"index": self.index, "snapshot": after is None, "endpoints": listed}
        return json.dumps(said).encode()

    def close_connections(self) -> None:
        """Close what is open."""
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                query = request.first_line.split(" ")[1].partition("?")[2]
                wanted = dict(pair.split("=") for pair in query.split("&") if pair)
                after = int(wanted["after"]) if "after" in wanted else None
                if self.before_answer is not None:
                    await self.before_answer()
                if after is not None and after == self.index:
                    async with self.changed:
                        with suppress(TimeoutError):
                            await asyncio.wait_for(
                                self.changed.wait_for(lambda after=after: self.index != after),
                                int(wanted["wait_ms"]) / 1000,
                            )
                body = self.message(after)
                writer.write(response(200, body))
                entries = json.loads(body)["endpoints"][:MAX_RECORDED_ENTRIES]
                self.fleet.record.add(
                    "told",
                    agent=self.name,
                    index=self.index,
                    whole=after is None,
                    states=",".join(f"{entry['name']}:{entry['status']}" for entry in entries),
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Fleet:
    """The engines, the true list of them, and the states that they hold."""

    def __init__(self, record: Record, kinds: dict[str, str]) -> None:
        self.record = record
        self.states: dict[str, Engine] = {}
        self.known_requests: set[str] = set()
        self.engines = {name: Engine(self, name, kind) for name, kind in kinds.items()}
        self.status = dict.fromkeys(kinds, "active")
        self.index = 41

    async def start(self) -> None:
        """Start all engines."""
        for engine in self.engines.values():
            await engine.start()

    def entry(self, name: str) -> dict[str, Any]:
        """Return the present entry of an engine."""
        engine = self.engines[name]
        return {
            "name": name,
            "address": f"{HOST}:{engine.port}",
            "zone": "waw-1",
            "type": engine.kind,
            "group": 1,
            "status": self.status[name],
            "weight": 1.0,
            "since_ms": engine.since_ms,
        }

    def entries(self) -> list[dict[str, Any]]:
        """Return the present entries of all engines."""
        return [self.entry(name) for name in self.engines]


class Node:
    """A real front node, as a process of its own, started as the platform starts it."""

    def __init__(
        self, record: Record, folder: Path, node_settings: dict[str, Any], sockets: int = 512
    ) -> None:
        self.record, self.folder, self.settings = record, folder, node_settings
        self.sockets = sockets
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, agent: Agent, known: list[dict[str, Any]], index: int, memory_mb: int) -> Path:
        """Write the configuration file."""
        file = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": self.sockets},
            "known": {"index": index, "snapshot": True, "endpoints": known},
            "settings": self.settings,
        }
        new = file.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(file)
        return file

    async def start(
        self, agent: Agent, known: list[dict[str, Any]], index: int, memory_mb: int = 192
    ) -> None:
        """Start the process, and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        file = self.write_config(agent, copy.deepcopy(known), index, memory_mb)
        log = (self.folder / "node.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=os.environ | {"BALANCER_CONFIG": str(file), "RUNSPOOL_LOG": "debug"},
        )
        log.close()
        self.record.add("node_started", pid=self.process.pid)
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRunError(f"the node ended with {self.process.returncode}")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
                try:
                    if " 200 " in (await read_message(reader)).first_line:
                        self.record.add("node_ready")
                        return
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.05)
        raise CannotRunError("the node is not ready after 30 s")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add("signal", number=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


@dataclass
class Answer:
    """What a client got."""

    status: int = 0
    body: bytes = b""
    whole: bool = False


async def ask(
    fleet: Fleet, node: Node, name: str, kind: str, limit_ms: int, max_out: int = 60, patience: float = 60.0
) -> Answer:
    """Send a request on a connection of its own, read the answer, and record both."""
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": max_out,
            "messages": [{"role": "user", "content": "x" * 1_600}],
        }
    ).encode()
    fields = {
        "Host": "origin.svc",
        "Req-Id": name,
        "Req-Kind": kind,
        "Req-Owner": "stol-razem",
        "Req-Key": f"k{name}",
        "Req-Deadline": f"{limit_ms}m",
        "Req-Extra": f"prompt_len=400,max_out={max_out}",
        "Content-Length": str(len(body)),
    }
    head = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    fleet.known_requests.add(name)
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            fleet.record.add("asked", request=name, kind=kind)
            writer.write(f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n".encode() + body)
            message = await read_message(reader)
            answer.status, answer.body = int(message.first_line.split(" ")[1]), message.body
            fleet.record.add("client_head", request=name, status=answer.status)
            if "transfer-encoding" in message.headers:
                await _read_chunks(reader, answer)
            else:
                answer.whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        fleet.record.add("client_broken", request=name, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()
    fleet.record.add("answered", request=name, status=answer.status, whole=answer.whole)
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.whole = True
            return
        answer.body += data[:-2]


Case = Callable[[Record, Path], Awaitable[list[str]]]


def play(folder: Path, case: Case, seconds: float = 110.0) -> None:
    """Play a case and exit: it returns what broke the rule, and raises CannotRunError if it could not run."""
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))
    code = COULD_NOT_RUN

    async def limited() -> list[str]:
        async with asyncio.timeout(seconds):
            return await case(record, work)

    try:
        breaks = asyncio.run(limited())
        code = BROKEN if breaks else HELD
        for text in breaks:
            record.add("BROKEN", text=text)
            print("broken:", text)
        print("rule broken" if breaks else "rule held", f"(TROUBLE={int(TROUBLE)})")
    except Exception as error:  # noqa: BLE001 - a fault of the case itself must not look like a broken rule
        record.add("could_not_run", error=repr(error))
        print("could not run:", repr(error))
    finally:
        log = work / "node.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                record.add("node_log", line=line)
        record.close()
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)
