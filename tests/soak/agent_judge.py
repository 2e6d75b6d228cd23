"""Judges drains by what a node's agent could have answered, and the calls that the agent got.

By the platform's terms what an agent has counts as told, whether or not it was asked. So the measure is when
a call made at the right time would have been answered, and not when the node was.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf
from typing import Any

from runspool.lab.audit import RuleVerdict

Event = dict[str, Any]

DRAIN_GRACE = 0.3  # seconds after a node counts as told of a drain, with the platform's slack
SILENT_WATCH = 3.0  # after a watch fell silent: the longest wait, and 2 s after it
RETURN_NOTICED = 1.0  # after an outage whose calls were dropped: the node has to ask anew
AFTER_RELOAD = 4.0  # after a node was told to read another address of its agent
PACE_MEMORY = 6.0  # before a change and after it, in which the slowest answer is the agent's pace
NEW_STARTS = ("started", "agent_reset", "agent_moved")
RESET_LASTS = 0.001  # seconds, for which a reset of all connections counts as a break
MOST_CALLS_PER_SECOND = 25
OWED_AT_ANY_OUTAGE = 3  # calls: the watches, and one more; and one for each second of the outage
OWED_AT_A_START = 3  # more, where the node starts, moves or loses its connections in the outage
MOST_CONNECTIONS = 8  # six calls, and two connections that are being closed


@dataclass
class _Agent:
    """What is known of a node's agent, from outside.

    `outages` are spans in which it answered nothing; `new_starts` are when its node began to follow it anew;
    `crowded` are spans in which it refused connections. `breaks` are times at which nothing could be
    answered, as spans; `drops` are the beginnings of those that left a watch silent, `drop_ends` their ends.
    `answers` are when each answer was written, and how long its pace made it take; `paces` are when the agent
    was set to another pace, and how long an answer takes at it.
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
    crowded: list[tuple[float, float]] = field(default_factory=list)
    most_connections: int = 0
    down_since: float | None = None

    def take_in(self, event: Event) -> None:
        """Add what an event says of the agent."""
        at = event["t"]
        match event["what"]:
            case "agent_down":
                self.down_since = at if self.down_since is None else self.down_since
                if event["drops"]:
                    self.drops.append(self.down_since)
            case "agent_up" if self.down_since is not None:
                self._outage_ended(self.down_since, at)
            case "agent_reset":
                self.breaks.append((at, at + RESET_LASTS))
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
        """The slowest answer around a span, as answers were given and as the agent was set."""
        spans = [took for at, took in self.answers if since - PACE_MEMORY < at < until + PACE_MEMORY]
        before = [seconds for at, seconds in self.paces if at <= since - PACE_MEMORY]
        spans += before[-1:]
        spans += [seconds for at, seconds in self.paces if since - PACE_MEMORY < at <= until]
        return max(spans, default=0.0)

    def could_have_told(self, changed: float, sent: float) -> float:
        """When a change could have been told at the latest, by a call made at the right time."""
        needed = 2 * self.pace(changed, sent)  # an answer settled just before the change, and one after it
        told = changed
        for begin, end in sorted(self.breaks):
            if begin < told + needed and end > told:
                told = end
        told += needed
        for begin in self.drops:
            if begin < told:
                told = max(told, begin + SILENT_WATCH)
        for end in self.drop_ends:
            if changed - RETURN_NOTICED < end <= told:
                told = max(told, end + RETURN_NOTICED + needed)
        for reload in self.reloads:
            if reload < told + AFTER_RELOAD and reload < sent:
                told = max(told, reload + AFTER_RELOAD)
        return max([told, *(ready + needed for ready in self.ready if changed < ready < sent)])


def _agents(events: list[Event]) -> dict[str, _Agent]:
    agents: dict[str, _Agent] = defaultdict(_Agent)
    for event in events:
        if "node" in event:
            agents[event["node"]].take_in(event)
        if event["what"] in NEW_STARTS:
            agents[event["node"]].new_starts.append(event["t"])
        if event["what"] == "fault" and event["kind"] == "agent_crowded":
            for index in event["nodes"]:
                agents[f"n{index}"].crowded.append((event["t"], event["t"] + event["lasts"]))
    for agent in agents.values():
        if agent.down_since is not None:
            agent.breaks.append((agent.down_since, inf))
    return agents


def judge_agents(events: list[Event], drains: RuleVerdict, calls: RuleVerdict, slack: float) -> None:
    """Add violations of the rules on drains and on calls; `slack` is granted beyond each time, in seconds."""
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
            told = agents[event["node"]].could_have_told(since, event["t"])
            if event["t"] > told + DRAIN_GRACE + slack:
                drains.add_violation(
                    f"{event['request']} sent by {event['node']} to {event['engine']} at {event['t']:.3f}, "
                    f"which drains since {since:.3f}; it could have been told by {told:.3f}"
                )
    for node, agent in agents.items():
        _judge_calls(node, agent, calls)


def _judge_calls(node: str, agent: _Agent, judged: RuleVerdict) -> None:
    judged.cases += len(agent.calls)
    first = 0
    for last, at in enumerate(agent.calls):
        while agent.calls[first] < at - 1.0:
            first += 1
        if last - first >= MOST_CALLS_PER_SECOND:
            judged.add_violation(f"{node} made {last - first + 1} calls in a second up to {at:.3f}")
            break
    _judge_owed(node, agent, judged)
    if agent.most_connections > MOST_CONNECTIONS:
        judged.add_violation(f"{node} had {agent.most_connections} connections to its agent")


def _judge_owed(node: str, agent: _Agent, judged: RuleVerdict) -> None:
    for began, ended in agent.outages:
        if any(since < ended and until > began for since, until in agent.crowded):
            continue  # a refused call is made again soon, and is not owed
        owed = sum(began <= at < ended for at in agent.calls)
        starts = sum(began <= at < ended for at in agent.new_starts)
        if owed > OWED_AT_ANY_OUTAGE + OWED_AT_A_START * starts + (ended - began):
            judged.add_violation(f"{node} owed {owed} calls after an outage of {ended - began:.1f} s")
