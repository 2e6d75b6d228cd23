"""Moments that come once in a thousand days, each made to happen: the real node on loopback, the order of its
peers' doings forced by the test. docs/design/rare.md names the place and the bad order of each."""

from __future__ import annotations

import asyncio
import copy
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
from msgspec.structs import replace
from structlog.testing import capture_logs

from runspool.engines.attempt_result import AttemptResult
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause
from runspool.engines.send_permit import SendPermit
from runspool.node import discovery_client as node_catalog
from runspool.node import graceful_shutdown
from runspool.node import server as node_running
from runspool.node.config import InvalidNodeConfigError
from runspool.node.executor import NodeExecutor, PendingNodeRequest
from runspool.node.request_handler import RequestHandler
from runspool.node.request_parser import ClientRequest
from runspool.node.server import NodeServer
from runspool.scheduling.types import AttemptStatus, EngineState
from runspool.service.clock import now
from runspool.service.timer_queue import SchedulerTimer
from runspool.transport.tcp import TcpConnection, connect
from runspool.units import tenths
from tests.node_platform.client import BODY, Client, post
from tests.node_platform.engine import never_responds, responds
from tests.node_platform.http_messages import (
    EVENTS,
    PREFILL_RESPONSE,
    STREAM_HEAD,
    WAIT,
    ReceivedRequest,
    chunked,
    http_response,
    read_request,
)
from tests.node_platform.platform import Platform
from tests.node_platform.settings import SETTINGS

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}


def changed(change: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    """The settings with a change."""
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def hard_limit(milliseconds: int) -> dict[str, Any]:
    def change(settings: dict[str, Any]) -> None:
        for row in settings["classes"]:
            row["deadline-us"] = milliseconds * 1000

    return changed(change)


async def kept(platform: Platform, running: NodeServer) -> tuple[Client, RequestHandler]:
    """A client that has been served and keeps its connection, and the node's end of that."""
    client = await platform.client()
    client.send(post("q0"))
    assert (await client.read_response()).complete
    (intake,) = running.connections.handlers
    await until(lambda: intake.idle_since)  # a round or two after its answer is out
    return client, intake


async def until(true: Callable[[], object]) -> None:
    """Until the node has come to something that only a look inside can tell."""
    async with asyncio.timeout(WAIT):
        while not true():
            await asyncio.sleep(0.001)


# Stop.


async def test_at_a_stop_with_short_hard_limits_what_still_comes_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # So long that a slow machine cannot be late for it; where only hard limits count it is no time at all.
    monkeypatch.setattr(graceful_shutdown, "MIN_ACCEPT_DURATION", 10 * 10_000, raising=False)
    platform = Platform(tmp_path, PAIR)
    platform.settings = hard_limit(600)
    async with platform.inside() as running:
        client, _ = await kept(platform, running)
        running.stop()
        await asyncio.sleep(0)
        # Before the kill there is time enough for it.
        for one in (client, await platform.client()):
            one.send(post(f"s{id(one)}", req_deadline="600m"))
            assert (await one.read_response()).complete
            assert not running.executor.closing


@pytest.mark.parametrize("moved", [True, False])
async def test_a_stop_takes_late_requests_only_where_streams_can_be_moved(
    moved: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What comes 0.7 s after SIGTERM and still streams at the kill is lost, unless it can be moved."""
    monkeypatch.setattr(graceful_shutdown, "MIN_ACCEPT_DURATION", 0)
    monkeypatch.setattr(
        graceful_shutdown, "LAST_REQUEST_MARGIN", -60 * 10_000
    )  # as if there were a minute to the last
    platform = Platform(tmp_path, PAIR)
    platform.settings = changed(lambda said: said["family-info"].update(resume=moved))
    async with platform.inside() as running:
        running.stop()
        await until(lambda: running.executor.shutdown_deadline)
        for _ in range(20):  # rounds of the loop, in which nothing but the stop has anything to do
            await asyncio.sleep(0)
        assert running.executor.closing is not moved


async def test_a_request_that_comes_as_its_connection_gives_way_is_served(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        client, intake = await kept(platform, running)
        received, gave_way = intake.tcp.data_received, []

        def comes(data: bytes) -> None:
            received(data)  # the connection's task is woken, and has not run
            gave_way.append(running.connections.make_room())

        intake.tcp.data_received = comes  # type: ignore[method-assign]
        client.send(post("q1"))
        assert (await client.read_response()).complete
        assert gave_way == [False]


async def test_a_request_that_only_the_kernel_has_is_served_by_its_connection(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        client, _ = await kept(platform, running)
        client.send(post("q1"))  # to the kernel, at once
        assert not running.connections.make_room()  # no loop's round since: nobody here has read it
        assert (await client.read_response()).complete


async def test_half_a_head_keeps_its_connection_from_a_stop_and_not_from_who_asks(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        client, intake = await kept(platform, running)
        client.send(post("q1")[:50])
        await until(lambda: intake.requests.ready)
        assert not intake.close_if_waiting()
        client.send(post("q1")[50:])
        assert (await client.read_response()).complete
        await until(lambda: intake.idle_since)  # a round or two after its answer is out
        client.send(post("q2")[:50])
        await until(lambda: intake.requests.ready)
        assert running.connections.make_room()
        assert (await client.read_response()).status == 408


async def test_hard_limits_beyond_the_kill_are_answered_and_let_go_before_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MAX_COUNTED_DEADLINE", 1_000)  # a stop of 0.3 s in place of 3.2
    platform = Platform(tmp_path, PAIR)
    platform.settings = hard_limit(60_000)
    platform.engines["r"].scripts = [never_responds]
    async with platform.inside() as running:
        client = await platform.client()
        client.send(post("q1", req_deadline="60000m"))
        await platform.until(lambda: len(platform.attempts("q1")) == 1)
        running.stop()
        assert (await client.read_response()).status == 500
        await platform.until(lambda: len(platform.release_calls("q1")) == 1)
        await asyncio.wait_for(platform.run, WAIT)


async def test_a_new_connection_is_given_a_moment_by_a_stop_and_a_served_one_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MIN_ACCEPT_DURATION", 0)
    monkeypatch.setattr(graceful_shutdown, "LAST_REQUEST_MARGIN", 600_000)
    monkeypatch.setattr(graceful_shutdown, "FIRST_REQUEST_GRACE", 600_000, raising=False)
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        served, _ = await kept(platform, running)
        new = await platform.client()
        await until(lambda: len(running.connections.handlers) == 2)
        running.stop()
        assert await served.read_to_close() == b""  # by then the new one has been passed over as well
        new.send(post("q1"))
        answer = await new.read_response()
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        await asyncio.wait_for(platform.run, WAIT)


# The list.


async def cut_off(platform: Platform) -> None:
    """Resets all connections to the agent and the engines."""
    tasks = list(platform.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_start_asks_for_the_list_before_it_takes_anything(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR | {"s": "prefill"})
    platform.states["s"] = "leaving"  # as the agent has it from the first moment
    platform.list_gate.clear()
    async with platform.inside(wait=False) as running:
        # What this node had in an earlier life: the other reader was to go.
        known = [
            replace(entry, state={"r": "draining"}.get(entry.engine, "on"))
            for entry in running.config.last_endpoints.engines
        ]
        running.executor.endpoints_changed(running.executor.endpoint_tracker.restore(known))
        await platform.until(lambda: bool(platform.lists))
        client = await platform.client()
        client.send(post("q1"))
        for _ in range(100):  # time enough to be taken and sent on, were it taken
            await asyncio.sleep(0.001)
        assert not running.connections.handlers and not platform.attempts("q1")
        platform.list_gate.set()
        assert (await client.read_response()).complete
        assert [shot.engine for shot in platform.attempts("q1")] == ["r", "w"]


async def test_a_start_with_a_silent_agent_serves_on_the_last_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_running, "FIRST_LIST_WAIT_SECONDS", 0.05)
    platform = Platform(tmp_path, PAIR)
    platform.list_gate.clear()
    async with platform.inside():
        assert (await platform.ask(post("q1"))).complete


async def test_a_reset_watch_is_opened_anew_without_a_rest(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_catalog, "RETRY_INTERVAL_S", 600.0)
    platform = Platform(tmp_path, PAIR | {"s": "prefill"})
    async with platform.inside() as running:
        await platform.until(lambda: any("after=" in one for one in platform.lists))
        # It has stood for as long as two tries lie apart.
        monkeypatch.setattr(running.discovery, "round_started_at", -tenths(600_000), raising=False)
        await cut_off(platform)
        platform.tell(s="leaving")  # told while no watch is open
        await platform.until(lambda: any("after=2" in one for one in platform.lists))
        assert running.executor.engine_records["s"].state == EngineState.DRAINING


async def test_an_agent_that_never_answers_what_it_was_asked_in_an_outage_is_asked_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No try runs out: another is begun beside it.
    monkeypatch.setattr(node_catalog, "SILENCE_TIMEOUT_MS", 600_000)
    platform = Platform(tmp_path, PAIR | {"s": "prefill"})
    async with platform.inside() as running:
        await platform.until(lambda: any("after=" in one for one in platform.lists))
        await cut_off(platform)
        platform.list_scripts = [None, None]
        platform.tell(s="leaving")
        await platform.until(lambda: any("after=2" in one for one in platform.lists))
        assert running.executor.engine_records["s"].state == EngineState.DRAINING
        assert (
            len(running.discovery.pool.open_counts) == 1
            and sum(running.discovery.pool.open_counts.values()) == 1
        )


async def test_silence_is_known_and_asked_into_within_what_the_platform_allows() -> None:
    known = node_catalog.WATCH_WAIT_MS + node_catalog.SILENCE_TIMEOUT_MS
    assert known + 2 * 1000 * node_catalog.RETRY_INTERVAL_S < 2_000  # an outage lasts some seconds
    assert 2 * 1000 * node_catalog.RETRY_INTERVAL_S <= 250  # a drain's grace, from the agent's return on


@pytest.mark.parametrize(
    "trouble",
    [
        b"[" * 100_000,
        b'{"index":7,"snapshot":true,"endpoints":' + b"[" * 5_000,
        b'{"index":7,"snapshot":false,"endpoints":[]}',
    ],
)
async def test_a_list_nested_too_deep_or_half_ends_nothing(trouble: bytes, tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    platform.list_scripts = [trouble]
    async with platform.inside():
        await platform.until(lambda: any("after=" in one for one in platform.lists))
        assert [one for one in platform.lists if "after=" not in one][1:]  # asked for again
        assert (await platform.ask(post("q1"))).complete


async def test_a_configuration_that_is_half_written_is_looked_at_again(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        other = Platform(tmp_path, {})
        async with other.agent() as port:
            file = platform.write_config(discovery=f"127.0.0.1:{port}")
            written = file.read_bytes()
            file.write_bytes(written[:100])
            platform.signal(signal.SIGHUP)
            await platform.logged("config_unusable")
            file.write_bytes(written)
            await other.until(lambda: bool(other.lists))


# Faults.


async def test_a_fault_in_a_standing_task_ends_nothing(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        faults = []

        def fails(*said: Any) -> None:
            faults.append(said)
            raise RuntimeError("a fault of the program")

        sound = running.executor.timers.on_timer, running.discovery.listener.receive
        running.executor.timers.on_timer = fails
        running.discovery.listener.receive = fails  # type: ignore[method-assign, assignment]
        running.executor.timers.schedule(0, SchedulerTimer("node", "0.0"))
        platform.tell()
        running.executor.engine_client.watchdog.watch(0, fails).waiting_since = 1
        await until(lambda: len(faults) >= 3)
        running.executor.timers.on_timer = sound[0]
        running.discovery.listener.receive = sound[1]  # type: ignore[method-assign]
        assert (await platform.ask(post("q1"))).complete
        assert not platform.run.done()


async def test_a_fault_after_a_shot_ends_its_query_alone(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        node, over = running.executor, running.executor.after_attempt

        def fails(taken: PendingNodeRequest, *said: Any) -> None:
            if taken.id == "bad":
                raise RuntimeError("a fault of the program")
            over(taken, *said)

        node.after_attempt = fails  # type: ignore[method-assign, assignment]
        assert (await platform.ask(post("bad"))).status == 500
        assert (await platform.ask(post("q1"))).complete
        assert not node.requests and not platform.run.done()


async def test_a_fault_while_a_request_is_answered_is_answered_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fails(*said: Any) -> None:
        raise RuntimeError("a fault of the program")

    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        platform.engines["r"].scripts = [never_responds]
        monkeypatch.setattr(RequestHandler, "_send_final", fails)
        answer = await platform.ask(post("q1", req_deadline="300m"))
        assert (answer.status, answer.headers["connection"], answer.complete) == (500, "close", True)
        monkeypatch.undo()
        assert (await platform.ask(post("q2"))).complete
        assert not platform.run.done() and not running.executor.requests


# Clients that go. Nothing is sent on for them, and nothing of theirs stays held.


async def settled(platform: Platform, node: NodeExecutor, name: str, shots: int) -> None:
    """After its client has gone: all is let go, and what could be sent now is not."""
    await until(lambda: not node.requests and not node.releases_in_progress)
    platform.tell(**dict.fromkeys(platform.states, "active"))
    await until_listed(node, "on")
    assert (await platform.ask(post(f"after-{name}"))).complete  # whatever waited would have gone with it
    assert len(platform.attempts(name)) == shots
    assert not node.engine_client.pool.open_counts or sum(
        map(len, node.engine_client.pool.idle.values())
    ) == sum(node.engine_client.pool.open_counts.values())


async def until_listed(node: NodeExecutor, state: str, *names: str) -> None:
    await until(
        lambda: all(
            node.engine_records[name].state == EngineState(state) for name in names or node.engine_records
        )
    )


@pytest.mark.parametrize("ahead", [0, 400_000])
async def test_a_client_that_goes_while_its_query_is_read_is_let_go(ahead: int, tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        platform.engines["r"].scripts = [never_responds]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1")) == 1)
        # More than the node keeps and its kernel holds: the end behind it would never come through.
        client.send(b"x" * ahead)
        if ahead:
            await asyncio.wait_for(client.writer.drain(), WAIT)
        client.writer.close()
        await platform.until(lambda: len(platform.release_calls("q1")) == 1)
        await settled(platform, running.executor, "q1", 1)


async def test_a_client_that_goes_while_it_waits_in_line_is_not_sent_on(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        platform.tell(r="leaving")
        await until_listed(running.executor, "draining", "r")
        client = await platform.client()
        client.send(post("q1"))
        await until(lambda: running.executor.requests)
        client.close()
        await settled(platform, running.executor, "q1", 0)


async def test_a_client_that_goes_between_reader_and_writer_is_let_go(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    platform.settings = changed(lambda said: said["family-info"].update({"release-within-us": 60_000_000}))
    async with platform.inside() as running:
        go = asyncio.Event()
        platform.engines["r"].scripts = [responds(PREFILL_RESPONSE, go)]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1")) == 1)
        platform.tell(w="leaving")
        await until_listed(running.executor, "draining", "w")
        go.set()
        await until(lambda: any(taken.prefill_endpoint for taken in running.executor.requests.values()))
        client.close()
        await platform.until(lambda: len(platform.release_calls("q1")) == 1)
        await settled(platform, running.executor, "q1", 1)


async def test_a_client_that_goes_while_its_shot_is_dialling_is_not_sent_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dialling, go = asyncio.Event(), asyncio.Event()

    async def dials(address: tuple[str, int], source: str | None) -> TcpConnection:
        if not go.is_set():
            dialling.set()
            await go.wait()
        return await connect(address, source)

    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        monkeypatch.setattr("runspool.engines.connection_pool.connect", dials)
        client = await platform.client()
        client.send(post("q1"))
        await asyncio.wait_for(dialling.wait(), WAIT)
        client.close()
        await until(lambda: all(taken.final_response for taken in running.executor.requests.values()))
        go.set()
        await settled(platform, running.executor, "q1", 0)


@pytest.mark.parametrize(
    "anyio_backend",
    [("asyncio", {"use_uvloop": uvloop}) for uvloop in (False, True)],
    ids=["asyncio", "uvloop"],
)
async def test_a_client_that_goes_as_its_dial_ends_is_not_sent_on_and_leaves_no_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def dials(address: tuple[str, int], source: str | None) -> TcpConnection:
        line = await connect(address, source)
        for taken in list(running.executor.requests.values()):
            if taken.id == "q1":
                running.executor.client_disconnected(taken)
        return line

    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        monkeypatch.setattr("runspool.engines.connection_pool.connect", dials)
        client = await platform.client()
        client.send(post("q1"))
        assert await client.read_to_close() == b""
        await settled(platform, running.executor, "q1", 0)


async def test_who_sends_much_ahead_and_stays_is_answered(tmp_path: Path) -> None:
    go = asyncio.Event()
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        platform.engines["r"].scripts = [responds(PREFILL_RESPONSE, go)]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1")) == 1)
        client.send(b"x" * 400_000)
        await asyncio.wait_for(client.writer.drain(), WAIT)
        (intake,) = running.connections.handlers
        await until(lambda: intake.tcp.discarded_bytes)
        go.set()
        answer = await client.read_response()
        assert answer.complete and answer.headers["connection"] == "close"


# Engines.


async def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_querys(tmp_path: Path) -> None:
    async def twice(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        await read_request(request.reader)
        await request.send(PREFILL_RESPONSE)  # the first one's, again: this request is not read yet
        await request.until_closed()

    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        running.executor.engine_client.pool.quiet_time = (
            600_000  # whatever the machine's speed, the link has just been used
        )
        platform.engines["r"].scripts = [twice]
        assert (await platform.ask(post("q1"))).complete
        assert (await platform.ask(post("q2"))).complete
        # Had it been taken, the state would have been fetched from a reader that never had it.
        assert [shot.engine for shot in platform.attempts("q2")] == ["r", "w"]


async def test_a_link_just_used_waits_its_rest_where_no_other_can_be_had(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        pool = running.executor.engine_client.pool
        assert (await platform.ask(post("q1"))).complete
        looks: list[float] = []
        for waiting in pool.idle.values():
            for link in waiting:
                silent_for = link.tcp.stays_silent

                async def looked(seconds: float, silent_for: Any = silent_for) -> bool:
                    looks.append(seconds)
                    return bool(await silent_for(0))

                link.tcp.stays_silent = looked  # type: ignore[method-assign]
        pool.quiet_time, pool.max_connections = 600_000, sum(pool.open_counts.values())
        assert (await platform.ask(post("q2"))).complete
        assert len(looks) == 2 and min(looks) > 30


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
async def test_events_go_on_one_by_one_whatever_ends_their_lines(end: bytes, tmp_path: Path) -> None:
    events = [event.replace(b"\n\n", end) for event in EVENTS]
    passed = [asyncio.Event() for _ in events]

    async def one_by_one(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD)
        for event, seen in zip(events, passed, strict=True):
            await request.send(chunked(event))
            await asyncio.wait_for(seen.wait(), WAIT)  # the next only once its client has this one
        await request.send(b"0\r\n\r\n")

    platform = Platform(tmp_path, PAIR)
    async with platform.inside():
        platform.engines["w"].scripts = [one_by_one]
        client = await platform.client()
        client.send(post("q1"))
        answer = await client.read_head()
        for event, seen in zip(events, passed, strict=True):
            assert await client.read_chunk() == event
            seen.set()
        assert (await client.read_body(answer)).complete


BAD = {
    "no json": chunked(EVENTS[1] + b"data: {oops\n\n"),
    "deep": chunked(EVENTS[1] + b'data: {"choices":' + b"[" * 20_000 + b"\n\n"),
    "bad size": chunked(EVENTS[1]) + b"zz\r\n",
}


@pytest.mark.parametrize("how", BAD)
async def test_good_events_ahead_of_a_bad_one_are_passed_on(how: str, tmp_path: Path) -> None:
    seen = asyncio.Event()

    async def spoils(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await asyncio.wait_for(seen.wait(), WAIT)
        await request.send(BAD[how])
        await request.until_closed()

    platform = Platform(tmp_path, PAIR)
    async with platform.inside():
        platform.engines["w"].scripts = [spoils]
        client = await platform.client()
        client.send(post("q1"))
        answer = await client.read_head()
        assert await client.read_chunk() == EVENTS[0]
        seen.set()
        answer = await client.read_body(answer)
        assert (answer.body, answer.complete) == (EVENTS[1], False)


@pytest.mark.parametrize("where", ["body", "event", "read"])
async def test_json_nested_a_hundred_thousand_deep_ends_at_most_its_query(where: str, tmp_path: Path) -> None:
    deep = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        scripts = {
            "event": ("w", STREAM_HEAD + chunked(b'data: {"choices":' + b"[" * 20_000 + b"\n\n")),
            "read": ("r", http_response(202, deep[:30_000])),
        }
        if where in scripts:
            engine, data = scripts[where]
            platform.engines[engine].scripts = [responds(data)]
        answer = await platform.ask(post("q1", "book", body=deep if where == "body" else BODY))
        assert answer.status == {"body": 400, "event": 500, "read": 200}[where]
        assert (await platform.ask(post("q2"))).complete
        assert not platform.run.done() and not running.executor.requests


async def test_writers_to_which_no_connection_comes_up_do_not_pin_a_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def dials(address: tuple[str, int], source: str | None) -> TcpConnection:
        if any(engine.port == address[1] for name, engine in platform.engines.items() if name != "r"):
            await asyncio.sleep(WAIT)  # its packets go nowhere
        return await connect(address, source)

    platform = Platform(tmp_path, {"r": "prefill"} | {f"w{at}": "decode" for at in range(6)})
    monkeypatch.setattr("runspool.engines.connection_pool.connect", dials)
    # no read before it has been let go
    monkeypatch.setattr("runspool.scheduling.admission.RETRY_INTERVAL", 20_000)
    async with platform.inside() as running:
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.release_calls("q1")) == 1)
        # 300 ms are granted for the state, and each connection is waited for for 250.
        assert 1 <= running.executor.counts["attempt_connect_failed"] <= 2


async def test_a_state_is_let_go_at_the_first_engine_that_can_be_reached(tmp_path: Path) -> None:
    """Cut off from all but the last of twelve, none of which it has spoken to before."""
    names = {"r": "prefill"} | {f"w{at}": "decode" for at in range(12)}
    platform = Platform(tmp_path, names)
    async with platform.inside() as running:
        node = running.executor
        sites, over = {site.name: site for site in node.endpoints.values()}, asyncio.Event()
        asked: list[Address] = []

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            asked.append(address)
            if len(asked) <= 12:
                return FailureCause.CONNECT_FAILED
            over.set()
            return None

        node.engine_client.release_state = release  # type: ignore[method-assign]
        held = PendingNodeRequest(
            0, "q1", 0, 0, cast(Any, None), client_request=cast(Any, None), prefill_endpoint=sites["r"]
        )
        node.release_prefill_state(held)
        await asyncio.wait_for(over.wait(), WAIT)
        assert len(set(asked)) == 13


async def test_a_call_that_lets_go_goes_on_until_the_next_read_has_been_answered(tmp_path: Path) -> None:
    """Not only until its last byte has gone, which says nothing of its having arrived. After the answer the
    call would take the new state too: what it was for is owed from then on."""
    platform = Platform(tmp_path, PAIR)
    async with platform.inside() as running:
        node, calling = running.executor, 0

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            nonlocal calling
            calling += 1
            try:
                await asyncio.sleep(WAIT)
            finally:
                calling -= 1
            return None

        async def read(
            address: Address, request: ClientRequest, limit: int, permit: SendPermit
        ) -> AttemptResult:
            await until(lambda: calling == 2 and node.releases_in_progress == 1)
            assert permit.deny_last_byte(now()) is None
            permit.request_written()
            await asyncio.sleep(0.05)
            assert calling == 2 and node.releases_in_progress == 1
            permit.response_started()
            return AttemptResult(AttemptStatus.PREFILL_COMPLETE, reached_engine=True)

        node.engine_client.release_state = release  # type: ignore[method-assign]
        node.engine_client.prefill = read  # type: ignore[method-assign]
        site = next(site for site in node.endpoints.values() if site.name == "r")
        held = PendingNodeRequest(
            0,
            "q1",
            0,
            now() + 100_000,
            cast(Any, None),
            client_request=cast(Any, None),
            prefill_endpoint=site,
        )
        node.release_prefill_state(held)
        node.requests[0], held.attempt_count = held, 1
        await node.attempt_runner.run(held, site, 0)
        await until(lambda: not calling and not node.releases_in_progress)
        assert held.possible_prefill_endpoint is site and held.prefill_endpoint is site


# Settings of another house.


def paths(said: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Where each value stands in the settings, objects and lists among them."""
    inner = said.items() if isinstance(said, dict) else enumerate(said) if isinstance(said, list) else ()
    return ([at] if at else []) + [path for key, value in inner for path in paths(value, (*at, key))]


ABSENT = object()


def put(said: Any, path: tuple[Any, ...], value: Any) -> Any:
    """The settings with another value at a place, or none."""
    said = copy.deepcopy(said)
    inner = said
    for key in path[:-1]:
        inner = inner[key]
    if value is ABSENT:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return said


@pytest.mark.parametrize("path", paths(SETTINGS), ids=lambda path: ".".join(map(str, path)))
async def test_any_setting_absent_null_zero_or_extreme_is_named_or_served(
    path: tuple[Any, ...], tmp_path: Path
) -> None:
    for value in (ABSENT, None, 0, 1, -1, 10**14, "odd", [], {}):
        platform = Platform(tmp_path, PAIR)
        platform.settings = put(SETTINGS, path, value)
        with capture_logs() as logged:
            try:
                async with platform.inside() as running:
                    answer = await platform.ask(post("q1", req_deadline="700m"))
                    assert answer.status in (200, 400, 500, 503) and answer.complete
                    running.stop()
                    await until(lambda: running.executor.shutdown_deadline)
                    assert not platform.run.done(), value
            except InvalidNodeConfigError as fault:
                named = [str(key) for key in path if isinstance(key, str)]
                assert any(name in str(fault) for name in named), (value, str(fault))
        failed = [line["event"] for line in logged if line["event"].endswith(("_failed", "_by_guard"))]
        assert not failed, (value, failed)
