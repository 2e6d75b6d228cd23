"""Decides which events bring a client a part of its answer. It does no I/O.

A stream may go on for as long as it brings parts of the answer, and its client may wait for each of them only
for a limited time. Bytes and events that bring nothing therefore end no wait; otherwise a broken engine could
keep a client waiting for ever. An event brings something if it has

- a text, while its choice has no finish reason, up to a multiple of the tokens that the request asked for, or
  to the largest size of a body, whichever is more
- the first finish reason of a choice
- the first usage
- the first end of the stream

What a text says does not matter: a model may produce the same token any number of times.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_CHOICES = 128  # maximum number of choices of an answer
# Events with a text for each token that the request asked for. Engines usually send several tokens in an
# event, but may count them in another way than the request; the limit is for those that do not end at all.
MAX_TEXTS_PER_TOKEN = 4


class ChoicePart(NamedTuple):
    """What an event says of one choice of an answer.

    Attributes:
        number: The number of the choice.
        has_text: Whether the event has a text, or another part of the answer, for the choice.
        is_finished: Whether the event has the finish reason of the choice.
    """

    number: int
    has_text: bool
    is_finished: bool


class AnswerProgress:
    """The progress of one answer.

    Attributes:
        max_texts: The number of texts of all choices that may exceed the size of a body; 0 if the request
            does not limit the answer.
        count: The number of events so far that have brought a part of the answer.
    """

    def __init__(self, max_output_tokens: int, choice_count: int = 1, max_body_bytes: int = 0) -> None:
        """Create the progress of an answer that has brought nothing yet.

        Args:
            max_output_tokens: The number of tokens that the request asked for; 0 if it set no limit.
            choice_count: The number of choices that the request asked for, each of that many tokens.
            max_body_bytes: The size of all events, in bytes, up to which the number of texts is not limited;
                0 for none.
        """
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self.max_texts = max_output_tokens * choice_count * MAX_TEXTS_PER_TOKEN
        self.count = 0
        self._text_count = 0
        self._finished_choices: set[int] = set()
        self._has_usage = False

    def record_size(self, size: int) -> None:
        """Record the size of an event of the answer, in bytes, before the event itself."""
        self._body_bytes += size

    def record_event(self, choices: list[ChoicePart], has_usage: bool) -> None:
        """Record an event of the answer.

        Args:
            choices: What the event says of the choices.
            has_usage: Whether the event has the usage.
        """
        brings_something = has_usage and not self._has_usage
        self._has_usage = self._has_usage or has_usage
        for choice in choices:
            brings_something |= self._takes_text(choice)
            brings_something |= self._takes_finish(choice)
        self.count += brings_something

    def record_end(self) -> None:
        """Record the first event that says that the stream has ended."""
        self.count += 1

    def _takes_text(self, choice: ChoicePart) -> bool:
        if not choice.has_text or choice.number in self._finished_choices:
            return False
        self._text_count += 1
        return (
            not self.max_texts
            or self._text_count <= self.max_texts
            or 0 < self._body_bytes <= self._max_body_bytes
        )

    def _takes_finish(self, choice: ChoicePart) -> bool:
        if (
            not choice.is_finished
            or choice.number in self._finished_choices
            or len(self._finished_choices) >= MAX_CHOICES
        ):
            return False
        self._finished_choices.add(choice.number)
        return True
