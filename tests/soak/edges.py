"""The edge between a node and an engine: what the node sent, when all of it was out, what it got back."""

from __future__ import annotations

import re
from dataclasses import dataclass

from tests.fault_proxy import FaultProxy
from tests.soak.environment import Environment

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
FIELD = re.compile(rb"\r\n(req-id|req-deadline): *([^\r]*)", re.IGNORECASE)


@dataclass
class SentRequest:
    """The request that a connection carries."""

    request: str
    missing_bytes: int  # of its body
    unanswered: bool = True  # the node waits for its response


class Edge(FaultProxy):
    """Records what crosses it. A head always comes in one piece: the node writes it so."""

    def __init__(self, environment: Environment, node: str, engine: str) -> None:
        super().__init__(lambda: environment.engines[engine].port)
        self.environment, self.node, self.engine = environment, node, engine
        self.sent_requests: dict[int, SentRequest] = {}

    def on_request_bytes(self, number: int, data: bytes) -> None:
        """Record that a request was begun, and that all of it was sent."""
        sent = self.sent_requests.get(number)
        if sent is None or not sent.missing_bytes:
            head, _, body = data.partition(b"\r\n\r\n")
            fields = {name.lower(): value.decode() for name, value in FIELD.findall(head)}
            length = LENGTH.search(head)
            if b"req-id" not in fields or length is None:
                return  # a release call, or the rest of one: its last byte comes by itself
            sent = self.sent_requests[number] = SentRequest(fields[b"req-id"], int(length[1]) - len(body))
            self._record("sent", sent, deadline=fields.get(b"req-deadline", ""))
        else:
            sent.missing_bytes -= len(data)
        if sent.missing_bytes <= 0 and sent.unanswered:
            sent.missing_bytes = 0
            self._record("sent_whole", sent)

    def on_response_bytes(self, number: int, data: bytes) -> None:
        """Record the first bytes of a response."""
        sent = self.sent_requests.get(number)
        if sent is not None and sent.unanswered:
            sent.unanswered = False
            self._record("node_got", sent)

    def on_end(self, number: int) -> None:
        """Record that the node closed the connection before a response."""
        sent = self.sent_requests.pop(number, None)
        if sent is not None and sent.unanswered:
            self._record("node_closed", sent)

    def _record(self, what: str, sent: SentRequest, **details: str) -> None:
        self.environment.record(what, node=self.node, engine=self.engine, request=sent.request, **details)
