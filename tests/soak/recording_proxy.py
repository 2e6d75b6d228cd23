"""A proxy between a node and an engine that records the node's requests and the responses it receives."""

from __future__ import annotations

import re
from dataclasses import dataclass

from tests.fault_proxy import FaultProxy
from tests.soak.environment import Environment

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
REQUEST_FIELD = re.compile(rb"\r\n(req-id|req-deadline): *([^\r]*)", re.IGNORECASE)


@dataclass
class SentRequest:
    """The latest request on a connection.

    Attributes:
        request: the request's id.
        missing_bytes: the number of bytes of its body that the node has not sent yet.
        unanswered: whether no byte of the response has reached the node.
    """

    request: str
    missing_bytes: int
    unanswered: bool = True


class RecordingProxy(FaultProxy):
    """Records the requests and responses that pass through it.

    It relies on the node writing a request's head in one piece.
    """

    def __init__(self, environment: Environment, node: str, engine: str) -> None:
        super().__init__(lambda: environment.engines[engine].port)
        self.environment, self.node, self.engine = environment, node, engine
        self.sent_requests: dict[int, SentRequest] = {}

    def on_request_bytes(self, number: int, data: bytes) -> None:
        """Record the beginning of a request, and the moment at which it has been sent completely."""
        sent = self.sent_requests.get(number)
        if sent is None or not sent.missing_bytes:
            head, _, body = data.partition(b"\r\n\r\n")
            fields = {name.lower(): value.decode() for name, value in REQUEST_FIELD.findall(head)}
            length = CONTENT_LENGTH.search(head)
            if b"req-id" not in fields or length is None:
                return  # a release call, or its last byte, which the node sends separately
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
