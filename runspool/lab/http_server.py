"""The stand-ins' HTTP/1.1 server side: requests in, answers out, and the mishaps they are told to play."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from runspool.transport.tcp import next_connection

RECEIVED = 65536
GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class PeerClosedError(Exception):
    """The peer has gone."""


@dataclass(slots=True)
class Asked:
    """One request on a connection, with the means to answer it."""

    method: str
    target: str
    headers: dict[str, str]
    stream: SocketStream
    state: h11.Connection
    peer: str
    body: bytes = b""
    left: anyio.Event = field(default_factory=anyio.Event)

    async def read_body(self) -> bytes:
        body = bytearray()
        while not isinstance(event := await _next(self.stream, self.state), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise PeerClosedError
            if isinstance(event, h11.Data):
                body += event.data
        self.body = bytes(body)
        return self.body

    async def answer(self, status: int, said: object, headers: dict[str, str] | None = None) -> None:
        raw = said if isinstance(said, bytes) else msgspec.json.encode(said)
        fields = {"Content-Type": "application/json", "Content-Length": str(len(raw)), **(headers or {})}
        await self._send(
            h11.Response(status_code=status, headers=list(fields.items())),
            h11.Data(data=raw),
            h11.EndOfMessage(),
        )

    async def open_stream(self, headers: dict[str, str] | None = None) -> None:
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **(headers or {})}
        await self._send(h11.Response(status_code=200, headers=list(fields.items())))

    async def chunk(self, raw: bytes) -> None:
        await self._send(h11.Data(data=raw))

    async def end_stream(self) -> None:
        await self._send(h11.EndOfMessage())

    async def reset(self) -> None:
        """Ends the connection by RST, so that the peer sees a reset and no orderly close."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)

    async def watch(self) -> None:
        """Sets `left` once the peer is gone."""
        try:
            while True:
                self.state.receive_data(await self.stream.receive(RECEIVED))
        except GONE:
            self.left.set()

    async def _send(self, *events: h11.Event) -> None:
        raw = b"".join(self.state.send(event) or b"" for event in events)
        try:
            await self.stream.send(raw)
        except GONE:
            raise PeerClosedError from None


async def serve_all(
    listener: SocketListener, client: Callable[[SocketStream], Coroutine[Any, Any, None]], tasks: TaskGroup
) -> None:
    """Begins `client` for each connection, until cancelled."""
    raw = listener.extra(SocketAttribute.raw_socket)
    while True:
        tasks.start_soon(client, await SocketStream.from_socket(await next_connection(raw)))


async def serve(stream: SocketStream, handle: Callable[[Asked], Awaitable[None]]) -> None:
    """Serves one connection until it ends; `handle` reads the body itself."""
    state = h11.Connection(h11.SERVER, max_incomplete_event_size=65536)
    peer = str(stream.extra(SocketAttribute.remote_address)[0])
    async with stream:
        try:
            while isinstance(request := await _next(stream, state), h11.Request):
                headers = {key.decode("latin-1"): value.decode("latin-1") for key, value in request.headers}
                method, target = request.method.decode(), request.target.decode()
                await handle(Asked(method, target, headers, stream, state, peer))
                if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                    return
                state.start_next_cycle()
        except (*GONE, PeerClosedError, h11.RemoteProtocolError, h11.LocalProtocolError):
            return


async def _next(stream: SocketStream, state: h11.Connection) -> object:
    while (event := state.next_event()) is h11.NEED_DATA:
        try:
            data = await stream.receive(RECEIVED)
        except anyio.EndOfStream:
            data = b""
        state.receive_data(data)
    return event
