"""The client workload of a soak: well-formed requests, clients that disconnect, and malformed requests."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from os.path import commonprefix
from random import Random

from tests.fault_proxy import HOST
from tests.node_platform.client import Client, post
from tests.soak.answers import Answer
from tests.soak.environment import Environment
from tests.soak.nodes import SoakNode

# The request class of each request is drawn from these; half of the requests are of class "ask".
REQUEST_CLASSES = ("ask", "ask", "book", "pay")
DISCONNECTING_SHARE = 0.07  # share of the clients that disconnect before they are answered
MALFORMED_SHARE = 0.04  # share of the requests that are malformed
REUSED_CONNECTION_SHARE = 0.6  # share of the requests that are sent on an idle connection, if there is one
SPLIT_REQUEST_SHARE = 0.1  # share of the requests that are sent in two pieces
GRACE = 2.0  # seconds after its deadline for which a client still listens, so that late answers are recorded
# Seconds that a client waits for the end of its stream; enough for a silenced connection and slow engines.
LONGEST_WAIT = 22.0
COMES_AGAIN_AFTER = 0.05  # seconds after which some clients that have left send their request again
CONNECTS_AFTER_STOP = 0.3  # seconds after SIGTERM for which clients still open new connections to a node
# Seconds after a kill until clients notice it at the latest, by the platform's pages. Until then they go on
# coming to the address of the node, also while its next process starts.
NOTICED_AFTER_KILL = 3.2
DEADLINE_SHARES = (0.25, 0.4, 0.65, 1.0)  # deadlines of requests as fractions of the longest deadline


class ClientWorkload:
    """Sends requests to the nodes that clients take for up, at a mean rate per node.

    Attributes:
        rate: the mean number of requests per second and node.
        disconnecting_share: the share of the clients that disconnect before they are answered.
        idle_clients: by node name, the clients with an open connection and no request.
    """

    def __init__(
        self,
        environment: Environment,
        nodes: list[SoakNode],
        rate: float,
        disconnecting_share: float = DISCONNECTING_SHARE,
    ) -> None:
        self.environment, self.nodes, self.rate = environment, nodes, rate
        self.disconnecting_share = disconnecting_share
        self.random = Random(f"{environment.seed}.crowd")  # another string would change each seed's workload
        self.idle_clients: dict[str, list[Client]] = {node.name: [] for node in nodes}
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Begin requests for `seconds`, wait until all have ended, and close the connections."""
        end = asyncio.get_running_loop().time() + seconds
        idling = asyncio.ensure_future(self._keep_idle_clients())
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.random.expovariate(self.rate * len(self.nodes)))
            available = [node for node in self.nodes if self._accepts_requests(node)]
            if available:
                task = asyncio.ensure_future(self._make_request(self.random.choice(available)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        idling.cancel()
        await asyncio.gather(idling, return_exceptions=True)
        await asyncio.gather(*self.tasks)
        for clients in self.idle_clients.values():
            for client in clients:
                client.close()

    def _connects(self, node: SoakNode) -> bool:
        """Return whether clients open new connections to a node.

        Shortly after SIGTERM they still do, and also for a while after a kill, whether or not the node is
        ready again.
        """
        if node.stopped_at is None or node.process.returncode is not None:
            return node.up or self._is_kill_unnoticed(node)
        return asyncio.get_running_loop().time() < node.stopped_at + CONNECTS_AFTER_STOP

    def _is_kill_unnoticed(self, node: SoakNode) -> bool:
        now = asyncio.get_running_loop().time()
        return node.killed_at is not None and now < node.killed_at + NOTICED_AFTER_KILL

    def _accepts_requests(self, node: SoakNode) -> bool:
        """Return whether a client has an idle connection to a node or can open one.

        Open connections are used until the node closes them or ends.
        """
        clients = self.idle_clients[node.name]
        clients[:] = [client for client in clients if not client.reader.at_eof()]
        return self._connects(node) or bool(clients)

    async def _keep_idle_clients(self) -> None:
        """Keep open the connections that send nothing, as many as the conditions say, until cancelled."""
        count = self.environment.conditions.idle_clients
        async with asyncio.TaskGroup() as tasks:
            for node in self.nodes:
                for _ in range(count):
                    tasks.create_task(self._stay_idle(node))

    async def _stay_idle(self, node: SoakNode) -> None:
        """Keep one connection to a node open, and reopen it after the node has closed it."""
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
            if not node.up:
                continue
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, node.port)
                try:
                    await reader.read()
                finally:
                    writer.transport.abort()

    async def _make_request(self, node: SoakNode) -> None:
        self.request_count += 1
        name = f"q{self.environment.seed}-{self.request_count}"
        draw = self.random.random()
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            if draw < MALFORMED_SHARE:
                await self._send_malformed(node, name)
            else:
                await self._send_well_formed(node, name, disconnects=draw > 1.0 - self.disconnecting_share)

    async def _connection(self, node: SoakNode) -> tuple[Client, bool]:
        """Return a client with an idle or a new connection, and whether the connection is new."""
        reuses = self.random.random() < REUSED_CONNECTION_SHARE or not self._connects(node)
        if self.idle_clients[node.name] and reuses:
            return self.idle_clients[node.name].pop(), False
        return Client(*await asyncio.open_connection(HOST, node.port)), True

    async def _send_well_formed(self, node: SoakNode, name: str, disconnects: bool) -> None:
        kind = self.random.choice(REQUEST_CLASSES)
        deadline = self.random.choice(DEADLINE_SHARES) * self.environment.conditions.longest_deadline
        body = b'{"prompt":"%b"}' % name.encode()
        client, new = await self._connection(node)
        answer = self.environment.conditions.answer(name)
        data = post(
            name,
            kind,
            body,
            req_deadline=f"{int(deadline * 1000)}m",
            req_key=f"k{self.request_count % 40}",
            req_extra=f"prefix=5c0f,prompt_len=40,prefix_len=8,max_out={answer.max_tokens}",
        )
        if self.random.random() < SPLIT_REQUEST_SHARE:
            client.send(data[:200])
            await asyncio.sleep(0.02)
            data = data[200:]
        client.send(data)
        self.environment.record(
            "asked", request=name, node=node.name, kind=kind, deadline=deadline, new=new, body=body.decode()
        )
        if disconnects:
            process = node.process
            await asyncio.sleep(self.random.random() * 0.5)
            client.close()
            self.environment.record("left", request=name)
            if kind == "book":
                await self._come_again(node, process, name, data)
            return
        how, status, waited = "late", 0, deadline + GRACE + LONGEST_WAIT
        try:
            async with asyncio.timeout(deadline + GRACE + LONGEST_WAIT):
                status, how, waited = await self._read_response(client, name, answer)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError):
            how = "closed"
        self.environment.record("answered", request=name, status=status, how=how, waited=waited)
        if how == "whole":
            self.idle_clients[node.name].append(client)
        else:
            client.close()

    async def _come_again(
        self, node: SoakNode, process: asyncio.subprocess.Process, name: str, data: bytes
    ) -> None:
        """Send the request of a client that has left to the same process again; ids end with processes."""
        await asyncio.sleep(COMES_AGAIN_AFTER)
        if not node.up or node.process is not process:
            return
        client = Client(*await asyncio.open_connection(HOST, node.port))
        self.environment.record("again", request=name)
        client.send(data)
        async with asyncio.timeout(LONGEST_WAIT):
            await client.read_response()
        client.close()

    async def _read_response(self, client: Client, name: str, answer: Answer) -> tuple[int, str, float]:
        """Read a response; return its status, how it ended, and for how long it last brought nothing.

        It ends as "wrong" (not the stream of this request), "cut" (incomplete), "last" (complete, and the
        node closes the connection) or "whole" (complete, and the connection stays open).
        """
        response = await client.read_head()
        expected = b"".join(answer.events)
        loop = asyncio.get_running_loop()
        progress_at, received = loop.time(), 0  # number of bytes of the expected stream
        if response.status == 200:
            self.environment.record("begun", request=name)
            with suppress(OSError, asyncio.IncompleteReadError):
                while data := await client.read_chunk():
                    if received == len(response.body):  # all before it was expected
                        new = len(commonprefix([expected[received : received + len(data)], data]))
                        progress_at, received = loop.time() if new else progress_at, received + new
                    response.body += data
                response.complete = True
        else:
            response = await client.read_body(response)
        waited = loop.time() - progress_at
        if response.status == 200 and response.body != expected and response.complete:
            return response.status, "wrong", waited
        closes = response.headers.get("connection") == "close"
        how = "cut" if not response.complete else "last" if closes else "whole"
        return response.status, how, waited

    async def _send_malformed(self, node: SoakNode, name: str) -> None:
        """Send a malformed request, which the node must reject and never pass on to an engine."""
        well_formed = post(name)
        data = self.random.choice(
            [
                well_formed[:300],
                b"\x00\xff" * 40,
                well_formed.replace(b"content-length: ", b"content-length: -"),
                well_formed.replace(b"req-kind: ask", b"req-kind: odd"),
                b"GET / HTTP/1.1\r\n" + b"x" * 40_000,
                well_formed.replace(b"req-deadline: 4000m", b"req-deadline: soon"),
                well_formed.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1),
                well_formed[:-1] + well_formed.replace(name.encode(), b"hidden" + name.encode()),
            ]
        )
        client = Client(*await asyncio.open_connection(HOST, node.port))
        client.send(data)
        self.environment.record("bad", request=name, node=node.name)
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.random() * 0.2)
        else:
            async with asyncio.timeout(4.0):
                await client.reader.read(1 << 16)
        client.close()
