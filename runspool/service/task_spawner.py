"""The tasks of an executor, kept apart: a fault in one ends neither the front nor another request."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from anyio.abc import TaskGroup


class TaskSpawner:
    """Starts tasks in the front's task group.

    Attributes:
        log: Where a task's fault is logged.
        tasks: The task group; whoever runs the front sets it before anything is spawned.
        releases_in_progress: The calls that release a state and have not ended; a shutdown waits for them.
    """

    def __init__(self) -> None:
        self.log = structlog.get_logger()
        self.tasks: TaskGroup | None = None
        self.releases_in_progress = 0

    def spawn_release(
        self,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Begins a call that releases a state; a shutdown waits for it."""
        self.releases_in_progress += 1

        async def release() -> None:
            try:
                await work(*args)
            finally:
                self.releases_in_progress -= 1

        self._spawn(release)

    def _spawn(
        self,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        assert self.tasks is not None, "a front acts only while it runs"
        self.tasks.start_soon(self._run_isolated, work, *args)

    async def _run_isolated(
        self,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Keeps a fault at one request from ending the front, and with it all other requests."""
        try:
            await work(*args)
        except Exception as fault:
            self.log.exception("task_failed", work=work.__qualname__, fault=repr(fault))
