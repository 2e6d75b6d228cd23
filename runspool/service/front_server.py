"""Starting and stopping a front: its listener, its endpoint list, its stored files and its shutdown."""

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
from anyio.abc import SocketAttribute, TaskGroup, TaskStatus

from runspool.config import FrontConfig
from runspool.discovery.snapshot import CorruptFileError, load_snapshot, save_snapshot
from runspool.discovery.watch_client import WatchClient
from runspool.service.accept_loop import accept_all
from runspool.service.cell_map_watcher import CellMapWatcher
from runspool.service.clock import now, unix_ms
from runspool.service.completions_handler import CompletionsHandler
from runspool.service.front import Front
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import tenths
from runspool.wire.completions import error_body
from runspool.wire.endpoint_list import EndpointEntry

MS_PER_SECOND = 1000
IDLE_SWEEP_INTERVAL = 1.0  # seconds between looks for idle connections to engines
FINAL_WRITE_TIME = 2.0  # seconds that final answers may still take to be written at shutdown
FINAL_POLL_INTERVAL = 0.01  # seconds between looks at whether they are
FULL_WRITE_TIME = 1.0  # seconds to tell a client that the front has no connection left

_FULL_BODY = error_body("dismissed", "connections_full", "this front bears no more connections")
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(_FULL_BODY)
) + _FULL_BODY


class FrontServer:
    """A front with its listener, its watch on the endpoint list and its shutdown.

    `open_connections` counts client connections, `active_requests` those whose answer is not yet written.
    """

    def __init__(
        self, config: FrontConfig, recording_file: Path | None = None, seed: int | None = None
    ) -> None:
        self.config = config
        self.log = structlog.get_logger()
        self.cell_map_watcher = None
        cell_map, adopted_unix_ms = None, 0
        if config.front.cells_file and config.front.memory_file:
            self.cell_map_watcher = CellMapWatcher(
                Path(config.front.cells_file), Path(config.front.memory_file + ".cells")
            )
            cell_map, adopted_unix_ms = self.cell_map_watcher.load_initial(unix_ms())
        self.front = Front(config, recording_file, seed, cell_map, adopted_unix_ms)
        self.open_connections = 0
        self.active_requests = 0
        self.stopping = anyio.Event()
        self.endpoints_unsaved = anyio.Event()
        file = config.front.memory_file
        self.snapshot_file = Path(file) if file else None
        self.port = 0

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until stop(); reports the port it listens on as started. Cancelled, it ends at once.

        Raises OSError where the address cannot be bound.
        """
        try:
            await self._run(task_status)
        finally:
            self.front.engine_client.pool.close()
            for scheduler in self.front.cell_schedulers.values():
                scheduler.recorder.close()
        self.log.info("front_stopped", front=self.config.front.name, counts=dict(self.front.counts))

    def stop(self) -> None:
        """Accepts nothing new; what has been accepted ends in final answers first."""
        self.stopping.set()

    async def _run(self, task_status: TaskStatus[int]) -> None:
        front, settings = self.front, self.config.front
        async with anyio.create_task_group() as tasks:
            front.tasks = tasks
            self._load_endpoints()
            # Serving begins only with the listener bound: an address in use is reported before anything runs.
            listener = await anyio.create_tcp_listener(
                local_host=settings.listen.host, local_port=settings.listen.port
            )
            async with listener:
                self.port = listener.extra(SocketAttribute.local_port)
                self._start_tasks(tasks)
                accepting = anyio.CancelScope()
                for each in listener.listeners:
                    tasks.start_soon(self._accept, each.extra(SocketAttribute.raw_socket), tasks, accepting)
                self.log.info(
                    "front_listening", front=settings.name, host=settings.listen.host, port=self.port
                )
                task_status.started(self.port)
                await self.stopping.wait()
                front.closing = True
                accepting.cancel()
            await self._drain()
            tasks.cancel_scope.cancel()

    def _start_tasks(self, tasks: TaskGroup) -> None:
        """Starts everything that runs beside the listener, until the task group is cancelled."""
        front, settings = self.front, self.config.front
        tasks.start_soon(front.timers.run)
        tasks.start_soon(self._close_idle_connections)
        tasks.start_soon(front.engine_client.watchdog.run)
        tasks.start_soon(self._save_endpoints)
        if self.cell_map_watcher is not None:
            tasks.start_soon(self.cell_map_watcher.follow, front)
        watch_client = WatchClient(
            settings.list,
            settings.name,
            front.endpoint_tracker,
            now,
            self._endpoints_changed,
            front.subscription_lost,
            settings.engines.source_address,
        )
        tasks.start_soon(watch_client.follow)

    async def _drain(self) -> None:
        """Waits for accepted requests, fails those over the drain time, and lets final answers be written."""
        front, settings = self.front, self.config.front
        self.log.info("front_stopping", front=settings.name, queries=len(front.requests))
        front.shutdown_deadline = now() + tenths(settings.bounds.drain_ms)
        with anyio.move_on_after(settings.bounds.drain_ms / MS_PER_SECOND):
            while front.requests:
                await front.idle.wait()
        front.last_resort.end_open_requests(process_ends=True)
        with anyio.move_on_after(FINAL_WRITE_TIME):
            # States are released too: a call cut off here leaves its state to the engine's own time-out.
            while True:
                if not (self.active_requests or front.requests or front.releases_in_progress):
                    break
                await anyio.sleep(FINAL_POLL_INTERVAL)

    async def _accept(self, listening: socket.socket, tasks: TaskGroup, scope: anyio.CancelScope) -> None:
        with scope:
            await accept_all(listening, tasks, self._serve_client)

    async def _serve_client(self, connection: TcpConnection) -> None:
        if self.open_connections >= self.config.front.bounds.connections:
            with anyio.move_on_after(FULL_WRITE_TIME), suppress(ConnectionClosedError):
                await connection.send(FULL_RESPONSE)
                connection.send_eof()
            connection.close()
            return
        self.open_connections += 1
        try:
            await CompletionsHandler(self.front, connection, self._count_active).run()
        except Exception as error:  # one client's fault must not end the others' connections
            self.log.exception("client_failed", fault=repr(error))
        finally:
            self.open_connections -= 1
            connection.close()

    def _count_active(self, change: int) -> None:
        self.active_requests += change

    def _endpoints_changed(self, changed: list[EndpointEntry]) -> None:
        self.front.endpoints_changed(changed)
        self.endpoints_unsaved.set()

    def _load_endpoints(self) -> None:
        """Uses the last run's endpoint list until the service answers; a damaged one counts as none."""
        if self.snapshot_file is None:
            return
        try:
            last = load_snapshot(self.snapshot_file)
        except CorruptFileError as error:
            self._log_error("endpoint_snapshot_damaged", error)
            return
        if last is not None:
            self.log.info("endpoint_snapshot_loaded", version=last.version, engines=len(last.engines))
            self.front.endpoints_changed(self.front.endpoint_tracker.restore(last.engines))

    async def _save_endpoints(self) -> None:
        """Writes the list after each change, the newest only where changes come faster than the disk."""
        while True:
            await self.endpoints_unsaved.wait()
            self.endpoints_unsaved = anyio.Event()
            if self.snapshot_file is None:
                continue
            tracker = self.front.endpoint_tracker
            try:
                await anyio.to_thread.run_sync(
                    save_snapshot, self.snapshot_file, tracker.version, tracker.active_entries()
                )
            except OSError as error:
                self._log_error("endpoint_snapshot_not_written", error)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_SWEEP_INTERVAL)
            self.front.engine_client.pool.close_idle()

    def _log_error(self, event: str, error: Exception) -> None:
        """Logs an expected fault by its reason, without a traceback."""
        self.log.error(event, reason=str(error))


async def run_front(
    config: FrontConfig,
    recording_file: Path | None = None,
    seed: int | None = None,
    on_created: Callable[[FrontServer], None] | None = None,
) -> None:
    """Runs a front in this process until SIGTERM or SIGINT; a second one ends it without waiting.

    `on_created` is called with the server before it runs.
    """
    _raise_descriptor_limit(config)
    server = FrontServer(config, recording_file, seed)
    # What is there at the start stays: looking through it again stopped a front for 60 ms at a time.
    gc.collect()
    gc.freeze()
    if on_created is not None:
        on_created(server)
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    if server.stopping.is_set():
                        tasks.cancel_scope.cancel()
                    server.stop()

            tasks.start_soon(stop_on_signal)
            await server.run()
            tasks.cancel_scope.cancel()


def _raise_descriptor_limit(config: FrontConfig) -> None:
    """Raises the process's limit of open files to the hard one, with a warning where that is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    wanted = config.front.bounds.connections + config.front.bounds.queries
    if hard != resource.RLIM_INFINITY and hard < wanted:
        structlog.get_logger().warning("few_descriptors", allowed=hard, wanted=wanted, before=soft)
