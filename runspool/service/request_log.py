"""Log lines about open requests at the events that may end them: a shutdown, an engine that is replaced."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum
from typing import Any

from structlog.typing import FilteringBoundLogger

from runspool.logs import BoundedLog
from runspool.service.endpoint_registry import EngineReplacement
from runspool.service.pending_request import PendingRequest
from runspool.units import TENTHS

MAX_LOGGED_REQUESTS = 20  # in one line; of the others only the number is logged


class ShutdownDecision(Enum):
    """What a shutdown does with an open request; the value is the one in logs."""

    MOVED = "moved"  # its stream is ended for its client to resume it at another node
    ENDED = "ended"  # it is answered as indeterminate, or its stream is cut
    LEFT_OPEN = "left_open"


def log_shutdown_decision(
    log: FilteringBoundLogger, pending: PendingRequest, decision: ShutdownDecision, reason: str, left: int
) -> None:
    """Logs what a shutdown does with a request; `left` is the time for decisions, tenths of a millisecond."""
    endpoint = pending.attempt_endpoint
    log.info(
        "shutdown_decision",
        request=pending.id,
        decision=decision.value,
        reason=reason,
        begun=pending.stream_started,
        attempt=pending.attempt_count,
        engine=endpoint and endpoint.name,
        left_ms=left / TENTHS,
    )


def log_replacements(
    log: BoundedLog, replacements: Iterable[EngineReplacement], requests: Iterable[PendingRequest]
) -> None:
    """Logs engines that were replaced while requests ran there, with these requests."""
    running: defaultdict[int, list[PendingRequest]] = defaultdict(list)
    for pending in requests:
        if pending.attempt_endpoint is not None:
            running[pending.attempt_endpoint.index].append(pending)
    for replacement in replacements:
        found = running.get(replacement.after.index)
        if found:
            log.info(
                "engine_replaced",
                engine=replacement.after.name,
                reasons=replacement.reasons,
                started_unix_ms=replacement.after.started_unix_ms,
                running=len(found),
                requests=[_running_attempt(pending) for pending in found[:MAX_LOGGED_REQUESTS]],
            )


def _running_attempt(pending: PendingRequest) -> dict[str, Any]:
    return {"request": pending.id, "attempt": pending.attempt_count, "begun": pending.stream_started}
