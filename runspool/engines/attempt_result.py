"""The result of an attempt, and the listener to a streamed response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause
from runspool.scheduling.types import AttemptStatus, LoadReport

Piece = TypeVar("Piece", contravariant=True)


class ResponseListener(Protocol[Piece]):
    """Receives a streamed response as it comes, in pieces of the protocol's own form."""

    async def stream_started(self) -> None:
        """Handle the start of the stream; called once, before the first piece."""

    async def data_received(self, piece: Piece, /) -> None:
        """Handle the next piece of the stream."""


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; `failure_cause` is None where it succeeded.

    `reached_engine` is set once the engine has sent anything: it had the request, or its head at least.
    `first_byte_at` is when its first byte was about to be sent, tenths of a millisecond; None where none was.
    `state` names the prefill state that is kept at the engine, in the protocol's own form.
    """

    status: AttemptStatus
    failure_cause: FailureCause | None = None
    detail: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""
    reached_engine: bool = False
    first_byte_at: int | None = None
    state: Any = None
    load_report: LoadReport | None = None

    def fail(self, cause: FailureCause, detail: str, stream_started: bool) -> None:
        """Record a failure; once the client has received some of the stream, any is an interruption."""
        self.failure_cause = FailureCause.STREAM_INTERRUPTED if stream_started else cause
        self.detail = detail
        self.status = STATUS_BY_CAUSE[self.failure_cause]
