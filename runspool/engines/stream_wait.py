"""Decides until when a stream that has started may keep its client waiting. It does no I/O.

The wait begins anew with each part of the answer (see AnswerProgress). It ends after the idle timeout, with
one exception:

- After the end of the stream, the bytes of an incomplete chunk bring nothing. They are waited for only
  briefly, so that the response can still end as a sound one does.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from enum import Enum

from runspool.wire.body_framing import BodyFraming

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

    def __init__(self, idle_timeout: int, now: int) -> None:
        self.idle_timeout = idle_timeout
        self.progress_at = now
        self.awaited = AwaitedPart.EVENT
        self._has_ended = False

    def record_progress(self, now: int, has_ended: bool) -> None:
        """Record that the stream has brought a part of the answer.

        Args:
            now: The present time.
            has_ended: Whether the stream has said that it has ended.
        """
        self.progress_at = now
        self._has_ended = has_ended

    def pause(self, duration: int) -> None:
        """Leave out a time in which the stream's client, not its engine, was waited for."""
        self.progress_at += duration

    def ends_at(self, framing: BodyFraming, part_stated_at: int, has_partial_event: bool) -> int:
        """Return the end of the wait, if no further bytes arrive.

        Args:
            framing: The framing of the response.
            part_stated_at: When the size of the last part of the body was read.
            has_partial_event: Whether a part of an event has arrived.
        """
        idle_end = self.progress_at + self.idle_timeout
        if self._has_ended:
            return min(idle_end, self._end_after_last_event(framing, part_stated_at))
        self.awaited = AwaitedPart.EVENT_REST if has_partial_event else AwaitedPart.EVENT
        return idle_end

    def _end_after_last_event(self, framing: BodyFraming, part_stated_at: int) -> int:
        if not framing.remaining_bytes:
            self.awaited = AwaitedPart.RESPONSE_END
            return self.progress_at + self.idle_timeout
        self.awaited = AwaitedPart.STATED_BYTES
        return max(self.progress_at, part_stated_at) + MAX_TIME_AFTER_END
