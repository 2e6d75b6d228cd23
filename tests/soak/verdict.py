"""Parses the verdict that a soak prints."""

from __future__ import annotations

import re

VERDICT_LINE = re.compile(r"^(\w+): (\d+) cases, (\d+) broken$", re.MULTILINE)


def read_verdict(output: str) -> dict[str, tuple[int, int]]:
    """Return the number of cases and of violations of each rule that a soak's output contains."""
    return {rule: (int(cases), int(broken)) for rule, cases, broken in VERDICT_LINE.findall(output)}
