"""A node's life: start, readiness, signals, its shares of descriptors, its stop."""

from __future__ import annotations

import errno
import gc
import resource
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus
from anyio.streams.stapled import MultiListener
import structlog

from runspool.node.catalog import Catalog
from runspool.node.intake import Intake
from runspool.node.node import Node, Speech
from runspool.node.posting import BadPosting, HalfWritten, Posting, read_posting
from runspool.service.accepting import accept_all
from runspool.service.clock import now
from runspool.sockets.lines import Gone, Line
from runspool.wire.requests import head

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


class Running:
    """A node with its listener, its watch on the list and its stop."""

    def __init__(self, posting: Posting, again: Callable[[], Posting], may_hold: int) -> None:
        """`again` reads the posting anew, as at SIGHUP; `may_hold` is this process's share of descriptors."""
        self.posting, self.again = posting, again
        self.log = structlog.get_logger()
        room = may_hold - RESERVE
        self.most = int(room * CLIENTS_PART)
        self.node = Node(posting, room - self.most)
        speech = Speech(
            connect_ms=1_000, idle_ms=60_000, connections_each=6, idle_each=1, read_answer_bytes=LIST_BYTES
        )
        self.catalog = Catalog(
            speech,
            posting.discovery,
            self.node.following,
            now,
            self.node.engines_changed,
            self.node.quarter.list_lost,
        )
        self.clients: set[Intake] = set()
        self.busy = 0
        self.turned = 0
        self.postings = 0  # times that the configuration was to be read again
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
        node, posting = self.node, self.posting
        node.engines_changed(node.following.recalled(posting.known.engines))
        listener = await self._listen()
        try:
            async with listener, anyio.create_task_group() as tasks:
                node.tasks = tasks
                self.port = listener.extra(SocketAttribute.local_port)
                for work in (
                    node.timers.run,
                    node.calls.vigil.run,
                    node.releases.run,
                    self._sweep,
                    self.catalog.follow,
                ):
                    tasks.start_soon(self._standing, work)
                if signals is not None:
                    tasks.start_soon(self._obey, signals)
                # Against sending on what was known in an earlier life: what the agent has counts as told.
                with anyio.move_on_after(FIRST_LIST):
                    await self.catalog.heard.wait()
                for each in listener.listeners:
                    tasks.start_soon(accept_all, each.extra(SocketAttribute.raw_socket), tasks, self._client)
                self.log.info(
                    "node_listening",
                    node=posting.name,
                    port=self.port,
                    clients=self.most,
                    engines=node.calls.pool.most,
                    known=len(posting.known.engines),
                )
                task_status.started(self.port)
                await self.stopping.wait()
                await self._stop()
                tasks.cancel_scope.cancel()
        finally:
            node.calls.pool.close()
            self.catalog.pool.close()
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
        host, port = self.posting.listen
        until, waited = anyio.current_time() + HELD_PORT, False
        while True:
            try:
                return await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=1024)
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE or anyio.current_time() > until:
                    raise BadPosting(f"listen: {host}:{port}: {fault}") from None
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
                assert self.node.tasks is not None
                self.node.tasks.start_soon(self.posted_again)
            else:
                self.stop()

    async def posted_again(self) -> None:
        """A new configuration: the list's address is taken at once. A bad one leaves all as it was, and is
        looked at again for a while: it may be half written."""
        self.postings += 1
        mine, until = self.postings, now() + LOOK_AGAIN
        while True:
            try:
                posting = self.again()
                break
            except BadPosting as fault:
                self.log.error("posting_unusable", fault=str(fault))
            await anyio.sleep(LOOK_REST)
            if mine != self.postings or now() > until:
                return
        if posting.granted.terms != self.posting.granted.terms or posting.listen != self.posting.listen:
            self.log.warning("posting_needs_restart", what="settings or listen changed; the old ones hold")
        self.log.info("posting_read", discovery=f"{posting.discovery[0]}:{posting.discovery[1]}")
        self.catalog.move(posting.discovery)

    async def _stop(self) -> None:
        """The listener stays open to the end: what the kernel accepted counts as taken."""
        node = self.node
        self.log.info("node_stopping", node=self.posting.name, queries=len(node.queries))
        at = now()
        longest = max(self.posting.granted.hard_limits) or LONGEST_COUNTED
        by = at + min(LONGEST_COUNTED, longest) + KILL_AFTER - KILL_MARGIN
        node.leave(by)
        # Against short hard limits ending the process while new connections still come; and, where streams
        # cannot be moved, against taking any that would still run when the kill comes.
        last = by - LAST_TAKEN - at if node.house.resumes else STILL_COME
        await anyio.sleep(max(STILL_COME, last) / 10_000)
        node.closing = True
        with anyio.move_on_after(LONGEST_STOP):
            with anyio.move_on_after((by - now()) / 10_000) as in_time:
                await self._nothing_held()
            if in_time.cancelled_caught:
                self.log.warning(
                    "node_still_holds",
                    answers=self.busy,
                    releases=node.releasing,
                    queries={
                        taken.id: [taken.begun, taken.shots, taken.final is not None, taken.limit - now()]
                        for taken in list(node.queries.values())[:20]
                    },
                )
                # Against hard limits beyond the kill: what is held is answered and let go of before it.
                node.scrap_all(begun=False)
                await self._nothing_held()

    async def _nothing_held(self) -> None:
        while True:
            # Those whose request has come in this moment are served first, and leave by themselves.
            for intake in list(self.clients):
                # A new connection's first request is a moment behind it: closed then, nobody has answered it.
                if not intake.first or now() - intake.idle_since > FIRST_GIVEN:
                    intake.end_wait()
            if not (self.busy or self.clients or self.node.queries or self.node.releasing):
                return
            await anyio.sleep(0.02)

    async def _client(self, line: Line) -> None:
        if len(self.clients) >= self.most and not self._make_room():
            await self._turn_away(line)
            return
        intake = Intake(self.node, line, self._working)
        self.clients.add(intake)
        try:
            await intake.run()
        except Exception as fault:  # one client's trouble stays its own
            self.log.exception("client_failed", fault=repr(fault))
        finally:
            self.clients.discard(intake)
            line.drop()

    async def _turn_away(self, line: Line) -> None:
        """What it sends is swallowed briefly, or a reset would eat the answer; a few at a time, as each takes
        a descriptor of the reserve."""
        self.turned += 1
        with anyio.move_on_after(TURNED_TIME), suppress(Gone):
            await line.send(FULL)
            line.say_end()
            while self.turned <= TURNED:
                await line.receive()
        self.turned -= 1
        line.drop()

    def _make_room(self) -> bool:
        """Against silent connections keeping out those that ask: the one idle for longest goes, or one that
        has sent half a head."""
        idle = sorted(
            (intake for intake in self.clients if intake.idle_since),
            key=lambda intake: (intake.served, intake.idle_since),
        )
        return any(intake.end_wait() for intake in idle) or any(intake.end_wait(True) for intake in idle)

    def _working(self, change: int) -> None:
        self.busy += change

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            self.node.calls.pool.sweep()


def descriptors(wanted: int) -> int:
    """Raises this process's limit as far as it may; what it then may hold of the wanted."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    may = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (may, hard))
    return may


async def first_posting(environ: Mapping[str, str]) -> Posting:
    """What a start is told. A file that is not there or half written is looked at again for a while. Raises
    BadPosting."""
    until = now() + LOOK_AGAIN
    while True:
        try:
            return read_posting(environ)
        except HalfWritten:
            if now() > until:
                raise
        await anyio.sleep(LOOK_REST)


async def run_node(environ: Mapping[str, str]) -> None:
    """Runs a node in this process until SIGTERM or SIGINT. Raises BadPosting."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        posting = await first_posting(environ)
        running = Running(posting, lambda: read_posting(environ), descriptors(posting.sockets))
        # What is there at the start stays: looking through it again would stop a node for tens of ms.
        gc.collect()
        gc.freeze()
        await running.run(signals)
