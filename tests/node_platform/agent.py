"""A scripted discovery agent, which serves the endpoint list that nodes fetch and watch."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial

from tests.fault_proxy import HOST
from tests.node_platform.agent_pace import AgentPace
from tests.node_platform.engine import ScriptedEngine
from tests.node_platform.http_messages import ReceivedRequest, http_response, read_request
from tests.node_platform.observed_peers import ObservedPeers

# Iterations of the event loop that suffice to hand an accepted connection to the task that serves it.
ACCEPT_ITERATIONS = 8


class ScriptedAgent(ObservedPeers):
    """Scripted engines, their endpoint list, and the agent that serves the list."""

    def __init__(self, kinds: dict[str, str]) -> None:
        super().__init__()
        self.engines = {name: ScriptedEngine(self, name, kind) for name, kind in kinds.items()}
        self.states = dict.fromkeys(kinds, "active")
        self.start_times = dict.fromkeys(kinds, 0)  # Unix time in milliseconds; 0 is in the distant past
        self.version = 1
        self.list_requests: list[str] = []  # targets of the received requests for the list
        self.scripted_list_responses: list[
            bytes | None
        ] = []  # the next responses of the agent; None sends none
        self.list_gate = asyncio.Event()  # while clear, the agent reads requests and sends nothing
        self.list_gate.set()
        self.pace = AgentPace()

    def endpoint_list_json(self, snapshot: bool = True) -> bytes:
        """Return the current endpoint list as JSON."""
        return json.dumps(
            {
                "index": self.version,
                "snapshot": snapshot,
                "endpoints": [
                    {
                        "name": name,
                        "address": f"{HOST}:{engine.listed_port}",
                        "zone": "a",
                        "type": engine.kind,
                        "group": 1,
                        "status": self.states[name],
                        "weight": 1.0,
                        "since_ms": self.start_times[name],
                    }
                    for name, engine in self.engines.items()
                ],
            }
        ).encode()

    def publish_states(self, **states: str) -> None:
        """Change the states of endpoints, in a new version of the list."""
        self.states |= states
        self.version += 1
        self.notify_change()

    def publish_restart(self, engine: str, kind: str = "") -> None:
        """List an engine as restarted now, with another kind if one is given."""
        self.start_times[engine] = max(int(time.time() * 1000), self.start_times[engine] + 1)
        self.publish_kind(engine, kind or self.engines[engine].kind)

    def publish_kind(self, engine: str, kind: str) -> None:
        """List an engine with this kind."""
        self.engines[engine].kind = kind
        self.publish_states(**{engine: "active"})

    @asynccontextmanager
    async def run_agent(self) -> AsyncIterator[int]:
        """Run the agent; yield its port."""
        agent = await asyncio.start_server(self._serve_agent, HOST, 0)
        try:
            yield int(agent.sockets[0].getsockname()[1])
        finally:
            await _close(agent)
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await asyncio.sleep(0)  # the event loop closes aborted transports in its next iteration

    async def _serve_agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with self.serving(writer):
            with self.pace.connection(reader) as is_within_limit:
                while is_within_limit:
                    request = await read_request(reader)
                    self.list_requests.append(request.target)
                    self.notify_change()
                    await self.list_gate.wait()
                    if await self.pace.answer(reader, writer, partial(self._next_response, request)) is None:
                        await reader.read()
                        return

    async def _next_response(self, request: ReceivedRequest) -> bytes | None:
        body = await self._next_body(request)
        return body if body is None or body.startswith(b"HTTP/") else http_response(200, body)

    async def _next_body(self, request: ReceivedRequest) -> bytes | None:
        """Return the next scripted body if there is one, else the list; a watch waits for a new version."""
        body: bytes | None = self.endpoint_list_json()
        if self.scripted_list_responses:
            return self.scripted_list_responses.pop(0)
        if "after=" in request.target:
            await self._wait_for_version_after(request.target)
            body = self.endpoint_list_json(snapshot=False)
        return body

    async def _wait_for_version_after(self, target: str) -> None:
        known_version = int(target.partition("after=")[2].partition("&")[0])
        wait_seconds = int(target.partition("wait_ms=")[2]) / 1000
        async with self.change:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.change.wait_for(lambda: self.version != known_version), wait_seconds
                )


async def _close(server: asyncio.Server) -> None:
    """Close a server, but first let the connections that it is accepting reach the tasks that serve them.

    asyncio leaves a connection open whose server is closed while it is being accepted.
    """
    loop = asyncio.get_running_loop()
    for listener in server.sockets:
        loop.remove_reader(listener.fileno())
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    server.close()
