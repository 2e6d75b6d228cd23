"""Checks the five rules on a recording of what clients, engines and the endpoint list observed.

The fronts' own records are not used, because the fronts are the subject of the check.
"""

from __future__ import annotations

from collections.abc import Callable

from runspool.lab.audit.cold_starts import check_cold_starts
from runspool.lab.audit.drains import check_drains
from runspool.lab.audit.history import KILLED, History, read_history
from runspool.lab.audit.lost_requests import check_lost_requests
from runspool.lab.audit.repeated_execution import check_repeated_execution
from runspool.lab.audit.retained_state import check_retained_state
from runspool.lab.audit.tolerance import SOCKET_TOLERANCE, AuditTolerance
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.recording import Event

RULE_CHECKS: dict[str, Callable[[History], RuleVerdict]] = {
    "no query lost": check_lost_requests,
    "no effect twice": check_repeated_execution,
    "drains kept": check_drains,
    "cold engines not pushed over": check_cold_starts,
    "nothing pinned": check_retained_state,
}
RULES = tuple(RULE_CHECKS)


def audit(events: list[Event], tolerance: AuditTolerance = SOCKET_TOLERANCE) -> dict[str, RuleVerdict]:
    """Check all five rules on a recording and return the verdicts by rule name.

    Raises:
        UnreadableRecordingError: the recording has no valid plan, or an event refers to an unknown name.
    """
    return check_rules(read_history(events, tolerance))


def check_rules(history: History) -> dict[str, RuleVerdict]:
    """Check all five rules on a history and return the verdicts by rule name.

    The history is modified: attempts without a recorded end get one.
    """
    _close_open_attempts(history)
    return {rule: check(history) for rule, check in RULE_CHECKS.items()}


def _close_open_attempts(history: History) -> None:
    """Set the end of each attempt that has none recorded, and mark it as killed.

    The end is the next kill of its engine or, without one, the end of the recording. The attempt counts as
    one that may have run.
    """
    for attempt in history.engine_attempts.values():
        if attempt.ended_at is None:
            kills = history.engine_kills[attempt.engine]
            later_kills = [killed_at for killed_at in kills if killed_at >= attempt.arrived_at]
            attempt.ended_at = min(later_kills, default=history.last_time)
            attempt.end_status = KILLED
