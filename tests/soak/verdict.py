"""Reads a soak's printed verdict."""

from __future__ import annotations

import re

VERDICT_LINE = re.compile(r"^(\w+): (\d+) cases, (\d+) broken$", re.MULTILINE)


def read_verdict(output: str) -> dict[str, tuple[int, int]]:
    """Return cases and violations by rule, as far as they are in a soak's output."""
    return {rule: (int(cases), int(broken)) for rule, cases, broken in VERDICT_LINE.findall(output)}
