"""A stopping node ends or moves all requests that it has accepted before it may be killed.

The shutdown found the streams to move in the records of their engines. When the endpoint list reported that
an engine had restarted or changed its role, a new and empty record replaced the old one, so the shutdown no
longer saw the engine's streams. The request terminator, the last resort after the scheduler's decisions,
skipped all streams that had started.

Under fault injection, nodes accepted requests 0.9 to 2.2 s after SIGTERM and streamed the responses from
engines that had just restarted; the list reported the restarts one to two seconds later. At SIGKILL, 3.75 s
after SIGTERM, ten streams were open and had no `request_ended`, all at engines that the change named. None
of the 13 streams that were moved (`"reason":"moved"`) ran at such an engine. With the faulty code, a stream,
whether it sent events or was silent, ended 2.2 s after SIGTERM if the list did not change, and was still open
after 3.7 s if the list named its engine with a later start.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine, Generator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from runspool.node import graceful_shutdown
from runspool.node.executor import NodeExecutor
from runspool.node.state_releaser import REPEAT_DELAYS
from runspool.scheduling import scheduler
from runspool.scheduling.actions import Action, Sleep
from tests.fault_proxy import HOST
from tests.node_platform.client import post
from tests.node_platform.engine import never_responds, streams_until
from tests.node_platform.http_messages import EVENTS, STREAM_HEAD, WAIT_TIMEOUT, ReceivedRequest, chunked
from tests.node_platform.inspection import settings_with_deadline, wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
ENGINES = {"r": "prefill", "w": "decode"}
KILL_DELAY = 0.7  # seconds from the longest deadline, limited to 3 s, to the earliest SIGKILL
LATE_REQUEST_AFTER = 0.9  # seconds after SIGTERM at which the node still accepts requests
EVENT_INTERVAL = 0.1  # seconds between two events of an endless stream


async def streams_without_end(request: ReceivedRequest) -> None:
    """Send events until the node closes the connection."""
    await request.send(STREAM_HEAD)
    with suppress(OSError):
        while True:
            await request.send(chunked(EVENTS[0]))
            await asyncio.sleep(EVENT_INTERVAL)


def platform_with(tmp_path: Path, deadline_ms: int) -> Platform:
    """Return a platform whose longest request deadline is `deadline_ms`."""
    platform = Platform(tmp_path, ENGINES)
    platform.settings = settings_with_deadline(deadline_ms)
    return platform


class ScheduledKill:
    """Sends SIGTERM when it is created, and SIGKILL at the earliest time allowed to the platform.

    This is KILL_DELAY after the longest deadline, which is limited to 3 s.
    """

    def __init__(self, platform: Platform, deadline_ms: int) -> None:
        self.is_sent = False
        platform.signal(signal.SIGTERM)
        delay = min(3.0, deadline_ms / 1000) + KILL_DELAY
        asyncio.get_running_loop().call_later(delay, self._send, platform)

    def _send(self, platform: Platform) -> None:
        self.is_sent = True
        if platform.process.returncode is None:
            platform.signal(signal.SIGKILL)

    async def awaits_first(self, end: Awaitable[object]) -> bool:
        """Wait for `end`; return whether it came before SIGKILL was sent."""
        await end
        return not self.is_sent


async def running_stream(platform: Platform) -> Coroutine[Any, Any, object]:
    """Start an endless stream and return an awaitable for its end."""
    platform.engines["w"].scripts = [streams_without_end]
    client = await platform.client()
    client.send(post("q1"))
    return client.read_body(await client.read_head())


async def wait_until_list_is_adopted(platform: Platform) -> None:
    """Wait until the node has adopted the current list, as shown by its watch for the next version."""
    await platform.wait_until(
        lambda: any(f"after={platform.version}&" in target for target in platform.list_requests)
    )


async def test_a_stream_accepted_after_sigterm_is_moved_after_its_engine_is_listed_as_restarted(
    tmp_path: Path,
) -> None:
    async with platform_with(tmp_path, 6_000).open() as platform:
        idle_client = await platform.client()
        idle_client.send(post("q0"))
        assert (await idle_client.read_response()).complete
        kill = ScheduledKill(platform, 6_000)
        await asyncio.sleep(LATE_REQUEST_AFTER)
        platform.engines["w"].scripts = [streams_without_end]
        idle_client.send(post("q1"))
        head = await idle_client.read_head()
        platform.publish_restart("w")
        assert await kill.awaits_first(idle_client.read_body(head))
        await platform.process.wait()
        assert b'"decision":"moved"' in platform.log
        assert b'"event":"engine_replaced"' in platform.log


async def engine_restarted(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.publish_restart("w")
    await wait_until_list_is_adopted(platform)
    return end


async def engine_restarted_twice(platform: Platform) -> Awaitable[object]:
    end = await engine_restarted(platform)
    platform.publish_restart("w")
    await wait_until_list_is_adopted(platform)
    return end


async def engine_type_changed(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.publish_kind("w", "mixed")
    await wait_until_list_is_adopted(platform)
    return end


async def engine_type_changed_and_back(platform: Platform) -> Awaitable[object]:
    end = await engine_type_changed(platform)
    platform.publish_kind("w", "decode")
    await wait_until_list_is_adopted(platform)
    return end


async def engine_becomes_prefill(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.publish_kind("w", "prefill")
    await wait_until_list_is_adopted(platform)
    return end


async def engine_left_and_back(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.publish_states(w="left")
    await wait_until_list_is_adopted(platform)
    platform.publish_restart("w")
    await wait_until_list_is_adopted(platform)
    return end


async def partial_head(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1")[:50])
    return client.read_to_close()


async def partial_body(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1")[:-10])
    return client.read_to_close()


async def request_before_the_first_list(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1", req_deadline="300m"))
    return client.read_to_close()


STREAMS = [
    engine_restarted,
    engine_restarted_twice,
    engine_type_changed,
    engine_type_changed_and_back,
    engine_becomes_prefill,
    engine_left_and_back,
]
OPEN_WORK = [
    *[pytest.param(begin, 1_500, id=begin.__name__) for begin in STREAMS],
    *[pytest.param(begin, 1_000, id=begin.__name__) for begin in (partial_head, partial_body)],
    pytest.param(request_before_the_first_list, 300, id="request_before_the_first_list"),
]


@pytest.mark.parametrize(("begin", "deadline_ms"), OPEN_WORK)
async def test_everything_a_stopping_node_has_accepted_ends_before_the_kill(
    begin: Callable[[Platform], Awaitable[Awaitable[object]]], deadline_ms: int, tmp_path: Path
) -> None:
    platform = platform_with(tmp_path, deadline_ms)
    is_listed = begin is not request_before_the_first_list
    if not is_listed:
        platform.list_gate.clear()
    async with platform.open(ready=is_listed):
        end = await begin(platform)
        assert await ScheduledKill(platform, deadline_ms).awaits_first(end)


def decide_nothing(front: object, deadline: int) -> Generator[Action, Any, None]:
    """Replace the scheduler's shutdown decisions by ones that move no stream."""
    yield Sleep(1 << 60)


def fail(front: object, deadline: int) -> Generator[Action, Any, None]:
    """Replace the scheduler's shutdown decisions by ones that fail immediately."""
    raise LookupError("a fault in a decision")
    yield


@pytest.mark.parametrize("decisions", [decide_nothing, fail])
async def test_a_stream_that_the_scheduler_leaves_open_is_ended_before_the_kill(
    decisions: Callable[..., Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduler, "migrate_before_shutdown", decisions)
    # The kill comes 0.8 s after SIGTERM.
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)
    platform = platform_with(tmp_path, 6_000)
    async with platform.open_in_process() as server:
        end = asyncio.ensure_future(await running_stream(platform))
        server.stop()
        await asyncio.wait([end], timeout=0.8)
        assert end.done()


async def test_a_stream_that_cannot_be_resumed_may_finish_after_the_shutdown_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)
    monkeypatch.setattr(graceful_shutdown, "MIN_ACCEPT_DURATION", 1_000)
    platform = platform_with(tmp_path, 6_000)
    platform.settings["family-info"]["resume"] = False
    proceed = asyncio.Event()
    async with platform.open_in_process() as server:
        platform.engines["w"].scripts = [streams_until(proceed)]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        server.stop()
        await wait_until(lambda: any(pending.left_open for pending in server.executor.requests.values()))
        proceed.set()
        assert (await client.read_body(response)).complete
        await asyncio.wait_for(platform.node_task, WAIT_TIMEOUT)
        assert not server.executor.invariants.counts


@pytest.mark.parametrize("held", ["port", "configuration"])
async def test_a_node_told_to_stop_before_it_listens_ends_at_once(held: str, tmp_path: Path) -> None:
    platform = platform_with(tmp_path, 6_000)
    async with await asyncio.start_server(lambda reader, writer: None, HOST, 0) as occupant:
        platform.port = occupant.sockets[0].getsockname()[1]
        file = platform.write_config(known={"index": 1, "snapshot": True, "endpoints": []}, discovery="a:1")
        if held == "configuration":
            file.unlink()
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "runspool.node"), env=os.environ | {"BALANCER_CONFIG": str(file)}
        )
        try:
            await wait_until(lambda: catches_sigterm(process.pid))
            process.terminate()
            async with asyncio.timeout(
                2.5
            ):  # without SIGTERM, the node would wait 20 s for the port and 3 s for the file
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def catches_sigterm(pid: int) -> bool:
    """Return whether a process has installed a handler for SIGTERM."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    caught = next(line for line in lines if line.startswith("SigCgt"))
    return bool(int(caught.split()[1], 16) & 1 << (signal.SIGTERM - 1))


async def test_a_pipelined_request_read_after_accepting_has_ended_is_answered(tmp_path: Path) -> None:
    platform, proceed = platform_with(tmp_path, 6_000), asyncio.Event()
    async with platform.open_in_process() as server:
        platform.engines["w"].scripts = [streams_until(proceed)]
        client = await platform.client()
        client.send(post("q1") + post("q2"))
        response = await client.read_head()
        server.executor.closing = True
        proceed.set()
        assert (await client.read_body(response)).complete
        assert (await client.read_response()).status == 503


async def test_a_request_that_its_scheduler_forgets_unanswered_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(NodeExecutor, "fail_indeterminate", lambda executor, request: None)
    platform = platform_with(tmp_path, 6_000)
    async with platform.open_in_process() as server:
        response = await platform.send_request(post("q1", req_extra="prompt_len=280000,max_out=40"))
        assert response.status == 500
        assert server.executor.invariants.counts == {"closed_unanswered": 1}


async def test_a_release_is_repeated_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first call may find the attempt still waiting at its engine, which then keeps the state for it."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)
    platform = platform_with(tmp_path, 6_000)
    platform.settings["family-info"]["release-within-us"] = 5_000_000  # no release is due before the shutdown
    platform.engines["w"].scripts = [never_responds]
    async with platform.open_in_process() as server:
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) == 1)
        server.stop()
        assert (await client.read_response()).status == 500
        await asyncio.wait_for(platform.node_task, WAIT_TIMEOUT)
        assert len(platform.release_calls("q1")) == 1 + len(REPEAT_DELAYS)
