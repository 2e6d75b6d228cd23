"""The auditor's finding about one rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_EXAMPLES = 20


@dataclass(slots=True)
class RuleVerdict:
    """The result of one rule on one recording.

    Attributes:
        cases: how many cases the rule was judged on; 0 means that the recording never put it at stake.
        broken: how many violations were found.
        examples: descriptions of the first violations, at most MAX_EXAMPLES.
    """

    cases: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def add_violation(self, description: str) -> None:
        """Count a violation and keep its description while there is room."""
        self.broken += 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(description)
