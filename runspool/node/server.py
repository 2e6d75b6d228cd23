"""Runs a node: its start, its listener and standing tasks, configuration reloads, signals and its end."""

from __future__ import annotations

import errno
import gc
import resource
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from random import Random

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.streams.stapled import MultiListener

from runspool.node.client_connections import ClientConnections
from runspool.node.config import (
    InvalidNodeConfigError,
    NodeConfig,
    UnreadableNodeConfigError,
    read_node_config,
)
from runspool.node.discovery_call_planner import MAX_CALLS_OUT, DiscoveryCallPlanner
from runspool.node.discovery_client import DiscoveryClient
from runspool.node.executor import ConnectionSettings, NodeExecutor
from runspool.node.graceful_shutdown import GracefulShutdown
from runspool.node.stop_request import StopRequest
from runspool.service.accept_loop import accept_all
from runspool.service.clock import now

IDLE_CLOSE_INTERVAL_SECONDS = 0.5  # between two searches for engine connections that are idle for too long
RESTART_DELAY_SECONDS = 0.02  # before a standing task that failed is restarted; doubled each time
MAX_RESTART_DELAY_SECONDS = 1.0
STABLE_AFTER_SECONDS = 5.0  # a standing task that ran for so long is restarted with the first delay again
PORT_WAIT_SECONDS = 20.0  # that a start waits for a port in use
PORT_RETRY_SECONDS = 0.05
RESERVED_DESCRIPTORS = 28  # for the list, the listener, the event loop and what the interpreter opens
# Of the descriptors not reserved. Requests use a third of all at most, and silent clients can be dropped.
CLIENT_SHARE = 0.45
MAX_LIST_BYTES = 16 << 20
CLOSING_DISCOVERY_CONNECTIONS = 2  # beside those of the calls that are out
CONFIG_RETRY_DURATION = 30_000  # tenths of a millisecond that an unusable configuration is read again for
CONFIG_RETRY_SECONDS = 0.25  # between two readings
FIRST_LIST_WAIT_SECONDS = 1.5  # that a start waits for a first whole list, as the agent may be silent
LISTEN_BACKLOG = 1024
DISCOVERY_CONNECTIONS = ConnectionSettings(
    connect_ms=1_000,
    idle_ms=60_000,
    connections_each=MAX_CALLS_OUT + CLOSING_DISCOVERY_CONNECTIONS,
    idle_each=1,
    read_answer_bytes=MAX_LIST_BYTES,
)


class NodeServer:
    """A node with its listener, the client that follows the endpoint list, and its shutdown."""

    def __init__(
        self,
        config: NodeConfig,
        read_config: Callable[[], NodeConfig],
        max_descriptors: int,
        stop_request: StopRequest | None = None,
    ) -> None:
        """`read_config` reads the configuration anew for a reload, and raises InvalidNodeConfigError.

        `max_descriptors` is how many file descriptors this process may hold. `stop_request` may have come
        before the server.
        """
        self.config = config
        self.read_config = read_config
        self.log = structlog.get_logger()
        available = max_descriptors - RESERVED_DESCRIPTORS
        max_clients = int(available * CLIENT_SHARE)
        self.executor = NodeExecutor(config, available - max_clients)
        self.connections = ClientConnections(self.executor, max_clients)
        self.discovery = DiscoveryClient(
            DISCOVERY_CONNECTIONS,
            DiscoveryCallPlanner(config.discovery, Random(config.seed).random),
            self.executor.endpoint_tracker,
            now,
            self.executor.endpoints_changed,
            self.executor.scheduler.subscription_lost,
            self.executor.counts,
        )
        self.config_reloads = 0  # reloads begun; a reload gives up once another has begun
        self.stop_request = stop_request or StopRequest()
        self._reload_requested = False
        self.port = 0

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is asked to stop, then shuts down gracefully; before it listens it ends at once.

        Reports the port it listens on through `task_status` once it accepts connections. Raises
        InvalidNodeConfigError where it cannot listen. Cancelled, it ends at once, without the shutdown; in
        every case the connections to engines and to the discovery service are closed.
        """
        executor = self.executor
        executor.endpoints_changed(executor.endpoint_tracker.restore(self.config.last_endpoints.engines))
        listener = await self._listen()
        if listener is None:
            self.log.info("node_stopped_before_start", waited_for="port")
            return
        try:
            async with listener, anyio.create_task_group() as tasks:
                executor.tasks = tasks
                self.port = listener.extra(SocketAttribute.local_port)
                self._start_standing_tasks(tasks)
                if self._reload_requested:
                    tasks.start_soon(self.reload_config)
                # The list in the configuration may be from long ago. Requests accepted before a new one is
                # here could be sent to engines that the discovery service has announced as leaving.
                await self._wait_for_first_list()
                # Asked to stop before it could serve, the node refuses what its listener has taken.
                accepts_requests = not self.stop_request.is_requested
                for each in listener.listeners:
                    raw_socket = each.extra(SocketAttribute.raw_socket)
                    tasks.start_soon(accept_all, raw_socket, tasks, self.connections.serve)
                self._log_listening()
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
        """Begins the graceful shutdown; run() returns at its end."""
        self.stop_request.request()

    def request_reload(self) -> None:
        """Has the configuration read again, at the latest once the node listens."""
        if self.executor.tasks is not None:
            self.executor.tasks.start_soon(self.reload_config)
        self._reload_requested = True

    async def _wait_for_first_list(self) -> None:
        """Waits for a whole list, but not for ever and not past a request to stop."""
        with anyio.move_on_after(FIRST_LIST_WAIT_SECONDS):
            async with anyio.create_task_group() as waits:

                async def end_at_stop() -> None:
                    await self.stop_request.wait()
                    waits.cancel_scope.cancel()

                waits.start_soon(end_at_stop)
                await self.discovery.snapshot_received.wait()
                waits.cancel_scope.cancel()

    async def reload_config(self) -> None:
        """Reads the configuration again and takes over the discovery service's address.

        The other settings need a restart. One that is not usable changes nothing, and is read again for
        CONFIG_RETRY_DURATION, as it may be half written.
        """
        self.config_reloads += 1
        this_reload = self.config_reloads
        deadline = now() + CONFIG_RETRY_DURATION
        while (config := self._try_read_config()) is None:
            await anyio.sleep(CONFIG_RETRY_SECONDS)
            if this_reload != self.config_reloads or now() > deadline:
                return
        if config.settings.routing != self.config.settings.routing or config.listen != self.config.listen:
            self.log.warning("config_needs_restart", what="settings or listen changed; the old ones hold")
        host, port = config.discovery
        self.log.info("config_loaded", discovery=f"{host}:{port}")
        self.discovery.change_address(config.discovery)

    def _try_read_config(self) -> NodeConfig | None:
        try:
            return self.read_config()
        except InvalidNodeConfigError as fault:
            problem = str(fault)
        self.log.error("config_unusable", fault=problem)
        return None

    def _start_standing_tasks(self, tasks: TaskGroup) -> None:
        for work in (
            self.executor.timers.run,
            self.executor.engine_client.watchdog.run,
            self.executor.state_releaser.run,
            self._close_idle_engine_connections,
            self.discovery.follow,
        ):
            tasks.start_soon(self._keep_running, work)

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Restarts a standing task that fails, so that a fault in it or in a callback does not end the node.

        The growing delay keeps a task that always fails from taking the node's time and filling the log.
        """
        delay = RESTART_DELAY_SECONDS
        while True:
            started = anyio.current_time()
            try:
                return await work()
            except Exception as fault:
                if anyio.current_time() - started > STABLE_AFTER_SECONDS:
                    delay = RESTART_DELAY_SECONDS
                self.log.exception("task_failed", work=work.__qualname__, fault=repr(fault))
                await anyio.sleep(delay)
                delay = min(2 * delay, MAX_RESTART_DELAY_SECONDS)

    async def _listen(self) -> MultiListener[SocketStream] | None:
        """Opens the listener, and waits for a port that is in use; None where the node is to stop before.

        The process before this one may still hold it, or an outgoing connection may have it as its local
        port; both end. Raises InvalidNodeConfigError where that takes longer than PORT_WAIT_SECONDS, or the
        address cannot be listened on for another reason.
        """
        host, port = self.config.listen
        deadline = anyio.current_time() + PORT_WAIT_SECONDS
        has_logged = False
        while not self.stop_request.is_requested:
            try:
                return await anyio.create_tcp_listener(
                    local_host=host, local_port=port, backlog=LISTEN_BACKLOG
                )
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE or anyio.current_time() > deadline:
                    raise InvalidNodeConfigError("listen", f"{host}:{port}: {fault}") from None
                if not has_logged:
                    self.log.warning("port_held", listen=f"{host}:{port}")
                has_logged = True
            await self.stop_request.wait(PORT_RETRY_SECONDS)
        return None

    async def _close_idle_engine_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CLOSE_INTERVAL_SECONDS)
            self.executor.engine_client.pool.close_idle()

    def _log_listening(self) -> None:
        self.log.info(
            "node_listening",
            node=self.config.name,
            port=self.port,
            clients=self.connections.max_clients,
            engines=self.executor.engine_client.pool.max_connections,
            known=len(self.config.last_endpoints.engines),
        )


def raise_descriptor_limit(wanted: int) -> int:
    """Sets this process's limit on file descriptors to `wanted`, or to the hard limit where that is lower.

    Returns the limit set.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = wanted if hard_limit == resource.RLIM_INFINITY else min(wanted, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard_limit))
    return limit


async def read_first_config(environ: Mapping[str, str], stop_request: StopRequest) -> NodeConfig | None:
    """Reads the configuration at a start; None where the node is to stop before.

    A file that is missing or half written is read again for CONFIG_RETRY_DURATION. Raises
    InvalidNodeConfigError.
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
    """A node in this process: its signals are followed from before its configuration is read."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ
        self.stop_request = StopRequest()
        self.server: NodeServer | None = None

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT. Raises InvalidNodeConfigError."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            unusable: InvalidNodeConfigError | None = None  # raised here, as a task group would wrap it
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow_signals, signals)
                try:
                    await self._serve()
                except InvalidNodeConfigError as error:
                    unusable = error
                tasks.cancel_scope.cancel()
            if unusable is not None:
                raise unusable

    async def _follow_signals(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                self.stop_request.request()
            elif self.server is not None:  # before, the configuration is still to be read
                self.server.request_reload()

    async def _serve(self) -> None:
        config = await read_first_config(self.environ, self.stop_request)
        if config is None:
            structlog.get_logger().info("node_stopped_before_start", waited_for="configuration")
            return
        max_descriptors = raise_descriptor_limit(config.max_descriptors)
        self.server = NodeServer(
            config, lambda: read_node_config(self.environ), max_descriptors, self.stop_request
        )
        # Exclude the objects that exist now, which stay, from garbage collection: each full collection would
        # stop the node for tens of milliseconds to look through them.
        gc.collect()
        gc.freeze()
        await self.server.run()


async def run_node(environ: Mapping[str, str]) -> None:
    """Runs a node in this process until SIGTERM or SIGINT. Raises InvalidNodeConfigError."""
    await NodeProcess(environ).run()
