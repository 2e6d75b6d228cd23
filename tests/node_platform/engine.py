"""A scripted engine on the loopback interface, and scripts for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.fault_proxy import HOST, FaultProxy
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    EVENTS,
    PREFILL_RESPONSE,
    STREAM_HEAD,
    STREAM_REMAINDER,
    ReceivedRequest,
    chunked,
    http_response,
    read_request,
)
from tests.node_platform.observed_peers import ObservedPeers

Script = Callable[[ReceivedRequest], Awaitable[None]]


def responds(data: bytes, proceed: asyncio.Event | None = None) -> Script:
    """Return a script that sends these bytes, after `proceed` has been set if it is given."""

    async def script(request: ReceivedRequest) -> None:
        if proceed is not None:
            await proceed.wait()
        await request.send(data)

    return script


def streams_until(proceed: asyncio.Event) -> Script:
    """Return a script that starts a stream at once and ends it when `proceed` is set."""

    async def script(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await proceed.wait()
        await request.send(STREAM_REMAINDER)

    return script


async def resets_connection(request: ReceivedRequest) -> None:
    """Reset the connection without a response."""
    request.reset()


async def never_responds(request: ReceivedRequest) -> None:
    """Send nothing until the node closes the connection."""
    await request.wait_until_closed()


class ScriptedEngine:
    """An engine that runs its scripts, one per request, and then responds as an engine of its kind."""

    def __init__(self, observed: ObservedPeers, name: str, kind: str) -> None:
        self.observed, self.name, self.kind = observed, name, kind
        self.scripts: list[Script] = []  # for the next requests; DELETE uses none
        self.server: asyncio.Server
        self.port = 0
        self.proxy: FaultProxy | None = None  # the endpoint list names its port, if there is one
        self.announced_port = 0  # overrides the port in the endpoint list, unless 0

    @property
    def listed_port(self) -> int:
        """The port that the endpoint list names."""
        return self.announced_port or (self.port if self.proxy is None else self.proxy.port)

    async def start(self) -> None:
        """Start to listen, and start the proxy if there is one."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.proxy is not None:
            await self.proxy.start()

    async def close(self) -> None:
        """Stop accepting connections."""
        self.server.close()
        if self.proxy is not None:
            await self.proxy.close()

    def add_proxy(self) -> FaultProxy:
        """Put a proxy in front of the engine; call it before start()."""
        self.proxy = FaultProxy(lambda: self.port)
        return self.proxy

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with self.observed.serving(writer):
            while not writer.transport.is_closing():
                request = await read_request(reader)
                request.engine, request.reader, request.writer = self.name, reader, writer
                request.stop_listening = self.server.close
                self.observed.record(request)
                await self._respond(request)

    async def _respond(self, request: ReceivedRequest) -> None:
        if request.method == "DELETE":
            await request.send(http_response(204))
        elif self.scripts:
            await self.scripts.pop(0)(request)
        else:
            await request.send(PREFILL_RESPONSE if self.kind == "prefill" else COMPLETE_STREAM)
