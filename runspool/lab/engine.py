"""A stand-in engine: the model of one engine behind the published two-stage completions.

What it is told by the lab's clients in the body's `standin` field (the try, the true length of the answer)
no real engine is told.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import anyio
import msgspec
import xxhash
from anyio.abc import SocketListener, SocketStream, TaskGroup, TaskStatus

from runspool.engines.failure_classification import STATE_GONE
from runspool.lab.http_server import Asked, PeerClosedError, serve, serve_all
from runspool.lab.model import BLOCK, Job, Make, Model, Step, Verdict
from runspool.lab.recording import Recorder
from runspool.service.clock import now
from runspool.wire.completions import DONE, chunk, error_body
from runspool.wire.engine_messages import LOAD_REPORT_HEADER
from runspool.wire.fields import BYTES_PER_TOKEN

FETCH_LIMIT = 10.0  # seconds that a writer waits for a state to come
MODEL = "standin"

# Mishaps that can be forced on a share of requests: the rows of the endings table that an engine can cause.
ROWS = (
    "reset_before_body",
    "reset_after",
    "close_after",
    "silent",
    "full_429",
    "full_503",
    "bad_400",
    "missing_404",
    "failed_500",
    "failed_500_after_run",
    "garbled",
    "garbled_status",
    "endless",
    "cut_answer",
    "cut_stream",
    "reset_stream",
    "silent_stream",
    "no_finish",
    "error_event",
    "head_garbled",
    "huge_event",
)


class Standin(msgspec.Struct):
    try_: str = msgspec.field(name="try", default="")
    out: int = 64
    poison: bool = False  # an engine that starts to write it goes down


class Params(msgspec.Struct):
    do_remote_decode: bool = False
    do_remote_prefill: bool = False
    remote_engine_id: str | None = None
    remote_request_id: str | None = None
    remote_host: str | None = None
    remote_port: int | None = None


class Body(msgspec.Struct):
    prompt: str | list[int]
    max_tokens: int = 16
    stream: bool = False
    kv_transfer_params: Params | None = None
    standin: Standin | None = None


_body: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


@dataclass(slots=True, eq=False)
class Live:
    """A job and whoever waits for it."""

    job: Job
    asked: Asked
    request: str
    try_: str
    params: Params | None
    out: anyio.Event = field(default_factory=anyio.Event)  # rung at each token or at the read's end
    ran: bool = False
    lost: bool = False  # its state could not be had


@dataclass(slots=True)
class Faults:
    hung: bool = False
    reports: bool = True
    shares: dict[str, float] = field(default_factory=dict)  # mishap row: share of requests
    failing: dict[str, tuple[str, float]] = field(default_factory=dict)  # tariff: silence or error, share
    # tenant or tariff: how many a second it may send, and how long it takes to say that it is over
    throttled: dict[str, tuple[float, int]] = field(default_factory=dict)
    connections: int = 100_000


class Engine:
    def __init__(self, make: Make, record: Recorder, cold: bool, seed: int) -> None:
        self.make = make
        self.record = record
        self.model = Model(make, now(), cold, seed)
        self.draw = Random(seed + 1).random
        self.faults = Faults()
        self.live: dict[int, Live] = {}
        self.work = anyio.Event()
        self.calm = anyio.Event()
        self.calm.set()
        self.port = 0
        self.open = 0
        self.host = "127.0.0.1"
        self.token = "t"
        self.buckets: dict[str, tuple[float, int]] = {}
        self.tasks: TaskGroup | None = None

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports its port as started."""
        self.host = host
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            async with listener:
                one = listener.listeners[0]
                assert isinstance(one, SocketListener)
                self.port = int(one.extra(anyio.abc.SocketAttribute.local_port))
                make = self.make
                self.record.line(
                    "engine_up",
                    engine=make.name,
                    role=make.role,
                    zone=make.zone,
                    rack=make.rack,
                    cold=self.model.warmth(now()) < 1,
                    cold_from=make.cold_from,
                    cold_time=make.cold_time,
                    multiple=make.fall_multiple,
                    fall_time=make.fall_time,
                    work=make.work,
                )
                tasks.start_soon(self._steps)
                task_status.started(self.port)
                await serve_all(one, self._client, tasks)

    def fall(self) -> None:
        """An engine pushed over takes its process with it."""
        os._exit(3)

    def fault(self, name: str, **said: Any) -> None:
        """Plays a fault; raises ValueError on one it does not know."""
        self.record.line("fault", engine=self.make.name, fault=name, **said)
        match name:
            case "hang":
                self.faults.hung = bool(said["on"])
                if self.faults.hung:
                    self.calm = anyio.Event()
                else:
                    self.calm.set()
            case "slow":
                self.model.slowed = float(said["times"])
            case "links":
                self.model.links_slowed = float(said["times"])
            case "forget":
                self.model.forget(float(said["share"]))
            case "row":
                if said["row"] not in ROWS:
                    raise ValueError(f"no row {said['row']}")
                self.faults.shares[said["row"]] = float(said["share"])
            case "tariff":
                self.faults.failing[said["tariff"]] = (said["how"], float(said["share"]))
            case "throttle":
                if said["per_second"] is None:
                    self.faults.throttled.pop(said["whose"], None)
                else:
                    self.faults.throttled[said["whose"]] = (float(said["per_second"]), int(said["say_after"]))
            case "connections":
                self.faults.connections = int(said["most"])
            case _:
                raise ValueError(f"no fault {name}")

    # Steps.

    async def _steps(self) -> None:
        while True:
            await self.calm.wait()
            for job in self.model.admit():
                self._spawn(self._fetch, self.live[id(job)])
            step = self.model.step(now())
            if step is None:
                self.work = anyio.Event()
                await self.work.wait()
                continue
            await anyio.sleep(step.length / 10_000)
            await self.calm.wait()
            self._end(step)

    def _end(self, step: Step) -> None:
        done = self.model.end(step)
        for job in [*done.read, *done.tokens]:
            live = self.live.get(id(job))
            if live is not None:
                if job.answers and not live.ran:
                    live.ran = True
                    self.record.line("ran", engine=self.make.name, request=live.request, **{"try": live.try_})
                live.out.set()

    async def _fetch(self, live: Live) -> None:
        """Brings a state here from where it waits."""
        params, got = live.params, False
        assert params is not None
        try:
            with anyio.fail_after(FETCH_LIMIT):
                stream = await anyio.connect_tcp(str(params.remote_host), int(params.remote_port or 0))
                async with stream:
                    said = msgspec.json.encode(
                        {
                            "state": params.remote_request_id,
                            "zone": self.make.zone,
                            "rack": self.make.rack,
                            "engine": self.make.name,
                        }
                    )
                    await stream.send(
                        b"POST /lab/fetch HTTP/1.1\r\nHost: lab\r\nContent-Length: %d\r\n\r\n" % len(said)
                        + said
                    )
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self._give_up, live, tasks.cancel_scope)
                        got = (await stream.receive()).startswith(b"HTTP/1.1 200")
                        tasks.cancel_scope.cancel()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            got = False
        except BaseExceptionGroup:
            got = False
        if got:
            self.model.fetched(live.job)
        else:
            live.lost = True
            live.out.set()
        self.work.set()

    async def _give_up(self, live: Live, scope: anyio.CancelScope) -> None:
        await live.asked.left.wait()
        scope.cancel()

    # Requests.

    async def _client(self, stream: SocketStream) -> None:
        if self.open >= self.faults.connections:
            await anyio.aclose_forcefully(stream)
            return
        self.open += 1
        try:
            await serve(stream, self._request)
        finally:
            self.open -= 1

    async def _request(self, asked: Asked) -> None:
        if asked.target == "/v1/completions":
            await self._completion(asked)
        elif asked.target == "/v1/kv/release":
            said = msgspec.json.decode(await asked.read_body())
            params = said.get("kv_transfer_params") or {}
            name = params.get("remote_request_id") or said.get("request_id")
            told = now()
            await self.calm.wait()
            if self.model.let_go(name):
                self.record.line("released", engine=self.make.name, state=name, told=told)
                self.work.set()
            await asked.answer(200, {})
        elif asked.target == "/lab/fetch":
            await self._fetched_from(asked)
        else:
            await asked.read_body()
            await asked.answer(404, error_body("not_found", "path", "no such path"))

    async def _fetched_from(self, asked: Asked) -> None:
        said = msgspec.json.decode(await asked.read_body())
        await self.calm.wait()
        tokens = self.model.states.get(said["state"])
        if tokens is None:
            await asked.answer(404, {})
            return
        takes = self.model.transfer(tokens, said["zone"], said["rack"])
        self.model.fetches_out += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(asked.watch)
                with anyio.move_on_after(takes / 10_000):
                    await asked.left.wait()
                tasks.cancel_scope.cancel()
        finally:
            self.model.fetches_out -= 1
        if asked.left.is_set():
            return
        if not self.model.let_go(said["state"]):
            await asked.answer(404, {})
            return
        self.record.line("taken", engine=self.make.name, state=said["state"], by=said["engine"])
        self.work.set()
        await asked.answer(200, {})

    async def _completion(self, asked: Asked) -> None:
        head_at, faults = now(), self.faults
        row = next((row for row, share in faults.shares.items() if self.draw() < share), "")
        how_fails, share = faults.failing.get(asked.headers.get("runspool-tariff", ""), ("", 0.0))
        if not row and share and self.draw() < share:
            row = "silent" if how_fails == "silence" else "failed_500"
        if row == "reset_before_body":
            self.record.line("cut_in", engine=self.make.name, request=asked.headers.get("x-request-id", ""))
            await asked.reset()
            return
        body = _body.decode(await asked.read_body())
        standin = body.standin or Standin(out=body.max_tokens)
        request = asked.headers.get("x-request-id", "")
        tariff, tenant = asked.headers.get("runspool-tariff", ""), asked.headers.get("runspool-tenant", "")
        params = body.kv_transfer_params
        reads = params is not None and params.do_remote_decode
        length = len(body.prompt) if isinstance(body.prompt, list) else len(body.prompt) // BYTES_PER_TOKEN
        fetches = params is not None and params.do_remote_prefill
        self.record.line(
            "arrived",
            engine=self.make.name,
            request=request,
            head=head_at,
            peer=asked.peer,
            stage="read" if reads else "write",
            fetches=fetches,
            tariff=tariff,
            tenant=tenant,
            ticket=asked.headers.get("runspool-ticket", ""),
            prompt=length,
            **{"try": standin.try_},
        )
        if standin.poison and not reads:
            self.record.line("fell", engine=self.make.name, poison=True)
            self.fall()
        how = "lost"
        try:
            how = await self._play(asked, row, request, standin.try_, reads)
            if not how:
                job = Job(
                    request, tariff, max(1, length), blocks(body.prompt), standin.out, not reads, fetches
                )
                live = Live(job, asked, request, standin.try_, params)
                if await self._throttle(tariff, tenant):
                    await asked.answer(503, error_body("overloaded", "throttled", "over its rate"))
                    how = "full"
                elif not reads and not fetches and self.make.role == "writer":
                    await asked.answer(409, error_body("no_state", STATE_GONE, "a writer does not read"))
                    how = "stateless"
                else:
                    how = await self._work(live, body, row, tariff)
        except PeerClosedError:
            how = "left"
        finally:
            self.record.line(
                "ended", engine=self.make.name, request=request, how=how, **{"try": standin.try_}
            )

    async def _work(self, live: Live, body: Body, row: str, tariff: str) -> str:
        """Carries a job through the model; returns how it ended."""
        asked, job = live.asked, live.job
        verdict = self.model.offer(now(), job)
        if verdict is Verdict.FELL:
            self.record.line("fell", engine=self.make.name)
            self.fall()
        if verdict is not Verdict.TAKEN:
            await asked.answer(503, error_body("overloaded", "full", "no slot, no place"), self._report())
            return "full"
        self.live[id(job)] = live
        self.work.set()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch, live)
                if row == "silent":
                    await asked.left.wait()
                how = await (self._stream(live, body, row) if job.answers else self._read(live))
                tasks.cancel_scope.cancel()
            return how
        except BaseExceptionGroup as group:
            if group.split(PeerClosedError)[1] is not None:
                raise
            return "left"
        finally:
            self.live.pop(id(job), None)
            self.model.drop(job)
            self.work.set()

    async def _watch(self, live: Live) -> None:
        await live.asked.watch()
        live.out.set()

    async def _wait(self, live: Live) -> None:
        """Until something is new for this job, or its client is gone."""
        await live.out.wait()
        live.out = anyio.Event()
        if live.asked.left.is_set():
            raise PeerClosedError

    async def _read(self, live: Live) -> str:
        while live.job.to_read > 0 or live.job.phase.name in ("WAITING", "FETCHING"):
            await self._wait(live)
        self.model.hold(live.job, live.request)
        self.record.line(
            "held", engine=self.make.name, state=live.request, tokens=live.job.prompt, **{"try": live.try_}
        )
        self._spawn(self._expire, live.request)
        params = {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": self.make.name,
            "remote_block_ids": [live.job.prompt // BLOCK],
            "remote_request_id": live.request,
            "remote_host": self.host,
            "remote_port": self.port,
        }
        try:
            await live.asked.answer(
                200,
                {
                    "id": live.request,
                    "object": "text_completion",
                    "model": MODEL,
                    "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
                    "usage": usage(live.job),
                    "kv_transfer_params": params,
                },
                self._report(),
            )
        except PeerClosedError:
            if self.model.let_go(live.request):
                self.record.line("dropped", engine=self.make.name, state=live.request)
            raise
        return "read"

    async def _stream(self, live: Live, body: Body, row: str) -> str:
        asked, job, sent, opened = live.asked, live.job, 0, False
        while True:
            await self._wait(live)
            if live.lost:
                await asked.answer(409, error_body("no_state", STATE_GONE, "the state could not be fetched"))
                return "stateless"
            while sent < job.made:
                if not opened:
                    await asked.open_stream(self._report())
                    opened = True
                if sent >= 2 and row.endswith("_stream"):
                    await self._break_stream(asked, row)
                    return "broken"
                sent += 1
                await asked.chunk(chunk(live.request, MODEL, 0, f"{self.token}{sent} "))
            if job.made >= min(job.out, body.max_tokens):
                break
        if row in ("no_finish", "error_event"):
            if row == "error_event":
                await asked.chunk(b"data: " + error_body("engine", "broke", "the engine broke") + b"\n\n")
            await asked.end_stream()
            return "broken"
        last = chunk(live.request, MODEL, 0, "", "length" if job.made >= body.max_tokens else "stop")
        figures = b"data: " + msgspec.json.encode({"choices": [], "usage": usage(job)}) + b"\n\n"
        await asked.chunk(last + figures + DONE)
        await asked.end_stream()
        return "done"

    async def _break_stream(self, asked: Asked, row: str) -> None:
        if row == "silent_stream":
            await asked.left.wait()
        elif row == "reset_stream":
            await asked.reset()
        else:
            await anyio.aclose_forcefully(asked.stream)

    async def _play(self, asked: Asked, row: str, request: str, try_: str, reads: bool) -> str:
        """Plays a forced mishap that needs no work; empty where the request is to be served."""

        def ran() -> None:
            if not reads:  # reading has no effect
                self.record.line("ran", engine=self.make.name, request=request, **{"try": try_})

        match row:
            case "reset_after":
                ran()
                await asked.reset()
            case "close_after":
                ran()
                await anyio.aclose_forcefully(asked.stream)
            case "full_429" | "full_503" | "bad_400" | "missing_404":
                await asked.answer(int(row[-3:]), error_body("engine", row, "turned away"))
                return "full"
            case "failed_500":
                await asked.answer(500, error_body("engine", row, "failed before it ran"))
            case "failed_500_after_run":
                ran()
                await asked.answer(500, error_body("engine", row, "failed after it ran"))
            case "garbled":
                await asked.answer(200, b'{"choices": [')
            case "garbled_status":
                await asked.stream.send(b"HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n")
            case "head_garbled":
                await asked.stream.send(b"\x00\x01\x02 nonsense\r\n\r\n")
            case "endless":
                await asked.stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                part = b"data: " + b"x" * 8192
                while True:
                    await asked.stream.send(b"%x\r\n%b\r\n" % (len(part), part))
            case "huge_event":
                await asked.open_stream()
                await asked.chunk(b"data: " + b"y" * 1_000_000 + b"\n\n")
                await asked.end_stream()
            case "cut_answer":
                await asked.stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{")
                await anyio.aclose_forcefully(asked.stream)
            case _:
                return ""
        return "mishap"

    async def _throttle(self, tariff: str, tenant: str) -> bool:
        """Whether this sender is over the rate that a fault leaves it; the answer takes its time."""
        for whose in (tariff, tenant):
            rate = self.faults.throttled.get(whose)
            if rate is None:
                continue
            level, at = self.buckets.get(whose, (1.0, now()))
            level = min(2.0, level + rate[0] * (now() - at) / 10_000)
            self.buckets[whose] = (max(0.0, level - 1), now())
            if level < 1:
                await anyio.sleep(rate[1] / 10_000)
                return True
        return False

    async def _expire(self, state: str) -> None:
        """A state that nobody fetched or let go is freed some seconds later."""
        await anyio.sleep(self.make.state_kept / 10_000)
        if self.model.let_go(state):
            self.record.line("expired", engine=self.make.name, state=state)
            self.work.set()

    def _report(self) -> dict[str, str]:
        if not self.faults.reports:
            return {}
        figures = msgspec.json.encode({"named_metrics": self.model.report()}).decode()
        return {LOAD_REPORT_HEADER: f"JSON {figures}"}

    def _spawn(self, work: Any, *args: Any) -> None:
        assert self.tasks is not None
        self.tasks.start_soon(partial(work, *args))


def blocks(prompt: str | list[int]) -> list[int]:
    """Hashes of a prompt's blocks, each over all that stands before it too."""
    raw = prompt.encode() if isinstance(prompt, str) else msgspec.json.encode(prompt)
    size, running, found = BLOCK * BYTES_PER_TOKEN, xxhash.xxh64(), []
    for start in range(0, len(raw) - size + 1, size):
        running.update(raw[start : start + size])
        found.append(running.intdigest())
    return found


def usage(job: Job) -> dict[str, Any]:
    return {
        "prompt_tokens": job.prompt,
        "completion_tokens": job.made,
        "total_tokens": job.prompt + job.made,
        "prompt_tokens_details": {"cached_tokens": job.kept},
    }
