"""Plays a trial of a fleet: the agents' process, processes of light nodes, and a witness of the machine."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from tests.fleet.plan import AgentsReport, Change, Listening, NodesReport, Plan, Sent, Told
from tests.fleet.real_nodes import RealNodes
from tests.process_environment import PROCESS_ENVIRONMENT

NODES_A_PROCESS = 26
SETTLING_TIME = 2.5  # seconds from the start of the nodes to that of the plan
WITNESS_INTERVAL = 0.01  # seconds
WITNESSED_LAG = 0.03  # seconds by which this idle process may come late before that is noted
REPORT_LIMIT = 1 << 28  # bytes of a report's line


@dataclass
class Outcome:
    """What a trial has shown.

    Attributes:
        plan: what was played.
        agents: what the agents have seen.
        told: what the nodes knew, and when; a node is named by its agent's port.
        sent: requests that they sent to engines.
        ports: the agents' ports in the order of their nodes.
        lags: spans in which an idle process of this machine got no time.
        nodes_processor_seconds: of all nodes.
    """

    plan: Plan
    agents: AgentsReport
    told: list[Told]
    sent: list[Sent]
    ports: list[int]
    lags: list[tuple[float, float]] = field(default_factory=list)
    nodes_processor_seconds: float = 0.0

    def lateness(self, change: Change) -> list[float]:
        """For each node, how long after its agent had a change it knew it; infinite for never."""
        known = {
            each.node: each.at
            for each in reversed(self.told)
            if each.engine == change.engine and each.state == "draining"
        }
        return [known.get(port, float("inf")) - change.known_at for port in self.ports]


async def play(plan: Plan, sabotage: str = "", is_real: bool = False) -> Outcome:
    """Plays one trial, with light nodes or, where `is_real`, with whole node processes."""
    agents = await _start("tests.fleet.agents", msgspec.json.encode(plan).decode())
    listening: Listening = msgspec.json.decode(await _read_line(agents), type=Listening)
    lags: list[tuple[float, float]] = []
    with TemporaryDirectory() as folder:
        nodes = (
            RealNodes(Path(folder), plan.seed) if is_real else LightNodes(plan, sabotage, listening.engines)
        )
        await nodes.start(listening.ports)
        await asyncio.sleep(SETTLING_TIME)
        witness = asyncio.ensure_future(_witness(lags))
        _write(agents, f"{time.monotonic()}\n")
        agents_report: AgentsReport = msgspec.json.decode(await _read_line(agents), type=AgentsReport)
        witness.cancel()
        report = await nodes.stop()
    _end_input(agents)
    await agents.wait()
    return Outcome(
        plan, agents_report, report.told, report.sent, listening.ports, lags, report.processor_seconds
    )


class LightNodes:
    """Processes with many light nodes each."""

    def __init__(self, plan: Plan, sabotage: str, engines: int) -> None:
        self.arguments = [str(plan.seed), str(engines), str(plan.request_rate), sabotage]
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, agent_ports: list[int]) -> None:
        """Starts a light node for each agent."""
        for first in range(0, len(agent_ports), NODES_A_PROCESS):
            group = json.dumps(agent_ports[first : first + NODES_A_PROCESS])
            self.processes.append(await _start("tests.fleet.light_nodes", group, *self.arguments))

    async def stop(self) -> NodesReport:
        """Ends all nodes; returns what they reported."""
        for process in self.processes:
            _end_input(process)
        reports: list[NodesReport] = [
            msgspec.json.decode(await _read_line(process), type=NodesReport) for process in self.processes
        ]
        for process in self.processes:
            await process.wait()
        return NodesReport(
            [told for report in reports for told in report.told],
            [sent for report in reports for sent in report.sent],
            sum(report.processor_seconds for report in reports),
        )


async def _start(module: str, *arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env=PROCESS_ENVIRONMENT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=REPORT_LIMIT,
    )


async def _read_line(process: asyncio.subprocess.Process) -> bytes:
    assert process.stdout is not None
    return await process.stdout.readline()


def _write(process: asyncio.subprocess.Process, line: str) -> None:
    assert process.stdin is not None
    process.stdin.write(line.encode())


def _end_input(process: asyncio.subprocess.Process) -> None:
    assert process.stdin is not None
    process.stdin.close()


async def _witness(lags: list[tuple[float, float]]) -> None:
    while True:
        due = time.monotonic() + WITNESS_INTERVAL
        await asyncio.sleep(WITNESS_INTERVAL)
        at = time.monotonic()
        if at - due > WITNESSED_LAG:
            lags.append((due, at))
