"""An incremental parser of an engine's event stream: which bytes are whole events, and whether it is valid.

The bytes of the events are forwarded to the client unchanged. Does no I/O.
"""

from __future__ import annotations

import re

import msgspec

from runspool.errors import RunspoolError
from runspool.wire.fields import JSON_DECODE_ERRORS

# The end of a line and an empty line, with whichever of the three line endings.
EVENT_END = re.compile(rb"\n\r?\n|\r\r\n?")
# Fields without meaning here, and comments.
IGNORED_FIELDS = (b":", b"event:", b"id:", b"retry:")


class MalformedEventStreamError(RunspoolError):
    """The bytes received cannot belong to a valid event stream."""


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptTokensDetails | None = None


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage | None = None


_event_decoder: msgspec.json.Decoder[_Event] = msgspec.json.Decoder(_Event)


class EventStreamParser:
    """Parses one stream.

    Attributes:
        done: Whether the last event has come.
        cached_tokens: From the last usage that came, as are the other two counts.
        prompt_tokens: See `cached_tokens`.
        output_tokens: See `cached_tokens`.
        error: What was found after the events that feed() returned last; nothing more must be fed then.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self.done = False
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.error: MalformedEventStreamError | None = None
        self._incomplete = b""  # the beginning of the next event

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are whole with `data`; empty where none is.

        Raises:
            MalformedEventStreamError: The first of them is invalid. Where a later one is, the events before
                it are returned and `error` is set.
        """
        pending = self._incomplete + data if self._incomplete else data
        whole_bytes = 0
        for end in EVENT_END.finditer(pending):
            try:
                self._parse_event(pending[whole_bytes : end.end()])
            except MalformedEventStreamError as error:
                # The client still gets the valid events that came together with an invalid one.
                if not whole_bytes:
                    raise
                self.error = error
                break
            whole_bytes = end.end()
        self._incomplete = pending[whole_bytes:]
        if len(self._incomplete) > self.max_event_bytes and self.error is None:
            self.error = MalformedEventStreamError(f"an event of over {self.max_event_bytes} bytes")
            if not whole_bytes:
                raise self.error
        return pending[:whole_bytes]

    def check_end(self) -> None:
        """Check the stream's state after the end of the response.

        Raises:
            MalformedEventStreamError: The last event has not come, or an incomplete one follows.
        """
        if not self.done or self._incomplete.strip():
            raise MalformedEventStreamError("the stream ends without its last event")

    def _parse_event(self, event: bytes) -> None:
        for line in event.splitlines():
            if line.startswith(b"data:"):
                self._parse_data(line[5:].strip())
            elif line and not line.startswith(IGNORED_FIELDS):
                raise MalformedEventStreamError(f"no event: {line[:40]!r}")

    def _parse_data(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.done = True
            return
        try:
            event = _event_decoder.decode(data)
        except JSON_DECODE_ERRORS as error:
            raise MalformedEventStreamError(f"an event that does not read: {error}") from None
        usage = event.usage
        if usage is None:
            return
        self.prompt_tokens = usage.prompt_tokens
        self.output_tokens = usage.completion_tokens
        if usage.prompt_tokens_details is not None:
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens
