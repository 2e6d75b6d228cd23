"""The final responses that a front generates itself, with their error codes and messages for clients."""

from __future__ import annotations

from runspool.service.pending_request import FinalResponse, ResponseKind


def rejected(retry_after: int) -> FinalResponse:
    """Return the response to a request that was not executed.

    `retry_after` is in tenths of a millisecond; 0 gives the client no hint when to retry.
    """
    return FinalResponse(ResponseKind.REJECTED, "dismissed", "not run; trying again is harmless", retry_after)


def indeterminate() -> FinalResponse:
    """Return the response to a request that the scheduler gave up and that may have been executed."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "scrapped", "nothing is promised: it may or may not have run"
    )


def scheduler_failed() -> FinalResponse:
    """Return the response to a request that the scheduler failed to answer, for example by an exception."""
    return FinalResponse(ResponseKind.INDETERMINATE, "scrapped", "nothing is promised")


def out_of_time() -> FinalResponse:
    """Return the response of the deadline guard to a request that the scheduler did not answer in time."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "out_of_time", "nothing is promised: it may or may not have run"
    )


def stream_interrupted() -> FinalResponse:
    """Return the response to a request whose stream broke off after it had started."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "stream_cut", "the answer broke off; nothing is promised"
    )


def stream_migrated() -> FinalResponse:
    """Return the response to a request whose stream is ended so that its client requests the remainder."""
    return FinalResponse(ResponseKind.INDETERMINATE, "moved", "come again for the rest")


def front_stopped() -> FinalResponse:
    """Return the response to a request that has not ended when the front shuts down."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "stopped", "the front stopped; it may or may not have run"
    )


def client_disconnected() -> FinalResponse:
    """Return the final state of a request whose client has disconnected; nothing is sent."""
    return FinalResponse(ResponseKind.CLIENT_DISCONNECTED)
