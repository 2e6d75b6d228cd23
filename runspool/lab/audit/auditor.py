"""Judges the five rules from a recording: what clients, engines and the endpoint list saw, not the fronts."""

from __future__ import annotations

from collections.abc import Callable

from runspool.lab.audit.cold_starts import judge_cold_starts
from runspool.lab.audit.drains import judge_drains
from runspool.lab.audit.history import KILLED, History, read_history
from runspool.lab.audit.lost_requests import judge_lost_requests
from runspool.lab.audit.repeated_execution import judge_repeated_execution
from runspool.lab.audit.retained_state import judge_retained_state
from runspool.lab.audit.tolerance import SOCKET_TOLERANCE, AuditTolerance
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.recording import Event

JUDGES: dict[str, Callable[[History], RuleVerdict]] = {
    "no query lost": judge_lost_requests,
    "no effect twice": judge_repeated_execution,
    "drains kept": judge_drains,
    "cold engines not pushed over": judge_cold_starts,
    "nothing pinned": judge_retained_state,
}
RULES = tuple(JUDGES)


def audit(events: list[Event], tolerance: AuditTolerance = SOCKET_TOLERANCE) -> dict[str, RuleVerdict]:
    """Judge all five rules on a recording and return their verdicts by the rule's name.

    Raises:
        UnreadableRecordingError: the recording cannot be judged.
    """
    return judge(read_history(events, tolerance))


def judge(history: History) -> dict[str, RuleVerdict]:
    """Judge all five rules on a history that has been read already.

    Attempts that are still open in the history are closed in it.
    """
    _close_open_attempts(history)
    return {rule: judge_rule(history) for rule, judge_rule in JUDGES.items()}


def _close_open_attempts(history: History) -> None:
    """An attempt without an end ended with the next kill of its engine, and may have run."""
    for attempt in history.engine_attempts.values():
        if attempt.ended_at is None:
            kills = history.engine_kills[attempt.engine]
            later_kills = [killed_at for killed_at in kills if killed_at >= attempt.arrived_at]
            attempt.ended_at = min(later_kills, default=history.last_time)
            attempt.end_status = KILLED
