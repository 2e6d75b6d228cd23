"""Rule "no query lost": every request sent gets one final answer in time, and nothing follows it."""

from __future__ import annotations

from runspool.lab.audit.history import NO_ANSWER, ClientAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.units import TENTHS_PER_MS

UNANSWERED = frozenset({"lost", NO_ANSWER})
DISCONNECTED = "left"  # the kind of answer of a client that disconnected by itself


def judge_lost_requests(history: History) -> RuleVerdict:
    """Judge the rule on every request that its client sent whole.

    Requests that a killed front held are not judged; what it owed before its kill is.
    """
    verdict = RuleVerdict()
    for name, attempt in history.client_attempts.items():
        if attempt.sent_at is None or _was_lost_with_its_front(history, attempt):
            continue
        verdict.cases += 1
        _judge_answer(verdict, history, name, attempt)
        if attempt.has_trailing_data:
            verdict.add_violation(f"{name}: something came after its final answer")
        if attempt.has_stream_gap:
            verdict.add_violation(f"{name}: its stream has a gap or a repeat")
        _judge_attempts_after_the_end(verdict, history, name, attempt)
    return verdict


def _deadline(attempt: ClientAttemptRecord) -> int:
    deadline: int = attempt.asked["t"] + attempt.asked["limit"]
    return deadline


def _answered_at(history: History, attempt: ClientAttemptRecord) -> int:
    answered_at: int = attempt.answer["at"] if attempt.answer else history.last_time
    return answered_at


def _was_lost_with_its_front(history: History, attempt: ClientAttemptRecord) -> bool:
    if attempt.answer_kind not in UNANSWERED:
        return False
    start = attempt.asked["t"] - history.tolerance.observation_delay
    end = _answered_at(history, attempt)
    if attempt.first_token_at is None:
        end = min(end, _deadline(attempt))
    return any(start <= killed_at <= end for killed_at in history.front_kills[attempt.asked["front"]])


def _judge_answer(verdict: RuleVerdict, history: History, name: str, attempt: ClientAttemptRecord) -> None:
    kind = attempt.answer_kind
    if kind in UNANSWERED:
        code = attempt.answer["code"] if attempt.answer else ""
        verdict.add_violation(f"{name}: no final answer ({kind} {code})")
        return
    if kind == DISCONNECTED:
        return
    begun_at = attempt.first_token_at
    if begun_at is None:
        begun_at = _answered_at(history, attempt)
    late = begun_at - _deadline(attempt)
    if late > history.tolerance.late_answer:
        verdict.add_violation(
            f"{name}: {kind} came {late / TENTHS_PER_MS:.0f} ms after the client's time was up"
        )


def _judge_attempts_after_the_end(
    verdict: RuleVerdict, history: History, name: str, attempt: ClientAttemptRecord
) -> None:
    if not attempt.answer:
        return
    tolerance = history.tolerance
    end = _answered_at(history, attempt)
    allowed = tolerance.observation_delay
    if attempt.answer_kind == DISCONNECTED:
        allowed = tolerance.disconnect_detection
    for engine_attempt in attempt.engine_attempts:
        late = engine_attempt.arrived_at - end
        if late > allowed:
            verdict.add_violation(
                f"{name}: sent to {engine_attempt.engine} {late / TENTHS_PER_MS:.0f} ms after its end"
            )
