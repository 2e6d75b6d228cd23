"""Taking clients' connections off a listening socket."""

from __future__ import annotations

import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup
import structlog

from runspool.sockets.lines import Line, accept

ACCEPT_REST = 0.1  # seconds before another connection is accepted where one could not be


async def accept_all(listening: socket.socket, tasks: TaskGroup,
                     client: Callable[[Line], Coroutine[Any, Any, None]]) -> None:
    """Begins `client` for each connection, until cancelled."""
    while True:
        try:
            line = await accept(listening)
        except OSError as fault:
            # Out of descriptors, most likely: those who wait in the backlog may be served later.
            structlog.get_logger().error("accept_failed", reason=str(fault))
            await anyio.sleep(ACCEPT_REST)
            continue
        tasks.start_soon(client, line)
