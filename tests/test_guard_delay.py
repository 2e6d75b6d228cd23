"""The delay from the arrival of a request's last byte at the host until its deadline is guarded.

Clients and node run in one process, so that both sides are timed by one clock. A request that is rejected
without being accepted counts until its answer.
"""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from runspool.node import request_handler
from runspool.node.guard_delays import MAX_GUARD_DELAY
from runspool.node.server import NodeServer
from runspool.node.submission_queue import SUBMITTED_REQUEST_BYTES
from runspool.service.clock import now
from runspool.transport import tcp
from runspool.units import ms_to_tenths
from tests.node_platform.client import Client, post
from tests.node_platform.engine import never_responds
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
ENGINES = {"r": "prefill", "w": "decode"}
REQUESTS = 60
LARGE_BODY = b'{"prompt":"' + b"x" * 200_000 + b'"}'


class Observer:
    """Sends requests, and records when each was sent whole, guarded and answered.

    Attributes:
        platform: The peers of the node.
        server: The node.
        sent_at: When the last byte of a request was sent, by its id, in tenths of a millisecond.
        guarded_at: When its deadline was guarded, or its answer came if that was earlier.
    """

    def __init__(self, platform: Platform, server: NodeServer, monkeypatch: pytest.MonkeyPatch) -> None:
        self.platform, self.server = platform, server
        self.sent_at: dict[str, int] = {}
        self.guarded_at: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        record = server.executor.guard_delays.record

        def observe(request: str, delay: int) -> None:
            record(request, delay)
            self.guarded_at.setdefault(request, now())

        monkeypatch.setattr(server.executor.guard_delays, "record", observe)

    async def ask(self, name: str, client: Client | None = None, **fields: Any) -> None:
        """Send a request, in two pieces if it is large, and go on without its answer."""
        client = client or await self.platform.client()
        data = post(name, **fields)
        client.send(data[:-1])
        await client.writer.drain()
        client.send(data[-1:])
        self.sent_at[name] = now()
        self._tasks.append(asyncio.ensure_future(self._read(name, client)))

    async def _read(self, name: str, client: Client) -> None:
        await client.read_head()
        self.guarded_at.setdefault(name, now())

    async def check(self) -> None:
        """Check that each request was guarded or answered within the bound."""
        await wait_until(lambda: self.guarded_at.keys() >= self.sent_at.keys())
        delays = {name: self.guarded_at[name] - sent_at for name, sent_at in self.sent_at.items()}
        assert len(delays) >= REQUESTS
        assert max(delays.values()) <= MAX_GUARD_DELAY, delays
        for task in self._tasks:
            task.cancel()


async def come_one_by_one(observer: Observer, **fields: Any) -> None:
    """Send requests at short intervals, for longer than a start waits for its first list."""
    for index in range(REQUESTS):
        await observer.ask(f"q{index}", **fields)
        await asyncio.sleep(0.03)


async def come_at_once(observer: Observer) -> None:
    """Send all requests at the same moment, some with large bodies."""
    clients = [await observer.platform.client() for _ in range(REQUESTS)]
    for index, client in enumerate(clients):
        await observer.ask(f"q{index}", client, body=LARGE_BODY if index % 10 == 0 else b"{}")


async def find_all_places_taken(observer: Observer) -> None:
    """Send requests while open ones take all places for clients."""
    observer.platform.engines["r"].scripts = [never_responds] * 1_000
    for index in range(observer.server.connections.max_clients):
        await observer.ask(f"held{index}")
    await wait_until(lambda: observer.guarded_at.keys() >= observer.sent_at.keys())
    await come_one_by_one(observer)


async def come_in_a_stop(observer: Observer) -> None:
    """Send requests on new and on open connections while the node stops."""
    clients = [await observer.platform.client() for _ in range(REQUESTS)]
    observer.server.stop()
    for index, client in enumerate(clients):
        await observer.ask(f"q{index}", client if index % 2 else None)
        await asyncio.sleep(0.003)


async def come_at_reloads(observer: Observer) -> None:
    """Send requests while the node reads its configuration again and again."""
    for index in range(REQUESTS):
        observer.server.request_reload()
        await observer.ask(f"q{index}")
        await asyncio.sleep(0.01)


Situation = Callable[[Observer], Awaitable[None]]


@pytest.mark.parametrize("is_listed", [True, False])
@pytest.mark.parametrize(
    "situation", [come_one_by_one, come_at_once, find_all_places_taken, come_in_a_stop, come_at_reloads]
)
async def test_deadlines_are_guarded_shortly_after_the_last_byte_of_a_request(
    situation: Situation, is_listed: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    if not is_listed:  # the node starts, and the situation meets it in its wait for the first list
        platform.list_gate.clear()
    async with platform.open_in_process(wait=is_listed) as server:
        observer = Observer(platform, server, monkeypatch)
        await situation(observer)
        await observer.check()


# One accept that failed for want of descriptors made all clients wait for 0.1 s, and the next failed again.
async def test_failed_accepts_delay_no_guard_beyond_the_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original, calls = tcp.accept_socket, 0

    async def accept_or_fail(listener: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls % 2:  # each connection is accepted after one failure
            raise OSError(errno.EMFILE, "Too many open files")
        return await original(listener)

    platform = Platform(tmp_path, ENGINES)
    monkeypatch.setattr(tcp, "accept_socket", accept_or_fail)
    async with platform.open_in_process() as server:
        observer = Observer(platform, server, monkeypatch)
        await come_at_once(observer)
        await observer.check()


async def test_many_requests_at_once_are_guarded_before_they_are_scheduled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    async with platform.open_in_process() as server:
        order: list[str] = []
        submit = server.executor.submit_to_scheduler
        record = server.executor.guard_delays.record

        def observe_submit(pending: Any) -> None:
            order.append("scheduled")
            submit(pending)

        def observe_guard(request: str, delay: int) -> None:
            order.append("guarded")
            record(request, delay)

        monkeypatch.setattr(server.executor, "submit_to_scheduler", observe_submit)
        monkeypatch.setattr(server.executor.guard_delays, "record", observe_guard)
        clients = [await platform.client() for _ in range(80)]
        for index, client in enumerate(clients):
            client.send(post(f"q{index}"))
        for client in clients:
            assert (await client.read_response()).status == 200
        last_guarded = len(order) - 1 - order[::-1].index("guarded")
        assert order[:last_guarded].count("scheduled") < 40  # nearly all wait until the others are guarded


async def test_a_request_that_expires_before_it_is_scheduled_is_rejected_and_forgotten(
    tmp_path: Path,
) -> None:
    platform = Platform(tmp_path, ENGINES)
    platform.list_gate.clear()
    async with platform.open_in_process(wait=False) as server:
        client = await platform.client()
        client.send(post("q1", req_deadline="100m"))
        await wait_until(lambda: server.executor.requests)
        held = server.executor.connection_resources.memory.held_by_kind
        assert held["open_request"] + held["request"] > 0
        assert held["engine_connection"] == SUBMITTED_REQUEST_BYTES  # before there is a connection
        response = await client.read_response()
        assert held["engine_connection"] == 0
        assert response.status == 503
        assert json.loads(response.body)["error"]["code"] == "dismissed"
        assert not server.executor.requests
        assert server.executor.counts["submissions_expired"] == 1
        assert not server.executor.invariants.counts


# A body that had arrived whole was read in small turns, and nobody guarded its deadline meanwhile.
async def test_the_deadline_of_a_request_is_guarded_while_its_body_is_read(tmp_path: Path) -> None:
    platform = Platform(tmp_path, ENGINES)
    async with platform.open_in_process():
        client = await platform.client()
        began = now()
        client.send(post("q1", req_deadline="200m", body=LARGE_BODY)[:100_000])
        assert (await client.read_response()).status == 503
        assert now() - began <= ms_to_tenths(200) + MAX_GUARD_DELAY
        assert not platform.attempts("q1")


async def test_the_deadlines_of_large_bodies_that_come_at_once_are_guarded(tmp_path: Path) -> None:
    platform = Platform(tmp_path, ENGINES)
    platform.sockets = 512
    async with platform.open():
        clients = [await platform.client() for _ in range(200)]
        for index, client in enumerate(clients):
            client.send(post(f"q{index}", body=LARGE_BODY, req_deadline="300m" if index % 2 else "6000m"))
        statuses = {(await client.read_head()).status for client in clients}
        assert statuses <= {200, 503}
        assert b"deadline_guarded_late" not in platform.log


# The limit of the time for a body ended the wait of a whole request for its turn, with status 408.
async def test_a_whole_request_may_wait_for_its_turn_until_its_own_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    async with platform.open_in_process() as server:
        take = server.executor.connection_resources.work_turns.take

        async def take_late(worker: Any) -> None:
            await asyncio.sleep(0.05)
            await take(worker)

        monkeypatch.setattr(server.executor.connection_resources.work_turns, "take", take_late)
        monkeypatch.setattr(request_handler, "LIMITS", replace(request_handler.LIMITS, body_ms=10.0))
        assert (await platform.send_request(post("q1"))).status == 200
