"""Maps each failure seen on a socket to an attempt status, which says whether the attempt may have executed.

An attempt is known not to have executed as long as the last byte of its request has not left this process,
because an engine cannot act on a body that it has not received completely. It is also known from a response
status with which the engine promises so. After any other failure the attempt may have executed.
docs/operators/endings.md shows the same table.
"""

from __future__ import annotations

from enum import Enum, auto

from runspool.errors import RunspoolError
from runspool.scheduling.types import NOT_EXECUTED, AttemptStatus


class FailureCause(Enum):
    """What was observed on the socket."""

    # The attempt's time had run out before it was started.
    NO_TIME_LEFT = auto()
    # This process holds as many connections to the engine as it may.
    CONNECTION_LIMIT_REACHED = auto()
    # The engine was removed from the endpoint list before the last byte of the request was sent.
    NOT_PERMITTED = auto()
    # No connection: refused, unreachable, or not established in time.
    CONNECT_FAILED = auto()
    # Closed or reset while the request was still being sent.
    CLOSED_WHILE_SENDING = auto()
    # Time ran out while the request was still being sent.
    TIMED_OUT_WHILE_SENDING = auto()
    # Closed or reset after the whole request was sent, before a complete response head.
    CLOSED_BEFORE_RESPONSE = auto()
    # The whole request was sent; no (first) response within the attempt's time.
    TIMED_OUT_BEFORE_RESPONSE = auto()
    # Status 429 or 503.
    OVERLOADED = auto()
    # Status 409 with the error code STATE_GONE.
    STATE_MISSING = auto()
    # Status 400, 413 or 422: the engine rejects the request itself.
    REQUEST_REJECTED = auto()
    # Another 4xx status: the peer does not serve this API.
    UNSUPPORTED_ENDPOINT = auto()
    # A 5xx status other than 503, or a status that is not expected here.
    SERVER_ERROR = auto()
    # Status 200, but the rest cannot be parsed, exceeds a size limit or lacks a required part.
    MALFORMED_RESPONSE = auto()
    # Status 200, then closed, reset or idle for too long before the first token.
    CLOSED_DURING_RESPONSE = auto()
    # Closed, reset or idle for too long after the first token.
    STREAM_INTERRUPTED = auto()
    # This process closed the connection itself.
    CANCELLED = auto()


class ExchangeAbortedError(RunspoolError):
    """An exchange ended early; `cause` says what was observed, `detail` is for the log."""

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

STATE_GONE = "state_gone"


def classify_http_status(status: int, code: str) -> FailureCause:
    """Return what a response status other than 200 means; `code` is the code from its error body."""
    if status in (429, 503):
        return FailureCause.OVERLOADED
    if status == 409 and code == STATE_GONE:
        return FailureCause.STATE_MISSING
    if status in (400, 413, 422):
        return FailureCause.REQUEST_REJECTED
    # An intermediary may send 408 after the engine has received the whole request.
    if 400 <= status < 500 and status != 408:
        return FailureCause.UNSUPPORTED_ENDPOINT
    return FailureCause.SERVER_ERROR


def may_have_executed(cause: FailureCause) -> bool:
    """Return whether an attempt that failed from `cause` may have executed at the engine."""
    return STATUS_BY_CAUSE[cause] not in NOT_EXECUTED
