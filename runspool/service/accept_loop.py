"""Taking clients' connections off a listening socket."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import structlog
from anyio.abc import TaskGroup

from runspool.transport.tcp import TcpConnection, accept

ACCEPT_REST = 0.1  # seconds before another connection is accepted where there is no room for one
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def accept_all(
    listening: socket.socket, tasks: TaskGroup, client: Callable[[TcpConnection], Coroutine[Any, Any, None]]
) -> None:
    """Begins `client` for each connection, until cancelled. None that fails keeps the next waiting."""
    log, failures = structlog.get_logger(), 0
    while True:
        try:
            line = await accept(listening)
        except Exception as fault:  # the loop raises what it likes; one connection must not end the listener
            failures += 1
            if failures.bit_count() == 1:  # the 1st, 2nd, 4th, 8th
                log.error("accept_failed", reason=repr(fault), failures=failures)
            # Those who wait in the backlog may be served once there is room. All else has cost one connection
            # that its peer gave up or the network broke, and a turn for the others in between.
            no_room = not isinstance(fault, OSError) or fault.errno in NO_ROOM
            await anyio.sleep(ACCEPT_REST if no_room else 0)
            continue
        failures = 0
        tasks.start_soon(client, line)
