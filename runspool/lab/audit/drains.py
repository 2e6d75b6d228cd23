"""Rule "drains kept": a front sends nothing to an engine that it was told is draining or gone."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from runspool.lab.audit.history import History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.recording import Event
from runspool.units import TENTHS_PER_MS

ACTIVE = "on"
REMOVED = "gone"
NO_VERSION = -1  # less than every version of the endpoint list

StateChange = tuple[int, str]  # time in tenths of a millisecond, state


def judge_drains(history: History) -> RuleVerdict:
    """Judge the rule on every change away from the active state that a front was told of."""
    verdict = RuleVerdict()
    for front in history.plan.fronts:
        for engine, changes in _state_changes(history, front.name).items():
            verdict.cases += sum(state != ACTIVE for _, state in changes)
            _judge_engine(verdict, history, front.name, engine, changes)
    return verdict


def _judge_engine(
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
                f"{attempt.request_id}: {front} sent to {engine} "
                f"{elapsed:.0f} ms after it was told of its drain"
            )


def _drained_since(changes: list[StateChange], at: int) -> int | None:
    """Return since when the engine has not been active at `at`; None where it is active or unknown."""
    known = changes[: bisect_right(changes, at, key=lambda change: change[0])]
    since = None
    for changed_at, state in reversed(known):
        if state == ACTIVE:
            break
        since = changed_at
    return since


def _state_changes(history: History, front: str) -> dict[str, list[StateChange]]:
    """Return what a front was told of each engine, in order of time.

    A kill of the front counts as if every engine were active again: its next process has to be told anew.
    """
    told = _ToldStates()
    updates: list[tuple[int, Event | None]] = [
        (update["t"], update) for update in history.list_updates[front]
    ]
    updates += [(killed_at, None) for killed_at in history.front_kills[front]]
    for at, update in sorted(updates, key=lambda timed: timed[0]):
        if update is None:
            told.forget(at)
        else:
            told.apply(at, update)
    return told.changes


class _ToldStates:
    """What one front was told of each engine so far.

    Updates that were overtaken by newer ones, or that come twice, change nothing.
    """

    def __init__(self) -> None:
        self.changes: dict[str, list[StateChange]] = defaultdict(list)
        self.versions: dict[str, int] = {}

    def forget(self, at: int) -> None:
        """The front was killed."""
        for changes in self.changes.values():
            changes.append((at, ACTIVE))
        self.versions.clear()

    def apply(self, at: int, update: Event) -> None:
        """The front was told of an update, which is a whole list or the entries that changed."""
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
