"""Short soaks with fixed seeds, and a sabotaged node for each rule, which the judge has to refuse.

Longer ones by hand: `python -m tests.soak.run --seed 3 --seconds 60 --nodes 24`.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.soak.judge import RULES

SEEDS = (2, 8)
LONGEST = 90.0  # seconds that one may take, its processes' ends included
AT_ONCE = 3
VERDICT = re.compile(r"^(\w+): (\d+) cases, (\d+) broken$", re.MULTILINE)


Played = tuple[dict[str, tuple[int, int]], str]  # cases and breaks by rule, and all that was printed


def soaked(*said: str) -> Played:
    """Cases and breaks by rule, and all that was printed."""
    done = subprocess.run(
        [sys.executable, "-m", "tests.soak.run", *said],
        capture_output=True,
        text=True,
        timeout=LONGEST,
        check=False,
    )
    found = {rule: (int(cases), int(broken)) for rule, cases, broken in VERDICT.findall(done.stdout)}
    return found, done.stdout + done.stderr


@pytest.fixture(scope="module")
def soaks() -> Iterator[dict[str, Future[Played]]]:
    """All of them, a few at a time."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        played = {
            str(seed): pool.submit(soaked, f"--seed={seed}", "--seconds=8", "--nodes=5", "--each=0.4")
            for seed in SEEDS
        }
        played |= {
            rule: pool.submit(
                soaked, "--seed=1", "--seconds=5", "--nodes=2", "--rate=15", f"--sabotage={rule}"
            )
            for rule in RULES
        }
        yield played


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_keep_every_rule_under_overlapping_faults(seed: int, soaks: dict[str, Future[Played]]) -> None:
    verdict, said = soaks[str(seed)].result()
    assert set(verdict) == set(RULES), said
    assert not [rule for rule, (_, broken) in verdict.items() if broken], said
    assert all(cases for cases, _ in verdict.values())


@pytest.mark.parametrize("rule", RULES)
def test_a_node_that_breaks_a_rule_is_refused_for_it(rule: str, soaks: dict[str, Future[Played]]) -> None:
    verdict, said = soaks[rule].result()
    assert verdict[rule][1] > 0, said
