"""Requests that a node's peers receive, and the cleanup of their connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from tests.node_platform.http_messages import WAIT_TIMEOUT, ReceivedRequest


class ObservedPeers:
    """The requests that engines have received, and the tasks that serve connections."""

    def __init__(self) -> None:
        self.received: list[ReceivedRequest] = []  # by all engines, in order of arrival
        self.change = asyncio.Condition()
        self.tasks: set[asyncio.Task[Any]] = set()

    @asynccontextmanager
    async def serving(self, writer: asyncio.StreamWriter) -> AsyncIterator[None]:
        """Register the task that serves a connection; close the connection however serving ends."""
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
        self.notify_change()

    def notify_change(self) -> None:
        """Wake the tests that wait, so that they check their conditions again."""

        async def notify() -> None:
            async with self.change:
                self.change.notify_all()

        self.notification = asyncio.ensure_future(notify())

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition is true; it is checked after each change."""
        async with self.change:
            await asyncio.wait_for(self.change.wait_for(condition), WAIT_TIMEOUT)
