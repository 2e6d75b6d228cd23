"""The share of a client's time limit that the scheduler may use until the first token. Performs no I/O.

The scheduler plans for the time until a response's first token, which a streaming client receives at once. A
client without streaming receives nothing before the last token, so the expected generation time of the output
is subtracted from its time limit.
"""

from __future__ import annotations

from runspool.scheduling.settings import RequestClassSettings

# Largest fraction of the remaining time that is reserved for generating the output. It leaves time for an
# attempt even if the client's hint about the output length is far too high.
MAX_OUTPUT_FRACTION = 0.75


def first_token_budget(
    time_left: int, is_buffered: bool, expected_output_tokens: int, settings: RequestClassSettings
) -> int:
    """Return the time that may pass until the first token, in tenths of a millisecond, at least 0.

    Args:
        time_left: The time until the deadline, in tenths of a millisecond.
        is_buffered: Whether the client receives its response as a whole instead of as a stream.
        expected_output_tokens: The client's hint about the output length; 0 if it gave none, in which case no
            time is reserved for the output.
        settings: The settings of the request's class.
    """
    if not is_buffered:
        return max(0, time_left)
    output_time = expected_output_tokens * settings.time_per_output_token
    return max(0, time_left - min(output_time, int(time_left * MAX_OUTPUT_FRACTION)))
