"""The auditor's result for one rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_EXAMPLES = 20  # violations of one rule in one recording that are described rather than only counted


@dataclass(slots=True)
class RuleVerdict:
    """The result of one rule on one recording.

    Attributes:
        cases: the number of cases to which the rule applied; 0 means that the recording never exercised it.
        violation_count: the number of violations.
        examples: descriptions of the first violations, at most MAX_EXAMPLES.
    """

    cases: int = 0
    violation_count: int = 0
    examples: list[str] = field(default_factory=list)

    def add_violation(self, description: str) -> None:
        """Count a violation, and keep its description if fewer than MAX_EXAMPLES are kept."""
        self.violation_count += 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(description)
