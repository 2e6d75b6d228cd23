"""A request that a front has accepted, and the one final response it is owed, whatever the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

import anyio

from runspool.engines.attempt_result import AttemptResult, ResponseListener
from runspool.engines.connection_pool import Address
from runspool.errors import RunspoolError
from runspool.scheduling.request_lifecycle import RequestLifecycle
from runspool.scheduling.types import Role


class ResponseKind(Enum):
    """What a final response promises to the client."""

    SUCCEEDED = "succeeded"
    REJECTED = "rejected"  # it has not run
    INDETERMINATE = "indeterminate"  # it may or may not have run
    CLIENT_DISCONNECTED = "client_disconnected"  # nobody is there to be answered


@dataclass(slots=True)
class FinalResponse:
    """The one final response to a request.

    `code` names the reason for programs and `message` for people. `retry_after` is in tenths of a
    millisecond, 0 where nothing is said. `result` is that of the attempt that succeeded.
    """

    kind: ResponseKind
    code: str = ""
    message: str = ""
    retry_after: int = 0
    result: AttemptResult | None = None


class RequestNotAcceptedError(RunspoolError):
    """A request was not accepted: nothing has been done for it, and nothing will be.

    `kind` is INDETERMINATE where an earlier try of the same request may have run, REJECTED elsewhere.
    """

    def __init__(self, code: str, message: str, kind: ResponseKind = ResponseKind.REJECTED) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Endpoint:
    """How an engine is reached, by the latest entry of the endpoint list.

    `index` is the engine's index in the scheduler, `started_unix_ms` its start on the list's wall clock.
    """

    index: int
    name: str
    address: Address
    role: Role
    started_unix_ms: int
    zone: int = -1
    rack: int = -1


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed a final response; times in tenths of a millisecond on the front's clock.

    `index` is what the scheduler calls it, `id` what clients and logs do. The response is streamed to
    `listener`, which raises OSError where the client cannot be reached.
    """

    index: int
    id: str
    received_at: int
    deadline: int
    listener: ResponseListener[Any]
    attempt_count: int = 0
    prefill_endpoint: Endpoint | None = None  # the engine where its prefill state waits
    attempt_scope: anyio.CancelScope | None = None  # of the attempt in progress
    attempt_endpoint: Endpoint | None = None  # where that attempt was sent
    stream_started: bool = False
    left_open: bool = False  # a shutdown has left its stream to run on
    guard_deferred: bool = False  # the deadline guard has once let the scheduler's own timers go first
    final_response: FinalResponse | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    lifecycle: RequestLifecycle = field(default_factory=RequestLifecycle)

    def cancel_attempt(self) -> None:
        """Cancels the attempt in progress, if there is one."""
        if self.attempt_scope is not None:
            self.attempt_scope.cancel()

    def finish(self, final: FinalResponse) -> bool:
        """Gives the final response; False where there already is one, which stays."""
        if self.final_response is not None:
            return False
        self.final_response = final
        self.done.set()
        return True


RequestT = TypeVar("RequestT", bound=PendingRequest)
