"""Plays a day: starts engines, list, fronts and clients on loopback, and brings about what the plan says."""

from __future__ import annotations

import json
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import _jsonnet
import anyio
import anyio.abc
import msgspec

from runspool.config.loader import LIBRARY_DIRECTORY
from runspool.lab import recording
from runspool.lab.clients import Clients, Entry
from runspool.lab.listing import Listing
from runspool.lab.migration_script import Mover
from runspool.lab.plan import SECOND, Plan, Trouble
from runspool.lab.recording import Recorder
from runspool.lab.workload import Item, crowd
from runspool.service.clock import now
from runspool.wire import endpoint_list as wire

# Blocks of ports under the range from which the kernel takes those for calls going out. A day holds the first
# port of its block for as long as it runs: two days at once must not find each other's engines.
BLOCKS = range(20_000, 30_000, 100)
START_LIMIT = 30.0
STOP_LIMIT = 30.0
LEAD = 5_000  # tenths of a millisecond between the last start and the first query


Span = tuple[int, str, dict[str, Any], dict[str, Any]]  # engine, fault, how it begins, how it ends


class ScenarioFailedError(Exception):
    """The day could not be played; the reason names the process."""


def claim_ports(count: int) -> tuple[socket.socket, list[int]]:
    """A claim to keep open, and `count` ports that are this day's while it is."""
    for block in BLOCKS:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", block))
        except OSError:
            claim.close()
            continue
        found = [port for port in range(block + 1, block + 100) if _free(port)]
        if len(found) >= count:
            return claim, found[:count]
        claim.close()
    raise ScenarioFailedError(f"no block of ports with {count} free ones")


def _free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def front_terms(plan: Plan, at: int, list_port: int, folder: Path) -> dict[str, Any]:
    """The terms of one of the plan's fronts, as a terms file would evaluate to."""
    defaults = json.loads(
        _jsonnet.evaluate_snippet(
            "defaults",
            """
        local r = import 'runspool.libsonnet';
        { rules: r.rules, limits: r.limits, prices: r.prices, bounds: r.bounds, engines: r.engines }
    """,
            jpathdir=[str(LIBRARY_DIRECTORY)],
        )
    )
    kinds = {"prefill": ("reader", 0), "decode": ("writer", 0), "mixed": ("mixed", 0)}
    for one in plan.engines:
        kinds[one.kind] = (one.make.role, one.make.memory)
    front = plan.fronts[at]
    return {
        "house": {
            "fronts": len(plan.fronts),
            "zones": plan.zones,
            "tariffs": {
                row.name: {
                    "due_ms": row.due / 10,
                    "due_per_1000_tokens_ms": row.due_per_1000 / 10,
                    "limit_ms": row.limit / 10,
                    "pace_ms_per_token": row.pace / 10,
                    "gain": row.gain,
                    "late_share": row.late_share,
                    "effect": row.effect,
                    "group": row.group,
                    "window_ms": row.window / 10,
                }
                for row in plan.tariffs
            },
            "tenants": {row.name: {"queries_per_second": row.per_second} for row in plan.tenants},
            "kinds": {
                name: {"role": role, "memory_tokens": memory} for name, (role, memory) in kinds.items()
            },
            "rules": defaults["rules"]
            | {
                "drain_grace_ms": plan.drain_grace / 10,
                "cold_from": plan.cold_from,
                "cold_ms": plan.cold_time / 10,
                "fall_multiple": plan.fall_multiple,
                "fall_ms": plan.fall_time / 10,
                "release_within_ms": plan.release_within / 10,
            },
            "limits": defaults["limits"] | {"max_shots": plan.max_shots},
            "prices": defaults["prices"],
            "over_share": 0.1,
        },
        "front": {
            "name": front.name,
            "number": at,
            "zone": front.zone,
            "seed": plan.seed * 100 + at,
            "listen": {"host": "127.0.0.1", "port": front.port},
            "default_tariff": None,
            "model": "runspool",
            "bounds": defaults["bounds"]
            | ({"longest_limit_ms": plan.longest_limit / 10} if plan.longest_limit else {}),
            "engines": defaults["engines"] | {"source_address": front.source},
            "list": {
                "host": "127.0.0.1",
                "port": list_port,
                "quiet_ms": 5000,
                "retry_ms": 200,
                "line_bytes": 4194304,
            },
            "memory_file": str(folder / f"{front.name}.list"),
            "cells_file": str(folder / f"{front.name}.map") if plan.cells else None,
            "log_level": "info",
        },
    }


@dataclass(slots=True)
class Process:
    """One child and the life it is in."""

    name: str
    command: list[str]
    child: anyio.abc.Process | None = None
    lives: int = 0
    coming_back: bool = False  # killed, and its next life is under way: no other trouble may start another


class ScenarioRunner:
    """Owns every process of a day; all of them end when it does."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        tapes: bool = False,
        progress: Callable[[float], None] | None = None,
        front_command: list[str] | None = None,
        together: int = 1,
    ) -> None:
        """`together`: engines a process; more than one only where none is to be killed."""
        self.plan = plan
        self.folder = folder
        self.tapes = tapes
        self.progress = progress
        self.front_command = front_command or [sys.executable, "-m", "runspool.cli.main", "front"]
        self.together = together
        self.rng = Random(plan.seed * 31 + 7)
        self.parts = folder / "parts"
        self.record = Recorder(None)
        self.listing = Listing(self.record, plan.list_delay, plan.seed)
        self.engines: list[Process] = []
        self.fronts: list[Process] = []
        self.started = [0] * len(plan.engines)
        self.entry = Entry([], [], [])
        self.tasks: anyio.abc.TaskGroup | None = None
        self.start = 0
        self.mover: Mover | None = None

    async def play(self) -> Path:
        """Plays the whole day; returns the recording. Raises Failed where a process does not start."""
        plan, folder = self.plan, self.folder
        self.parts.mkdir(parents=True, exist_ok=True)
        for old in self.parts.iterdir():
            old.unlink()
        self.record = Recorder(self.parts / "director.jsonl")
        self.listing.record = self.record
        claim, ports = claim_ports(len(plan.engines) + len(plan.fronts))
        for engine in plan.engines:
            engine.port = ports.pop()
        for front in plan.fronts:
            front.port = ports.pop()
        items = crowd(plan)
        (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        self.record.line("day", plan=msgspec.to_builtins(plan), items=len(items))
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                await tasks.start(self.listing.run, "127.0.0.1", 0)
                await self._start_all()
                await self._run(items)
                await self._stop_fronts()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._kill_all()
            claim.close()
        self.record.close()
        whole = folder / "wire.jsonl"
        recording.merge_recordings(sorted(self.parts.iterdir()), whole)
        return whole

    async def _start_all(self) -> None:
        plan = self.plan
        for at, one in enumerate(plan.engines):
            if at % self.together:
                self.engines.append(self.engines[-1])
                continue
            share = range(at, min(at + self.together, len(plan.engines)))
            self.engines.append(
                Process(
                    one.make.name,
                    [
                        sys.executable,
                        "-m",
                        "runspool.cli.main",
                        "lab",
                        "engine",
                        str(self.folder / "plan.json"),
                        *(word for number in share for word in ("--at", str(number))),
                        "--out",
                        str(self.parts / f"engine-{at}.jsonl"),
                    ],
                )
            )
        for at, front in enumerate(plan.fronts):
            terms = self.folder / f"{front.name}.json"
            terms.write_text(json.dumps(front_terms(plan, at, self.listing.port, self.folder), indent=1))
            (self.folder / f"{front.name}.list").unlink(missing_ok=True)
            (self.folder / f"{front.name}.log").unlink(missing_ok=True)
            (self.folder / f"{front.name}.tape").unlink(missing_ok=True)
            self.fronts.append(Process(front.name, [*self.front_command, str(terms)]))
            (self.folder / f"{front.name}.list.cells").unlink(missing_ok=True)
        if plan.cells is not None:
            self.mover = Mover(plan, self.folder, self.record, self._struck)
        async with anyio.create_task_group() as tasks:
            for at in range(0, len(self.engines), self.together):
                tasks.start_soon(self._start_engine, at, False)
        for at in range(len(plan.engines)):
            self.listing.set(self._line(at, "on"), at_once=True)
        self.entry = Entry(
            [("127.0.0.1", one.port) for one in plan.fronts],
            [one.zone for one in plan.fronts],
            [True] * len(plan.fronts),
        )
        async with anyio.create_task_group() as tasks:
            for at in range(len(self.fronts)):
                tasks.start_soon(self._start_front, at)
        with anyio.move_on_after(START_LIMIT):
            while len(self.listing.watchers) < len(self.fronts):
                await anyio.sleep(0.02)

    async def _run(self, items: list[Item]) -> None:
        self.start = now() + LEAD
        self.record.line("begin", at=self.start)
        clients = Clients(self.plan, self.entry, self.record)
        async with anyio.create_task_group() as tasks:
            for trouble in self.plan.troubles:
                tasks.start_soon(self._trouble, trouble)
            tasks.start_soon(self._lag)
            if self.together == 1:
                tasks.start_soon(self._revive, tasks)
            if self.progress is not None:
                tasks.start_soon(self._show)
            await clients.run(items, self.start)
            self.record.line("all_asked")
            await anyio.sleep(0.5)  # what is held is let go within this
            tasks.cancel_scope.cancel()

    async def _revive(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts engines again that went down by themselves, as one pushed over or poisoned does."""
        while True:
            await anyio.sleep(0.05)
            for at, process in enumerate(self.engines):
                child = process.child
                if child is not None and child.returncode is not None and not process.coming_back:
                    tasks.start_soon(self._crash, Trouble("crash", 0, SECOND, on=[at]))
                    await anyio.sleep(0)

    async def _lag(self) -> None:
        """Records where this process itself was late: a late reading is no late answer."""
        while True:
            due = now() + 200
            await anyio.sleep(0.02)
            if now() > due + 200:
                self.record.line("lag", late=now() - due)

    async def _show(self) -> None:
        assert self.progress is not None
        while True:
            self.progress((now() - self.start) / self.plan.length)
            await anyio.sleep(0.5)

    # Processes.

    async def _start_engine(self, at: int, cold: bool) -> None:
        process, plan = self.engines[at], self.plan.engines[at]
        process.lives += 1
        command = [*process.command, "--life", str(process.lives), *(["--cold"] if cold else [])]
        log = open(self.folder / "engines.log", "ab")  # noqa: SIM115
        with log:
            process.child = await anyio.open_process(command, stdin=-1, stdout=log, stderr=log)
        await self._reachable(process, plan.port)
        self.started[at] = round(time.time() * 1000) if cold else 0

    async def _start_front(self, at: int) -> None:
        process, plan = self.fronts[at], self.plan.fronts[at]
        process.lives += 1
        command = [*process.command, "--seed", str(self.plan.seed * 1000 + at * 100 + process.lives)]
        if self.tapes:
            command += ["--tape", str(self.folder / f"{plan.name}.{process.lives}.tape")]
        log = open(self.folder / f"{plan.name}.log", "ab")  # noqa: SIM115
        with log:
            process.child = await anyio.open_process(command, stdin=None, stdout=log, stderr=log)
        await self._reachable(process, plan.port)
        self.record.line("front_up", front=plan.name, life=process.lives)

    async def _reachable(self, process: Process, port: int) -> None:
        deadline = time.monotonic() + START_LIMIT
        while time.monotonic() < deadline:
            if process.child is not None and process.child.returncode is not None:
                raise ScenarioFailedError(
                    f"{process.name} ended with {process.child.returncode} before it listened"
                )
            try:
                async with await anyio.connect_tcp("127.0.0.1", port):
                    return
            except OSError:
                await anyio.sleep(0.05)
        raise ScenarioFailedError(f"{process.name} does not listen on {port}")

    async def _kill(self, process: Process, **said: Any) -> None:
        child = process.child
        if child is None or child.returncode is not None:
            return
        self.record.line("killed", process=process.name, **said)
        with suppress(ProcessLookupError):
            child.kill()
        await child.wait()

    async def _stop_fronts(self) -> None:
        for process in self.fronts:
            if process.child is not None and process.child.returncode is None:
                process.child.send_signal(signal.SIGTERM)
        for process in self.fronts:
            code: int | None = None
            if process.child is not None:
                with anyio.move_on_after(STOP_LIMIT):
                    code = await process.child.wait()
            self.record.line("front_stopped", front=process.name, code=code)

    async def _kill_all(self) -> None:
        for process in [*self.fronts, *self.engines]:
            if process.child is not None:
                if process.child.returncode is None:
                    with suppress(ProcessLookupError):
                        process.child.kill()
                await process.child.wait()
                await process.child.aclose()

    def _line(self, at: int, state: str) -> wire.EndpointEntry:
        one = self.plan.engines[at]
        return msgspec.convert(
            {
                "engine": one.make.name,
                "address": one.address,
                "kind": one.kind,
                "zone": one.make.zone,
                "rack": one.make.rack,
                "state": state,
                "started_unix_ms": self.started[at],
            },
            wire.EndpointEntry,
        )

    async def _fault(self, at: int, name: str, **said: Any) -> None:
        child = self.engines[at].child
        if child is None or child.stdin is None or child.returncode is not None:
            return
        with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await child.stdin.send(msgspec.json.encode({"fault": name, "at": at, **said}) + b"\n")

    # Troubles.

    async def _trouble(self, one: Trouble) -> None:
        plays: dict[str, Callable[[Trouble], Coroutine[Any, Any, None]]] = {
            "crash": self._crash,
            "restart": self._crash,
            "drain": self._drain,
            "ageing": self._ageing,
            "neighbour": self._neighbour,
            "balancer_roll": self._roll,
            "front_kill": self._front_kill,
            "discovery_stale": self._stale,
            "list_noise": self._noise,
            "flush": self._flush,
            "cell_move": self._move,
            "bad_release": self._bad_release,
        }
        play = plays.get(one.kind)
        if play is None and not (spans := self._spans(one)):
            return  # the clients play it
        await anyio.sleep(max(0.0, (self.start + one.at - now()) / 10_000))
        self.record.line("trouble", kind=one.kind, on=one.on, size=one.size, length=one.length)
        if play is not None:
            await play(one)
        else:
            for at, name, begins, _ in spans:
                await self._fault(at, name, **begins)
            await anyio.sleep(one.length / 10_000)
            for at, name, _, ends in spans:
                await self._fault(at, name, **ends)
        self.record.line("trouble_over", kind=one.kind, on=one.on)

    def _spans(self, one: Trouble) -> list[Span]:
        """Faults that are switched on at the trouble's start and off at its end: engine, fault, on, off."""
        on = one.on or list(range(len(self.plan.engines)))
        off: dict[str, Any] = {"times": 1.0}
        match one.kind:
            case "hang" | "pause":
                return [(at, "hang", {"on": True}, {"on": False}) for at in on]
            case "full":
                return [
                    (at, "row", {"row": "full_503", "share": 1.0}, {"row": "full_503", "share": 0})
                    for at in on
                ]
            case "slow" | "shared_slow":
                return [(at, "slow", {"times": one.size}, off) for at in on]
            case "origin_slow":
                return [(at, "links", {"times": one.size}, off) for at in on]
            case "errors":
                rows = ("failed_500", "failed_500_after_run")
                return [
                    (at, "row", {"row": row, "share": one.size / 2}, {"row": row, "share": 0})
                    for at in on
                    for row in rows
                ]
            case "resets":
                rows3 = ("reset_before_body", "reset_after", "reset_stream")
                return [
                    (at, "row", {"row": row, "share": one.size / 3}, {"row": row, "share": 0})
                    for at in on
                    for row in rows3
                ]
            case "class_fail":
                name = self.plan.tariffs[one.which % len(self.plan.tariffs)].name
                how = "silence" if one.how == "silence" else "error"
                return [
                    (
                        at,
                        "tariff",
                        {"tariff": name, "how": how, "share": min(1.0, one.size)},
                        {"tariff": name, "how": how, "share": 0},
                    )
                    for at in on
                ]
            case "throttle":
                return self._throttles(one, on)
        return []

    def _throttles(self, one: Trouble, on: list[int]) -> list[Span]:
        rows = self.plan.tenants if one.how == "tenant" else self.plan.tariffs
        row = rows[one.which % len(rows)]
        even = self.plan.rate * row.share / max(1, len(self.plan.engines) / 2)
        say_after = round(one.extra * min(row.due for row in self.plan.tariffs))
        return [
            (
                at,
                "throttle",
                {"whose": row.name, "per_second": one.size * even, "say_after": say_after},
                {"whose": row.name, "per_second": None, "say_after": 0},
            )
            for at in on
        ]

    async def _crash(self, one: Trouble) -> None:
        down = [at for at in one.on if not self.engines[at].coming_back]
        for at in down:
            self.engines[at].coming_back = True
            await self._kill(self.engines[at], engine=self.plan.engines[at].make.name)
            self.listing.set(self._line(at, "gone"))
        await anyio.sleep(one.length / 10_000)
        for at in down:
            await self._start_engine(at, cold=True)
            self.listing.set(self._line(at, "on"))
            self.engines[at].coming_back = False

    async def _move(self, one: Trouble) -> None:
        assert self.mover is not None, "a day with moves has a map"
        await self.mover.play(one)

    async def _struck(self, what: str, at: int) -> None:
        if what == "front":
            await self._restart_front(at, SECOND // 2)
        else:
            await self._crash(Trouble("crash", 0, SECOND // 2, on=[at]))

    async def _bad_release(self, one: Trouble) -> None:
        """Engines restart one after the other into a release that errs and is slow; then all are mended."""
        for at in one.on:
            await self._crash(Trouble("crash", 0, SECOND // 2, on=[at]))
            await self._fault(at, "row", row="failed_500", share=one.size)
            await self._fault(at, "slow", times=max(1.0, one.extra))
        await anyio.sleep(one.length / 10_000)
        for at in one.on:
            await self._fault(at, "row", row="failed_500", share=0)
            await self._fault(at, "slow", times=1.0)

    async def _drain(self, one: Trouble) -> None:
        for at in one.on:
            self.listing.set(self._line(at, "draining"))
        await anyio.sleep(one.length / 10_000)
        await self._crash(Trouble("crash", 0, SECOND, on=one.on))

    async def _ageing(self, one: Trouble) -> None:
        steps = 10
        for step in range(1, steps + 1):
            for at in one.on:
                await self._fault(at, "slow", times=1 + (min(one.size, 50) - 1) * step / steps)
            await anyio.sleep(one.length / steps / 10_000)
        await self._crash(Trouble("crash", 0, round(max(0.5, one.extra) * SECOND), on=one.on))

    async def _neighbour(self, one: Trouble) -> None:
        end = now() + one.length
        while now() < end:
            for times in (1 / max(0.05, 1 - one.size), 1.0):
                for at in one.on:
                    await self._fault(at, "slow", times=times)
                await anyio.sleep(min(max(0.2, one.extra), max(0.0, (end - now()) / 10_000)))
        for at in one.on:
            await self._fault(at, "slow", times=1.0)

    async def _front_kill(self, one: Trouble) -> None:
        async with anyio.create_task_group() as tasks:
            for at in one.on:
                tasks.start_soon(self._restart_front, at, one.length)

    async def _roll(self, one: Trouble) -> None:
        async with anyio.create_task_group() as tasks:
            for when, fronts in one.steps:
                await anyio.sleep(max(0.0, (self.start + when - now()) / 10_000))
                for at in fronts:
                    tasks.start_soon(self._restart_front, at, round(one.extra * SECOND))

    async def _restart_front(self, at: int, down: int) -> None:
        process = self.fronts[at]
        if process.coming_back:
            return
        process.coming_back = True
        await self._kill(process, front=process.name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._noticed, at, process.lives)
            await anyio.sleep(down / 10_000)
            await self._start_front(at)
            self.entry.up[at] = True
            process.coming_back = False
            tasks.cancel_scope.cancel()

    async def _noticed(self, at: int, life: int) -> None:
        await anyio.sleep(self.plan.clients.entry_notice / 10_000)
        if self.fronts[at].lives == life:
            self.entry.up[at] = False

    async def _stale(self, one: Trouble) -> None:
        self.listing.delay += round(one.size)
        await anyio.sleep(one.length / 10_000)
        self.listing.delay -= round(one.size)

    async def _noise(self, one: Trouble) -> None:
        self.listing.noisy = True
        await anyio.sleep(one.length / 10_000)
        self.listing.noisy = False

    async def _flush(self, one: Trouble) -> None:
        for at in range(len(self.engines)):
            if self.rng.random() < one.size:
                await self._fault(at, "forget", share=1.0)
