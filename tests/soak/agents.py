"""A node's discovery agent in a soak: it can be slow, fail, change its address and restart its versions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from tests.fault_proxy import HOST
from tests.node_platform.agent_pace import AgentPace
from tests.node_platform.http_messages import ReceivedRequest, http_response, read_request
from tests.soak.environment import NOT_LISTED, Environment

# Calls of each node that an agent may have to answer before a call, where all agents are one busy process.
MAX_QUEUED_CALLS = 6


class SoakAgent:
    """The discovery agent of one node; its list has the addresses of that node's proxies to the engines."""

    def __init__(self, environment: Environment, node: str, port_of: Callable[[str], int]) -> None:
        self.environment, self.node, self.port_of = environment, node, port_of
        skips_abandoned = not environment.conditions.agents_owe_all
        self.pace = AgentPace(processing_lock=environment.agent_turn, skips_abandoned=skips_abandoned)
        # The agent's version of the list is the environment's revision minus this one.
        self.first_revision = 0
        self._list_before_outage, self._revision_before_outage = b"", 0
        self.port = 0
        self.server: asyncio.Server
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before if it has been closed."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def encode_list(self, after: int | None = None) -> bytes:
        """Return the present list as JSON, or only the entries that have changed after revision `after`."""
        status = self.environment.status
        if after is None:
            names = [name for name in status if status[name] != NOT_LISTED]
        else:
            names = [name for name in status if self.environment.changed_in[name] > after]
        return json.dumps(
            {
                "index": self.environment.revision - self.first_revision,
                "snapshot": after is None,
                "endpoints": [self._entry(name) for name in names],
            }
        ).encode()

    def _entry(self, name: str) -> dict[str, object]:
        engine = self.environment.engines[name]
        return {
            "name": name,
            "address": f"{HOST}:{self.port_of(name)}",
            "zone": "a",
            "type": engine.kind,
            "group": 1,
            "status": self.environment.status[name],
            "weight": 1.0,
            "since_ms": engine.started_unix_ms,
        }

    def known_list(self) -> bytes:
        """Return the list that the agent has as JSON; in an outage it is the list from before the outage."""
        return self._list_before_outage or self.encode_list()

    @property
    def known_revision(self) -> int:
        """The revision of the list that the agent has."""
        return self._revision_before_outage or self.environment.revision

    def record_pace(self, agents: int = 1) -> None:
        """Record the longest time that an answer takes now, if `agents` agents share one process."""
        pace = self.pace
        seconds = pace.delay + (pace.pieces - 1) * pace.piece_interval + MAX_QUEUED_CALLS * agents * pace.cost
        self.environment.record("agent_pace", node=self.node, seconds=seconds)

    def begin_outage(self, drops: bool) -> None:
        """Begin an outage. With `drops`, calls that are open in it are never answered, else at its end."""
        self._list_before_outage, self._revision_before_outage = self.known_list(), self.known_revision
        self.pace.drops = drops
        self.pace.begin_outage()
        self.environment.record("agent_down", node=self.node, drops=drops)

    def end_outage(self) -> None:
        """End an outage; the agent answers again once no other outage overlaps."""
        self.pace.end_outage()
        if not self.pace.outages:
            self._list_before_outage, self._revision_before_outage = b"", 0
            self.environment.record("agent_up", node=self.node)

    def reset(self) -> None:
        """Reset all connections."""
        self.environment.record("agent_reset", node=self.node)
        for writer in list(self.writers):
            writer.transport.abort()

    def restart_versions(self) -> None:
        """Count versions from 1 again and reset all connections, as a restarted agent does."""
        self.first_revision = self.environment.revision - 1
        self.reset()

    async def move(self) -> None:
        """Listen on another port, close the former one, and reset all connections."""
        self.server.close()
        self.reset()
        self.port = 0
        await self.start()
        self.environment.record("agent_moved", node=self.node)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with (
                suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError),
                self.pace.connection(reader) as may_stay,
            ):
                while may_stay:
                    await self._serve_call(await read_request(reader), reader, writer)
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_call(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.environment.record("agent_call", node=self.node, connections=self.pace.connections)
        revisions: list[int] = []
        took = await self.pace.answer(reader, writer, partial(self._respond, request, revisions))
        if took is None:
            await reader.read()
            raise ConnectionResetError
        if not (reader.at_eof() or writer.transport.is_closing()):
            self.environment.record("told", node=self.node, revision=revisions[0], took=round(took, 3))

    async def _wait_for_change(self, revision: int, seconds: float) -> None:
        if seconds:
            with suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self.environment.wait_for_change(revision)

    async def _respond(self, request: ReceivedRequest, revisions: list[int]) -> bytes:
        """Return the response to a call, and append the revision that it contains to `revisions`."""
        after: int | None = None
        if "after=" in request.target:
            after = int(request.target.partition("after=")[2].partition("&")[0]) + self.first_revision
            await self._wait_for_change(after, int(request.target.partition("wait_ms=")[2]) / 1000)
        if after is not None and after > self.environment.revision:
            after = None  # the version is from before the agent restarted its versions
        revisions.append(self.environment.revision)
        return http_response(200, self.encode_list(after))
