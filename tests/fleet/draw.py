"""Draws the plan of a trial from a seed: outages in series, changes after each return, what agents owe."""

from __future__ import annotations

from random import Random

from tests.fleet.plan import Backlog, Plan

FIRST_OUTAGE_AT = 1.0  # seconds
LONGEST_LIGHT = 4.0  # seconds between two outages of a series
LATEST_CHANGE = 3.0  # seconds after a return
CHANGES_AFTER_RETURN = 2
WATCHED_AFTER = 3.0  # seconds after the last return and what may follow it


def draw_plan(seed: int, nodes: int = 0) -> Plan:
    """Returns the plan of a seed; with `nodes` for so many, else for 100 to 230."""
    random = Random(f"{seed}.fleet")
    drawn_nodes = random.randint(100, 230)
    at = FIRST_OUTAGE_AT
    outages: list[tuple[float, float]] = []
    changes: list[float] = []
    for _ in range(random.choice([1, 1, 2, 3])):
        end = at + random.uniform(3.0, 10.0) / (len(outages) + 1)
        outages.append((round(at, 3), round(end, 3)))
        changes += [round(end + random.uniform(0.0, LATEST_CHANGE), 3) for _ in range(CHANGES_AFTER_RETURN)]
        at = end + random.choice([0.5, random.uniform(0.5, LONGEST_LIGHT)])
    return Plan(
        nodes=nodes or drawn_nodes,
        backlog=random.choice(list(Backlog)),
        call_cost=random.choice([0.0, 0.0, 0.0001]),
        outages=tuple(outages),
        changes=tuple(sorted(changes)),
        lost_watches=random.choice([0, 0, 1]),
        request_rate=random.choice([0.0, 0.0, 2.0]),
        duration=round(max(at, *changes) + WATCHED_AFTER, 3),
        seed=seed,
    )
