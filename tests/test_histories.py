"""Seeded histories of real fronts, judged with no slack; and for each rule one that must be refused."""

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

from runspool.lab.audit import EXACT, RULES, audit
from runspool.lab.recording import Event
from runspool.service.front import Front
from runspool.service.timer_queue import DeadlineGuardTimer
from tests import simulated_clock
from tests.conftest import JUDGED
from tests.histories import Days, Recorded, World
from tests.test_doctored import does_not_hear_of_drains, forgets_that_it_may_have_run, takes_cold_for_warm

LOST, TWICE, DRAINS, COLD, PINNED = RULES
SEEDS = range(1, 9)
NIGHTS = Path(__file__).parent / "recorded"


def played(seed: int, days: Days, patch: pytest.MonkeyPatch) -> World:
    simulated_clock.install(patch)
    world = World(seed, days)
    simulated_clock.run(world.run())
    return world


def broken(world: World) -> dict[str, list[str]]:
    found = audit(world.events, EXACT)
    for rule, judged in found.items():
        JUDGED[rule] += judged.cases
        assert judged.cases, f"{rule} was never at stake"
    return {rule: judged.examples for rule, judged in found.items() if judged.broken}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seeded_history_keeps_every_rule_and_leaves_nothing_behind(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = played(seed, Days(), monkeypatch)
    assert broken(world) == {}
    assert world.left_over == []
    kinds = {event["kind"] for event in world.events if event["what"] == "answer"}
    assert kinds >= {"succeeded", "dismissed", "scrapped", "left", "lost"}
    assert {event["tariff"] for event in world.events if event["what"] == "asked"} == {"ask", "book", "mark"}


@pytest.mark.parametrize("night", sorted(NIGHTS.glob("*.xz")), ids=lambda file: str(file.name))
def test_a_recorded_night_keeps_every_rule_and_so_does_its_replay(
    night: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Recorded on sockets; then what happened around the fronts happens again to the code of today."""
    recording: list[Event] = [
        msgspec.json.decode(line) for line in lzma.decompress(night.read_bytes()).splitlines()
    ]
    as_it_was = audit(recording)
    assert all(judged.cases and not judged.broken for judged in as_it_was.values())
    simulated_clock.install(monkeypatch)
    world = Recorded(1, recording)
    simulated_clock.run(world.run())
    assert broken(world) == {}
    assert world.left_over == []
    asked = [sum(one["what"] == "asked" for one in events) for events in (recording, world.events)]
    assert asked[0] == asked[1] > 300


DIGEST = """
import pytest
from tests.histories import Days
from tests.test_histories import digest, played
with pytest.MonkeyPatch.context() as patch:
    print(digest(played(5, Days(length=50_000), patch)))
"""


def digest(world: World) -> str:
    return sha256(msgspec.json.encode(world.events)).hexdigest()


def test_the_same_seed_is_the_same_history_in_every_process() -> None:
    """Whatever order the interpreter gives its sets, by hash or by address: the same news, the same picks."""
    runs = [
        subprocess.run(
            [sys.executable, "-c", DIGEST],
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hashing, "PYTHONMALLOC": memory},
        )
        for hashing, memory in (("1", "pymalloc"), ("2", "malloc"), ("3", "pymalloc"))
    ]
    assert len({run.stdout.splitlines()[-1] for run in runs}) == 1


# One breach a rule, in the real code; the same history without it is the test above, or the sound case below.


def answers_nothing_when_it_cannot_serve(patch: pytest.MonkeyPatch) -> None:
    sound = Front._timer_fired
    patch.setattr(Front, "reject", lambda front, query, hold_off: None)
    patch.setattr(Front, "fail_indeterminate", lambda front, query: None)
    patch.setattr(
        Front,
        "_timer_fired",
        lambda front, timer: None if isinstance(timer, DeadlineGuardTimer) else sound(front, timer),
    )


def lets_no_state_go(patch: pytest.MonkeyPatch) -> None:
    async def let_go(front: Front, *said: Any) -> None:
        return

    patch.setattr(Front, "_release", let_go)


REFUSED: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], Days]] = {
    LOST: (answers_nothing_when_it_cannot_serve, Days()),
    TWICE: (forgets_that_it_may_have_run, Days()),
    DRAINS: (does_not_hear_of_drains, Days()),
    COLD: (takes_cold_for_warm, Days(fall_multiple=0.4, rate=70.0)),
    PINNED: (lets_no_state_go, Days()),
}


@pytest.mark.parametrize("rule", RULES)
def test_a_history_with_one_breach_is_refused_for_that_rule_alone(
    rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    breach, days = REFUSED[rule]
    days = replace(days, length=100_000)
    assert broken(played(3, days, monkeypatch)) == {}
    breach(monkeypatch)
    assert list(broken(played(3, days, monkeypatch))) == [rule]
