"""A node with a long endpoint list, a port still in use, a half-written file or failing system calls."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from runspool.node import server as node_server
from runspool.scheduling.types import EngineState
from runspool.transport import tcp
from tests.fault_proxy import HOST, FaultProxy
from tests.node_platform.client import post
from tests.node_platform.http_messages import WAIT_TIMEOUT
from tests.node_platform.platform import Platform
from tests.node_platform.ports import free_port

pytestmark = pytest.mark.anyio
ENGINES = {"r": "prefill", "w": "decode"}  # type by engine name
DRAINING_ENGINES = 3_200  # number of draining engines on the list
AFTER = "after="  # query parameter of a call that asks for the changes since a version of the list


class LargePlatform(Platform):
    """A platform that lists thousands of draining engines, with its agent behind a proxy that can slow it."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, ENGINES)
        self.proxy = FaultProxy(lambda: self.real_agent_port)
        self.real_agent_port = 0

    def endpoint_list_json(self, snapshot: bool = True) -> bytes:
        message = json.loads(super().endpoint_list_json(snapshot))
        if snapshot:
            message["endpoints"] += [
                {
                    "name": f"s-{number:08x}",
                    "address": f"10.1.{number >> 8}.{number & 255}:8080",
                    "zone": "ab"[number % 2],
                    "type": "decode",
                    "group": number // 12,
                    "status": "leaving",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for number in range(DRAINING_ENGINES)
            ]
        return json.dumps(message).encode()

    @asynccontextmanager
    async def run_agent(self) -> AsyncIterator[int]:
        async with super().run_agent() as self.real_agent_port:
            await self.proxy.start()
            try:
                yield self.proxy.port
            finally:
                await self.proxy.close()


async def test_list_of_thousands_arrives_from_a_slow_agent(tmp_path: Path) -> None:
    """The transfer takes longer than the timeout of a single read and the timeout for a silent agent."""
    platform = LargePlatform(tmp_path)
    assert len(platform.endpoint_list_json()) > 400_000
    platform.proxy.from_engine.chunk_size, platform.proxy.from_engine.delay = 16_384, 0.03
    async with platform.open():
        platform.publish_states(r="leaving")
        await platform.wait_for_log_event("endpoint_list_changed")
        snapshots = [target for target in platform.list_requests if AFTER not in target]
        assert len(snapshots) <= 6  # with a new call every 0.1 s, the calls would slow each other down
        platform.publish_states(r="active")
        assert (await platform.send_request(post("q1"))).complete


async def test_list_is_requested_again_from_an_agent_that_falls_silent_in_the_middle(tmp_path: Path) -> None:
    platform = LargePlatform(tmp_path)
    platform.proxy.from_engine.silent_after = 200_000
    async with platform.open_in_process(wait=False) as server:
        await platform.wait_until(lambda: len(platform.list_requests) > 2)
        platform.proxy.from_engine.silent_after = None
        await platform.wait_until(lambda: any(AFTER in target for target in platform.list_requests))
        assert server.executor.engine_records["s-00000001"].state == EngineState.DRAINING


async def test_start_waits_for_a_port_that_is_still_in_use(tmp_path: Path) -> None:
    """The previous process, or an outgoing connection of another process, may still use the port."""
    platform = Platform(tmp_path, ENGINES)
    async with platform.running_peers():
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen()
            platform.port = int(listener.getsockname()[1])
            process = await start_node(platform)
            await asyncio.sleep(1.0)
            assert process.returncode is None
        await platform.wait_until_accepting_connections()
        assert (await platform.send_request(post("q1"))).complete
        process.terminate()
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT) == 0


async def test_start_reads_a_half_written_configuration_again(tmp_path: Path) -> None:
    platform = Platform(tmp_path, ENGINES)
    async with platform.running_peers():
        platform.port = free_port()
        file = platform.write_config()
        complete = file.read_bytes()
        file.write_bytes(complete[:200])
        process = await start_node(platform, write_config=False)
        await asyncio.sleep(0.8)
        file.write_bytes(complete)
        await platform.wait_until_accepting_connections()
        assert (await platform.send_request(post("q1"))).complete
        process.terminate()
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT) == 0


async def start_node(platform: Platform, write_config: bool = True) -> asyncio.subprocess.Process:
    """Start a node's process on the platform's configuration."""
    file = platform.write_config() if write_config else platform.folder / "config.json"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "runspool.node",
        stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(file)},
    )


ACCEPT_ERRORS = [
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


def error_of(fault: str) -> Exception:
    """Return an OSError with the errno of this name, or a RuntimeError."""
    if fault == "RuntimeError":
        return RuntimeError("error in the event loop")
    return OSError(getattr(errno, fault), fault)


@pytest.mark.parametrize("fault", [*map(errno.errorcode.__getitem__, ACCEPT_ERRORS), "RuntimeError"])
async def test_failing_accept_neither_ends_the_node_nor_delays_requests(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    failures = 20

    async def fail(listener: socket.socket) -> socket.socket:
        nonlocal failures
        accepted = await accept_socket(listener)
        if failures:
            failures -= 1
            accepted.close()
            raise error_of(fault)
        return accepted

    accept_socket = tcp.accept_socket
    async with platform.open_in_process() as server:
        monkeypatch.setattr(tcp, "accept_socket", fail)
        await connect_until(platform, lambda: not failures)
        assert (await platform.send_request(post("q1"))).complete
        assert not platform.node_task.done() and server.port == platform.port


async def connect_until(platform: Platform, condition: Callable[[], bool]) -> None:
    """Send requests on connections that are closed at once, until a condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            client = await platform.client()
            client.send(post("x"))
            with suppress(OSError):
                await client.reader.read(1)
            client.close()


CONNECT_ERRORS = [
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


@pytest.mark.parametrize("fault", [*map(errno.errorcode.__getitem__, CONNECT_ERRORS), "RuntimeError"])
async def test_failed_connect_counts_as_not_executed_whatever_the_reason(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    failed = False

    async def fail_once(address: tuple[str, int], source: str | None) -> tcp.TcpConnection:
        nonlocal failed
        if address[1] == platform.engines["w"].port and not failed:
            failed = True
            raise error_of(fault)
        return await connect(address, source)

    connect = tcp.connect
    async with platform.open_in_process():
        monkeypatch.setattr("runspool.engines.connection_pool.connect", fail_once)
        answer = await platform.send_request(post("q1", "book"))  # a request that must not execute twice
        assert failed and answer.complete and answer.status == 200


async def test_background_task_that_keeps_failing_is_restarted_with_a_delay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform = Platform(tmp_path, ENGINES)
    failures = 0

    async def fail() -> None:
        nonlocal failures
        failures += 1
        raise RuntimeError("a lasting fault")

    async with platform.open_in_process() as server:
        task = asyncio.ensure_future(server._run_with_restarts(fail))
        await asyncio.sleep(1.0)
        assert 3 <= failures <= 10
        assert (await platform.send_request(post("q1"))).complete
        task.cancel()
    assert node_server.RESTART_DELAY_SECONDS < node_server.MAX_RESTART_DELAY_SECONDS
