"""The auditor finds out fronts that break a rule; amid the same faults the sound front breaks none."""

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
from runspool.wire.endpoint_list import EndpointEntry as Line
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
LOST, TWICE, DRAINS, COLD, PINNED = RULES
ASK, BOOK, MARK = range(3)
InstallDefect = Callable[[pytest.MonkeyPatch], None]
InjectFault = Callable[[SmallFleet], Coroutine[Any, Any, None]]


def requests(
    count: int, request_class: int = ASK, gap: int = 50, limit: int = 20_000, out: int = 6
) -> list[PlannedRequest]:
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


# Faults around the front.


async def resets(fleet: SmallFleet) -> None:
    for one in fleet.engines:
        if one.spec.role == "writer":
            one.set_fault("row", row="reset_after", share=0.7)


async def full_writers(fleet: SmallFleet) -> None:
    for one in fleet.engines:
        if one.spec.role == "writer":
            one.set_fault("row", row="full_503", share=1.0)


async def drained(fleet: SmallFleet) -> None:
    await fleet.wait_for_events("ran", 5)
    fleet.publish_state(0, "draining")
    with anyio.fail_after(10):
        while not any(
            name == "e0" and state == "draining"
            for event in fleet.recorded_events("told")
            for name, state, _ in event["engines"]
        ):
            await anyio.sleep(0.01)


# Defects of a front.


def forgets_that_it_may_have_run(patch: pytest.MonkeyPatch) -> None:
    for mishap in (
        FailureCause.CLOSED_BEFORE_RESPONSE,
        FailureCause.CLOSED_DURING_RESPONSE,
        FailureCause.SERVER_ERROR,
    ):
        patch.setitem(STATUS_BY_CAUSE, mishap, AttemptStatus.CONNECT_FAILED)


def sends_each_shot_twice(patch: pytest.MonkeyPatch) -> None:
    sound = Front.start_attempt

    def send(front: Front, query: int, engine: int, cap: int) -> None:
        taken = front.requests[query]
        second = taken.headers | {"X-Request-Id": f"{taken.id}.again"}
        if taken.attempt_count:
            front._spawn(
                _listenless,
                front,
                taken.completion.body,
                second,
                front.endpoints[engine].address,
                taken.state,
            )
        sound(front, query, engine, cap)

    patch.setattr(Front, "start_attempt", send)


async def _listenless(
    front: Front, body: Any, headers: dict[str, str], address: tuple[str, int], state: Any
) -> None:
    class Deaf:
        async def stream_started(self) -> None:
            return

        async def data_received(self, text: str) -> None:
            return

    await front.engine_client.decode(address, body, state, headers, 20_000, UNRESTRICTED, 1000, Deaf())


def gives_no_answer(patch: pytest.MonkeyPatch) -> None:
    async def answer(one: CompletionsHandler, *said: Any) -> None:
        raise ConnectionClosedError("swallowed")

    patch.setattr(CompletionsHandler, "_send_final_response", answer)


def answers_late(patch: pytest.MonkeyPatch) -> None:
    sound = CompletionsHandler._send_final_response

    async def answer(one: CompletionsHandler, taken: Any, reply: Any, final: Any) -> None:
        await anyio.sleep(max(0, taken.deadline + 10_000 - now()) / 10_000)
        await sound(one, taken, reply, final)

    patch.setattr(CompletionsHandler, "_send_final_response", answer)


def speaks_after_the_end(patch: pytest.MonkeyPatch) -> None:
    sound = _EventStreamResponse.finish

    async def finish(one: _EventStreamResponse, final: Any) -> None:
        await sound(one, final)
        one.handler.tcp.write(wire.DONE_EVENT)

    patch.setattr(_EventStreamResponse, "finish", finish)


def loses_a_token(patch: pytest.MonkeyPatch) -> None:
    sound = ResponseRelay.data_received

    async def data_received(one: ResponseRelay[Any], text: str) -> None:
        if "t3" not in text:
            await sound(one, text)

    patch.setattr(ResponseRelay, "data_received", data_received)


def does_not_hear_of_drains(patch: pytest.MonkeyPatch) -> None:
    sound = EndpointRegistry.to_record

    def listed(registry: EndpointRegistry, entry: Line) -> EngineRecord | None:
        return sound(registry, msgspec.structs.replace(entry, state="on"))

    patch.setattr(EndpointRegistry, "to_record", listed)


def lets_no_state_go(patch: pytest.MonkeyPatch) -> None:
    def release(front: Front, query: int) -> None:
        front.requests[query].state = None

    patch.setattr(Front, "release_state", release)


def takes_cold_for_warm(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(engine_eligibility, "admits_during_slow_start", lambda *said: True)


KINDS = ["prefill", "prefill", "decode", "decode"]
CASES: dict[str, tuple[InstallDefect, str, InjectFault, list[PlannedRequest], dict[str, Any]]] = {
    "exclusive twice": (forgets_that_it_may_have_run, TWICE, resets, requests(8, BOOK), {}),
    "ticket outside its group": (forgets_that_it_may_have_run, TWICE, resets, requests(12, MARK), {}),
    "two shots at once": (sends_each_shot_twice, TWICE, no_fault, requests(6, out=60), {}),
    "no answer": (gives_no_answer, LOST, no_fault, requests(4, limit=8_000), {}),
    "late answer": (answers_late, LOST, full_writers, requests(4, limit=6_000), {}),
    "speaks after the end": (speaks_after_the_end, LOST, no_fault, requests(4), {}),
    "loses a token": (loses_a_token, LOST, no_fault, requests(4), {}),
    "sends after a drain": (
        does_not_hear_of_drains,
        DRAINS,
        drained,
        requests(50, gap=300),
        {"drain_grace": 500},
    ),
    "keeps states": (
        lets_no_state_go,
        PINNED,
        full_writers,
        requests(6, limit=30_000),
        {"state_release_timeout": 4_000, "held_on": 1.5},
    ),
    "floods a cold engine": (
        takes_cold_for_warm,
        COLD,
        no_fault,
        requests(60, gap=100),
        {"cold": 0, "slow_start_overload_multiple": 0.3},
    ),
}


@pytest.mark.parametrize("doctored", [False, True], ids=["sound", "doctored"])
@pytest.mark.parametrize("case", CASES)
async def test_a_doctored_front_is_found_out(
    case: str, doctored: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    install_defect, rule, inject_fault, planned, settings = CASES[case]
    if doctored:
        install_defect(monkeypatch)
    monkeypatch.setattr(StandInEngine, "crash", lambda engine: None)  # one that falls goes on, noted
    # All runs in one process here: what a busy machine delays is no breach, and the doctored overdo it.
    tolerance = AuditTolerance(late_answer=4_000, observation_delay=4_000)
    fleet = SmallFleet(tmp_path, KINDS)
    for at, one in enumerate(fleet.plan.engines):
        multiple = settings.get("slow_start_overload_multiple", one.spec.slow_start_overload_multiple)
        one.spec = replace(one.spec, zone="ab"[at % 2], slow_start_overload_multiple=multiple)
        fleet.engines[at] = StandInEngine(one.spec, fleet.recorder, at == settings.get("cold"), at)
        fleet.start_times[at] = int(time() * 1000) if at == settings.get("cold") else 0
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
        await anyio.sleep(settings.get("held_on", 0))  # a state is pinned by being there for so long
        fleet.recorder.record_event("over")
    found = audit(list(recording.read_recording(fleet.recording_file)), tolerance)
    broken = {name: judged.violation_count for name, judged in found.items() if judged.violation_count}
    assert found[rule].cases
    assert (broken.get(rule, 0) > 0) if doctored else not broken, [one.examples for one in found.values()]
