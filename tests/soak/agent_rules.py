"""Checks drains against what a node's agent could have answered, and the calls that the agent received.

The platform counts a node as informed of a change once its agent has the change, whether or not the node has
called the agent. A drain is therefore measured from the time at which a call made at the best moment would
have been answered, not from the time at which the node's own call was.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf
from typing import Any

from runspool.lab.audit import RuleVerdict

Event = dict[str, Any]

# Seconds for which a node may still send to an engine after it counts as informed of the engine's drain,
# including the platform's tolerance.
DRAIN_GRACE = 0.3
# Seconds from the beginning of an outage that drops calls to the time by which a node replaces a watch that
# the outage has dropped: the longest wait of a watch (1 s), and 2 s after it.
DROPPED_WATCH_REPLACED = 3.0
# Seconds that a node may need, after an outage whose calls were dropped, to call the agent again.
RECOVERY_DETECTION = 1.0
# Seconds that a node may need to follow its agent at another address after it was signalled to reload.
AFTER_RELOAD = 4.0
# Seconds before and after a change within which the slowest answer determines how fast the agent is.
PACE_WINDOW = 6.0
# Events after which a node starts to follow its agent again.
NEW_STARTS = ("started", "agent_reset", "agent_moved")
RESET_DURATION = 0.001  # seconds for which the agent counts as unreachable at a reset of its connections
MAX_CALLS_PER_SECOND = 25  # calls of one node within any second
# Calls of one node that may remain unanswered at the end of an outage: the watches and one more call. One
# call for each second of the outage is added to this number.
UNANSWERED_AT_ANY_OUTAGE = 3
# Calls that are added to this number each time the node starts, reloads or loses its connections in the
# outage.
UNANSWERED_AT_A_START = 3
MAX_CONNECTIONS = 8  # connections of one node to its agent: six calls and two that are being closed


@dataclass
class _Agent:
    """What was observed of a node's agent. Times are in seconds; periods are pairs of begin and end.

    Attributes:
        breaks: periods in which the agent could not answer, which are outages and resets of its connections.
        drops: beginnings of the outages whose calls the agent dropped.
        drop_ends: ends of those outages.
        reloads: times at which the node was signalled to reload the address of its agent.
        ready: times at which a process of the node became ready.
        answers: for each answer, when it was written and how many seconds the agent's pace made it take.
        paces: for each change of the agent's pace, its time and the seconds that an answer then takes.
        calls: times of the calls that the agent received.
        outages: periods in which the agent answered nothing.
        new_starts: times at which the node started to follow the agent again.
        refusing_periods: periods in which the agent refused connections above a limit.
        most_connections: the largest number of simultaneous connections.
        down_since: the beginning of the present outage; None if there is none.
    """

    breaks: list[tuple[float, float]] = field(default_factory=list)
    drops: list[float] = field(default_factory=list)
    drop_ends: list[float] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)
    ready: list[float] = field(default_factory=list)
    answers: list[tuple[float, float]] = field(default_factory=list)
    paces: list[tuple[float, float]] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    new_starts: list[float] = field(default_factory=list)
    refusing_periods: list[tuple[float, float]] = field(default_factory=list)
    most_connections: int = 0
    down_since: float | None = None

    def add_event(self, event: Event) -> None:
        """Record what an event shows of the agent."""
        at = event["t"]
        match event["what"]:
            case "agent_down":
                self.down_since = at if self.down_since is None else self.down_since
                if event["drops"]:
                    self.drops.append(self.down_since)
            case "agent_up" if self.down_since is not None:
                self._outage_ended(self.down_since, at)
            case "agent_reset":
                self.breaks.append((at, at + RESET_DURATION))
            case "agent_moved":
                self.reloads.append(at)
            case "ready":
                self.ready.append(at)
            case "told":
                self.answers.append((at, event["took"]))
            case "agent_pace":
                self.paces.append((at, event["seconds"]))
            case "agent_call":
                self.calls.append(at)
                self.most_connections = max(self.most_connections, event["connections"])

    def _outage_ended(self, began: float, at: float) -> None:
        self.outages.append((began, at))
        self.breaks.append((began, at))
        if self.drops and self.drops[-1] >= began:
            self.drop_ends.append(at)
        self.down_since = None

    def pace(self, since: float, until: float) -> float:
        """Return the seconds that the slowest answer took between `since` and `until`, and shortly around it.

        Both the answers that were written and the paces that were configured count.
        """
        durations = [took for at, took in self.answers if since - PACE_WINDOW < at < until + PACE_WINDOW]
        before = [seconds for at, seconds in self.paces if at <= since - PACE_WINDOW]
        durations += before[-1:]
        durations += [seconds for at, seconds in self.paces if since - PACE_WINDOW < at <= until]
        return max(durations, default=0.0)

    def latest_delivery(self, changed: float, sent: float) -> float:
        """Return the latest time at which a call made at the best moment would have delivered a change.

        Args:
            changed: When the list changed.
            sent: When the node sent the request that is checked; what happens later does not count.
        """
        # One answer may have been determined just before the change; the next one contains it.
        needed = 2 * self.pace(changed, sent)
        delivered = changed
        for begin, end in sorted(self.breaks):
            if begin < delivered + needed and end > delivered:
                delivered = end
        delivered += needed
        for begin in self.drops:
            if begin < delivered:
                delivered = max(delivered, begin + DROPPED_WATCH_REPLACED)
        for end in self.drop_ends:
            if changed - RECOVERY_DETECTION < end <= delivered:
                delivered = max(delivered, end + RECOVERY_DETECTION + needed)
        for reload in self.reloads:
            if reload < delivered + AFTER_RELOAD and reload < sent:
                delivered = max(delivered, reload + AFTER_RELOAD)
        return max([delivered, *(ready + needed for ready in self.ready if changed < ready < sent)])


def _agents(events: list[Event]) -> dict[str, _Agent]:
    """Return, by the node's name, what was observed of each agent."""
    agents: dict[str, _Agent] = defaultdict(_Agent)
    for event in events:
        if "node" in event:
            agents[event["node"]].add_event(event)
        if event["what"] in NEW_STARTS:
            agents[event["node"]].new_starts.append(event["t"])
        if event["what"] == "fault" and event["kind"] == "agent_crowded":
            for index in event["nodes"]:
                agents[f"n{index}"].refusing_periods.append((event["t"], event["t"] + event["lasts"]))
    for agent in agents.values():
        if agent.down_since is not None:
            agent.breaks.append((agent.down_since, inf))
    return agents


def check_agents(events: list[Event], drains: RuleVerdict, calls: RuleVerdict, slack: float) -> None:
    """Add the violations of the rules on drains and on calls to agents.

    Args:
        events: The recorded events in order of time.
        drains: Receives the violations of the rule on drains.
        calls: Receives the violations of the rule on calls.
        slack: The seconds that are granted in addition to each time limit.
    """
    agents = _agents(events)
    drained_since: dict[str, float] = {}  # by engine
    for event in events:
        if event["what"] == "status":
            if event["status"] == "active":
                drained_since.pop(event["engine"], None)
            else:
                drained_since.setdefault(event["engine"], event["t"])
        elif event["what"] == "sent" and event["engine"] in drained_since:
            since = drained_since[event["engine"]]
            delivered = agents[event["node"]].latest_delivery(since, event["t"])
            if event["t"] > delivered + DRAIN_GRACE + slack:
                drains.add_violation(
                    f"{event['request']} sent by {event['node']} to {event['engine']} at {event['t']:.3f}; "
                    f"the engine drains since {since:.3f}, and the node could know it by {delivered:.3f}"
                )
    for node, agent in agents.items():
        _check_calls(node, agent, calls)


def _check_calls(node: str, agent: _Agent, verdict: RuleVerdict) -> None:
    verdict.cases += len(agent.calls)
    first = 0
    for last, at in enumerate(agent.calls):
        while agent.calls[first] < at - 1.0:
            first += 1
        if last - first >= MAX_CALLS_PER_SECOND:
            verdict.add_violation(f"{node} made {last - first + 1} calls in the second up to {at:.3f}")
            break
    _check_unanswered_calls(node, agent, verdict)
    if agent.most_connections > MAX_CONNECTIONS:
        verdict.add_violation(f"{node} had {agent.most_connections} connections to its agent")


def _check_unanswered_calls(node: str, agent: _Agent, verdict: RuleVerdict) -> None:
    for began, ended in agent.outages:
        if any(since < ended and until > began for since, until in agent.refusing_periods):
            continue  # a refused call is soon repeated, and the agent does not have to answer it
        unanswered = sum(began <= at < ended for at in agent.calls)
        starts = sum(began <= at < ended for at in agent.new_starts)
        if unanswered > UNANSWERED_AT_ANY_OUTAGE + UNANSWERED_AT_A_START * starts + (ended - began):
            verdict.add_violation(
                f"{node} had {unanswered} unanswered calls after an outage of {ended - began:.1f} s"
            )
