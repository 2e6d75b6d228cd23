"""Logs the calls to the discovery agent and the state of the endpoint list's watch."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.logs import RateLimitedLog
from runspool.node.discovery_call import DiscoveryCall
from runspool.node.discovery_call_planner import DiscoveryCallPlanner, DiscoveryState
from runspool.units import TENTHS_PER_MS

# Time after the end of a call's wait, in tenths of a millisecond. A response that is completed later is
# logged at level info.
SLOW_RESPONSE_THRESHOLD = 1_000


class CallOutcome(Enum):
    """How a call to the discovery agent ended; the values are written to logs and metrics."""

    ANSWERED = "answered"
    FAILED = "failed"
    SUPERSEDED = "superseded"  # a response to a later call made it unnecessary
    GIVEN_UP = "given_up"  # cancelled without a response, to make room for another call


class DiscoveryCallLog:
    """Logs noteworthy calls and every change of the discovery state, and counts all calls.

    Noteworthy calls and state changes are logged at level info, subject to the rate limit of RateLimitedLog;
    all other calls are logged at level debug.

    Attributes:
        tracker: The endpoint list as it is known; its version is logged.
        counts: The number of calls by how they ended, of state changes and of overdue watches.
        consecutive_given_up: The number of calls given up since the last response.
        is_interrupted: Whether the watch has been lost or overdue since the last response.
    """

    def __init__(self, tracker: EndpointTracker, counts: Counter[str]) -> None:
        self.tracker = tracker
        self.counts = counts
        self.consecutive_given_up = 0
        self.is_interrupted = True
        self.log = structlog.get_logger()
        self._rate_limited_log = RateLimitedLog()

    def log_end(
        self,
        call: DiscoveryCall,
        outcome: CallOutcome,
        now: int,
        planner: DiscoveryCallPlanner,
        reason: str = "",
    ) -> None:
        """Log and count the end of a call.

        Args:
            call: The call.
            outcome: How it ended.
            now: The current time in tenths of a millisecond.
            planner: The planner of the call.
            reason: Why the call failed; empty if it did not.
        """
        self.counts[f"discovery_call_{outcome.value}"] += 1
        write = self._rate_limited_log.info if self._is_noteworthy(call, outcome, now) else self.log.debug
        write(
            "discovery_call_ended",
            how=outcome.value,
            reason=reason,
            **_call_fields(call, now),
            **self._planner_fields(now, planner),
        )

    def _is_noteworthy(self, call: DiscoveryCall, outcome: CallOutcome, now: int) -> bool:
        """Update the state that spans calls, and return whether the end of this one is logged at level info.

        This applies to failures, to slow responses, to the first response after an interruption, and to the
        1st, 2nd, 4th, 8th and so on of the calls given up in a row.
        """
        match outcome:
            case CallOutcome.ANSWERED:
                self.consecutive_given_up = 0
                is_first, self.is_interrupted = self.is_interrupted, False
                return is_first or now - call.made_at - call.wait >= SLOW_RESPONSE_THRESHOLD
            case CallOutcome.GIVEN_UP:
                self.consecutive_given_up += 1
                return self.consecutive_given_up.bit_count() == 1
            case CallOutcome.FAILED:
                return True
            case CallOutcome.SUPERSEDED:
                return False

    def log_state_change(
        self, former: DiscoveryState, state: DiscoveryState, now: int, planner: DiscoveryCallPlanner
    ) -> None:
        """Log and count a change of the discovery state at `now`."""
        self.is_interrupted = self.is_interrupted or state is not DiscoveryState.WATCHING
        self.counts[f"discovery_{state.value}"] += 1
        self._rate_limited_log.info(
            "discovery_state_changed",
            former=former.value,
            state=state.value,
            **self._planner_fields(now, planner),
        )

    def log_overdue_watch(self, watch: DiscoveryCall, now: int, planner: DiscoveryCallPlanner) -> None:
        """Log and count a watch whose response is overdue at `now`."""
        self.counts["discovery_watch_overdue"] += 1
        self._rate_limited_log.info(
            "discovery_watch_overdue", **_call_fields(watch, now), **self._planner_fields(now, planner)
        )

    def _planner_fields(self, now: int, planner: DiscoveryCallPlanner) -> dict[str, object]:
        return {
            "calls_out": len(planner.open_calls),
            "calls_owed": planner.agent_backlog,
            "answer_time_ms": planner.agent_latency / TENTHS_PER_MS,
            "version": self.tracker.version,
            "confirmed_ms_ago": _milliseconds_between(self.tracker.last_message_at, now),
        }


def _call_fields(call: DiscoveryCall, now: int) -> dict[str, object]:
    return {
        "call": call.number,
        "after": call.after_version,
        "local_port": call.local_port,
        "position": call.position_on_connection,
        "age_ms": (now - call.made_at) / TENTHS_PER_MS,
        "first_byte_ms": _milliseconds_between(call.made_at, call.first_byte_at),
    }


def _milliseconds_between(since: int | None, until: int | None) -> float | None:
    return None if since is None or until is None else (until - since) / TENTHS_PER_MS
