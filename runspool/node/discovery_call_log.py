"""The log of the calls for the endpoint list, and of what they amount to."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.logs import BoundedLog
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.discovery_call_planner import DiscoveryCallPlanner, DiscoveryState
from runspool.units import TENTHS

SLOW_ANSWER = 1_000  # tenths of a millisecond beyond a watch's wait from which its answer is logged


class CallEnd(Enum):
    """How a call for the endpoint list ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SUPERSEDED = "superseded"  # a call made later has been answered
    GIVEN_UP = "given_up"


class DiscoveryCallLog:
    """Logs the calls that did not go as usual and each change of the state, and counts all calls.

    Attributes:
        counts: calls by how they ended.
        given_up: calls given up since the last one that was answered.
        is_interrupted: whether the watch was lost or overdue since the last call that was answered.
    """

    def __init__(self, tracker: EndpointTracker, counts: Counter[str]) -> None:
        self.tracker = tracker
        self.counts = counts
        self.given_up = 0
        self.is_interrupted = True
        self.log = structlog.get_logger()
        self.bounded_log = BoundedLog()

    def ended(
        self, call: DiscoveryCall, end: CallEnd, now: int, planner: DiscoveryCallPlanner, reason: str = ""
    ) -> None:
        """Logs the end of a call at `now`, tenths of a millisecond; `reason` says why it failed."""
        self.counts[f"discovery_call_{end.value}"] += 1
        write = self.bounded_log.info if self._is_worth_a_line(call, end, now) else self.log.debug
        write(
            "discovery_call_ended",
            how=end.value,
            reason=reason,
            **_described(call, now),
            **self._situation(now, planner),
        )

    def _is_worth_a_line(self, call: DiscoveryCall, end: CallEnd, now: int) -> bool:
        """Returns whether an operator wants to know; of the calls given up, the 1st, 2nd, 4th and so on."""
        match end:
            case CallEnd.ANSWERED:
                self.given_up = 0
                is_first, self.is_interrupted = self.is_interrupted, False
                return is_first or now - call.made_at - call.wait >= SLOW_ANSWER
            case CallEnd.GIVEN_UP:
                self.given_up += 1
                return self.given_up.bit_count() == 1
            case CallEnd.FAILED:
                return True
            case CallEnd.SUPERSEDED:
                return False

    def state_changed(
        self, former: DiscoveryState, state: DiscoveryState, now: int, planner: DiscoveryCallPlanner
    ) -> None:
        """Logs a change of the state."""
        self.is_interrupted = self.is_interrupted or state is not DiscoveryState.WATCHING
        self.counts[f"discovery_{state.value}"] += 1
        self.bounded_log.info(
            "discovery_state_changed", former=former.value, state=state.value, **self._situation(now, planner)
        )

    def watch_overdue(self, watch: DiscoveryCall, now: int, planner: DiscoveryCallPlanner) -> None:
        """Logs a watch that has not been answered in time."""
        self.counts["discovery_watch_overdue"] += 1
        self.bounded_log.info(
            "discovery_watch_overdue", **_described(watch, now), **self._situation(now, planner)
        )

    def _situation(self, now: int, planner: DiscoveryCallPlanner) -> dict[str, object]:
        return {
            "calls_out": len(planner.calls_out),
            "calls_owed": planner.calls_owed,
            "answer_time_ms": planner.answer_time / TENTHS,
            "version": self.tracker.version,
            "confirmed_ms_ago": _milliseconds_between(self.tracker.confirmed_at, now),
        }


def _described(call: DiscoveryCall, now: int) -> dict[str, object]:
    return {
        "call": call.number,
        "after": call.after_version,
        "local_port": call.local_port,
        "position": call.position,
        "age_ms": (now - call.made_at) / TENTHS,
        "first_byte_ms": _milliseconds_between(call.made_at, call.first_byte_at),
    }


def _milliseconds_between(since: int | None, until: int | None) -> float | None:
    return None if since is None or until is None else (until - since) / TENTHS
