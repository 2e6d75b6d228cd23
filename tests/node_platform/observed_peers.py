"""What a test observes of a node's peers, and the care for their connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from tests.node_platform.http_messages import WAIT, ReceivedRequest


class ObservedPeers:
    """Requests that engines have received, tasks that serve connections, and a condition to wait on."""

    def __init__(self) -> None:
        self.received: list[ReceivedRequest] = []  # by engines
        self.change = asyncio.Condition()
        self.tasks: set[asyncio.Task[Any]] = set()

    @asynccontextmanager
    async def serving(self, writer: asyncio.StreamWriter) -> AsyncIterator[None]:
        """Serve one connection; whatever ends it, nothing of it stays open."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                yield
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def record(self, request: ReceivedRequest) -> None:
        """Record a request that an engine has received."""
        self.received.append(request)
        self.changed()

    def changed(self) -> None:
        """Have the conditions that tests wait for looked at again."""

        async def notify() -> None:
            async with self.change:
                self.change.notify_all()

        self.notification = asyncio.ensure_future(notify())

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until something observed here makes the condition true."""
        async with self.change:
            await asyncio.wait_for(self.change.wait_for(condition), WAIT)
