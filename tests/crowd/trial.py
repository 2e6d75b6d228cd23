"""One trial of a crowd against a node: its highest memory, and what became of usual clients beside it.

By hand: `python -m tests.crowd.trial --memory 48 --behaviour all` prints one row; without options it prints
the whole table.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from tests.crowd.clients import ALL, BEHAVIOURS
from tests.node_platform.client import post
from tests.node_platform.platform import FAULT_MARKERS, Platform

MEMORY_LIMITS_MB = (32, 48, 64, 96, 128, 192)
SOCKETS = 1024
CLIENTS = 440
ENGINES = 4
CROWD_SECONDS = 8.0
CROWD_STARTS_SECONDS = 1.5  # until all clients of a crowd have connected and sent
USUAL_CLIENTS = 12
USUAL_INTERVAL = 0.25  # seconds between two usual clients
USUAL_DEADLINE = 3.0  # seconds, half of the deadline of their class
LATE_ALLOWED = 0.55  # seconds for an answer after its time, by the platform's page, with its slack
PATIENCE = 8.0  # seconds for which a usual client is observed


@dataclass
class Outcome:
    """What a trial has shown.

    Attributes:
        idle_mb: The resident memory of the node before the crowd, in MB.
        peak_mb: Its highest resident memory, in MB.
        whole: The number of usual clients that got their whole answers in time.
        refused: The number that were refused in time.
        late: The number whose first answer came too late.
        lost: The number whose connection ended, or that waited, without a whole answer.
        exit_code: The node's exit code; None while it runs.
        faults: The lines of the node's log that report a fault, without their times.
    """

    idle_mb: float = 0.0
    peak_mb: float = 0.0
    whole: int = 0
    refused: int = 0
    late: int = 0
    lost: int = 0
    exit_code: int | None = None
    faults: Counter[str] = field(default_factory=Counter)


def memory_mb(process: int, field: str) -> float:
    """Return a field of the process's memory status in MB: VmRSS is the resident size, VmHWM its peak."""
    status = Path(f"/proc/{process}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) / 1024


@asynccontextmanager
async def process_of(*arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a module of the tests in a process of its own, and end it."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def _ask(platform: Platform, number: int, outcome: Outcome) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + USUAL_DEADLINE + LATE_ALLOWED
    try:
        async with asyncio.timeout(PATIENCE):
            client = await platform.client()
            client.send(post(f"usual{number}", req_deadline=f"{USUAL_DEADLINE * 1000:.0f}m"))
            response = await client.read_head()
            answered = loop.time()
            response = await client.read_body(response)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        outcome.lost += 1
        return
    client.close()
    if answered > deadline:
        outcome.late += 1
    elif response.status == 200 and response.complete:
        outcome.whole += 1
    elif response.status in (429, 503):
        outcome.refused += 1
    else:
        outcome.lost += 1


async def run_trial(folder: Path, limit_mb: float, behaviour: str, clients: int = CLIENTS) -> Outcome:
    """Run one crowd against a node with this memory limit."""
    outcome = Outcome()
    kinds = {f"e{index}": "prefill" if index < ENGINES // 2 else "decode" for index in range(ENGINES)}
    platform = Platform(folder, kinds)
    platform.sockets, platform.memory_mb, platform.log_level = SOCKETS, limit_mb, "info"
    async with AsyncExitStack() as stack:
        for name, kind in kinds.items():
            engine = await stack.enter_async_context(process_of("tests.crowd.engines", kind))
            assert engine.stdout is not None
            platform.engines[name].announced_port = int(await engine.stdout.readline())
        async with platform.open(fails_on_faults=False):
            assert (await platform.send_request(post("first"))).complete
            node = platform.process.pid
            outcome.idle_mb = memory_mb(node, "VmRSS")
            crowd_arguments = (str(platform.port), behaviour, str(clients), str(CROWD_SECONDS))
            async with process_of("tests.crowd.clients", *crowd_arguments):
                await asyncio.sleep(CROWD_STARTS_SECONDS)
                async with asyncio.TaskGroup() as tasks:
                    for number in range(USUAL_CLIENTS):
                        tasks.create_task(_ask(platform, number, outcome))
                        await asyncio.sleep(USUAL_INTERVAL)
            outcome.peak_mb = memory_mb(node, "VmHWM")
            outcome.exit_code = platform.process.returncode
    for line in platform.log.splitlines():
        if any(marker in line for marker in FAULT_MARKERS):
            outcome.faults[re.sub(r"[0-9]+", "#", line.decode())[:160]] += 1
    return outcome


def _print_row(limit_mb: float, behaviour: str, outcome: Outcome) -> None:
    print(
        f"| {limit_mb:g} | {behaviour} | {outcome.idle_mb:.0f} | {outcome.peak_mb:.1f} | {outcome.whole} |"
        f" {outcome.refused} | {outcome.late} | {outcome.lost} | {sum(outcome.faults.values())} |",
        flush=True,
    )
    for fault, times in outcome.faults.most_common(3):
        print(f"{times} times: {fault}", file=sys.stderr)


def main() -> None:
    """Run the trials that the options name, one after the other, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", type=float, action="append", help="limit in MB; may be repeated")
    parser.add_argument("--behaviour", choices=[*BEHAVIOURS, ALL], action="append")
    parser.add_argument("--clients", type=int, default=CLIENTS)
    options = parser.parse_args()
    print("| limit MB | clients | idle MB | peak MB | whole | refused | late | lost | faults |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for behaviour in options.behaviour or [*BEHAVIOURS, ALL]:
        for limit_mb in options.memory or MEMORY_LIMITS_MB:
            with tempfile.TemporaryDirectory() as folder:
                outcome = asyncio.run(run_trial(Path(folder), limit_mb, behaviour, options.clients))
            _print_row(limit_mb, behaviour, outcome)


if __name__ == "__main__":
    main()
