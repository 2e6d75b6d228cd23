"""The loop that accepts client connections on a listening socket."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from runspool.limits.memory_account import MemoryAccount
from runspool.transport import tcp
from runspool.transport.tcp import TcpConnection

# Connections that are accepted before other tasks have their turn. A crowd of clients that connect at the
# same time must not keep others waiting, neither in the kernel's queue nor behind their requests.
MAX_ACCEPTS_IN_TURN = 16
# Seconds until the next accept after the process or host has run out of resources: at first, and at most. It
# is doubled after each failure. Meanwhile nobody reads the requests of clients in the backlog.
MIN_ACCEPT_RETRY_SECONDS = 0.001
MAX_ACCEPT_RETRY_SECONDS = 0.1
RESOURCES_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def accept_connections(
    listener: socket.socket,
    tasks: TaskGroup,
    serve_client: Callable[[TcpConnection], Coroutine[Any, Any, None]],
    memory: MemoryAccount,
    free_resources: Callable[[], None] = lambda: None,
) -> None:
    """Accept connections until cancelled, and start `serve_client` in `tasks` for each one.

    A failed accept is logged and does not stop the loop.

    Args:
        listener: The listening socket, which does not block.
        tasks: Runs the tasks of the connections.
        serve_client: Serves one connection.
        memory: Charged for the data that connections buffer.
        free_resources: Called when no connection can be accepted for want of resources such as file
            descriptors; may free some.
    """
    log = structlog.get_logger()
    failures = accepted_in_turn = 0
    retry_delay = MIN_ACCEPT_RETRY_SECONDS
    while True:
        try:
            accepted = await tcp.accept_socket(listener)
        except Exception as error:  # noqa: BLE001 - the loop must survive any error of the event loop
            failures += 1
            if failures.bit_count() == 1:  # logs the 1st, 2nd, 4th, 8th, ... failure
                log.error("accept_failed", reason=repr(error), failures=failures)  # noqa: TRY400 - no traceback
            # After resource exhaustion, clients in the backlog can be served once resources are free again.
            # Any other OSError concerns a single connection that its peer or the network has closed, so the
            # loop only yields to other tasks before the next accept.
            exhausted = not isinstance(error, OSError) or error.errno in RESOURCES_EXHAUSTED
            if exhausted:
                free_resources()
            await anyio.sleep(retry_delay if exhausted else 0)
            retry_delay = min(2 * retry_delay, MAX_ACCEPT_RETRY_SECONDS)
            continue
        retry_delay = MIN_ACCEPT_RETRY_SECONDS
        tasks.start_soon(_serve_accepted, accepted, serve_client, memory)
        accepted_in_turn += 1
        if accepted_in_turn >= MAX_ACCEPTS_IN_TURN:
            accepted_in_turn = 0
            await anyio.lowlevel.checkpoint()


async def _serve_accepted(
    accepted: socket.socket,
    serve_client: Callable[[TcpConnection], Coroutine[Any, Any, None]],
    memory: MemoryAccount,
) -> None:
    try:
        connection = await tcp.establish(accepted, memory)
    except Exception as error:  # noqa: BLE001 - an error on one connection must not end the others
        structlog.get_logger().error("accept_failed", reason=repr(error), failures=1)
        return
    await serve_client(connection)
