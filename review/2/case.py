"""Some bad clients send hundreds of requests at once, and the same again as soon as they are turned away.

The usual clients are owed their answers all the same, before their time is up.
AT_ONCE sets how many requests a bad client sends at once; only the default counts.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    TROUBLE,
    Agent,
    CaseError,
    Client,
    Engine,
    Node,
    Record,
    completion,
    request_class,
    run_case,
    settings,
)

BAD_CLIENTS = 30
AT_ONCE = int(os.environ.get("AT_ONCE", "900"))
BAD_SECONDS = 12.0
GOOD_CLIENTS = 12
INTERVAL = 0.5  # seconds between two good clients
DEADLINE_MS = 3000  # half of the class's deadline of 6 s
LATE_ALLOWED = 0.5  # seconds after the deadline, by the page, in which an answer only earns nothing
SLACK = 0.55  # seconds: the page's 50 ms, and half a second for this process
PATIENCE = 10.0  # seconds for which a client is observed


async def start_bad_clients(node: Node) -> asyncio.subprocess.Process:
    """Start the bad clients in a process of their own, so that they do not delay the other stand-ins."""
    program = Path(__file__).resolve().parent.parent / "bad_clients.py"
    arguments = [str(node.port), str(BAD_CLIENTS), str(AT_ONCE), str(BAD_SECONDS)]
    node.record.line(f"{BAD_CLIENTS} bad clients begin, {AT_ONCE} requests at once")
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", str(program), *arguments, stdout=asyncio.subprocess.PIPE
    )


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
    agent = Agent(engines, record)
    await agent.start()
    classes = [request_class("staff-ask", "idempotent", 6_000_000, 1_500_000)]
    node = Node(record, agent, settings(classes), memory_mb=192)
    bad: asyncio.subprocess.Process | None = None
    try:
        await node.start()
        await node.wait_ready()
        if TROUBLE:
            bad = await start_bad_clients(node)
        await asyncio.sleep(1.0)
        clients, tasks = [], []
        for number in range(GOOD_CLIENTS):
            client = Client(node, f"good{number}")
            clients.append(client)
            request = completion(client.identity, "staff-ask", DEADLINE_MS)
            tasks.append(asyncio.create_task(client.run(request, PATIENCE)))
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(*tasks)
        if bad is not None:
            answered, _ = await bad.communicate()
            record.line(f"{int(answered)} requests of the bad clients were answered in {BAD_SECONDS} s")
        if node.exit_code is not None:
            raise CaseError("the front node has ended")
        return judge(record, clients)
    finally:
        if bad is not None and bad.returncode is None:
            bad.kill()
            await bad.wait()
        await node.end()


def judge(record: Record, clients: list[Client]) -> int:
    """Count the requests of the usual clients that were accepted and answered too late or never."""
    taken = lost = 0
    for client in clients:
        if not client.sent_at:
            record.line(f"{client.identity}: its request was not accepted")
            continue
        taken += 1
        answered_at = client.first_event_at or client.ended_at or client.gave_up_at
        waited = answered_at - client.sent_at
        is_lost = waited > DEADLINE_MS / 1000 + LATE_ALLOWED + SLACK
        lost += is_lost
        record.line(
            f"{client.identity}: answer {client.status or 'none'} after {waited:.3f} s"
            f"{' - lost' if is_lost else ''}"
        )
    record.line(f"{taken} requests were accepted, {lost} of them are lost")
    if not taken:
        raise CaseError("no request was accepted")
    return BROKEN if lost else HELD


run_case(Path(__file__).parent, case)
