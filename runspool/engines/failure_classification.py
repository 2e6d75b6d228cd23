"""Maps each failure observed on a connection to an attempt status.

The status determines whether the attempt may have executed at the engine. It cannot have executed before this
process has sent the last byte of its request, because an engine does not act on an incomplete body, and it
has not executed if the response status guarantees that. After any other failure it may have executed.
docs/operators/endings.md shows the same table.
"""

from __future__ import annotations

from enum import Enum, auto

from runspool.errors import RunspoolError
from runspool.scheduling.types import NOT_EXECUTED, AttemptStatus


class FailureCause(Enum):
    """The observed reason for the failure of an attempt."""

    # The time limit had passed before the attempt started.
    NO_TIME_LEFT = auto()
    # The limit for connections to the engine, or to all engines together, was reached.
    CONNECTION_LIMIT_REACHED = auto()
    # The send permit denied the first or the last byte, for example because the engine was removed from the
    # endpoint list.
    NOT_PERMITTED = auto()
    # The connection was refused or not established in time, or the address was unreachable.
    CONNECT_FAILED = auto()
    # The connection was closed or reset before the whole request was sent.
    CLOSED_WHILE_SENDING = auto()
    # The time limit passed before the whole request was sent.
    TIMED_OUT_WHILE_SENDING = auto()
    # The connection was closed or reset after the whole request was sent and before a complete response head.
    CLOSED_BEFORE_RESPONSE = auto()
    # The whole request was sent, but the response, or the first token of a stream, did not arrive in time.
    TIMED_OUT_BEFORE_RESPONSE = auto()
    # Status 429 or 503.
    OVERLOADED = auto()
    # Status 409 with the error code STATE_GONE.
    STATE_MISSING = auto()
    # Status 400, 413 or 422: the request itself is invalid for the engine.
    REQUEST_REJECTED = auto()
    # Any other 4xx status except 408: the peer does not serve this API.
    UNSUPPORTED_ENDPOINT = auto()
    # Any other status, for example 500, or an error event in a stream.
    SERVER_ERROR = auto()
    # The response cannot be parsed, exceeds a size limit or lacks a required part.
    MALFORMED_RESPONSE = auto()
    # The connection was closed or reset after a response head with status 200 and before the first token.
    CLOSED_DURING_RESPONSE = auto()
    # The connection was closed or reset, or the idle timeout passed, after the first token.
    STREAM_INTERRUPTED = auto()
    # This process cancelled the attempt and closed the connection.
    CANCELLED = auto()


class ExchangeAbortedError(RunspoolError):
    """An exchange ended before its response was complete.

    Attributes:
        cause: Observed reason.
        detail: Description for the log.
    """

    def __init__(self, cause: FailureCause, detail: str = "") -> None:
        super().__init__(detail)
        self.cause = cause
        self.detail = detail


STATUS_BY_CAUSE: dict[FailureCause, AttemptStatus] = {
    FailureCause.NO_TIME_LEFT: AttemptStatus.NOT_SENT,
    FailureCause.CONNECTION_LIMIT_REACHED: AttemptStatus.NOT_SENT,
    FailureCause.NOT_PERMITTED: AttemptStatus.NOT_SENT,
    FailureCause.CONNECT_FAILED: AttemptStatus.CONNECT_FAILED,
    FailureCause.CLOSED_WHILE_SENDING: AttemptStatus.CONNECT_FAILED,
    FailureCause.TIMED_OUT_WHILE_SENDING: AttemptStatus.CONNECT_FAILED,
    FailureCause.CLOSED_BEFORE_RESPONSE: AttemptStatus.CONNECTION_LOST,
    FailureCause.TIMED_OUT_BEFORE_RESPONSE: AttemptStatus.TIMED_OUT,
    FailureCause.OVERLOADED: AttemptStatus.OVERLOADED,
    FailureCause.STATE_MISSING: AttemptStatus.STATE_MISSING,
    FailureCause.REQUEST_REJECTED: AttemptStatus.NOT_SENT,
    FailureCause.UNSUPPORTED_ENDPOINT: AttemptStatus.CONNECT_FAILED,
    FailureCause.SERVER_ERROR: AttemptStatus.SERVER_ERROR,
    FailureCause.MALFORMED_RESPONSE: AttemptStatus.SERVER_ERROR,
    FailureCause.CLOSED_DURING_RESPONSE: AttemptStatus.CONNECTION_LOST,
    FailureCause.STREAM_INTERRUPTED: AttemptStatus.CONNECTION_LOST,
    FailureCause.CANCELLED: AttemptStatus.CANCELLED,
}

STATE_GONE = "state_gone"  # error code of an engine that no longer holds the prefill state


def classify_http_status(status: int, code: str) -> FailureCause:
    """Return the failure cause for a response status other than 200 and the code of its error body."""
    if status in (429, 503):
        return FailureCause.OVERLOADED
    if status == 409 and code == STATE_GONE:
        return FailureCause.STATE_MISSING
    if status in (400, 413, 422):
        return FailureCause.REQUEST_REJECTED
    # 408 is excluded: a proxy may send it after the engine has received the whole request.
    if 400 <= status < 500 and status != 408:
        return FailureCause.UNSUPPORTED_ENDPOINT
    return FailureCause.SERVER_ERROR


def may_have_executed(cause: FailureCause) -> bool:
    """Return whether an attempt that failed with `cause` may have executed at the engine."""
    return STATUS_BY_CAUSE[cause] not in NOT_EXECUTED
