"""Draws the plan of a trial from a seed: successive outages, list changes after each, the agents' backlog."""

from __future__ import annotations

from random import Random

from tests.fleet.plan import Backlog, Plan

FIRST_OUTAGE_AT = 1.0  # seconds from the start of the trial to the first outage
MAX_OUTAGE_GAP = 4.0  # seconds between the end of an outage and the beginning of the next
LATEST_CHANGE = 3.0  # seconds from the end of an outage to the latest change that is drawn for it
CHANGES_AFTER_OUTAGE = 2  # changes of the endpoint list after each outage
OBSERVATION_TIME = 3.0  # seconds from the last outage and the last change to the end of the trial


def draw_plan(seed: int, nodes: int = 0) -> Plan:
    """Return the plan of a seed, with `nodes` nodes or, if that is 0, with 100 to 230."""
    random = Random(f"{seed}.fleet")
    drawn_nodes = random.randint(100, 230)
    at = FIRST_OUTAGE_AT
    outages: list[tuple[float, float]] = []
    changes: list[float] = []
    for _ in range(random.choice([1, 1, 2, 3])):
        end = at + random.uniform(3.0, 10.0) / (len(outages) + 1)
        outages.append((round(at, 3), round(end, 3)))
        changes += [round(end + random.uniform(0.0, LATEST_CHANGE), 3) for _ in range(CHANGES_AFTER_OUTAGE)]
        at = end + random.choice([0.5, random.uniform(0.5, MAX_OUTAGE_GAP)])
    return Plan(
        nodes=nodes or drawn_nodes,
        backlog=random.choice(list(Backlog)),
        call_cost=random.choice([0.0, 0.0, 0.0001]),
        outages=tuple(outages),
        changes=tuple(sorted(changes)),
        lost_watches=random.choice([0, 0, 1]),
        request_rate=random.choice([0.0, 0.0, 2.0]),
        duration=round(max(at, *changes) + OBSERVATION_TIME, 3),
        seed=seed,
    )
