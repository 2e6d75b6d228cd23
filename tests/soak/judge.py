"""Judges a soak by its rules, from the recorded events; each rule counts the cases that it judged.

The names of the rules are printed and parsed: lost (no, late or wrong response), stopped (left by a node that
was told to end), twice (repeated in spite of its class), drain, held (state not released), gone (sent after
its client or its response), deadline, foreign (sent or answered with other contents), alive (processes that
start and stay), calls (to the agent of the endpoint list, too many).
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf
from typing import Any

from runspool.lab.audit import RuleVerdict
from tests.soak.agent_judge import DRAIN_GRACE, judge_agents

Event = dict[str, Any]

SLACK = 0.15  # seconds: two processes' turns and this one's own lateness on a busy machine
RELEASE_GRANT = 0.6  # seconds granted for a release, with the platform's slack on sockets
DISCONNECT_GRACE = 0.1  # after a client has disconnected
LATE_RESPONSE = 0.5  # after the deadline that a response may still come, and earns nothing
DEADLINE_SLACK = 0.15  # by which a deadline sent to an engine may exceed what is left
DEDUPLICATION_WINDOW = 2.0  # for repeats of the class that may be repeated within one
MAX_START = 10.0

OWED_FROM = 0.7  # after SIGTERM: what comes later may not be open at the kill
CONNECTING_UNTIL = 0.4  # after SIGTERM, that clients open new connections
STREAM_SILENCE = 5.0  # after which a client counts its stream as broken

RULES = ("lost", "stopped", "twice", "drain", "held", "gone", "deadline", "foreign", "alive", "calls")


def judge(events: list[Event], resumable: bool = True) -> dict[str, RuleVerdict]:
    """Return the verdict by rule; `resumable` is as in Conditions."""
    verdict = {rule: RuleVerdict() for rule in RULES}
    stops = _stops(events)
    faults = [event for event in events if event["what"] == "fault"]
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if "request" in event:
            by_request[event["request"]].append(event)
    for name, request_events in by_request.items():
        judged = _JudgedRequest(name, request_events, stops, verdict)
        judged.judge()
        judged.judge_cut_stream(resumable, faults)
    _judge_drains(events, verdict["drain"])
    judge_agents(events, verdict["drain"], verdict["calls"], SLACK)
    _judge_alive(events, verdict["alive"])
    return verdict


@dataclass
class _Stop:
    """One end of a node's process: when it was told to, was killed, and had ended."""

    node: str
    told_at: float | None = None  # by SIGTERM
    killed_at: float | None = None
    ended_at: float = inf


def _stops(events: list[Event]) -> list[_Stop]:
    """Return the ends of all processes, in the order in which they were first told to end."""
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
            elif stop.told_at is None:
                stop.told_at = event["t"]
        elif event["what"] == "ended" and event["node"] in open_stops:
            open_stops.pop(event["node"]).ended_at = event["t"]
    return stops


class _JudgedRequest:
    """One request's events, in order of time."""

    def __init__(
        self, name: str, events: list[Event], stops: list[_Stop], verdict: dict[str, RuleVerdict]
    ) -> None:
        self.name, self.events, self.stops, self.verdict = name, events, stops, verdict
        self.request = self.first("asked")
        self.left = self.first("left")
        self.answered = self.first("answered")

    def first(self, what: str) -> Event | None:
        """Return the first event of a kind."""
        return next((event for event in self.events if event["what"] == what), None)

    def all(self, what: str) -> list[Event]:
        """Return all events of a kind."""
        return [event for event in self.events if event["what"] == what]

    def add_violation(self, rule: str, text: str) -> None:
        """Record a violation with the request's first events."""
        trail = ", ".join(
            f"{event['t']:.3f} {event['what']}" + (f" {event['engine']}" if "engine" in event else "")
            for event in self.events[:40]
        )
        self.verdict[rule].add_violation(f"{self.name}: {text} [{trail}]")

    def judge(self) -> None:
        """Judge all rules that are about single requests."""
        self._judge_foreign()
        if self.request is None:
            return
        self._judge_lost(self.request)
        self._judge_twice(self.request)
        if not self._killed(self.request):
            self._judge_held()
        self._judge_gone()
        self._judge_deadlines(self.request)

    def _judge_foreign(self) -> None:
        self.verdict["foreign"].cases += 1
        if self.request is None and self.all("sent"):
            self.add_violation("foreign", "sent on, and no client sent it whole")
        for event in self.all("arrived"):
            if self.request is not None and event["body"] != self.request["body"]:
                self.add_violation("foreign", f"arrived as {event['body']!r}")
        if self.answered is not None and self.answered["how"] == "wrong":
            self.add_violation("foreign", "answered with what no engine made for it")

    def _stop_of(self, request: Event) -> _Stop | None:
        """The end of the process that has taken the request, if it was open then; None where it was not."""
        until = inf if self.answered is None else self.answered["t"]
        for stop in self.stops:
            begins = min(time for time in (stop.told_at, stop.killed_at) if time is not None)
            if (
                stop.node == request["node"]
                and begins < until + SLACK
                and request["t"] < stop.ended_at + SLACK
            ):
                return stop
        return None

    def _killed(self, request: Event) -> bool:
        """Whether its node was killed, so that nobody is left to release what it held."""
        return any(
            stop.node == request["node"] and stop.killed_at is not None and stop.killed_at > request["t"]
            for stop in self.stops
        )

    def _judge_stopped(self, request: Event, answered: Event, stop: _Stop) -> None:
        """What a node had taken as it was told to end; a process killed outright owes nothing."""
        if stop.told_at is None:
            return
        self.verdict["stopped"].cases += 1
        after_signal = request["t"] - stop.told_at
        by_kill = stop.killed_at is not None and answered["t"] >= stop.killed_at
        begun = self.first("begun") is not None
        if answered["how"] not in ("closed", "cut", "late"):
            return
        if by_kill and after_signal > OWED_FROM:
            self.add_violation("stopped", f"open at the kill, sent {after_signal:.3f} s after SIGTERM")
        elif not by_kill and not begun and not self._crossed(request, after_signal):
            self.add_violation(
                "stopped", f"no answer: {answered['how']}, sent {after_signal:.3f} s after SIGTERM"
            )

    def _crossed(self, request: Event, after_signal: float) -> bool:
        """Whether a request that nobody received crossed the end of its connection."""
        return not self.all("sent") and (not request["new"] or after_signal > CONNECTING_UNTIL)

    def judge_cut_stream(self, resumable: bool, faults: list[Event]) -> None:
        """Where clients do not ask for the rest, a stream may not be cut while its events still come."""
        request, begun, answered = self.request, self.first("begun"), self.answered
        if resumable or request is None or begun is None or answered is None or answered["how"] != "cut":
            return
        stop = self._stop_of(request)
        by_kill = stop is not None and stop.killed_at is not None and answered["t"] >= stop.killed_at
        engine = self.all("ran")[-1]["engine"]
        if not by_kill and not _has_fault(faults, engine, begun["t"], answered["t"]):
            self.add_violation("lost", "cut, though its events still came")

    def _judge_lost(self, request: Event) -> None:
        if self.left is not None or self.answered is None:
            return
        self.verdict["lost"].cases += 1
        answered, begun = self.answered, self.first("begun")
        stop = self._stop_of(request)
        if stop is not None:
            self._judge_stopped(request, answered, stop)
            if answered["how"] in ("closed", "late"):
                return
        took = (begun or answered)["t"] - request["t"]
        if answered["how"] == "closed" and not (self.all("sent") or request["new"]):
            return  # the end of an idle connection, crossed by a request that nobody received
        if answered["how"] in ("closed", "late") and begun is None:
            self.add_violation("lost", f"no answer: {answered['how']}")
        elif took > request["deadline"] + LATE_RESPONSE + SLACK:
            self.add_violation(
                "lost", f"answered {took:.2f} s after it was asked, {request['deadline']} s allowed"
            )
        elif answered["status"] not in (0, 200, 500, 503):
            self.add_violation("lost", f"a sound request got {answered['status']}")

    def _judge_twice(self, request: Event) -> None:
        self.verdict["twice"].cases += 1
        ran = self.all("ran")
        if request["kind"] == "book" and len(ran) > 1:
            self.add_violation("twice", f"ran {len(ran)} times")
        if request["kind"] == "book" and ran and self.answered is not None and self.answered["status"] == 503:
            self.add_violation("twice", "refused, though it ran")
        declined = {event["engine"] for event in self.all("declined")}  # it did not execute there
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
            self.add_violation("twice", "sent again after its window")

    def _judge_held(self) -> None:
        """Time counts while state is held and no attempt that has arrived is unanswered."""
        since: float | None = None
        unanswered: dict[str, bool] = {}  # by engine: whether the attempt there has arrived
        held = False
        for event in self.events:
            what, engine = event["what"], event.get("engine", "")
            paused = any(unanswered.values())
            if held and not paused and since is not None and event["t"] - since > RELEASE_GRANT + SLACK:
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
            self.add_violation("held", "never taken and never let go of")

    def _judge_gone(self) -> None:
        self.verdict["gone"].cases += 1
        for event in self.all("sent"):
            if self.left is not None and event["t"] > self.left["t"] + DISCONNECT_GRACE + SLACK:
                self.add_violation("gone", f"sent {event['t'] - self.left['t']:.3f} s after its client went")
            if self.answered is not None and event["t"] > self.answered["t"] + SLACK:
                self.add_violation("gone", "sent after its answer")

    def _judge_deadlines(self, request: Event) -> None:
        for event in self.all("sent"):
            self.verdict["deadline"].cases += 1
            sent_deadline = int(event["deadline"].removesuffix("u") or 0) / 1e6
            left = request["t"] + request["deadline"] - event["t"]
            if sent_deadline > left + DEADLINE_SLACK + SLACK / 3:
                self.add_violation("deadline", f"told {sent_deadline:.3f} s, {left:.3f} s are left")


def _judge_drains(events: list[Event], judged: RuleVerdict) -> None:
    """A drain counts from the list with which a node started, or the response by which it learned of it."""
    changes = [event for event in events if event["what"] == "status"]
    known_since: dict[tuple[str, str], float] = {}  # by node and engine, of a drain
    for event in events:
        if event["what"] in ("told", "started"):  # a process starts with the list of its configuration
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
            judged.cases += 1
            since = known_since.get((event["node"], event["engine"]))
            if since is not None and event["t"] > since + DRAIN_GRACE + SLACK:
                judged.add_violation(
                    f"{event['request']} sent by {event['node']} to {event['engine']} "
                    f"{event['t'] - since:.3f} s after it was told of the drain"
                )


def _judge_alive(events: list[Event], judged: RuleVerdict) -> None:
    for event in events:
        if event["what"] in ("started", "ready"):
            judged.cases += 1
        if event["what"] in ("crashed", "not_started", "node_fault", "hung"):
            judged.add_violation(str(event))
        if event["what"] == "ready" and event["took"] > MAX_START:
            judged.add_violation(f"{event['node']} took {event['took']:.1f} s to be ready")


def _has_fault(faults: list[Event], engine: str, since: float, until: float) -> bool:
    """Whether a fault at an engine may have broken a stream there."""
    return any(
        engine in fault["engines"]
        and fault["t"] < until
        and (fault["kind"] == "silent_after" or since < fault["t"] + fault["lasts"] + STREAM_SILENCE)
        for fault in faults
    )
