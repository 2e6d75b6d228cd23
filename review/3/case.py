"""Some answers are spoilt after their first event: a chunk said to be 3 GB keeps coming, and is no event.

The client of such an answer must see its connection end within 5 s, without the last chunk.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    STREAM_HEAD,
    TROUBLE,
    Agent,
    CaseError,
    Client,
    Engine,
    Node,
    Record,
    chunk,
    completion,
    request_class,
    run_case,
    settings,
    token_event,
)

STREAMS = 20
SPOILT_EVERY = 4  # one answer in so many is spoilt
INTERVAL = 0.2  # seconds between two requests
ALLOWED = 5.0  # seconds from the last event to the end of the client's connection, by the page
SLACK = 0.55  # seconds: the page's 50 ms, and half a second for this process
PATIENCE = 30.0  # seconds for which a client is observed
NOISE_PIECE = b"x" * 40  # about as much as an event brings, and as often
NOISE_INTERVAL = 0.1


async def spoil(
    engine: Engine, identity: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Send one event, then a chunk said to be 3 GB that keeps coming until the connection is closed."""
    if not (TROUBLE and identity.startswith("spoilt")):
        return False
    await asyncio.sleep(engine.read_seconds)
    writer.write(STREAM_HEAD + chunk(token_event("t0 ")))
    writer.write(b"c0000000\r\n")
    engine.record.line(f"{engine.name} begins the endless chunk in its answer to {identity}")
    while not reader.at_eof():
        writer.write(NOISE_PIECE)
        await writer.drain()
        await asyncio.sleep(NOISE_INTERVAL)
    engine.record.line(f"{engine.name}: the connection of {identity} was closed")
    raise ConnectionResetError


async def case(record: Record) -> int:
    """Run the case and return its exit code."""
    engines = [
        Engine("r1", "prefill", record),
        Engine("r2", "prefill", record),
        Engine("w1", "decode", record),
        Engine("w2", "decode", record),
    ]
    for engine in engines:
        await engine.start()
    for engine in engines[2:]:
        engine.answer = spoil
    agent = Agent(engines, record)
    await agent.start()
    classes = [request_class("staff-ask", "idempotent", 6_000_000, 1_500_000)]
    node = Node(record, agent, settings(classes), memory_mb=192)
    try:
        await node.start()
        await node.wait_ready()
        clients, tasks = [], []
        for number in range(STREAMS):
            kind = "good" if number % SPOILT_EVERY else "spoilt"
            client = Client(node, f"{kind}{number}")
            clients.append(client)
            tasks.append(
                asyncio.create_task(client.run(completion(client.identity, "staff-ask", 6000), PATIENCE))
            )
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(*tasks)
        if node.exit_code is not None:
            raise CaseError("the front node has ended")
        return judge(record, clients)
    finally:
        await node.end()


def judge(record: Record, clients: list[Client]) -> int:
    """Count the streams that are not whole and whose clients were left waiting for too long."""
    waiting = 0
    for client in clients:
        if client.complete or client.status != 200:
            continue
        until = client.ended_at or client.gave_up_at
        waited = until - client.last_event_at
        state = "ended" if client.ended_at else "still open"
        record.line(f"{client.identity}: {waited:.2f} s after its last event the connection is {state}")
        waiting += waited > ALLOWED + SLACK
    whole = sum(client.complete and client.status == 200 for client in clients)
    if TROUBLE and whole == len(clients):
        raise CaseError("no answer was spoilt")
    record.line(f"{whole} of {len(clients)} answers are whole, {waiting} clients were left waiting")
    return BROKEN if waiting else HELD


run_case(Path(__file__).parent, case)
