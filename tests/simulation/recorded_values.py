"""Named constants for the values in recordings; the auditor matches the values, so they must not change."""

from __future__ import annotations

from runspool.service.pending_request import ResponseKind

# Stages of an attempt at an engine.
STAGE_PREFILL = "read"
STAGE_DECODE = "write"
STAGE_CONNECT = "knock"  # a connection attempt to an engine that is down

# How an attempt ended, as its engine records it.
ENDED_CONNECT_REFUSED = "refused"
ENDED_OVERLOADED = "full"
ENDED_STATE_MISSING = "stateless"
ENDED_FAILED = "mishap"
ENDED_STREAM_CUT = "broken"
ENDED_PREFILLED = "read"
ENDED_COMPLETED = "done"
ENDED_ENGINE_DOWN = "killed"
ENDED_FRONT_CLOSED = "left"

# How an attempt of a client ended, as the client records it.
ANSWER_SUCCEEDED = "succeeded"
ANSWER_REJECTED = "dismissed"
ANSWER_INDETERMINATE = "scrapped"
ANSWER_NOT_ACCEPTED = "refused"
ANSWER_UNREACHABLE = "unreachable"
ANSWER_FRONT_KILLED = "lost"
ANSWER_CLIENT_DISCONNECTED = "left"
ANSWER_NONE = "none"

ANSWER_BY_RESPONSE_KIND = {
    ResponseKind.SUCCEEDED: ANSWER_SUCCEEDED,
    ResponseKind.REJECTED: ANSWER_REJECTED,
    ResponseKind.INDETERMINATE: ANSWER_INDETERMINATE,
    ResponseKind.CLIENT_DISCONNECTED: ANSWER_CLIENT_DISCONNECTED,
}

# States of an engine on the endpoint list.
LISTED_READY = "on"
LISTED_DRAINING = "draining"
LISTED_REMOVED = "gone"
