"""Start, kill and restart a child process, and wait until it listens."""

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

START_TIMEOUT = 30.0  # seconds within which a process must listen
CONNECT_INTERVAL = 0.05  # seconds between attempts to connect to a process that is starting


@dataclass(slots=True)
class ManagedProcess:
    """A child process that may be started several times.

    Attributes:
        name: the name for error messages and the recording.
        command: the command and the arguments that are the same for every start.
        child: the process of the last start, which may have ended; None before the first start.
        start_count: how often the process has been started.
        is_restarting: whether it was killed and will be started again; another fault must not start it too.
    """

    name: str
    command: list[str]
    child: anyio.abc.Process | None = None
    start_count: int = 0
    is_restarting: bool = False

    @property
    def running_child(self) -> anyio.abc.Process | None:
        """The process if it is running, otherwise None."""
        if self.child is None or self.child.returncode is not None:
            return None
        return self.child

    @property
    def has_exited(self) -> bool:
        """Whether it has been started and is no longer running."""
        return self.child is not None and self.child.returncode is not None

    async def start(self, options: list[str], log_path: Path, takes_input: bool) -> None:
        """Start the process, with standard output and standard error appended to a log.

        Args:
            options: arguments appended to the command.
            log_path: the path of the log.
            takes_input: whether its standard input is a pipe; if not, it inherits that of this process.
        """
        stdin = subprocess.PIPE if takes_input else None
        with _open_log(log_path) as log:
            self.child = await anyio.open_process(
                [*self.command, *options], stdin=stdin, stdout=log, stderr=log
            )

    async def wait_until_listening(self, port: int) -> None:
        """Wait until the port accepts connections.

        Raises:
            ScenarioFailedError: the process has ended, or does not listen within START_TIMEOUT.
        """
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self.child is not None and self.child.returncode is not None:
                raise ScenarioFailedError(
                    f"{self.name} exited with code {self.child.returncode} before it listened on port {port}"
                )
            try:
                async with await anyio.connect_tcp(HOST, port):
                    return
            except OSError:
                await anyio.sleep(CONNECT_INTERVAL)
        raise ScenarioFailedError(f"{self.name} does not listen on port {port} after {START_TIMEOUT:g} s")

    async def kill(self) -> None:
        """Kill the process if it is running, and wait until it has ended."""
        child = self.running_child
        if child is not None:
            with suppress(ProcessLookupError):
                child.kill()
            await child.wait()

    async def close(self) -> None:
        """Kill the process if it is running, and close its pipes."""
        if self.child is not None:
            await self.kill()
            await self.child.wait()
            await self.child.aclose()


def _open_log(path: Path) -> BinaryIO:
    return path.open("ab")
