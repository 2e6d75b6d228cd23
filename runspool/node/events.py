"""An engine's stream of events, as its bytes come: which of them are whole events, and whether it is spoilt.

The bytes of events go on to the client as they came. Free of I/O.
"""

from __future__ import annotations

import msgspec


class Spoilt(Exception):
from runspool.wire.fields import UNREADABLE


ENDS = re.compile(rb"\n\r?\n|\r\r\n?")  # a line's end and an empty line, whichever of the three ends it has

    """Bytes that cannot belong to a good stream."""


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage | None = None


_events: msgspec.json.Decoder[_Event] = msgspec.json.Decoder(_Event)


class Events:
    """One stream. `done` once its last event has come; `kept`, `read` and `made` as the usage says."""

    def __init__(self, cap: int) -> None:
        """`cap` bounds the bytes of one event."""
        self.cap = cap
        self.done = False
        self.kept = self.read = self.made = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """The bytes of all events that are whole by now; raises Spoilt, after which nothing can be told."""
        come = self._rest + data if self._rest else data
        end = come.rfind(b"\n\n") + 2
        if end < 2:
            whole, self._rest = b"", come
        else:
            whole, self._rest = come[:end], come[end:]
        if len(self._rest) > self.cap:
            raise Spoilt(f"an event of over {self.cap} bytes")
        for event in whole.split(b"\n\n"):
            if event:
                self._look(event)
        return whole

    def ended(self) -> None:
        """The answer's body is over; raises Spoilt where it lacks its last event or has half of one."""
        if not self.done or self._rest.strip():
            raise Spoilt("the stream ends without its last event")

    def _look(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"data:"):
                self._data(line[5:].strip())
            elif line and not line.startswith((b":", b"event:", b"id:", b"retry:")):
                raise Spoilt(f"no event: {line[:40]!r}")

    def _data(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.done = True
            return
        try:
            said = _events.decode(data)
        except UNREADABLE as fault:
            raise Spoilt(f"an event that does not read: {fault}") from None
        if said.usage is not None:
            self.read, self.made = said.usage.prompt_tokens, said.usage.completion_tokens
            if said.usage.prompt_tokens_details is not None:
                self.kept = said.usage.prompt_tokens_details.cached_tokens
