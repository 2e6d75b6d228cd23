"""Attempts that a node has written but that have not arrived at the engine (incident 1).

The tests run real nodes on loopback and inject faults through a proxy. docs/incidents/incident-1.md has the
evidence and the possible causes.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from pathlib import Path

import pytest

from runspool.transport.tcp import TcpConnection, connect
from tests.node_platform.client import post
from tests.node_platform.engine import Script, never_responds, responds
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    DECLINED,
    PREFILL_RESPONSE,
    WAIT_TIMEOUT,
    ReceivedRequest,
    http_response,
)
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}
RELEASE_GRANT = 0.3  # seconds within which the settings require a state to be released
SOCKET_SLACK = 0.3  # additional seconds allowed for real sockets and processes


class Stopwatch:
    """The time at which something first happened, in seconds of the monotonic clock; 0 before."""

    def __init__(self) -> None:
        self.at = 0.0

    def stop(self) -> None:
        """Store the current time; later calls have no effect."""
        self.at = self.at or time.monotonic()


def prefills(prefilled: Stopwatch) -> Script:
    """Return a script that completes a prefill and stops the stopwatch."""

    async def script(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        prefilled.stop()

    return script


async def seconds_until_release(platform: Platform, name: str, since: Stopwatch) -> float:
    """Wait for the first release call; return the seconds from `since` until it was seen."""
    await platform.wait_until(lambda: bool(platform.release_calls(name)))
    return time.monotonic() - since.at


@pytest.mark.parametrize("effect", ["ask", "book"])
@pytest.mark.parametrize("connection", ["fresh", "used"])
async def test_a_state_is_released_while_its_decode_attempt_has_not_arrived(
    effect: str, connection: str, tmp_path: Path
) -> None:
    """The decode engine's kernel accepts the connection and the bytes, but its process receives nothing."""
    platform = Platform(tmp_path, PAIR)
    proxy = platform.engines["w"].add_proxy()
    async with platform.open():
        if connection == "used":
            assert (await platform.send_request(post("q0"))).complete
        proxy.silence()
        prefilled = Stopwatch()
        platform.engines["r"].scripts = [prefills(prefilled)]
        client = await platform.client()
        client.send(post("q1", effect))
        assert await seconds_until_release(platform, "q1", prefilled) < RELEASE_GRANT + SOCKET_SLACK
        # The decode attempt is sent and has not arrived.
        assert [attempt.engine for attempt in platform.attempts("q1")] == ["r"]


async def test_the_state_of_a_lost_prefill_is_released_while_the_next_has_not_arrived(tmp_path: Path) -> None:
    lost = Stopwatch()
    platform = Platform(tmp_path, {"r": "prefill", "s": "prefill", "w": "decode"})
    proxies = {name: platform.engines[name].add_proxy() for name in "rs"}

    async def loses_prefill(name: str, request: ReceivedRequest) -> None:
        proxies["s" if name == "r" else "r"].silence()
        lost.stop()
        request.reset()

    async with platform.open():
        for name in "rs":
            platform.engines[name].scripts = [partial(loses_prefill, name)]
        client = await platform.client()
        client.send(post("q1"))
        assert await seconds_until_release(platform, "q1", lost) < RELEASE_GRANT + SOCKET_SLACK


async def test_a_state_is_released_after_a_network_outage_of_any_length(tmp_path: Path) -> None:
    """The outage outlasts the deadline and the timeout of every release call; the node must not give up."""
    platform = Platform(tmp_path, PAIR)
    proxies = [engine.add_proxy() for engine in platform.engines.values()]

    async def prefills_then_silences(request: ReceivedRequest) -> None:
        await request.send(PREFILL_RESPONSE)
        for proxy in proxies:
            proxy.silence()

    async with platform.open():
        platform.engines["r"].scripts = [prefills_then_silences]
        client = await platform.client()
        client.send(post("q1", req_deadline="500m"))
        await asyncio.sleep(2.0)  # the deadline and the timeout of every release call have passed
        for proxy in proxies:
            proxy.reset()
            proxy.end_silence()
        await platform.wait_until(lambda: bool(platform.release_calls("q1")))


async def test_a_slow_decode_attempt_that_arrived_keeps_its_state_and_needs_one_prefill(
    tmp_path: Path,
) -> None:
    """The release call finds an attempt that waits for the state, and leaves the state to it."""
    platform = Platform(tmp_path, PAIR)
    async with platform.open():
        proceed = asyncio.Event()
        platform.engines["w"].scripts = [responds(COMPLETE_STREAM, proceed)]
        client = await platform.client()
        client.send(post("q1"))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) == 1)
        await asyncio.sleep(RELEASE_GRANT + SOCKET_SLACK)
        proceed.set()
        assert (await client.read_response()).complete
        assert [attempt.engine for attempt in platform.attempts("q1")] == ["r", "w"]


@pytest.mark.parametrize("effect", ["ask", "book"])
async def test_a_decode_attempt_that_arrives_after_its_state_was_released_is_prefilled_again(
    effect: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, PAIR)
    proxy = platform.engines["w"].add_proxy()
    async with platform.open():
        proxy.silence()
        platform.engines["w"].scripts = [responds(http_response(410, b"", DECLINED))]
        client = await platform.client()
        client.send(post("q1", effect))
        await platform.wait_until(lambda: bool(platform.release_calls("q1")))
        proxy.end_silence()
        assert (await client.read_response()).complete
        assert [attempt.engine for attempt in platform.attempts("q1")] == ["r", "w", "r", "w"]


async def test_the_deadline_sent_to_an_engine_is_the_time_left_when_it_is_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection that is slow to open uses some of the client's time."""

    async def slow_connect(address: tuple[str, int], source: str | None) -> TcpConnection:
        await asyncio.sleep(0.22)
        return await connect(address, source)

    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process():
        monkeypatch.setattr("runspool.engines.connection_pool.connect", slow_connect)
        client = await platform.client()
        sent = time.monotonic()
        client.send(post("q1", "book", req_deadline="2000m"))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) == 1)
        seconds_left = 2.0 - (time.monotonic() - sent)
        (decode,) = platform.attempts("q1", "decode")
        deadline = int(decode.headers["req-deadline"].removesuffix("u")) / 1e6
        assert seconds_left - 0.2 < deadline < seconds_left + 0.1
        assert (await asyncio.wait_for(client.read_response(), WAIT_TIMEOUT)).complete


async def test_a_state_that_a_later_attempt_took_over_is_released_again(tmp_path: Path) -> None:
    """An earlier release may have left the state to an attempt that was given up since (found by a soak)."""
    platform = Platform(tmp_path, {"r": "prefill", "w": "decode", "m": "mixed"})
    for name in "wm":
        platform.engines[name].scripts = [never_responds] * 10
    async with platform.open():
        client = await platform.client()
        client.send(post("q1", req_deadline="1500m"))
        await platform.wait_until(lambda: len(platform.attempts("q1", "decode")) >= 1)
        assert (await client.read_response()).status in (500, 503)
        last = platform.received.index(platform.attempts("q1")[-1])
        await platform.wait_until(
            lambda: any(call.method == "DELETE" for call in platform.received[last + 1 :])
        )
