"""Rule "cold engines not pushed over": fronts do not overload an engine during its slow start."""

from __future__ import annotations

from dataclasses import dataclass

from runspool.lab.audit.history import EngineAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.engine_model import COLD_OVERLOAD_TOLERANCE
from runspool.lab.recording import Event


def check_cold_starts(history: History) -> RuleVerdict:
    """Check the rule on every cold start of an engine."""
    verdict = RuleVerdict()
    for engine, starts in history.engine_starts.items():
        for start in starts:
            if start["cold"]:
                verdict.cases += 1
                _ColdStart(history, engine, start).check(verdict)
    return verdict


@dataclass(frozen=True, slots=True)
class _Work:
    """The work that one attempt adds to an engine.

    Attributes:
        at: when the attempt arrived, in tenths of a millisecond.
        amount: the mean time that its request class takes at full capacity, in tenths of a millisecond.
        front: the name of the front that sent it.
    """

    at: int
    amount: float
    front: str


class _ColdStart:
    """One cold start of an engine, with the parameters of its recorded event `engine_up`.

    Attributes:
        duration: how long the slow start lasts, in tenths of a millisecond.
        initial_fraction: the fraction of the full capacity that is available at the start.
        overload_multiple: the load, as a multiple of the present capacity, above which the engine fails.
        window: the period over which that load is measured, in tenths of a millisecond.
        mean_work: by request class, the mean time that a request takes at full capacity.
    """

    def __init__(self, history: History, engine: str, start: Event) -> None:
        self.history = history
        self.engine = engine
        self.started_at: int = start["t"]
        self.duration: int = start["cold_time"]
        self.initial_fraction: float = start["cold_from"]
        self.overload_multiple: float = start["multiple"]
        self.window: int = start["fall_time"]
        self.mean_work: dict[str, float] = start["work"]

    def check(self, verdict: RuleVerdict) -> None:
        """Add a violation where the fronts overloaded the engine; at most one for each start."""
        tolerated = COLD_OVERLOAD_TOLERANCE * max(self.mean_work.values(), default=0.0)
        work = self._work_by_arrival()
        for last, latest in enumerate(work):
            recent = [item for item in work[: last + 1] if item.at > latest.at - self.window]
            total = sum(item.amount for item in recent)
            capacity = self._capacity(latest.at)
            if total <= self.overload_multiple * capacity * self.window + tolerated:
                continue
            # A front cannot limit its load before it is informed of the start. The overload is therefore a
            # violation only if at least two thirds of the work came from fronts that had been informed.
            informed = sum(item.amount for item in recent if self._front_was_informed(item))
            if informed >= total * 2 / 3:
                verdict.add_violation(
                    f"{self.engine}: received {total / self.window:.1f} times its full capacity "
                    f"while its capacity was {capacity:.2f} of the full one"
                )
                return

    def _work_by_arrival(self) -> list[_Work]:
        work = [
            _Work(attempt.arrived_at, self.mean_work.get(attempt.request_class, 0.0), attempt.front)
            for attempt in self.history.engine_attempts.values()
            if self._adds_work(attempt)
        ]
        return sorted(work, key=lambda item: item.at)

    def _adds_work(self, attempt: EngineAttemptRecord) -> bool:
        """Return whether an attempt reached this engine, while it was up, during this slow start."""
        if attempt.engine != self.engine or attempt.stage == "knock":
            return False
        return self.started_at <= attempt.arrived_at <= self.started_at + self.duration

    def _capacity(self, at: int) -> float:
        """Return the fraction of the full capacity at `at`; it grows linearly during the slow start."""
        elapsed = at - self.started_at
        gained = (1 - self.initial_fraction) * elapsed / max(1, self.duration)
        return min(1.0, self.initial_fraction + gained)

    def _front_was_informed(self, work: _Work) -> bool:
        """Return whether the endpoint list had reported this start to the front that sent the work."""
        return any(
            self.started_at <= update["t"] <= work.at
            and any(name == self.engine and state == "on" for name, state, _ in update["engines"])
            for update in self.history.list_updates[work.front]
        )
