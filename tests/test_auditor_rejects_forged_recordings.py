"""The auditor against recordings of real fronts, with and without a defect.

A front with a defect has to violate the rule of its case. The unmodified front has to violate no rule under
the same faults.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from pathlib import Path
from time import time
from typing import Any

import anyio
import msgspec
import pytest
from msgspec.structs import replace

from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.send_permit import UNRESTRICTED
from runspool.lab import recording
from runspool.lab.audit import RULES, AuditTolerance, audit
from runspool.lab.clients import WorkloadClients
from runspool.lab.engine import StandInEngine
from runspool.lab.load_balancer import LoadBalancer
from runspool.lab.workload import PlannedRequest
from runspool.scheduling import engine_eligibility
from runspool.scheduling.types import AttemptStatus, EngineRecord
from runspool.service.clock import now
from runspool.service.completions_handler import CompletionsHandler, _EventStreamResponse
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.front import Front
from runspool.service.response_relay import ResponseRelay
from runspool.transport.tcp import ConnectionClosedError
from runspool.wire import completions as wire
from runspool.wire.endpoint_list import EndpointEntry
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
REQUEST_LOST, EXECUTED_TWICE, SENT_AFTER_DRAIN, COLD_OVERLOADED, STATE_KEPT = RULES
ASK, BOOK, MARK = range(3)  # request classes: idempotent, at most once, deduplicated by key
InstallDefect = Callable[[pytest.MonkeyPatch], None]
InjectFault = Callable[[SmallFleet], Coroutine[Any, Any, None]]


def requests(
    count: int, request_class: int = ASK, gap: int = 50, limit: int = 20_000, out: int = 6
) -> list[PlannedRequest]:
    """Return requests `gap` apart with the time limit `limit`, both in tenths of a millisecond."""
    return [
        PlannedRequest(
            f"i{at}",
            at * gap,
            0,
            request_class,
            0,
            f"s{at}",
            [(f"text{at}", 50)],
            "",
            0,
            50,
            out,
            True,
            limit,
            limit,
            0,
            0,
        )
        for at in range(count)
    ]


async def no_fault(fleet: SmallFleet) -> None:
    return


# Faults of the engines and of the endpoint list.


async def reset_decode_attempts(fleet: SmallFleet) -> None:
    for engine in fleet.engines:
        if engine.spec.role == "writer":
            engine.set_fault("row", row="reset_after", share=0.7)


async def overload_decode_engines(fleet: SmallFleet) -> None:
    for engine in fleet.engines:
        if engine.spec.role == "writer":
            engine.set_fault("row", row="full_503", share=1.0)


async def drain_first_engine(fleet: SmallFleet) -> None:
    await fleet.wait_for_events("ran", 5)
    fleet.publish_state(0, "draining")
    with anyio.fail_after(10):
        while not any(
            name == "e0" and state == "draining"
            for event in fleet.recorded_events("told")
            for name, state, _ in event["engines"]
        ):
            await anyio.sleep(0.01)


# Defects of a front, each installed by a function that patches it.


def treat_executed_attempts_as_not_sent(patch: pytest.MonkeyPatch) -> None:
    for cause in (
        FailureCause.CLOSED_BEFORE_RESPONSE,
        FailureCause.CLOSED_DURING_RESPONSE,
        FailureCause.SERVER_ERROR,
    ):
        patch.setitem(STATUS_BY_CAUSE, cause, AttemptStatus.CONNECT_FAILED)


def send_each_attempt_twice(patch: pytest.MonkeyPatch) -> None:
    original = Front.start_attempt

    def start_attempt(front: Front, request: int, engine: int, cap: int) -> None:
        pending = front.requests[request]
        second_headers = pending.headers | {"X-Request-Id": f"{pending.id}.again"}
        if pending.attempt_count:
            front.spawn(
                _decode_and_discard,
                front,
                pending.completion.body,
                second_headers,
                front.endpoints[engine].address,
                pending.state,
            )
        original(front, request, engine, cap)

    patch.setattr(Front, "start_attempt", start_attempt)


async def _decode_and_discard(
    front: Front, body: Any, headers: dict[str, str], address: tuple[str, int], state: Any
) -> None:
    class DiscardingListener:
        async def stream_started(self) -> None:
            return

        async def data_received(self, text: str) -> None:
            return

    await front.engine_client.decode(
        address, body, state, headers, 20_000, UNRESTRICTED, 1000, DiscardingListener()
    )


def send_no_final_response(patch: pytest.MonkeyPatch) -> None:
    async def send_nothing(handler: CompletionsHandler, *arguments: Any) -> None:
        raise ConnectionClosedError("response dropped by the defect")

    patch.setattr(CompletionsHandler, "_send_final_response", send_nothing)


def send_late_final_responses(patch: pytest.MonkeyPatch) -> None:
    original = CompletionsHandler._send_final_response

    async def send_late(handler: CompletionsHandler, pending: Any, response: Any, final: Any) -> None:
        await anyio.sleep(max(0, pending.deadline + 10_000 - now()) / 10_000)
        await original(handler, pending, response, final)

    patch.setattr(CompletionsHandler, "_send_final_response", send_late)


def send_bytes_after_the_response(patch: pytest.MonkeyPatch) -> None:
    original = _EventStreamResponse.finish

    async def finish(response: _EventStreamResponse, final: Any) -> None:
        await original(response, final)
        response.handler.tcp.write(wire.DONE_EVENT)

    patch.setattr(_EventStreamResponse, "finish", finish)


def drop_a_token(patch: pytest.MonkeyPatch) -> None:
    original = ResponseRelay.data_received

    async def data_received(relay: ResponseRelay[Any], text: str) -> None:
        if "t3" not in text:
            await original(relay, text)

    patch.setattr(ResponseRelay, "data_received", data_received)


def ignore_drains(patch: pytest.MonkeyPatch) -> None:
    original = EndpointRegistry.to_record

    def to_record(registry: EndpointRegistry, entry: EndpointEntry) -> EngineRecord | None:
        return original(registry, msgspec.structs.replace(entry, state="on"))

    patch.setattr(EndpointRegistry, "to_record", to_record)


def release_no_state(patch: pytest.MonkeyPatch) -> None:
    def release(front: Front, request: int) -> None:
        front.requests[request].state = None

    patch.setattr(Front, "release_state", release)


def ignore_slow_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(engine_eligibility, "admits_during_slow_start", lambda *arguments: True)


ENGINE_TYPES = ["prefill", "prefill", "decode", "decode"]
CASES: dict[str, tuple[InstallDefect, str, InjectFault, list[PlannedRequest], dict[str, Any]]] = {
    "at-most-once request executed twice": (
        treat_executed_attempts_as_not_sent,
        EXECUTED_TWICE,
        reset_decode_attempts,
        requests(8, BOOK),
        {},
    ),
    "keyed retry outside its deduplication scope": (
        treat_executed_attempts_as_not_sent,
        EXECUTED_TWICE,
        reset_decode_attempts,
        requests(12, MARK),
        {},
    ),
    "two concurrent attempts": (send_each_attempt_twice, EXECUTED_TWICE, no_fault, requests(6, out=60), {}),
    "no final response": (send_no_final_response, REQUEST_LOST, no_fault, requests(4, limit=8_000), {}),
    "late final response": (
        send_late_final_responses,
        REQUEST_LOST,
        overload_decode_engines,
        requests(4, limit=6_000),
        {},
    ),
    "bytes after the response": (send_bytes_after_the_response, REQUEST_LOST, no_fault, requests(4), {}),
    "lost token": (drop_a_token, REQUEST_LOST, no_fault, requests(4), {}),
    "attempt after a drain": (
        ignore_drains,
        SENT_AFTER_DRAIN,
        drain_first_engine,
        requests(50, gap=300),
        {"drain_grace": 500},
    ),
    "states never released": (
        release_no_state,
        STATE_KEPT,
        overload_decode_engines,
        requests(6, limit=30_000),
        {"state_release_timeout": 4_000, "held_on": 1.5},
    ),
    "cold engine overloaded": (
        ignore_slow_start,
        COLD_OVERLOADED,
        no_fault,
        requests(60, gap=100),
        {"cold": 0, "slow_start_overload_multiple": 0.3},
    ),
}


@pytest.mark.parametrize("defective", [False, True], ids=["unmodified", "defective"])
@pytest.mark.parametrize("case", CASES)
async def test_only_a_defective_front_violates_the_rule_of_its_case(
    case: str, defective: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    install_defect, rule, inject_fault, planned, settings = CASES[case]
    if defective:
        install_defect(monkeypatch)
    monkeypatch.setattr(StandInEngine, "crash", lambda engine: None)  # a crash is only recorded
    # Clients, front and engines share one process, so that a busy machine delays them, which is no violation.
    # The late responses of a defective front exceed the tolerance.
    tolerance = AuditTolerance(late_answer=4_000, observation_delay=4_000)
    fleet = SmallFleet(tmp_path, ENGINE_TYPES)
    for index, planned_engine in enumerate(fleet.plan.engines):
        multiple = settings.get(
            "slow_start_overload_multiple", planned_engine.spec.slow_start_overload_multiple
        )
        planned_engine.spec = replace(
            planned_engine.spec, zone="ab"[index % 2], slow_start_overload_multiple=multiple
        )
        fleet.engines[index] = StandInEngine(
            planned_engine.spec, fleet.recorder, index == settings.get("cold"), index
        )
        fleet.start_times[index] = int(time() * 1000) if index == settings.get("cold") else 0
    for name in settings.keys() - {"cold", "held_on"}:
        setattr(fleet.plan, name, settings[name])
    fleet.recorder.record_event("day", plan=msgspec.to_builtins(fleet.plan))
    async with fleet.open(), anyio.create_task_group() as tasks:
        tasks.start_soon(inject_fault, fleet)
        load_balancer = LoadBalancer([("127.0.0.1", fleet.port)], ["a"], [True])
        clients = WorkloadClients(fleet.plan, load_balancer, fleet.recorder)
        with anyio.fail_after(30):
            await clients.run(planned, now())
            while fleet.front_server.front.requests:
                await anyio.sleep(0.01)
        await anyio.sleep(settings.get("held_on", 0))  # a state counts as kept only after so long
        fleet.recorder.record_event("over")
    results = audit(list(recording.read_recording(fleet.recording_file)), tolerance)
    violations = {name: result.violation_count for name, result in results.items() if result.violation_count}
    assert results[rule].cases
    assert (violations.get(rule, 0) > 0) if defective else not violations, [
        result.examples for result in results.values()
    ]
