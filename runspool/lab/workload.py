"""Who asks what and when: every query of a day, drawn beforehand from the plan's seed. No I/O, no clock."""

from __future__ import annotations

import base64
from itertools import pairwise
from random import Random

import msgspec

from runspool.lab.plan import SECOND, Plan, RequestClassPlan, Trouble
from runspool.wire.fields import BYTES_PER_TOKEN

MOST_PROMPT = 60_000


class Item(msgspec.Struct):
    """One query, with the tries it may take. Times in tenths of a millisecond from the day's start."""

    id: str
    at: int
    zone: int
    tariff: int
    tenant: int
    session: str
    parts: list[tuple[str, int]]  # names and lengths of the texts that make up the prompt
    beginning: str
    beginning_length: int
    prompt: int
    out: int
    stream: bool
    limit: int
    due: int
    retries: int
    backoff: int
    leaves_after: int = 0
    reads_slowly: bool = False
    poison: bool = False  # fells the engine that writes it


def text_of(name: str, tokens: int) -> str:
    """A text that is the same wherever its name is."""
    raw = Random(name).randbytes(tokens * 3)
    return base64.b64encode(raw).decode()[: tokens * BYTES_PER_TOKEN]


def crowd(plan: Plan) -> list[Item]:
    """All queries of the day in order of time."""
    rng = Random(plan.seed * 7919 + 1)
    by = {
        kind: [one for one in plan.troubles if one.kind == kind]
        for kind in ("burst", "tenant_burst", "hot_key", "heavy_tail", "retry_abuse", "leaving", "poison")
    }
    turns = sum(row.share * row.turns for row in plan.tariffs)
    peak = plan.rate * 8
    items: list[Item] = []
    at, number = 0.0, 0
    weights = [row.share for row in plan.tenants]
    while True:
        at += rng.expovariate(peak) * SECOND
        if at >= plan.length:
            break
        rate = plan.rate / turns * _shape(plan, at) * _times(by["burst"], at)
        if rng.random() * peak > rate:
            continue
        number += 1
        items += _session(plan, rng, str(number), round(at), weights, by)
    for nth, one in enumerate(by["tenant_burst"]):
        items += _burst(plan, nth, one, plan.rate / turns, by)
    items.sort(key=lambda item: item.at)
    return items


def _burst(plan: Plan, nth: int, one: Trouble, rate: float, by: dict[str, list[Trouble]]) -> list[Item]:
    """What a tenant sends beyond its share; by draws of its own: all others ask what they ask without."""
    rng = Random(plan.seed * 7919 + 2 + nth)
    share = plan.tenants[one.which].share / max(1e-9, sum(row.share for row in plan.tenants))
    items: list[Item] = []
    weights = [float(index == one.which) for index in range(len(plan.tenants))]
    at, number = float(one.at), 0
    while one.size > 1:
        at += rng.expovariate(rate * share * (one.size - 1)) * SECOND
        if at >= min(one.at + one.length, plan.length):
            break
        number += 1
        items += _session(plan, rng, f"b{nth}-{number}", round(at), weights, by)
    return items


def _session(
    plan: Plan, rng: Random, number: str, at: int, weights: list[float], by: dict[str, list[Trouble]]
) -> list[Item]:
    tariff = rng.choices(range(len(plan.tariffs)), [row.share for row in plan.tariffs])[0]
    tenant = rng.choices(range(len(plan.tenants)), weights)[0]
    zone, row = rng.randrange(len(plan.zones)), plan.tariffs[tariff]
    beginning, length = "", 0
    hot = next((one for one in by["hot_key"] if _during(one, at) and rng.random() < one.size), None)
    if hot is not None:
        beginning, length = f"hot-{hot.at}-{rng.randrange(max(1, int(hot.extra) or 1))}", 3000
    elif rng.random() < row.beginning_share:
        beginning, length = f"rules-{tariff}-{min(int(rng.paretovariate(1.0)), 12)}", row.beginning_tokens
    parts = [(beginning, length)] if length else []
    found = []
    for turn in range(int(row.turns) + (rng.random() < row.turns - int(row.turns))):
        new = _tokens(rng, row.new_tokens)
        heavy = next(
            (
                one
                for one in by["heavy_tail"]
                if _during(one, at) and one.which == tariff and rng.random() < one.extra
            ),
            None,
        )
        if heavy is not None:
            new = int(new * heavy.size)
        new = min(new, MOST_PROMPT - sum(size for _, size in parts))
        if new <= 0 or at >= plan.length:
            break
        parts = [*parts, (f"s{number}-{turn}", new)]
        found.append(
            _item(
                plan,
                rng,
                row,
                f"{number}-{turn}",
                at,
                zone,
                tariff,
                tenant,
                f"session-{number}",
                parts,
                beginning,
                length,
                by,
            )
        )
        at += round(rng.uniform(1.0, 4.0) * SECOND)
    return found


def _item(
    plan: Plan,
    rng: Random,
    row: RequestClassPlan,
    name: str,
    at: int,
    zone: int,
    tariff: int,
    tenant: int,
    session: str,
    parts: list[tuple[str, int]],
    beginning: str,
    length: int,
    by: dict[str, list[Trouble]],
) -> Item:
    prompt = sum(size for _, size in parts)
    due = row.due + row.due_per_1000 * prompt // 1000
    limit = round((row.limit + 2 * row.due_per_1000 * prompt // 1000) * plan.clients.limit_share)
    item = Item(
        name,
        at,
        zone,
        tariff,
        tenant,
        session,
        parts,
        beginning,
        length,
        prompt,
        _tokens(rng, row.out_tokens),
        rng.random() < 0.8,
        limit,
        due,
        plan.clients.retries,
        plan.clients.backoff,
    )
    leaving = plan.clients.leaving + sum(one.size for one in by["leaving"] if _during(one, at))
    if rng.random() < leaving:
        item.leaves_after = rng.randrange(500, 3 * SECOND)
    item.reads_slowly = item.stream and rng.random() < plan.clients.slow_readers
    for one in by["poison"]:
        if _during(one, at) and one.which == tenant:
            item.poison = rng.random() < one.size
    for one in by["retry_abuse"]:
        if _during(one, at) and one.which == tenant:
            item.limit = max(2_000, round(due * one.extra))
            item.retries, item.backoff = int(one.size), 0
    return item


def _tokens(rng: Random, mean: int) -> int:
    return max(4, min(8 * mean, round(rng.lognormvariate(0, 0.5) * mean / 1.13)))


def _during(one: Trouble, at: float) -> bool:
    return one.at <= at < one.at + max(one.length, 1)


def _times(troubles: list[Trouble], at: float) -> float:
    found = 1.0
    for one in troubles:
        if _during(one, at):
            found *= one.size
    return found


def _shape(plan: Plan, at: float) -> float:
    points = plan.shape
    if not points:
        return 1.0
    second = at / SECOND
    for (before, low), (after, high) in pairwise(points):
        if before <= second <= after:
            return low + (high - low) * (second - before) / max(1e-9, after - before)
    return points[-1][1] if second > points[-1][0] else points[0][1]
