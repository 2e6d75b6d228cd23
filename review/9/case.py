"""An engine is slow for a while, and an answer says the same few tokens several times on end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers2 import (
    BOTH_EFFECTS,
    TROUBLE,
    Agent,
    CannotRunError,
    Fleet,
    Node,
    Record,
    ask,
    ending,
    play,
    settings,
    text_event,
)

EVENT_TIME = 0.24  # seconds between two events: four tokens of 60 ms each
SLOWNESS = 7.0  # the pages say 2 to 10 times slower, for 10 to 35 s
SAME_EVENTS = 5  # events on end with the same text
LONGEST_GAP = 5.0  # seconds between two events from which on a stream may be ended


def answer(request: str) -> list[bytes]:
    """Return an answer with a table in it, whose rule is the same four tokens again and again."""
    before = [text_event(f"{request} share {index}\n") for index in range(2)]
    rule = [text_event("--- | --- | ")] * SAME_EVENTS
    after = [text_event(f"\n{index}. waiter | 120 zl") for index in range(2)]
    return before + rule + after + ending(4 * (len(before) + len(rule) + len(after)))


async def case(record: Record, work: Path) -> list[str]:
    """Play the case; return the streams that were cut off while their events were coming."""
    kinds = {"s-1": "prefill", "s-2": "prefill", "s-3": "decode", "s-4": "decode"}
    fleet = Fleet(record, kinds)
    for name, engine in fleet.engines.items():
        engine.event_time, engine.answer = EVENT_TIME, answer
        if TROUBLE and name == "s-3":
            engine.slowness = SLOWNESS
    await fleet.start()
    agent, node = Agent(fleet, "agent"), Node(record, work, settings(BOTH_EFFECTS, resume=False))
    await agent.start()
    await agent.receive(fleet.index, fleet.entries())
    try:
        await node.start(agent, fleet.entries(), fleet.index)
        asking = []
        for number in range(8):
            kind = "payout-close" if number % 2 else "staff-ask"
            asking.append(asyncio.ensure_future(ask(fleet, node, f"q{number}", kind, 6_000)))
            await asyncio.sleep(0.2)
        answers = await asyncio.gather(*asking)
    finally:
        await node.end()
    breaks = []
    for number, got in enumerate(answers):
        request = f"q{number}"
        if got.status == 200 and not got.whole and (text := cut_off(record, request, got.body)):
            breaks.append(text)
    if not breaks and not all(got.status == 200 and got.whole for got in answers):
        raise CannotRunError("not all was served, for another reason")
    return breaks


def cut_off(record: Record, request: str, body: bytes) -> str:
    """Return how a stream was cut off whose engine went on writing; empty if it was not so."""
    ended = record.all("answered", request=request)[0]["t"]
    times = [event["t"] for event in record.all("event", request=request)]
    before = [at for at in times if at <= ended]
    gap = max(later - earlier for earlier, later in zip(before, [*before[1:], ended], strict=True))
    if gap >= LONGEST_GAP:
        return ""
    rest = len(answer(request)) - len(before)
    return (
        f"{request}: the client's connection ended at {ended:.3f} s without the last chunk,"
        f" {ended - before[-1]:.2f} s after the last of {len(before)} events, with {rest} still to come;"
        f" the longest gap was {gap:.2f} s ({body.count(b'data:')} events reached the client)"
    )


play(Path(__file__).resolve().parent, case)
