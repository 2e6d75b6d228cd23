"""A stopping node has nothing open that it owes when its kill may come.

Nodes under fault injection were told to stop while engines were restarted. Requests that they took 0.9 to
2.2 s after SIGTERM began to stream from engines that had just come back. One to two seconds later the list
said that these engines had been started anew. From then on the node moved other streams in time and logged it
(`"reason":"moved"`), but not these: SIGKILL came 3.75 s after SIGTERM and found ten of them open, with no
`request_ended` for any. All ten ran at engines that the change named, and none of 13 that were moved did.

The streams that a shutdown moves were looked up in the records of the engines where they ran. A change that
says an engine was started anew, or has another role, put a new and empty record in the place of the old one,
so the shutdown saw no stream there. Behind the decisions, the request terminator passed over all streams
that had begun. On the failed code a stream ended 2.2 s after SIGTERM where the list did not change, with
events or silent, and was open at 3.7 s where the list named its engine with a later start.
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
from tests.node_platform.http_messages import EVENTS, STREAM_HEAD, WAIT, ReceivedRequest, chunked
from tests.node_platform.inspection import settings_with_deadline, until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
ENGINES = {"r": "prefill", "w": "decode"}
KILL_DELAY = 0.7  # seconds from the longest deadline, counted as 3 s at most, to the earliest SIGKILL
ACCEPTED_LATE = 0.9  # seconds after SIGTERM, when the node still accepts requests
EVENT_INTERVAL = 0.1


async def streams_without_end(request: ReceivedRequest) -> None:
    """Send an event now and then until the node closes the connection."""
    await request.send(STREAM_HEAD)
    with suppress(OSError):
        while True:
            await request.send(chunked(EVENTS[0]))
            await asyncio.sleep(EVENT_INTERVAL)


def platform_with(tmp_path: Path, deadline_ms: int) -> Platform:
    """Return a platform whose kill comes `deadline_ms`, or 3 s, and KILL_DELAY after SIGTERM."""
    platform = Platform(tmp_path, ENGINES)
    platform.settings = settings_with_deadline(deadline_ms)
    return platform


class Kill:
    """SIGTERM now, and SIGKILL as early as the platform sends it."""

    def __init__(self, platform: Platform, deadline_ms: int) -> None:
        self.came = False
        platform.signal(signal.SIGTERM)
        delay = min(3.0, deadline_ms / 1000) + KILL_DELAY
        asyncio.get_running_loop().call_later(delay, self._send, platform)

    def _send(self, platform: Platform) -> None:
        self.came = True
        if platform.process.returncode is None:
            platform.signal(signal.SIGKILL)

    async def preceded_by(self, end: Awaitable[object]) -> bool:
        """Return whether the node came to this end by itself."""
        await end
        return not self.came


async def running_stream(platform: Platform) -> Coroutine[Any, Any, object]:
    """Begin a stream; returns the wait for its end."""
    platform.engines["w"].scripts = [streams_without_end]
    client = await platform.client()
    client.send(post("q1"))
    return client.read_body(await client.read_head())


async def taken_in(platform: Platform) -> None:
    """Wait until the node has the list as it is now, and watches for the next one."""
    await platform.until(lambda: any(f"after={platform.version}&" in target for target in platform.lists))


async def test_a_stream_taken_after_sigterm_is_moved_though_its_engine_is_then_listed_as_started_anew(
    tmp_path: Path,
) -> None:
    async with platform_with(tmp_path, 6_000).open() as platform:
        idle = await platform.client()
        idle.send(post("q0"))
        assert (await idle.read_response()).complete
        kill = Kill(platform, 6_000)
        await asyncio.sleep(ACCEPTED_LATE)
        platform.engines["w"].scripts = [streams_without_end]
        idle.send(post("q1"))
        head = await idle.read_head()
        platform.tell_started_anew("w")
        assert await kill.preceded_by(idle.read_body(head))
        await platform.process.wait()
        assert b'"decision":"moved"' in platform.log
        assert b'"event":"engine_replaced"' in platform.log


async def started_anew(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.tell_started_anew("w")
    await taken_in(platform)
    return end


async def started_anew_twice(platform: Platform) -> Awaitable[object]:
    end = await started_anew(platform)
    platform.tell_started_anew("w")
    await taken_in(platform)
    return end


async def another_kind(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.tell_kind("w", "mixed")
    await taken_in(platform)
    return end


async def another_kind_and_back(platform: Platform) -> Awaitable[object]:
    end = await another_kind(platform)
    platform.tell_kind("w", "decode")
    await taken_in(platform)
    return end


async def prefills_only(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.tell_kind("w", "prefill")
    await taken_in(platform)
    return end


async def left_and_back(platform: Platform) -> Awaitable[object]:
    end = await running_stream(platform)
    platform.tell(w="left")
    await taken_in(platform)
    platform.tell_started_anew("w")
    await taken_in(platform)
    return end


async def half_a_head(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1")[:50])
    return client.read_to_close()


async def half_a_body(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1")[:-10])
    return client.read_to_close()


async def request_before_the_first_list(platform: Platform) -> Awaitable[object]:
    client = await platform.client()
    client.send(post("q1", req_deadline="300m"))
    return client.read_to_close()


STREAMS = [
    started_anew,
    started_anew_twice,
    another_kind,
    another_kind_and_back,
    prefills_only,
    left_and_back,
]
OWED = [
    *[pytest.param(begin, 1_500, id=begin.__name__) for begin in STREAMS],
    *[pytest.param(begin, 1_000, id=begin.__name__) for begin in (half_a_head, half_a_body)],
    pytest.param(request_before_the_first_list, 300, id="request_before_the_first_list"),
]


@pytest.mark.parametrize(("begin", "deadline_ms"), OWED)
async def test_what_a_stopping_node_has_taken_ends_before_the_kill(
    begin: Callable[[Platform], Awaitable[Awaitable[object]]], deadline_ms: int, tmp_path: Path
) -> None:
    platform = platform_with(tmp_path, deadline_ms)
    is_listed = begin is not request_before_the_first_list
    if not is_listed:
        platform.list_gate.clear()
    async with platform.open(ready=is_listed):
        end = await begin(platform)
        assert await Kill(platform, deadline_ms).preceded_by(end)


def decide_nothing(front: object, deadline: int) -> Generator[Action, Any, None]:
    """Move no stream."""
    yield Sleep(1 << 60)


def fail(front: object, deadline: int) -> Generator[Action, Any, None]:
    """Fail at once."""
    raise LookupError("a fault in a decision")
    yield


@pytest.mark.parametrize("decisions", [decide_nothing, fail])
async def test_a_stream_that_decisions_leave_open_is_ended_before_the_kill(
    decisions: Callable[..., Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduler, "migrate_before_shutdown", decisions)
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)  # the kill comes at 0.8 s
    platform = platform_with(tmp_path, 6_000)
    async with platform.inside() as running:
        end = asyncio.ensure_future(await running_stream(platform))
        running.stop()
        await asyncio.wait([end], timeout=0.8)
        assert end.done()


async def test_a_stream_that_cannot_be_resumed_runs_to_its_end_past_the_last_resort(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)
    monkeypatch.setattr(graceful_shutdown, "MIN_ACCEPT_DURATION", 1_000)
    platform = platform_with(tmp_path, 6_000)
    platform.settings["family-info"]["resume"] = False
    proceed = asyncio.Event()
    async with platform.inside() as running:
        platform.engines["w"].scripts = [streams_until(proceed)]
        client = await platform.client()
        client.send(post("q1"))
        response = await client.read_head()
        running.stop()
        await until(lambda: any(pending.left_open for pending in running.executor.requests.values()))
        proceed.set()
        assert (await client.read_body(response)).complete
        await asyncio.wait_for(platform.run, WAIT)
        assert not running.executor.invariants.counts


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
            await until(lambda: catches_sigterm(process.pid))
            process.terminate()
            async with asyncio.timeout(2.5):  # the port is waited for 20 s, the configuration 3 s
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


async def test_a_request_read_behind_the_last_response_of_a_connection_is_answered(tmp_path: Path) -> None:
    platform, proceed = platform_with(tmp_path, 6_000), asyncio.Event()
    async with platform.inside() as running:
        platform.engines["w"].scripts = [streams_until(proceed)]
        client = await platform.client()
        client.send(post("q1") + post("q2"))
        response = await client.read_head()
        running.executor.closing = True
        proceed.set()
        assert (await client.read_body(response)).complete
        assert (await client.read_response()).status == 503


async def test_a_request_that_its_scheduler_forgets_unanswered_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(NodeExecutor, "fail_indeterminate", lambda executor, request: None)
    platform = platform_with(tmp_path, 6_000)
    async with platform.inside() as running:
        response = await platform.ask(post("q1", req_extra="prompt_len=280000,max_out=40"))
        assert response.status == 500
        assert running.executor.invariants.counts == {"closed_unanswered": 1}


async def test_a_release_is_repeated_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first call may find the attempt still waiting at its engine, and leave the state to it."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_ALLOWANCE", 1_000)
    platform = platform_with(tmp_path, 6_000)
    platform.settings["family-info"]["release-within-us"] = 5_000_000  # none is due by itself
    platform.engines["w"].scripts = [never_responds]
    async with platform.inside() as running:
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1", "decode")) == 1)
        running.stop()
        assert (await client.read_response()).status == 500
        await asyncio.wait_for(platform.run, WAIT)
        assert len(platform.release_calls("q1")) == 1 + len(REPEAT_DELAYS)
