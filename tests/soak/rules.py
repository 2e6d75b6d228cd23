"""Checks the rules of a soak on its recorded events; each rule counts the cases to which it applied.

The names of the rules are printed and parsed:

- lost: every request gets a valid response in time.
- stopped: a node that is being stopped answers the requests that it has accepted.
- twice: a request is not executed more often than its request class allows.
- drain: a node sends nothing to an engine that it knows is draining.
- held: prefill state is released in time.
- gone: nothing is sent after the client has disconnected or has been answered.
- deadline: the deadline that is sent to an engine does not exceed the client's.
- foreign: requests and responses are passed on unchanged, and malformed requests are not passed on.
- alive: node processes start in time, and do not fail or exit by themselves.
- calls: a node does not make too many calls to its discovery agent.
- memory: a node's process stays below its memory limit.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf
from typing import Any

from runspool.lab.audit import RuleVerdict
from tests.soak.agent_rules import DRAIN_GRACE, check_agents
from tests.soak.conditions import Conditions

Event = dict[str, Any]

# Seconds that are granted in addition to each time limit, because a busy machine may delay the node's process
# and this process.
SLACK = 0.15
RELEASE_TIMEOUT = 0.6  # seconds until unused state is released, including the platform's socket tolerance
DISCONNECT_GRACE = 0.1  # seconds for which a node may still send after its client has disconnected
LATE_RESPONSE = 0.5  # seconds after the deadline within which a late response is worthless but no violation
DEADLINE_SLACK = 0.15  # seconds by which a deadline that is sent to an engine may exceed the remaining time
DEDUPLICATION_WINDOW = 2.0  # seconds in which a request of class "pay" may be repeated (see soak_settings)
MAX_START = 10.0  # seconds from the start of a node's process until it is ready

# Latest time at which a request may be sent and still be open when the node is killed, in seconds after
# SIGTERM.
LAST_OPEN_AT_KILL = 0.7
CONNECTING_UNTIL = 0.4  # seconds after SIGTERM for which clients open new connections
# Seconds for which a client may be left waiting for the end of its stream after what it last brought.
LONGEST_SILENCE = 5.05
STREAM_SILENCE = 5.0  # seconds without data after which a client treats its stream as broken
# Seconds after what a stream last brought before which a node must not end it; its own limit is 50 ms shorter
# than the page's.
SHORTEST_SILENCE = 4.9
# The faults that may break a stream that has begun. The others leave its events coming, if more slowly.
STREAM_BREAKING_FAULTS = (
    "silence",
    "silence_there",
    "silence_back",
    "silent_after",
    "reset",
    "hang",
    "started_anew",
    "left_and_back",
)

RULES = (
    "lost",
    "stopped",
    "twice",
    "drain",
    "held",
    "gone",
    "deadline",
    "foreign",
    "alive",
    "calls",
    "memory",
)


def check_rules(events: list[Event], conditions: Conditions) -> dict[str, RuleVerdict]:
    """Check all rules and return the verdict by rule."""
    verdict = {rule: RuleVerdict() for rule in RULES}
    stops = _stops(events)
    faults = [event for event in events if event["what"] == "fault"]
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if "request" in event:
            by_request[event["request"]].append(event)
    for name, request_events in by_request.items():
        checker = _RequestChecker(name, request_events, stops, verdict)
        checker.check()
        checker.check_cut_stream(conditions.resumable, faults)
    _check_drains(events, verdict["drain"])
    check_agents(events, verdict["drain"], verdict["calls"], SLACK)
    _check_alive(events, verdict["alive"])
    _check_memory(events, conditions.memory_mb, verdict["memory"])
    return verdict


@dataclass
class _Stop:
    """The end of one process of a node.

    Attributes:
        node: the node's name.
        terminated_at: when SIGTERM was sent, in seconds of the monotonic clock; None if it was not.
        killed_at: when SIGKILL was sent; None if it was not.
        ended_at: when the process had ended.
    """

    node: str
    terminated_at: float | None = None
    killed_at: float | None = None
    ended_at: float = inf


def _stops(events: list[Event]) -> list[_Stop]:
    """Return the ends of all processes, in the order of the first signal to each of them."""
    stops: list[_Stop] = []
    open_stops: dict[str, _Stop] = {}
    for event in events:
        if event["what"] == "told_to_end":
            stop = open_stops.get(event["node"])
            if stop is None:
                stop = open_stops[event["node"]] = _Stop(event["node"])
                stops.append(stop)
            if event["kill"]:
                stop.killed_at = event["t"]
            elif stop.terminated_at is None:
                stop.terminated_at = event["t"]
        elif event["what"] == "ended" and event["node"] in open_stops:
            open_stops.pop(event["node"]).ended_at = event["t"]
    return stops


class _RequestChecker:
    """Checks the rules on one request, whose events are in order of time."""

    def __init__(
        self, name: str, events: list[Event], stops: list[_Stop], verdict: dict[str, RuleVerdict]
    ) -> None:
        self.name, self.events, self.stops, self.verdict = name, events, stops, verdict
        self.request = self.first("asked")
        self.left = self.first("left")
        self.answered = self.first("answered")
        self.again = self.first("again")

    def first(self, what: str) -> Event | None:
        """Return the first event of a kind; None if there is none."""
        return next((event for event in self.events if event["what"] == what), None)

    def all(self, what: str) -> list[Event]:
        """Return all events of a kind."""
        return [event for event in self.events if event["what"] == what]

    def add_violation(self, rule: str, text: str) -> None:
        """Record a violation, described by `text` and the request's first 40 events."""
        trace = ", ".join(
            f"{event['t']:.3f} {event['what']}" + (f" {event['engine']}" if "engine" in event else "")
            for event in self.events[:40]
        )
        self.verdict[rule].add_violation(f"{self.name}: {text} [{trace}]")

    def check(self) -> None:
        """Check all rules that concern single requests, except the one on cut streams."""
        self._check_foreign()
        if self.request is None:
            return
        self._check_lost(self.request)
        self._check_twice(self.request)
        if not self._node_was_killed(self.request):
            self._check_held()
        self._check_gone()
        self._check_deadlines(self.request)

    def _check_foreign(self) -> None:
        self.verdict["foreign"].cases += 1
        if self.request is None and self.all("sent"):
            self.add_violation("foreign", "passed on, although no client sent it as a well-formed request")
        for event in self.all("arrived"):
            if self.request is not None and event["body"] != self.request["body"]:
                self.add_violation("foreign", f"arrived as {event['body']!r}")
        if self.answered is not None and self.answered["how"] == "wrong":
            self.add_violation("foreign", "answered with a stream that no engine sent for it")

    def _stop_of(self, request: Event) -> _Stop | None:
        """Return the end of the process that accepted the request, if the request was open during that end.

        Return None otherwise.
        """
        until = inf if self.answered is None else self.answered["t"]
        for stop in self.stops:
            signalled_at = min(time for time in (stop.terminated_at, stop.killed_at) if time is not None)
            if (
                stop.node == request["node"]
                and signalled_at < until + SLACK
                and request["t"] < stop.ended_at + SLACK
            ):
                return stop
        return None

    def _node_was_killed(self, request: Event) -> bool:
        """Return whether the node was killed after the request, so that it could not release the state."""
        return any(
            stop.node == request["node"] and stop.killed_at is not None and stop.killed_at > request["t"]
            for stop in self.stops
        )

    def _check_stopped(self, request: Event, answered: Event, stop: _Stop) -> None:
        """Check a request that was open while its node was being stopped.

        A process that gets SIGKILL without SIGTERM is exempt.
        """
        if stop.terminated_at is None:
            return
        self.verdict["stopped"].cases += 1
        after_signal = request["t"] - stop.terminated_at
        by_kill = stop.killed_at is not None and answered["t"] >= stop.killed_at
        begun = self.first("begun") is not None
        if answered["how"] not in ("closed", "cut", "late"):
            return
        if by_kill and after_signal > LAST_OPEN_AT_KILL:
            self.add_violation(
                "stopped", f"still open at the kill, although sent {after_signal:.3f} s after SIGTERM"
            )
        elif not by_kill and not begun and not self._sent_while_closing(request, after_signal):
            self.add_violation(
                "stopped", f"no answer ({answered['how']}), sent {after_signal:.3f} s after SIGTERM"
            )

    def _sent_while_closing(self, request: Event, after_signal: float) -> bool:
        """Return whether the node closed the connection while the request was sent, and so never read it."""
        return not self.all("sent") and (not request["new"] or after_signal > CONNECTING_UNTIL)

    def check_cut_stream(self, resumable: bool, faults: list[Event]) -> None:
        """Check that a node does not cut a stream whose events still arrive, unless clients can resume it.

        A stream that goes on without bringing anything may be cut, but only once its client has waited for
        as long as for a stream that has stopped.
        """
        request, begun, answered = self.request, self.first("begun"), self.answered
        if resumable or request is None or begun is None or answered is None or answered["how"] != "cut":
            return
        stop = self._stop_of(request)
        by_kill = stop is not None and stop.killed_at is not None and answered["t"] >= stop.killed_at
        engine = self.all("ran")[-1]["engine"]
        if by_kill or self._has_brought_nothing(engine, answered["t"]):
            return
        if not _has_fault(faults, engine, begun["t"], answered["t"]):
            self.add_violation("lost", "the stream was cut, although the engine still sent its events")

    def _has_brought_nothing(self, engine: str, until: float) -> bool:
        """Return whether an engine's stream is spoilt, or has brought nothing for long enough."""
        if any(event["engine"] == engine for event in self.all("spoilt")):
            return True
        return any(
            event["engine"] == engine and until - event["t"] >= SHORTEST_SILENCE
            for event in self.all("fruitless")
        )

    def _check_lost(self, request: Event) -> None:
        if self.left is not None or self.answered is None:
            return
        self.verdict["lost"].cases += 1
        answered, begun = self.answered, self.first("begun")
        stop = self._stop_of(request)
        if stop is not None:
            self._check_stopped(request, answered, stop)
            if answered["how"] in ("closed", "late"):
                return
        if (
            begun is not None
            and answered["how"] in ("cut", "late")
            and answered["waited"] > LONGEST_SILENCE + SLACK
        ):
            self.add_violation("lost", f"its client was left waiting for {answered['waited']:.2f} s")
        took = (begun or answered)["t"] - request["t"]
        if answered["how"] == "closed" and not (self.all("sent") or request["new"]):
            return  # the node closed the idle connection while the request was sent, and so never read it
        if answered["how"] in ("closed", "late") and begun is None:
            self.add_violation("lost", f"no answer ({answered['how']})")
        elif took > request["deadline"] + LATE_RESPONSE + SLACK:
            self.add_violation(
                "lost", f"answered {took:.2f} s after it was sent, {request['deadline']} s are allowed"
            )
        elif answered["status"] not in (0, 200, 500, 503):
            self.add_violation("lost", f"a well-formed request was answered with status {answered['status']}")

    def _check_twice(self, request: Event) -> None:
        self.verdict["twice"].cases += 1
        ran = self.all("ran")
        if request["kind"] == "book" and len(ran) > 1:
            self.add_violation("twice", f"executed {len(ran)} times")
        if request["kind"] == "book" and ran and self.answered is not None and self.answered["status"] == 503:
            self.add_violation("twice", "rejected as not executed, although it was executed")
        declined = {event["engine"] for event in self.all("declined")}  # these engines did not execute it
        decode_attempts = [
            event
            for event in self.all("sent_whole")
            if not event["engine"].startswith("prefill") and event["engine"] not in declined
        ]
        if (
            request["kind"] == "pay"
            and decode_attempts
            and decode_attempts[-1]["t"] > decode_attempts[0]["t"] + DEDUPLICATION_WINDOW + SLACK
        ):
            self.add_violation("twice", "sent again after its deduplication window")

    def _check_held(self) -> None:
        """Check that the request's state is not held for longer than RELEASE_TIMEOUT without being used.

        The time does not count while an attempt that has arrived at an engine is unanswered.
        """
        since: float | None = None
        unanswered: dict[str, bool] = {}  # by engine: whether the unanswered attempt has arrived there
        held = False
        for event in self.events:
            what, engine = event["what"], event.get("engine", "")
            paused = any(unanswered.values())
            if held and not paused and since is not None and event["t"] - since > RELEASE_TIMEOUT + SLACK:
                self.add_violation("held", f"held for {event['t'] - since:.3f} s")
                return
            if what == "sent_whole":
                unanswered[engine] = False
            elif what == "arrived":
                unanswered[engine] = True
            elif what in ("node_got", "node_closed"):
                unanswered.pop(engine, None)
            elif what == "held":
                held = True
                self.verdict["held"].cases += 1
            elif what == "taken":
                held = False
            counts = held and not any(unanswered.values())
            since = (since if since is not None and not paused else event["t"]) if counts else None
        if held and since is not None:
            self.add_violation("held", "its state was neither used nor released")

    def _check_gone(self) -> None:
        self.verdict["gone"].cases += 1
        for event in self.all("sent"):
            if self.again is not None and event["t"] > self.again["t"]:
                continue
            if self.left is not None and event["t"] > self.left["t"] + DISCONNECT_GRACE + SLACK:
                self.add_violation(
                    "gone", f"sent {event['t'] - self.left['t']:.3f} s after its client had disconnected"
                )
            if self.answered is not None and event["t"] > self.answered["t"] + SLACK:
                self.add_violation("gone", "sent after its client had been answered")

    def _check_deadlines(self, request: Event) -> None:
        for event in self.all("sent"):
            self.verdict["deadline"].cases += 1
            sent_deadline = int(event["deadline"].removesuffix("u") or 0) / 1e6
            is_again = self.again is not None and event["t"] > self.again["t"]
            left = (self.again if is_again else request)["t"] + request["deadline"] - event["t"]  # type: ignore[index]
            if sent_deadline > left + DEADLINE_SLACK + SLACK / 3:
                self.add_violation(
                    "deadline", f"the engine got a deadline of {sent_deadline:.3f} s, {left:.3f} s are left"
                )


def _check_drains(events: list[Event], verdict: RuleVerdict) -> None:
    """Check that nodes send nothing to engines that they know are draining.

    A node knows of a drain from the endpoint list with which it started, or from a response of its agent.
    """
    changes = [event for event in events if event["what"] == "status"]
    known_since: dict[tuple[str, str], float] = {}  # by node and engine, of a drain
    for event in events:
        if event["what"] in ("told", "started"):  # a process starts with the list in its configuration
            for engine in {change["engine"] for change in changes}:
                last = [
                    change
                    for change in changes
                    if change["engine"] == engine and change["revision"] <= event["revision"]
                ]
                key = event["node"], engine
                if last and last[-1]["status"] != "active":
                    known_since.setdefault(key, event["t"])
                else:
                    known_since.pop(key, None)
        elif event["what"] == "sent":
            verdict.cases += 1
            since = known_since.get((event["node"], event["engine"]))
            if since is not None and event["t"] > since + DRAIN_GRACE + SLACK:
                verdict.add_violation(
                    f"{event['request']} sent by {event['node']} to {event['engine']} "
                    f"{event['t'] - since:.3f} s after the node was informed of the drain"
                )


def _check_alive(events: list[Event], verdict: RuleVerdict) -> None:
    for event in events:
        if event["what"] in ("started", "ready"):
            verdict.cases += 1
        if event["what"] in ("crashed", "not_started", "node_fault", "hung"):
            verdict.add_violation(str(event))
        if event["what"] == "ready" and event["took"] > MAX_START:
            verdict.add_violation(f"{event['node']} took {event['took']:.1f} s to become ready")


def _check_memory(events: list[Event], limit_mb: float, verdict: RuleVerdict) -> None:
    for event in events:
        if event["what"] == "memory":
            verdict.cases += 1
            if event["mb"] > limit_mb:
                verdict.add_violation(f"{event['node']} had {event['mb']} MB, {limit_mb:g} are allowed")


def _has_fault(faults: list[Event], engine: str, since: float, until: float) -> bool:
    """Return whether a fault that affects an engine may have broken a stream between `since` and `until`."""
    return any(
        engine in fault["engines"]
        and fault["kind"] in STREAM_BREAKING_FAULTS
        and fault["t"] < until
        and (fault["kind"] == "silent_after" or since < fault["t"] + fault["lasts"] + STREAM_SILENCE)
        for fault in faults
    )
