"""Runs many light nodes in one process; a light node consists of the node's discovery client alone.

`python -m tests.fleet.light_nodes PORTS SEED ENGINES RATE SABOTAGE` runs a discovery client for each agent's
port in the JSON list PORTS. Each light node also sends RATE requests per second to port ENGINES, for engines
that it knows as active. SABOTAGE names a rule that the nodes violate, or is empty. The process ends when its
standard input is closed, and then prints a NodesReport as a line of JSON.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from contextlib import suppress
from functools import partial
from random import Random

import anyio
import msgspec

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.logs import configure_logging
from runspool.node.discovery_call_planner import DiscoveryCallPlanner
from runspool.node.discovery_client import DiscoveryClient
from runspool.node.server import DISCOVERY_CONNECTION_SETTINGS
from runspool.service.clock import now
from runspool.wire.endpoint_list import EndpointEntry
from tests.fault_proxy import HOST
from tests.fleet.plan import EngineRequest, LearnedState, NodesReport
from tests.fleet.sabotage import SABOTAGE

REQUEST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: engine\r\nContent-Length: 2\r\n\r\n{}"


async def send_requests(
    port: int, tracker: EndpointTracker, engines: int, rate: float, random: Random, sent: list[EngineRequest]
) -> None:
    """Send requests to random engines that a node knows as active, until cancelled.

    Args:
        port: The port of the node's agent, which identifies the node.
        tracker: The node's endpoint list.
        engines: The port that stands for all engines.
        rate: The mean number of requests per second.
        random: The source of random numbers.
        sent: Receives a record of each request.
    """
    while True:
        await anyio.sleep(random.expovariate(rate))
        active = [entry.engine for entry in tracker.listed_entries() if entry.state == "on"]
        if active:
            engine = random.choice(active)
            sent.append(EngineRequest(port, engine, time.monotonic()))
            with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                async with await anyio.connect_tcp(HOST, engines) as stream:
                    await stream.send(REQUEST)
                    with anyio.move_on_after(1.0):
                        await stream.receive()


async def run(ports: list[int], seed: int, engines: int, rate: float) -> NodesReport:
    """Run a light node for each agent's port until the standard input ends, and return what they recorded."""
    told: list[LearnedState] = []
    sent: list[EngineRequest] = []

    def changed(node: int, entries: list[EndpointEntry]) -> None:
        at = time.monotonic()
        told.extend(LearnedState(node, entry.engine, entry.state, at) for entry in entries)

    async with anyio.create_task_group() as tasks:
        for port in ports:
            random, tracker = Random(f"{seed}.{port}"), EndpointTracker()
            client = DiscoveryClient(
                DISCOVERY_CONNECTION_SETTINGS,
                DiscoveryCallPlanner((HOST, port), random.random),
                tracker,
                now,
                partial(changed, port),
                lambda: None,
                Counter(),
            )
            tasks.start_soon(client.follow)
            if rate:
                tasks.start_soon(send_requests, port, tracker, engines, rate, random, sent)
        await anyio.to_thread.run_sync(sys.stdin.read)
        tasks.cancel_scope.cancel()
    return NodesReport(told, sent, time.process_time())


if __name__ == "__main__":
    configure_logging("error")
    port_list, node_seed, engines_port, request_rate, sabotage = sys.argv[1:]
    if sabotage:
        SABOTAGE[sabotage]()
    report = anyio.run(
        run,
        json.loads(port_list),
        int(node_seed),
        int(engines_port),
        float(request_rate),
        backend_options={"use_uvloop": True},
    )
    print(msgspec.json.encode(report).decode(), flush=True)
