"""The node processes of a soak, each with its own discovery agent and its own proxies to the engines."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import re
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from signal import Signals
from typing import Any
from zlib import crc32

from tests.fault_proxy import HOST, FaultProxy
from tests.node_platform.ports import free_port
from tests.node_platform.settings import SETTINGS
from tests.soak.agents import SoakAgent
from tests.soak.conditions import Conditions
from tests.soak.environment import Environment

READY_WITHIN = 10.0  # seconds that a start may take
# Lines in a node's log that report a fault of the node.
FAULT_LINE = re.compile(
    rb"Traceback|"
    rb'"event":"(\w+_failed|invariant_violated|answered_by_deadline_guard|release_abandoned)"'
)


def soak_settings(conditions: Conditions) -> dict[str, Any]:
    """Return the tests' settings for the conditions, extended by a request class with deduplication."""
    settings = copy.deepcopy(SETTINGS)
    for row in settings["classes"]:
        row["deadline-us"] = int(conditions.longest_deadline * 1_000_000)
        row["aim-us"] = min(row["aim-us"], row["deadline-us"])
    settings["family-info"]["resume"] = conditions.resumable
    settings["classes"].append(
        copy.deepcopy(settings["classes"][0])
        | {"name": "pay", "effect": "deduplicated", "window-us": 2_000_000}
    )
    settings["family-info"]["aim-us-per-1000-prompt-tokens"].append(40_000.0)
    settings["family-info"]["token-aim-us"].append(60_000.0)
    settings["realms"] = [{"name": "one", "fraction": 1.0, "quota-rps": 10_000.0}]
    return settings


@dataclass(eq=False)
class SoakNode:
    """One node, whose process may be restarted, with its agent and its proxies to the engines.

    Attributes:
        environment: the environment of the soak.
        name: the node's name.
        folder: the folder for its configuration file.
        sabotage: the rule that it violates; empty for none.
        preload: the path of a library to preload; empty for none.
        engine_proxies: by engine, the proxy between the node and the engine.
        port: the port on which it listens for clients.
        log: what all of its processes have logged.
        up: whether it is ready and has not been signalled to end.
        stopped_at: when SIGTERM was sent to the present process; None if it was not.
        ended_by_test: whether the present process was signalled to end.
        is_listening: whether the present process has logged that it listens.
        killed_at: when the last process that got SIGKILL without SIGTERM got it; None if there was none.
    """

    environment: Environment
    name: str
    folder: Path
    sabotage: str = ""
    preload: str = ""
    engine_proxies: dict[str, FaultProxy] = field(default_factory=dict)
    port: int = 0
    log: bytes = b""
    up: bool = False
    stopped_at: float | None = None
    ended_by_test: bool = False
    is_listening: bool = False
    killed_at: float | None = None

    async def prepare(self, make_proxy: Callable[[str, str], FaultProxy]) -> None:
        """Start the agent and the proxies; `make_proxy` is called with the node's and an engine's name."""
        for engine in self.environment.engines:
            self.engine_proxies[engine] = make_proxy(self.name, engine)
            await self.engine_proxies[engine].start()
        self.agent = SoakAgent(self.environment, self.name, lambda engine: self.engine_proxies[engine].port)
        await self.agent.start()
        self.port = free_port()

    def reload(self) -> None:
        """Write the node's configuration, and make the process reload it."""
        self.write_config()
        self.signal(signal.SIGHUP)

    def write_config(self) -> Path:
        """Write the node's present configuration, and return its path."""
        file = self.folder / f"{self.name}.json"
        file.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{self.agent.port}",
                    "seed": f"{crc32(f'{self.environment.seed}.{self.name}'.encode()):x}",
                    "limits": {
                        "sockets": 512 + 3 * self.environment.conditions.idle_clients,
                        "memory_mb": self.environment.conditions.memory_mb,
                    },
                    "known": json.loads(self.agent.known_list()),
                    "settings": soak_settings(self.environment.conditions),
                }
            )
        )
        return file

    async def start(self) -> None:
        """Start a process, and return when it is ready.

        Return also if it has ended, or is not ready after 30 s.
        """
        command = ["-m", "tests.soak.sabotage", self.sabotage] if self.sabotage else ["-m", "runspool.node"]
        revision = self.agent.known_revision
        variables = os.environ | {"BALANCER_CONFIG": str(self.write_config()), "PYTHONPATH": str(Path.cwd())}
        if self.preload:
            variables |= {"LD_PRELOAD": self.preload, "SOAK_CLOCK": str(self.folder / "clock")}
        began = asyncio.get_running_loop().time()
        self.ended_by_test, self.is_listening, self.stopped_at = False, False, None
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stderr=asyncio.subprocess.PIPE, env=variables
        )
        self.logging = asyncio.ensure_future(self._read_log())
        self.environment.record("started", node=self.name, revision=revision)
        while not await self.healthy():
            if self.process.returncode is not None or asyncio.get_running_loop().time() - began > 30:
                if not self.ended_by_test:
                    self.environment.record("not_started", node=self.name, code=self.process.returncode)
                return
            await asyncio.sleep(0.05)
        self.up = True
        self.environment.record("ready", node=self.name, took=asyncio.get_running_loop().time() - began)

    async def healthy(self) -> bool:
        """Return whether the node answers its health check with status 200 within a second."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _read_log(self) -> None:
        """Read the process's log until it ends, then record its end."""
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log += line
            self.is_listening = self.is_listening or b'"event":"node_listening"' in line
            if FAULT_LINE.search(line):
                self.environment.record("node_fault", node=self.name, line=line.decode()[:2_000])
        code = await self.process.wait()
        self.up = False
        self.environment.record("ended", node=self.name, code=code)
        # SIGTERM ends the process with -SIGTERM as long as the process has not installed its handlers.
        expected = (0, -signal.SIGKILL) if self.is_listening else (0, -signal.SIGKILL, -signal.SIGTERM)
        if not self.ended_by_test or code not in expected:
            self.environment.record("crashed", node=self.name, code=code)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended; record SIGTERM and SIGKILL beforehand."""
        if self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.up, self.ended_by_test = False, True
                self.environment.record("told_to_end", node=self.name, kill=number is signal.SIGKILL)
                if number is signal.SIGTERM and self.stopped_at is None:
                    self.stopped_at = asyncio.get_running_loop().time()
                elif self.stopped_at is None:
                    self.killed_at = asyncio.get_running_loop().time()
            # send_signal() would reap a process that has just ended, and asyncio would then report 255.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def restart(self, *signals: tuple[float, Signals]) -> None:
        """Send signals, each its delay in seconds after the previous one, then wait for the end and restart.

        SIGKILL is sent as soon after SIGTERM as the platform may send it.
        """
        for delay, number in signals:
            await asyncio.sleep(delay)
            self.signal(number)
        await self.wait_end()
        await self.start()

    async def wait_end(self) -> None:
        """Wait until the process has ended, and kill it at the earliest time at which the platform does."""
        since_stop = 0.0 if self.stopped_at is None else asyncio.get_running_loop().time() - self.stopped_at
        try:
            async with asyncio.timeout(self.environment.conditions.kill_after - since_stop):
                await asyncio.shield(self.logging)
        except TimeoutError:
            self.environment.record("killed_late", node=self.name)
            self.signal(signal.SIGKILL)
            await self.logging

    async def close(self) -> None:
        """Stop the process, the agent and the proxies."""
        if self.process.returncode is None:
            self.signal(signal.SIGTERM)
            await self.wait_end()
        self.agent.server.close()
        for proxy in self.engine_proxies.values():
            await proxy.close()
