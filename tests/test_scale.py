"""Thousands of engines, hundreds of processes' worth of load: the list, the start, and calls that fail."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from runspool.node import server as node_running
from runspool.scheduling.types import EngineState
from runspool.transport import tcp as lines
from tests.fault_proxy import HOST, FaultProxy
from tests.node_platform.client import post
from tests.node_platform.http_messages import WAIT
from tests.node_platform.platform import Platform
from tests.node_platform.ports import free_port

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}
THOUSANDS = 3_200


class LargePlatform(Platform):
    """Two engines that serve among thousands that drain, and an agent that may be slow."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, PAIR)
        self.proxy = FaultProxy(lambda: self.real_agent_port)
        self.real_agent_port = 0

    def listed(self, snapshot: bool = True) -> bytes:
        told = json.loads(super().listed(snapshot))
        if snapshot:
            told["endpoints"] += [
                {
                    "name": f"s-{at:08x}",
                    "address": f"10.1.{at >> 8}.{at & 255}:8080",
                    "zone": "ab"[at % 2],
                    "type": "decode",
                    "group": at // 12,
                    "status": "leaving",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for at in range(THOUSANDS)
            ]
        return json.dumps(told).encode()

    @asynccontextmanager
    async def agent(self) -> AsyncIterator[int]:
        async with super().agent() as self.real_agent_port:
            await self.proxy.start()
            try:
                yield self.proxy.port
            finally:
                await self.proxy.close()


async def test_a_list_of_thousands_gets_through_from_a_slow_agent(tmp_path: Path) -> None:
    """It takes longer than any single wait for bytes, and than a silent agent is given."""
    platform = LargePlatform(tmp_path)
    assert len(platform.listed()) > 400_000
    platform.proxy.from_engine.piece, platform.proxy.from_engine.delay = 16_384, 0.03
    async with platform.open():
        platform.tell(r="leaving")
        await platform.logged("endpoint_list_changed")
        whole = [target for target in platform.lists if "after=" not in target]
        assert len(whole) <= 6  # not one every tenth of a second, each making the others slower
        platform.tell(r="active")
        assert (await platform.ask(post("q1"))).whole


async def test_an_agent_that_stops_in_the_middle_of_a_long_list_is_asked_anew(tmp_path: Path) -> None:
    platform = LargePlatform(tmp_path)
    platform.proxy.from_engine.silent_after = 200_000
    async with platform.inside(wait=False) as running:
        await platform.until(lambda: len(platform.lists) > 2)
        platform.proxy.from_engine.silent_after = None
        await platform.until(lambda: any("after=" in one for one in platform.lists))
        assert running.executor.engine_records["s-00000001"].state == EngineState.DRAINING


async def test_a_start_waits_for_a_port_that_is_still_held(tmp_path: Path) -> None:
    """By the process before it, or by a connection that went out from there."""
    platform = Platform(tmp_path, PAIR)
    async with platform._around():
        with socket.socket() as holder:
            holder.bind((HOST, 0))
            holder.listen()
            platform.port = int(holder.getsockname()[1])
            process = await started(platform)
            await asyncio.sleep(1.0)
            assert process.returncode is None
        await platform._answers()
        assert (await platform.ask(post("q1"))).whole
        process.terminate()
        assert await asyncio.wait_for(process.wait(), WAIT) == 0


async def test_a_start_looks_again_at_a_file_that_is_half_written(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform._around():
        platform.port = free_port()
        file = platform.write_config()
        written = file.read_bytes()
        file.write_bytes(written[:200])
        process = await started(platform, write=False)
        await asyncio.sleep(0.8)
        file.write_bytes(written)
        await platform._answers()
        assert (await platform.ask(post("q1"))).whole
        process.terminate()
        assert await asyncio.wait_for(process.wait(), WAIT) == 0


async def started(platform: Platform, write: bool = True) -> asyncio.subprocess.Process:
    file = platform.write_config() if write else platform.folder / "config.json"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "runspool.node",
        stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(file)},
    )


ACCEPT_FAULTS = [
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.EPERM,
    errno.ETIMEDOUT,
]


@pytest.mark.parametrize("fault", [*map(errno.errorcode.__getitem__, ACCEPT_FAULTS), "RuntimeError"])
async def test_an_accept_that_fails_ends_nothing_and_holds_nobody_up(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, PAIR)
    failures = 20

    async def fails(listening: socket.socket) -> socket.socket:
        nonlocal failures
        taken = await next_connection(listening)
        if failures:
            failures -= 1
            taken.close()
            raise (
                RuntimeError("of the loop")
                if fault == "RuntimeError"
                else OSError(getattr(errno, fault), fault)
            )
        return taken

    next_connection = lines.next_connection
    async with platform.inside() as running:
        monkeypatch.setattr(lines, "next_connection", fails)
        await refused_until(platform, lambda: not failures)
        assert (await platform.ask(post("q1"))).whole
        assert not platform.run.done() and running.port == platform.port


async def refused_until(platform: Platform, true: Any) -> None:
    async with asyncio.timeout(WAIT):
        while not true():
            client = await platform.client()
            client.send(post("x"))
            with suppress(OSError):
                await client.reader.read(1)
            client.close()


DIAL_FAULTS = [
    errno.ECONNREFUSED,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENOBUFS,
    errno.EMFILE,
    errno.ENFILE,
    errno.EINTR,
    errno.ECONNABORTED,
]


@pytest.mark.parametrize("fault", [*map(errno.errorcode.__getitem__, DIAL_FAULTS), "RuntimeError"])
async def test_a_connection_that_cannot_be_made_never_ran_whatever_the_reason(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, PAIR)
    failed = False

    async def fails(address: tuple[str, int], source: str | None) -> lines.TcpConnection:
        nonlocal failed
        if address[1] == platform.engines["w"].port and not failed:
            failed = True
            raise (
                RuntimeError("of the loop")
                if fault == "RuntimeError"
                else OSError(getattr(errno, fault), fault)
            )
        return await dial(address, source)

    dial = lines.connect
    async with platform.inside():
        monkeypatch.setattr("runspool.engines.connection_pool.connect", fails)
        answer = await platform.ask(post("q1", "book"))  # an effect that must not be had twice
        assert failed and answer.whole and answer.status == 200


async def test_a_standing_task_that_fails_again_and_again_does_not_fill_the_log(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, PAIR)
    failures = 0

    async def fails() -> None:
        nonlocal failures
        failures += 1
        raise RuntimeError("a fault that stays")

    async with platform.inside() as running:
        task = asyncio.ensure_future(running._keep_running(fails))
        await asyncio.sleep(1.0)
        assert 3 <= failures <= 10
        assert (await platform.ask(post("q1"))).whole
        task.cancel()
    assert node_running.RESTART_DELAY_SECONDS < node_running.MAX_RESTART_DELAY_SECONDS
