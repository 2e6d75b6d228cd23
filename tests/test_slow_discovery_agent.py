"""Real nodes on loopback with a discovery agent that is slow, limits its connections or has outages."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from runspool.limits.memory_budget import MAX_LIST_BYTES
from runspool.transport.tcp import TcpConnection, connect
from tests.node_platform.client import post
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
ENGINES = {"r": "prefill", "w": "decode", "v": "decode"}
# Seconds within which a node must learn of a change after the agent has it, however the agent behaves.
CHANGE_LEARNED_WITHIN = 6.0
# Seconds within which a node must receive the list after an outage of the agent, with an allowance of 0.15 s
# for a busy machine. The second bound applies if the agent has dropped the calls it received in the outage.
RECOVERY_SEEN_WITHIN = 0.1 + 0.15
RECOVERY_SEEN_WITHIN_AFTER_DROPS = 1.0 + 0.15
MAX_CONCURRENT_CALLS = 6  # maximum number of open calls of a node to its agent
MAX_CALLS_PER_SECOND = 25  # maximum rate of a node's calls to its agent


async def seconds_until_drain_is_known(platform: Platform) -> float:
    """Announce a drain and return the seconds until the node has adopted it.

    Raise TimeoutError after CHANGE_LEARNED_WITHIN.
    """
    loop = asyncio.get_running_loop()
    announced = loop.time()
    platform.publish_states(v="leaving")
    async with asyncio.timeout(CHANGE_LEARNED_WITHIN):
        await platform.wait_until(lambda: b'"v":"draining"' in platform.log)
    return loop.time() - announced


async def assert_drained_engine_is_not_used(platform: Platform) -> None:
    for index in range(4):
        assert (await platform.send_request(post(f"q{index}"))).complete
        assert [attempt.engine for attempt in platform.attempts(f"q{index}")] == ["r", "w"]


@pytest.mark.parametrize("delay", [0.45, 1.0, 2.5])
async def test_node_learns_of_a_drain_from_an_agent_that_responds_late(delay: float, tmp_path: Path) -> None:
    # Each call was given up before its response arrived, so the node used the draining engine forever.
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.delay = delay
        calls = len(platform.list_requests)
        # Wait until the watch that was open before has ended.
        await platform.wait_until(lambda: len(platform.list_requests) >= calls + 2)
        await seconds_until_drain_is_known(platform)
        await assert_drained_engine_is_not_used(platform)


@pytest.mark.parametrize("cost", [0.2, 0.5])
async def test_node_learns_of_a_drain_from_an_agent_that_serves_one_call_at_a_time(
    cost: float, tmp_path: Path
) -> None:
    # Calls were repeated faster than the agent processes them, and it also processes abandoned calls.
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.cost = cost
        platform.pace.begin_outage()
        await asyncio.sleep(3.0)
        platform.pace.end_outage()
        await seconds_until_drain_is_known(platform)
        await assert_drained_engine_is_not_used(platform)


async def test_node_learns_of_a_drain_while_an_older_list_arrives_in_pieces(tmp_path: Path) -> None:
    # When the older list was complete, it cancelled the later call, whose response was being received.
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.pieces, platform.pace.piece_interval = 8, 0.4
        whole_after = 7 * 0.4
        platform.publish_states()
        await asyncio.sleep(0.3)
        took = await seconds_until_drain_is_known(platform)
        # The node makes a call within a second of the change.
        assert took < 1.0 + whole_after + RECOVERY_SEEN_WITHIN


@pytest.mark.parametrize("drops", [False, True])
async def test_node_receives_the_list_soon_after_an_outage_of_the_agent(drops: bool, tmp_path: Path) -> None:
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.drops = drops
        platform.pace.begin_outage()
        await asyncio.sleep(4.0)
        platform.publish_states(v="leaving")
        platform.pace.end_outage()
        loop = asyncio.get_running_loop()
        ended = loop.time()
        await platform.wait_until(lambda: b'"v":"draining"' in platform.log)
        allowed = RECOVERY_SEEN_WITHIN_AFTER_DROPS if drops else RECOVERY_SEEN_WITHIN
        assert loop.time() - ended < allowed
        assert platform.pace.connections <= MAX_CONCURRENT_CALLS + 1  # one more may be closing


@pytest.mark.parametrize("most_connections", [1, 2, 3])
async def test_node_receives_the_list_after_an_outage_of_an_agent_that_limits_connections(
    most_connections: int, tmp_path: Path
) -> None:
    # Calls that the agent had dropped stayed open and occupied all the connections that it accepts.
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.drops, platform.pace.max_connections = True, most_connections
        platform.pace.begin_outage()
        await asyncio.sleep(3.0)
        platform.publish_states(v="leaving")
        platform.pace.end_outage()
        async with asyncio.timeout(CHANGE_LEARNED_WITHIN):
            await platform.wait_until(lambda: b'"v":"draining"' in platform.log)


async def test_calls_to_an_agent_that_answers_every_watch_at_once_are_bounded(tmp_path: Path) -> None:
    # The node repeated its watch as fast as it was answered, hundreds of times per second.
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.scripted_list_responses = [platform.endpoint_list_json(snapshot=False)] * 10_000
        platform.publish_states()
        before = len(platform.list_requests)
        await asyncio.sleep(2.0)
        assert len(platform.list_requests) - before <= 2 * MAX_CALLS_PER_SECOND


async def test_calls_during_an_outage_of_the_agent_are_bounded(tmp_path: Path) -> None:
    async with Platform(tmp_path, ENGINES).open() as platform:
        platform.pace.begin_outage()
        await asyncio.sleep(1.5)
        before = len(platform.list_requests)
        await asyncio.sleep(2.0)
        assert len(platform.list_requests) - before <= 2 * MAX_CALLS_PER_SECOND
        assert platform.pace.connections <= MAX_CONCURRENT_CALLS + 1


async def test_starting_node_adopts_the_list_of_an_agent_that_responds_late(tmp_path: Path) -> None:
    # A starting node made ten calls per second and gave up each after 0.4 s.
    platform = Platform(tmp_path, ENGINES)
    platform.pace.delay = 2.0
    async with platform.open(ready=False):
        platform.states["v"] = "leaving"  # after the configuration was written
        platform.version += 1
        async with asyncio.timeout(CHANGE_LEARNED_WITHIN):
            await platform.wait_until(lambda: b'"v":"draining"' in platform.log)
        await assert_drained_engine_is_not_used(platform)


async def test_node_receives_the_list_from_an_agent_that_is_slow_to_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The node gave up connecting to its agent after 1 s.
    async def late_connect(address: tuple[str, int], source: str | None) -> TcpConnection:
        if address[1] == platform.agent_port:
            await asyncio.sleep(1.5)
        return await connect(address, source)

    platform = Platform(tmp_path, ENGINES)
    monkeypatch.setattr("runspool.engines.connection_pool.connect", late_connect)
    async with platform.open_in_process(wait=False) as server:
        await asyncio.wait_for(server.discovery.snapshot_received.wait(), CHANGE_LEARNED_WITHIN)


async def test_node_adopts_the_list_of_a_late_agent_after_several_quick_reloads(tmp_path: Path) -> None:
    platform = Platform(tmp_path, ENGINES)
    async with platform.open(), platform.run_agent() as second_port, platform.run_agent() as third_port:
        platform.pace.delay = 1.0
        for port in (second_port, third_port, second_port):
            platform.write_config(discovery=f"127.0.0.1:{port}")
            platform.signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        await seconds_until_drain_is_known(platform)
        await assert_drained_engine_is_not_used(platform)


# What the heads of endless lists state, and the counter of the limit that they reach.
ENDLESS_LISTS = {
    "no length": (b"", "limit_response_body_bytes"),
    "more than a list may have": (b"Content-Length: 999999999\r\n", "limit_response_stated_bytes"),
}


# The size of one response was limited, but not that of all responses that are received at the same time.
@pytest.mark.parametrize("form", ENDLESS_LISTS)
async def test_endless_lists_of_several_calls_share_one_limit(form: str, tmp_path: Path) -> None:
    length, counter = ENDLESS_LISTS[form]
    endless = b"HTTP/1.1 200 OK\r\n%b\r\n" % length + b" " * (MAX_LIST_BYTES // 2)
    platform = Platform(tmp_path, {"r": "prefill", "w": "decode"})
    platform.scripted_list_responses = [endless, endless, endless]
    async with platform.open_in_process(wait=False) as server:
        await wait_until(lambda: server.executor.counts[counter] > 0)
        await wait_until(server.discovery.snapshot_received.is_set)
        held = sum(exchange.body_bytes for exchange in server.discovery._open_exchanges)
        assert held <= MAX_LIST_BYTES
