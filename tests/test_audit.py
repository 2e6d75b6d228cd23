"""The auditor against forged recordings.

Each recording violates one rule in one way that the auditor has to detect. The names of events, their fields
and their values are those of the recording format ("shot": attempt, "query": request, "ticket": deduplication
key, "read" and "write": prefill and decode, "book", "ask" and "mark": the request classes of the plan).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from runspool.lab.audit import RULES, audit
from runspool.lab.recording import Event, UnreadableRecordingError
from tests.small_fleet import small_plan

REQUEST_LOST, EXECUTED_TWICE, SENT_AFTER_DRAIN, COLD_OVERLOADED, STATE_KEPT = RULES


def event_at(time: int, what: str, /, **fields: Any) -> Event:
    """Return an event of a recording; the field `try` is passed as `try_`, as `try` is a Python keyword."""
    if "try_" in fields:
        fields["try"] = fields.pop("try_")
    return {"t": time, "what": what, **fields}


def attempt_events(
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
    """Return the events of one attempt as its engine records them."""
    request = f"{try_}.{number}"
    return [
        event_at(
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
        *([event_at(start + 5, "ran", engine=engine, request=request, try_=try_)] if ran else []),
        event_at(end, "ended", engine=engine, request=request, how=how, try_=try_),
    ]


def request_events(at: int, tariff: str = "book", try_: str = "1.1", limit: int = 60_000) -> list[Event]:
    """Return the events of a client that sends a request."""
    return [
        event_at(
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
        event_at(at + 1, "sent", try_=try_),
    ]


def answer_events(at: int, kind: str = "succeeded", try_: str = "1.1") -> list[Event]:
    """Return the event of a client that has received the final response."""
    return [event_at(at, "answer", kind=kind, code="", at=at, try_=try_)]


def clean_recording(tariff: str = "book") -> list[Event]:
    """Return the recording of one request that is prefilled at e0 and decoded at e2, without violations.

    In it e1 drains and e3 starts cold.
    """
    return [
        event_at(0, "day", plan=msgspec.to_builtins(small_plan(["prefill", "prefill", "decode", "decode"]))),
        event_at(
            1,
            "told",
            front="front-0",
            version=1,
            whole=True,
            engines=[["e0", "on", 0], ["e1", "on", 0], ["e2", "on", 0], ["e3", "on", 0]],
        ),
        event_at(2, "told", front="front-0", version=2, whole=False, engines=[["e1", "draining", 0]]),
        event_at(
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
        *request_events(10_000, tariff),
        *attempt_events(10_010, 10_100, 1, "e0", "read", how="read", ran=False, tariff=tariff),
        event_at(10_099, "held", engine="e0", state="1.1.1", tokens=200, try_="1.1"),
        *attempt_events(10_110, 20_000, 2, tariff=tariff),
        event_at(10_300, "taken", engine="e0", state="1.1.1", by="e2"),
        event_at(10_500, "first", try_="1.1"),
        event_at(20_000, "end", tokens=20, finish="stop", try_="1.1"),
        *answer_events(20_001),
    ]


def without_events(events: list[Event], *names: str) -> list[Event]:
    """Return the events but for those with one of these names."""
    return [event for event in events if event["what"] not in names]


def violations(events: list[Event]) -> dict[str, int]:
    """Return the number of violations of each rule that the auditor finds violated."""
    return {
        name: rule.violation_count
        for name, rule in audit(sorted(events, key=lambda event: event["t"])).items()
        if rule.violation_count
    }


def test_a_clean_recording_passes_and_exercises_every_rule() -> None:
    rules = audit(sorted(clean_recording(), key=lambda event: event["t"]))
    assert {name: rule.violation_count for name, rule in rules.items()} == dict.fromkeys(RULES, 0)
    assert all(rule.cases for rule in rules.values())


def keyed_retry_recording(second: str, at: int) -> list[Event]:
    """Return a recording of a request with a deduplication key.

    Its first decode attempt may have executed; the engine `second` receives another attempt at time `at`.
    """
    other_events = [
        event
        for event in clean_recording("mark")
        if not (event["what"] in ("arrived", "ran", "ended") and event["request"] == "1.1.2")
    ]
    return [
        *other_events,
        *attempt_events(10_110, 10_400, 2, tariff="mark", how="mishap"),
        *attempt_events(at, at + 100, 3, second, tariff="mark", how="done"),
    ]


FORGED_RECORDINGS: dict[str, tuple[str, Callable[[], list[Event]]]] = {
    "no final response": (REQUEST_LOST, lambda: without_events(clean_recording(), "answer", "first", "end")),
    "no final response, as the client reports": (
        REQUEST_LOST,
        lambda: [
            *without_events(clean_recording(), "answer", "first", "end"),
            *answer_events(90_000, "none"),
        ],
    ),
    "a connection lost with no front killed": (
        REQUEST_LOST,
        lambda: [*without_events(clean_recording(), "answer", "end"), *answer_events(15_000, "lost")],
    ),
    "two final responses": (REQUEST_LOST, lambda: [*clean_recording(), *answer_events(20_100)]),
    "bytes after the final response": (
        REQUEST_LOST,
        lambda: [*clean_recording(), event_at(20_100, "extra", bytes=9, try_="1.1")],
    ),
    "a late final response": (
        REQUEST_LOST,
        lambda: [
            *without_events(clean_recording(), "answer", "first", "end"),
            *answer_events(72_000, "scrapped"),
        ],
    ),
    "a late first token": (
        REQUEST_LOST,
        lambda: [*without_events(clean_recording(), "first"), event_at(71_000, "first", try_="1.1")],
    ),
    "a gap in a stream": (REQUEST_LOST, lambda: [*clean_recording(), event_at(15_000, "gap", try_="1.1")]),
    "an attempt after the final response": (
        REQUEST_LOST,
        lambda: [*clean_recording(), *attempt_events(25_000, 25_100, 3, "e3", "read", how="read", ran=False)],
    ),
    "an at-most-once request executed twice": (
        EXECUTED_TWICE,
        lambda: [*clean_recording(), *attempt_events(20_000, 20_001, 3, "e3")],
    ),
    "an at-most-once request retried after it may have executed": (
        EXECUTED_TWICE,
        lambda: [*clean_recording(), *attempt_events(10_050, 10_060, 9, "e3", how="mishap", ran=False)],
    ),
    "an at-most-once request retried after its engine was killed": (
        EXECUTED_TWICE,
        lambda: [
            *clean_recording(),
            *attempt_events(10_050, 10_060, 9, "e3", ran=False)[:1],
            event_at(10_070, "killed", process="e3", engine="e3"),
        ],
    ),
    "an at-most-once request rejected although it may have executed": (
        EXECUTED_TWICE,
        lambda: [
            *without_events(clean_recording(), "answer", "first", "end"),
            *answer_events(20_001, "dismissed"),
        ],
    ),
    "two concurrent attempts": (
        EXECUTED_TWICE,
        lambda: [*clean_recording("ask"), *attempt_events(12_000, 15_000, 3, "e3", tariff="ask", ran=False)],
    ),
    "a keyed retry outside its deduplication scope": (
        EXECUTED_TWICE,
        lambda: [
            event
            | ({"plan": _with_last_engine_in_another_zone(event["plan"])} if event["what"] == "day" else {})
            for event in keyed_retry_recording("e3", 12_500)
        ],
    ),
    "a keyed retry after its deduplication window": (
        EXECUTED_TWICE,
        lambda: keyed_retry_recording("e3", 10_110 + 60_000),
    ),
    "an attempt after a drain": (
        SENT_AFTER_DRAIN,
        lambda: [
            *clean_recording(),
            *attempt_events(9_000, 9_010, 3, "e1", "read", try_="0.1", how="read", ran=False),
        ],
    ),
    "an attempt after a list without the engine": (
        SENT_AFTER_DRAIN,
        lambda: [
            *clean_recording(),
            event_at(3_000, "told", front="front-0", version=3, whole=True, engines=[["e0", "on", 0]]),
        ],
    ),
    "a cold engine overloaded": (
        COLD_OVERLOADED,
        lambda: [
            *clean_recording(),
            event_at(4, "told", front="front-0", version=3, whole=False, engines=[["e3", "on", 5]]),
            *[
                event
                for number in range(60)
                for event in attempt_events(
                    1_000 + 10 * number, 1_005 + 10 * number, number, "e3", try_=f"9{number}.1"
                )
            ],
        ],
    ),
    "a state released too late": (
        STATE_KEPT,
        lambda: [
            event | ({"t": 18_000} if event["what"] == "taken" else {})
            for event in clean_recording()
            if event.get("request") != "1.1.2"
        ],
    ),
    "a state released too late, its front killed long after": (
        STATE_KEPT,
        lambda: [
            *(
                event | ({"t": 30_000} if event["what"] == "taken" else {})
                for event in clean_recording()
                if event.get("request") != "1.1.2"
            ),
            event_at(29_000, "killed", process="front-0", front="front-0"),
        ],
    ),
    "no final response, its front killed long after": (
        REQUEST_LOST,
        lambda: [
            *without_events(clean_recording(), "answer", "first", "end"),
            event_at(90_000, "killed", process="front-0", front="front-0"),
        ],
    ),
    "an attempt after a drain that an outdated update followed": (
        SENT_AFTER_DRAIN,
        lambda: [
            *clean_recording(),
            event_at(2_500, "told", front="front-0", version=1, whole=False, engines=[["e1", "on", 0]]),
            *attempt_events(9_000, 9_010, 3, "e1", "read", try_="0.1", how="read", ran=False),
        ],
    ),
    "a state never released": (
        STATE_KEPT,
        lambda: [
            event for event in without_events(clean_recording(), "taken") if event.get("request") != "1.1.2"
        ],
    ),
}


def _with_last_engine_in_another_zone(plan: Any) -> Any:
    changed = msgspec.json.decode(msgspec.json.encode(plan))
    changed["engines"][3]["make"]["zone"] = "b"
    return changed


@pytest.mark.parametrize("forgery", FORGED_RECORDINGS)
def test_a_forged_recording_violates_its_rule(forgery: str) -> None:
    rule, events = FORGED_RECORDINGS[forgery]
    assert rule in violations(events())


def test_a_killed_front_is_not_blamed_for_its_open_requests_and_states() -> None:
    events = [
        *without_events(clean_recording(), "answer", "first", "end", "taken"),
        *answer_events(15_000, "lost"),
        event_at(10_120, "killed", process="front-0", front="front-0"),
    ]
    assert violations(events) == {}


def test_a_keyed_retry_within_its_scope_and_window_is_no_violation() -> None:
    assert violations(keyed_retry_recording("e3", 12_500)) == {}


def test_an_attempt_within_the_drain_grace_period_is_no_violation() -> None:
    events = [
        *clean_recording(),
        *attempt_events(1_500, 1_510, 3, "e1", "read", try_="0.1", how="read", ran=False),
    ]
    assert violations(events) == {}


def test_a_recording_that_cannot_be_audited_is_reported_as_unreadable() -> None:
    with pytest.raises(UnreadableRecordingError):
        audit([])
    with pytest.raises(UnreadableRecordingError):
        audit([event_at(0, "day", plan={})])
    with pytest.raises(UnreadableRecordingError):
        audit([clean_recording()[0], event_at(1, "sent", try_="never asked")])
