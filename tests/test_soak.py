"""Short soaks with fixed seeds, and for each rule a node that violates it, which the judge has to notice.

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
TIMEOUT = 90.0  # seconds for one soak, the ends of its processes included
SOAKS_AT_ONCE = 3
VERDICT = re.compile(r"^(\w+): (\d+) cases, (\d+) broken$", re.MULTILINE)

SoakResult = tuple[dict[str, tuple[int, int]], str]  # cases and violations by rule, and the output


def run_soak(*options: str) -> SoakResult:
    """Run one soak; returns cases and violations by rule, and the output."""
    process = subprocess.run(
        [sys.executable, "-m", "tests.soak.run", *options],
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
        check=False,
    )
    verdict = {rule: (int(cases), int(broken)) for rule, cases, broken in VERDICT.findall(process.stdout)}
    return verdict, process.stdout + process.stderr


@pytest.fixture(scope="module")
def soaks() -> Iterator[dict[str, Future[SoakResult]]]:
    """All soaks by seed or violated rule, a few at a time."""
    with ThreadPoolExecutor(SOAKS_AT_ONCE) as pool:
        results = {
            str(seed): pool.submit(run_soak, f"--seed={seed}", "--seconds=8", "--nodes=5", "--each=0.4")
            for seed in SEEDS
        }
        results |= {
            rule: pool.submit(
                run_soak, "--seed=1", "--seconds=5", "--nodes=2", "--rate=15", f"--sabotage={rule}"
            )
            for rule in RULES
        }
        yield results


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_keep_every_rule_under_overlapping_faults(
    seed: int, soaks: dict[str, Future[SoakResult]]
) -> None:
    verdict, output = soaks[str(seed)].result()
    assert set(verdict) == set(RULES), output
    assert not [rule for rule, (_, broken) in verdict.items() if broken], output
    assert all(cases for cases, _ in verdict.values())


@pytest.mark.parametrize("rule", RULES)
def test_a_node_that_violates_a_rule_is_noticed(rule: str, soaks: dict[str, Future[SoakResult]]) -> None:
    verdict, output = soaks[rule].result()
    assert verdict[rule][1] > 0, output
