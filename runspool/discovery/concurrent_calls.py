"""Which of several concurrent calls to one peer to give up. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence


def age_ratio(made_at: Sequence[int], position: int, now: int) -> float:
    """Returns by what factor the ages of the calls around one differ.

    Giving up the call with the lowest ratio leaves calls of growing ages: a fresh one, which meets a peer
    that has just returned, and old ones, which a slow peer answers in the end.

    Args:
        made_at: when the calls were made, in order, followed by `now` for the one that is to be made.
        position: the position of a call, neither the first nor the last.
        now: the present time, in the unit of `made_at`.
    """
    older_age = now - made_at[position - 1]
    newer_age = now - made_at[position + 1]
    return older_age / max(1, newer_age)
