"""Compute the verdict on a scenario from its recording, and write it as JSON and as a text report.

The verdict contains the result of the audit, the value served in time, the times to the first token and the
outcomes of the requests. Its keys are stored in verdict.json and used by the template of the report.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import TypedDict

from hdrh.histogram import HdrHistogram
from jinja2 import Environment, PackageLoader, StrictUndefined

from runspool.lab.audit import ClientAttemptRecord, History, RuleVerdict, check_rules, read_history
from runspool.lab.plan import SECOND, ScenarioPlan
from runspool.lab.recording import Event
from runspool.units import TENTHS_PER_MS

MAX_FIRST_TOKEN_TIME = 10_000_000  # tenths of a millisecond; longer times count as this in the histogram
HISTOGRAM_DIGITS = 3  # significant digits of the values in the histogram
QUANTILES = (50, 99, 99.9)  # percentiles of the time to the first token that are reported

# A stream has no value if its mean time per token is longer than this multiple of its class's
# `time_per_output_token`.
SLOW_STREAM_MULTIPLE = 2
TEMPLATE = "report.txt"


class RuleSummary(TypedDict):
    """The result of one rule of the audit: the number of cases and of violations, and examples of these."""

    cases: int
    broken: int
    examples: list[str]


class ValueServed(TypedDict):
    """The value served in time as a fraction of the value requested: total, by request class, by tenant."""

    whole: float
    tariffs: dict[str, float]
    tenants: dict[str, float]


class FaultSummary(TypedDict):
    """An injected fault, with its start in milliseconds after the start of the scenario."""

    kind: str
    at_ms: int


class ScenarioSize(TypedDict):
    """The size of the scenario."""

    fronts: int
    engines: int
    queries_a_second: float
    seconds: float


class ScenarioVerdict(TypedDict):
    """The verdict on one scenario. Times are in milliseconds."""

    day: str
    seed: int
    kept: bool
    rules: dict[str, RuleSummary]
    unjudged: list[str]
    gain: ValueServed
    first_token_ms: dict[str, float]
    outcomes: dict[str, int]
    shots: dict[str, int]
    tries: int
    shots_a_try: float
    troubles: list[FaultSummary]
    size: ScenarioSize
    fronts_stopped: dict[str, int | None]


def scenario_verdict(events: list[Event]) -> ScenarioVerdict:
    """Audit a recording and return the verdict.

    Raises:
        UnreadableRecordingError: the recording cannot be audited.
    """
    history = read_history(events)
    rules = check_rules(history)
    attempts = history.client_attempts.values()
    engine_attempts = history.engine_attempts.values()
    return {
        "day": history.plan.name,
        "seed": history.plan.seed,
        "kept": all(rule.violation_count == 0 for rule in rules.values()),
        "rules": {name: _summarize_rule(rule) for name, rule in rules.items()},
        "unjudged": [name for name, rule in rules.items() if rule.cases == 0],
        "gain": _value_served(history),
        "first_token_ms": _first_token_quantiles(history),
        "outcomes": dict(Counter(attempt.answer_kind for attempt in attempts)),
        "shots": dict(Counter(attempt.end_status for attempt in engine_attempts)),
        "tries": len(attempts),
        "shots_a_try": round(len(engine_attempts) / max(1, len(attempts)), 2),
        "troubles": _summarize_faults(events),
        "size": _summarize_size(history.plan),
        "fronts_stopped": {
            event["front"]: event["code"] for event in events if event["what"] == "front_stopped"
        },
    }


def render_report(verdict: ScenarioVerdict) -> str:
    """Return the verdict as a text report."""
    environment = Environment(
        loader=PackageLoader("runspool.lab"),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    return environment.get_template(TEMPLATE).render(verdict)


def write_report(verdict: ScenarioVerdict, folder: Path) -> None:
    """Write the verdict to verdict.json and report.txt in the folder."""
    (folder / "verdict.json").write_text(json.dumps(verdict, indent=1))
    (folder / "report.txt").write_text(render_report(verdict))


def share_of_value(
    plan: ScenarioPlan, first_attempt: ClientAttemptRecord, attempt: ClientAttemptRecord
) -> float:
    """Return the fraction of its value, from 0 to 1, that a request has if only `attempt` is counted.

    The first-token objective is measured from the start of the first attempt.
    """
    answer = attempt.answer
    if answer is None or answer["kind"] != "succeeded" or attempt.first_token_at is None:
        return 0.0
    asked = first_attempt.asked
    request_class = next(candidate for candidate in plan.request_classes if candidate.name == asked["tariff"])
    time_per_token = request_class.time_per_output_token
    objective_at = asked["t"] + asked["due"]
    if attempt.stream_end is None:  # not streamed: `first_token_at` is the end of the response
        in_time = attempt.first_token_at <= objective_at + asked["out"] * time_per_token
        return 1.0 if in_time else request_class.late_value
    stream_time = attempt.stream_end["t"] - attempt.first_token_at
    measured_time_per_token = stream_time / max(1, attempt.stream_end["tokens"])
    if attempt.first_token_at <= objective_at and measured_time_per_token <= time_per_token:
        return 1.0
    if measured_time_per_token <= SLOW_STREAM_MULTIPLE * time_per_token:
        return request_class.late_value
    return 0.0


def _summarize_rule(rule: RuleVerdict) -> RuleSummary:
    return {"cases": rule.cases, "broken": rule.violation_count, "examples": rule.examples}


def _summarize_faults(events: list[Event]) -> list[FaultSummary]:
    """Return the faults that were injected, in the order in which they began."""
    begin = next((event["at"] for event in events if event["what"] == "begin"), 0)
    return [
        {"kind": event["kind"], "at_ms": round(event["t"] / TENTHS_PER_MS - begin / TENTHS_PER_MS)}
        for event in events
        if event["what"] == "trouble"
    ]


def _summarize_size(plan: ScenarioPlan) -> ScenarioSize:
    return {
        "fronts": len(plan.fronts),
        "engines": len(plan.engines),
        "queries_a_second": plan.requests_per_second,
        "seconds": plan.duration / SECOND,
    }


def _value_served(history: History) -> ValueServed:
    """Compute the value served in time. A request counts with the best of its attempts."""
    weights = {
        request_class.name: request_class.priority_weight for request_class in history.plan.request_classes
    }
    asked: dict[tuple[str, str], float] = defaultdict(float)
    earned: dict[tuple[str, str], float] = defaultdict(float)
    for attempts in history.attempts_by_request().values():
        if any(attempt.answer_kind == "left" for attempt in attempts):
            continue  # requests whose client disconnected are not counted
        first = attempts[0]
        class_name, tenant = first.asked["tariff"], first.asked["tenant"]
        share = max(share_of_value(history.plan, first, attempt) for attempt in attempts)
        for key in (("all", "all"), ("tariff", class_name), ("tenant", tenant)):
            asked[key] += weights[class_name]
            earned[key] += weights[class_name] * share
    shares = {key: round(earned[key] / asked[key], 4) for key in asked}
    return {
        "whole": shares.get(("all", "all"), 0.0),
        "tariffs": {name: share for (scope, name), share in shares.items() if scope == "tariff"},
        "tenants": {name: share for (scope, name), share in shares.items() if scope == "tenant"},
    }


def _first_token_quantiles(history: History) -> dict[str, float]:
    """Return percentiles of the time to the first token of streamed responses, in milliseconds."""
    histogram = HdrHistogram(1, MAX_FIRST_TOKEN_TIME, HISTOGRAM_DIGITS)
    for attempt in history.client_attempts.values():
        if attempt.first_token_at is not None and attempt.asked["stream"]:
            elapsed = attempt.first_token_at - attempt.asked["t"]
            histogram.record_value(max(1, min(MAX_FIRST_TOKEN_TIME, elapsed)))
    return {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / TENTHS_PER_MS
        for quantile in QUANTILES
    }
