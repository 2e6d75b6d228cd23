"""How much of a client's time the decisions may spend. Free of I/O.

The decisions count to an answer's first token, since a client that reads along sees it then. A client that
takes its answer whole sees nothing before the last token, so what the writing will take is set aside for it.
"""

from __future__ import annotations

from runspool.scheduling.settings import RequestClassSettings

WRITING_PART = 0.75  # of the time at most that is set aside: a hint too long must not leave no time to try


def first_token_budget(left: int, whole: bool, likely_out: int, terms: RequestClassSettings) -> int:
    """Tenths of a millisecond to the first token, of `left` to the hard limit; never below 0.

    `likely_out` is the hint of the answer's tokens, 0 where none came: then nothing is set aside.
    """
    if not whole:
        return max(0, left)
    return max(0, left - min(likely_out * terms.time_per_output_token, int(left * WRITING_PART)))
