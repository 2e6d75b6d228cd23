"""Runs an executor's tasks so that an exception in one affects neither the process nor other requests."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from anyio.abc import TaskGroup


class TaskSpawner:
    """Starts tasks in the front's task group.

    Attributes:
        log: Logger for exceptions in tasks.
        tasks: The task group; it must be set before the first task is spawned.
        releases_in_progress: The number of release calls that have not ended; a shutdown waits for them.
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
        """Start a task that releases a state; a shutdown waits for it."""
        self.releases_in_progress += 1

        async def release() -> None:
            try:
                await work(*args)
            finally:
                self.releases_in_progress -= 1

        self.spawn(release)

    def spawn(
        self,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Start a task; its exceptions are logged."""
        assert self.tasks is not None, "tasks can be spawned only while the front runs"
        self.tasks.start_soon(self._run_isolated, work, *args)

    async def _run_isolated(
        self,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run `work` and log any exception, which would otherwise end the process and all its requests."""
        try:
            await work(*args)
        except Exception as error:
            self.log.exception("task_failed", work=work.__qualname__, fault=repr(error))
