"""Judges a soak by the rules, from what the far ends saw. Each rule says how many cases it judged."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from runspool.lab.audit import RuleVerdict

Event = dict[str, Any]

SLACK = 0.15  # seconds: two processes' turns and this one's own lateness on a busy machine
HELD = 0.6  # seconds granted for letting go, with the platform's slack on sockets
GRACE = 0.3  # after an engine is told to drain, the same
GONE = 0.1  # after a client went
AFTER_TIME = 0.5  # after its time was up that an answer may come, and earns nothing
DEADLINE = 0.15  # that a deadline told to an engine may exceed what is left
WINDOW = 2.0  # for repeats of the class that may be repeated within one
READY = 10.0

RULES = ("lost", "twice", "drain", "held", "gone", "deadline", "foreign", "alive")


def judge(events: list[Event]) -> dict[str, RuleVerdict]:
    """The verdict by rule."""
    verdict = {rule: RuleVerdict() for rule in RULES}
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if "request" in event:
            by_request[event["request"]].append(event)
    ends = [event for event in events if event["what"] == "told_to_end"]
    for name, seen in by_request.items():
        _Request(name, seen, ends, verdict).judge()
    _drains(events, verdict["drain"])
    _alive(events, verdict["alive"])
    return verdict


class _Request:
    """One request's events, in order of time."""

    def __init__(
        self, name: str, seen: list[Event], ends: list[Event], verdict: dict[str, RuleVerdict]
    ) -> None:
        self.name, self.seen, self.ends, self.verdict = name, seen, ends, verdict
        self.asked = self.first("asked")
        self.left = self.first("left")
        self.answered = self.first("answered")

    def first(self, what: str) -> Event | None:
        return next((event for event in self.seen if event["what"] == what), None)

    def all(self, what: str) -> list[Event]:
        return [event for event in self.seen if event["what"] == what]

    def breaks(self, rule: str, text: str) -> None:
        trail = ", ".join(
            f"{event['t']:.3f} {event['what']}" + (f" {event['engine']}" if "engine" in event else "")
            for event in self.seen[:40]
        )
        self.verdict[rule].add_violation(f"{self.name}: {text} [{trail}]")

    def judge(self) -> None:
        self._foreign()
        if self.asked is None:
            return
        self._lost(self.asked)
        self._twice(self.asked)
        if not self._killed(self.asked):
            self._held()
        self._after_the_end()
        self._deadlines(self.asked)

    def _foreign(self) -> None:
        self.verdict["foreign"].cases += 1
        if self.asked is None and self.all("sent"):
            self.breaks("foreign", "sent on, and no client sent it whole")
        for event in self.all("arrived"):
            if self.asked is not None and event["body"] != self.asked["body"]:
                self.breaks("foreign", f"arrived as {event['body']!r}")
        if self.answered is not None and self.answered["how"] == "wrong":
            self.breaks("foreign", "answered with what no engine made for it")

    def _node_ended(self, asked: Event, until: float) -> bool:
        return any(
            end["node"] == asked["node"] and asked["t"] - 4.0 < end["t"] < until + SLACK for end in self.ends
        )

    def _killed(self, asked: Event) -> bool:
        """What a node held that was killed outright is nobody's to let go of any more."""
        return any(
            end["kill"] and end["node"] == asked["node"] and end["t"] > asked["t"] for end in self.ends
        )

    def _lost(self, asked: Event) -> None:
        if self.left is not None or self.answered is None:
            return
        self.verdict["lost"].cases += 1
        answered, begun = self.answered, self.first("begun")
        if self._node_ended(asked, answered["t"]):
            return  # its clients ask elsewhere
        took = (begun or answered)["t"] - asked["t"]
        if answered["how"] == "closed" and not (self.all("sent") or asked["new"]):
            return  # the end of a resting connection, crossed by a request that nobody read
        if answered["how"] in ("closed", "late") and begun is None:
            self.breaks("lost", f"no answer: {answered['how']}")
        elif took > asked["deadline"] + AFTER_TIME + SLACK:
            self.breaks("lost", f"answered {took:.2f} s after it was asked, {asked['deadline']} s allowed")
        elif answered["status"] not in (0, 200, 500, 503):
            self.breaks("lost", f"a sound request got {answered['status']}")

    def _twice(self, asked: Event) -> None:
        self.verdict["twice"].cases += 1
        ran = self.all("ran")
        if asked["kind"] == "book" and len(ran) > 1:
            self.breaks("twice", f"ran {len(ran)} times")
        if asked["kind"] == "book" and ran and self.answered is not None and self.answered["status"] == 503:
            self.breaks("twice", "refused, though it ran")
        declined = {event["engine"] for event in self.all("declined")}  # by its own word it never ran there
        writes = [
            event
            for event in self.all("sent_whole")
            if not event["engine"].startswith("prefill") and event["engine"] not in declined
        ]
        if asked["kind"] == "pay" and writes and writes[-1]["t"] > writes[0]["t"] + WINDOW + SLACK:
            self.breaks("twice", "sent again after its window")

    def _held(self) -> None:
        """The time runs while something is held and no attempt is out that has arrived."""
        since: float | None = None
        out: dict[str, bool] = {}  # engine: whether the attempt out there has arrived
        held = False
        for event in self.seen:
            what, engine = event["what"], event.get("engine", "")
            stopped = any(out.values())
            if held and not stopped and since is not None and event["t"] - since > HELD + SLACK:
                self.breaks("held", f"held for {event['t'] - since:.3f} s")
                return
            if what == "sent_whole":
                out[engine] = False
            elif what == "arrived":
                out[engine] = True
            elif what in ("node_got", "node_closed"):
                out.pop(engine, None)
            elif what == "held":
                held = True
                self.verdict["held"].cases += 1
            elif what == "taken":
                held = False
            runs = held and not any(out.values())
            since = (since if since is not None and not stopped else event["t"]) if runs else None
        if held and since is not None:
            self.breaks("held", "never taken and never let go of")

    def _after_the_end(self) -> None:
        self.verdict["gone"].cases += 1
        for event in self.all("sent"):
            if self.left is not None and event["t"] > self.left["t"] + GONE + SLACK:
                self.breaks("gone", f"sent {event['t'] - self.left['t']:.3f} s after its client went")
            if self.answered is not None and event["t"] > self.answered["t"] + SLACK:
                self.breaks("gone", "sent after its answer")

    def _deadlines(self, asked: Event) -> None:
        for event in self.all("sent"):
            self.verdict["deadline"].cases += 1
            told = int(event["deadline"].removesuffix("u") or 0) / 1e6
            left = asked["t"] + asked["deadline"] - event["t"]
            if told > left + DEADLINE + SLACK / 3:
                self.breaks("deadline", f"told {told:.3f} s, {left:.3f} s are left")


def _drains(events: list[Event], judged: RuleVerdict) -> None:
    """What a node was told by an answer of its agent counts from then on."""
    changes = [event for event in events if event["what"] == "status"]
    told: dict[tuple[str, str], float] = {}  # node, engine: since when it knows of the drain
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
                    told.setdefault(key, event["t"])
                else:
                    told.pop(key, None)
        elif event["what"] == "sent":
            judged.cases += 1
            since = told.get((event["node"], event["engine"]))
            if since is not None and event["t"] > since + GRACE + SLACK:
                judged.add_violation(
                    f"{event['request']} sent by {event['node']} to {event['engine']} "
                    f"{event['t'] - since:.3f} s after it was told of the drain"
                )


def _alive(events: list[Event], judged: RuleVerdict) -> None:
    for event in events:
        if event["what"] in ("started", "ready"):
            judged.cases += 1
        if event["what"] in ("crashed", "not_started", "node_fault", "hung"):
            judged.add_violation(str(event))
        if event["what"] == "ready" and event["took"] > READY:
            judged.add_violation(f"{event['node']} took {event['took']:.1f} s to be ready")
