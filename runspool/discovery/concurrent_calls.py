"""Selects which of several concurrent calls to one peer is cancelled. It does no I/O."""

from __future__ import annotations

from collections.abc import Sequence


def age_ratio(made_at: Sequence[int], position: int, now: int) -> float:
    """Return the ratio of the ages of the two calls next to the one at `position`.

    The call with the lowest ratio is the one to cancel. The ages of the remaining calls then grow roughly by
    a constant factor: the recent calls reach a peer that has just become available again, and the old ones
    give a slow peer the time to respond.

    Args:
        made_at: Start times of the calls in ascending order, followed by `now` for the next call.
        position: Index of a call, neither the first nor the last one in `made_at`.
        now: Current time, in the unit of `made_at`.
    """
    older_age = now - made_at[position - 1]
    newer_age = now - made_at[position + 1]
    return older_age / max(1, newer_age)
