"""The auditor against sabotaged recordings: each rule broken in each way that it must find."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from runspool.lab.audit import RULES, audit
from runspool.lab.recording import Event, UnreadableRecordingError
from tests.small_fleet import small_plan

LOST, TWICE, DRAINS, PUSHED, PINNED = RULES


def say(time: int, what: str, /, **said: Any) -> Event:
    if "try_" in said:
        said["try"] = said.pop("try_")
    return {"t": time, "what": what, **said}


def shot(
    start: int,
    end: int,
    number: int,
    engine: str = "e2",
    stage: str = "write",
    try_: str = "1.1",
    tariff: str = "book",
    how: str = "done",
    ran: bool = True,
) -> list[Event]:
    request = f"{try_}.{number}"
    return [
        say(
            start,
            "arrived",
            engine=engine,
            request=request,
            head=start,
            peer="127.0.0.11",
            stage=stage,
            tariff=tariff,
            try_=try_,
        ),
        *([say(start + 5, "ran", engine=engine, request=request, try_=try_)] if ran else []),
        say(end, "ended", engine=engine, request=request, how=how, try_=try_),
    ]


def asked(at: int, tariff: str = "book", try_: str = "1.1", limit: int = 60_000) -> list[Event]:
    return [
        say(
            at,
            "asked",
            item=try_.split(".")[0],
            front="front-0",
            tariff=tariff,
            tenant="one",
            limit=limit,
            due=20_000,
            prompt=200,
            out=20,
            number=1,
            stream=True,
            try_=try_,
        ),
        say(at + 1, "sent", try_=try_),
    ]


def answer(at: int, kind: str = "succeeded", try_: str = "1.1") -> list[Event]:
    return [say(at, "answer", kind=kind, code="", at=at, try_=try_)]


def clean(tariff: str = "book") -> list[Event]:
    """One query: read at e0, its state fetched by e2, answered; e1 drains; e3 starts cold."""
    return [
        say(0, "day", plan=msgspec.to_builtins(small_plan(["prefill", "prefill", "decode", "decode"]))),
        say(
            1,
            "told",
            front="front-0",
            version=1,
            whole=True,
            engines=[["e0", "on", 0], ["e1", "on", 0], ["e2", "on", 0], ["e3", "on", 0]],
        ),
        say(2, "told", front="front-0", version=2, whole=False, engines=[["e1", "draining", 0]]),
        say(
            3,
            "engine_up",
            engine="e3",
            role="writer",
            zone="a",
            rack=0,
            cold=True,
            cold_from=0.25,
            cold_time=100_000,
            multiple=2.5,
            fall_time=15_000,
            work={"book": 1000.0},
        ),
        *asked(10_000, tariff),
        *shot(10_010, 10_100, 1, "e0", "read", how="read", ran=False, tariff=tariff),
        say(10_099, "held", engine="e0", state="1.1.1", tokens=200, try_="1.1"),
        *shot(10_110, 20_000, 2, tariff=tariff),
        say(10_300, "taken", engine="e0", state="1.1.1", by="e2"),
        say(10_500, "first", try_="1.1"),
        say(20_000, "end", tokens=20, finish="stop", try_="1.1"),
        *answer(20_001),
    ]


def without(events: list[Event], *whats: str) -> list[Event]:
    return [event for event in events if event["what"] not in whats]


def judged(events: list[Event]) -> dict[str, int]:
    return {
        name: rule.violation_count
        for name, rule in audit(sorted(events, key=lambda event: event["t"])).items()
        if rule.violation_count
    }


def test_a_clean_recording_passes_with_every_rule_at_stake() -> None:
    rules = audit(sorted(clean(), key=lambda event: event["t"]))
    assert {name: rule.violation_count for name, rule in rules.items()} == dict.fromkeys(RULES, 0)
    assert all(rule.cases for rule in rules.values())


def ticketed(second: str, at: int) -> list[Event]:
    """A ticketed query whose first shot may have run, and another shot."""
    whole = [
        event
        for event in clean("mark")
        if not (event["what"] in ("arrived", "ran", "ended") and event["request"] == "1.1.2")
    ]
    return [
        *whole,
        *shot(10_110, 10_400, 2, tariff="mark", how="mishap"),
        *shot(at, at + 100, 3, second, tariff="mark", how="done"),
    ]


SABOTAGED: dict[str, tuple[str, Callable[[], list[Event]]]] = {
    "no answer": (LOST, lambda: without(clean(), "answer", "first", "end")),
    "no answer, and the client says so": (
        LOST,
        lambda: [*without(clean(), "answer", "first", "end"), *answer(90_000, "none")],
    ),
    "a connection lost with no front killed": (
        LOST,
        lambda: [*without(clean(), "answer", "end"), *answer(15_000, "lost")],
    ),
    "two answers": (LOST, lambda: [*clean(), *answer(20_100)]),
    "more after the answer": (LOST, lambda: [*clean(), say(20_100, "extra", bytes=9, try_="1.1")]),
    "a late answer": (
        LOST,
        lambda: [*without(clean(), "answer", "first", "end"), *answer(72_000, "scrapped")],
    ),
    "a late first token": (LOST, lambda: [*without(clean(), "first"), say(71_000, "first", try_="1.1")]),
    "a gap in a stream": (LOST, lambda: [*clean(), say(15_000, "gap", try_="1.1")]),
    "sent after the end": (
        LOST,
        lambda: [*clean(), *shot(25_000, 25_100, 3, "e3", "read", how="read", ran=False)],
    ),
    "exclusive run twice": (TWICE, lambda: [*clean(), *shot(20_000, 20_001, 3, "e3")]),
    "exclusive sent again after it may have run": (
        TWICE,
        lambda: [*clean(), *shot(10_050, 10_060, 9, "e3", how="mishap", ran=False)],
    ),
    "exclusive sent again after its engine was killed": (
        TWICE,
        lambda: [
            *clean(),
            *shot(10_050, 10_060, 9, "e3", ran=False)[:1],
            say(10_070, "killed", process="e3", engine="e3"),
        ],
    ),
    "exclusive dismissed though it may have run": (
        TWICE,
        lambda: [*without(clean(), "answer", "first", "end"), *answer(20_001, "dismissed")],
    ),
    "two shots at once": (
        TWICE,
        lambda: [*clean("ask"), *shot(12_000, 15_000, 3, "e3", tariff="ask", ran=False)],
    ),
    "ticket outside its group": (
        TWICE,
        lambda: [
            event | ({"plan": _elsewhere(event["plan"])} if event["what"] == "day" else {})
            for event in ticketed("e3", 12_500)
        ],
    ),
    "ticket past its window": (TWICE, lambda: ticketed("e3", 10_110 + 60_000)),
    "sent after a drain": (
        DRAINS,
        lambda: [*clean(), *shot(9_000, 9_010, 3, "e1", "read", try_="0.1", how="read", ran=False)],
    ),
    "sent after a list that no longer names it": (
        DRAINS,
        lambda: [
            *clean(),
            say(3_000, "told", front="front-0", version=3, whole=True, engines=[["e0", "on", 0]]),
        ],
    ),
    "cold engine flooded": (
        PUSHED,
        lambda: [
            *clean(),
            say(4, "told", front="front-0", version=3, whole=False, engines=[["e3", "on", 5]]),
            *[
                event
                for number in range(60)
                for event in shot(1_000 + 10 * number, 1_005 + 10 * number, number, "e3", try_=f"9{number}.1")
            ],
        ],
    ),
    "state kept": (
        PINNED,
        lambda: [
            event | ({"t": 18_000} if event["what"] == "taken" else {})
            for event in clean()
            if event.get("request") != "1.1.2"
        ],
    ),
    "state kept, its front killed long after": (
        PINNED,
        lambda: [
            *(
                event | ({"t": 30_000} if event["what"] == "taken" else {})
                for event in clean()
                if event.get("request") != "1.1.2"
            ),
            say(29_000, "killed", process="front-0", front="front-0"),
        ],
    ),
    "no answer, its front killed long after": (
        LOST,
        lambda: [
            *without(clean(), "answer", "first", "end"),
            say(90_000, "killed", process="front-0", front="front-0"),
        ],
    ),
    "sent after a drain that late news overtook": (
        DRAINS,
        lambda: [
            *clean(),
            say(2_500, "told", front="front-0", version=1, whole=False, engines=[["e1", "on", 0]]),
            *shot(9_000, 9_010, 3, "e1", "read", try_="0.1", how="read", ran=False),
        ],
    ),
    "state never let go": (
        PINNED,
        lambda: [event for event in without(clean(), "taken") if event.get("request") != "1.1.2"],
    ),
}


def _elsewhere(plan_said: Any) -> Any:
    said = msgspec.json.decode(msgspec.json.encode(plan_said))
    said["engines"][3]["make"]["zone"] = "b"
    return said


@pytest.mark.parametrize("how", SABOTAGED)
def test_a_sabotaged_recording_is_found_out(how: str) -> None:
    rule, events = SABOTAGED[how]
    assert rule in judged(events())


def test_what_a_killed_front_held_is_no_longer_its_duty() -> None:
    events = [
        *without(clean(), "answer", "first", "end", "taken"),
        *answer(15_000, "lost"),
        say(10_120, "killed", process="front-0", front="front-0"),
    ]
    assert judged(events) == {}


def test_a_ticketed_query_within_group_and_window_is_no_breach() -> None:
    assert judged(ticketed("e3", 12_500)) == {}


def test_a_drain_obeyed_within_its_grace_is_no_breach() -> None:
    events = [*clean(), *shot(1_500, 1_510, 3, "e1", "read", try_="0.1", how="read", ran=False)]
    assert judged(events) == {}


def test_a_recording_that_cannot_be_judged_is_no_pass() -> None:
    with pytest.raises(UnreadableRecordingError):
        audit([])
    with pytest.raises(UnreadableRecordingError):
        audit([say(0, "day", plan={})])
    with pytest.raises(UnreadableRecordingError):
        audit([clean()[0], say(1, "sent", try_="never asked")])
