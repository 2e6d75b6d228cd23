"""Parses an engine's event stream (server-sent events) incrementally, to delimit and validate the events.

The bytes of the events are forwarded to the client unchanged. Does no I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from runspool.errors import RunspoolError
from runspool.limits.answer_progress import AnswerProgress, ChoicePart
from runspool.limits.peer_limits import PeerLimit
from runspool.wire.fields import JSON_DECODE_ERRORS

# The end of an event: the end of a line, followed by an empty line. A line ends with \n, \r\n or \r.
EVENT_END = re.compile(rb"\n\r?\n|\r\r\n?")
DATA_FIELD = b"data:"  # first bytes of a line with data
DATA_BEGINNING = re.compile(rb"data: ?\{")
# First bytes of the lines that the parser ignores: comments, and the fields other than "data".
IGNORED_FIELDS = (b":", b"event:", b"id:", b"retry:")
ROLE_FIELD = "role"  # the field of a delta that is no part of the answer


@dataclass(frozen=True, slots=True)
class StreamFault:
    """Why received bytes are not a valid event stream. Unlike an error it may be stored.

    Attributes:
        message: The description.
        limit: The limit that was reached; None if the fault is of another kind.
    """

    message: str
    limit: PeerLimit | None = None


class MalformedEventStreamError(RunspoolError):
    """The received bytes are not a valid event stream.

    Attributes:
        limit: The limit that was reached; None if the error is of another kind.
    """

    def __init__(self, message: str, limit: PeerLimit | None = None) -> None:
        super().__init__(message)
        self.limit = limit


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptTokensDetails | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    delta: dict[str, object] | None = None
    finish_reason: str | None = None

    def has_part(self) -> bool:
        """Return whether the delta has a part of the answer: any field but the role that is not empty."""
        return self.delta is not None and any(
            value for name, value in self.delta.items() if name != ROLE_FIELD
        )


class _Event(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage | None = None


_event_decoder: msgspec.json.Decoder[_Event] = msgspec.json.Decoder(_Event)


class EventStreamParser:
    """Parses one event stream.

    The three token counts are those of the latest event that reported its usage.

    Attributes:
        max_event_bytes: The maximum size of an event.
        progress: Told of every event; it says which of them bring a part of the answer.
        event_count: The number of events with data received so far, up to and including the final one.
        done: Whether the final event, "[DONE]", has been received.
        cached_tokens: The number of prompt tokens that were found in the engine's prefix cache.
        prompt_tokens: The number of prompt tokens.
        output_tokens: The number of output tokens.
        fault: What follows the events returned by the latest feed() and is invalid; None if nothing is. Once
            it is set, feed() must not be called again.
    """

    def __init__(self, max_event_bytes: int, progress: AnswerProgress) -> None:
        self.max_event_bytes = max_event_bytes
        self.progress = progress
        self.event_count = 0
        self.done = False
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.fault: StreamFault | None = None
        self._partial_event = b""  # the bytes received of the next event

    def feed(self, data: bytes) -> bytes:
        """Parse further bytes, and return those of all events that they complete; empty if there are none.

        Raises:
            MalformedEventStreamError: The first event is invalid or too large. If a later event is, the
                events before it are returned and `fault` is set.
        """
        pending = self._partial_event + data if self._partial_event else data
        complete_bytes = 0
        for end in EVENT_END.finditer(pending):
            try:
                self._parse_event(pending[complete_bytes : end.end()])
            except MalformedEventStreamError as error:
                # Return the valid events that were received together with the invalid one.
                if not complete_bytes:
                    raise
                self.fault = StreamFault(str(error), error.limit)
                break
            complete_bytes = end.end()
        self._partial_event = pending[complete_bytes:]
        if len(self._partial_event) > self.max_event_bytes and self.fault is None:
            self.fault = StreamFault(
                f"an event is larger than {self.max_event_bytes} bytes", PeerLimit.EVENT_BYTES
            )
            if not complete_bytes:
                self.raise_fault()
        return pending[:complete_bytes]

    def raise_fault(self) -> None:
        """Raise the fault that follows the events returned by the latest feed(), if there is one.

        Raises:
            MalformedEventStreamError: There is one.
        """
        if self.fault is not None:
            raise MalformedEventStreamError(self.fault.message, self.fault.limit)

    @property
    def partial_bytes(self) -> int:
        """The number of bytes held of an event that is not complete."""
        return len(self._partial_event)

    @property
    def has_partial_data(self) -> bool:
        """Whether the bytes held of an incomplete event are the beginning of one with a JSON object."""
        return DATA_BEGINNING.match(self._partial_event) is not None

    def check_complete(self) -> None:
        """Check that the stream is complete, after the end of the response.

        Raises:
            MalformedEventStreamError: The final event is missing or is followed by an incomplete one.
        """
        if not self.done or self._partial_event.strip():
            raise MalformedEventStreamError("the stream ends without its final event")

    def _parse_event(self, event: bytes) -> None:
        self.progress.record_size(len(event))
        for line in event.splitlines():
            if line.startswith(DATA_FIELD):
                self._parse_data(line[len(DATA_FIELD) :].strip())
            elif line and not line.startswith(IGNORED_FIELDS):
                raise MalformedEventStreamError(f"not a line of an event: {line[:40]!r}")

    def _parse_data(self, data: bytes) -> None:
        self.event_count += not self.done
        if data == b"[DONE]":
            if not self.done:
                self.progress.record_end()
            self.done = True
            return
        try:
            event = _event_decoder.decode(data)
        except JSON_DECODE_ERRORS as error:
            raise MalformedEventStreamError(f"the data of an event is invalid: {error}") from None
        usage = event.usage
        if not self.done:
            self.progress.record_event([_choice_part(choice) for choice in event.choices], usage is not None)
        if usage is None:
            return
        self.prompt_tokens = usage.prompt_tokens
        self.output_tokens = usage.completion_tokens
        if usage.prompt_tokens_details is not None:
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens


def _choice_part(choice: _Choice) -> ChoicePart:
    # Some engines say an empty finish reason, in place of none, with each event before the last.
    return ChoicePart(choice.index, choice.has_part(), bool(choice.finish_reason))
