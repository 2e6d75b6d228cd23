"""How much delay of the recording itself the auditor allows for, in tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditTolerance:
    """What a recording's own delays excuse.

    Attributes:
        late_answer: an answer this much after its time limit is late only because its client was slow, in
            tenths of a millisecond.
        observation_delay: time between an action of a front and its record at the other end, in tenths of a
            millisecond.
        disconnect_detection: time until a front can have seen that its client disconnected, in tenths of a
            millisecond.
        release_periods: how many release timeouts in a row a state may be held, where an attempt at an
            engine that was down left no trace.
    """

    late_answer: int = 500
    observation_delay: int = 1_500
    disconnect_detection: int = 3_000
    release_periods: int = 2


SOCKET_TOLERANCE = AuditTolerance()
# For histories on one simulated clock, in which every attempt is recorded.
EXACT_TOLERANCE = AuditTolerance(
    late_answer=0, observation_delay=0, disconnect_detection=0, release_periods=1
)
