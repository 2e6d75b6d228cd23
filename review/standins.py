"""Stand-ins of clients, engines, the discovery agent and the platform, for the cases of this review.

They follow the operators' protocol page and use the standard library only. All of them run in the event loop
of the case's script; the front node is a process of its own, started by the `run` command of the deploy file.
Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
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
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_SECONDS = 15.0  # how long a front node may take until /_health answers 200
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
DONE_EVENT = b"data: [DONE]\n\n"


class CaseError(Exception):
    """The case cannot run here; this says nothing about the rule."""


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def token_event(text: str, finish: str | None = None) -> bytes:
    """Return one event of an answer, as the protocol page shows it."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def usage_event(prompt_tokens: int, tokens: int) -> bytes:
    """Return the event that says how much of the prompt was found kept."""
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    return b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n"


class Record:
    """What was sent, answered and run, written to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def at(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        """Write one line with the time before it."""
        print(f"{self.at():9.3f}  {text}", file=self.file, flush=True)


def split_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers by lower-case name."""
    first, *rest = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in rest if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message whose body, if it has any, has a Content-Length."""
    head = await reader.readuntil(HEAD_END)
    first, headers = split_head(head[: -len(HEAD_END)])
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


Answer = Callable[["Engine", str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Engine:
    """A stand-in of an engine: a reader, a writer or both.

    `answer` replaces its answer to a request with an id, if it is set; it returns whether it has answered.
    """

    def __init__(self, name: str, kind: str, record: Record, group: int = 0) -> None:
        self.name, self.kind, self.record, self.group = name, kind, record, group
        self.address = ""
        self.read_seconds = 0.03
        self.tokens = 6
        self.token_seconds = 0.03
        self.answer: Answer | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self, status: str = "active") -> dict[str, Any]:
        """Return the engine's entry in the list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": self.kind,
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                identity = headers.get("req-id", "")
                left = headers.get("req-deadline", "")
                self.record.line(
                    f"{self.name} got {method} {target} {identity} ({len(body)} bytes) deadline={left}"
                )
                if method == "DELETE":
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif not identity:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif self.answer is None or not await self.answer(self, identity, reader, writer):
                    await self._work(identity, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the peer has closed the connection, or the case is at its end
        finally:
            writer.close()

    async def _work(self, identity: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.read_seconds)
        if self.kind == "prefill":
            body = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            self.record.line(f"{self.name} has read {identity}")
            return
        writer.write(STREAM_HEAD)
        for number in range(self.tokens):
            writer.write(chunk(token_event(f"t{number} ")))
            await writer.drain()
            await asyncio.sleep(self.token_seconds)
        writer.write(chunk(token_event("end", "stop")))
        writer.write(chunk(usage_event(100, self.tokens)) + chunk(DONE_EVENT) + LAST_CHUNK)
        self.record.line(f"{self.name} has answered {identity}")


class Agent:
    """A stand-in of the discovery agent.

    Attributes:
        speaks: Set while discovery is up. Otherwise the agent accepts connections and says nothing.
    """

    def __init__(self, engines: list[Engine], record: Record) -> None:
        self.engines, self.record = engines, record
        self.index = 41
        self.speaks = asyncio.Event()
        self.speaks.set()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        entries = [engine.entry() for engine in self.engines]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                target = first.split(" ")[1]
                answer = self.whole_list()
                if "after=" in target:
                    pairs = (pair.split("=") for pair in target.partition("?")[2].split("&"))
                    asked = dict(pairs)
                    if int(asked["after"]) >= self.index:
                        await asyncio.sleep(int(asked.get("wait_ms", "0")) / 1000)
                        answer = {"index": self.index, "snapshot": False, "endpoints": []}
                await self.speaks.wait()
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the peer has closed the connection, or the case is at its end
        finally:
            writer.close()


def settings(classes: list[dict[str, Any]], resume: bool = True) -> dict[str, Any]:
    """Return settings in the form of the wire page, with the figures of the first deployment."""
    return {
        "classes": classes,
        "clients": {"marks-retry": True},
        "discovery": "pushed",
        "family-info": {
            "ahead": False,
            "aim-us-per-1000-prompt-tokens": [40000.0] * len(classes),
            "cross-cell-price": 0.03,
            "kind-role": ["read", "write", "both"],
            "memory-tokens": [155805, 111798, 285698],
            "read-in-place": False,
            "release-within-us": 300000,
            "resume": resume,
            "token-aim-us": [60000.0] * len(classes),
        },
        "host-types": ["prefill", "decode", "mixed"],
        "limits": {
            "cancel": True,
            "conn-idle-us": 30000000,
            "dial-timeout-us": 250000,
            "max-attempts": 5,
            "max-open": 26864,
            "max-retry-after-us": 2000000,
            "multiplex": 32,
            "peers": False,
            "probes": False,
            "retry-after": True,
            "second-copies": True,
        },
        "locality": "a",
        "me": 0,
        "realms": [],
        "rules": {
            "answer-slack-us": 8000,
            "ask-within-us": 10000000,
            "cold-from": 0.27,
            "cold-us": 14000000,
            "drain-grace-us": 250000,
            "fall-us": 1500000,
            "tip-multiple": 2.5,
        },
        "service-type": "twostage",
        "siblings": 1,
        "tier": 0,
        "tiers": ["model-fleet"],
        "weight-source": "none",
        "worth-by": "work",
        "zones": ["a"],
    }


def request_class(name: str, effect: str, deadline_us: int, aim_us: int) -> dict[str, Any]:
    """Return one class of requests in the form of the settings."""
    return {
        "name": name,
        "effect": effect,
        "deadline-us": deadline_us,
        "aim-us": aim_us,
        "credit": 1.0,
        "key-scope": "all",
        "late-value": 0.2,
        "stream": True,
        "window-us": 5000000,
    }


class Node:
    """A front node, started by the `run` command of the deploy file, as the platform does."""

    def __init__(self, record: Record, agent: Agent, node_settings: dict[str, Any], memory_mb: int) -> None:
        self.record, self.agent, self.memory_mb = record, agent, memory_mb
        self.settings = node_settings
        self.sockets = 1024
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = _free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.killed_start = 0  # the latest start whose process has been killed

    async def start(self) -> None:
        """Start the process; this does not wait until it serves."""
        deploy = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text(encoding="utf-8"))
        if not (REPOSITORY / ".run/venv/bin/python").exists():
            raise CaseError("the build of the deploy file has not run")
        self.starts += 1
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.address,
            "seed": f"{self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.agent.whole_list(),
            "settings": self.settings,
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            **os.environ,
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_DISCOVERY": self.agent.address,
            "BALANCER_CONFIG": str(file),
            "TMPDIR": str(self.folder),
        }
        log = (self.folder / f"log-{self.starts}").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.line(f"platform started the front node (start {self.starts})")

    async def wait_ready(self) -> None:
        """Wait until /_health answers 200."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            try:
                if await asyncio.wait_for(self._health(), 3.0) == 200:
                    self.record.line("front node is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CaseError("the front node was not ready in time")

    async def _health(self) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            first, _, _ = await read_message(reader)
            return int(first.split(" ")[1])
        finally:
            writer.close()

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs."""
        return self.process.returncode if self.process is not None else None

    def memory(self) -> float:
        """Return the resident memory of the process in MB; 0 if it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        rows = [line for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(rows[0].split()[1]) / 1024 if rows else 0.0

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is None:
            return
        if self.process.returncode is None and self.killed_start != self.starts:
            self.killed_start = self.starts
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self) -> None:
        """End the process and remove its files; the end of its log goes to the record."""
        await self.kill()
        for number in range(1, self.starts + 1):
            text = (self.folder / f"log-{number}").read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines()[-40:]:
                self.record.line(f"log of start {number}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def completion(identity: str, kind: str, deadline_ms: int, prompt_tokens: int = 100) -> bytes:
    """Return a client's request, as the protocol page shows it."""
    text = "word " * 8
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": text}],
        }
    ).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
        + f"Req-Id: {identity}\r\nReq-Kind: {kind}\r\nReq-Key: k{identity}\r\n".encode()
        + f"Req-Deadline: {deadline_ms}m\r\n".encode()
        + f"Req-Extra: prompt_len={prompt_tokens},max_out=20\r\n".encode()
        + b"Content-Type: application/json\r\n"
        + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


class Client:
    """A client with one connection and one request.

    Attributes:
        sent_at: When the last byte of the request was written.
        status: The status of the answer; 0 before its head.
        first_event_at, last_event_at: When the first and the latest events came.
        ended_at: When the connection ended or the answer was complete.
        gave_up_at: When the client closed its connection because it had waited for too long.
        complete: Whether the answer came to its end.
    """

    def __init__(self, node: Node, identity: str) -> None:
        self.node, self.identity, self.record = node, identity, node.record
        self.sent_at = self.first_event_at = self.last_event_at = 0.0
        self.ended_at = self.gave_up_at = 0.0
        self.status = 0
        self.complete = False
        self.body = b""

    async def run(self, request: bytes, patience: float) -> None:
        """Send the request and read its answer for at most `patience` seconds."""
        try:
            async with asyncio.timeout(patience):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.node.port)
                try:
                    await self._exchange(reader, writer, request)
                finally:
                    writer.close()
        except TimeoutError:
            self.gave_up_at = self.record.at()
            self.record.line(f"client {self.identity}: nothing more within {patience:.1f} s")
            return
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.line(f"client {self.identity}: connection ended ({type(error).__name__})")
        self.ended_at = self.record.at()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
    ) -> None:
        writer.write(request)
        await writer.drain()
        self.sent_at = self.record.at()
        self.record.line(f"client {self.identity} sent its request")
        head = await reader.readuntil(HEAD_END)
        first, headers = split_head(head[: -len(HEAD_END)])
        self.status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") != "chunked":
            self.body = await reader.readexactly(int(headers.get("content-length", "0")))
            self.complete = True
            self.record.line(f"client {self.identity} got {self.status} {self.body.decode()}")
            return
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
            self.last_event_at = self.record.at()
            self.first_event_at = self.first_event_at or self.last_event_at
            self.body += data
            self.record.line(f"client {self.identity} got {data!r}")
        self.complete = True
        self.record.line(f"client {self.identity} got the whole answer")


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case and exit with its code; what prevents the case from running exits with 2."""
    record = Record(folder)
    record.line(f"TROUBLE={int(TROUBLE)}")
    try:
        code = asyncio.run(_bounded(case, record))
    except Exception as error:  # noqa: BLE001 - a fault of the case must not look like a broken rule
        record.line(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "not run"))
    sys.exit(code)


async def _bounded(case: Callable[[Record], Awaitable[int]], record: Record) -> int:
    async with asyncio.timeout(110):
        return await case(record)
