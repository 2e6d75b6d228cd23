"""Faults of the discovery agent and its endpoint list: a node keeps its last list and fetches a new one.

The scripted agent forces the order of events (docs/design/rare.md).
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from msgspec.structs import replace

from runspool.node import search_backoff
from runspool.node import server as node_server
from runspool.node.discovery_call_planner import MIN_OVERDUE_MARGIN, WATCH_WAIT
from runspool.node.search_backoff import MAX_INTERVAL, MIN_INTERVAL
from runspool.scheduling.types import EngineState
from runspool.service.clock import now
from runspool.service.timer_queue import DeadlineGuardTimer
from runspool.units import TENTHS_PER_MS, ms_to_tenths
from tests.node_platform.client import post
from tests.node_platform.http_messages import http_response
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import HEALTH_REQUEST, Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
TWO_DECODE_ENGINES = {"r": "prefill", "w": "decode", "v": "decode"}


@pytest.mark.parametrize(
    "fault",
    [
        b"{oops",
        b'{"index":-1,"snapshot":true}',
        None,
        http_response(500),
        b'{"index":9,"snapshot":true,"endpoints":[{"name":"r"}]}',
    ],
)
async def test_a_faulty_list_leaves_the_last_one_in_use_and_is_fetched_again(
    fault: bytes | None, tmp_path: Path
) -> None:
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        fetched = len(platform.list_requests)
        platform.scripted_list_responses = [fault]
        platform.publish_states()  # ends the watch: the next response is the fault
        await platform.wait_until(lambda: len(platform.list_requests) >= fetched + 3)
        assert (await platform.send_request(post("q1"))).complete


async def test_a_list_whose_versions_restart_is_accepted(tmp_path: Path) -> None:
    async with Platform(tmp_path, TWO_DECODE_ENGINES).open() as platform:
        platform.version = 700
        platform.notify_change()
        await platform.wait_until(lambda: any("after=700" in target for target in platform.list_requests))
        platform.version = 3
        platform.states["v"] = "leaving"
        platform.scripted_list_responses = [platform.endpoint_list_json()]
        platform.notify_change()
        await platform.wait_until(lambda: any("after=3&" in target for target in platform.list_requests))
        for index in range(4):
            assert (await platform.send_request(post(f"q{index}"))).complete
            assert [attempt.engine for attempt in platform.attempts(f"q{index}")] == ["r", "w"]


async def reset_connections(platform: Platform) -> None:
    """Reset all connections to the agent and the engines."""
    tasks = list(platform.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_starting_node_holds_requests_until_it_has_the_list(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE | {"s": "prefill"})
    platform.states["s"] = "leaving"  # in the agent's list from the start
    platform.list_gate.clear()
    async with platform.open_in_process(wait=False) as server:
        # The node restores the list of an earlier run, in which the other prefill engine was draining.
        last_entries = [
            replace(entry, state={"r": "draining"}.get(entry.engine, "on"))
            for entry in server.config.last_known_endpoints.engines
        ]
        server.executor.endpoints_changed(server.executor.endpoint_tracker.restore(last_entries))
        await platform.wait_until(lambda: bool(platform.list_requests))
        client = await platform.client()
        client.send(post("q1"))
        for _ in range(100):  # long enough for a wrongly accepted request to reach an engine
            await asyncio.sleep(0.001)
        assert not platform.attempts("q1")
        (pending,) = server.executor.requests.values()  # it is read, and its deadline is guarded
        guard = (server.executor.deadline_guard.due_at(pending), DeadlineGuardTimer(pending.index))
        assert guard in [(at, timer) for at, _, timer in server.executor.timers.heap]
        assert (await platform.send_request(HEALTH_REQUEST)).status == 503
        platform.list_gate.set()
        assert (await client.read_response()).complete
        assert [attempt.engine for attempt in platform.attempts("q1")] == ["r", "w"]


async def test_a_node_that_starts_while_its_agent_is_silent_serves_on_the_last_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_server, "FIRST_LIST_WAIT_SECONDS", 0.05)
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    platform.list_gate.clear()
    async with platform.open_in_process():
        assert (await platform.send_request(post("q1"))).complete


async def test_a_reset_watch_is_reopened_without_a_pause(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(search_backoff, "MIN_INTERVAL", ms_to_tenths(600_000))
    monkeypatch.setattr(search_backoff, "MAX_INTERVAL", ms_to_tenths(600_000))
    platform = Platform(tmp_path, PREFILL_AND_DECODE | {"s": "prefill"})
    async with platform.open_in_process() as server:
        await platform.wait_until(lambda: any("after=" in target for target in platform.list_requests))
        # The watch has been open for as long as the minimum interval between two calls.
        server.discovery.planner._last_made_at = now() - ms_to_tenths(600_000)
        await reset_connections(platform)
        platform.publish_states(s="leaving")  # changed while no watch is open
        await platform.wait_until(lambda: any("after=2" in target for target in platform.list_requests))
        assert server.executor.engine_records["s"].state == EngineState.DRAINING


async def test_calls_that_an_agent_lost_in_an_outage_are_made_again(
    tmp_path: Path,
) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE | {"s": "prefill"})
    async with platform.open_in_process() as server:
        await platform.wait_until(lambda: any("after=" in target for target in platform.list_requests))
        await reset_connections(platform)
        platform.scripted_list_responses = [None, None]
        platform.publish_states(s="leaving")
        await platform.wait_until(lambda: any("after=2" in target for target in platform.list_requests))
        assert server.executor.engine_records["s"].state == EngineState.DRAINING
        await wait_until(lambda: list(server.discovery.pool.open_counts.values()) == [1])


async def test_silence_of_the_agent_is_detected_within_the_time_the_platform_allows() -> None:
    detected_after_ms = (WATCH_WAIT + MIN_OVERDUE_MARGIN) / TENTHS_PER_MS
    assert detected_after_ms < 2_000  # outages last for several seconds
    assert MIN_INTERVAL / TENTHS_PER_MS <= 1_000  # for an agent that dropped the calls of an outage
    assert detected_after_ms + MAX_INTERVAL / TENTHS_PER_MS < 6_000  # after any silence


@pytest.mark.parametrize(
    "fault",
    [
        b"[" * 100_000,
        b'{"index":7,"snapshot":true,"endpoints":' + b"[" * 5_000,
        b'{"index":7,"snapshot":false,"endpoints":[]}',
    ],
)
async def test_a_list_nested_too_deep_or_without_a_snapshot_does_not_stop_the_node(
    fault: bytes, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    platform.scripted_list_responses = [fault]
    async with platform.open_in_process():
        await platform.wait_until(lambda: any("after=" in target for target in platform.list_requests))
        assert [target for target in platform.list_requests if "after=" not in target][1:]  # fetched again
        assert (await platform.send_request(post("q1"))).complete
