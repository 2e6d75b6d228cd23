"""A stand-in list service: numbered changes streamed to every front, as late and as mangled as it is told."""

from __future__ import annotations

from collections import deque
from random import Random
from urllib.parse import parse_qs, urlsplit

import anyio
from anyio.abc import SocketListener, SocketStream, TaskStatus

from runspool.lab.http_server import Asked, PeerClosedError, serve, serve_all
from runspool.lab.recording import Recorder
from runspool.service.clock import now
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, encode_message

BEAT = 1.0
HISTORY = 64
QUEUE = 1024  # lines waiting for a slow front before its watch is ended


class Listing:
    """Knows the true state of the engines and tells it `delay` later."""

    def __init__(self, record: Recorder, delay: int, seed: int = 0) -> None:
        self.record = record
        self.delay = delay
        self.noisy = False  # torn, repeated and reordered lines
        self.rng = Random(seed)
        self.epoch = f"{now():x}"
        self.version = 0
        self.known: dict[str, EndpointEntry] = {}
        self.history: deque[EndpointListMessage] = deque(maxlen=HISTORY)
        self.watchers: list[_Watcher] = []
        self.pending: deque[tuple[int, EndpointEntry]] = deque()
        self.more = anyio.Event()
        self.port = 0

    def set(self, entry: EndpointEntry, at_once: bool = False) -> None:
        """News of an engine, told after the delay that holds now."""
        due = now() + (0 if at_once else self.delay)
        # Late news never overtakes earlier news: the service is late as a whole.
        due = max(due, self.pending[-1][0] if self.pending else 0)
        self.pending.append((due, entry))
        self.more.set()

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports its port as started."""
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            async with listener:
                one = listener.listeners[0]
                assert isinstance(one, SocketListener)
                self.port = int(one.extra(anyio.abc.SocketAttribute.local_port))
                tasks.start_soon(self._publish)
                task_status.started(self.port)
                await serve_all(one, self._client, tasks)

    async def _publish(self) -> None:
        while True:
            self.more = anyio.Event()
            while self.pending and self.pending[0][0] <= now():
                self._tell(self.pending.popleft()[1])
            wait = (self.pending[0][0] - now()) / 10_000 if self.pending else 3600
            with anyio.move_on_after(max(0.001, wait)):
                await self.more.wait()

    def _tell(self, entry: EndpointEntry) -> None:
        self.version += 1
        if entry.state == "gone":
            self.known.pop(entry.engine, None)
        else:
            self.known[entry.engine] = entry
        news = EndpointListMessage(self.version, self.epoch, engines=[entry])
        self.history.append(news)
        for watcher in list(self.watchers):
            watcher.put(news)

    async def _client(self, stream: SocketStream) -> None:
        await serve(stream, self._request)

    async def _request(self, asked: Asked) -> None:
        await asked.read_body()
        target = urlsplit(asked.target)
        if target.path != "/v1/engines/watch":
            await asked.answer(404, {})
            return
        said = parse_qs(target.query)
        front, after = said.get("front", ["?"])[0], int(said.get("after", ["-1"])[0])
        await asked.open_stream({"Content-Type": "application/x-ndjson"})
        watcher = _Watcher(self, asked, front)
        missed = [news for news in self.history if news.version > after]
        if after < 0 or after > self.version or len(missed) != self.version - after:
            missed = [
                EndpointListMessage(
                    self.version, self.epoch, is_snapshot=True, engines=list(self.known.values())
                )
            ]
        for news in missed:
            watcher.put(news, plain=True)
        self.watchers.append(watcher)
        try:
            async with anyio.create_task_group() as tasks:

                async def until_left() -> None:
                    await asked.watch()
                    tasks.cancel_scope.cancel()

                tasks.start_soon(until_left)
                await watcher.run()
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            if group.split(PeerClosedError)[1] is not None:
                raise
        finally:
            self.watchers.remove(watcher)


class _Watcher:
    def __init__(self, listing: Listing, asked: Asked, front: str) -> None:
        self.listing = listing
        self.asked = asked
        self.front = front
        self.lines: deque[tuple[EndpointListMessage, bytes]] = deque()
        self.more = anyio.Event()
        self.over = False

    def put(self, news: EndpointListMessage, plain: bool = False) -> None:
        if len(self.lines) >= QUEUE:
            self.over = True  # it reads too slowly; it comes again and gets the whole list
        raw, rng = encode_message(news), self.listing.rng
        if self.listing.noisy and not plain:
            mangle = rng.choice(["", "repeat", "reorder", "tear"])
            if mangle == "tear":
                raw = raw[: len(raw) // 2] + b"\n"
            if mangle == "reorder" and self.lines:
                self.lines.insert(len(self.lines) - 1, (news, raw))
            else:
                self.lines.append((news, raw))
            if mangle == "repeat":
                self.lines.append((news, raw))
        else:
            self.lines.append((news, raw))
        self.more.set()

    async def run(self) -> None:
        while not self.over:
            self.more = anyio.Event()
            while self.lines:
                news, raw = self.lines.popleft()
                await self.asked.chunk(raw)
                if raw == encode_message(news):  # a torn line has told nothing
                    said = [[one.engine, one.state, one.started_unix_ms] for one in news.engines]
                    self.listing.record.line(
                        "told", front=self.front, version=news.version, whole=news.is_snapshot, engines=said
                    )
            with anyio.move_on_after(BEAT):
                await self.more.wait()
                continue
            await self.asked.chunk(
                encode_message(
                    EndpointListMessage(self.listing.version, self.listing.epoch, is_heartbeat=True)
                )
            )
