"""An edge between one node and one engine: what the node sent, when all of it was out, what it got back."""

from __future__ import annotations

import re
from dataclasses import dataclass

from tests.fault_proxy import FaultProxy
from tests.soak.world import World

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
FIELD = re.compile(rb"\r\n(req-id|req-deadline): *([^\r]*)", re.IGNORECASE)


@dataclass
class Sending:
    """The request that a connection carries."""

    request: str
    left: int  # bytes that have not come yet
    out: bool = True  # the node waits for its answer


class Edge(FaultProxy):
    """Says what crosses it. A head always comes in one piece: the node writes it so."""

    def __init__(self, world: World, node: str, engine: str) -> None:
        super().__init__(lambda: world.engines[engine].port)
        self.world, self.node, self.engine = world, node, engine
        self.sendings: dict[int, Sending] = {}

    def on_request_bytes(self, number: int, data: bytes) -> None:
        sending = self.sendings.get(number)
        if sending is None or not sending.left:
            head, _, body = data.partition(b"\r\n\r\n")
            said = {name.lower(): value.decode() for name, value in FIELD.findall(head)}
            length = LENGTH.search(head)
            if b"req-id" not in said or length is None:
                return  # a call to let go, or the rest of one: its last byte comes by itself
            sending = self.sendings[number] = Sending(said[b"req-id"], int(length[1]) - len(body))
            self._say("sent", sending, deadline=said.get(b"req-deadline", ""))
        else:
            sending.left -= len(data)
        if sending.left <= 0 and sending.out:
            sending.left = 0
            self._say("sent_whole", sending)

    def on_response_bytes(self, number: int, data: bytes) -> None:
        sending = self.sendings.get(number)
        if sending is not None and sending.out:
            sending.out = False
            self._say("node_got", sending)

    def on_end(self, number: int) -> None:
        sending = self.sendings.pop(number, None)
        if sending is not None and sending.out:
            self._say("node_closed", sending)

    def _say(self, what: str, sending: Sending, **said: str) -> None:
        self.world.say(what, node=self.node, engine=self.engine, request=sending.request, **said)
