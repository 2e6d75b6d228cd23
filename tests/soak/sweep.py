"""Runs a soak for each of several seeds: `python -m tests.soak.sweep --first 1 --count 50`.

One line is printed for each seed. It says that the seed is clean, or broken (with the number of violations of
each violated rule), or that the harness itself failed. The output, the events and the nodes' logs of a seed
that is not clean are kept in the folder of `--out`.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import rmtree

from tests.soak.conditions import draw_conditions
from tests.soak.rules import RULES
from tests.soak.verdict import read_verdict

TIMEOUT_MARGIN = 120.0  # seconds that a soak's process may take in addition to the duration of its load


def play_seed(seed: int, seconds: float, nodes: int, rate: float, out: Path) -> str:
    """Run one soak in its own process, and return the line to print."""
    logs = out / f"{seed}.logs"
    options = [f"--seed={seed}", f"--seconds={seconds}", f"--nodes={nodes}", f"--logs={logs}"]
    options.append(f"--rate={rate}")
    command = [sys.executable, "-m", "tests.soak.run", *options, f"--events={logs}.events"]
    try:
        process = subprocess.run(
            command, capture_output=True, text=True, timeout=seconds + TIMEOUT_MARGIN, check=False
        )
        output = process.stdout + process.stderr
    except subprocess.TimeoutExpired as expired:
        output = f"the soak did not end in time: {expired}"
    verdict = read_verdict(output)
    broken = {rule: violations for rule, (_, violations) in verdict.items() if violations}
    result = "clean" if set(verdict) == set(RULES) and not broken else f"broken {broken}"
    if set(verdict) != set(RULES):
        result = next((line for line in output.splitlines() if "harness fault" in line), "harness fault")
    if result == "clean":
        rmtree(logs, ignore_errors=True)
        Path(f"{logs}.events").unlink(missing_ok=True)
    else:
        (out / f"{seed}.log").write_text(output)
    stopped = verdict.get("stopped", (0, 0))[0]
    return f"seed {seed}: {result}; {stopped} requests at stopping nodes; {draw_conditions(seed)}"


def main() -> int:
    """Run the seeds that the command line names, and return 0 if all of them are clean."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--out", type=Path, default=Path("/tmp/runspool-soaks"))
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    seeds = range(options.first, options.first + options.count)
    with ThreadPoolExecutor(options.at_once) as pool:
        lines = []
        for line in pool.map(
            lambda seed: play_seed(seed, options.seconds, options.nodes, options.rate, options.out), seeds
        ):
            print(line, flush=True)
            lines.append(line)
    return 0 if all(": clean;" in line for line in lines) else 1


if __name__ == "__main__":
    sys.exit(main())
