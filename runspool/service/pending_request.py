"""An accepted request and its final response, independent of the protocol."""

from __future__ import annotations

from collections.abc import Callable
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
    """What a final response guarantees about the execution of the request."""

    SUCCEEDED = "succeeded"
    REJECTED = "rejected"  # the request was not executed
    INDETERMINATE = "indeterminate"  # the request may or may not have been executed
    CLIENT_DISCONNECTED = "client_disconnected"  # no response can be sent


@dataclass(slots=True)
class FinalResponse:
    """The single final response to a request.

    Attributes:
        kind: What the response guarantees.
        code: The reason as a machine-readable error code.
        message: The reason as text for people.
        retry_after: The time after which the client should retry, in tenths of a millisecond; 0 for no hint.
        result: The result of the attempt that succeeded, if any.
    """

    kind: ResponseKind
    code: str = ""
    message: str = ""
    retry_after: int = 0
    result: AttemptResult | None = None


class RequestNotAcceptedError(RunspoolError):
    """Raised for a request that was not accepted and will not be executed.

    `kind` is INDETERMINATE if an earlier attempt of the client at the same request may have been executed,
    otherwise REJECTED.
    """

    def __init__(self, code: str, message: str, kind: ResponseKind = ResponseKind.REJECTED) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address and properties of an engine according to the latest entry of the endpoint list.

    `index` is the engine's index in the scheduler. `started_unix_ms` is the engine's start time, in Unix
    milliseconds as given in the list. `zone` and `rack` are indices, -1 if unknown.
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
    """An accepted request, which must receive exactly one final response.

    All times are in tenths of a millisecond on the front's clock.

    Attributes:
        index: Identifies the request in the scheduler.
        id: Identifies the request in logs, at engines and to its client.
        received_at: When the request's head was received.
        deadline: When the client stops waiting for the response.
        listener: Receives the streamed response; raises OSError if the client cannot be reached.
        attempt_count: The number of attempts that have been started.
        prefill_endpoint: The engine that keeps the request's prefill state.
        attempt_scope: Cancels the attempt in progress.
        attempt_endpoint: The engine of the attempt in progress.
        stream_started: Whether the first token has been received.
        left_open: Whether a shutdown has allowed the request's stream to continue.
        guard_deferred: Whether the deadline guard has already been deferred once.
        final_response: The final response, once there is one.
        done: Set together with `final_response`.
        lifecycle: Decides which operations on the request are permitted.
        has_client_left: Returns whether the client has closed its connection, which may not have been
            noticed yet because unread data precedes its end.
    """

    index: int
    id: str
    received_at: int
    deadline: int
    listener: ResponseListener[Any]
    attempt_count: int = 0
    prefill_endpoint: Endpoint | None = None
    attempt_scope: anyio.CancelScope | None = None
    attempt_endpoint: Endpoint | None = None
    stream_started: bool = False
    left_open: bool = False
    guard_deferred: bool = False
    final_response: FinalResponse | None = None
    done: anyio.Event = field(default_factory=anyio.Event)
    lifecycle: RequestLifecycle = field(default_factory=RequestLifecycle)
    has_client_left: Callable[[], bool] = bool

    def cancel_attempt(self) -> None:
        """Cancel the attempt in progress, if there is one."""
        if self.attempt_scope is not None:
            self.attempt_scope.cancel()

    def finish(self, final: FinalResponse) -> bool:
        """Set the final response and return True; return False if there already is one, which is kept."""
        if self.final_response is not None:
            return False
        self.final_response = final
        self.done.set()
        return True


RequestT = TypeVar("RequestT", bound=PendingRequest)
