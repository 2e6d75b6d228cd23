"""Checks a trial of a fleet: how soon nodes learned of changes, and how many calls they made in outages."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tests.fleet.plan import Backlog, Call, Change
from tests.fleet.trial import Outcome

# Longest time in seconds from the moment at which the agent has a change to the moment at which the node
# knows it. It applies where the agent answers, in order, the calls that it received in an outage.
MAX_DELIVERY_DELAY = 0.25
# Seconds that the node may need in addition to notice the end of an outage. They are granted where the agent
# answers none of the calls that it received in the outage, or answers the latest first.
MAX_RECOVERY_DETECTION = 1.0
# The backlogs for which MAX_RECOVERY_DETECTION is granted.
LATE_BACKLOGS = (Backlog.NONE, Backlog.DEAF, Backlog.RESET, Backlog.LAST_FIRST)
# The calls of one node that its agent may have to answer after an outage are at most the watch, one call for
# each second of the outage, and one more at its beginning and at its end.
CALLS_AT_ANY_OUTAGE = 3
CALLS_PER_SECOND_OF_OUTAGE = 1.0
STEP_LATENESS = 0.1  # seconds by which the agents' process may execute a step of the plan late
LONGEST_WAIT = 1.0  # seconds that the agent holds a watch, at most
READ_WITHIN = 0.3  # seconds after an outage within which an agent reads calls that it had left unread
MAX_CALLS_PER_SECOND = 10  # calls of one node within any second
MAX_CONNECTIONS = 8  # simultaneous connections of one node to its agent


@dataclass
class Verdict:
    """The violations found in a trial, by rule.

    Attributes:
        told: nodes that learned of a change too late, or sent to an engine too long after its drain began.
        debt: nodes that left their agent too many unanswered calls after an outage.
        calls: nodes that made too many calls in a second or held too many connections.
    """

    told: list[str] = field(default_factory=list)
    debt: list[str] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)

    @property
    def violation_counts(self) -> dict[str, int]:
        """The number of violations of each rule that was violated."""
        counts = {"told": len(self.told), "debt": len(self.debt), "calls": len(self.calls)}
        return {rule: count for rule, count in counts.items() if count}


def check_rules(outcome: Outcome) -> Verdict:
    """Check all rules on a trial and return the violations."""
    verdict = Verdict()
    for change in outcome.agents.changes:
        _check_change(outcome, change, verdict)
    _check_sends(outcome, verdict)
    for begin, end in outcome.agents.outages:
        _check_debt(outcome, begin, end, verdict)
    _check_calls(outcome, verdict)
    return verdict


def delivery_deadline(outcome: Outcome, change: Change) -> float:
    """Return the time by which nodes have to know of a change, before delays of the machine are added."""
    times = [change.known_at]
    if outcome.plan.backlog in LATE_BACKLOGS:
        times += [
            end + MAX_RECOVERY_DETECTION
            for _, end in outcome.agents.outages
            if end - STEP_LATENESS <= change.known_at
        ]
    return max(times) + MAX_DELIVERY_DELAY


def harness_fault(outcome: Outcome) -> str:
    """Return why a trial is invalid; empty if it is valid.

    It is invalid if the machine delayed an idle process for longer than the delay that the rules allow.
    """
    longest = max((end - begin for begin, end in outcome.lags), default=0.0)
    return (
        f"harness fault: an idle process was scheduled {longest:.3f} s late"
        if longest > MAX_DELIVERY_DELAY
        else ""
    )


def _check_sends(outcome: Outcome, verdict: Verdict) -> None:
    changes = {change.engine: change for change in outcome.agents.changes}
    for sent in outcome.sent:
        change = changes.get(sent.engine)
        if change is not None and sent.at > delivery_deadline(outcome, change) + _lag(
            outcome, change.known_at, sent.at
        ):
            late = sent.at - change.known_at
            verdict.told.append(
                f"the node of the agent at port {sent.node} sent a request to {sent.engine} {late:.3f} s "
                f"after its drain had begun"
            )


def _lag(outcome: Outcome, since: float, until: float) -> float:
    """Return for how many seconds between `since` and `until` the machine delayed an idle process."""
    return sum(end - begin for begin, end in outcome.lags if end > since and begin < until)


def _check_change(outcome: Outcome, change: Change, verdict: Verdict) -> None:
    due = delivery_deadline(outcome, change)
    for node, late in enumerate(outcome.lateness(change)):
        known_at = change.known_at + late
        if known_at > due + _lag(outcome, change.known_at, known_at):
            verdict.told.append(
                f"node {node} learned of version {change.version} {late:.3f} s after its agent"
            )


def _check_debt(outcome: Outcome, begin: float, end: float, verdict: Verdict) -> None:
    # Calls from before the previous outage do not count: the agent has answered or dropped them after it.
    since = max([begin - LONGEST_WAIT, *(other for _, other in outcome.agents.outages if other < begin)])
    unanswered = Counter(
        call.node
        for call in outcome.agents.calls
        if since < call.read_at < end and (call.answered_at is None or call.answered_at > begin)
    )
    if outcome.plan.backlog is Backlog.UNREAD:
        # The calls of the outage are read after it. They ask for the whole list, whereas a node that has been
        # answered makes watches only.
        unanswered += Counter(
            call.node
            for call in outcome.agents.calls
            if end <= call.read_at < end + READ_WITHIN and not call.is_watch
        )
    most = CALLS_AT_ANY_OUTAGE + CALLS_PER_SECOND_OF_OUTAGE * (end - begin)
    verdict.debt += [
        f"node {node}: {count} unanswered calls after an outage of {end - begin:.1f} s"
        for node, count in unanswered.items()
        if count > most
    ]


def _is_read_late(outcome: Outcome, call: Call) -> bool:
    """Return whether a call was made in an outage and only read after it, by an agent that reads late."""
    return outcome.plan.backlog is Backlog.UNREAD and any(
        end <= call.read_at < end + READ_WITHIN for _, end in outcome.agents.outages
    )


def _check_calls(outcome: Outcome, verdict: Verdict) -> None:
    by_node: dict[int, list[float]] = defaultdict(list)
    for call in outcome.agents.calls:
        if not _is_read_late(outcome, call):
            by_node[call.node].append(call.read_at)
    for node, times in by_node.items():
        times.sort()
        most = max(sum(at <= other < at + 1.0 for other in times) for at in times)
        if most > MAX_CALLS_PER_SECOND:
            verdict.calls.append(f"node {node}: {most} calls read in a second")
    verdict.calls += [
        f"node {node}: {most} simultaneous connections"
        for node, most in outcome.agents.most_connections.items()
        if most > MAX_CONNECTIONS
    ]
