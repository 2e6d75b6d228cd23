"""Plays one soak: `python -m tests.soak.run --seed 3 --seconds 20 --nodes 24`; prints faults and verdict."""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from shutil import which
from tempfile import TemporaryDirectory

from runspool.lab.audit import RuleVerdict
from tests.soak.crowd import Crowd
from tests.soak.edges import Edge
from tests.soak.faults import Fault, Trouble, schedule
from tests.soak.judge import judge
from tests.soak.nodes import SoakNode
from tests.soak.world import Event, World

STARTED_AT_ONCE = 6
LAG_TOLD = 0.05  # seconds by which this process may come late before that is an event


@dataclass(frozen=True, slots=True)
class Soak:
    """What is played."""

    seed: int
    seconds: float = 10.0
    nodes: int = 6
    rate: float = 8.0  # requests a second and node
    each: float = 0.4  # seconds between two faults
    sabotage: str = ""
    preload: str = ""


@dataclass(frozen=True, slots=True)
class Result:
    """What came of it."""

    faults: list[Fault]
    events: list[Event]
    verdict: dict[str, RuleVerdict]

    @property
    def broken(self) -> list[str]:
        return [rule for rule, judged in self.verdict.items() if judged.broken]


def at_stake(rule: str, nodes: int) -> list[Fault]:
    """Faults by which a rule comes to be at stake, so that a node which does not keep it is seen to."""
    everybody = tuple(range(nodes))
    readers = tuple(f"prefill-{at}" for at in range(8))
    writers = tuple(f"decode-{at}" for at in range(5))
    kind, engines = {
        "held": ("silence", writers),
        "gone": ("slow", readers),
        "drain": ("drain", readers[:2]),
        "twice": ("failing", writers),
    }.get(rule, ("silence", writers[:2]))
    return [Fault(0.5, kind, 4.0, engines, everybody)]


async def play(soak: Soak, folder: Path) -> Result:
    """Starts everything, brings the faults about under load, ends everything, judges."""
    world = World(soak.seed)
    await world.start()
    nodes = [SoakNode(world, f"n{at}", folder, soak.sabotage, soak.preload) for at in range(soak.nodes)]
    faults = (
        at_stake(soak.sabotage, soak.nodes)
        if soak.sabotage
        else schedule(soak.seed, soak.seconds, world, soak.nodes, soak.each)
    )
    lag = asyncio.ensure_future(_lag(world))
    try:
        for node in nodes:
            await node.prepare(lambda node, engine: Edge(world, node, engine))
        for at in range(0, len(nodes), STARTED_AT_ONCE):
            await asyncio.gather(*(node.start() for node in nodes[at : at + STARTED_AT_ONCE]))
        trouble = asyncio.ensure_future(Trouble(world, nodes).run(faults))
        await Crowd(world, nodes, soak.rate).run(soak.seconds)
        await trouble
        await asyncio.sleep(2.5)  # what is held may still be let go of
        for node in nodes:
            if node.up and not await node.healthy():
                world.say("hung", node=node.name)
    finally:
        await asyncio.gather(*(node.close() for node in nodes))
        lag.cancel()
    events = list(world.recording.events)
    return Result(faults, events, judge(events))


async def _lag(world: World) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + 0.02
        await asyncio.sleep(0.02)
        if loop.time() - due > LAG_TOLD:
            world.say("lag", late=round(loop.time() - due, 3))


def clock_library(folder: Path) -> str:
    """The library that steps wall clocks, built; empty where there is no C compiler."""
    compiler, library = which("cc"), folder / "clock.so"
    if compiler is None:
        return ""
    source = Path(__file__).with_name("clock.c")
    subprocess.run([compiler, "-shared", "-fPIC", "-O1", "-o", str(library), str(source), "-ldl"], check=True)
    return str(library)


def play_now(soak: Soak, folder: Path) -> Result:
    """play() on a loop of its own."""
    return asyncio.run(play(soak, folder))


def main() -> int:
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
    parser.add_argument("--events", type=Path, help="where what was seen is written, a JSON object a line")
    said = vars(parser.parse_args())
    events = said.pop("events")
    with TemporaryDirectory() as folder:
        preload = clock_library(Path(folder))
        print("wall clocks " + ("step" if preload else "do not step: no C compiler"))
        result = play_now(Soak(**said, preload=preload), Path(folder))
    for fault in result.faults:
        print(json.dumps(asdict(fault)))
    if events is not None:
        events.write_text("".join(json.dumps(event) + "\n" for event in result.events))
    print(json.dumps(Counter(event["what"] for event in result.events)))
    for rule, judged in result.verdict.items():
        print(f"{rule}: {judged.cases} cases, {judged.broken} broken")
        for example in judged.examples[:5]:
            print(f"  {example}")
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
