"""A prefill state that no decode engine will fetch is released, even if some engines are unreachable."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from runspool.engines.attempt_result import AttemptResult
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause
from runspool.engines.send_permit import SendPermit
from runspool.node.executor import NodeExecutor, PendingNodeRequest
from runspool.node.release_budget import BURST_SIZE, REFILL_INTERVAL
from runspool.node.request_parser import ClientRequest
from runspool.node.state_releaser import MAX_LONG_CALLS, PendingRelease, StateReleaser
from runspool.scheduling.types import AttemptStatus, Role
from runspool.service.clock import now
from runspool.service.pending_request import Endpoint
from runspool.transport.tcp import TcpConnection, connect
from runspool.units import TENTHS_PER_SECOND, ms_to_tenths
from tests.node_platform.client import post
from tests.node_platform.engine import never_responds
from tests.node_platform.http_messages import WAIT_TIMEOUT, ReceivedRequest
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}


async def test_the_state_of_a_prefill_given_up_is_released(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["r"].scripts = [never_responds]
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: len(platform.attempts("q1")) == 1)
        client.close()
        await platform.wait_until(lambda: len(platform.release_calls("q1")) == 1)


async def fails_and_stops_listening(request: ReceivedRequest) -> None:
    """Reset the prefill's connection, and accept no more connections at its engine."""
    request.stop_listening()
    request.reset()


async def test_a_release_goes_to_another_engine_where_the_first_is_down(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["r"].scripts = [fails_and_stops_listening]
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: any(call.engine == "w" for call in platform.release_calls("q1")))


async def test_a_release_does_not_try_unreachable_engines_one_after_the_other(tmp_path: Path) -> None:
    names = {"r": "prefill"} | {f"w{index}": "decode" for index in range(9)}
    async with Platform(tmp_path, names).open_in_process() as server:
        node = server.executor
        endpoints = {endpoint.name: endpoint for endpoint in node.endpoints.values()}
        called: list[Address] = []
        released = asyncio.Event()

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            called.append(address)
            if address != endpoints["w7"].address:
                await asyncio.sleep(limit / 10_000)
                return FailureCause.TIMED_OUT_BEFORE_RESPONSE
            released.set()
            return None

        # The node has connected to all of them, most recently to w7, which is thus the likeliest to respond.
        idle_connections = {
            endpoint.address: [SimpleNamespace(idle_since=9 - abs(int(endpoint.name[1:]) - 7))]
            for endpoint in node.endpoints.values()
            if endpoint.name != "r"
        }
        node.engine_client.pool.idle = cast(Any, idle_connections)
        node.engine_client.pool.close_expired = lambda: None  # type: ignore[method-assign]
        node.engine_client.release_state = release  # type: ignore[method-assign]
        pending = PendingNodeRequest(
            0, "q1", 0, 0, cast(Any, None), client_request=cast(Any, None), prefill_endpoint=endpoints["r"]
        )
        node.release_prefill_state(pending)
        await asyncio.wait_for(released.wait(), WAIT_TIMEOUT)
        node.engine_client.pool.idle = {}
        assert called == [endpoints["r"].address, endpoints["w7"].address]


async def test_a_state_is_released_at_the_first_engine_that_can_be_reached(tmp_path: Path) -> None:
    """All engines but the last are unreachable, and the node has not connected to any of them before."""
    names = {"r": "prefill"} | {f"w{index}": "decode" for index in range(12)}
    platform = Platform(tmp_path, names)
    async with platform.open_in_process() as server:
        node = server.executor
        endpoints = {endpoint.name: endpoint for endpoint in node.endpoints.values()}
        called: list[Address] = []
        released = asyncio.Event()

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            called.append(address)
            if len(called) <= 12:
                return FailureCause.CONNECT_FAILED
            released.set()
            return None

        node.engine_client.release_state = release  # type: ignore[method-assign]
        pending = PendingNodeRequest(
            0, "q1", 0, 0, cast(Any, None), client_request=cast(Any, None), prefill_endpoint=endpoints["r"]
        )
        node.release_prefill_state(pending)
        await asyncio.wait_for(released.wait(), WAIT_TIMEOUT)
        assert len(set(called)) == 13


async def test_a_release_call_goes_on_until_the_next_prefill_has_been_answered(tmp_path: Path) -> None:
    """The call must not end with the last byte sent, which does not prove that the prefill has arrived.

    After the response to the prefill, the call would release the new state too. It is therefore withdrawn,
    and the node keeps the engine of the earlier prefill, so that its state is released later.
    """
    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process() as server:
        node = server.executor
        open_calls = 0

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            nonlocal open_calls
            open_calls += 1
            try:
                await asyncio.sleep(WAIT_TIMEOUT)
            finally:
                open_calls -= 1
            return None

        async def prefill(
            address: Address, request: ClientRequest, limit: int, permit: SendPermit
        ) -> AttemptResult:
            await wait_until(lambda: open_calls == 2 and node.releases_in_progress == 1)
            assert permit.deny_last_byte(now()) is None
            permit.request_written()
            await asyncio.sleep(0.05)
            assert open_calls == 2 and node.releases_in_progress == 1
            permit.response_started()
            return AttemptResult(AttemptStatus.PREFILL_COMPLETE, reached_engine=True)

        node.engine_client.release_state = release  # type: ignore[method-assign]
        node.engine_client.prefill = prefill  # type: ignore[method-assign]
        endpoint = next(endpoint for endpoint in node.endpoints.values() if endpoint.name == "r")
        pending = PendingNodeRequest(
            0,
            "q1",
            0,
            now() + 100_000,
            cast(Any, None),
            client_request=cast(Any, None),
            prefill_endpoint=endpoint,
        )
        node.release_prefill_state(pending)
        node.requests[0] = pending
        pending.attempt_count = 1
        await node.attempt_runner.run(pending, endpoint, 0)
        await wait_until(lambda: not open_calls and not node.releases_in_progress)
        assert pending.possible_prefill_endpoint is endpoint and pending.prefill_endpoint is endpoint


async def test_a_state_is_released_in_time_when_no_decode_engine_can_be_connected_to(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def delayed_connect(address: tuple[str, int], source: str | None) -> TcpConnection:
        if any(engine.port == address[1] for name, engine in platform.engines.items() if name != "r"):
            await asyncio.sleep(WAIT_TIMEOUT)  # as if its packets were dropped
        return await connect(address, source)

    platform = Platform(tmp_path, {"r": "prefill"} | {f"w{index}": "decode" for index in range(6)})
    monkeypatch.setattr("runspool.engines.connection_pool.connect", delayed_connect)
    # Long enough that no further prefill starts before the state is released.
    monkeypatch.setattr("runspool.scheduling.admission.SELECTION_INTERVAL", 20_000)
    async with platform.open_in_process() as server:
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: len(platform.release_calls("q1")) == 1)
        # The state must be released within 300 ms, and each connection times out after 250 ms.
        assert 1 <= server.executor.counts["attempt_connect_failed"] <= 2


async def test_a_prefill_waits_for_a_release_no_longer_than_its_request_can_still_be_answered(
    tmp_path: Path,
) -> None:
    async with Platform(tmp_path, PAIR).open_in_process() as server:
        node = server.executor
        endpoint = next(endpoint for endpoint in node.endpoints.values() if endpoint.name == "r")
        waits: list[float] = []

        async def record_wait(request: str, seconds: float) -> None:
            waits.append(seconds)

        node.state_releaser.wait_until_done = record_wait  # type: ignore[method-assign]
        pending = PendingNodeRequest(
            0, "q1", 0, now() + ms_to_tenths(40), cast(Any, None), client_request=cast(Any, None)
        )
        left = node.deadline_guard.attempt_deadline(pending) - now()
        await node.before_attempt(pending, endpoint)
        assert waits[0] <= left / TENTHS_PER_SECOND


async def test_a_release_is_confirmed_by_engines_that_answer_after_its_timeout(tmp_path: Path) -> None:
    # Each call was given up before its response arrived, and repeated forever.
    async with Platform(tmp_path, PAIR).open_in_process() as server:
        node = server.executor
        releaser = node.state_releaser
        calls = 0

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            nonlocal calls
            calls += 1
            with anyio.move_on_after(limit / TENTHS_PER_SECOND):
                await asyncio.sleep(4 * releaser.timeout / TENTHS_PER_SECOND)
                return None
            return FailureCause.TIMED_OUT_BEFORE_RESPONSE

        node.engine_client.release_state = release  # type: ignore[method-assign]
        node.release_prefill_state(_with_prefill_at(node, "r"))
        await wait_until(lambda: node.releases_in_progress)
        await wait_until(lambda: not node.releases_in_progress)
        assert calls < 100


async def test_a_release_reaches_engines_that_take_longer_to_connect_than_an_attempt_allows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def late_connect(address: tuple[str, int], source: str | None) -> TcpConnection:
        if address[1] in {engine.port for engine in platform.engines.values()}:
            await asyncio.sleep(0.8)
        return await connect(address, source)

    platform = Platform(tmp_path, PAIR)
    monkeypatch.setattr("runspool.engines.connection_pool.connect", late_connect)
    async with platform.open_in_process() as server:
        server.executor.release_prefill_state(_with_prefill_at(server.executor, "r"))
        await platform.wait_until(lambda: bool(platform.release_calls("q1")))


def _with_prefill_at(node: NodeExecutor, engine: str) -> PendingNodeRequest:
    endpoint = next(endpoint for endpoint in node.endpoints.values() if endpoint.name == engine)
    return PendingNodeRequest(
        0, "q1", 0, 0, cast(Any, None), client_request=cast(Any, None), prefill_endpoint=endpoint
    )


async def count_release_calls(releases: int, seconds: float, wait: bool, failure: FailureCause) -> int:
    """Release states while all 18 engines fail, and return the number of calls.

    Each call fails after its time limit with `wait`, and otherwise immediately.
    """
    calls = 0

    class FailingEngines:
        async def release_state(self, address: Address, request: str, limit: int) -> FailureCause | None:
            nonlocal calls
            calls += 1
            await anyio.sleep(limit / TENTHS_PER_SECOND if wait else 0)
            return failure

    engines = [Endpoint(index, f"w{index}", ("127.0.0.1", index), Role.DECODE, 0) for index in range(18)]
    releaser = StateReleaser(FailingEngines(), ms_to_tenths(300), lambda: engines, lambda change: None)
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(releaser.run)
            for index in range(releases):
                release = PendingRelease(f"q{index}", engines[index % 18], lambda: None, lambda: False)
                tasks.start_soon(releaser.release, release)
    return calls


async def test_release_calls_to_engines_that_all_hang_are_bounded() -> None:
    # Each release called every engine, round after round: a node made 43 calls per second in such an outage.
    calls = await count_release_calls(20, 3.0, True, FailureCause.TIMED_OUT_BEFORE_RESPONSE)
    assert calls <= 20 + BURST_SIZE + int(3.0 / REFILL_INTERVAL) + 1 + MAX_LONG_CALLS


@pytest.mark.parametrize(
    "failure",
    [
        FailureCause.CONNECT_FAILED,
        FailureCause.CONNECTION_LIMIT_REACHED,
        FailureCause.CLOSED_BEFORE_RESPONSE,
    ],
)
async def test_a_release_calls_every_engine_where_failed_calls_leave_no_response_to_read(
    failure: FailureCause,
) -> None:
    # With any of these causes, no response can still arrive. If such calls counted against the limit of
    # unanswered calls, a node at its connection limit would have used it up.
    assert await count_release_calls(20, 0.5, False, failure) >= 20 * 18
