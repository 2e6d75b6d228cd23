"""The auditor, which checks a recording of the laboratory against five rules and uses nothing else.

`history` reads the recording, each rule has its own module, and `auditor` runs all rules. Each rule counts
the cases to which it applied, so that a recording that never exercised a rule can be recognised.
"""

from __future__ import annotations

from runspool.lab.audit.auditor import RULES, audit, check_rules
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
    "check_rules",
    "read_history",
]
