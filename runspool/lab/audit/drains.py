"""Rule "drains kept": a front sends nothing to an engine that the list reports as draining or removed."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from runspool.lab.audit.history import History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.recording import Event
from runspool.units import TENTHS_PER_MS

ACTIVE = "on"
REMOVED = "gone"
NO_VERSION = -1  # lower than every version of the endpoint list

# The time in tenths of a millisecond at which a front was informed of a state, and the state.
StateChange = tuple[int, str]


def check_drains(history: History) -> RuleVerdict:
    """Check the rule on every change from the active state to another that a front was informed of."""
    verdict = RuleVerdict()
    for front in history.plan.fronts:
        for engine, changes in _state_changes(history, front.name).items():
            verdict.cases += sum(state != ACTIVE for _, state in changes)
            _check_engine(verdict, history, front.name, engine, changes)
    return verdict


def _check_engine(
    verdict: RuleVerdict, history: History, front: str, engine: str, changes: list[StateChange]
) -> None:
    grace = history.plan.drain_grace + history.tolerance.observation_delay
    for attempt in history.engine_attempts.values():
        if attempt.front != front or attempt.engine != engine:
            continue
        drained_at = _drained_since(changes, attempt.arrived_at)
        if drained_at is not None and attempt.arrived_at > drained_at + grace:
            elapsed = (attempt.arrived_at - drained_at) / TENTHS_PER_MS
            verdict.add_violation(
                f"{attempt.request_id}: {front} sent it to {engine} "
                f"{elapsed:.0f} ms after it was informed of the drain"
            )


def _drained_since(changes: list[StateChange], at: int) -> int | None:
    """Return the time since which the front has known the engine as not active.

    Only changes up to `at` count. Return None if the engine was active or unknown at `at`.
    """
    known = changes[: bisect_right(changes, at, key=lambda change: change[0])]
    since = None
    for changed_at, state in reversed(known):
        if state == ACTIVE:
            break
        since = changed_at
    return since


def _state_changes(history: History, front: str) -> dict[str, list[StateChange]]:
    """Return, by engine, the states that a front was informed of, in order of time.

    A kill of the front sets every engine to active, because the next process has not been informed yet.
    """
    reported = _ReportedStates()
    updates: list[tuple[int, Event | None]] = [
        (update["t"], update) for update in history.list_updates[front]
    ]
    updates += [(killed_at, None) for killed_at in history.front_kills[front]]
    for at, update in sorted(updates, key=lambda timed: timed[0]):
        if update is None:
            reported.reset(at)
        else:
            reported.apply(at, update)
    return reported.changes


class _ReportedStates:
    """The states that the endpoint list has reported to one front, by engine.

    Updates that arrive twice, or after a newer version, are ignored.
    """

    def __init__(self) -> None:
        self.changes: dict[str, list[StateChange]] = defaultdict(list)
        self.versions: dict[str, int] = {}

    def reset(self, at: int) -> None:
        """Record that the front was killed: all engines become active, and the versions are forgotten."""
        for changes in self.changes.values():
            changes.append((at, ACTIVE))
        self.versions.clear()

    def apply(self, at: int, update: Event) -> None:
        """Record an update that the front received, either a whole list or only the changed entries."""
        states = {engine: state for engine, state, _ in update["engines"]}
        is_snapshot, version = update["whole"], update["version"]
        if is_snapshot:
            self._remove_others(at, states)
        for engine, state in states.items():
            if not is_snapshot and version <= self.versions.get(engine, NO_VERSION):
                continue
            self.versions[engine] = version
            changes = self.changes[engine]
            if not changes or changes[-1][1] != state:
                changes.append((at, state))

    def _remove_others(self, at: int, listed: dict[str, str]) -> None:
        for engine, changes in self.changes.items():
            if engine not in listed and changes[-1][1] != REMOVED:
                changes.append((at, REMOVED))
