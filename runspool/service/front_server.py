"""Startup and shutdown of a front: its listener, endpoint list watch, snapshot files and signal handling."""

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
from runspool.service.accept_loop import accept_connections
from runspool.service.cell_map_watcher import CellMapWatcher
from runspool.service.clock import now, unix_ms
from runspool.service.completions_handler import CompletionsHandler
from runspool.service.front import Front
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.units import ms_to_tenths
from runspool.wire.completions import error_body
from runspool.wire.endpoint_list import EndpointEntry

MS_PER_SECOND = 1000
IDLE_SWEEP_INTERVAL = 1.0  # seconds between sweeps that close idle connections to engines
FINAL_WRITE_TIMEOUT = 2.0  # seconds for writing final responses and releasing states at the end of a shutdown
FINAL_POLL_INTERVAL = 0.01  # seconds between checks whether the final responses have been written
CONNECTION_LIMIT_WRITE_TIMEOUT = 1.0  # seconds for writing CONNECTION_LIMIT_RESPONSE

_CONNECTION_LIMIT_BODY = error_body("dismissed", "connections_full", "this front bears no more connections")
CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(_CONNECTION_LIMIT_BODY)
) + _CONNECTION_LIMIT_BODY


class FrontServer:
    """A front with its listener, its endpoint list watch and its graceful shutdown.

    `open_connections` is the number of client connections, `active_requests` the number of requests whose
    response has not been written completely. `endpoints_unsaved` is set when the endpoint list has changed
    since it was last saved.
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
        """Serve requests until stop() is called, then shut down gracefully.

        `task_status` receives the listening port once the front accepts connections. If cancelled, the front
        ends at once. Raise OSError if the address cannot be bound.
        """
        try:
            await self._run(task_status)
        finally:
            self.front.engine_client.pool.close()
            for scheduler in self.front.cell_schedulers.values():
                scheduler.recorder.close()
        self.log.info("front_stopped", front=self.config.front.name, counts=dict(self.front.counts))

    def stop(self) -> None:
        """Start a graceful shutdown: accept nothing new, and let accepted requests end first."""
        self.stopping.set()

    async def _run(self, task_status: TaskStatus[int]) -> None:
        front, settings = self.front, self.config.front
        async with anyio.create_task_group() as tasks:
            front.tasks = tasks
            self._load_endpoints()
            # The listener is bound before any task starts, so that an address in use is reported first.
            listener = await anyio.create_tcp_listener(
                local_host=settings.listen.host, local_port=settings.listen.port
            )
            async with listener:
                self.port = listener.extra(SocketAttribute.local_port)
                self._start_tasks(tasks)
                accepting = anyio.CancelScope()
                for bound in listener.listeners:
                    tasks.start_soon(self._accept, bound.extra(SocketAttribute.raw_socket), tasks, accepting)
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
        """Start the background tasks, which run until the task group is cancelled."""
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
        """Wait for accepted requests, fail those that exceed the drain time, and wait for the last writes."""
        front, settings = self.front, self.config.front
        self.log.info("front_stopping", front=settings.name, queries=len(front.requests))
        front.shutdown_deadline = now() + ms_to_tenths(settings.bounds.drain_ms)
        with anyio.move_on_after(settings.bounds.drain_ms / MS_PER_SECOND):
            while front.requests:
                await front.idle.wait()
        front.request_terminator.end_open_requests(process_ends=True)
        with anyio.move_on_after(FINAL_WRITE_TIMEOUT):
            # Release calls are awaited too. A state whose call is cut off stays reserved until the engine's
            # own timeout.
            while True:
                if not (self.active_requests or front.requests or front.releases_in_progress):
                    break
                await anyio.sleep(FINAL_POLL_INTERVAL)

    async def _accept(self, listener: socket.socket, tasks: TaskGroup, scope: anyio.CancelScope) -> None:
        with scope:
            await accept_connections(
                listener, tasks, self._serve_client, self.front.connection_resources.memory
            )

    async def _serve_client(self, connection: TcpConnection) -> None:
        if self.open_connections >= self.config.front.bounds.connections:
            with anyio.move_on_after(CONNECTION_LIMIT_WRITE_TIMEOUT), suppress(ConnectionClosedError):
                await connection.send(CONNECTION_LIMIT_RESPONSE)
                connection.send_eof()
            connection.close()
            return
        self.open_connections += 1
        try:
            await CompletionsHandler(self.front, connection, self._count_active).run()
        except Exception as error:  # an error on one connection must not close the others
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
        """Load the endpoint list of the previous run, which is used until discovery responds.

        A damaged snapshot is logged and ignored.
        """
        if self.snapshot_file is None:
            return
        try:
            snapshot = load_snapshot(self.snapshot_file)
        except CorruptFileError as error:
            self._log_error("endpoint_snapshot_damaged", error)
            return
        if snapshot is not None:
            self.log.info("endpoint_snapshot_loaded", version=snapshot.version, engines=len(snapshot.engines))
            self.front.endpoints_changed(self.front.endpoint_tracker.restore(snapshot.engines))

    async def _save_endpoints(self) -> None:
        """Save the endpoint list after each change; changes during a write are saved together afterwards."""
        while True:
            await self.endpoints_unsaved.wait()
            self.endpoints_unsaved = anyio.Event()
            if self.snapshot_file is None:
                continue
            tracker = self.front.endpoint_tracker
            try:
                await anyio.to_thread.run_sync(
                    save_snapshot, self.snapshot_file, tracker.version, tracker.listed_entries()
                )
            except OSError as error:
                self._log_error("endpoint_snapshot_not_written", error)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_SWEEP_INTERVAL)
            self.front.engine_client.pool.close_expired()

    def _log_error(self, event: str, error: Exception) -> None:
        """Log an expected error without a traceback."""
        self.log.error(event, reason=str(error))


async def run_front(
    config: FrontConfig,
    recording_file: Path | None = None,
    seed: int | None = None,
    on_created: Callable[[FrontServer], None] | None = None,
) -> None:
    """Run a front in this process until SIGTERM or SIGINT; a second signal ends it without draining.

    `on_created` is called with the server before it runs.
    """
    _raise_descriptor_limit(config)
    server = FrontServer(config, recording_file, seed)
    # Objects that exist at startup stay alive. They are excluded from garbage collection because scanning
    # them paused a front for 60 ms at a time.
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
    """Raise the process's limit on open files to the hard limit, and log a warning if that is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    required = config.front.bounds.connections + config.front.bounds.queries
    if hard != resource.RLIM_INFINITY and hard < required:
        structlog.get_logger().warning("few_descriptors", allowed=hard, wanted=required, before=soft)
