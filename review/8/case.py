"""Hundreds of bad clients send a large request each at once, read the error and stay for a while."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers2 import ROOT, TROUBLE, Agent, CannotRunError, Fleet, Node, Record, ask, play, settings

MEMORY_MB = 128  # the pages say 32 to 192
SOCKETS = 1_024  # the pages say 256 to 1,024
CLIENTS = 440  # "by the hundreds"
BODY_BYTES = 250_000  # the pages say 256 KiB at most
WAVES = 4
WAVE_INTERVAL = 2.4  # seconds from one wave to the next; each client stays connected for most of it
USUAL_INTERVAL = 0.25  # seconds between two requests of usual clients
LOOK = 0.005  # seconds between two looks of the platform at the memory
KB_PER_MB = 1024


class Platform:
    """Kills the node once its memory is over the limit, as the platform does."""

    def __init__(self, record: Record, node: Node) -> None:
        self.record, self.node = record, node
        self.highest: dict[str, float] = {"VmRSS": 0.0, "RssAnon": 0.0}
        self.killed_at = 0.0

    async def watch(self) -> None:
        """Look until cancelled, or until the node has been killed."""
        process = self.node.process
        assert process is not None
        status = Path(f"/proc/{process.pid}/status")
        while process.returncode is None:
            for line in status.read_text().splitlines():
                field, _, value = line.partition(":")
                if field in self.highest:
                    self.highest[field] = max(self.highest[field], int(value.split()[0]) / KB_PER_MB)
            if self.highest["VmRSS"] > MEMORY_MB:
                self.killed_at = self.record.add("over_limit", **self.highest)
                self.node.signal(signal.SIGKILL)
                return
            await asyncio.sleep(LOOK)


async def case(record: Record, work: Path) -> list[str]:
    """Play the case; return whether the node went over its limit, and whose answers that took along."""
    kinds = {"s-1": "prefill", "s-2": "prefill", "s-3": "prefill", "s-4": "decode", "s-5": "decode"}
    fleet = Fleet(record, kinds)
    await fleet.start()
    agent, node = Agent(fleet, "agent"), Node(record, work, settings(), SOCKETS)
    await agent.start()
    await agent.receive(fleet.index, fleet.entries())
    usual: dict[str, asyncio.Task[object]] = {}
    crowd: asyncio.subprocess.Process | None = None
    try:
        await node.start(agent, fleet.entries(), fleet.index, MEMORY_MB)
        platform = Platform(record, node)
        watching = asyncio.ensure_future(platform.watch())
        if TROUBLE:
            shape = (node.port, CLIENTS, BODY_BYTES, WAVES, WAVE_INTERVAL)
            record.add("crowd", clients=CLIENTS, bytes=BODY_BYTES, waves=WAVES)
            crowd = await asyncio.create_subprocess_exec(
                sys.executable, "-B", str(ROOT / "review" / "crowd2.py"), *map(str, shape)
            )
        for number in range(int(WAVES * WAVE_INTERVAL / USUAL_INTERVAL)):
            if platform.killed_at:
                break
            name = f"q{number}"
            usual[name] = asyncio.ensure_future(ask(fleet, node, name, "staff-ask", 6_000, patience=8.0))
            await asyncio.sleep(USUAL_INTERVAL)
        answers = await asyncio.gather(*usual.values())
        watching.cancel()
    finally:
        await node.end()
        if crowd is not None and crowd.returncode is None:
            crowd.kill()
            await crowd.wait()
    record.add("memory", limit=MEMORY_MB, **platform.highest)
    print("highest", platform.highest, "of", MEMORY_MB)
    if platform.killed_at:
        cut = sum(not getattr(answer, "whole", False) for answer in answers)
        return [
            f"the node had {platform.highest['VmRSS']:.1f} MB of {MEMORY_MB} at {platform.killed_at:.2f} s"
            f" and was killed; {cut} usual clients lost their answers"
        ]
    if not any(getattr(answer, "whole", False) for answer in answers):
        raise CannotRunError("nothing was served")
    return []


play(Path(__file__).resolve().parent, case)
