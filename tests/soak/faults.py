"""The faults of a soak, which overlap and are drawn from a seed, so that they can be repeated."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random

from tests.fault_proxy import Direction, FaultProxy
from tests.node_platform.agent_pace import AgentPace
from tests.soak.agents import SoakAgent
from tests.soak.environment import NOT_LISTED, Environment
from tests.soak.nodes import SoakNode

QUIET_END = 2.0  # seconds at the end of a soak in which no fault begins
MAX_OUTAGE = 10.0  # seconds that an outage of all agents lasts at most
LATEST_CHANGE_AFTER_OUTAGE = 3.0  # seconds from the end of an outage to the next change of the list, at most
OUTAGES_IN_SERIES = 3  # outages of one fault `outage_series`
GAP_IN_SERIES = 0.5  # seconds between two outages of a series
MAX_ANSWER_DELAY = 3.0  # seconds by which a fault delays an agent's answers, at most
# Seconds that the process of all agents takes, at most, to answer one call of each node while it is busy.
MAX_COST_OF_ALL_CALLS = 0.1
ANSWER_PIECES = 8  # pieces in which an agent's answer is sent by the fault `agent_pieces`
DOWNTIME = 0.1  # seconds for which an engine does not listen when it restarts
STOPS = ("restart", "wave", "signals")  # faults that stop nodes gracefully
# Faults of which some are added while nodes are stopping.
DURING_STOPS = ("started_anew", "left_and_back", "other_kind", "hang", "silence", "drain")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: when it begins, in seconds from the start of the soak.
        kind: the name of its method in FaultInjector.
        lasts: its duration in seconds.
        engines: the names of the affected engines.
        nodes: the indices of the affected nodes.
        amount: its severity from 0 to 1, which some kinds also use to select a variant.
    """

    at: float
    kind: str
    lasts: float
    engines: tuple[str, ...] = ()
    nodes: tuple[int, ...] = ()
    amount: float = 0.0


def draw_faults(
    seed: int, seconds: float, environment: Environment, nodes: int, mean_interval: float = 0.5
) -> list[Fault]:
    """Draw the faults of a soak of `seconds`; `mean_interval` is the mean time in seconds between two."""
    random = Random(f"{seed}.schedule")
    faults = []
    at = 0.5
    engines = list(environment.engines)

    def draw(begin: float, kind: str) -> Fault:
        affected_engines = tuple(random.sample(engines, random.choice([1, 1, 2, 4])))
        node_count = max(1, random.choice([1, 2, nodes // 2, nodes]))
        affected_nodes = tuple(random.sample(range(nodes), node_count))
        lasts = round(random.uniform(0.1, 2.5), 2)
        amount = round(random.random(), 3)
        if kind == "outage":
            lasts = round(random.uniform(0.0, MAX_OUTAGE), 2)
        return Fault(round(begin, 2), kind, lasts, affected_engines, affected_nodes, amount)

    while at < seconds - QUIET_END:
        kind = random.choice(list(FAULT_METHODS))
        faults.append(draw(at, kind))
        if kind in STOPS:
            kill_after = environment.conditions.kill_after
            faults += [
                draw(at + random.uniform(0, kill_after), random.choice(DURING_STOPS)) for _ in range(3)
            ]
        at += random.expovariate(1 / mean_interval)
    return faults


class FaultInjector:
    """Injects scheduled faults; each kind of fault is a method that returns when the fault has ended.

    Attributes:
        restarting: the names of the nodes that are being restarted.
        clock_offset: the seconds by which the nodes' wall clocks are wrong.
    """

    def __init__(self, environment: Environment, nodes: list[SoakNode]) -> None:
        self.environment, self.nodes = environment, nodes
        self.restarting: set[str] = set()
        self.clock_offset = 0

    async def run(self, faults: list[Fault]) -> None:
        """Inject all faults at their times, and return when the last one has ended."""
        began = asyncio.get_running_loop().time()

        async def inject(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, began + fault.at - asyncio.get_running_loop().time()))
            self.environment.record(
                "fault", kind=fault.kind, lasts=fault.lasts, engines=fault.engines, nodes=fault.nodes
            )
            await FAULT_METHODS[fault.kind](self, fault)

        await asyncio.gather(*map(inject, faults))

    def _proxies(self, fault: Fault) -> list[FaultProxy]:
        """Return the proxies between the nodes and the engines of a fault."""
        return [self.nodes[index].engine_proxies[engine] for index in fault.nodes for engine in fault.engines]

    async def silence(self, fault: Fault) -> None:
        """Hold back all bytes in both directions.

        The sender's kernel still gets acknowledgements. Bytes that were held back are delivered afterwards
        if the connection is still open.
        """
        await self._silence_directions(fault, self._both_directions(fault))

    async def silence_there(self, fault: Fault) -> None:
        """Hold back all bytes from the nodes to the engines."""
        await self._silence_directions(fault, [proxy.to_engine for proxy in self._proxies(fault)])

    async def silence_back(self, fault: Fault) -> None:
        """Hold back all bytes from the engines to the nodes."""
        await self._silence_directions(fault, [proxy.from_engine for proxy in self._proxies(fault)])

    def _both_directions(self, fault: Fault) -> list[Direction]:
        return [
            direction for proxy in self._proxies(fault) for direction in (proxy.to_engine, proxy.from_engine)
        ]

    async def _silence_directions(self, fault: Fault, directions: list[Direction]) -> None:
        for direction in directions:
            direction.active_silences += 1
            direction.gate.clear()
        await asyncio.sleep(fault.lasts)
        for direction in directions:
            direction.active_silences -= 1
            if not direction.active_silences:
                direction.gate.set()

    async def silent_after(self, fault: Fault) -> None:
        """Deliver nothing more on a connection after its first 150 bytes, even when the fault has ended."""
        directions = self._both_directions(fault)
        for direction in directions:
            direction.silent_after = 150
        await asyncio.sleep(fault.lasts)
        for direction in directions:
            direction.silent_after = None

    async def delay(self, fault: Fault) -> None:
        """Forward requests slowly and in small pieces."""
        directions = [proxy.to_engine for proxy in self._proxies(fault)]
        for direction in directions:
            direction.delay, direction.chunk_size = 0.05, 64
        await asyncio.sleep(fault.lasts)
        for direction in directions:
            direction.delay, direction.chunk_size = 0.0, 65_536

    async def reset(self, fault: Fault) -> None:
        """Reset all connections between the nodes and the engines."""
        for proxy in self._proxies(fault):
            proxy.reset()

    async def hang(self, fault: Fault) -> None:
        """Make engines hang, for all nodes."""
        for engine in fault.engines:
            self.environment.engines[engine].running.clear()
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.environment.engines[engine].running.set()

    async def slow(self, fault: Fault) -> None:
        """Make engines take eight times as long."""
        for engine in fault.engines:
            self.environment.engines[engine].slowdown = 8.0
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.environment.engines[engine].slowdown = 1.0

    async def failing(self, fault: Fault) -> None:
        """Make half of the attempts at the engines end in an error or a reset."""
        for engine in fault.engines:
            self.environment.engines[engine].failing_share = 0.5
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            self.environment.engines[engine].failing_share = 0.0

    async def drain(self, fault: Fault) -> None:
        """Drain the fault's first two engines, and make them active again afterwards."""
        for engine in fault.engines[:2]:
            await self.environment.set_status(engine, "leaving")
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines[:2]:
            await self.environment.set_status(engine, "active")

    def _agents(self, fault: Fault) -> list[SoakAgent]:
        return [self.nodes[index].agent for index in fault.nodes]

    async def agent_silent(self, fault: Fault) -> None:
        """Make the nodes' agents answer nothing.

        Calls that are open during the outage are dropped if `amount` is below 0.5, and are answered at its
        end otherwise.
        """
        for agent in self._agents(fault):
            agent.begin_outage(drops=fault.amount < 0.5)
        await asyncio.sleep(fault.lasts)
        for agent in self._agents(fault):
            agent.end_outage()

    async def outage(self, fault: Fault) -> None:
        """Make all agents answer nothing; engines begin to drain within three seconds after that."""
        all_nodes = replace(fault, nodes=tuple(range(len(self.nodes))))
        await self.agent_silent(all_nodes)
        await asyncio.sleep(LATEST_CHANGE_AFTER_OUTAGE * (fault.amount * 10 % 1))
        await self.drain(replace(all_nodes, lasts=2.0))

    async def outage_series(self, fault: Fault) -> None:
        """Make all agents answer nothing several times with short gaps, and drain engines from the start."""
        all_nodes = replace(fault, nodes=tuple(range(len(self.nodes))))
        draining = asyncio.ensure_future(self.drain(replace(all_nodes, lasts=2.0 + 2 * fault.lasts)))
        for _ in range(OUTAGES_IN_SERIES):
            await self.agent_silent(all_nodes)
            await asyncio.sleep(GAP_IN_SERIES)
        await draining

    async def agent_late(self, fault: Fault) -> None:
        """Delay the agents' answers."""
        await self._pace_agents(self._agents(fault), fault, delay=fault.amount * MAX_ANSWER_DELAY)

    async def agents_busy(self, fault: Fault) -> None:
        """Make all agents behave as one process that works on one call at a time."""
        agents = [node.agent for node in self.nodes]
        await self._pace_agents(agents, fault, cost=fault.amount * MAX_COST_OF_ALL_CALLS / len(agents))

    async def agent_pieces(self, fault: Fault) -> None:
        """Send the agents' answers in pieces."""
        interval = fault.amount * MAX_ANSWER_DELAY / ANSWER_PIECES
        await self._pace_agents(self._agents(fault), fault, pieces=ANSWER_PIECES, piece_interval=interval)

    async def _pace_agents(self, agents: list[SoakAgent], fault: Fault, **paced: float) -> None:
        """Set the attributes `paced` of the agents' pace for twice the fault's duration."""
        defaults = {name: getattr(AgentPace(), name) for name in paced}
        for values in (paced, defaults):
            for agent in agents:
                for name, value in values.items():
                    setattr(agent.pace, name, value)
                agent.record_pace(len(self.nodes))
            if values is paced:
                await asyncio.sleep(2 * fault.lasts)

    async def agent_crowded(self, fault: Fault) -> None:
        """Make agents reset every connection of a node above two or three."""
        for agent in self._agents(fault):
            agent.pace.max_connections = 2 + (fault.amount < 0.5)
        await asyncio.sleep(fault.lasts)
        for agent in self._agents(fault):
            agent.pace.max_connections = 0

    async def agent_reset(self, fault: Fault) -> None:
        """Reset all connections to the nodes' agents."""
        for agent in self._agents(fault):
            agent.reset()

    async def agent_anew(self, fault: Fault) -> None:
        """Make the nodes' agents restart the versions of the list, as if they had been restarted."""
        for agent in self._agents(fault):
            agent.restart_versions()

    async def agent_moves(self, fault: Fault) -> None:
        """Move the nodes' agents to another port, and make the nodes reload it from their configuration."""
        for index in fault.nodes:
            node = self.nodes[index]
            if node.up:
                await node.agent.move()
                node.reload()

    async def reload(self, fault: Fault) -> None:
        """Make nodes reload their configuration."""
        for index in fault.nodes:
            if self.nodes[index].up:
                self.nodes[index].reload()

    async def pause(self, fault: Fault) -> None:
        """Suspend the nodes' processes for 0.1 s."""
        for index in fault.nodes:
            self.nodes[index].signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        for index in fault.nodes:
            self.nodes[index].signal(signal.SIGCONT)

    async def restart(self, fault: Fault) -> None:
        """Restart one node gracefully."""
        await self._restart_nodes(fault, (0.0, signal.SIGTERM))

    async def wave(self, fault: Fault) -> None:
        """Restart all nodes of the fault gracefully and at the same time."""
        await self._restart_nodes(fault, (0.0, signal.SIGTERM), count=len(fault.nodes))

    async def signals(self, fault: Fault) -> None:
        """Restart one node with several signals in quick succession; the fault's duration selects them."""
        pause = fault.lasts % 0.3
        series = (
            [(0.0, signal.SIGHUP), (pause / 10, signal.SIGTERM)],
            [(0.0, signal.SIGTERM), (pause, signal.SIGTERM), (pause, signal.SIGHUP)],
            [(0.0, signal.SIGHUP), (0.0, signal.SIGHUP), (0.0, signal.SIGTERM), (0.0, signal.SIGHUP)],
        )
        await self._restart_nodes(fault, *series[int(fault.lasts * 100) % len(series)])

    async def stop_at_start(self, fault: Fault) -> None:
        """Kill a node, stop its next process while that is starting, and start the node again."""
        node = self.nodes[fault.nodes[0]]
        if node.name not in self.restarting and node.up:
            self.restarting.add(node.name)
            node.signal(signal.SIGKILL)
            await node.wait_end()
            starting = asyncio.ensure_future(node.start())
            await asyncio.sleep(0.5 + fault.lasts / 5)  # the process needs 0.4 s for its imports
            node.signal(signal.SIGTERM)
            await node.wait_end()
            await starting
            await node.start()
            self.restarting.discard(node.name)

    async def started_anew(self, fault: Fault) -> None:
        """Restart engines; the endpoint list shows it when the fault has ended."""
        await self._restart_engines(fault)

    async def left_and_back(self, fault: Fault) -> None:
        """Remove engines from the endpoint list, restart them, and list them again when the fault ends."""
        for engine in fault.engines:
            await self.environment.set_status(engine, NOT_LISTED)
        await self._restart_engines(fault)

    async def _restart_engines(self, fault: Fault) -> None:
        engines = [self.environment.engines[name] for name in fault.engines]
        await asyncio.gather(*(engine.restart(DOWNTIME) for engine in engines))
        await asyncio.sleep(fault.lasts)
        for engine in fault.engines:
            await self.environment.set_status(engine, "active")

    async def other_kind(self, fault: Fault) -> None:
        """Turn decode engines into mixed ones and back."""
        engines = [self.environment.engines[name] for name in fault.engines if name.startswith("decode")]
        for kind in ("mixed", "decode"):
            for engine in engines:
                engine.kind = kind
                await self.environment.set_status(engine.name, self.environment.status[engine.name])
            await asyncio.sleep(fault.lasts)

    async def kill(self, fault: Fault) -> None:
        """Kill one node, and start it again."""
        await self._restart_nodes(fault, (0.0, signal.SIGKILL))

    async def _restart_nodes(
        self, fault: Fault, *signals: tuple[float, signal.Signals], count: int = 1
    ) -> None:
        """Restart the fault's first `count` nodes by signals, except those that are down already."""
        nodes = [self.nodes[index] for index in fault.nodes[:count]]
        nodes = [node for node in nodes if node.name not in self.restarting and node.up]
        self.restarting |= {node.name for node in nodes}
        await asyncio.gather(*(node.restart(*signals) for node in nodes))
        self.restarting -= {node.name for node in nodes}

    async def wall_clock(self, fault: Fault) -> None:
        """Set all nodes' wall clocks an hour ahead or behind; no effect without the preloaded library."""
        self.clock_offset = 3_600 if self.clock_offset <= 0 else -3_600
        (self.nodes[0].folder / "clock").write_text(str(self.clock_offset))
        await asyncio.sleep(0)


# The methods of all kinds of faults, by the name of the kind. The draws of a seed depend on their order.
FAULT_METHODS: dict[str, Callable[[FaultInjector, Fault], Awaitable[None]]] = {
    inject.__name__: inject
    for inject in (
        FaultInjector.silence,
        FaultInjector.silence_there,
        FaultInjector.silence_back,
        FaultInjector.silent_after,
        FaultInjector.delay,
        FaultInjector.reset,
        FaultInjector.hang,
        FaultInjector.slow,
        FaultInjector.failing,
        FaultInjector.drain,
        FaultInjector.agent_silent,
        FaultInjector.outage,
        FaultInjector.outage_series,
        FaultInjector.agent_late,
        FaultInjector.agents_busy,
        FaultInjector.agent_pieces,
        FaultInjector.agent_crowded,
        FaultInjector.agent_reset,
        FaultInjector.agent_anew,
        FaultInjector.agent_moves,
        FaultInjector.reload,
        FaultInjector.pause,
        FaultInjector.started_anew,
        FaultInjector.left_and_back,
        FaultInjector.other_kind,
        FaultInjector.restart,
        FaultInjector.wave,
        FaultInjector.signals,
        FaultInjector.stop_at_start,
        FaultInjector.kill,
        FaultInjector.wall_clock,
    )
}
