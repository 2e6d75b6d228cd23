"""Judges a soak by its rules, from the recorded events; each rule counts the cases that it judged.

The names of the rules are printed and parsed: lost (no, late or wrong response), twice (repeated in spite of
its class), drain, held (state not released), gone (sent after its client or its response), deadline, foreign
(sent or answered with other contents), alive (processes that start and stay).
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from runspool.lab.audit import RuleVerdict

Event = dict[str, Any]

SLACK = 0.15  # seconds: two processes' turns and this one's own lateness on a busy machine
RELEASE_GRANT = 0.6  # seconds granted for a release, with the platform's slack on sockets
DRAIN_GRACE = 0.3  # after a node has learned of a drain, the same
DISCONNECT_GRACE = 0.1  # after a client has disconnected
LATE_RESPONSE = 0.5  # after the deadline that a response may still come, and earns nothing
DEADLINE_SLACK = 0.15  # by which a deadline sent to an engine may exceed what is left
DEDUPLICATION_WINDOW = 2.0  # for repeats of the class that may be repeated within one
MAX_START = 10.0

RULES = ("lost", "twice", "drain", "held", "gone", "deadline", "foreign", "alive")


def judge(events: list[Event]) -> dict[str, RuleVerdict]:
    """Return the verdict by rule."""
    verdict = {rule: RuleVerdict() for rule in RULES}
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if "request" in event:
            by_request[event["request"]].append(event)
    ends = [event for event in events if event["what"] == "told_to_end"]
    for name, request_events in by_request.items():
        _JudgedRequest(name, request_events, ends, verdict).judge()
    _judge_drains(events, verdict["drain"])
    _judge_alive(events, verdict["alive"])
    return verdict


class _JudgedRequest:
    """One request's events, in order of time."""

    def __init__(
        self, name: str, events: list[Event], ends: list[Event], verdict: dict[str, RuleVerdict]
    ) -> None:
        self.name, self.events, self.ends, self.verdict = name, events, ends, verdict
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

    def _node_ended(self, request: Event, until: float) -> bool:
        return any(
            end["node"] == request["node"] and request["t"] - 4.0 < end["t"] < until + SLACK
            for end in self.ends
        )

    def _killed(self, request: Event) -> bool:
        """Whether its node was killed outright, so that nobody is left to release what it held."""
        return any(
            end["kill"] and end["node"] == request["node"] and end["t"] > request["t"] for end in self.ends
        )

    def _judge_lost(self, request: Event) -> None:
        if self.left is not None or self.answered is None:
            return
        self.verdict["lost"].cases += 1
        answered, begun = self.answered, self.first("begun")
        if self._node_ended(request, answered["t"]):
            return  # its clients ask another node
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
    """A drain counts from the response of its agent on by which a node learned of it."""
    changes = [event for event in events if event["what"] == "status"]
    known_since: dict[tuple[str, str], float] = {}  # by node and engine, of a drain
    for event in events:
        if event["what"] == "told":
            for engine in {change["engine"] for change in changes}:
                last = [
                    change
                    for change in changes
                    if change["engine"] == engine and change["version"] <= event["version"]
                ]
                key = event["node"], engine
                if last and last[-1]["status"] == "leaving":
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
