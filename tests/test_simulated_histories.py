"""Simulated histories of real fronts keep all rules of the auditor, which detects a violation of each."""

from __future__ import annotations

import lzma
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
import pytest

from runspool.lab.audit import EXACT_TOLERANCE, RULES, audit
from runspool.lab.recording import Event
from runspool.service.front import Front
from runspool.service.pending_request import ResponseKind
from runspool.service.timer_queue import DeadlineGuardTimer
from tests import simulated_clock
from tests.conftest import JUDGED_CASES
from tests.simulation.replay import ReplaySimulation
from tests.simulation.settings import SimulationSettings
from tests.simulation.simulation import Simulation
from tests.test_auditor_rejects_forged_recordings import (
    ignore_drains,
    ignore_slow_start,
    treat_executed_attempts_as_not_sent,
)

NO_REQUEST_LOST, NO_EFFECT_TWICE, DRAINS_RESPECTED, SLOW_START_RESPECTED, STATES_RELEASED = RULES
SEEDS = range(1, 9)
RECORDINGS = Path(__file__).parent / "recorded"


def simulate(seed: int, settings: SimulationSettings, monkeypatch: pytest.MonkeyPatch) -> Simulation:
    """Run a history on the simulated clock and return it."""
    simulated_clock.install(monkeypatch)
    simulation = Simulation(seed, settings)
    simulated_clock.run(simulation.run())
    return simulation


def violations(simulation: Simulation) -> dict[str, list[str]]:
    """Return examples of violations by broken rule; assert that the history has cases for every rule."""
    verdicts = audit(simulation.events, EXACT_TOLERANCE)
    for rule, verdict in verdicts.items():
        JUDGED_CASES[rule] += verdict.cases
        assert verdict.cases, f"{rule} had no cases"
    return {rule: verdict.examples for rule, verdict in verdicts.items() if verdict.violation_count}


@pytest.mark.parametrize("seed", SEEDS)
def test_seeded_history_keeps_every_rule_and_leaks_nothing(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    simulation = simulate(seed, SimulationSettings(), monkeypatch)
    assert violations(simulation) == {}
    assert simulation.leaks == []
    answers = {event["kind"] for event in simulation.events if event["what"] == "answer"}
    assert answers >= {"succeeded", "dismissed", "scrapped", "left", "lost"}
    request_classes = {event["tariff"] for event in simulation.events if event["what"] == "asked"}
    assert request_classes == {"ask", "book", "mark"}


@pytest.mark.parametrize("file", sorted(RECORDINGS.glob("*.xz")), ids=lambda file: str(file.name))
def test_recording_keeps_every_rule_and_so_does_its_replay(
    file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check a recording made on sockets, and a replay of its external events to the current fronts."""
    recording: list[Event] = [
        msgspec.json.decode(line) for line in lzma.decompress(file.read_bytes()).splitlines()
    ]
    recorded_verdicts = audit(recording)
    assert all(verdict.cases and not verdict.violation_count for verdict in recorded_verdicts.values())
    simulated_clock.install(monkeypatch)
    simulation = ReplaySimulation(1, recording)
    simulated_clock.run(simulation.run())
    assert violations(simulation) == {}
    assert simulation.leaks == []
    recorded_requests, replayed_requests = (
        sum(event["what"] == "asked" for event in events) for events in (recording, simulation.events)
    )
    assert recorded_requests == replayed_requests > 300


PRINT_DIGEST = """
import pytest
from tests.simulation.settings import SimulationSettings
from tests.test_simulated_histories import digest, simulate
with pytest.MonkeyPatch.context() as monkeypatch:
    print(digest(simulate(5, SimulationSettings(duration=50_000), monkeypatch)))
"""


def digest(simulation: Simulation) -> str:
    """Return a hash of the whole recording."""
    return sha256(msgspec.json.encode(simulation.events)).hexdigest()


def test_same_seed_gives_the_same_history_in_every_process() -> None:
    """The history must not depend on the iteration order of sets, which follows from hashes or addresses."""
    runs = [
        subprocess.run(
            [sys.executable, "-c", PRINT_DIGEST],
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONMALLOC": allocator},
        )
        for hash_seed, allocator in (("1", "pymalloc"), ("2", "malloc"), ("3", "pymalloc"))
    ]
    assert len({run.stdout.splitlines()[-1] for run in runs}) == 1


# For each rule, a patch of the real code that violates it. The test first checks that the history keeps every
# rule without the patch.


def give_no_final_response_on_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    """Patch the front to violate the rule that no request is lost."""
    timer_fired, finish = Front.timer_fired, Front.finish
    not_given = (ResponseKind.REJECTED, ResponseKind.INDETERMINATE)
    monkeypatch.setattr(
        Front,
        "finish",
        lambda front, pending, final: final.kind not in not_given and finish(front, pending, final),
    )
    monkeypatch.setattr(
        Front,
        "timer_fired",
        lambda front, timer: None if isinstance(timer, DeadlineGuardTimer) else timer_fired(front, timer),
    )


def release_no_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Patch the front to violate the rule that states are released."""

    async def release(front: Front, *arguments: Any) -> None:
        return

    monkeypatch.setattr(Front, "_release", release)


VIOLATIONS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], SimulationSettings]] = {
    NO_REQUEST_LOST: (give_no_final_response_on_failure, SimulationSettings()),
    NO_EFFECT_TWICE: (treat_executed_attempts_as_not_sent, SimulationSettings()),
    DRAINS_RESPECTED: (ignore_drains, SimulationSettings()),
    SLOW_START_RESPECTED: (
        ignore_slow_start,
        SimulationSettings(slow_start_overload_multiple=0.4, requests_per_second=70.0),
    ),
    STATES_RELEASED: (release_no_state, SimulationSettings()),
}


@pytest.mark.parametrize("rule", RULES)
def test_history_with_one_violation_breaks_that_rule_alone(
    rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    violate, settings = VIOLATIONS[rule]
    settings = replace(settings, duration=100_000)
    assert violations(simulate(3, settings, monkeypatch)) == {}
    violate(monkeypatch)
    assert list(violations(simulate(3, settings, monkeypatch))) == [rule]
