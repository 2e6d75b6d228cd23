"""HTTP/1.1 server of the stand-in services, which can also reset or close connections on purpose."""

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

from runspool.errors import RunspoolError
from runspool.transport.tcp import accept_socket

RECEIVE_BYTES = 65_536  # bytes requested from the socket at a time
MAX_HEAD_BYTES = 65_536  # bytes; upper bound on the head of a request
# The errors of a socket whose peer has closed or lost the connection.
PEER_GONE_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, with a timeout of 0 s


class PeerClosedError(RunspoolError):
    """The peer has closed the connection, or the connection was lost."""


@dataclass(slots=True)
class ReceivedRequest:
    """A request whose head has been read, with methods to read its body and to respond.

    Attributes:
        method: the request's method.
        target: the path and the query.
        headers: the values of the header fields, by their names in lower case.
        stream: the connection.
        protocol: the HTTP state of the connection.
        peer: the IP address of the client.
        disconnected: set when the connection is lost; only wait_for_disconnect() detects this.
    """

    method: str
    target: str
    headers: dict[str, str]
    stream: SocketStream
    protocol: h11.Connection
    peer: str
    disconnected: anyio.Event = field(default_factory=anyio.Event)

    async def read_body(self) -> bytes:
        """Return the whole body; raise PeerClosedError if the connection ends before the body does."""
        body = bytearray()
        while not isinstance(event := await _next_event(self.stream, self.protocol), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise PeerClosedError
            if isinstance(event, h11.Data):
                body += event.data
        return bytes(body)

    async def respond(self, status: int, content: object, headers: dict[str, str] | None = None) -> None:
        """Send a complete response; encode `content` as JSON unless it is bytes.

        Raises:
            PeerClosedError: the connection is lost. The other methods that send raise this too.
        """
        body = content if isinstance(content, bytes) else msgspec.json.encode(content)
        fields = {"Content-Type": "application/json", "Content-Length": str(len(body)), **(headers or {})}
        await self._send(
            h11.Response(status_code=status, headers=list(fields.items())),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def open_stream(self, headers: dict[str, str] | None = None) -> None:
        """Send the head of a chunked response; its content type is that of server-sent events by default."""
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **(headers or {})}
        await self._send(h11.Response(status_code=200, headers=list(fields.items())))

    async def send_chunk(self, content: bytes) -> None:
        """Send one chunk of a response begun by open_stream()."""
        await self._send(h11.Data(data=content))

    async def end_stream(self) -> None:
        """Send the end of a response begun by open_stream()."""
        await self._send(h11.EndOfMessage())

    async def reset(self) -> None:
        """Reset the connection (TCP RST), so that the peer gets an error instead of an orderly close."""
        raw_socket = self.stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.close()

    async def close(self) -> None:
        """Close the connection without ending the response."""
        await anyio.aclose_forcefully(self.stream)

    async def wait_for_disconnect(self) -> None:
        """Wait until the connection is lost, buffering received data; then set `disconnected`."""
        try:
            while True:
                self.protocol.receive_data(await self.stream.receive(RECEIVE_BYTES))
        except PEER_GONE_ERRORS:
            self.disconnected.set()

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.protocol.send(event) or b"" for event in events)
        try:
            await self.stream.send(data)
        except PEER_GONE_ERRORS:
            raise PeerClosedError from None


async def serve_connections(
    listener: SocketListener,
    serve: Callable[[SocketStream], Coroutine[Any, Any, None]],
    tasks: TaskGroup,
) -> None:
    """Accept connections until cancelled, and start `serve` for each as a task."""
    raw_socket = listener.extra(SocketAttribute.raw_socket)
    while True:
        tasks.start_soon(serve, await SocketStream.from_socket(await accept_socket(raw_socket)))


async def serve_requests(stream: SocketStream, handle: Callable[[ReceivedRequest], Awaitable[None]]) -> None:
    """Call `handle` for each request of a connection until it ends; `handle` must read the body."""
    protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    peer = str(stream.extra(SocketAttribute.remote_address)[0])
    async with stream:
        try:
            while isinstance(request := await _next_event(stream, protocol), h11.Request):
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
                method, target = request.method.decode(), request.target.decode()
                await handle(ReceivedRequest(method, target, headers, stream, protocol, peer))
                if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (*PEER_GONE_ERRORS, PeerClosedError, h11.RemoteProtocolError, h11.LocalProtocolError):
            return


async def _next_event(stream: SocketStream, protocol: h11.Connection) -> object:
    """Return the next event of the HTTP protocol, receiving data as needed."""
    while (event := protocol.next_event()) is h11.NEED_DATA:
        try:
            data = await stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            data = b""
        protocol.receive_data(data)
    return event
