"""The day's clients: they ask at the times drawn for them, repeat what they may, and record what they see."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import h11
import msgspec
from anyio.abc import SocketStream

from runspool.lab.plan import Plan
from runspool.lab.recording import Recorder
from runspool.lab.workload import Item, text_of
from runspool.service.clock import now
from runspool.wire.engine_messages import EventSplitter

GRACE = 3_000  # tenths of a millisecond that an answer is still listened for after the client's time is up
STALL = 20.0  # seconds after which a stream that says nothing is taken to say nothing more
CONNECT = 1.0
RECEIVED = 65536
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, h11.ProtocolError)
AFTER_END = 0.3  # seconds that are listened for anything said after the end


@dataclass(slots=True)
class Entry:
    """A plain layer before the fronts: in turn over those of the zone, and for a while over dead ones too."""

    addresses: list[tuple[str, int]]
    zones: list[str]
    up: list[bool]
    turns: dict[str, int] = field(default_factory=dict)

    def pick(self, zone: str) -> int:
        there = [at for at, one in enumerate(self.zones) if one == zone and self.up[at]]
        there = there or [at for at, up in enumerate(self.up) if up] or list(range(len(self.up)))
        turn = self.turns.get(zone, 0)
        self.turns[zone] = turn + 1
        return there[turn % len(there)]


@dataclass(slots=True)
class Seen:
    """What one try came to: an answer's kind, or refused, malformed, unreachable, lost, none, left."""

    kind: str
    code: str = ""
    wait: int = 0  # tenths of a millisecond that the answer asks to wait
    at: int = 0  # when its last byte was there; 0 where nothing came


class Clients:
    def __init__(self, plan: Plan, entry: Entry, record: Recorder) -> None:
        self.plan = plan
        self.entry = entry
        self.record = record
        self.ended = 0

    async def run(self, items: list[Item], start: int) -> None:
        """Asks every item at its time after `start`, by the front's clock; returns when all are over."""
        async with anyio.create_task_group() as tasks:
            for item in items:
                wait = start + item.at - now()
                if wait > 0:
                    await anyio.sleep(wait / 10_000)
                tasks.start_soon(self._item, item)

    async def _item(self, item: Item) -> None:
        row = self.plan.tariffs[item.tariff]
        first = now()
        for number in range(1, item.retries + 2):
            left = item.limit - (now() - first) if number > 1 and item.backoff else item.limit
            if left < 500:
                break
            seen = await self._try(item, number, left)
            if seen.kind in ("succeeded", "left", "malformed"):
                break
            # What may have run is repeated only where its tariff says so.
            harmless = seen.kind in ("dismissed", "refused", "unreachable")
            again = (
                harmless
                or row.effect == "rerunnable"
                or (row.effect == "ticketed" and row.group == "all" and now() - first < row.window)
            )
            if not again:
                break
            await anyio.sleep((item.backoff + (seen.wait if item.backoff else 0)) / 10_000)
        self.ended += 1

    async def _try(self, item: Item, number: int, limit: int) -> Seen:
        plan, name = self.plan, f"{item.id}.{number}"
        at = self.entry.pick(plan.zones[item.zone])
        row = plan.tariffs[item.tariff]
        self.record.line(
            "asked",
            item=item.id,
            front=plan.fronts[at].name,
            tariff=row.name,
            tenant=plan.tenants[item.tenant].name,
            limit=limit,
            due=item.due,
            prompt=item.prompt,
            out=item.out,
            number=number,
            stream=item.stream,
            **{"try": name},
        )
        seen = Seen("none")
        try:
            with anyio.fail_after(CONNECT):
                stream = await anyio.connect_tcp(*self.entry.addresses[at])
        except (OSError, TimeoutError):
            seen = Seen("unreachable")
        else:
            async with stream:
                seen = await self._talk(item, name, limit, stream)
        self.record.line("answer", kind=seen.kind, code=seen.code, at=seen.at or now(), **{"try": name})
        return seen

    async def _talk(self, item: Item, name: str, limit: int, stream: SocketStream) -> Seen:
        asked, state = now(), h11.Connection(h11.CLIENT)
        body = self._body(item, name)
        head = state.send(
            h11.Request(
                method="POST", target="/v1/completions", headers=self._headers(item, name, limit, len(body))
            )
        )
        try:
            await stream.send((head or b"") + (state.send(h11.Data(data=body)) or b""))
            state.send(h11.EndOfMessage())
        except LOST:
            return Seen("lost", "while_sending")
        self.record.line("sent", **{"try": name})
        reading = _Reading(self, item, name, stream, state)
        if item.leaves_after:
            with anyio.move_on_after(item.leaves_after / 10_000) as leaving:
                seen = await reading.answer(asked + limit + GRACE)
            if leaving.cancelled_caught:
                return Seen("left")
            return seen
        return await reading.answer(asked + limit + GRACE)

    def _headers(self, item: Item, name: str, limit: int, length: int) -> list[tuple[str, str]]:
        plan = self.plan
        said = [
            ("Host", "front"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(length)),
            ("Connection", "close"),
            ("Runspool-Tariff", plan.tariffs[item.tariff].name),
            ("Runspool-Tenant", plan.tenants[item.tenant].name),
            ("Runspool-Session", item.session),
            ("Runspool-Prompt-Tokens", str(item.prompt)),
            ("Runspool-Limit-Ms", str(max(1, limit // 10))),
            ("Runspool-Likely-Tokens", str(item.out)),
            ("Runspool-Mark", name),
            ("Runspool-Try", name.rpartition(".")[2]),
        ]
        if item.beginning:
            said += [
                ("Runspool-Beginning", item.beginning),
                ("Runspool-Beginning-Tokens", str(item.beginning_length)),
            ]
        if plan.tariffs[item.tariff].effect == "ticketed":
            said.append(("Runspool-Ticket", item.id))
        return said

    def _body(self, item: Item, name: str) -> bytes:
        return msgspec.json.encode(
            {
                "model": "runspool",
                "prompt": "".join(text_of(part, size) for part, size in item.parts),
                "max_tokens": 800,
                "stream": item.stream,
                "standin": {"try": name, "out": item.out, "poison": item.poison},
            }
        )


class _Reading:
    """One answer as it comes."""

    def __init__(
        self, clients: Clients, item: Item, name: str, stream: SocketStream, state: h11.Connection
    ) -> None:
        self.record = clients.record
        self.item = item
        self.name = name
        self.stream = stream
        self.state = state
        self.began = False

    async def answer(self, deadline: int) -> Seen:
        """Until its end; "none" where the client's time and a grace pass before it begins."""
        try:
            with anyio.move_on_after((deadline - now()) / 10_000):
                head = await self._event()
                if not isinstance(head, h11.Response):
                    return Seen("lost", "no_head")
                if head.status_code == 200 and self.item.stream:
                    return await self._streamed(deadline)
                return await self._whole(head)
            return Seen("none")
        except LOST as fault:
            return Seen("lost", type(fault).__name__)

    async def _streamed(self, deadline: int) -> Seen:
        events, finish, tokens = EventSplitter(1 << 20), "", 0
        with anyio.CancelScope(shield=True) as scope:  # the hard limit ends with the first token
            scope.deadline = anyio.current_time() + STALL
            while True:
                event = await self._event()
                scope.deadline = anyio.current_time() + STALL
                if isinstance(event, h11.EndOfMessage):
                    return await self._after(Seen("lost", "no_end"))
                if not isinstance(event, h11.Data):
                    return Seen("lost", "cut")
                for raw in events.feed(bytes(event.data)):
                    if raw == b"[DONE]":
                        self.record.line("end", tokens=tokens, finish=finish, **{"try": self.name})
                        return await self._after(Seen("succeeded" if finish else "lost", finish, at=now()))
                    said = _event_of(raw)
                    if said.error is not None:
                        return await self._after(Seen("scrapped", str(said.error.get("code", "")), at=now()))
                    for choice in said.choices:
                        if choice.text:
                            # A gap or a repeat in what the engine counted would show here.
                            for token in choice.text.split():
                                if token != f"t{tokens + 1}":
                                    self.record.line(
                                        "gap", said=token, wanted=tokens + 1, **{"try": self.name}
                                    )
                                tokens += 1
                            if not self.began:
                                self.began = True
                                self.record.line("first", **{"try": self.name})
                        finish = choice.finish_reason or finish
                if self.item.reads_slowly:
                    await anyio.sleep(0.05)
        return Seen("none", "stalled")

    async def _whole(self, head: h11.Response) -> Seen:
        body = bytearray()
        while isinstance(event := await self._event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return Seen("lost", "cut")
        at, said = now(), _event_of(bytes(body))
        headers = {key.decode(): value.decode() for key, value in head.headers}
        if head.status_code == 200:
            self.record.line("first", whole=True, **{"try": self.name})
            return await self._after(Seen("succeeded", at=at))
        error = said.error or {}
        code = str(error.get("code", ""))
        if error.get("type") == "dismissed":
            kind = "refused" if code in ("closing", "front_full", "connections_full") else "dismissed"
            wait = int(float(headers.get("retry-after-ms", 0)) * 10)
            return await self._after(Seen(kind, code, wait, at))
        if error.get("type") == "scrapped":
            return await self._after(Seen("scrapped", code, at=at))
        return Seen("malformed", f"{head.status_code} {code}")

    async def _event(self) -> object:
        while (event := self.state.next_event()) is h11.NEED_DATA:
            try:
                data = await self.stream.receive(RECEIVED)
            except anyio.EndOfStream:
                data = b""
            self.state.receive_data(data)
        return event

    async def _after(self, seen: Seen) -> Seen:
        """Anything that still comes after the final answer is recorded: it would break the first rule."""
        while self.state.our_state is h11.MUST_CLOSE and self.state.their_state not in (
            h11.MUST_CLOSE,
            h11.CLOSED,
        ):
            if not isinstance(await self._event(), h11.Data | h11.EndOfMessage):
                return seen
        extra = bytes(self.state.trailing_data[0])
        with anyio.move_on_after(AFTER_END):
            try:
                while not extra:
                    extra += await self.stream.receive(RECEIVED)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                pass
        if extra:
            self.record.line("extra", bytes=len(extra), **{"try": self.name})
        return seen


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Said(msgspec.Struct):
    choices: list[_Choice] = []
    error: dict[str, str | None] | None = None


_said: msgspec.json.Decoder[_Said] = msgspec.json.Decoder(_Said)


def _event_of(raw: bytes) -> _Said:
    try:
        return _said.decode(raw)
    except msgspec.DecodeError as fault:
        raise h11.RemoteProtocolError(str(fault)) from None
