"""Starting and stopping a front."""

from __future__ import annotations

import gc
import resource
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
import anyio.to_thread
import structlog
from anyio.abc import SocketAttribute, TaskStatus

from runspool.config import FrontConfig
from runspool.discovery.snapshot import CorruptFileError, load_snapshot, save_snapshot
from runspool.discovery.watch_client import WatchClient
from runspool.service.accept_loop import accept_all
from runspool.service.cell_map_watcher import CellMapWatcher
from runspool.service.clock import now, unix_ms
from runspool.service.completions_handler import CompletionsHandler
from runspool.service.front import Front
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.completions import error_body
from runspool.wire.endpoint_list import EndpointEntry

SWEEP = 1.0  # seconds between looks for idle connections
LAST_WORDS = 2.0  # seconds that final answers may still take to be written at the stop

_FULL_BODY = error_body("dismissed", "connections_full", "this front bears no more connections")
FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(_FULL_BODY)
) + _FULL_BODY


class FrontServer:
    """A front with its listener, its watch on the list and its stop."""

    def __init__(self, terms: FrontConfig, tape: Path | None = None, seed: int | None = None) -> None:
        self.terms = terms
        self.log = structlog.get_logger()
        self.maps = None
        chart, adopted = None, 0
        if terms.front.cells_file and terms.front.memory_file:
            self.maps = CellMapWatcher(Path(terms.front.cells_file), Path(terms.front.memory_file + ".cells"))
            chart, adopted = self.maps.load_initial(unix_ms())
        self.front = Front(terms, tape, seed, chart, adopted)
        self.open = 0
        self.busy = 0
        self.stopping = anyio.Event()
        self.unkept = anyio.Event()
        file = terms.front.memory_file
        self.memory = Path(file) if file else None
        self.port = 0

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until stop(); reports the port it listens on as started. Cancelled, it ends at once."""
        try:
            await self._run(task_status)
        finally:
            self.front.engine_client.pool.close()
            for quarter in self.front.quarters.values():
                quarter.recorder.close()
        self.log.info("front_stopped", front=self.terms.front.name, counts=dict(self.front.counts))

    async def _run(self, task_status: TaskStatus[int]) -> None:
        front, place = self.front, self.terms.front
        async with anyio.create_task_group() as tasks:
            front.tasks = tasks
            self._recall()
            # Serving begins only with the listener bound: an address in use is said before anything runs.
            listener = await anyio.create_tcp_listener(
                local_host=place.listen.host, local_port=place.listen.port
            )
            async with listener:
                self.port = listener.extra(SocketAttribute.local_port)
                tasks.start_soon(front.timers.run)
                tasks.start_soon(self._sweep)
                tasks.start_soon(front.engine_client.watchdog.run)
                tasks.start_soon(self._keep)
                if self.maps is not None:
                    tasks.start_soon(self.maps.follow, front)
                watch = WatchClient(
                    place.list,
                    place.name,
                    front.endpoint_tracker,
                    now,
                    self._changed,
                    front.list_lost,
                    place.engines.source_address,
                )
                tasks.start_soon(watch.follow)
                serving = anyio.CancelScope()
                for each in listener.listeners:
                    tasks.start_soon(self._serve, each.extra(SocketAttribute.raw_socket), tasks, serving)
                self.log.info("front_listening", front=place.name, host=place.listen.host, port=self.port)
                task_status.started(self.port)
                await self.stopping.wait()
                front.closing = True
                serving.cancel()
            self.log.info("front_stopping", front=place.name, queries=len(front.requests))
            with anyio.move_on_after(place.bounds.drain_ms / 1000):
                while front.requests:
                    await front.idle.wait()
            front.fail_all()
            with anyio.move_on_after(LAST_WORDS):
                # States are let go too: a call cut off here leaves its state to the engine's own time-out.
                while self.busy or front.requests or front.releases_in_progress:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Takes nothing new; what is held ends in final answers first."""
        self.stopping.set()

    async def _serve(
        self, listening: socket.socket, tasks: anyio.abc.TaskGroup, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await accept_all(listening, tasks, self._client)

    async def _client(self, line: TcpConnection) -> None:
        if self.open >= self.terms.front.bounds.connections:
            with anyio.move_on_after(1), suppress(ConnectionClosedError):
                await line.send(FULL)
                line.send_eof()
            line.close()
            return
        self.open += 1
        try:
            await CompletionsHandler(self.front, line, self._working).run()
        except Exception as fault:  # one client's trouble stays its own
            self.log.exception("client_failed", fault=repr(fault))
        finally:
            self.open -= 1
            line.close()

    def _working(self, change: int) -> None:
        self.busy += change

    def _changed(self, changed: list[EndpointEntry]) -> None:
        self.front.endpoints_changed(changed)
        self.unkept.set()

    def _recall(self) -> None:
        """The last life's list, until the service speaks; a damaged one counts as none."""
        if self.memory is None:
            return
        try:
            last = load_snapshot(self.memory)
        except CorruptFileError as fault:
            self.log.error("endpoint_snapshot_damaged", reason=str(fault))
            return
        if last is not None:
            self.log.info("endpoint_snapshot_loaded", version=last.version, engines=len(last.engines))
            self.front.endpoints_changed(self.front.endpoint_tracker.restore(last.engines))

    async def _keep(self) -> None:
        """Writes the list after each change, the newest only where they come faster than the disk."""
        while True:
            await self.unkept.wait()
            self.unkept = anyio.Event()
            if self.memory is None:
                continue
            following = self.front.endpoint_tracker
            try:
                await anyio.to_thread.run_sync(
                    save_snapshot, self.memory, following.version, following.active_entries()
                )
            except OSError as fault:
                self.log.error("endpoint_snapshot_not_written", reason=str(fault))

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            self.front.engine_client.pool.close_idle()


async def run_front(
    terms: FrontConfig,
    tape: Path | None = None,
    seed: int | None = None,
    heard: Callable[[FrontServer], None] | None = None,
) -> None:
    """Runs a front in this process until SIGTERM or SIGINT; a second one ends it without waiting."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    wanted = terms.front.bounds.connections + terms.front.bounds.queries
    if hard != resource.RLIM_INFINITY and hard < wanted:
        structlog.get_logger().warning("few_descriptors", allowed=hard, wanted=wanted, before=soft)
    running = FrontServer(terms, tape, seed)
    # What is there at the start stays: looking through it again stopped a front for 60 ms at a time.
    gc.collect()
    gc.freeze()
    if heard is not None:
        heard(running)
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

            async def listen() -> None:
                async for _ in signals:
                    if running.stopping.is_set():
                        tasks.cancel_scope.cancel()
                    running.stop()

            tasks.start_soon(listen)
            await running.run()
            tasks.cancel_scope.cancel()
