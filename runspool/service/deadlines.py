"""How much of a client's time the scheduler may spend. Free of I/O.

The scheduler counts to a response's first token, which a streaming client sees at once. A client that takes
its response whole sees nothing before the last token, so the time to generate the output is set aside for it.
"""

from __future__ import annotations

from runspool.scheduling.settings import RequestClassSettings

MAX_OUTPUT_FRACTION = 0.75  # of the time left that is set aside: too long a hint must leave time to try


def first_token_budget(
    time_left: int, is_whole: bool, expected_output_tokens: int, settings: RequestClassSettings
) -> int:
    """The time to the first token, of `time_left` to the deadline; in tenths of a millisecond, never below 0.

    `is_whole` says that the client takes its response whole. `expected_output_tokens` is the client's hint, 0
    where none came: then nothing is set aside.
    """
    if not is_whole:
        return max(0, time_left)
    output_time = expected_output_tokens * settings.time_per_output_token
    return max(0, time_left - min(output_time, int(time_left * MAX_OUTPUT_FRACTION)))
