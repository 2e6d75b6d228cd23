"""What goes wrong in a soak: overlapping faults drawn from a seed, as a list that can be played again."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from tests.fault_proxy import Direction, FaultProxy
from tests.soak.nodes import SoakNode
from tests.soak.world import World

ROOM = 2.0  # seconds at the end in which nothing new goes wrong


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at a time, for a time, in seconds."""

    at: float
    kind: str
    lasts: float
    engines: tuple[str, ...] = ()
    nodes: tuple[int, ...] = ()


def schedule(seed: int, seconds: float, world: World, nodes: int, each: float = 0.5) -> list[Fault]:
    """Faults that begin some `each` seconds apart and overlap."""
    random = Random(f"{seed}.schedule")
    faults, at = [], 0.5
    engines = list(world.engines)
    while at < seconds - ROOM:
        kind = random.choice(list(KINDS))
        some = tuple(random.sample(engines, random.choice([1, 1, 2, 4])))
        who = tuple(random.sample(range(nodes), max(1, random.choice([1, 2, nodes // 2, nodes]))))
        faults.append(Fault(round(at, 2), kind, round(random.uniform(0.1, 2.5), 2), some, who))
        at += random.expovariate(1 / each)
    return faults


class Trouble:
    """Brings a schedule about."""

    def __init__(self, world: World, nodes: list[SoakNode]) -> None:
        self.world, self.nodes = world, nodes
        self.restarting: set[str] = set()
        self.clock = 0

    async def run(self, faults: list[Fault]) -> None:
        """Until the last fault has ended."""
        began = asyncio.get_running_loop().time()

        async def one(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, began + fault.at - asyncio.get_running_loop().time()))
            self.world.say(
                "fault", kind=fault.kind, lasts=fault.lasts, engines=fault.engines, nodes=fault.nodes
            )
            await KINDS[fault.kind](self, fault)

        await asyncio.gather(*map(one, faults))

    def edges(self, fault: Fault) -> list[FaultProxy]:
        return [self.nodes[at].edges[engine] for at in fault.nodes for engine in fault.engines]

    async def silence(self, fault: Fault) -> None:
        """Both ways: what has been written is acknowledged, and arrives when it is over, if it still can."""
        await self._gates(
            fault, [way for edge in self.edges(fault) for way in (edge.to_engine, edge.from_engine)]
        )

    async def silence_there(self, fault: Fault) -> None:
        await self._gates(fault, [edge.to_engine for edge in self.edges(fault)])

    async def silence_back(self, fault: Fault) -> None:
        await self._gates(fault, [edge.from_engine for edge in self.edges(fault)])

    async def _gates(self, fault: Fault, ways: list[Direction]) -> None:
        for way in ways:
            way.silences += 1
            way.gate.clear()
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.silences -= 1
            if not way.silences:
                way.gate.set()

    async def silent_after(self, fault: Fault) -> None:
        """Connections that are made now fall silent after some bytes, for good."""
        ways = [way for edge in self.edges(fault) for way in (edge.to_engine, edge.from_engine)]
        for way in ways:
            way.silent_after = 150
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.silent_after = None

    async def delay(self, fault: Fault) -> None:
        ways = [edge.to_engine for edge in self.edges(fault)]
        for way in ways:
            way.delay, way.piece = 0.05, 64
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.delay, way.piece = 0.0, 65_536

    async def reset(self, fault: Fault) -> None:
        for edge in self.edges(fault):
            edge.reset()

    async def hang(self, fault: Fault) -> None:
        """The engines' processes stand still, for everybody."""
        for engine in fault.engines:
            self.world.engines[engine].hung.clear()
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.world.engines[engine].hung.set()

    async def slow(self, fault: Fault) -> None:
        for engine in fault.engines:
            self.world.engines[engine].slow = 8.0
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.world.engines[engine].slow = 1.0

    async def failing(self, fault: Fault) -> None:
        for engine in fault.engines:
            self.world.engines[engine].failing = 0.5
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.world.engines[engine].failing = 0.0

    async def drain(self, fault: Fault) -> None:
        for engine in fault.engines[:2]:
            await self.world.set_status(engine, "leaving")
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines[:2]:
            await self.world.set_status(engine, "active")

    async def agent_silent(self, fault: Fault) -> None:
        for at in fault.nodes:
            self.nodes[at].agent.gate.clear()
        await asyncio.sleep(fault.lasts)
        for at in fault.nodes:
            self.nodes[at].agent.gate.set()

    async def reload(self, fault: Fault) -> None:
        for at in fault.nodes:
            if self.nodes[at].up:
                self.nodes[at].write_config()
                self.nodes[at].signal(signal.SIGHUP)

    async def pause(self, fault: Fault) -> None:
        """The processes get no turn for a moment."""
        for at in fault.nodes:
            self.nodes[at].signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        for at in fault.nodes:
            self.nodes[at].signal(signal.SIGCONT)

    async def restart(self, fault: Fault) -> None:
        await self._restart(fault, kill=False)

    async def kill(self, fault: Fault) -> None:
        await self._restart(fault, kill=True)

    async def _restart(self, fault: Fault, kill: bool) -> None:
        node = self.nodes[fault.nodes[0]]
        if node.name not in self.restarting and node.up:
            self.restarting.add(node.name)
            await node.restart(kill)
            self.restarting.discard(node.name)

    async def wall_clock(self, fault: Fault) -> None:
        """The wall clock steps by up to an hour, where the preloaded library is there to do it."""
        self.clock = 3_600 if self.clock <= 0 else -3_600
        (self.nodes[0].folder / "clock").write_text(str(self.clock))
        await asyncio.sleep(0)


KINDS: dict[str, Callable[[Trouble, Fault], Awaitable[None]]] = {
    one.__name__: one
    for one in (
        Trouble.silence,
        Trouble.silence_there,
        Trouble.silence_back,
        Trouble.silent_after,
        Trouble.delay,
        Trouble.reset,
        Trouble.hang,
        Trouble.slow,
        Trouble.failing,
        Trouble.drain,
        Trouble.agent_silent,
        Trouble.reload,
        Trouble.pause,
        Trouble.restart,
        Trouble.kill,
        Trouble.wall_clock,
    )
}
