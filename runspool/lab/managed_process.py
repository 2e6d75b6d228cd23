"""A child process of a scenario: its start, its check for readiness, its kill and its restart."""

from __future__ import annotations

import subprocess
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

import anyio
import anyio.abc

from runspool.lab.errors import ScenarioFailedError
from runspool.lab.port_allocation import HOST

START_TIMEOUT = 30.0  # seconds
CONNECT_INTERVAL = 0.05  # seconds between two attempts to connect to a process that starts


@dataclass(slots=True)
class ManagedProcess:
    """A child process that may be started several times.

    Attributes:
        name: for messages and the recording.
        command: what is run, without the options that differ from start to start.
        child: the running or last child; None before the first start.
        starts: how often it was started.
        is_restarting: it was killed and its next start is under way; no other fault may start it too.
    """

    name: str
    command: list[str]
    child: anyio.abc.Process | None = None
    starts: int = 0
    is_restarting: bool = False

    @property
    def running_child(self) -> anyio.abc.Process | None:
        """The child while it runs."""
        if self.child is None or self.child.returncode is not None:
            return None
        return self.child

    @property
    def has_exited(self) -> bool:
        """Whether it was started and no longer runs."""
        return self.child is not None and self.child.returncode is not None

    async def open(self, options: list[str], log_path: Path, takes_input: bool) -> None:
        """Start it, appending what it prints to a log.

        Args:
            options: added to the command.
            log_path: the log.
            takes_input: whether standard input is a pipe to it, rather than this process's own.
        """
        stdin = subprocess.PIPE if takes_input else None
        with _open_log(log_path) as log:
            self.child = await anyio.open_process(
                [*self.command, *options], stdin=stdin, stdout=log, stderr=log
            )

    async def wait_until_listening(self, port: int) -> None:
        """Wait until the port accepts connections.

        Raises:
            ScenarioFailedError: the process ended before, or does not listen in time.
        """
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self.child is not None and self.child.returncode is not None:
                raise ScenarioFailedError(
                    f"{self.name} ended with {self.child.returncode} before it listened"
                )
            try:
                async with await anyio.connect_tcp(HOST, port):
                    return
            except OSError:
                await anyio.sleep(CONNECT_INTERVAL)
        raise ScenarioFailedError(f"{self.name} does not listen on {port}")

    async def kill(self) -> None:
        """Kill the child if it runs, and wait for its end."""
        child = self.running_child
        if child is not None:
            with suppress(ProcessLookupError):
                child.kill()
            await child.wait()

    async def close(self) -> None:
        """Kill the child if it runs, and close its pipes."""
        if self.child is not None:
            await self.kill()
            await self.child.wait()
            await self.child.aclose()


def _open_log(path: Path) -> BinaryIO:
    return path.open("ab")
