"""Runs a node: startup, listener, background tasks, configuration reloads, signal handling and shutdown."""

from __future__ import annotations

import errno
import gc
import resource
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import replace
from random import Random

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.streams.stapled import MultiListener

from runspool.limits.memory_budget import divide_memory, max_list_bytes
from runspool.limits.memory_watch import MemoryWatch
from runspool.limits.process_memory import BYTES_PER_MB, resident_bytes
from runspool.node.client_connections import ClientConnections
from runspool.node.config import (
    InvalidNodeConfigError,
    NodeConfig,
    UnreadableNodeConfigError,
    read_node_config,
)
from runspool.node.discovery_call_planner import MAX_OPEN_CALLS, DiscoveryCallPlanner
from runspool.node.discovery_client import DiscoveryClient
from runspool.node.executor import MAX_INTERNED_NAMES, ConnectionSettings, NodeExecutor
from runspool.node.graceful_shutdown import GracefulShutdown
from runspool.node.stop_request import StopRequest
from runspool.node.submission_queue import HoldEnd
from runspool.service.accept_loop import accept_connections
from runspool.service.clock import now
from runspool.transport.tcp import limit_kernel_buffers

IDLE_CLOSE_INTERVAL_SECONDS = 0.5  # interval between two checks for idle connections to engines
RESTART_DELAY_SECONDS = 0.02  # before a failed background task is restarted; doubled after each failure
MAX_RESTART_DELAY_SECONDS = 1.0  # upper bound of that delay
STABLE_AFTER_SECONDS = 5.0  # a background task that has run for longer is restarted with the initial delay
PORT_WAIT_SECONDS = 20.0  # how long a start waits for a port that is in use
PORT_RETRY_SECONDS = 0.05  # interval between two attempts to listen on a port that is in use
# File descriptors that are not available for clients and engines: they are used for the discovery agent, the
# listener, the event loop and what the interpreter opens.
RESERVED_DESCRIPTORS = 28
# Clients' share of the descriptors that are not reserved; engines get the rest. Requests in progress use at
# most a third of all descriptors, and connections of clients without a request can be closed.
CLIENT_DESCRIPTOR_SHARE = 0.45
# Connections to the discovery agent that may be closing while the maximum number of calls is open.
CLOSING_DISCOVERY_CONNECTIONS = 2
# How long reading an invalid configuration is retried, in tenths of a millisecond.
CONFIG_RETRY_DURATION = 30_000
CONFIG_RETRY_SECONDS = 0.25  # interval between two attempts to read the configuration
# How long a start waits for the first whole endpoint list; the discovery agent may not respond at all.
FIRST_LIST_WAIT_SECONDS = 1.5
# Assumed resident memory of an idle node in a process that does other things too.
USUAL_IDLE_BYTES = 34 * BYTES_PER_MB
LISTEN_BACKLOG = 1024  # maximum number of connections that wait in the kernel until they are accepted
DISCOVERY_CONNECTION_SETTINGS = ConnectionSettings(
    connect_ms=1_000,
    idle_ms=60_000,
    connections_each=MAX_OPEN_CALLS + CLOSING_DISCOVERY_CONNECTIONS,
    idle_each=1,
)


class NodeServer:
    """A node with its listener, its discovery client and its background tasks.

    Attributes:
        config: The configuration with which the node was started.
        read_config: Reads the configuration again.
        executor: Executes the requests.
        connections: Serves the clients' connections.
        discovery: Follows the endpoint list.
        reload_count: The number of configuration reloads started.
        stop_request: The request to stop this node.
        port: The port on which the node listens; 0 before it listens.
        max_client_descriptors: The number of client connections that the descriptors allow.
        memory_budget: How the memory limit of the process is divided.
        memory_watch: Corrects that division by the memory that the process really takes.
    """

    def __init__(
        self,
        config: NodeConfig,
        read_config: Callable[[], NodeConfig],
        max_descriptors: int,
        stop_request: StopRequest | None = None,
    ) -> None:
        """Create a node that does not listen yet.

        Args:
            config: The configuration.
            read_config: Reads the configuration again for a reload; raises InvalidNodeConfigError.
            max_descriptors: The number of file descriptors that this process may hold.
            stop_request: The request to stop, which may already have been made; None creates one.
        """
        self.config = config
        self.read_config = read_config
        self.log = structlog.get_logger()
        available = max_descriptors - RESERVED_DESCRIPTORS
        self.max_client_descriptors = int(available * CLIENT_DESCRIPTOR_SHARE)
        self.executor = NodeExecutor(config, available - self.max_client_descriptors)
        self.connections = ClientConnections(self.executor, self.max_client_descriptors)
        self.divide_memory(USUAL_IDLE_BYTES)
        self.discovery = DiscoveryClient(
            replace(
                DISCOVERY_CONNECTION_SETTINGS,
                read_answer_bytes=max_list_bytes(config.memory_mb, USUAL_IDLE_BYTES),
            ),
            DiscoveryCallPlanner(config.discovery, Random(config.seed).random),
            self.executor.endpoint_tracker,
            now,
            self.executor.endpoints_changed,
            self.executor.scheduler.subscription_lost,
            self.executor.counts,
        )
        self.measures_memory = (
            False  # whether the process does nothing else, so that its memory is the node's
        )
        self.reload_count = 0  # a reload ends when a later one has started
        self.stop_request = stop_request or StopRequest()
        self._reload_requested = False
        self.port = 0

    def divide_memory(self, idle_bytes: int) -> None:
        """Divide the memory limit; `idle_bytes` is the resident memory of the process before it serves."""
        engine_count = len(self.config.last_known_endpoints.engines)
        budget = divide_memory(
            self.config.memory_mb, idle_bytes, self.max_client_descriptors, MAX_INTERNED_NAMES, engine_count
        )
        self.memory_budget = budget
        self.connections.max_clients = budget.max_clients
        self.executor.name_interner.max_names = budget.max_names
        memory = self.executor.connection_resources.memory
        memory.change_budget(budget.charged_bytes)
        self.memory_watch = MemoryWatch(memory, budget)

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until a stop is requested, then shut down gracefully.

        If the stop is requested before the node listens, this method returns without serving. Cancellation
        ends the node at once, without a graceful shutdown. In every case, the connections to the engines and
        to the discovery agent are closed.

        Args:
            task_status: Receives the port once the node is ready: requests are not held any longer.

        Raises:
            InvalidNodeConfigError: The node cannot listen on the configured address.
        """
        executor = self.executor
        executor.endpoints_changed(
            executor.endpoint_tracker.restore(self.config.last_known_endpoints.engines)
        )
        # The endpoint list in the configuration may be outdated. Requests that are scheduled before a current
        # list arrives could be sent to engines that are already being removed.
        executor.submissions.hold()
        listener = await self._listen()
        if listener is None:
            self.log.info("node_stopped_before_start", waited_for="port")
            return
        try:
            async with listener, anyio.create_task_group() as tasks:
                executor.tasks = tasks
                self.port = listener.extra(SocketAttribute.local_port)
                self._start_accepting(listener, tasks)
                self._start_background_tasks(tasks)
                if self._reload_requested:
                    tasks.start_soon(self.reload_config)
                hold_end = await self._wait_for_first_list()
                # If a stop is requested before the node could serve, it rejects all requests.
                accepts_requests = hold_end is not HoldEnd.STOP_REQUESTED
                executor.closing = not accepts_requests
                executor.submissions.end_hold(hold_end)
                task_status.started(self.port)
                await self.stop_request.wait()
                shutdown = GracefulShutdown(
                    self.config, executor, self.connections, self.stop_request.requested_at
                )
                await shutdown.run(accepts_requests)
                shutdown.log_stopped()
                tasks.cancel_scope.cancel()
        finally:
            executor.engine_client.pool.close()
            self.discovery.pool.close()

    def stop(self) -> None:
        """Start the graceful shutdown; run() returns when it is complete."""
        self.stop_request.request()

    def request_reload(self) -> None:
        """Start a reload of the configuration, or schedule it for when the node listens."""
        if self.executor.tasks is not None:
            self.executor.tasks.start_soon(self.reload_config)
        self._reload_requested = True

    def _start_accepting(self, listener: MultiListener[SocketStream], tasks: TaskGroup) -> None:
        for each in listener.listeners:
            raw_socket = each.extra(SocketAttribute.raw_socket)
            limit_kernel_buffers(raw_socket)
            tasks.start_soon(
                accept_connections,
                raw_socket,
                tasks,
                self.connections.serve,
                self.connections.memory,
                self._free_descriptors,
            )
        self._log_listening()

    def _free_descriptors(self) -> None:
        """Close connections that are not needed, because a client's connection could not be accepted."""
        self.connections.rejected.close_all()
        self.executor.engine_client.pool.close_longest_idle()

    async def _wait_for_first_list(self) -> HoldEnd:
        """Wait for a whole list, at most for FIRST_LIST_WAIT_SECONDS and until a stop is requested.

        Returns:
            Why the wait has ended.
        """
        with anyio.move_on_after(FIRST_LIST_WAIT_SECONDS):
            async with anyio.create_task_group() as tasks:

                async def cancel_at_stop() -> None:
                    await self.stop_request.wait()
                    tasks.cancel_scope.cancel()

                tasks.start_soon(cancel_at_stop)
                await self.discovery.snapshot_received.wait()
                tasks.cancel_scope.cancel()
        if self.stop_request.is_requested:
            return HoldEnd.STOP_REQUESTED
        return HoldEnd.LIST_RECEIVED if self.discovery.snapshot_received.is_set() else HoldEnd.LIST_OVERDUE

    async def reload_config(self) -> None:
        """Read the configuration again and apply the address of the discovery agent.

        Changes to other settings require a restart. An invalid configuration has no effect; reading it is
        retried for CONFIG_RETRY_DURATION, because the file may be partially written.
        """
        self.reload_count += 1
        this_reload = self.reload_count
        deadline = now() + CONFIG_RETRY_DURATION
        while (config := self._try_read_config()) is None:
            await anyio.sleep(CONFIG_RETRY_SECONDS)
            if this_reload != self.reload_count or now() > deadline:
                return
        if config.settings.routing != self.config.settings.routing or config.listen != self.config.listen:
            self.log.warning(
                "config_needs_restart", what="settings or listen changed; the old values stay in effect"
            )
        host, port = config.discovery
        self.log.info("config_loaded", discovery=f"{host}:{port}")
        self.discovery.change_address(config.discovery)

    def _try_read_config(self) -> NodeConfig | None:
        try:
            return self.read_config()
        except InvalidNodeConfigError as error:
            problem = str(error)
        self.log.error("config_unusable", fault=problem)
        return None

    def _start_background_tasks(self, tasks: TaskGroup) -> None:
        for work in (
            self.executor.timers.run,
            self.executor.engine_client.watchdog.run,
            self.executor.state_releaser.run,
            self._close_idle_engine_connections,
            *([self.memory_watch.run] if self.measures_memory else []),
            self.discovery.follow,
        ):
            tasks.start_soon(self._run_with_restarts, work)

    async def _run_with_restarts(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task and restart it when it fails, so that the failure does not end the node.

        The growing delay prevents a task that always fails from using up the CPU and filling the log.
        """
        delay = RESTART_DELAY_SECONDS
        while True:
            started_at = anyio.current_time()
            try:
                return await work()
            except Exception as error:
                if anyio.current_time() - started_at > STABLE_AFTER_SECONDS:
                    delay = RESTART_DELAY_SECONDS
                self.log.exception("task_failed", work=work.__qualname__, fault=repr(error))
                await anyio.sleep(delay)
                delay = min(2 * delay, MAX_RESTART_DELAY_SECONDS)

    async def _listen(self) -> MultiListener[SocketStream] | None:
        """Open the listener, and retry while the port is in use.

        The previous process may still use the port, or an outgoing connection may have been assigned it as
        its local port. Both are temporary.

        Returns:
            The listener; None if a stop is requested before it is open.

        Raises:
            InvalidNodeConfigError: The port is still in use after PORT_WAIT_SECONDS, or the address cannot be
                listened on for another reason.
        """
        host, port = self.config.listen
        deadline = anyio.current_time() + PORT_WAIT_SECONDS
        has_logged = False
        while not self.stop_request.is_requested:
            try:
                return await anyio.create_tcp_listener(
                    local_host=host, local_port=port, backlog=LISTEN_BACKLOG
                )
            except OSError as error:
                if error.errno != errno.EADDRINUSE or anyio.current_time() > deadline:
                    raise InvalidNodeConfigError("listen", f"{host}:{port}: {error}") from None
                if not has_logged:
                    self.log.warning("port_held", listen=f"{host}:{port}")
                has_logged = True
            await self.stop_request.wait(PORT_RETRY_SECONDS)
        return None

    async def _close_idle_engine_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CLOSE_INTERVAL_SECONDS)
            self.executor.engine_client.pool.close_expired()

    def _log_listening(self) -> None:
        budget = self.memory_budget
        log = self.log.info if budget.is_sufficient else self.log.warning
        log(
            "memory_divided",
            limit_mb=self.config.memory_mb,
            idle_mb=round(budget.idle_bytes / BYTES_PER_MB, 1),
            held_mb=round(budget.charged_bytes / BYTES_PER_MB, 1),
            clients=budget.max_clients,
            names=budget.max_names,
            is_sufficient=budget.is_sufficient,
        )
        self.log.info(
            "node_listening",
            node=self.config.name,
            port=self.port,
            clients=self.connections.max_clients,
            engines=self.executor.engine_client.pool.max_connections,
            known=len(self.config.last_known_endpoints.engines),
        )


def set_descriptor_limit(wanted: int) -> int:
    """Set this process's limit on open file descriptors.

    Args:
        wanted: The limit to set, if the hard limit allows it.

    Returns:
        The limit set: `wanted`, or the hard limit if that is lower.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = wanted if hard_limit == resource.RLIM_INFINITY else min(wanted, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard_limit))
    return limit


async def read_startup_config(environ: Mapping[str, str], stop_request: StopRequest) -> NodeConfig | None:
    """Read the configuration at startup.

    If the file is missing or partially written, reading it is retried for CONFIG_RETRY_DURATION.

    Returns:
        The configuration; None if a stop is requested before it is read.

    Raises:
        InvalidNodeConfigError: The configuration is invalid.
    """
    deadline = now() + CONFIG_RETRY_DURATION
    while not stop_request.is_requested:
        try:
            return read_node_config(environ)
        except UnreadableNodeConfigError:
            if now() > deadline:
                raise
        await stop_request.wait(CONFIG_RETRY_SECONDS)
    return None


class NodeProcess:
    """A node in a process of its own, whose signals it handles from before the configuration is read.

    Attributes:
        environ: The environment variables.
        stop_request: Set by SIGTERM and SIGINT.
        server: The node; None before the configuration has been read.
    """

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ
        self.stop_request = StopRequest()
        self.server: NodeServer | None = None

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT.

        Raises:
            InvalidNodeConfigError: The configuration is invalid.
        """
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            # Raised after the task group has ended, which would wrap it in an exception group.
            config_error: InvalidNodeConfigError | None = None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._handle_signals, signals)
                try:
                    await self._serve()
                except InvalidNodeConfigError as error:
                    config_error = error
                tasks.cancel_scope.cancel()
            if config_error is not None:
                raise config_error

    async def _handle_signals(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for signal_number in signals:
            if signal_number != signal.SIGHUP:
                self.stop_request.request()
            elif self.server is not None:  # otherwise the configuration is about to be read anyway
                self.server.request_reload()

    async def _serve(self) -> None:
        config = await read_startup_config(self.environ, self.stop_request)
        if config is None:
            structlog.get_logger().info("node_stopped_before_start", waited_for="configuration")
            return
        max_descriptors = set_descriptor_limit(config.max_descriptors)
        self.server = NodeServer(
            config, lambda: read_node_config(self.environ), max_descriptors, self.stop_request
        )
        # Exclude the existing objects, which are permanent, from garbage collection: each full collection
        # would stop the node for tens of milliseconds to examine them.
        gc.collect()
        gc.freeze()
        self.server.divide_memory(resident_bytes() or USUAL_IDLE_BYTES)
        self.server.measures_memory = True
        await self.server.run()


async def run_node(environ: Mapping[str, str]) -> None:
    """Run a node in this process until SIGTERM or SIGINT.

    Raises:
        InvalidNodeConfigError: The configuration is invalid.
    """
    await NodeProcess(environ).run()
