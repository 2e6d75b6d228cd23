"""Some bad clients send bodies of 60 MB: chunked, with the bytes in the trailer section at its end.

The platform kills a front node that goes over its limit of memory; none may.
With FORM=data the same bytes come as chunks of data instead. This is for comparison only.
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
    chunk,
    completion,
    request_class,
    run_case,
    settings,
)

MEMORY_MB = 192  # the highest limit of the scored days
BAD_CLIENTS = 60
BODY_BYTES = 60_000_000
PIECE = b"a" * 65_536
GOOD_CLIENTS = 10
SAMPLE_SECONDS = 0.01  # between two looks at the memory
OBSERVED_SECONDS = 10.0
AS_DATA = os.environ.get("FORM") == "data"


async def send_bad_request(node: Node, number: int) -> None:
    """Send a request with a body of 60 MB at full speed, and read what is answered until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    answer = asyncio.create_task(reader.read())
    started = node.record.at()
    sent = 0
    try:
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
            b"Req-Id: bad%d\r\nReq-Kind: staff-ask\r\nReq-Deadline: 6000m\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" % number
        )
        if not AS_DATA:
            writer.write(b"0\r\nX-Note: ")
        while sent < BODY_BYTES:
            writer.write(chunk(PIECE) if AS_DATA else PIECE)
            sent += len(PIECE)
            await writer.drain()
        await answer
    except ConnectionError:
        pass
    finally:
        writer.close()
        answer.cancel()
        node.record.line(
            f"bad client {number}: {sent / 1e6:.1f} MB sent, the connection ended"
            f" {node.record.at() - started:.2f} s after it was opened"
        )


class MemoryWatch:
    """Looks at the memory of a front node, and kills it where it goes over its limit, as the platform does.

    `peak` is the highest memory seen, in MB.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.peak = 0.0

    async def run(self) -> None:
        """Look until the limit is exceeded or the task is cancelled."""
        while self.peak <= self.node.memory_mb:
            self.peak = max(self.peak, self.node.memory())
            await asyncio.sleep(SAMPLE_SECONDS)
        self.node.record.line(f"platform kills the front node: {self.peak:.1f} MB")
        await self.node.kill()


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
        engine.tokens, engine.token_seconds = 60, 0.06
    agent = Agent(engines, record)
    await agent.start()
    classes = [request_class("staff-ask", "idempotent", 6_000_000, 1_500_000)]
    node = Node(record, agent, settings(classes), MEMORY_MB)
    try:
        await node.start()
        await node.wait_ready()
        watch = MemoryWatch(node)
        watcher = asyncio.create_task(watch.run())
        clients = [Client(node, f"good{number}") for number in range(GOOD_CLIENTS)]
        work = [
            asyncio.create_task(client.run(completion(client.identity, "staff-ask", 6000), OBSERVED_SECONDS))
            for client in clients
        ]
        await asyncio.sleep(0.5)
        if node.exit_code is not None:
            raise CaseError("the front node has ended before the disruption")
        if TROUBLE:
            work += [asyncio.create_task(send_bad_request(node, number)) for number in range(BAD_CLIENTS)]
        await asyncio.wait(work, timeout=OBSERVED_SECONDS)
        for task in work:
            task.cancel()
        has_crashed = node.exit_code is not None or watch.peak > MEMORY_MB
        watcher.cancel()
        whole = sum(client.complete and client.status == 200 for client in clients)
        record.line(f"{whole} of {len(clients)} good clients have their whole answers")
        record.line(f"highest memory {watch.peak:.1f} MB of {MEMORY_MB}; the node has ended: {has_crashed}")
        return BROKEN if has_crashed else HELD
    finally:
        await node.end()


run_case(Path(__file__).parent, case)
