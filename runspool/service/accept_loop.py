"""Accepts clients' connections on a listening socket."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import structlog
from anyio.abc import TaskGroup

from runspool.transport.tcp import TcpConnection, accept

ACCEPT_RETRY_DELAY = 0.1  # seconds before another connection is accepted after resources ran out
RESOURCES_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def accept_all(
    listening: socket.socket, tasks: TaskGroup, client: Callable[[TcpConnection], Coroutine[Any, Any, None]]
) -> None:
    """Starts `client` in `tasks` for each connection, until cancelled.

    A connection that cannot be accepted is logged, and does not keep the next one waiting.
    """
    log = structlog.get_logger()
    failures = 0
    while True:
        try:
            connection = await accept(listening)
        except Exception as fault:  # noqa: BLE001 - whatever the event loop raises, listening must go on
            failures += 1
            if failures.bit_count() == 1:  # logs the 1st, 2nd, 4th, 8th and so on
                log.error("accept_failed", reason=repr(fault), failures=failures)  # noqa: TRY400 - no trace each time
            # Clients in the backlog can be served once there are resources. Any other error has cost one
            # connection, which its peer or the network ended; other tasks get a turn before the next one.
            exhausted = not isinstance(fault, OSError) or fault.errno in RESOURCES_EXHAUSTED
            await anyio.sleep(ACCEPT_RETRY_DELAY if exhausted else 0)
            continue
        failures = 0
        tasks.start_soon(client, connection)
