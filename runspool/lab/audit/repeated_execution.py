"""Rule "no effect twice": a request is executed no more often than its request class allows."""

from __future__ import annotations

from itertools import pairwise

from runspool.lab.audit.history import KILLED, ClientAttemptRecord, EngineAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.lab.plan import EnginePlan, RequestClassPlan
from runspool.units import TENTHS_PER_MS

REJECTED = frozenset({"dismissed", "refused"})  # answer kinds that state that nothing was executed


def check_repeated_execution(history: History) -> RuleVerdict:
    """Check the rule on every request that reached an engine."""
    verdict = RuleVerdict()
    request_classes = {row.name: row for row in history.plan.request_classes}
    engines = {engine.spec.name: engine for engine in history.plan.engines}
    for request, attempts in history.attempts_by_request().items():
        request_class = request_classes[attempts[0].asked["tariff"]]
        verdict.cases += any(attempt.engine_attempts for attempt in attempts)
        if request_class.idempotency == "exclusive":
            _check_at_most_once(verdict, request, attempts)
        elif request_class.idempotency == "ticketed":
            keyed = _KeyedRule(verdict, history, request, request_class, engines)
            for attempt in attempts:
                keyed.check(attempt)
        for attempt in attempts:
            _check_overlap(verdict, history, request, attempt)
    return verdict


def _check_at_most_once(verdict: RuleVerdict, request: str, attempts: list[ClientAttemptRecord]) -> None:
    executions = sum(engine_attempt.ran for attempt in attempts for engine_attempt in attempt.engine_attempts)
    if executions > 1:
        verdict.add_violation(f"{request}: at most one execution is allowed, but it ran {executions} times")
    for attempt in attempts:
        decodes = attempt.decode_attempts
        for earlier, later in pairwise(decodes):
            if earlier.may_have_run:
                verdict.add_violation(
                    f"{request}: at most one execution is allowed, but it was sent to {later.engine} after "
                    f"{earlier.engine} may have run it ({earlier.end_status})"
                )
        if attempt.answer_kind in REJECTED and any(decode.may_have_run for decode in decodes):
            verdict.add_violation(f"{request}: rejected as not executed, although an engine may have run it")


class _KeyedRule:
    """The rule for a request with a deduplication key, which may be repeated in its scope and window only."""

    def __init__(
        self,
        verdict: RuleVerdict,
        history: History,
        request: str,
        request_class: RequestClassPlan,
        engines: dict[str, EnginePlan],
    ) -> None:
        self.verdict = verdict
        self.request = request
        self.scope = request_class.deduplication_scope
        self.window = request_class.deduplication_window + history.tolerance.observation_delay
        self.engines = engines

    def check(self, attempt: ClientAttemptRecord) -> None:
        """Check one attempt of the client."""
        decodes = attempt.decode_attempts
        first = next((decode for decode in decodes if decode.may_have_run), None)
        if first is None:
            return
        for decode in decodes[decodes.index(first) + 1 :]:
            self._check_repeat(first, decode)
        if self.scope != "all" and attempt.answer_kind in REJECTED:
            self.verdict.add_violation(
                f"{self.request}: rejected as not executed, although an engine may have run it and "
                f"deduplication does not extend to all engines"
            )

    def _check_repeat(self, first: EngineAttemptRecord, repeat: EngineAttemptRecord) -> None:
        if not self._in_scope(first.engine, repeat.engine):
            self.verdict.add_violation(
                f"{self.request}: sent again to {repeat.engine}, outside the deduplication scope of "
                f"{first.engine}"
            )
        delay = repeat.arrived_at - first.arrived_at
        if delay > self.window:
            self.verdict.add_violation(
                f"{self.request}: sent again {delay / TENTHS_PER_MS:.0f} ms after the first attempt, "
                f"outside the deduplication window"
            )

    def _in_scope(self, first: str, repeat: str) -> bool:
        if self.scope == "all":
            return True
        first_spec = self.engines[first].spec
        repeat_spec = self.engines[repeat].spec
        if repeat_spec.zone != first_spec.zone:
            return False
        return self.scope == "zone" or repeat_spec.rack == first_spec.rack


def _check_overlap(
    verdict: RuleVerdict, history: History, request: str, attempt: ClientAttemptRecord
) -> None:
    """Check that a front had the request at one engine at a time."""
    by_arrival = sorted(attempt.engine_attempts, key=lambda engine_attempt: engine_attempt.arrived_at)
    for earlier, later in pairwise(by_arrival):
        if earlier.ended_at is None or earlier.end_status == KILLED:
            continue
        if later.arrived_at < earlier.ended_at - history.tolerance.observation_delay:
            verdict.add_violation(f"{request}: at {earlier.engine} and {later.engine} at the same time")
