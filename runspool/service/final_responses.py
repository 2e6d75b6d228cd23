"""The final responses that a front gives by itself, with the codes and messages that its clients read."""

from __future__ import annotations

from runspool.service.pending_request import FinalResponse, ResponseKind


def rejected(retry_after: int) -> FinalResponse:
    """The request has not run; `retry_after` is in tenths of a millisecond, 0 where nothing is said."""
    return FinalResponse(ResponseKind.REJECTED, "dismissed", "not run; trying again is harmless", retry_after)


def indeterminate() -> FinalResponse:
    """The scheduler has given the request up, and it may have run."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "scrapped", "nothing is promised: it may or may not have run"
    )


def scheduler_failed() -> FinalResponse:
    """The scheduler has failed at the request."""
    return FinalResponse(ResponseKind.INDETERMINATE, "scrapped", "nothing is promised")


def out_of_time() -> FinalResponse:
    """The scheduler has not answered before the deadline guard did."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "out_of_time", "nothing is promised: it may or may not have run"
    )


def stream_interrupted() -> FinalResponse:
    """The stream broke off after its start."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "stream_cut", "the answer broke off; nothing is promised"
    )


def stream_migrated() -> FinalResponse:
    """The stream ends here on purpose; the client asks again for the rest of it."""
    return FinalResponse(ResponseKind.INDETERMINATE, "moved", "come again for the rest")


def front_stopped() -> FinalResponse:
    """The front stops before the request has ended."""
    return FinalResponse(
        ResponseKind.INDETERMINATE, "stopped", "the front stopped; it may or may not have run"
    )


def client_disconnected() -> FinalResponse:
    """The client has gone; nobody reads this."""
    return FinalResponse(ResponseKind.CLIENT_DISCONNECTED)
