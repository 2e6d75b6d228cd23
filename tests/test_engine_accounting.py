"""A node's accounting of attempts and load, compared with what its engines observed on their sockets."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import pytest

from runspool.node.server import NodeServer
from runspool.scheduling.types import Role
from tests.node_platform.client import post
from tests.node_platform.engine import Script, resets_connection, responds
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    DECLINED,
    EVENTS,
    PREFILL_RESPONSE,
    STREAM_HEAD,
    STREAM_REMAINDER,
    ReceivedRequest,
    chunked,
    http_response,
)
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
ENGINE_KINDS = {"r": "prefill", "s": "prefill", "w": "decode", "v": "decode", "m": "mixed"}
STATUS_BY_OUTCOME = {
    "stream": "SUCCEEDED",
    "prefill": "PREFILL_COMPLETE",
    "declined": "OVERLOADED",
    "state missing": "STATE_MISSING",
    "error": "SERVER_ERROR",
    "interrupted": "CONNECTION_LOST",
    "reset": "CONNECTION_LOST",
}
RESPONSE_BY_OUTCOME = {
    "stream": COMPLETE_STREAM,
    "prefill": PREFILL_RESPONSE,
    "declined": http_response(503, b"", DECLINED),
    "state missing": http_response(410, b"", DECLINED),
    "error": http_response(500),
}
# Outcomes are drawn from DRAWN_OUTCOMES. The maps give what replaces an outcome at engines of each role.
DRAWN_OUTCOMES = ["success", "declined", "state missing", "error", "reset", "interrupted"]
OUTCOME_WEIGHTS = [12, 2, 1, 2, 1, 1]
PREFILL_OUTCOMES = {"success": "prefill", "interrupted": "reset", "state missing": "declined"}
DECODE_OUTCOMES = {"success": "stream"}
BATCH = 60  # requests made concurrently
MIN_COMPLETED_PREFILLS = 21  # for a meaningful comparison
# Upper bound of the number of requests. On a slow machine, prefill engines that failed by chance stay ejected
# for most of a batch while mixed engines prefill in place. More batches are then made, so that the comparison
# always covers enough prefills.
MAX_REQUESTS = 600
MORE_THAN_ALL_ATTEMPTS = 1_000  # scripts per engine, so that none runs out
MALFORMED_REMAINDER = b"zz\r\n"


class ObservedAttempt(NamedTuple):
    """An attempt as its engine observed it; `seconds` is its duration there."""

    request: str
    engine: str
    outcome: str
    seconds: float


@dataclass
class RandomEngines:
    """Engines that respond, fail or disconnect at random, and record the outcome of each attempt."""

    platform: Platform
    random: Random
    observed: list[ObservedAttempt] = field(default_factory=list)

    async def respond(self, request: ReceivedRequest) -> None:
        """Respond to one attempt with a random outcome."""
        began = asyncio.get_running_loop().time()
        outcome = self._draw_outcome(request.engine)
        await asyncio.sleep(self.random.random() * 0.05)
        if outcome in ("reset", "interrupted"):
            if outcome == "interrupted":
                await request.send(STREAM_HEAD + chunked(EVENTS[0]))
                await asyncio.sleep(0.02)
            request.reset()
        else:
            await request.send(RESPONSE_BY_OUTCOME[outcome])
        seconds = asyncio.get_running_loop().time() - began
        self.observed.append(ObservedAttempt(request.headers["req-id"], request.engine, outcome, seconds))

    def _draw_outcome(self, engine: str) -> str:
        drawn = self.random.choices(DRAWN_OUTCOMES, OUTCOME_WEIGHTS)[0]
        is_prefill = self.platform.engines[engine].kind == "prefill"
        return (PREFILL_OUTCOMES if is_prefill else DECODE_OUTCOMES).get(drawn, drawn)

    def completed_prefills(self) -> int:
        """Return how many prefills the engines have completed."""
        return sum(attempt.outcome == "prefill" for attempt in self.observed)


async def test_logged_attempts_have_the_status_and_duration_that_their_engines_observed(
    tmp_path: Path,
) -> None:
    async with Platform(tmp_path, ENGINE_KINDS).open() as platform:
        engines = RandomEngines(platform, Random(4))
        for engine in platform.engines.values():
            engine.scripts = [engines.respond] * MORE_THAN_ALL_ATTEMPTS
        await _make_requests(platform, engines)
        observed = engines.observed
        await platform.wait_until(lambda: platform.log.count(b'"event":"attempt_finished"') >= len(observed))
        logged = [
            json.loads(line) for line in platform.log.splitlines() if b'"event":"attempt_finished"' in line
        ]
    for request in {attempt.request for attempt in observed}:
        logged_ends = [(line["engine"], line["status"]) for line in logged if line["request"] == request]
        assert logged_ends == [
            (attempt.engine, STATUS_BY_OUTCOME[attempt.outcome])
            for attempt in observed
            if attempt.request == request
        ]
    assert Counter(line["status"] for line in logged)["PREFILL_COMPLETE"] >= MIN_COMPLETED_PREFILLS
    # The duration that the scheduler records for an attempt is never shorter than the time at the engine.
    for line in logged:
        assert line["duration"] / 10_000 >= min(_seconds_at_engine(line, observed)) - 0.002


async def _make_requests(platform: Platform, engines: RandomEngines) -> None:
    """Make batches of requests until enough prefills have completed."""
    made = 0
    while made < BATCH or (made < MAX_REQUESTS and engines.completed_prefills() < MIN_COMPLETED_PREFILLS):
        await asyncio.gather(*(_make_request(platform, f"q{made + index}", index) for index in range(BATCH)))
        made += BATCH


async def _make_request(platform: Platform, name: str, index: int) -> None:
    await asyncio.sleep(index * 0.01)
    await platform.send_request(post(name, "ask" if index % 3 else "book"))


def _seconds_at_engine(line: dict[str, Any], observed: list[ObservedAttempt]) -> list[float]:
    """Return the durations of the observed attempts that a log line may describe."""
    logged = line["request"], line["engine"], line["status"]
    return [
        attempt.seconds
        for attempt in observed
        if (attempt.request, attempt.engine, STATUS_BY_OUTCOME[attempt.outcome]) == logged
    ]


async def test_the_scheduler_counts_exactly_the_open_attempts_of_each_engine(tmp_path: Path) -> None:
    """The prefills and streams that the scheduler counts at an engine are those that are open there.

    This holds after they start, while some have ended, and after all have ended, for each way of ending.
    """
    platform = Platform(tmp_path, ENGINE_KINDS)
    open_at: Counter[str] = Counter()
    stream_ends: asyncio.Queue[Script] = asyncio.Queue()

    async def count_while_open(request: ReceivedRequest) -> None:
        open_at[request.engine] += 1
        platform.notify_change()
        end: Script = responds(PREFILL_RESPONSE)
        if platform.engines[request.engine].kind != "prefill":
            await request.send(STREAM_HEAD + chunked(EVENTS[0]))
            end = await stream_ends.get()
        open_at[request.engine] -= 1
        await end(request)

    def open_streams() -> int:
        return sum(open_at[name] for name, kind in ENGINE_KINDS.items() if kind != "prefill")

    for engine in platform.engines.values():
        engine.scripts = [count_while_open] * MORE_THAN_ALL_ATTEMPTS
    async with platform.open_in_process() as server:

        def counts_agree() -> bool:
            return _open_attempt_counts(server) == {name: open_at[name] for name in ENGINE_KINDS}

        requests = [asyncio.ensure_future(platform.send_request(post(f"q{index}"))) for index in range(12)]
        await platform.wait_until(lambda: sum(open_at.values()) == 12 and open_streams() == 12)
        await _wait_until(counts_agree)
        complete, malformed = responds(STREAM_REMAINDER), responds(MALFORMED_REMAINDER)
        for end in (complete, resets_connection, complete, malformed, complete, resets_connection):
            stream_ends.put_nowait(end)
        await platform.wait_until(lambda: sum(open_at.values()) == 6)
        await _wait_until(counts_agree)
        for _ in range(6):
            stream_ends.put_nowait(complete)
        await asyncio.gather(*requests)
        await _wait_until(counts_agree)


def _open_attempt_counts(server: NodeServer) -> dict[str, int]:
    """Return the number of open attempts that the scheduler counts at each engine."""
    engines = server.executor.scheduler.driver.scheduler.engines
    return {
        endpoint.name: len(
            engines[index].prefills if endpoint.role is Role.PREFILL else engines[index].streams
        )
        for index, endpoint in server.executor.endpoints.items()
    }


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)
