"""Rule "no query lost": every request gets exactly one final answer in time, and nothing follows it."""

from __future__ import annotations

from runspool.lab.audit.history import NO_ANSWER, ClientAttemptRecord, History
from runspool.lab.audit.verdict import RuleVerdict
from runspool.units import TENTHS_PER_MS

UNANSWERED = frozenset({"lost", NO_ANSWER})  # answer kinds of client attempts that got no final answer
DISCONNECTED = "left"  # the answer kind of a client attempt that ended because the client disconnected


def check_lost_requests(history: History) -> RuleVerdict:
    """Check the rule on every request that its client sent completely.

    Requests that a front had in progress when it was killed are exempt, unless their time limit had passed
    before the kill.
    """
    verdict = RuleVerdict()
    for name, attempt in history.client_attempts.items():
        if attempt.sent_at is None or _was_lost_with_its_front(history, attempt):
            continue
        verdict.cases += 1
        _check_answer(verdict, history, name, attempt)
        if attempt.has_trailing_data:
            verdict.add_violation(f"{name}: data arrived after the final answer")
        if attempt.has_stream_gap:
            verdict.add_violation(f"{name}: a token of its stream is missing or repeated")
        _check_attempts_after_answer(verdict, history, name, attempt)
    return verdict


def _deadline(attempt: ClientAttemptRecord) -> int:
    deadline: int = attempt.asked["t"] + attempt.asked["limit"]
    return deadline


def _answered_at(history: History, attempt: ClientAttemptRecord) -> int:
    answered_at: int = attempt.answer["at"] if attempt.answer else history.last_time
    return answered_at


def _was_lost_with_its_front(history: History, attempt: ClientAttemptRecord) -> bool:
    """Return whether an unanswered attempt was in progress at its front when the front was killed."""
    if attempt.answer_kind not in UNANSWERED:
        return False
    start = attempt.asked["t"] - history.tolerance.observation_delay
    end = _answered_at(history, attempt)
    if attempt.first_token_at is None:
        end = min(end, _deadline(attempt))
    return any(start <= killed_at <= end for killed_at in history.front_kills[attempt.asked["front"]])


def _check_answer(verdict: RuleVerdict, history: History, name: str, attempt: ClientAttemptRecord) -> None:
    kind = attempt.answer_kind
    if kind in UNANSWERED:
        code = attempt.answer["code"] if attempt.answer else ""
        verdict.add_violation(f"{name}: no final answer ({kind} {code})")
        return
    if kind == DISCONNECTED:
        return
    answer_began_at = attempt.first_token_at
    if answer_began_at is None:
        answer_began_at = _answered_at(history, attempt)
    late = answer_began_at - _deadline(attempt)
    if late > history.tolerance.late_answer:
        verdict.add_violation(
            f"{name}: answer {kind!r} came {late / TENTHS_PER_MS:.0f} ms after the client's time limit"
        )


def _check_attempts_after_answer(
    verdict: RuleVerdict, history: History, name: str, attempt: ClientAttemptRecord
) -> None:
    """Add a violation for each engine attempt that began after the client got its answer or disconnected."""
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
                f"{name}: sent to {engine_attempt.engine} {late / TENTHS_PER_MS:.0f} ms after the client's "
                f"attempt had ended"
            )
