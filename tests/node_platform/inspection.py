"""Inspection of a node that runs in the process of the test, and modified settings for it."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Callable
from typing import Any

from runspool.node.executor import NodeExecutor
from runspool.node.request_handler import RequestHandler
from runspool.node.server import NodeServer
from runspool.scheduling.types import EngineState
from tests.node_platform.client import Client, post
from tests.node_platform.http_messages import WAIT_TIMEOUT
from tests.node_platform.platform import Platform
from tests.node_platform.settings import SETTINGS


def changed_settings(change: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    """Return a copy of the settings that `change` has modified."""
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def settings_with_deadline(milliseconds: int) -> dict[str, Any]:
    """Return settings with this deadline for every request class."""

    def change(settings: dict[str, Any]) -> None:
        for row in settings["classes"]:
            row["deadline-us"] = milliseconds * 1000

    return changed_settings(change)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition on a node's internal state is true; raise TimeoutError after WAIT_TIMEOUT."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.001)


async def wait_until_listed(node: NodeExecutor, state: str, *names: str) -> None:
    """Wait until the node has applied this listed state to the named engines, or to all if none is named."""
    expected = EngineState(state)
    await wait_until(
        lambda: all(node.engine_records[name].state == expected for name in names or node.engine_records)
    )


async def open_idle_connection(platform: Platform, server: NodeServer) -> tuple[Client, RequestHandler]:
    """Return a client with an idle connection after a response, and the node's handler of the connection."""
    client = await platform.client()
    client.send(post("q0"))
    assert (await client.read_response()).complete
    (handler,) = server.connections.handlers
    await wait_until(lambda: handler.idle_since)  # set some event-loop iterations after the response is sent
    return client, handler
