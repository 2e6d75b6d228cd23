"""Runs complete node processes in a trial of a fleet; their logs show when they learned of list changes."""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from datetime import datetime
from pathlib import Path

from tests.fault_proxy import HOST
from tests.fleet.plan import LearnedState, NodesReport
from tests.node_platform.ports import free_port
from tests.node_platform.settings import SETTINGS
from tests.process_environment import PROCESS_ENVIRONMENT

START_GROUP_SIZE = 20  # nodes that are started without a pause between them
START_INTERVAL = 0.5  # seconds between the starts of two groups of nodes
MAX_DESCRIPTORS = 256  # limit of file descriptors in each node's configuration


class RealNodes:
    """Node processes, one for each agent.

    Attributes:
        processes: for each node, the port of its agent, the process and the log file.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.seed = seed
        self.processes: list[tuple[int, asyncio.subprocess.Process, Path]] = []

    async def start(self, agent_ports: list[int]) -> None:
        """Start a node for each agent, without waiting until the nodes are ready."""
        for index, port in enumerate(agent_ports):
            await self._start_node(index, port)
            if index % START_GROUP_SIZE == START_GROUP_SIZE - 1:
                await asyncio.sleep(START_INTERVAL)

    async def _start_node(self, index: int, agent_port: int) -> None:
        config, log = self.folder / f"{index}.json", self.folder / f"{index}.log"
        config.write_text(
            json.dumps(
                {
                    "name": f"n{index}",
                    "listen": f"{HOST}:{free_port()}",
                    "discovery": f"{HOST}:{agent_port}",
                    "seed": f"{self.seed * 1_000 + index:x}",
                    "limits": {"sockets": MAX_DESCRIPTORS},
                    "settings": SETTINGS,
                }
            )
        )
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "runspool.node",
                stderr=file,
                env=PROCESS_ENVIRONMENT | {"BALANCER_CONFIG": str(config)},
            )
        self.processes.append((agent_port, process, log))

    async def stop(self) -> NodesReport:
        """Kill all nodes and return what they learned, with times of the machine's monotonic clock."""
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        unix_at_zero = time.time() - time.monotonic()
        for _, process, _ in self.processes:
            process.kill()
        for _, process, _ in self.processes:
            await process.wait()
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        told = [each for port, _, log in self.processes for each in _read_log(port, log, unix_at_zero)]
        return NodesReport(told, [], after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)


def _read_log(port: int, log: Path, unix_at_zero: float) -> list[LearnedState]:
    """Return the engine states in a node's log; `unix_at_zero` is the Unix time at monotonic time 0."""
    told = []
    for line in log.read_bytes().splitlines():
        if b'"event":"endpoint_list_changed"' in line:
            event = json.loads(line)
            at = datetime.fromisoformat(event["timestamp"]).timestamp() - unix_at_zero
            told += [LearnedState(port, engine, state, at) for engine, state in event["engines"].items()]
    return told
