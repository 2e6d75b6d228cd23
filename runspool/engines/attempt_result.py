"""The result of one attempt at an engine, and the interface that receives a streamed response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.engines.stream_wait import AwaitedPart
from runspool.scheduling.types import AttemptStatus, LoadReport

Chunk = TypeVar("Chunk", contravariant=True)


class ResponseListener(Protocol[Chunk]):
    """Receives a streamed response chunk by chunk; the type of a chunk depends on the engine protocol."""

    async def stream_started(self) -> None:
        """Handle the start of the stream; called once, before the first chunk."""

    async def data_received(self, chunk: Chunk, /) -> None:
        """Handle the next chunk of the stream."""


@dataclass(frozen=True, slots=True)
class FramingState:
    """What a response had stated about its body at a time, for the log.

    Attributes:
        part_number: The number of chunks so far; 1 for a body with a `Content-Length`.
        part_bytes: The stated size of the last of them, in bytes.
        remaining_bytes: The bytes of it that were still to come.
        stated_for: The time since its size was stated, in tenths of a millisecond.
    """

    part_number: int
    part_bytes: int
    remaining_bytes: int
    stated_for: int


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt.

    Attributes:
        status: Status that the scheduler acts on.
        failure_cause: What went wrong; None if the attempt succeeded.
        detail: Description of the failure for the log.
        cached_tokens: Number of prompt tokens that the engine found in its cache.
        prompt_tokens: Number of prompt tokens, as counted by the engine.
        output_tokens: Number of output tokens. For the completions API it is the number of pieces of text
            received, because engines send each token as a piece of its own.
        event_count: Number of events of the stream that were received.
        idle_time: Time from the last progress of the stream to its end, in tenths of a millisecond; None if
            no stream has started.
        finish_reason: Reason for the end of the output, as reported by the engine.
        reached_engine: True once the engine has sent any byte, which shows that it received the request or at
            least its head.
        framing: What the response had stated about its body when the attempt ended; None if it had no head.
        awaited: What the client of the stream waited for; None if no stream has started.
        first_byte_at: Time immediately before the first byte of the request was sent, in tenths of a
            millisecond; None if none was sent.
        state: Identifies the prefill state that the engine holds, in the form of the engine protocol.
        load_report: The engine's load as reported with its response; None if it reported none.
    """

    status: AttemptStatus
    failure_cause: FailureCause | None = None
    detail: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    event_count: int = 0
    idle_time: int | None = None
    finish_reason: str = ""
    reached_engine: bool = False
    framing: FramingState | None = None
    awaited: AwaitedPart | None = None
    first_byte_at: int | None = None
    state: Any = None
    load_report: LoadReport | None = None

    def record_failure(self, cause: FailureCause, detail: str, stream_started: bool) -> None:
        """Record a failure.

        Args:
            cause: Cause of the failure. It is recorded as STREAM_INTERRUPTED if the stream has started.
            detail: Description for the log.
            stream_started: Whether the client has received a part of the stream.
        """
        self.failure_cause = FailureCause.STREAM_INTERRUPTED if stream_started else cause
        self.detail = detail
        self.status = STATUS_BY_CAUSE[self.failure_cause]
