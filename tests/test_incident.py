"""Incident 1: what was written is not what has arrived. Real nodes on loopback, faults by a proxy.

docs/incidents/incident-1.md has the evidence and the candidates.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from runspool.transport.tcp import TcpConnection, connect
from tests.node_platform.client import post
from tests.node_platform.engine import Script, never_responds, responds
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    PREFILL_RESPONSE,
    WAIT,
    ReceivedRequest,
    http_response,
)
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}
GRANTED = 0.3  # seconds that the settings grant for letting go
SLACK = 0.3  # more on sockets


class Stopwatch:
    """When something was first seen, in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.at = 0.0

    def stop(self) -> None:
        self.at = self.at or time.monotonic()


def reads(watch: Stopwatch) -> Script:
    async def script(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        watch.stop()

    return script


async def let_go_within(platform: Platform, name: str, since: Stopwatch) -> float:
    """Seconds from the read's end to the first call that lets go, which must come."""
    await platform.until(lambda: bool(platform.release_calls(name)))
    return time.monotonic() - since.at


@pytest.mark.parametrize("effect", ["ask", "book"])
@pytest.mark.parametrize("connection", ["fresh", "used"])
async def test_a_state_is_let_go_while_its_write_has_not_arrived(
    effect: str, connection: str, tmp_path: Path
) -> None:
    """The writer's kernel takes connection and bytes, and nothing reaches its process."""
    platform = Platform(tmp_path, PAIR)
    proxy = platform.engines["w"].behind_proxy()
    async with platform.open():
        if connection == "used":
            assert (await platform.ask(post("q0"))).complete
        proxy.silence()
        read = Stopwatch()
        platform.engines["r"].scripts = [reads(read)]
        client = await platform.client()
        client.send(post("q1", effect))
        assert await let_go_within(platform, "q1", read) < GRANTED + SLACK
        assert [shot.engine for shot in platform.attempts("q1")] == [
            "r"
        ]  # the write is out and has not arrived


async def test_what_a_lost_read_left_is_let_go_while_the_next_has_not_arrived(tmp_path: Path) -> None:
    lost = Stopwatch()

    async def reads_and_is_lost(request: ReceivedRequest) -> None:
        lost.stop()
        request.reset()

    platform = Platform(tmp_path, {"r": "prefill", "s": "prefill", "w": "decode"})
    proxies = {name: platform.engines[name].behind_proxy() for name in "rs"}

    async def lost_at(name: str, request: ReceivedRequest) -> None:
        proxies["s" if name == "r" else "r"].silence()
        await reads_and_is_lost(request)

    async with platform.open():
        for name in "rs":
            platform.engines[name].scripts = [lambda request, name=name: lost_at(name, request)]  # type: ignore[misc]
        client = await platform.client()
        client.send(post("q1"))
        assert await let_go_within(platform, "q1", lost) < GRANTED + SLACK


async def test_a_state_is_let_go_once_the_network_is_back_however_long_it_was_away(tmp_path: Path) -> None:
    """No engine can be reached for longer than all calls to let go may take; none may be given up."""
    platform = Platform(tmp_path, PAIR)
    proxies = [engine.behind_proxy() for engine in platform.engines.values()]

    async def reads_then_silence(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        for proxy in proxies:
            proxy.silence()

    async with platform.open():
        platform.engines["r"].scripts = [reads_then_silence]
        client = await platform.client()
        client.send(post("q1", req_deadline="500m"))
        await asyncio.sleep(2.0)  # the answer's time and that of every call are over
        for proxy in proxies:
            proxy.reset()
            proxy.heal()
        await platform.until(lambda: bool(platform.release_calls("q1")))


async def test_a_slow_write_that_arrived_keeps_its_state_and_is_served_by_one_read(tmp_path: Path) -> None:
    """The call that lets go finds an attempt waiting for the state, and takes nothing from it."""
    platform = Platform(tmp_path, PAIR)
    async with platform.open():
        go = asyncio.Event()
        platform.engines["w"].scripts = [responds(COMPLETE_STREAM, go)]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1", "decode")) == 1)
        await asyncio.sleep(GRANTED + SLACK)
        go.set()
        assert (await client.read_response()).complete
        assert [shot.engine for shot in platform.attempts("q1")] == ["r", "w"]


@pytest.mark.parametrize("effect", ["ask", "book"])
async def test_a_write_that_arrives_after_its_state_went_is_read_again(effect: str, tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    proxy = platform.engines["w"].behind_proxy()
    async with platform.open():
        proxy.silence()
        platform.engines["w"].scripts = [responds(http_response(410, b"", b"Srv-Declined: 1"))]
        client = await platform.client()
        client.send(post("q1", effect))
        await platform.until(lambda: bool(platform.release_calls("q1")))
        proxy.heal()
        assert (await client.read_response()).complete
        assert [shot.engine for shot in platform.attempts("q1")] == ["r", "w", "r", "w"]


async def test_the_time_told_to_an_engine_is_what_is_left_when_it_is_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection that took long to come up has taken its time from the client's."""

    async def dials(address: tuple[str, int], source: str | None) -> TcpConnection:
        await asyncio.sleep(0.22)
        return await connect(address, source)

    platform = Platform(tmp_path, PAIR)
    async with platform.inside():
        monkeypatch.setattr("runspool.engines.connection_pool.connect", dials)
        client = await platform.client()
        sent = time.monotonic()
        client.send(post("q1", "book", req_deadline="2000m"))
        await platform.until(lambda: len(platform.attempts("q1", "decode")) == 1)
        left = 2.0 - (time.monotonic() - sent)
        (write,) = platform.attempts("q1", "decode")
        assert left - 0.2 < int(write.headers["req-deadline"].removesuffix("u")) / 1e6 < left + 0.1
        assert (await asyncio.wait_for(client.read_response(), WAIT)).complete


async def test_what_an_attempt_took_up_from_one_given_up_is_let_go_of_once_more(tmp_path: Path) -> None:
    """Its engine may have found the state that the call before it had left to the attempt given up (soak)."""
    platform = Platform(tmp_path, {"r": "prefill", "w": "decode", "m": "mixed"})
    for name in "wm":
        platform.engines[name].scripts = [never_responds] * 10
    async with platform.open():
        client = await platform.client()
        client.send(post("q1", req_deadline="1500m"))
        await platform.until(lambda: len(platform.attempts("q1", "decode")) >= 1)
        assert (await client.read_response()).status in (500, 503)
        last = platform.received.index(platform.attempts("q1")[-1])
        await platform.until(lambda: any(one.method == "DELETE" for one in platform.received[last + 1 :]))
