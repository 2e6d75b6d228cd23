"""Reuse of idle engine connections, among them connections that are closed, reset or answered twice."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from runspool.transport.tcp import TcpConnection, connect
from tests.node_platform.client import post
from tests.node_platform.http_messages import COMPLETE_STREAM, PREFILL_RESPONSE, ReceivedRequest, read_request
from tests.node_platform.platform import Platform
from tests.node_platform.settings import SETTINGS

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}


async def test_an_idle_connection_closed_by_its_engine_leaves_no_attempt_with_unknown_outcome(
    tmp_path: Path,
) -> None:
    async def serves_and_closes(request: ReceivedRequest) -> None:
        await request.send(COMPLETE_STREAM)
        request.reset()

    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.engines["w"].scripts = [serves_and_closes] * 10
        for index in range(10):
            response = await platform.send_request(post(f"q{index}", "book"))
            assert (response.status, response.complete) == (200, True)
            assert len(platform.attempts(f"q{index}", "decode")) == 1


async def test_an_idle_connection_reset_on_the_next_request_leaves_no_attempt_with_unknown_outcome(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def slow_connect(address: tuple[str, int], source: str | None) -> TcpConnection:
        await asyncio.sleep(0.5)  # long enough for the reset to be seen before the new connection is open
        return await connect(address, source)

    async def responds_then_resets(request: ReceivedRequest) -> None:
        await request.send(COMPLETE_STREAM)
        await request.reader.read(1)
        request.reset()

    monkeypatch.setattr("runspool.engines.connection_pool.connect", slow_connect)
    monkeypatch.setattr("runspool.engines.http_exchange.MAX_OBSERVATION_TIME", 100_000)
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    # Deadlines and the connect timeout are long, so that the slow connect does not fail the request.
    classes = [row | {"aim-us": 5_000_000} for row in SETTINGS["classes"]]
    limits = SETTINGS["limits"] | {"dial-timeout-us": 5_000_000}
    platform.settings = SETTINGS | {"limits": limits, "classes": classes}
    async with platform.open_in_process() as server:
        # Without a quiet time, the idle connection is used however recently it served a request.
        server.executor.engine_client.pool.quiet_time = 0
        platform.engines["w"].scripts = [responds_then_resets]
        assert (await platform.send_request(post("q1"))).complete
        assert (await platform.send_request(post("q2", "book", req_deadline="9000m"))).complete
        assert len(platform.attempts("q2", "decode")) == 1


async def test_a_late_duplicate_response_is_not_matched_to_the_next_request(tmp_path: Path) -> None:
    async def responds_twice(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        await read_request(request.reader)
        await request.send(
            PREFILL_RESPONSE
        )  # a duplicate of the first response: this request is not prefilled
        await request.wait_until_closed()

    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process() as server:
        # With so long a quiet time, the connection counts as just used on a machine of any speed.
        server.executor.engine_client.pool.quiet_time = 600_000
        platform.engines["r"].scripts = [responds_twice]
        assert (await platform.send_request(post("q1"))).complete
        assert (await platform.send_request(post("q2"))).complete
        # Had the duplicate been accepted, the state would be fetched from an engine that never held it.
        assert [attempt.engine for attempt in platform.attempts("q2")] == ["r", "w"]


async def test_a_recently_used_connection_is_observed_for_its_quiet_time_at_the_connection_limit(
    tmp_path: Path,
) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    async with platform.open_in_process() as server:
        pool = server.executor.engine_client.pool
        assert (await platform.send_request(post("q1"))).complete
        observation_times: list[float] = []
        for idle in pool.idle.values():
            for connection in idle:
                stays_silent = connection.tcp.stays_silent

                async def observe_briefly(seconds: float, stays_silent: Any = stays_silent) -> bool:
                    observation_times.append(seconds)
                    return bool(await stays_silent(0))

                connection.tcp.stays_silent = observe_briefly  # type: ignore[method-assign]
        pool.quiet_time = 600_000
        pool.max_connections = sum(pool.open_counts.values())
        assert (await platform.send_request(post("q2"))).complete
        assert len(observation_times) == 2 and min(observation_times) > 30
