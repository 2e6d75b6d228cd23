"""The one table that says which ending each failure on a socket is, and whether the shot may have run.

A shot is known not to have run while the last byte of its request has not left this process: an engine cannot
act on a body that it has not got. It is also known by the engine's word, given in a status that promises so.
Everything else may have run. docs/operators/endings.md shows the same table.
"""

from __future__ import annotations

from enum import Enum, auto

from runspool.scheduling.types import NOT_EXECUTED, AttemptStatus


class FailureCause(Enum):
    """What was seen on the socket."""

    NO_TIME_LEFT = auto()  # the shot's time was over before it was begun
    CONNECTION_LIMIT_REACHED = auto()  # this front holds as many connections to the engine as it may
    NOT_PERMITTED = (
        auto()
    )  # the list took the engine out while the shot was on its way, its last byte not sent
    CONNECT_FAILED = auto()  # no connection: refused, unreachable, not made in time
    CLOSED_WHILE_SENDING = auto()  # closed or reset while the request was still being sent
    TIMED_OUT_WHILE_SENDING = auto()  # time ran out while the request was still being sent
    CLOSED_BEFORE_RESPONSE = auto()  # closed or reset, request sent whole, no full answer head yet
    TIMED_OUT_BEFORE_RESPONSE = auto()  # request sent whole, no (first) answer in the shot's time
    OVERLOADED = auto()  # 429 or 503
    STATE_MISSING = auto()  # 409 with code state_gone
    REQUEST_REJECTED = auto()  # 400, 413 or 422: the engine refuses what was asked
    UNSUPPORTED_ENDPOINT = auto()  # another 4xx: what answers there does not serve this
    SERVER_ERROR = auto()  # 5xx other than 503, or a status that has no place here
    MALFORMED_RESPONSE = auto()  # 200, but what follows cannot be read, is endless or lacks what it must hold
    CLOSED_DURING_RESPONSE = auto()  # 200, then closed, reset or silent before the first token
    STREAM_INTERRUPTED = auto()  # closed, reset or silent after the first token
    CANCELLED = auto()  # this front closed the connection itself


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
    """What a status other than 200 says; `code` is the one in its error body."""
    if status in (429, 503):
        return FailureCause.OVERLOADED
    if status == 409 and code == STATE_GONE:
        return FailureCause.STATE_MISSING
    if status in (400, 413, 422):
        return FailureCause.REQUEST_REJECTED
    # 408 may come from something in between after the engine got it all.
    if 400 <= status < 500 and status != 408:
        return FailureCause.UNSUPPORTED_ENDPOINT
    return FailureCause.SERVER_ERROR


def may_have_executed(mishap: FailureCause) -> bool:
    return STATUS_BY_CAUSE[mishap] not in NOT_EXECUTED
