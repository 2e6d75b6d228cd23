"""Rule "cold engines not pushed over": fronts send a cold engine no more work than it can bear."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.lab.audit.history import EngineAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.engine_model import COLD_OVERLOAD_TOLERANCE
from runspool.lab.recording import Event


def judge_cold_starts(history: History) -> RuleVerdict:
    """Judge the rule on every cold start of an engine."""
    verdict = RuleVerdict()
    for engine, starts in history.engine_starts.items():
        for start in starts:
            if start["cold"]:
                verdict.cases += 1
                _ColdStart(history, engine, start).judge(verdict)
    return verdict


@dataclass(frozen=True, slots=True)
class _Work:
    """Work that one attempt brings, in tenths of a millisecond at full strength."""

    at: int
    amount: float
    front: str


class _ColdStart:
    """One cold start; `start` is its recorded line `engine_up`."""

    def __init__(self, history: History, engine: str, start: Event) -> None:
        self.history = history
        self.engine = engine
        self.started_at: int = start["t"]
        self.duration: int = start["cold_time"]
        self.initial_fraction: float = start["cold_from"]
        self.overload_multiple: float = start["multiple"]
        self.window: int = start["fall_time"]
        self.mean_work: dict[str, float] = start["work"]

    def judge(self, verdict: RuleVerdict) -> None:
        """Add a violation at the first moment at which the engine got too much; one for a start."""
        tolerated = COLD_OVERLOAD_TOLERANCE * max(self.mean_work.values(), default=0.0)
        work = self._work_in_order()
        for last, latest in enumerate(work):
            recent = [one for one in work[: last + 1] if one.at > latest.at - self.window]
            total = sum(one.amount for one in recent)
            strength = self._strength(latest.at)
            if total <= self.overload_multiple * strength * self.window + tolerated:
                continue
            # It is the fronts' fault where two thirds of the work came from those that knew of the start.
            knowing = sum(one.amount for one in recent if self._knew_of_start(one))
            if knowing >= total * 2 / 3:
                verdict.add_violation(
                    f"{self.engine}: sent {total / self.window:.1f} of its full strength "
                    f"while at {strength:.2f}"
                )
                return

    def _work_in_order(self) -> list[_Work]:
        work = [
            _Work(attempt.arrived_at, self.mean_work.get(attempt.request_class, 0.0), attempt.front)
            for attempt in self.history.engine_attempts.values()
            if self._counts(attempt)
        ]
        return sorted(work, key=lambda one: one.at)

    def _counts(self, attempt: EngineAttemptRecord) -> bool:
        if attempt.engine != self.engine or attempt.stage == "knock":
            return False
        return self.started_at <= attempt.arrived_at <= self.started_at + self.duration

    def _strength(self, at: int) -> float:
        elapsed = at - self.started_at
        gained = (1 - self.initial_fraction) * elapsed / max(1, self.duration)
        return min(1.0, self.initial_fraction + gained)

    def _knew_of_start(self, work: _Work) -> bool:
        return any(
            self.started_at <= update["t"] <= work.at
            and any(name == self.engine and state == "on" for name, state, _ in update["engines"])
            for update in self.history.list_updates[work.front]
        )
