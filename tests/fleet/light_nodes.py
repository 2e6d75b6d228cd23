"""Nodes of which only the following of the list runs, many in one process.

`python -m tests.fleet.light_nodes PORTS SEED [SABOTAGE]` runs the product's own client for each agent's port.
Ends with the end of its standard input, and prints a NodesReport then.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from functools import partial
from random import Random

import anyio
import msgspec

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.logs import start_logs
from runspool.node.discovery_call_planner import DiscoveryCallPlanner
from runspool.node.discovery_client import DiscoveryClient
from runspool.node.server import DISCOVERY_CONNECTIONS
from runspool.service.clock import now
from runspool.wire.endpoint_list import EndpointEntry
from tests.fault_proxy import HOST
from tests.fleet.plan import NodesReport, Told
from tests.fleet.sabotage import SABOTAGE


async def run(ports: list[int], seed: int) -> NodesReport:
    """Runs a light node for each agent's port until the standard input ends."""
    told: list[Told] = []

    def changed(node: int, entries: list[EndpointEntry]) -> None:
        at = time.monotonic()
        told.extend(Told(node, entry.engine, entry.state, at) for entry in entries)

    async with anyio.create_task_group() as tasks:
        for port in ports:
            client = DiscoveryClient(
                DISCOVERY_CONNECTIONS,
                DiscoveryCallPlanner((HOST, port), Random(f"{seed}.{port}").random),
                EndpointTracker(),
                now,
                partial(changed, port),
                lambda: None,
                Counter(),
            )
            tasks.start_soon(client.follow)
        await anyio.to_thread.run_sync(sys.stdin.read)
        tasks.cancel_scope.cancel()
    return NodesReport(told, time.process_time())


if __name__ == "__main__":
    start_logs("error")
    if len(sys.argv) > 3:
        SABOTAGE[sys.argv[3]]()
    report = anyio.run(run, json.loads(sys.argv[1]), int(sys.argv[2]), backend_options={"use_uvloop": True})
    print(msgspec.json.encode(report).decode(), flush=True)
