"""Runs the discovery agents of all nodes of a fleet in one process: `python -m tests.fleet.agents PLAN`.

PLAN is a Plan as JSON. The process prints the ports on which it listens as a line of JSON, reads the start
time of the trial from its standard input, and prints an AgentsReport as a line of JSON at the end.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tests.fault_proxy import HOST
from tests.fleet.plan import (
    ENGINE_COUNT,
    FIRST_VERSION,
    AgentsReport,
    Backlog,
    Call,
    Change,
    ListeningPorts,
    Plan,
)
from tests.node_platform.http_messages import http_response, read_request

LISTEN_BACKLOG = 4_096
ENGINE_PORT = 9  # the port in all endpoint list entries; no node connects to it
AFTER_PARAMETER = "after="  # precedes, in a request target, the version after which a watch asks for changes


@dataclass(eq=False)
class Connection:
    """A connection of a node to its agent."""

    node: int
    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_gone(self) -> bool:
        """Whether this process has seen the node close the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


@dataclass
class Agents:
    """The endpoint list and the agents that serve it. Times are in seconds of the machine's monotonic clock.

    Attributes:
        plan: the trial that is played.
        changes: the changes of the list, in order, from the start of the trial.
        outages_begun: the number of outages that have begun.
        outage_began_at: when the latest outage began.
        calls: all calls that the agents have read.
        outages: begin and end of each outage that is over.
        connections: the open connections of each node.
        connection_count: the number of connections accepted so far.
        most_connections: the largest number of simultaneous connections of each node.
        remaining_lost_watches: how many more watches of each node are never answered.
        tasks: the tasks that serve listeners and connections.
        reachable: set while there is no outage.
        held_calls: calls that wait for the end of an outage.
        list_changed: set at each change of the list, and then replaced by a new event.
    """

    plan: Plan
    changes: list[Change] = field(default_factory=list)
    outages_begun: int = 0
    outage_began_at: float = 0.0
    calls: list[Call] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    connections: dict[int, set[Connection]] = field(default_factory=dict)
    connection_count: int = 0
    most_connections: dict[int, int] = field(default_factory=dict)
    remaining_lost_watches: dict[int, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    reachable: asyncio.Event = field(default_factory=asyncio.Event)
    held_calls: list[asyncio.Future[None]] = field(default_factory=list)
    list_changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, start_at: float) -> None:
        """Play the plan from `start_at` on, which is a time of the machine's monotonic clock in seconds."""
        for index, at in enumerate(sorted(self.plan.changes)):
            known_at = max([at, *(end for begin, end in self.plan.outages if begin <= at < end)])
            self.changes.append(Change(FIRST_VERSION + 1 + index, f"engine-{index}", start_at + known_at))
        steps = [(at, self._notify_watches) for at in self.plan.changes]
        for begin, end in self.plan.outages:
            steps += [(begin, self._begin_outage), (end, self._end_outage)]
        steps.append((self.plan.duration, lambda: None))
        for at, step in sorted(steps, key=lambda each: each[0]):
            await asyncio.sleep(max(0.0, start_at + at - time.monotonic()))
            step()

    async def listen(self) -> ListeningPorts:
        """Open a listener for each node's agent and one that stands for all engines; return their ports."""
        self.reachable.set()
        ports = []
        for node in range(self.plan.nodes):
            listener = socket.create_server((HOST, 0), backlog=LISTEN_BACKLOG)
            listener.setblocking(False)
            ports.append(int(listener.getsockname()[1]))
            self._start(self._accept(node, listener))
        engines = await asyncio.start_server(self._serve_engine, HOST, 0, backlog=LISTEN_BACKLOG)
        return ListeningPorts(ports, int(engines.sockets[0].getsockname()[1]))

    async def _serve_engine(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await read_request(reader)
            writer.write(http_response(200))
        writer.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @property
    def version(self) -> int:
        """The present version of the list.

        It is computed from the clock, so that a change counts on time even if this process is busy then.
        """
        now = time.monotonic()
        return FIRST_VERSION + sum(change.known_at <= now for change in self.changes)

    def _notify_watches(self) -> None:
        list_changed, self.list_changed = self.list_changed, asyncio.Event()
        list_changed.set()

    def _begin_outage(self) -> None:
        self.outages_begun += 1
        self.outage_began_at = time.monotonic()
        self.reachable.clear()

    def _end_outage(self) -> None:
        self.outages.append((self.outage_began_at, time.monotonic()))
        self.remaining_lost_watches = dict.fromkeys(range(self.plan.nodes), self.plan.lost_watches)
        self.reachable.set()
        held_calls, self.held_calls = self.held_calls, []
        for held_call in reversed(held_calls) if self.plan.backlog is Backlog.LAST_FIRST else held_calls:
            if not held_call.done():
                held_call.set_result(None)
        self._notify_watches()
        if self.plan.backlog is Backlog.RESET:
            for connection in set().union(*self.connections.values()):
                connection.writer.transport.abort()

    async def _accept(self, node: int, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_to_read()
            accepted, _ = await loop.sock_accept(listener)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda used=protocol: used, accepted)  # type: ignore[misc]
            self.connection_count += 1
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            self._start(self._serve(Connection(node, self.connection_count, reader, writer)))

    async def _wait_to_read(self) -> None:
        if self.plan.backlog is Backlog.UNREAD:
            await self.reachable.wait()

    async def _serve(self, connection: Connection) -> None:
        connections = self.connections.setdefault(connection.node, set())
        connections.add(connection)
        open_count = sum(not other.is_gone for other in connections)
        self.most_connections[connection.node] = max(
            open_count, self.most_connections.get(connection.node, 0)
        )
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._wait_to_read()
                    await self._serve_call(connection)
        finally:
            connections.discard(connection)
            connection.writer.transport.abort()

    async def _serve_call(self, connection: Connection) -> None:
        request = await read_request(connection.reader)
        after = _parse_after(request.target)
        call = Call(connection.node, connection.number, time.monotonic(), after is not None)
        self.calls.append(call)
        outages_before = self.outages_begun - (not self.reachable.is_set())
        if after is not None and self.remaining_lost_watches.get(connection.node, 0):
            self.remaining_lost_watches[connection.node] -= 1
            await asyncio.Event().wait()
        await self._wait_until_reachable()
        await self._wait_for_change(after, request.target)
        if self.outages_begun != outages_before and not await self._answers_after_outage(connection):
            return
        # A blocking sleep, because an agent process works on one call at a time.
        time.sleep(self.plan.call_cost)  # noqa: ASYNC251
        connection.writer.write(http_response(200, self._encode_list(after)))
        call.answered_at = None if connection.is_gone else time.monotonic()

    async def _answers_after_outage(self, connection: Connection) -> bool:
        """Return whether a call that was open in an outage gets an answer after it.

        With Backlog.DEAF the method never returns, so that nothing more is read from the connection.
        """
        match self.plan.backlog:
            case Backlog.ALL | Backlog.LAST_FIRST | Backlog.UNREAD:
                return True
            case Backlog.PRESENT:
                return not connection.is_gone
            case Backlog.NONE | Backlog.RESET:
                return False
            case Backlog.DEAF:
                await asyncio.Event().wait()
                return False

    async def _wait_for_change(self, after: int | None, target: str) -> None:
        """Hold a watch until the list is newer than `after` or its wait is over, and until an outage ends."""
        if after is None:
            return
        deadline = time.monotonic() + int(target.partition("wait_ms=")[2]) / 1_000
        while self.version <= after:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self.list_changed.wait(), left)
        await self._wait_until_reachable()

    async def _wait_until_reachable(self) -> None:
        if not self.reachable.is_set():
            held_call = asyncio.get_running_loop().create_future()
            self.held_calls.append(held_call)
            await held_call

    def _encode_list(self, after: int | None) -> bytes:
        """Return the response body: the whole list, or the changes after version `after` if it is given."""
        version = self.version
        draining = {change.engine: change.version for change in self.changes if change.version <= version}
        names = [f"engine-{index}" for index in range(ENGINE_COUNT)]
        if after is not None:
            names = [name for name in names if draining.get(name, 0) > after]
        return json.dumps(
            {
                "index": version,
                "snapshot": after is None,
                "endpoints": [
                    {
                        "name": name,
                        "address": f"{HOST}:{ENGINE_PORT}",
                        "zone": "a",
                        "type": "mixed",
                        "group": 1,
                        "status": "leaving" if name in draining else "active",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for name in names
                ],
            }
        ).encode()


def _parse_after(target: str) -> int | None:
    """Return the version after which a watch asks for changes; None for a call for the whole list."""
    if AFTER_PARAMETER not in target:
        return None
    return int(target.partition(AFTER_PARAMETER)[2].partition("&")[0])


async def run(plan: Plan) -> AgentsReport:
    """Listen, print the ports, play the trial from the time read from standard input, and return a report."""
    agents = Agents(plan)
    print(msgspec.json.encode(await agents.listen()).decode(), flush=True)
    start_at = float(await asyncio.to_thread(sys.stdin.readline))
    await agents.run(start_at)
    return AgentsReport(
        agents.calls, agents.changes, agents.outages, agents.most_connections, time.process_time()
    )


async def main() -> None:
    """Play the plan that is given on the command line."""
    report = await run(msgspec.json.decode(sys.argv[1], type=Plan))
    print(msgspec.json.encode(report).decode(), flush=True)
    os._exit(0)  # a regular exit would first close what may be thousands of connections


if __name__ == "__main__":
    asyncio.run(main())
