"""An engine's stream of events, as its bytes come: which of them are whole events, and whether it is spoilt.

The bytes of events go on to the client as they came. Free of I/O.
"""

from __future__ import annotations

import re

import msgspec

from runspool.wire.fields import JSON_DECODE_ERRORS

ENDS = re.compile(rb"\n\r?\n|\r\r\n?")  # a line's end and an empty line, whichever of the three ends it has


class MalformedEventStreamError(Exception):
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


class EventStreamParser:
    """One stream. `done` once its last event has come; `kept`, `read` and `made` as the usage says."""

    def __init__(self, cap: int) -> None:
        """`cap` bounds the bytes of one event."""
        self.cap = cap
        self.done = False
        self.kept = self.read = self.made = 0
        self.fault: MalformedEventStreamError | None = None  # what was found after the events last handed out
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """The bytes of all events that are whole by now. Raises Spoilt where the first of them is bad; where
        one after it is, `fault` says so, and nothing more is to be fed."""
        come = self._rest + data if self._rest else data
        whole = 0
        for end in ENDS.finditer(come):
            try:
                self._look(come[whole : end.end()])
            except MalformedEventStreamError as fault:
                # Against good events being kept from the client by a bad one that came in the same bytes.
                if not whole:
                    raise
                self.fault = fault
                break
            whole = end.end()
        self._rest = come[whole:]
        if len(self._rest) > self.cap and self.fault is None:
            self.fault = MalformedEventStreamError(f"an event of over {self.cap} bytes")
            if not whole:
                raise self.fault
        return come[:whole]

    def ended(self) -> None:
        """The answer's body is over; raises Spoilt where it lacks its last event or has half of one."""
        if not self.done or self._rest.strip():
            raise MalformedEventStreamError("the stream ends without its last event")

    def _look(self, event: bytes) -> None:
        for line in event.splitlines():
            if line.startswith(b"data:"):
                self._data(line[5:].strip())
            elif line and not line.startswith((b":", b"event:", b"id:", b"retry:")):
                raise MalformedEventStreamError(f"no event: {line[:40]!r}")

    def _data(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.done = True
            return
        try:
            said = _events.decode(data)
        except JSON_DECODE_ERRORS as fault:
            raise MalformedEventStreamError(f"an event that does not read: {fault}") from None
        if said.usage is not None:
            self.read, self.made = said.usage.prompt_tokens, said.usage.completion_tokens
            if said.usage.prompt_tokens_details is not None:
                self.kept = said.usage.prompt_tokens_details.cached_tokens
