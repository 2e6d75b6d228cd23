"""Forwards the response of one attempt from the engine to the client."""

from __future__ import annotations

from typing import Any, Generic

import anyio.lowlevel

from runspool.service.pending_request import RequestT
from runspool.service.request_executor import RequestExecutor


class ResponseRelay(Generic[RequestT]):
    """Forwards one attempt's response to the client and reports its first token to the scheduler.

    Nothing is forwarded once the request has its final response.
    """

    __slots__ = ("attempt", "executor", "pending", "sent_at")

    def __init__(
        self, executor: RequestExecutor[RequestT], pending: RequestT, attempt: int, sent_at: int
    ) -> None:
        """Initialize the relay.

        `sent_at` is when the attempt started, in tenths of a millisecond on the front's clock.
        """
        self.executor = executor
        self.pending = pending
        self.attempt = attempt
        self.sent_at = sent_at

    async def stream_started(self) -> None:
        """Report the first token to the scheduler, then to the client."""
        if self.pending.final_response is not None:
            # The request was answered before this token was received.
            await anyio.lowlevel.checkpoint()
            return
        self.executor.stream_started(self.pending, self.attempt, self.sent_at)
        await self.executor.forward(self.pending, self.pending.listener.stream_started())

    async def data_received(self, piece: Any) -> None:  # noqa: ANN401 - the type depends on the protocol
        """Forward one piece of the response to the client."""
        if self.pending.final_response is not None:
            await anyio.lowlevel.checkpoint()
            return
        await self.executor.forward(self.pending, self.pending.listener.data_received(piece))
