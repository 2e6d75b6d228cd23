"""The node under test with its peers; the node runs in its own process or in that of the test."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

from runspool.node.config import read_node_config
from runspool.node.server import NodeServer
from tests.fault_proxy import HOST
from tests.node_platform.agent import ScriptedAgent
from tests.node_platform.client import Client, Response
from tests.node_platform.http_messages import WAIT_TIMEOUT, ReceivedRequest
from tests.node_platform.ports import free_port
from tests.node_platform.settings import SETTINGS

HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n"
FAULT_MARKERS = (b"Traceback", b"_failed", b"invariant_violated")  # no node may log any of these
PREFILL_KIND = "prefill"


class Platform(ScriptedAgent):
    """A node with its engines, its discovery agent and its clients."""

    def __init__(self, folder: Path, kinds: dict[str, str]) -> None:
        super().__init__(kinds)
        self.folder = folder
        self.process: asyncio.subprocess.Process
        self.node_task: asyncio.Future[None]  # of a node in the process of the test
        self.clients: list[Client] = []
        self.port = self.agent_port = 0
        self.log = b""
        self.killed = False  # whether a test has sent SIGKILL to the node
        self.settings = SETTINGS
        self.sockets = 256
        self.memory_mb = 192.0
        self.log_level = "debug"
        self.redirection = ""  # of the node's standard streams, in shell syntax
        self.reads_log = asyncio.Event()  # while clear, the node's standard error is not read
        self.reads_log.set()

    # Requests that engines have received.

    def attempts(self, name: str, role: str = "") -> list[ReceivedRequest]:
        """Return the attempts that engines received for a request, without release calls.

        Where a role is given, only attempts of that role are returned.
        """
        return [
            request
            for request in self.received
            if request.headers.get("req-id") == name and (not role or self._role(request) == role)
        ]

    def _role(self, request: ReceivedRequest) -> str:
        return "prefill" if self.engines[request.engine].kind == PREFILL_KIND else "decode"

    def release_calls(self, name: str) -> list[ReceivedRequest]:
        """Return the received calls that release the state of a request."""
        return [request for request in self.received if request.target == f"/state/{name}"]

    # The node.

    def write_config(self, **changes: Any) -> Path:
        """Write the node's configuration file with these keys changed, and return its path."""
        file = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.agent_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": json.loads(self.endpoint_list_json()),
            "settings": self.settings,
        } | changes
        file.write_text(json.dumps(config))
        return file

    @asynccontextmanager
    async def open(self, ready: bool = True, fails_on_faults: bool = True) -> AsyncIterator[Platform]:
        """Run peers and a node process; wait until it is ready, or only until it listens without `ready`.

        The node must not log a fault, unless the caller says that it judges the log itself.
        """
        async with self.running_peers(), self._node_process(ready, fails_on_faults):
            yield self

    @asynccontextmanager
    async def open_in_process(self, wait: bool = True) -> AsyncIterator[NodeServer]:
        """Run peers, and a node in the process of the test; with `wait`, wait until it is ready."""
        async with self.running_peers():
            config = read_node_config({"BALANCER_CONFIG": str(self.write_config(listen="127.0.0.1:1"))})
            config = replace(config, listen=("127.0.0.1", 0))
            server, ready = NodeServer(config, lambda: config, self.sockets), _Ready()
            task = self.node_task = asyncio.ensure_future(server.run(task_status=ready))
            if wait:
                await ready.wait()
            while not server.port:
                await asyncio.sleep(0)
            self.port = server.port
            try:
                yield server
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    @asynccontextmanager
    async def running_peers(self) -> AsyncIterator[None]:
        """Run engines and agent; close connections to the node that the test left open at the end."""
        async with self.run_agent() as self.agent_port:
            for engine in self.engines.values():
                await engine.start()
            try:
                yield
            finally:
                for engine in self.engines.values():
                    await engine.close()
                for client in self.clients:
                    client.close()

    @asynccontextmanager
    async def _node_process(self, ready: bool, fails_on_faults: bool) -> AsyncIterator[None]:
        """Run the node process; check that it does not fail, and with `fails_on_faults` that it logs none."""
        await self._start_process()
        logging = asyncio.ensure_future(self._collect_log())
        try:
            await (self._wait_until_ready() if ready else self.wait_until_accepting_connections())
            yield
            expected = (None, -signal.SIGKILL, 0) if self.killed else (None, 0)
            assert self.process.returncode in expected, self.log.decode()
            for fault in FAULT_MARKERS if fails_on_faults else ():
                assert fault not in self.log, self.log.decode()
        finally:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await logging

    async def _start_process(self) -> None:
        self.port = free_port()
        file = self.write_config()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f'exec "$0" -m runspool.node {self.redirection}',
            sys.executable,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"BALANCER_CONFIG": str(file), "RUNSPOOL_LOG": self.log_level},
        )

    async def _wait_until_ready(self) -> None:
        """Wait until the node reports that it is healthy and watches the endpoint list."""
        if self.redirection:
            await self.wait_until_accepting_connections()
            await self.wait_until_healthy()
        else:
            await self.wait_for_log_event("request_hold_ended")
        assert (await self.send_request(HEALTH_REQUEST)).status == 200
        await self.wait_until(
            lambda: any("after=" in target for target in self.list_requests)
            or bool(self.scripted_list_responses)
        )

    async def wait_until_healthy(self) -> None:
        """Ask for the node's health until it is ready, as the platform does."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while (await self.send_request(HEALTH_REQUEST)).status != 200:
                await asyncio.sleep(0.01)

    async def wait_until_accepting_connections(self) -> None:
        """Wait until the node accepts connections, without use of its log."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while True:
                with suppress(OSError):
                    (await self.client()).close()
                    return
                await asyncio.sleep(0.01)

    async def _collect_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            await self.reads_log.wait()
            self.log += line
            self.notify_change()

    async def wait_for_log_event(self, event: str) -> None:
        """Wait until the node has logged this event."""
        await self.wait_until(lambda: f'"event":"{event}"'.encode() in self.log)

    def signal(self, number: signal.Signals) -> None:
        """Send the node process a signal."""
        self.killed = self.killed or number is signal.SIGKILL
        self.process.send_signal(number)

    # Clients of the node.

    async def client(self) -> Client:
        """Open a connection to the node, which is closed when the platform stops."""
        client = Client(*await asyncio.open_connection(HOST, self.port))
        self.clients.append(client)
        return client

    async def send_request(self, data: bytes) -> Response:
        """Send one request on a connection of its own and read the response."""
        client = await self.client()
        try:
            client.send(data)
            return await client.read_response()
        finally:
            client.close()


class _Ready(asyncio.Event):
    """A task status, as the node reports it, that can be awaited."""

    def started(self, value: object = None) -> None:
        self.set()
