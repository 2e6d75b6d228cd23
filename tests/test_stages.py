"""Every stage of a query, ended in every way: one final answer at most, nothing after it, nothing left."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from runspool.engines.failure_classification import FailureCause
from runspool.service.pending_request import FinalResponse, ResponseKind
from runspool.service.timer_queue import DeadlineGuardTimer
from runspool.transport import tcp as lines
from runspool.wire.completions import parse_completion_request
from tests import simulated_clock
from tests.simulation.context import TokenCounts
from tests.simulation.leaks import leaked_state
from tests.simulation.settings import SimulationSettings
from tests.simulation.simulation import Simulation
from tests.town import Answered, Town, answered

KINDS = ["prefill", "decode"]
LIMIT_MS = 900
LONG_MS = 20_000


class Query:
    """One exclusive query on a connection of its own, and what its client got."""

    def __init__(self, town: Town, limit_ms: int) -> None:
        self.town, self.limit_ms = town, limit_ms
        self.scope = anyio.CancelScope()
        self.got: Answered | None = None
        self.part = b""
        self.cut: Exception | None = None
        self.over = anyio.Event()

    async def ask(self, out: int, tokens: int = 50, half: bool = False) -> None:
        body = msgspec.json.encode(
            {
                "prompt": "abcd" * tokens,
                "max_tokens": 2000,
                "stream": True,
                "standin": {"try": "t", "out": out},
            }
        )
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: book\r\nConnection: close\r\n"
            f"Runspool-Limit-Ms: {self.limit_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        with self.scope:
            async with await anyio.connect_tcp("127.0.0.1", self.town.port) as stream:
                await stream.send(head + (body[:20] if half else body))
                try:
                    self.got = await answered(stream)
                except Exception as fault:
                    self.cut = fault
        self.over.set()


# How a query comes to a stage; returns once it is there.

Stage = Callable[[Town, Query, Any], Awaitable[None]]


async def half_read(town: Town, query: Query, patch: Any) -> None:
    while not town.running.active_requests:
        await anyio.sleep(0.005)


async def in_the_line(town: Town, query: Query, patch: Any) -> None:
    while not town.running.front.first_driver.scheduler.prefill_queue:
        await anyio.sleep(0.005)


async def read_out(town: Town, query: Query, patch: Any) -> None:
    await town.until("arrived", stage="read")


async def state_held(town: Town, query: Query, patch: Any) -> None:
    await town.until("arrived", stage="read")
    town.tell(1, "draining")
    while town.running.front.first_driver.scheduler.engines[1].ready:
        await anyio.sleep(0.005)
    town.engines[0].fault("hang", on=False)
    await town.until("held")
    while not any(taken.state for taken in town.running.front.requests.values()):
        await anyio.sleep(0.005)


async def being_placed(town: Town, query: Query, patch: Any) -> None:
    dialled, sound = anyio.Event(), lines.connect

    async def dial(address: tuple[str, int], source: str | None) -> lines.TcpConnection:
        if address[1] != town.plan.engines[1].port:
            return await sound(address, source)
        dialled.set()
        await anyio.sleep_forever()
        raise AssertionError

    patch.setattr("runspool.engines.connection_pool.connect", dial)
    town.engines[0].fault("hang", on=False)
    await dialled.wait()


async def write_out(town: Town, query: Query, patch: Any) -> None:
    await town.until("arrived", stage="write")


async def streaming(town: Town, query: Query, patch: Any) -> None:
    await town.until("ran")
    while not any(taken.stream_started for taken in town.running.front.requests.values()):
        await anyio.sleep(0.005)


# Stage: how to come there, which engines hang, how long the answer is, the engine whose loss ends it, and
# which kinds of final answer a client that stays may get for its limit, the loss and the stop.
STAGES: dict[str, tuple[Stage, list[int], int, int, dict[str, set[str]]]] = {
    "half read": (half_read, [], 5, 0, {"limit": {"408"}, "loss": {"408"}, "stop": {"cut", "408"}}),
    "in the line": (
        in_the_line,
        [0],
        5,
        0,
        {"limit": {"dismissed"}, "loss": {"dismissed"}, "stop": {"dismissed", "scrapped"}},
    ),
    "read out": (
        read_out,
        [0],
        5,
        0,
        {"limit": {"dismissed"}, "loss": {"dismissed"}, "stop": {"dismissed", "scrapped"}},
    ),
    "state held": (
        state_held,
        [0],
        5,
        0,
        {"limit": {"dismissed"}, "loss": {"dismissed"}, "stop": {"dismissed", "scrapped"}},
    ),
    "being placed": (
        being_placed,
        [0],
        5,
        0,
        {"limit": {"dismissed"}, "loss": {"dismissed"}, "stop": {"dismissed", "scrapped"}},
    ),
    "write out": (write_out, [1], 5, 1, {"limit": {"scrapped"}, "loss": {"scrapped"}, "stop": {"scrapped"}}),
    "streaming": (
        streaming,
        [],
        150,
        1,
        {"limit": {"succeeded"}, "loss": {"scrapped"}, "stop": {"scrapped"}},
    ),
}


def kind_of(query: Query) -> str:
    got = query.got
    if got is None:
        return "cut"
    if got.status == 200:
        return (
            "succeeded"
            if got.body.endswith(b"data: [DONE]\n\n")
            else ("scrapped" if b'"type":"scrapped"' in got.body else "cut")
        )
    return str(got.error["type"]) if got.status in (503, 424) else str(got.status)


def pinned(town: Town, way: str) -> list[str]:
    """What is still held anywhere; after a stop by engines and the front's books alone."""
    front = town.running.front
    states = [f"{one.make.name} holds {one.model.states}" for one in town.engines if one.model.states]
    if way == "stop":
        return leaked_state(front) + states
    idle = {address: len(links) for address, links in front.engine_client.pool.idle.items()}
    found = leaked_state(front)
    found += [
        f"open {address}: {count}"
        for address, count in front.engine_client.pool.open_counts.items()
        if count != idle.get(address, 0)
    ]
    found += [f"watched {one}" for one in front.engine_client.watchdog.watched]
    found += [f"releasing {front.releases_in_progress}"] if front.releases_in_progress else []
    return found + states


@pytest.mark.anyio
@pytest.mark.parametrize("way", ["cancel", "limit", "loss", "stop"])
@pytest.mark.parametrize("stage", STAGES)
async def test_a_stage_ends_cleanly(
    stage: str, way: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    come, hung, out, lost, kinds = STAGES[stage]
    town = Town(tmp_path, KINDS, drain_ms=100, body_ms=LIMIT_MS if way != "cancel" else LONG_MS)
    town.plan.release_within = 20_000  # a state held stays so until something ends it
    limit = LIMIT_MS if stage != "in the line" else 4_000
    query = Query(town, limit if way == "limit" else LONG_MS if way != "loss" else 3_000)
    first = Query(town, LONG_MS)
    async with town.open(), anyio.create_task_group() as tasks:
        for at in {*hung, *([0] if stage in ("state held", "being placed") else [])}:
            town.engines[at].fault("hang", on=True)
        if stage == "in the line":
            tasks.start_soon(first.ask, 5, 5_000)  # longer than the line is let grow
            await town.until("arrived", stage="read")
        tasks.start_soon(query.ask, out, 50, stage == "half read")
        with anyio.fail_after(15):
            await come(town, query, monkeypatch)
            match way:
                case "cancel":
                    query.scope.cancel()
                case "loss":
                    town.kill(lost)
                    town.tell(lost, "gone")
                case "stop":
                    town.running.stop()
            await query.over.wait()
            first.scope.cancel()
            for at in hung:
                town.engines[at].fault("hang", on=False)  # what it was told meanwhile it hears now
        with anyio.move_on_after(8):
            while pinned(town, way):
                await anyio.sleep(0.01)
        assert pinned(town, way) == []
        if way != "cancel":
            assert kind_of(query) in kinds[way]
        writes = town.seen("arrived", stage="write")
        assert len(writes) == (stage in ("write out", "streaming"))
        assert town.running.front.counts["accepted"] == (
            0 if stage == "half read" else 2 if stage == "in the line" else 1
        )
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_stop_waits_for_states_to_be_let_go(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Three calls are lost: the fourth comes when the answer has long been written."""
    town = Town(tmp_path, KINDS, drain_ms=100)
    town.plan.release_within = 20_000
    query = Query(town, LONG_MS)
    async with town.open(), anyio.create_task_group() as tasks:
        caller, calls = town.running.front.engine_client, []
        sound = caller.release_state

        async def release(*said: Any) -> FailureCause | None:
            calls.append(said)
            return FailureCause.CONNECT_FAILED if len(calls) < 4 else await sound(*said)

        monkeypatch.setattr(caller, "release_state", release)
        town.engines[0].fault("hang", on=True)
        tasks.start_soon(query.ask, 5)
        with anyio.fail_after(15):
            await state_held(town, query, monkeypatch)
            town.running.stop()
            await query.over.wait()
            await town.until("released")
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "order", ["cancel and limit", "limit and cancel", "end and cancel", "cancel and end"]
)
def test_two_ends_at_one_instant_are_one(order: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """On one simulated clock, as no socket could bring it about; a reader's state is out both times."""
    simulated_clock.install(monkeypatch)

    async def play() -> None:
        simulation = Simulation(1, SimulationSettings(front_count=1, failing_attempt_share=0))
        async with anyio.create_task_group() as simulation.context.tasks:
            await _one(simulation)
            simulation.context.tasks.cancel_scope.cancel()

    async def _one(simulation: Simulation) -> None:
        for engine in simulation.cluster.engines:
            engine.start(cold=False)
        simulation.cluster.start_fronts(with_list=True)
        await anyio.sleep(0.01)
        front = simulation.cluster.fronts[0].front
        simulation.context.token_counts["1.1"] = TokenCounts(500, 3)
        told: list[str] = []
        wish = parse_completion_request(
            {"runspool-tariff": "book", "runspool-mark": "1.1", "runspool-limit-ms": "2000"},
            b'{"prompt": "x", "stream": true}',
            front.config,
        )

        class Reply:
            async def stream_started(self) -> None:
                told.append("begun")

            async def data_received(self, text: str) -> None:
                told.append(text)

        taken = front.submit(wish, Reply(), simulated_clock.now())
        while not any(event["what"] == "held" for event in simulation.events):
            await anyio.sleep(0.0001)
        guard = DeadlineGuardTimer(taken.index)
        ends: dict[str, Callable[[], object]] = {
            "cancel": lambda: front.client_disconnected(taken),
            "limit": lambda: front._timer_fired(guard),
            "end": lambda: front.finish(taken, FinalResponse(ResponseKind.SUCCEEDED)),
        }
        first, second = order.split(" and ")
        ends[first]()
        final = taken.final_response
        ends[second]()
        assert taken.final_response is final
        before = len(told)
        await anyio.sleep(5)
        assert told[before:] == []
        assert leaked_state(front) == []
        assert not any(engine.reserved_states for engine in simulation.cluster.engines)
        assert sum(front.counts[kind.value] for kind in ResponseKind) == 1

    simulated_clock.run(play())
