"""Log lines about requests that are open during a shutdown or when their engine is replaced."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum
from typing import Any

from structlog.typing import FilteringBoundLogger

from runspool.logs import RateLimitedLog
from runspool.service.endpoint_registry import EngineReplacement
from runspool.service.pending_request import PendingRequest
from runspool.units import TENTHS_PER_MS

MAX_LOGGED_REQUESTS = 20  # requests listed in one log line; for the rest only their number is logged


class ShutdownDecision(Enum):
    """How a shutdown handles an open request; the values are written to logs."""

    MOVED = "moved"  # the stream was ended so that its client resumes it at another front or node
    ENDED = "ended"  # the request was answered as indeterminate, or its stream was cut off
    LEFT_OPEN = "left_open"  # the stream may continue until the process exits


def log_shutdown_decision(
    log: FilteringBoundLogger,
    pending: PendingRequest,
    decision: ShutdownDecision,
    reason: str,
    time_left: int,
) -> None:
    """Log how a shutdown handles a request.

    `time_left` is the time until the shutdown deadline, in tenths of a millisecond.
    """
    endpoint = pending.attempt_endpoint
    log.info(
        "shutdown_decision",
        request=pending.id,
        decision=decision.value,
        reason=reason,
        begun=pending.stream_started,
        attempt=pending.attempt_count,
        engine=endpoint and endpoint.name,
        left_ms=time_left / TENTHS_PER_MS,
    )


def log_replacements(
    log: RateLimitedLog, replacements: Iterable[EngineReplacement], requests: Iterable[PendingRequest]
) -> None:
    """Log engines that were replaced while they were processing requests, with these requests."""
    running: defaultdict[int, list[PendingRequest]] = defaultdict(list)
    for pending in requests:
        if pending.attempt_endpoint is not None:
            running[pending.attempt_endpoint.index].append(pending)
    for replacement in replacements:
        affected = running.get(replacement.after.index)
        if affected:
            log.info(
                "engine_replaced",
                engine=replacement.after.name,
                reasons=replacement.reasons,
                started_unix_ms=replacement.after.started_unix_ms,
                running=len(affected),
                requests=[_running_attempt(pending) for pending in affected[:MAX_LOGGED_REQUESTS]],
            )


def _running_attempt(pending: PendingRequest) -> dict[str, Any]:
    return {"request": pending.id, "attempt": pending.attempt_count, "begun": pending.stream_started}
