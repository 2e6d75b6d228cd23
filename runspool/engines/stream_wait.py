"""Decides until when a stream that has started may keep its client waiting. It does no I/O.

The wait begins anew with each part of the answer (see AnswerProgress). It ends after the idle timeout, with
two exceptions:

- An event that is written slowly, in one chunk whose size was stated, is waited for as long as its bytes come
  at a pace at which the chunk will be complete in time.
- After the end of the stream, the bytes of an incomplete chunk bring nothing. They are waited for only
  briefly, so that the response can still end as a sound one does.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from enum import Enum

from runspool.wire.body_framing import BodyFraming

# Time from the last part of the answer within which an event in one chunk must be complete.
MAX_EVENT_TIME = 150_000
# Longest pause between two pieces of such a chunk once the idle timeout is over.
MAX_PAUSE_IN_EVENT = 10_000
# Time after the end of the stream for the rest of a chunk. By the platform's page, an end that is passed on a
# second late is lost.
MAX_TIME_AFTER_END = 10_000


class AwaitedPart(Enum):
    """What a stream's client waits for; the value is its name in the log."""

    EVENT = "event"
    EVENT_REST = "rest_of_event"
    STATED_BYTES = "stated_bytes_after_end"
    RESPONSE_END = "end_of_response"


class StreamWait:
    """The present wait of one stream.

    Attributes:
        progress_at: When the wait began: at the last part of the answer.
        awaited: What is waited for.
    """

    def __init__(self, idle_timeout: int, now: int, framing: BodyFraming, has_ended: bool) -> None:
        """Begin the first wait, after the first part of the answer; arguments as for record_progress()."""
        self.idle_timeout = idle_timeout
        self.awaited = AwaitedPart.EVENT
        self.record_progress(now, framing, has_ended)

    def record_progress(self, now: int, framing: BodyFraming, has_ended: bool) -> None:
        """Record that the stream has brought a part of the answer.

        Args:
            now: The present time.
            framing: The framing of the response.
            has_ended: Whether the stream has said that it has ended.
        """
        self.progress_at = now
        self._has_ended = has_ended
        # The part that may hold the next event, its bytes to come when it was first seen, and when that was.
        self._event_part = framing.part_number + (not framing.remaining_bytes)
        self._event_bytes = framing.remaining_bytes
        self._event_since = now

    def ends_at(self, now: int, framing: BodyFraming, part_stated_at: int, has_partial_event: bool) -> int:
        """Return the end of the wait, if no further bytes arrive.

        Args:
            now: The present time, at which bytes have just arrived.
            framing: The framing of the response.
            part_stated_at: When the size of the last part of the body was read.
            has_partial_event: Whether the beginning of an event with data has arrived.
        """
        idle_end = self.progress_at + self.idle_timeout
        if self._has_ended and framing.remaining_bytes:
            self.awaited = AwaitedPart.STATED_BYTES
            return min(idle_end, max(self.progress_at, part_stated_at) + MAX_TIME_AFTER_END)
        if self._has_ended:
            self.awaited = AwaitedPart.RESPONSE_END
            return idle_end
        self.awaited = AwaitedPart.EVENT_REST if has_partial_event else AwaitedPart.EVENT
        if has_partial_event and self._is_on_pace(now, framing):
            return max(idle_end, min(now + MAX_PAUSE_IN_EVENT, self.progress_at + MAX_EVENT_TIME))
        return idle_end

    def _is_on_pace(self, now: int, framing: BodyFraming) -> bool:
        """Return whether the chunk of the next event will be complete in time if it goes on like this."""
        if framing.part_number != self._event_part or not framing.remaining_bytes:
            return False
        if not self._event_bytes:
            self._event_bytes, self._event_since = framing.part_bytes, now
        received = self._event_bytes - framing.remaining_bytes
        allowed = self.progress_at + MAX_EVENT_TIME - self._event_since
        return received * allowed >= self._event_bytes * (now - self._event_since)
