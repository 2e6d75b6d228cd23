"""Plays a trial of a fleet: starts the processes of the agents and nodes, and measures scheduling delays."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from tests.fleet.plan import (
    AgentsReport,
    Change,
    EngineRequest,
    LearnedState,
    ListeningPorts,
    NodesReport,
    Plan,
)
from tests.fleet.real_nodes import RealNodes
from tests.process_environment import PROCESS_ENVIRONMENT

NODES_PER_PROCESS = 26  # light nodes in one process
SETTLING_TIME = 2.5  # seconds from the start of the nodes to the start of the plan
LAG_CHECK_INTERVAL = 0.01  # seconds for which this process sleeps between two measurements of its lag
RECORDED_LAG = 0.03  # seconds by which this idle process must be scheduled late for the lag to be recorded
MAX_REPORT_SIZE = 1 << 28  # bytes of a line that a process prints


@dataclass
class Outcome:
    """The observations of a trial. Times are in seconds of the machine's monotonic clock.

    Attributes:
        plan: the plan that was played.
        agents: what the agents have observed.
        told: the engine states that the nodes learned; a node is identified by its agent's port.
        sent: the requests that the nodes sent to engines.
        ports: the agents' ports in the order of their nodes.
        lags: begin and end of the periods in which the machine delayed this process while it was idle.
        nodes_processor_seconds: the processor time of all nodes.
    """

    plan: Plan
    agents: AgentsReport
    told: list[LearnedState]
    sent: list[EngineRequest]
    ports: list[int]
    lags: list[tuple[float, float]] = field(default_factory=list)
    nodes_processor_seconds: float = 0.0

    def lateness(self, change: Change) -> list[float]:
        """Return for each node the seconds from when its agent had a change to when the node knew it.

        The value is infinite for a node that never learned of the change.
        """
        known = {
            each.node: each.at
            for each in reversed(self.told)
            if each.engine == change.engine and each.state == "draining"
        }
        return [known.get(port, float("inf")) - change.known_at for port in self.ports]


async def play(plan: Plan, sabotage: str = "", is_real: bool = False) -> Outcome:
    """Play one trial, with complete node processes if `is_real`, otherwise with light nodes."""
    agents = await _start("tests.fleet.agents", msgspec.json.encode(plan).decode())
    listening: ListeningPorts = msgspec.json.decode(await _read_line(agents), type=ListeningPorts)
    lags: list[tuple[float, float]] = []
    with TemporaryDirectory() as folder:
        nodes = (
            RealNodes(Path(folder), plan.seed) if is_real else LightNodes(plan, sabotage, listening.engines)
        )
        await nodes.start(listening.ports)
        await asyncio.sleep(SETTLING_TIME)
        lag_recorder = asyncio.ensure_future(_record_lags(lags))
        _write(agents, f"{time.monotonic()}\n")
        agents_report: AgentsReport = msgspec.json.decode(await _read_line(agents), type=AgentsReport)
        lag_recorder.cancel()
        report = await nodes.stop()
    _end_input(agents)
    await agents.wait()
    return Outcome(
        plan, agents_report, report.told, report.sent, listening.ports, lags, report.processor_seconds
    )


class LightNodes:
    """Processes that each run many light nodes."""

    def __init__(self, plan: Plan, sabotage: str, engines: int) -> None:
        self.arguments = [str(plan.seed), str(engines), str(plan.request_rate), sabotage]
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, agent_ports: list[int]) -> None:
        """Start a light node for each agent."""
        for first in range(0, len(agent_ports), NODES_PER_PROCESS):
            group = json.dumps(agent_ports[first : first + NODES_PER_PROCESS])
            self.processes.append(await _start("tests.fleet.light_nodes", group, *self.arguments))

    async def stop(self) -> NodesReport:
        """End all nodes and return what they observed."""
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
        limit=MAX_REPORT_SIZE,
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


async def _record_lags(lags: list[tuple[float, float]]) -> None:
    """Record begin and end of each period in which this process was scheduled late, until cancelled."""
    while True:
        due = time.monotonic() + LAG_CHECK_INTERVAL
        await asyncio.sleep(LAG_CHECK_INTERVAL)
        at = time.monotonic()
        if at - due > RECORDED_LAG:
            lags.append((due, at))
