"""A node's life: start, readiness, signals, its shares of descriptors, its stop."""

from __future__ import annotations

import errno
import gc
import resource
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import suppress

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream, TaskStatus
from anyio.streams.stapled import MultiListener

from runspool.node.config import (
    InvalidNodeConfigError,
    NodeConfig,
    UnreadableNodeConfigError,
    read_node_config,
)
from runspool.node.discovery_client import DiscoveryClient
from runspool.node.executor import ConnectionSettings, NodeExecutor
from runspool.node.request_handler import RequestHandler
from runspool.service.accept_loop import accept_all
from runspool.service.clock import now
from runspool.transport.tcp import ConnectionClosedError, TcpConnection
from runspool.wire.http_requests import head

SWEEP = 0.5  # seconds between looks for idle connections
AGAIN, LONGEST_AGAIN = 0.02, 1.0  # seconds before a standing task that failed begins again, doubled each time
STOOD = 5.0  # seconds after which a standing task counts as sound again
HELD_PORT, HELD_PORT_REST = 20.0, 0.05  # seconds that a start waits for its port, and between two looks
RESERVE = 28  # descriptors for the list, the listener, the loop and what the interpreter opens
CLIENTS_PART = 0.45  # of the rest; requests take a third of all at most, silent clients may be dropped
LONGEST_COUNTED = 30_000  # tenths of a millisecond: a hard limit beyond it puts off the kill no further
KILL_AFTER = 7_000  # beyond the longest hard limit: no sooner does a kill follow SIGTERM
KILL_MARGIN = 5_000  # before that, by when nothing may be held any more
LAST_TAKEN = 8_000  # and before that again, so that what is taken last can still be answered
STILL_COME = 5_000  # after SIGTERM, for so long at least: new connections come for up to 400 ms
FIRST_GIVEN = 2_500  # that a new connection has for its first request before a stop closes it
LIST_BYTES = 16 << 20
LOOK_AGAIN, LOOK_REST = 30_000, 0.25  # how long, and each how many seconds, a bad posting is looked at again
FIRST_LIST = 1.5  # seconds that a start waits for a first whole list, against an agent that is silent
TURNED, TURNED_TIME = 8, 0.5  # connections turned away that are listened to at once, and seconds for each
LONGEST_STOP = 60.0  # seconds that running streams may take to their end

FULL = head(503, [("Connection", "close"), ("Content-Length", "0")])


class NodeServer:
    """A node with its listener, its watch on the list and its stop."""

    def __init__(self, posting: NodeConfig, again: Callable[[], NodeConfig], may_hold: int) -> None:
        """`again` reads the posting anew, as at SIGHUP; `may_hold` is this process's share of descriptors."""
        self.config, self.read_config = posting, again
        self.log = structlog.get_logger()
        room = may_hold - RESERVE
        self.max_clients = int(room * CLIENTS_PART)
        self.executor = NodeExecutor(posting, room - self.max_clients)
        speech = ConnectionSettings(
            connect_ms=1_000, idle_ms=60_000, connections_each=6, idle_each=1, read_answer_bytes=LIST_BYTES
        )
        self.discovery = DiscoveryClient(
            speech,
            posting.discovery,
            self.executor.endpoint_tracker,
            now,
            self.executor.endpoints_changed,
            self.executor.scheduler.subscription_lost,
        )
        self.clients: set[RequestHandler] = set()
        self.busy_handlers = 0
        self.rejected_connections = 0
        self.config_reloads = 0  # times that the configuration was to be read again
        self.stopping = anyio.Event()
        self.port = 0

    async def run(
        self,
        signals: AsyncIterator[signal.Signals] | None = None,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until stop(), or a signal to; reports the port it listens on as started. Raises BadPosting
        where it cannot listen. Cancelled, it ends at once."""
        node, posting = self.executor, self.config
        node.endpoints_changed(node.endpoint_tracker.restore(posting.last_endpoints.engines))
        listener = await self._listen()
        try:
            async with listener, anyio.create_task_group() as tasks:
                node.tasks = tasks
                self.port = listener.extra(SocketAttribute.local_port)
                for work in (
                    node.timers.run,
                    node.engine_client.watchdog.run,
                    node.state_releaser.run,
                    self._sweep,
                    self.discovery.follow,
                ):
                    tasks.start_soon(self._standing, work)
                if signals is not None:
                    tasks.start_soon(self._obey, signals)
                # Against sending on what was known in an earlier life: what the agent has counts as told.
                with anyio.move_on_after(FIRST_LIST):
                    await self.discovery.snapshot_received.wait()
                for each in listener.listeners:
                    tasks.start_soon(accept_all, each.extra(SocketAttribute.raw_socket), tasks, self._client)
                self.log.info(
                    "node_listening",
                    node=posting.name,
                    port=self.port,
                    clients=self.max_clients,
                    engines=node.engine_client.pool.max_connections,
                    known=len(posting.last_endpoints.engines),
                )
                task_status.started(self.port)
                await self.stopping.wait()
                await self._stop()
                tasks.cancel_scope.cancel()
        finally:
            node.engine_client.pool.close()
            self.discovery.pool.close()
        self.log.info("node_stopped", node=posting.name, counts=dict(node.counts))

    async def _standing(self, work: Callable[[], Awaitable[None]]) -> None:
        """Against one fault in work that never ends, or in what it rings for, ending the node. One that stays
        neither takes the node's time nor fills the log."""
        rest = AGAIN
        while True:
            began = anyio.current_time()
            try:
                return await work()
            except Exception as fault:
                rest = AGAIN if anyio.current_time() - began > STOOD else rest
                self.log.exception("task_failed", work=work.__qualname__, fault=repr(fault))
                await anyio.sleep(rest)
                rest = min(2 * rest, LONGEST_AGAIN)

    async def _listen(self) -> MultiListener[SocketStream]:
        """Waits for a port that is held, by the process before this or by a connection that went out from it:
        both end. Raises BadPosting where it is held for long, or cannot be had for another reason."""
        host, port = self.config.listen
        until, waited = anyio.current_time() + HELD_PORT, False
        while True:
            try:
                return await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=1024)
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE or anyio.current_time() > until:
                    raise InvalidNodeConfigError(f"listen: {host}:{port}: {fault}") from None
                if not waited:
                    self.log.warning("port_held", listen=f"{host}:{port}")
                waited = True
            await anyio.sleep(HELD_PORT_REST)

    def stop(self) -> None:
        """Takes what still comes for a while; what is held ends in final answers first."""
        self.stopping.set()

    async def _obey(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            if number == signal.SIGHUP:
                assert self.executor.tasks is not None
                self.executor.tasks.start_soon(self.reload_config)
            else:
                self.stop()

    async def reload_config(self) -> None:
        """A new configuration: the list's address is taken at once. A bad one leaves all as it was, and is
        looked at again for a while: it may be half written."""
        self.config_reloads += 1
        mine, until = self.config_reloads, now() + LOOK_AGAIN
        while True:
            try:
                posting = self.read_config()
                break
            except InvalidNodeConfigError as fault:
                self.log.error("config_unusable", fault=str(fault))
            await anyio.sleep(LOOK_REST)
            if mine != self.config_reloads or now() > until:
                return
        if posting.settings.routing != self.config.settings.routing or posting.listen != self.config.listen:
            self.log.warning("config_needs_restart", what="settings or listen changed; the old ones hold")
        self.log.info("config_loaded", discovery=f"{posting.discovery[0]}:{posting.discovery[1]}")
        self.discovery.change_address(posting.discovery)

    async def _stop(self) -> None:
        """The listener stays open to the end: what the kernel accepted counts as taken."""
        node = self.executor
        self.log.info("node_stopping", node=self.config.name, requests=len(node.requests))
        at = now()
        longest = max(self.config.settings.deadlines) or LONGEST_COUNTED
        by = at + min(LONGEST_COUNTED, longest) + KILL_AFTER - KILL_MARGIN
        node.begin_shutdown(by)
        # Against short hard limits ending the process while new connections still come; and, where streams
        # cannot be moved, against taking any that would still run when the kill comes.
        last = by - LAST_TAKEN - at if node.settings.streams_can_resume else STILL_COME
        await anyio.sleep(max(STILL_COME, last) / 10_000)
        node.closing = True
        with anyio.move_on_after(LONGEST_STOP):
            with anyio.move_on_after((by - now()) / 10_000) as in_time:
                await self._nothing_held()
            if in_time.cancelled_caught:
                self.log.warning(
                    "node_stop_timed_out",
                    answers=self.busy_handlers,
                    releases=node.releases_in_progress,
                    requests={
                        taken.id: [
                            taken.stream_started,
                            taken.attempt_count,
                            taken.final_response is not None,
                            taken.deadline - now(),
                        ]
                        for taken in list(node.requests.values())[:20]
                    },
                )
                # Against hard limits beyond the kill: what is held is answered and let go of before it.
                node.fail_all(begun=False)
                await self._nothing_held()

    async def _nothing_held(self) -> None:
        while True:
            # Those whose request has come in this moment are served first, and leave by themselves.
            for intake in list(self.clients):
                # A new connection's first request is a moment behind it: closed then, nobody has answered it.
                if not intake.first or now() - intake.idle_since > FIRST_GIVEN:
                    intake.close_if_waiting()
            if not (
                self.busy_handlers
                or self.clients
                or self.executor.requests
                or self.executor.releases_in_progress
            ):
                return
            await anyio.sleep(0.02)

    async def _client(self, line: TcpConnection) -> None:
        if len(self.clients) >= self.max_clients and not self._make_room():
            await self._turn_away(line)
            return
        intake = RequestHandler(self.executor, line, self._working)
        self.clients.add(intake)
        try:
            await intake.run()
        except Exception as fault:  # one client's trouble stays its own
            self.log.exception("client_failed", fault=repr(fault))
        finally:
            self.clients.discard(intake)
            line.close()

    async def _turn_away(self, line: TcpConnection) -> None:
        """What it sends is swallowed briefly, or a reset would eat the answer; a few at a time, as each takes
        a descriptor of the reserve."""
        self.rejected_connections += 1
        with anyio.move_on_after(TURNED_TIME), suppress(ConnectionClosedError):
            await line.send(FULL)
            line.send_eof()
            while self.rejected_connections <= TURNED:
                await line.receive()
        self.rejected_connections -= 1
        line.close()

    def _make_room(self) -> bool:
        """Against silent connections keeping out those that ask: the one idle for longest goes, or one that
        has sent half a head."""
        idle = sorted(
            (intake for intake in self.clients if intake.idle_since),
            key=lambda intake: (intake.served, intake.idle_since),
        )
        return any(intake.close_if_waiting() for intake in idle) or any(
            intake.close_if_waiting(True) for intake in idle
        )

    def _working(self, change: int) -> None:
        self.busy_handlers += change

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            self.executor.engine_client.pool.close_idle()


def descriptors(wanted: int) -> int:
    """Raises this process's limit as far as it may; what it then may hold of the wanted."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    may = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (may, hard))
    return may


async def first_posting(environ: Mapping[str, str]) -> NodeConfig:
    """What a start is told. A file that is not there or half written is looked at again for a while. Raises
    BadPosting."""
    until = now() + LOOK_AGAIN
    while True:
        try:
            return read_node_config(environ)
        except UnreadableNodeConfigError:
            if now() > until:
                raise
        await anyio.sleep(LOOK_REST)


async def run_node(environ: Mapping[str, str]) -> None:
    """Runs a node in this process until SIGTERM or SIGINT. Raises BadPosting."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        posting = await first_posting(environ)
        running = NodeServer(posting, lambda: read_node_config(environ), descriptors(posting.max_descriptors))
        # What is there at the start stays: looking through it again would stop a node for tens of ms.
        gc.collect()
        gc.freeze()
        await running.run(signals)
