"""The one table that says which ending each failure on a socket is, and whether the shot may have run.

A shot is known not to have run while the last byte of its request has not left this process: an engine cannot
act on a body that it has not got. It is also known by the engine's word, given in a status that promises so.
Everything else may have run. docs/operators/endings.md shows the same table.
"""

from __future__ import annotations

from enum import Enum, auto

from runspool.decisions.interface import NEVER_RAN, Ending


class Mishap(Enum):
    """What was seen on the socket."""

    NO_TIME = auto()  # the shot's time was over before it was begun
    OWN_CAP = auto()  # this front holds as many connections to the engine as it may
    BARRED = auto()  # the list took the engine out while the shot was on its way, its last byte not sent
    REFUSED = auto()  # no connection: refused, unreachable, not made in time
    CUT_BEFORE_LAST_BYTE = auto()  # closed or reset while the request was still being sent
    SILENT_BEFORE_LAST_BYTE = auto()  # time ran out while the request was still being sent
    CUT_AFTER_LAST_BYTE = auto()  # closed or reset, request sent whole, no full answer head yet
    SILENT_AFTER_LAST_BYTE = auto()  # request sent whole, no (first) answer in the shot's time
    TURNED_AWAY = auto()  # 429 or 503
    NO_STATE = auto()  # 409 with code state_gone
    NOT_FOR_ENGINE = auto()  # 400, 413 or 422: the engine refuses what was asked
    NOT_AN_ENGINE = auto()  # another 4xx: what answers there does not serve this
    FAILED = auto()  # 5xx other than 503, or a status that has no place here
    GARBLED = auto()  # 200, but what follows cannot be read, is endless or lacks what it must hold
    CUT_IN_ANSWER = auto()  # 200, then closed, reset or silent before the first token
    CUT_IN_STREAM = auto()  # closed, reset or silent after the first token
    CALLED_BACK = auto()  # this front closed the connection itself


ENDINGS: dict[Mishap, Ending] = {
    Mishap.NO_TIME: Ending.VOID,
    Mishap.OWN_CAP: Ending.VOID,
    Mishap.BARRED: Ending.VOID,
    Mishap.REFUSED: Ending.UNREACHABLE,
    Mishap.CUT_BEFORE_LAST_BYTE: Ending.UNREACHABLE,
    Mishap.SILENT_BEFORE_LAST_BYTE: Ending.UNREACHABLE,
    Mishap.CUT_AFTER_LAST_BYTE: Ending.SEVERED,
    Mishap.SILENT_AFTER_LAST_BYTE: Ending.OVERDUE,
    Mishap.TURNED_AWAY: Ending.FULL,
    Mishap.NO_STATE: Ending.STATELESS,
    Mishap.NOT_FOR_ENGINE: Ending.VOID,
    Mishap.NOT_AN_ENGINE: Ending.UNREACHABLE,
    Mishap.FAILED: Ending.ERRORED,
    Mishap.GARBLED: Ending.ERRORED,
    Mishap.CUT_IN_ANSWER: Ending.SEVERED,
    Mishap.CUT_IN_STREAM: Ending.SEVERED,
    Mishap.CALLED_BACK: Ending.RECALLED,
}

STATE_GONE = "state_gone"


def of_status(status: int, code: str) -> Mishap:
    """What a status other than 200 says; `code` is the one in its error body."""
    if status in (429, 503):
        return Mishap.TURNED_AWAY
    if status == 409 and code == STATE_GONE:
        return Mishap.NO_STATE
    if status in (400, 413, 422):
        return Mishap.NOT_FOR_ENGINE
    # 408 may come from something in between after the engine got it all.
    if 400 <= status < 500 and status != 408:
        return Mishap.NOT_AN_ENGINE
    return Mishap.FAILED


def may_have_run(mishap: Mishap) -> bool:
    return ENDINGS[mishap] not in NEVER_RAN
