"""The answers of the engines in a soak; each depends only on the id of its request and on the conditions.

Some answers say the same again and again, and are whole. Others stop to bring anything new, but never end, or
go on inside a chunk whose stated size cannot be true.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from random import Random

from runspool.limits.answer_progress import MAX_TEXTS_PER_TOKEN
from tests.node_platform.http_messages import EVENTS, MAX_BODY_BYTES, UNTRUE_SIZE_LINE

EVENT_INTERVAL = 0.1  # seconds between two events of a long stream
MIN_TEXTS = 4
TOKENS_PER_TEXT = 2  # a text has eight characters, a token has four
SAME_TEXT_SHARE = 0.3  # share of the answers whose texts are all the same
RUNS_SHARE = 0.3  # share of the answers whose texts are the same RUN_LENGTH times on end
RUN_LENGTH = 5
SMALL_LIMIT = 2  # tokens that are asked for where an engine goes on beyond its request and a body
LARGE_TEXT_BYTES = 15_000  # of the texts with which such an engine goes on
TEXT_EVENT, _, USAGE_EVENT, END_EVENT = EVENTS


class EndlessForm(Enum):
    """What an answer that never ends goes on with."""

    EMPTY_DELTA = "empty_delta"
    NO_CHOICES = "no_choices"
    USAGE = "usage"
    END = "end"
    UNTRUE_CHUNK = "untrue_chunk"  # texts inside a chunk whose stated size cannot be true
    SAME_TEXT = "same_text"  # beyond what its request and the size of a body allow


# The events that are repeated, and whether the first of them brings a part of the answer.
REPEATED_EVENTS = {
    EndlessForm.EMPTY_DELTA: (b'data: {"choices":[{"index":0,"delta":{}}]}\n\n', False),
    EndlessForm.NO_CHOICES: (b'data: {"choices":[]}\n\n', False),
    EndlessForm.USAGE: (USAGE_EVENT, True),
    EndlessForm.END: (END_EVENT, True),
}


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    Attributes:
        events: The events that bring the client a part of the answer, in order.
        interval: The time between two of them at a healthy engine, in seconds.
        repeated: The event that follows them without end; empty if the answer ends with them.
        max_tokens: The number of tokens that the request asks for.
        size_line: Where the repeated events lie inside one chunk, the line that states its size.
    """

    events: list[bytes]
    interval: float
    repeated: bytes
    max_tokens: int
    size_line: bytes = b""


def answer_to(request: str, duration: float, form: EndlessForm | None) -> Answer:
    """Return the answer that every engine gives to a request.

    Args:
        request: The id of the request.
        duration: How long the answer takes, in seconds.
        form: What it goes on with without end; None if it ends.
    """
    count = max(MIN_TEXTS + len(request) % 3, int(duration / EVENT_INTERVAL))
    texts = _texts(request, count)
    max_tokens, repeated, size_line = TOKENS_PER_TEXT * count, b"", b""
    if form is None:
        events = [*texts, END_EVENT]
    elif form is EndlessForm.SAME_TEXT:
        max_tokens, repeated = SMALL_LIMIT, TEXT_EVENT.replace(b"oq", b"o" * LARGE_TEXT_BYTES)
        events = [repeated] * max(max_tokens * MAX_TEXTS_PER_TOKEN, MAX_BODY_BYTES // len(repeated))
    elif form is EndlessForm.UNTRUE_CHUNK:
        repeated, size_line = texts[-1], UNTRUE_SIZE_LINE
        events = texts[: count // 2]
    else:
        repeated, brings_a_part = REPEATED_EVENTS[form]
        events = texts[: count // 2]
        if brings_a_part:
            events.append(repeated)
    return Answer(events, min(EVENT_INTERVAL, duration / len(events)), repeated, max_tokens, size_line)


def _texts(request: str, count: int) -> list[bytes]:
    """Return the events with the texts of an answer, some of which repeat the one before."""
    draw = Random(f"{request}.texts").random()
    run = count if draw < SAME_TEXT_SHARE else RUN_LENGTH if draw < SAME_TEXT_SHARE + RUNS_SHARE else 1
    words = [sha256(f"{request}.{index // run}".encode()).hexdigest()[:8] for index in range(count)]
    return [TEXT_EVENT.replace(b"oq", word.encode()) for word in words]
