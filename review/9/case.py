"""A new configuration moves discovery while a writer drains; lists come late at the new address."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers2 import TROUBLE, Agent, CannotRunError, Fleet, Node, Record, ask, play, settings

REQUESTS = 70
INTERVAL = 0.1  # seconds between two requests
DRAIN_AT = 1.5  # seconds from the first request
RELOAD_AT = 2.5
OLD_CLOSES = 1.5  # seconds from SIGHUP until the old address closes its connections
LATE = 4.0  # seconds from the change until the new address has it; the site's file says 1.3 to 4.9
GRACE = 0.25 + 0.05 + 0.15  # the rule's, that of sockets, and the time for which a node may be held up
DRAINS = "s-4"


async def case(record: Record, work: Path) -> list[str]:
    """Play the case; return the requests sent to the draining engine after the grace."""
    kinds = {"s-1": "prefill", "s-2": "prefill", "s-3": "prefill", "s-4": "decode", "s-5": "decode"}
    fleet = Fleet(record, kinds)
    await fleet.start()
    old, new = Agent(fleet, "old"), Agent(fleet, "new")
    node = Node(record, work, settings())
    for agent in (old, new):
        await agent.start()
        await agent.receive(fleet.index, fleet.entries())
    try:
        await node.start(old, fleet.entries(), fleet.index)
        moving = asyncio.ensure_future(move(fleet, node, old, new))
        asking = []
        for number in range(REQUESTS):
            asking.append(asyncio.ensure_future(ask(fleet, node, f"q{number}", "staff-ask", 6_000)))
            await asyncio.sleep(INTERVAL)
        answers = await asyncio.gather(*asking)
        await moving
    finally:
        await node.end()
    if sum(answer.status == 200 and answer.whole for answer in answers) < REQUESTS // 2:
        raise CannotRunError("little was served")
    told = [event for event in record.all("told", agent="old") if f"{DRAINS}:leaving" in event["states"]]
    if not told or not record.all("told", agent="new"):
        raise CannotRunError("the node has not asked one of the two addresses")
    until = told[0]["t"] + GRACE
    return [
        f"{event['request']} arrived at {DRAINS} {event['t'] - told[0]['t']:.2f} s after the node was told of"
        f" its drain (version {told[0]['index']})"
        for event in record.all("arrived", engine=DRAINS)
        if event["t"] > until
    ]


async def move(fleet: Fleet, node: Node, old: Agent, new: Agent) -> None:
    """Drain an engine, then move discovery to another address."""
    await asyncio.sleep(DRAIN_AT)
    fleet.status[DRAINS] = "leaving"
    fleet.index += 1
    changed = [fleet.entry(DRAINS)]
    fleet.record.add("drain", engine=DRAINS, index=fleet.index)
    await old.receive(fleet.index, changed)
    if not TROUBLE:
        await new.receive(fleet.index, changed)
    await asyncio.sleep(RELOAD_AT - DRAIN_AT)
    node.write_config(new, fleet.entries(), fleet.index, 192)
    assert old.server is not None
    old.server.close()
    node.signal(signal.SIGHUP)
    await asyncio.sleep(OLD_CLOSES)
    old.close_connections()
    await asyncio.sleep(DRAIN_AT + LATE - RELOAD_AT - OLD_CLOSES)
    if TROUBLE:
        await new.receive(fleet.index, changed)
        fleet.record.add("new_address_has_it", index=fleet.index)


play(Path(__file__).resolve().parent, case)
