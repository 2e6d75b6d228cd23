"""Plays a trial of a fleet for each of several seeds: `python -m tests.fleet.sweep --count 10`.

One line is printed for each seed.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from statistics import median

from tests.fleet.draw import draw_plan
from tests.fleet.rules import check_rules, harness_fault
from tests.fleet.trial import play


def play_seed(seed: int, nodes: int, is_real: bool) -> tuple[bool, str]:
    """Play one seed; return whether its trial was valid and without violations, and the line to print."""
    plan = draw_plan(seed, nodes)
    outcome = asyncio.run(play(plan, is_real=is_real))
    verdict = check_rules(outcome)
    late = sorted(each for change in outcome.agents.changes for each in outcome.lateness(change))
    fault = harness_fault(outcome)
    result = fault or (f"broken {verdict.violation_counts}" if verdict.violation_counts else "clean")
    examples = "".join(f"\n  {line}" for line in (*verdict.told[:3], *verdict.debt[:2], *verdict.calls[:2]))
    return result == "clean", (
        f"seed {seed}: {result}; {plan.nodes} nodes, backlog {plan.backlog.value}, outages {plan.outages}, "
        f"call cost {plan.call_cost} s, {plan.lost_watches} lost watches, {plan.request_rate} requests/s; "
        f"{len(outcome.agents.changes)} changes known after a median of {median(late):.3f} s, "
        f"at most {late[-1]:.3f} s{examples}"
    )


def main() -> int:
    """Play the seeds of the command line; return 0 if all trials were valid and without violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--real", action="store_true", help="run complete node processes, not light nodes")
    options = parser.parse_args()
    all_clean = True
    for seed in range(options.first, options.first + options.count):
        is_clean, line = play_seed(seed, options.nodes, options.real)
        all_clean = all_clean and is_clean
        print(line, flush=True)
    return 0 if all_clean else 1


if __name__ == "__main__":
    sys.exit(main())
