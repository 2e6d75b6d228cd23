"""Judges the five rules from a recording alone: what clients, engines and the list saw, not the fronts.

Each rule counts the cases that it judged, so that a day on which a rule was never at stake shows as such.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

import msgspec

from runspool.lab.model import SLACK_WORK
from runspool.lab.plan import EnginePlan, Plan, RequestClassPlan
from runspool.lab.recording import Event, UnreadableRecordingError

EXAMPLES = 20

RULES = ("no query lost", "no effect twice", "drains kept", "cold engines not pushed over", "nothing pinned")
NEVER_RAN = {"full", "stateless"}
UNANSWERED = {"lost", "none"}


@dataclass(frozen=True, slots=True)
class Slack:
    """What a recording's own delays excuse, in tenths of a millisecond."""

    late: int = 500  # an answer this much after the limit is late by the reader's own doing
    seen: int = 1_500  # between what a front does and what the far end records of it
    left: int = 3_000  # until a front can have seen that its client went
    unseen: int = 2  # times to let go in a row, where a shot to an engine that was down left no trace


SOCKETS = Slack()
EXACT = Slack(0, 0, 0, 1)  # for one simulated clock, with every shot seen


@dataclass(slots=True)
class Judged:
    """One rule over one recording."""

    cases: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def breaks(self, text: str) -> None:
        self.broken += 1
        if len(self.examples) < EXAMPLES:
            self.examples.append(text)


@dataclass(slots=True)
class ShotSeen:
    """One request as its engine saw it."""

    request: str
    engine: str
    front: str
    stage: str
    at: int
    tariff: str
    try_: str
    ended: int | None = None
    how: str = ""
    ran: bool = False

    @property
    def may_have_run(self) -> bool:
        return self.stage == "write" and (self.ran or self.how not in NEVER_RAN)


@dataclass(slots=True)
class TrySeen:
    """One try as its client saw it."""

    asked: Event
    sent: int | None = None
    first: int | None = None
    end: Event | None = None
    answer: Event | None = None
    extra: bool = False
    gap: bool = False
    shots: list[ShotSeen] = field(default_factory=list)


@dataclass(slots=True)
class History:
    """A recording, sorted by whom it concerns."""

    plan: Plan
    events: list[Event]
    slack: Slack = SOCKETS
    tries: dict[str, TrySeen] = field(default_factory=dict)
    shots: dict[str, ShotSeen] = field(default_factory=dict)
    front_kills: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_kills: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    engine_ups: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    told: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    last: int = 0


def history(events: list[Event], slack: Slack = SOCKETS) -> History:
    """Raises Unreadable where the recording has no plan or names what it never introduced."""
    day = next((event for event in events if event["what"] == "day"), None)
    if day is None:
        raise UnreadableRecordingError("the recording has no day line")
    try:
        found = History(msgspec.convert(day["plan"], Plan), events, slack)
    except (msgspec.ValidationError, KeyError) as fault:
        raise UnreadableRecordingError(f"its day line: {fault}") from None
    sources = {front.source: front.name for front in found.plan.fronts}
    for number, event in enumerate(events, 1):
        try:
            _sort(found, event, sources)
        except KeyError as fault:
            raise UnreadableRecordingError(f"event {number} ({event['what']}): no {fault}") from None
    found.last = max((event["t"] for event in events), default=0)
    return found


def _sort(found: History, event: Event, sources: dict[str, str]) -> None:
    at = event["t"]
    match event["what"]:
        case "asked":
            found.tries[event["try"]] = TrySeen(event)
        case "sent":
            found.tries[event["try"]].sent = at
        case "first":
            found.tries[event["try"]].first = at
        case "end":
            found.tries[event["try"]].end = event
        case "answer":
            seen = found.tries[event["try"]]
            if seen.answer is not None:
                seen.extra = True
            else:
                seen.answer = event
        case "extra":
            found.tries[event["try"]].extra = True
        case "gap":
            found.tries[event["try"]].gap = True
        case "arrived":
            shot = ShotSeen(
                event["request"],
                event["engine"],
                sources.get(event["peer"], str(event["peer"])),
                event["stage"],
                event["head"],
                event["tariff"],
                event["try"],
            )
            found.shots[shot.request] = shot
            if shot.try_ in found.tries:
                found.tries[shot.try_].shots.append(shot)
        case "ended":
            shot = found.shots[event["request"]]
            shot.ended, shot.how = at, event["how"]
        case "ran":
            found.shots[event["request"]].ran = True
        case "killed":
            if "front" in event:
                found.front_kills[event["front"]].append(at)
            if "engine" in event:
                found.engine_kills[event["engine"]].append(at)
        case "fell":
            found.engine_kills[event["engine"]].append(at)
        case "engine_up":
            found.engine_ups[event["engine"]].append(event)
        case "told":
            found.told[event["front"]].append(event)


def audit(events: list[Event], slack: Slack = SOCKETS) -> dict[str, Judged]:
    """Judges all five rules; raises Unreadable on a recording that cannot be judged."""
    return judge(history(events, slack))


def judge(found: History) -> dict[str, Judged]:
    """Judges all five rules of a recording that has been sorted already."""
    _close_killed(found)
    return dict(
        zip(RULES, (_lost(found), _twice(found), _drains(found), _pushed(found), _pinned(found)), strict=True)
    )


def _close_killed(found: History) -> None:
    """A shot whose engine was killed ended then, and may have run."""
    for shot in found.shots.values():
        if shot.ended is None:
            kills = [at for at in found.engine_kills[shot.engine] if at >= shot.at]
            shot.ended, shot.how = min(kills, default=found.last), "killed"


def _killed_between(found: History, front: str, start: int, end: int) -> bool:
    return any(start <= at <= end for at in found.front_kills[front])


# Rule 1.


def _lost(found: History) -> Judged:
    judged = Judged()
    for name, seen in found.tries.items():
        asked, answer = seen.asked, seen.answer
        if seen.sent is None:
            continue
        end = answer["at"] if answer else found.last
        kind = answer["kind"] if answer else "none"
        limit = asked["t"] + asked["limit"]
        if kind in UNANSWERED and _killed_between(
            found,
            asked["front"],
            asked["t"] - found.slack.seen,
            end if seen.first is not None else min(end, limit),
        ):
            continue  # what a killed front held is no longer its duty; what it owed before, it was
        judged.cases += 1
        if kind in UNANSWERED:
            judged.breaks(f"{name}: no final answer ({kind} {answer['code'] if answer else ''})")
        elif kind != "left" and (seen.first if seen.first is not None else end) > limit + found.slack.late:
            late = (seen.first if seen.first is not None else end) - limit
            judged.breaks(f"{name}: {kind} came {late / 10:.0f} ms after the client's time was up")
        if seen.extra:
            judged.breaks(f"{name}: something came after its final answer")
        if seen.gap:
            judged.breaks(f"{name}: its stream has a gap or a repeat")
        slack = found.slack.left if kind == "left" else found.slack.seen
        for shot in seen.shots:
            if answer and shot.at > end + slack:
                judged.breaks(f"{name}: sent to {shot.engine} {(shot.at - end) / 10:.0f} ms after its end")
    return judged


# Rule 2.


def _twice(found: History) -> Judged:
    judged = Judged()
    rows = {row.name: row for row in found.plan.tariffs}
    engines = {one.make.name: one for one in found.plan.engines}
    items: dict[str, list[TrySeen]] = defaultdict(list)
    for seen in found.tries.values():
        items[seen.asked["item"]].append(seen)
    for item, tries in items.items():
        row = rows[tries[0].asked["tariff"]]
        shots = [shot for seen in tries for shot in seen.shots]
        judged.cases += bool(shots)
        if row.effect == "exclusive":
            _exclusive(judged, item, tries, shots)
        elif row.effect == "ticketed":
            for seen in tries:
                _ticketed(judged, item, seen, row, engines, found.slack.seen)
        for seen in tries:
            for one, two in pairwise(sorted(seen.shots, key=lambda shot: shot.at)):
                if one.ended is not None and two.at < one.ended - found.slack.seen and one.how != "killed":
                    judged.breaks(f"{item}: out at {one.engine} and {two.engine} at once")
    return judged


def _exclusive(judged: Judged, item: str, tries: list[TrySeen], shots: list[ShotSeen]) -> None:
    if sum(shot.ran for shot in shots) > 1:
        judged.breaks(f"{item}: exclusive, and it ran {sum(shot.ran for shot in shots)} times")
    for seen in tries:
        writes = sorted((shot for shot in seen.shots if shot.stage == "write"), key=lambda shot: shot.at)
        for one, two in pairwise(writes):
            if one.may_have_run:
                judged.breaks(
                    f"{item}: exclusive, sent to {two.engine} after {one.engine} may have run it ({one.how})"
                )
        kind = seen.answer["kind"] if seen.answer else ""
        if kind in ("dismissed", "refused") and any(shot.may_have_run for shot in writes):
            judged.breaks(f"{item}: exclusive, dismissed though it may have run")


def _ticketed(
    judged: Judged,
    item: str,
    seen: TrySeen,
    row: RequestClassPlan,
    engines: dict[str, EnginePlan],
    slack: int,
) -> None:
    writes = sorted((shot for shot in seen.shots if shot.stage == "write"), key=lambda shot: shot.at)
    ran = next((shot for shot in writes if shot.may_have_run), None)
    if ran is None:
        return
    home = engines[ran.engine].make
    for shot in writes[writes.index(ran) + 1 :]:
        there = engines[shot.engine].make
        near = there.zone == home.zone and (row.group == "zone" or there.rack == home.rack)
        if row.group != "all" and not near:
            judged.breaks(f"{item}: ticketed, sent to {shot.engine} outside the group of {ran.engine}")
        if shot.at > ran.at + row.window + slack:
            judged.breaks(f"{item}: ticketed, sent again {(shot.at - ran.at) / 10:.0f} ms after the first")
    if row.group != "all" and seen.answer and seen.answer["kind"] in ("dismissed", "refused"):
        judged.breaks(f"{item}: ticketed, dismissed though it may have run in a group")


# Rule 3.


def _drains(found: History) -> Judged:
    judged = Judged()
    grace = found.plan.drain_grace + found.slack.seen
    for front in found.plan.fronts:
        news = _news(found, front.name)
        for engine, lines in news.items():
            judged.cases += sum(state != "on" for _, state in lines)
            times = [at for at, _ in lines]
            for shot in found.shots.values():
                if shot.front != front.name or shot.engine != engine:
                    continue
                # Whatever was told within the grace may still have been underway; only older news binds.
                known = lines[: bisect_right(times, shot.at)]
                if not known or known[-1][1] == "on":
                    continue
                since = known[-1][0]
                for at, state in reversed(known):
                    if state == "on":
                        break
                    since = at
                if shot.at > since + grace:
                    judged.breaks(
                        f"{shot.request}: {front.name} sent to {engine} "
                        f"{(shot.at - since) / 10:.0f} ms after it was told of its drain"
                    )
    return judged


def _news(found: History, front: str) -> dict[str, list[tuple[int, str]]]:
    """What a front was told of each engine: time and state. A killed front has forgotten it. Changes that
    were overtaken by newer ones, or come twice, say nothing."""
    lines: dict[str, list[tuple[int, str]]] = defaultdict(list)
    versions: dict[str, int] = {}
    changes = [(event["t"], event) for event in found.told[front]]
    changes += [(at, {}) for at in found.front_kills[front]]
    for at, event in sorted(changes, key=lambda change: change[0]):
        if not event:
            for told in lines.values():
                told.append((at, "on"))
            versions.clear()
            continue
        named = {engine: state for engine, state, _ in event["engines"]}
        for engine in [*lines] if event["whole"] else []:
            if engine not in named and lines[engine][-1][1] != "gone":
                lines[engine].append((at, "gone"))
        for engine, state in named.items():
            if not event["whole"] and event["version"] <= versions.get(engine, -1):
                continue
            versions[engine] = event["version"]
            if not lines[engine] or lines[engine][-1][1] != state:
                lines[engine].append((at, state))
    return lines


# Rule 4.


def _pushed(found: History) -> Judged:
    judged = Judged()
    for engine, ups in found.engine_ups.items():
        for up in ups:
            if up["cold"]:
                _cold_start(judged, found, engine, up)
    return judged


def _cold_start(judged: Judged, found: History, engine: str, up: Event) -> None:
    start, cold, window = up["t"], up["cold_time"], up["fall_time"]
    work = sorted(
        (
            (shot.at, up["work"].get(shot.tariff, 0.0), shot.front)
            for shot in found.shots.values()
            if shot.engine == engine and start <= shot.at <= start + cold and shot.stage != "knock"
        ),
        key=lambda one: one[0],
    )
    judged.cases += 1
    slack = SLACK_WORK * max(up["work"].values(), default=0.0)
    for last, (at, _, _) in enumerate(work):
        inside = [one for one in work[: last + 1] if one[0] > at - window]
        total = sum(weight for _, weight, _ in inside)
        warmth = min(1.0, up["cold_from"] + (1 - up["cold_from"]) * (at - start) / max(1, cold))
        if total <= up["multiple"] * warmth * window + slack:
            continue
        told = sum(
            weight for when, weight, front in inside if _told_of_start(found, front, engine, start, when)
        )
        if told >= total * 2 / 3:
            judged.breaks(f"{engine}: sent {total / window:.1f} of its full strength while at {warmth:.2f}")
            return


def _told_of_start(found: History, front: str, engine: str, start: int, when: int) -> bool:
    return any(
        start <= event["t"] <= when
        and any(name == engine and state == "on" for name, state, _ in event["engines"])
        for event in found.told[front]
    )


# Rule 5.


def _pinned(found: History) -> Judged:
    judged = Judged()
    held: dict[str, Event] = {}
    for event in found.events:
        if event["what"] == "held":
            held[event["state"]] = event
        elif event["what"] in ("taken", "released", "dropped", "expired"):
            start = held.pop(event["state"], None)
            if start is not None:
                # A hung engine lets go late of what it was told in time.
                end: int = event["told"] if "told" in event else event["t"]
                _state(judged, found, start, end, event["what"])
    for start in held.values():
        _state(judged, found, start, found.last, "never let go")
    return judged


def _state(judged: Judged, found: History, start: Event, end: int, how: str) -> None:
    shot, seen = found.shots.get(start["state"]), found.tries.get(start["try"])
    if shot is None or seen is None:
        return
    # Once the front or the engine is killed nobody is left to let it go; until then it was somebody's duty.
    kills = [*found.engine_kills[start["engine"]], *found.front_kills[shot.front]]
    end = min([end, *(at for at in kills if at >= start["t"] - found.slack.seen)])
    judged.cases += 1
    free = start["t"]
    longest = 0
    spans = sorted((one.at, one.ended or end) for one in seen.shots if one.at >= start["t"])
    for began, ended in spans:
        if began > free:
            longest = max(longest, began - free)
        free = max(free, ended)
    longest = max(longest, end - free)
    # A shot at an engine that was down leaves no trace there, yet its outcome starts the time anew.
    seen_by = found.slack.seen
    down = any(
        start["t"] - seen_by <= at + 20 * seen_by and at <= end
        for kills in found.engine_kills.values()
        for at in kills
    )
    allowed = found.plan.release_within * (found.slack.unseen if down else 1) + seen_by
    if longest > allowed:
        judged.breaks(
            f"{start['state']}: held at {start['engine']} for {longest / 10:.0f} ms with no shot out ({how})"
        )
