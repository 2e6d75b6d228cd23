"""The auditor: judges the five rules from a recording alone.

`history` reads the recording; each rule has a module of its own; `auditor` runs them all. Each rule counts
the cases that it was judged on, so that a recording in which a rule was never at stake shows as such.
"""

from __future__ import annotations

from runspool.lab.audit.auditor import RULES, audit, judge
from runspool.lab.audit.history import ClientAttemptRecord, EngineAttemptRecord, History, read_history
from runspool.lab.audit.tolerance import EXACT_TOLERANCE, SOCKET_TOLERANCE, AuditTolerance
from runspool.lab.audit.verdict import RuleVerdict

__all__ = [
    "EXACT_TOLERANCE",
    "RULES",
    "SOCKET_TOLERANCE",
    "AuditTolerance",
    "ClientAttemptRecord",
    "EngineAttemptRecord",
    "History",
    "RuleVerdict",
    "audit",
    "judge",
    "read_history",
]
