"""A request that ends at any stage, for any cause, gets at most one final response and leaks nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from runspool.engines.failure_classification import FailureCause
from runspool.service.front import Front
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import FinalResponse, ResponseKind
from runspool.service.timer_queue import DeadlineGuardTimer
from runspool.transport import tcp
from runspool.wire.completions import parse_completion_request
from tests import simulated_clock
from tests.simulation.context import TokenCounts
from tests.simulation.leaks import leaked_state
from tests.simulation.settings import SimulationSettings
from tests.simulation.simulation import Simulation
from tests.small_fleet import ReceivedResponse, SmallFleet, receive_response

ENGINE_TYPES = ["prefill", "decode"]
PREFILL, DECODE = 0, 1

POLL_SECONDS = 0.005
END_TIMEOUT_SECONDS = 15  # for a request to reach its stage and end
LEAK_TIMEOUT_SECONDS = 8  # after the end of a request, until nothing may be held any more

TIME_LIMIT_MS = 900  # of a request that is to end by its time limit
TIME_LIMIT_WHEN_QUEUED_MS = 4_000  # the same, if it is to be queued first
TIME_LIMIT_WHEN_ENGINE_LOST_MS = 3_000
LONG_TIME_LIMIT_MS = 20_000  # longer than any test
DRAIN_MS = 100  # time that a stopping front gives its open requests
STATE_RELEASE_TIMEOUT = 20_000  # so long that a state does not expire during a test

# Stages.
HALF_RECEIVED = "half received"
QUEUED = "queued"
PREFILL_IN_PROGRESS = "prefill in progress"
STATE_RESERVED = "state reserved"
CONNECTING = "connecting to the decode engine"
DECODE_IN_PROGRESS = "decode in progress"
STREAMING = "streaming"

# Causes that end a request.
CLIENT_DISCONNECTS = "client disconnects"
TIME_LIMIT = "time limit"
ENGINE_LOST = "engine lost"
SHUTDOWN = "shutdown"

# What the client receives: the `type` of an error as it is on the wire, or a status.
SUCCEEDED = "succeeded"
REJECTED = "dismissed"
INDETERMINATE = "scrapped"
CONNECTION_CUT = "cut"
REQUEST_TIMEOUT = "408"


class ClientRequest:
    """An at-most-once request on its own connection, and the response that its client receives."""

    def __init__(self, cluster: SmallFleet, time_limit_ms: int) -> None:
        self.cluster = cluster
        self.time_limit_ms = time_limit_ms
        self.scope = anyio.CancelScope()
        self.response: ReceivedResponse | None = None
        self.ended = anyio.Event()

    async def send(self, output_tokens: int, prompt_words: int = 50, partial: bool = False) -> None:
        """Send the request and read the response; `partial` sends only the head and a part of the body."""
        body = msgspec.json.encode(
            {
                "prompt": "abcd" * prompt_words,
                "max_tokens": 2000,
                "stream": True,
                "standin": {"try": "t", "out": output_tokens},
            }
        )
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: book\r\nConnection: close\r\n"
            f"Runspool-Limit-Ms: {self.time_limit_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        with self.scope:
            async with await anyio.connect_tcp("127.0.0.1", self.cluster.port) as stream:
                await stream.send(head + (body[:20] if partial else body))
                # If the connection is cut, `response` stays None, and answer_kind() returns CONNECTION_CUT.
                with suppress(Exception):
                    self.response = await receive_response(stream)
        self.ended.set()


# Functions that bring a request to a stage; each returns when the stage is reached.

ReachStage = Callable[[SmallFleet, pytest.MonkeyPatch], Awaitable[None]]


async def poll_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await anyio.sleep(POLL_SECONDS)


async def reach_half_received(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait until the front has received the head and a part of the body."""
    await poll_until(lambda: cluster.front_server.active_requests)


async def reach_queued(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait until the request is queued at the front for a prefill engine."""
    await poll_until(lambda: cluster.front_server.front.first_driver.scheduler.prefill_queue)


async def reach_prefill(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait until the prefill engine has received the request."""
    await cluster.wait_for_events("arrived", stage="read")


async def reach_state_reserved(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the prefill complete while no decode engine is available."""
    await cluster.wait_for_events("arrived", stage="read")
    cluster.publish_state(DECODE, "draining")
    await poll_until(lambda: not cluster.front_server.front.first_driver.scheduler.engines[DECODE].ready)
    cluster.engines[PREFILL].set_fault("hang", on=False)
    await cluster.wait_for_events("held")
    await poll_until(lambda: any(pending.state for pending in cluster.front_server.front.requests.values()))


async def reach_connecting(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the front wait for a connection to the decode engine."""
    connecting, connect = anyio.Event(), tcp.connect

    async def hang_at_decode_engine(address: tuple[str, int], source: str | None) -> tcp.TcpConnection:
        if address[1] != cluster.plan.engines[DECODE].port:
            return await connect(address, source)
        connecting.set()
        await anyio.sleep_forever()
        raise AssertionError

    monkeypatch.setattr("runspool.engines.connection_pool.connect", hang_at_decode_engine)
    cluster.engines[PREFILL].set_fault("hang", on=False)
    await connecting.wait()


async def reach_decode(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait until the decode engine has received the request."""
    await cluster.wait_for_events("arrived", stage="write")


async def reach_streaming(cluster: SmallFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait until the client's stream has started."""
    await cluster.wait_for_events("ran")
    await poll_until(
        lambda: any(pending.stream_started for pending in cluster.front_server.front.requests.values())
    )


@dataclass(frozen=True)
class Stage:
    """A stage, how a request reaches it, and the responses that are allowed there.

    `hanging_engines` hang from the start until the request has ended. `lost_engine` is the engine that is
    killed for the cause ENGINE_LOST. `answers` holds, by cause, the kinds of final response that a client
    may receive if it does not disconnect.
    """

    reach: ReachStage
    hanging_engines: tuple[int, ...]
    output_tokens: int
    lost_engine: int
    answers: dict[str, set[str]]


NOT_EXECUTED_ANSWERS = {
    TIME_LIMIT: {REJECTED},
    ENGINE_LOST: {REJECTED},
    SHUTDOWN: {REJECTED, INDETERMINATE},
}
STAGES = {
    HALF_RECEIVED: Stage(
        reach_half_received,
        (),
        5,
        PREFILL,
        {
            TIME_LIMIT: {REQUEST_TIMEOUT},
            ENGINE_LOST: {REQUEST_TIMEOUT},
            SHUTDOWN: {CONNECTION_CUT, REQUEST_TIMEOUT},
        },
    ),
    QUEUED: Stage(reach_queued, (PREFILL,), 5, PREFILL, NOT_EXECUTED_ANSWERS),
    PREFILL_IN_PROGRESS: Stage(reach_prefill, (PREFILL,), 5, PREFILL, NOT_EXECUTED_ANSWERS),
    STATE_RESERVED: Stage(reach_state_reserved, (PREFILL,), 5, PREFILL, NOT_EXECUTED_ANSWERS),
    CONNECTING: Stage(reach_connecting, (PREFILL,), 5, PREFILL, NOT_EXECUTED_ANSWERS),
    DECODE_IN_PROGRESS: Stage(
        reach_decode,
        (DECODE,),
        5,
        DECODE,
        {TIME_LIMIT: {INDETERMINATE}, ENGINE_LOST: {INDETERMINATE}, SHUTDOWN: {INDETERMINATE}},
    ),
    STREAMING: Stage(
        reach_streaming,
        (),
        150,
        DECODE,
        {TIME_LIMIT: {SUCCEEDED}, ENGINE_LOST: {INDETERMINATE}, SHUTDOWN: {INDETERMINATE}},
    ),
}


def answer_kind(request: ClientRequest) -> str:
    """Return the kind of final response that the client received."""
    response = request.response
    if response is None:
        return CONNECTION_CUT
    if response.status == 200:
        if response.body.endswith(b"data: [DONE]\n\n"):
            return SUCCEEDED
        return INDETERMINATE if b'"type":"scrapped"' in response.body else CONNECTION_CUT
    return str(response.error["type"]) if response.status in (503, 424) else str(response.status)


def leaks(cluster: SmallFleet, cause: str) -> list[str]:
    """Return what the front and the engines still hold.

    After a shutdown, the front's connections to engines are not checked.
    """
    front = cluster.front_server.front
    states = [
        f"{engine.spec.name} holds {engine.model.held_states}"
        for engine in cluster.engines
        if engine.model.held_states
    ]
    if cause == SHUTDOWN:
        return leaked_state(front) + states
    return leaked_state(front) + _leaked_connections(front) + states


def _leaked_connections(front: Front) -> list[str]:
    client = front.engine_client
    idle_counts = {address: len(connections) for address, connections in client.pool.idle.items()}
    found = [
        f"open {address}: {count}"
        for address, count in client.pool.open_counts.items()
        if count != idle_counts.get(address, 0)
    ]
    found += [f"watched {watched}" for watched in client.watchdog.watched]
    found += [f"releasing {front.releases_in_progress}"] if front.releases_in_progress else []
    return found


def time_limit_of(stage: str, cause: str) -> int:
    """Return the request's time limit, which is long if something else is to end the request."""
    if cause == TIME_LIMIT:
        return TIME_LIMIT_WHEN_QUEUED_MS if stage == QUEUED else TIME_LIMIT_MS
    return TIME_LIMIT_WHEN_ENGINE_LOST_MS if cause == ENGINE_LOST else LONG_TIME_LIMIT_MS


def end_request(cluster: SmallFleet, cause: str, request: ClientRequest, lost_engine: int) -> None:
    """End the request; do nothing for the cause TIME_LIMIT."""
    if cause == CLIENT_DISCONNECTS:
        request.scope.cancel()
    elif cause == ENGINE_LOST:
        cluster.kill(lost_engine)
        cluster.publish_state(lost_engine, "gone")
    elif cause == SHUTDOWN:
        cluster.front_server.stop()


@pytest.mark.anyio
@pytest.mark.parametrize("cause", [CLIENT_DISCONNECTS, TIME_LIMIT, ENGINE_LOST, SHUTDOWN])
@pytest.mark.parametrize("stage", STAGES)
async def test_request_ends_cleanly_at_every_stage(
    stage: str, cause: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    case = STAGES[stage]
    body_ms = TIME_LIMIT_MS if cause != CLIENT_DISCONNECTS else LONG_TIME_LIMIT_MS
    cluster = SmallFleet(tmp_path, ENGINE_TYPES, drain_ms=DRAIN_MS, body_ms=body_ms)
    cluster.plan.state_release_timeout = STATE_RELEASE_TIMEOUT
    request = ClientRequest(cluster, time_limit_of(stage, cause))
    earlier_request = ClientRequest(cluster, LONG_TIME_LIMIT_MS)
    async with cluster.open(), anyio.create_task_group() as tasks:
        for engine in case.hanging_engines:
            cluster.engines[engine].set_fault("hang", on=True)
        if stage == QUEUED:
            # The prompt is so long that the next request is queued at the front.
            tasks.start_soon(earlier_request.send, 5, 5_000)
            await cluster.wait_for_events("arrived", stage="read")
        tasks.start_soon(request.send, case.output_tokens, 50, stage == HALF_RECEIVED)
        with anyio.fail_after(END_TIMEOUT_SECONDS):
            await case.reach(cluster, monkeypatch)
            end_request(cluster, cause, request, case.lost_engine)
            await request.ended.wait()
            earlier_request.scope.cancel()
            for engine in case.hanging_engines:
                # The engine now processes what it received meanwhile.
                cluster.engines[engine].set_fault("hang", on=False)
        with anyio.move_on_after(LEAK_TIMEOUT_SECONDS):
            while leaks(cluster, cause):
                await anyio.sleep(0.01)
        assert leaks(cluster, cause) == []
        if cause != CLIENT_DISCONNECTS:
            assert answer_kind(request) in case.answers[cause]
        decodes = cluster.recorded_events("arrived", stage="write")
        assert len(decodes) == (stage in (DECODE_IN_PROGRESS, STREAMING))
        assert cluster.front_server.front.counts["accepted"] == (
            0 if stage == HALF_RECEIVED else 2 if stage == QUEUED else 1
        )
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_shutdown_waits_for_states_to_be_released(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Three release calls are lost; the fourth is made long after the response has been sent."""
    cluster = SmallFleet(tmp_path, ENGINE_TYPES, drain_ms=DRAIN_MS)
    cluster.plan.state_release_timeout = STATE_RELEASE_TIMEOUT
    request = ClientRequest(cluster, LONG_TIME_LIMIT_MS)
    async with cluster.open(), anyio.create_task_group() as tasks:
        client, calls = cluster.front_server.front.engine_client, []
        release_state = client.release_state

        async def lose_three_calls(*arguments: Any) -> FailureCause | None:
            calls.append(arguments)
            return FailureCause.CONNECT_FAILED if len(calls) < 4 else await release_state(*arguments)

        monkeypatch.setattr(client, "release_state", lose_three_calls)
        cluster.engines[PREFILL].set_fault("hang", on=True)
        tasks.start_soon(request.send, 5)
        with anyio.fail_after(END_TIMEOUT_SECONDS):
            await reach_state_reserved(cluster, monkeypatch)
            cluster.front_server.stop()
            await request.ended.wait()
            await cluster.wait_for_events("released")
        tasks.cancel_scope.cancel()


# Two ends at the same instant of the simulated clock, which sockets could not produce.


class RecordingListener:
    """A listener that records what the client of a stream receives."""

    def __init__(self) -> None:
        self.received: list[str] = []

    async def stream_started(self) -> None:
        self.received.append("stream started")

    async def data_received(self, text: str) -> None:
        self.received.append(text)


async def start_simulation(simulation: Simulation) -> Front:
    """Start the engines and the front of a simulation with one front, and return the front."""
    for engine in simulation.cluster.engines:
        engine.start(cold=False)
    simulation.cluster.start_fronts(with_list=True)
    await anyio.sleep(0.01)
    return simulation.cluster.fronts[0].front


async def prefilled_request(
    simulation: Simulation, front: Front, listener: RecordingListener
) -> PendingCompletion:
    """Return an at-most-once request whose prefill state is reserved."""
    simulation.context.token_counts["1.1"] = TokenCounts(500, 3)
    headers = {"runspool-tariff": "book", "runspool-mark": "1.1", "runspool-limit-ms": "2000"}
    completion = parse_completion_request(headers, b'{"prompt": "x", "stream": true}', front.config)
    pending = front.submit(completion, listener, simulated_clock.now())
    while not any(event["what"] == "held" for event in simulation.events):
        await anyio.sleep(0.0001)
    return pending


async def end_twice(simulation: Simulation, order: str) -> None:
    """End a request with a reserved prefill state for two causes at once; only the first must take effect."""
    front = await start_simulation(simulation)
    listener = RecordingListener()
    pending = await prefilled_request(simulation, front, listener)
    guard = DeadlineGuardTimer(pending.index)
    ends: dict[str, Callable[[], object]] = {
        "disconnect": lambda: front.client_disconnected(pending),
        "time limit": lambda: front.timer_fired(guard),
        "success": lambda: front.finish(pending, FinalResponse(ResponseKind.SUCCEEDED)),
    }
    first, second = order.split(" and ")
    ends[first]()
    final_response = pending.final_response
    ends[second]()
    assert pending.final_response is final_response
    received_before = len(listener.received)
    await anyio.sleep(5)
    assert listener.received[received_before:] == []
    assert leaked_state(front) == []
    assert not any(engine.reserved_states for engine in simulation.cluster.engines)
    assert sum(front.counts[kind.value] for kind in ResponseKind) == 1


@pytest.mark.parametrize(
    "order",
    [
        "disconnect and time limit",
        "time limit and disconnect",
        "success and disconnect",
        "disconnect and success",
    ],
)
def test_only_the_first_of_two_simultaneous_ends_takes_effect(
    order: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    simulated_clock.install(monkeypatch)

    async def run() -> None:
        simulation = Simulation(1, SimulationSettings(front_count=1, failing_attempt_share=0))
        async with anyio.create_task_group() as simulation.context.tasks:
            await end_twice(simulation, order)
            simulation.context.tasks.cancel_scope.cancel()

    simulated_clock.run(run())
