"""Plays one soak: `python -m tests.soak.run --seed 3 --seconds 20 --nodes 24`; prints faults and verdict."""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
from collections import Counter
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from shutil import which
from tempfile import TemporaryDirectory

from runspool.lab.audit import RuleVerdict
from tests.soak.client_workload import DISCONNECTING_SHARE, ClientWorkload
from tests.soak.conditions import Conditions, draw_conditions
from tests.soak.edges import Edge
from tests.soak.environment import DECODE_ENGINES, MIXED_ENGINES, PREFILL_ENGINES, Environment, Event
from tests.soak.faults import Fault, FaultInjector, schedule
from tests.soak.judge import judge
from tests.soak.nodes import SoakNode

STARTED_AT_ONCE = 6
RECORDED_LAG = 0.05  # seconds by which this process may come late before that is an event
LAG_INTERVAL = 0.02
RELEASE_TIME = 2.5  # seconds at the end, in which what is held may still be released


@dataclass(frozen=True, slots=True)
class Soak:
    """What is played; the options of the command line."""

    seed: int
    seconds: float = 10.0
    nodes: int = 6
    rate: float = 8.0  # requests a second and node
    each: float = 0.4  # seconds between two faults
    sabotage: str = ""
    preload: str = ""


@dataclass(frozen=True, slots=True)
class Result:
    """Faults, events and verdict of a soak, and what each node has logged."""

    faults: list[Fault]
    events: list[Event]
    verdict: dict[str, RuleVerdict]
    logs: dict[str, bytes]

    @property
    def broken(self) -> list[str]:
        """The rules that were violated."""
        return [rule for rule, judged in self.verdict.items() if judged.broken]


@dataclass(frozen=True, slots=True)
class RuleConditions:
    """Conditions in which a node that does not keep one rule is seen to break it."""

    faults: list[Fault]
    mixed_engines: int = MIXED_ENGINES
    disconnecting_share: float = DISCONNECTING_SHARE
    soak: Conditions = Conditions()  # noqa: RUF009 - it is frozen


def conditions_for(sabotage: str, nodes: int) -> RuleConditions:
    """Return the conditions for one way to violate a rule, in a soak of so many nodes.

    Where a violation shows only behind a prefill, or as a decode goes wrong, there is no mixed engine: those
    serve a request in one attempt, and on a slow machine hardly any other would be left to judge.
    """
    all_nodes = tuple(range(nodes))
    prefill = tuple(f"prefill-{index}" for index in range(PREFILL_ENGINES))
    decode = tuple(f"decode-{index}" for index in range(DECODE_ENGINES))

    def fault(kind: str, engines: tuple[str, ...]) -> list[Fault]:
        return [Fault(0.5, kind, 4.0, engines, all_nodes)]

    wave = Fault(1.5, "wave", 0.0, (), all_nodes)

    long_streams = Conditions(longest_stream=10.0, long_share=0.5)
    match sabotage:
        case "stopped":
            return RuleConditions([wave], soak=long_streams)
        case "stopped.exits":
            return RuleConditions([*fault("hang", prefill), wave], mixed_engines=0)
        case "lost.cuts":
            soak = replace(long_streams, resumable=False)
            return RuleConditions([wave], soak=soak)
        case "lost" | "held":
            return RuleConditions(fault("silence", decode), mixed_engines=0)
        case "twice":
            return RuleConditions(fault("failing", decode), mixed_engines=0)
        case "gone":
            return RuleConditions(fault("slow", prefill), mixed_engines=0, disconnecting_share=0.5)
        case "drain":
            return RuleConditions(fault("drain", prefill[:2]))
        case _:
            return RuleConditions(fault("silence", decode[:2]))


async def play(soak: Soak, folder: Path) -> Result:
    """Start everything, inject the faults under load, end everything, judge."""
    conditions = conditions_for(soak.sabotage, soak.nodes) if soak.sabotage else None
    environment = Environment(
        soak.seed,
        conditions.soak if conditions else draw_conditions(soak.seed),
        conditions.mixed_engines if conditions else MIXED_ENGINES,
    )
    await environment.start()
    nodes = [
        SoakNode(environment, f"n{index}", folder, soak.sabotage, soak.preload) for index in range(soak.nodes)
    ]
    if conditions:
        faults = conditions.faults
        disconnecting_share = conditions.disconnecting_share
    else:
        faults = schedule(soak.seed, soak.seconds, environment, soak.nodes, soak.each)
        disconnecting_share = DISCONNECTING_SHARE
    lag = asyncio.ensure_future(_record_lag(environment))
    try:
        for node in nodes:
            await node.prepare(lambda node, engine: Edge(environment, node, engine))
        for first in range(0, len(nodes), STARTED_AT_ONCE):
            await asyncio.gather(*(node.start() for node in nodes[first : first + STARTED_AT_ONCE]))
        injection = asyncio.ensure_future(FaultInjector(environment, nodes).run(faults))
        await ClientWorkload(environment, nodes, soak.rate, disconnecting_share).run(soak.seconds)
        await injection
        await asyncio.sleep(RELEASE_TIME)
        for node in nodes:
            if node.up and not await node.healthy():
                environment.record("hung", node=node.name)
    finally:
        await asyncio.gather(*(node.close() for node in nodes))
        lag.cancel()
    events = list(environment.recording.events)
    verdict = judge(events, environment.conditions.resumable)
    return Result(faults, events, verdict, {node.name: node.log for node in nodes})


async def _record_lag(environment: Environment) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_INTERVAL
        await asyncio.sleep(LAG_INTERVAL)
        if loop.time() - due > RECORDED_LAG:
            environment.record("lag", late=round(loop.time() - due, 3))


def clock_library(folder: Path) -> str:
    """Build the library that steps wall clocks; the path is empty where there is no C compiler."""
    compiler, library = which("cc"), folder / "clock.so"
    if compiler is None:
        return ""
    source = Path(__file__).with_name("clock.c")
    subprocess.run([compiler, "-shared", "-fPIC", "-O1", "-o", str(library), str(source), "-ldl"], check=True)
    return str(library)


def play_now(soak: Soak, folder: Path) -> Result:
    """Run play() on a loop of its own."""
    return asyncio.run(play(soak, folder))


def main() -> int:
    """Play one soak as the command line says; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name, kind, default in (
        ("seed", int, 1),
        ("seconds", float, 20.0),
        ("nodes", int, 24),
        ("rate", float, 8.0),
        ("each", float, 0.3),
    ):
        parser.add_argument(f"--{name}", type=kind, default=default)
    parser.add_argument("--sabotage", default="")
    parser.add_argument("--logs", type=Path, help="a folder where each node's log is written")
    parser.add_argument("--events", type=Path, help="where what was seen is written, a JSON object a line")
    options = vars(parser.parse_args())
    events, logs = options.pop("events"), options.pop("logs")
    with TemporaryDirectory() as folder:
        preload = clock_library(Path(folder))
        print("wall clocks " + ("step" if preload else "do not step: no C compiler"))
        result = play_now(Soak(**options, preload=preload), Path(folder))
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
        for name, log in result.logs.items():
            (logs / f"{name}.log").write_bytes(log)
    if events is not None:
        events.write_text("".join(json.dumps(event) + "\n" for event in result.events))
    print_result(result)
    return 1 if result.broken else 0


def print_result(result: Result) -> None:
    """Print faults, counts of events, and the verdict by rule with examples."""
    for fault in result.faults:
        print(json.dumps(asdict(fault)))
    print(json.dumps(Counter(event["what"] for event in result.events)))
    for rule, judged in result.verdict.items():
        print(f"{rule}: {judged.cases} cases, {judged.broken} broken")
        for example in judged.examples[:5]:
            print(f"  {example}")


if __name__ == "__main__":
    sys.exit(main())
