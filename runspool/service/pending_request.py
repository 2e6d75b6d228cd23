"""What is owed for a query that was taken: one final answer. The same whatever way it came in."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.connection_pool import Address
from runspool.scheduling.request_lifecycle import RequestLifecycle
from runspool.scheduling.types import Role


class ResponseKind(Enum):
    SUCCEEDED = "succeeded"
    REJECTED = "rejected"
    INDETERMINATE = "indeterminate"
    CLIENT_DISCONNECTED = "client_disconnected"  # the client went; nothing is owed any more


@dataclass(slots=True)
class FinalResponse:
    """The one final answer; `hold_off` in tenths of a millisecond."""

    kind: ResponseKind
    code: str = ""
    message: str = ""
    retry_after: int = 0
    result: AttemptResult | None = None


class RequestNotAcceptedError(Exception):
    """A query not taken: nothing has been done for it, and nothing will be. A scrapping where an earlier try
    of it may have run."""

    def __init__(self, code: str, message: str, kind: ResponseKind = ResponseKind.REJECTED) -> None:
        super().__init__(message)
        self.code, self.message, self.kind = code, message, kind


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where an engine is spoken to, and as what, by the list's last word."""

    index: int
    name: str
    address: Address
    role: Role
    started_unix_ms: int
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class PendingRequest:
    index: int
    id: str
    received_at: int
    deadline: int  # on the front's clock: when the client's time is up
    listener: ResponseListener[
        Any
    ]  # where its answer goes while it comes; raises OSError where that cannot be reached
    attempt_count: int = 0
    prefill_endpoint: Endpoint | None = None  # the engine where the read state waits
    attempt_scope: anyio.CancelScope | None = None  # of the shot that is out
    stream_started: bool = False
    guard_deferred: bool = False
    final_response: FinalResponse | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    lifecycle: RequestLifecycle = field(default_factory=RequestLifecycle)

    def cancel_attempt(self) -> None:
        """Ends the shot that is out, if one is."""
        if self.attempt_scope is not None:
            self.attempt_scope.cancel()

    def finish(self, final: FinalResponse) -> bool:
        """Gives the final answer; False where there already is one, which then stays."""
        if self.final_response is not None:
            return False
        self.final_response = final
        self.done.set()
        return True
