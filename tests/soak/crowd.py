"""Clients of a soak: the usual ones, those that leave, and those that send what cannot be taken."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from tests.fault_proxy import HOST
from tests.node_platform.client import Client, post
from tests.soak.nodes import SoakNode
from tests.soak.world import World, stream_of

CLASSES = ("ask", "ask", "book", "pay")
LEAVING_SHARE = 0.07  # of clients, that disconnect before they are answered
GRACE = 2.0  # seconds beyond a deadline that a client still listens, so that a late answer is seen as one


class Crowd:
    """Sends requests to nodes that are up, at a mean rate a node, until stopped."""

    def __init__(
        self, world: World, nodes: list[SoakNode], rate: float, leaving_share: float = LEAVING_SHARE
    ) -> None:
        self.world, self.nodes, self.rate = world, nodes, rate
        self.leaving_share = leaving_share
        self.random = Random(f"{world.seed}.crowd")
        self.kept: dict[str, list[Client]] = {node.name: [] for node in nodes}
        self.count = 0
        self.under_way: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Begins requests for so long, and waits for the last to end."""
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.expovariate(self.rate * len(self.nodes)))
            up = [node for node in self.nodes if node.up]
            if up:
                task = asyncio.ensure_future(self._one(self.random.choice(up)))
                self.under_way.add(task)
                task.add_done_callback(self.under_way.discard)
        await asyncio.gather(*self.under_way)
        for clients in self.kept.values():
            for client in clients:
                client.close()

    async def _one(self, node: SoakNode) -> None:
        self.count += 1
        name = f"q{self.world.seed}-{self.count}"
        luck = self.random.random()
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            if luck < 0.04:
                await self._bad(node, name)
            else:
                await self._usual(node, name, leaves=luck > 1.0 - self.leaving_share)

    async def _connection(self, node: SoakNode) -> tuple[Client, bool]:
        """A connection that rests, or a new one; whether it is new."""
        if self.kept[node.name] and self.random.random() < 0.8:
            return self.kept[node.name].pop(), False
        return Client(*await asyncio.open_connection(HOST, node.port)), True

    async def _usual(self, node: SoakNode, name: str, leaves: bool) -> None:
        kind = self.random.choice(CLASSES)
        deadline = self.random.choice([0.7, 1.5, 2.5, 4.0])
        body = b'{"prompt":"%b"}' % name.encode()
        client, new = await self._connection(node)
        data = post(name, kind, body, req_deadline=f"{int(deadline * 1000)}m", req_key=f"k{self.count % 40}")
        if self.random.random() < 0.1:  # in pieces
            client.send(data[:200])
            await asyncio.sleep(0.02)
            data = data[200:]
        client.send(data)
        self.world.say(
            "asked", request=name, node=node.name, kind=kind, deadline=deadline, new=new, body=body.decode()
        )
        if leaves:
            await asyncio.sleep(self.random.random() * 0.5)
            client.close()
            self.world.say("left", request=name)
            return
        how, status = "late", 0
        try:
            async with asyncio.timeout(deadline + GRACE + 8.0):
                status, how = await self._answer(client, name)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError):
            how = "closed"
        self.world.say("answered", request=name, status=status, how=how)
        if how == "whole":
            self.kept[node.name].append(client)
        else:
            client.close()

    async def _answer(self, client: Client, name: str) -> tuple[int, str]:
        head = await client.read_head()
        if head.status == 200:
            self.world.say("begun", request=name)
        answer = await client.read_body(head)
        if answer.status == 200 and answer.body != b"".join(stream_of(name)) and answer.complete:
            return answer.status, "wrong"
        closes = answer.headers.get("connection") == "close"
        return answer.status, "cut" if not answer.complete else "last" if closes else "whole"

    async def _bad(self, node: SoakNode, name: str) -> None:
        """Owed an error or a close; nothing of it may reach an engine."""
        good = post(name)
        data = self.random.choice(
            [
                good[:300],
                b"\x00\xff" * 40,
                good.replace(b"content-length: ", b"content-length: -"),
                good.replace(b"req-kind: ask", b"req-kind: odd"),
                b"GET / HTTP/1.1\r\n" + b"x" * 40_000,
                good.replace(b"req-deadline: 4000m", b"req-deadline: soon"),
                good.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1),
                good[:-1] + good.replace(name.encode(), b"hidden" + name.encode()),
            ]
        )
        client = Client(*await asyncio.open_connection(HOST, node.port))
        client.send(data)
        self.world.say("bad", request=name, node=node.name)
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.random() * 0.2)
        else:
            async with asyncio.timeout(4.0):
                await client.reader.read(1 << 16)
        client.close()
