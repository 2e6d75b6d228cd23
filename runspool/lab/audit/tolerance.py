"""The inaccuracies of a recording that the auditor tolerates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditTolerance:
    """The delays that the recording processes may cause, and that are therefore no violations by a front.

    Attributes:
        late_answer: how long after its time limit an answer may be recorded, because the client may have
            been slow to read it; in tenths of a millisecond.
        observation_delay: the longest time between an action of a front and its record at the client or
            engine; in tenths of a millisecond.
        disconnect_detection: the longest time until a front can detect that its client has disconnected; in
            tenths of a millisecond.
        release_periods: the number of consecutive release timeouts for which a state may be held if an engine
            was down, because attempts at that engine are not recorded.
    """

    late_answer: int = 500
    observation_delay: int = 1_500
    disconnect_detection: int = 3_000
    release_periods: int = 2


SOCKET_TOLERANCE = AuditTolerance()
# For simulated histories, which have a single clock and record every attempt without delay.
EXACT_TOLERANCE = AuditTolerance(
    late_answer=0, observation_delay=0, disconnect_detection=0, release_periods=1
)
