"""What a day came to: the rules, the gain served in time, first tokens, outcomes; as data and as a page."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from jinja2 import Environment, PackageLoader, StrictUndefined

from runspool.lab.audit import History, Judged, TrySeen, history, judge
from runspool.lab.plan import Plan
from runspool.lab.recording import Event

LONGEST = 10_000_000  # tenths of a millisecond that the histogram of first tokens can hold


def verdict(events: list[Event]) -> dict[str, Any]:
    """Judges a recording. Times in milliseconds; gains as shares of what was asked. Raises Unreadable."""
    found = history(events)
    rules = judge(found)
    gain = _gain(found)
    troubles = [
        {"kind": event["kind"], "at_ms": event["t"] / 10} for event in events if event["what"] == "trouble"
    ]
    begin = next((event["at"] for event in events if event["what"] == "begin"), 0)
    for trouble in troubles:
        trouble["at_ms"] = round(trouble["at_ms"] - begin / 10)
    return {
        "day": found.plan.name,
        "seed": found.plan.seed,
        "kept": all(rule.broken == 0 for rule in rules.values()),
        "rules": {name: _rule(rule) for name, rule in rules.items()},
        "unjudged": [name for name, rule in rules.items() if rule.cases == 0],
        "gain": gain,
        "first_token_ms": _first_tokens(found),
        "outcomes": dict(
            Counter(seen.answer["kind"] if seen.answer else "none" for seen in found.tries.values())
        ),
        "shots": dict(Counter(shot.how for shot in found.shots.values())),
        "tries": len(found.tries),
        "shots_a_try": round(len(found.shots) / max(1, len(found.tries)), 2),
        "troubles": troubles,
        "size": {
            "fronts": len(found.plan.fronts),
            "engines": len(found.plan.engines),
            "queries_a_second": found.plan.rate,
            "seconds": found.plan.length / 10_000,
        },
        "fronts_stopped": {
            event["front"]: event["code"] for event in events if event["what"] == "front_stopped"
        },
    }


def page(said: dict[str, Any]) -> str:
    """The verdict as one page of text."""
    rooms = Environment(
        loader=PackageLoader("runspool.lab"),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    return rooms.get_template("day.txt").render(said)


def _rule(rule: Judged) -> dict[str, Any]:
    return {"cases": rule.cases, "broken": rule.broken, "examples": rule.examples}


def _served(plan: Plan, first: TrySeen, last: TrySeen) -> float:
    """Which part of its gain a query earned; its due time runs from its first try."""
    if last.answer is None or last.answer["kind"] != "succeeded" or last.first is None:
        return 0.0
    row = next(row for row in plan.tariffs if row.name == first.asked["tariff"])
    out = first.asked["out"]
    due = first.asked["t"] + first.asked["due"]
    if last.end is None:  # a whole answer: its first token is not seen, its end is
        return 1.0 if last.first <= due + out * row.pace else row.late_share
    streamed = last.end["t"] - last.first
    slow = streamed / max(1, last.end["tokens"])
    if last.first <= due and slow <= row.pace:
        return 1.0
    return row.late_share if slow <= 2 * row.pace else 0.0


def _gain(found: History) -> dict[str, Any]:
    gains = {row.name: row.gain for row in found.plan.tariffs}
    asked: dict[tuple[str, str], float] = defaultdict(float)
    got: dict[tuple[str, str], float] = defaultdict(float)
    items: dict[str, list[TrySeen]] = defaultdict(list)
    for seen in found.tries.values():
        items[seen.asked["item"]].append(seen)
    for tries in items.values():
        if any(seen.answer and seen.answer["kind"] == "left" for seen in tries):
            continue  # whoever leaves asks for nothing any more
        name, tenant = tries[0].asked["tariff"], tries[0].asked["tenant"]
        part = max(_served(found.plan, tries[0], seen) for seen in tries)
        for key in (("all", "all"), ("tariff", name), ("tenant", tenant)):
            asked[key] += gains[name]
            got[key] += gains[name] * part
    share = {key: round(got[key] / asked[key], 4) for key in asked}
    return {
        "whole": share.get(("all", "all"), 0.0),
        "tariffs": {name: part for (of, name), part in share.items() if of == "tariff"},
        "tenants": {name: part for (of, name), part in share.items() if of == "tenant"},
    }


def _first_tokens(found: History) -> dict[str, float]:
    seen = HdrHistogram(1, LONGEST, 3)
    for one in found.tries.values():
        if one.first is not None and one.asked["stream"]:
            seen.record_value(max(1, min(LONGEST, one.first - one.asked["t"])))
    return {f"p{quantile:g}": seen.get_value_at_percentile(quantile) / 10 for quantile in (50, 99, 99.9)}


def write(said: dict[str, Any], folder: Path) -> None:
    """Leaves verdict.json and report.txt."""
    (folder / "verdict.json").write_text(json.dumps(said, indent=1))
    (folder / "report.txt").write_text(page(said))
