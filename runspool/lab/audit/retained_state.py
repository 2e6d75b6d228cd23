"""Rule "nothing pinned": prefill state that no attempt is using is released within the release timeout."""

from __future__ import annotations

from runspool.lab.audit.history import ClientAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.recording import Event
from runspool.units import TENTHS_PER_MS

RELEASES = frozenset({"taken", "released", "dropped", "expired"})  # events after which a state is not held
NEVER_RELEASED = "never released"

# The recording does not show how long an engine that failed stays down. This is the assumed downtime, in
# multiples of AuditTolerance.observation_delay.
DOWNTIME_DELAYS = 20


def check_retained_state(history: History) -> RuleVerdict:
    """Check the rule on every prefill state that an engine held for a known attempt."""
    rule = _RetainedStateRule(history)
    held: dict[str, Event] = {}
    for event in history.events:
        if event["what"] == "held":
            held[event["state"]] = event
        elif event["what"] in RELEASES:
            holding = held.pop(event["state"], None)
            if holding is not None:
                # A hung engine executes a release late, so the time at which the call reached it counts.
                released_at: int = event["told"] if "told" in event else event["t"]
                rule.check(holding, released_at, event["what"])
    for holding in held.values():
        rule.check(holding, history.last_time, NEVER_RELEASED)
    return rule.verdict


class _RetainedStateRule:
    """Checks held states one at a time; a parameter `holding` is the state's recorded event `held`."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.verdict = RuleVerdict()

    def check(self, holding: Event, released_at: int, how: str) -> None:
        """Check one state that was held from its event `held` until `released_at`.

        `how` names the kind of event that ended the holding and is quoted in the violation.
        """
        prefill = self.history.engine_attempts.get(holding["state"])
        client_attempt = self.history.client_attempts.get(holding["try"])
        if prefill is None or client_attempt is None:
            return
        self.verdict.cases += 1
        end = self._end_of_obligation(holding, prefill.front, released_at)
        longest = _longest_idle_time(client_attempt, holding["t"], end)
        if longest > self._allowed_idle_time(holding["t"], end):
            self.verdict.add_violation(
                f"{holding['state']}: held at {holding['engine']} for {longest / TENTHS_PER_MS:.0f} ms "
                f"without an attempt in progress ({how})"
            )

    def _end_of_obligation(self, holding: Event, front: str, released_at: int) -> int:
        """Return until when the front had to release the state.

        After a kill of the front nothing is left that could release it, and after a kill of the engine
        nothing is left to release.
        """
        kills = [*self.history.engine_kills[holding["engine"]], *self.history.front_kills[front]]
        earliest = holding["t"] - self.history.tolerance.observation_delay
        return min([released_at, *(killed_at for killed_at in kills if killed_at >= earliest)])

    def _allowed_idle_time(self, start: int, end: int) -> int:
        tolerance = self.history.tolerance
        # An attempt at an engine that is down is not recorded there, but its failure restarts the timeout.
        periods = tolerance.release_periods if self._an_engine_was_down(start, end) else 1
        return self.history.plan.state_release_timeout * periods + tolerance.observation_delay

    def _an_engine_was_down(self, start: int, end: int) -> bool:
        delay = self.history.tolerance.observation_delay
        return any(
            start - delay <= killed_at + DOWNTIME_DELAYS * delay and killed_at <= end
            for kills in self.history.engine_kills.values()
            for killed_at in kills
        )


def _longest_idle_time(attempt: ClientAttemptRecord, start: int, end: int) -> int:
    """Return the longest time between `start` and `end` without an attempt in progress."""
    busy = sorted(
        (engine_attempt.arrived_at, engine_attempt.ended_at or end)
        for engine_attempt in attempt.engine_attempts
        if engine_attempt.arrived_at >= start
    )
    idle_since = start
    longest = 0
    for began_at, ended_at in busy:
        longest = max(longest, began_at - idle_since)
        idle_since = max(idle_since, ended_at)
    return max(longest, end - idle_since)
