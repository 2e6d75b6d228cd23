"""How late many nodes are told after an outage: `python -m tests.soak.return_at_size --nodes 200`.

All agents are one process, this one. Discovery is silent for a while; right after its return engines drain.
Prints how long after that change each node knew of it, by the time stamps of the nodes' logs, and how many
calls the agents got.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.fault_proxy import FaultProxy
from tests.soak.conditions import Conditions
from tests.soak.environment import Environment, SoakEngine
from tests.soak.nodes import SoakNode

STARTED_AT_ONCE = 20
QUIET_START = 3.0  # seconds before the outage
CHANGE_AFTER_RETURN = 0.1
WATCHED_AFTER_RETURN = 12.0
GRACE = 0.25
DRAINED = "prefill-0"


class SharedProxy(FaultProxy):
    """Stands before an engine for all nodes."""

    async def start(self) -> None:
        """Listen, once."""
        if not self.port:
            await super().start()


async def measure(count: int, outage: float, drops: bool, folder: Path) -> None:
    """Play one outage and print what was seen."""
    environment = Environment(1, Conditions())
    await environment.start()
    nodes = [SoakNode(environment, f"n{index}", folder) for index in range(count)]
    proxies = {name: SharedProxy(_port_of(engine)) for name, engine in environment.engines.items()}
    for node in nodes:
        await node.prepare(lambda node, engine: proxies[engine])
    for first in range(0, count, STARTED_AT_ONCE):
        await asyncio.gather(*(node.start() for node in nodes[first : first + STARTED_AT_ONCE]))
    await asyncio.sleep(QUIET_START)
    down_at = asyncio.get_running_loop().time()
    for node in nodes:
        node.agent.pace.skips_abandoned = False
        node.agent.begin_outage(drops)
    await asyncio.sleep(outage)
    up_at = asyncio.get_running_loop().time()
    for node in nodes:
        node.agent.end_outage()
    await asyncio.sleep(CHANGE_AFTER_RETURN)
    changed_at = time.time()
    await environment.set_status(DRAINED, "leaving")
    await asyncio.sleep(WATCHED_AFTER_RETURN)
    late = sorted(told - changed_at for node in nodes for told in _told_at(node.log))
    made_at = [event["t"] for event in environment.recording.events if event["what"] == "agent_call"]
    calls = Counter(_phase(at, down_at, up_at) for at in made_at)
    print(
        f"{count} nodes, {outage} s, {'drops' if drops else 'holds'}: told {len(late)}, calls {dict(calls)}"
    )
    past_grace = sum(at > GRACE for at in late)
    print(f"late by, s: median {late[len(late) // 2]:.3f}, last {late[-1]:.3f}, past the grace {past_grace}")
    await asyncio.gather(*(node.close() for node in nodes))


def _port_of(engine: SoakEngine) -> Callable[[], int]:
    return lambda: engine.port


def _told_at(log: bytes) -> list[float]:
    for line in log.splitlines():
        if b"endpoint_list_changed" in line and b'"%b":"draining"' % DRAINED.encode() in line:
            return [datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()]
    return []


def _phase(at: float, down_at: float, up_at: float) -> str:
    return "before" if at < down_at else "during" if at < up_at else "after"


def main() -> None:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--outage", type=float, default=6.0)
    parser.add_argument("--drops", action="store_true")
    options = parser.parse_args()
    with TemporaryDirectory() as folder:
        asyncio.run(measure(options.nodes, options.outage, options.drops, Path(folder)))


if __name__ == "__main__":
    main()
